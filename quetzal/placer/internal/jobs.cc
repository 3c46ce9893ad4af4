#include "quetzal/placer/internal/jobs.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "quetzal/placer/internal/bits.h"
#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

constexpr uint32_t kMaxTasks = 10'000;
constexpr Milliseconds kFinishedJobRetention{600'000};
constexpr Milliseconds kRemovalInterval{10'000};
constexpr Milliseconds kInitialBackoff{200};
constexpr Milliseconds kMaxBackoff{30'000};

bool IsGang(const wire::StoredJob& stored) {
  return stored.job().work().work_class() == wire::WORK_CLASS_GANG;
}

}  // namespace

WorkId TaskWorkId(const JobId& job, uint32_t task) {
  return WorkId(job.text() + "/" + std::to_string(task));
}

std::optional<std::pair<JobId, uint32_t>> TaskOf(const WorkId& work) {
  const std::string& text = work.text();
  const size_t slash = text.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  uint32_t task = 0;
  const char* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + slash + 1, last, task);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  return std::pair(JobId(text.substr(0, slash)), task);
}

Jobs::Jobs(State* state) : state_(state), gangs_(state), store_(state, this) {
  state_->may_start = [this](WorkItem* item) {
    return EnsureStartIntentDurable(item);
  };
}

void Jobs::Clear() {
  gangs_.Clear();
  store_.Clear();
  jobs_.clear();
  // None of these was confirmed. Their entries ask the next placer, which reads
  // from the platform whether they were accepted.
  submissions_.clear();
}

// ---- state of a job ----

bool Jobs::Ended(const Job& job, uint32_t task) {
  return HasBit(job.stored->ended_bits(), task);
}

bool Jobs::Finished(const Job& job) {
  return job.stored->cancelled() || job.ended >= job.stored->job().tasks();
}

std::string Jobs::StateName(const Job& job) {
  if (job.stored->cancelled()) return "cancelled";
  if (!Finished(job)) return "running";
  return job.stored->failed() > 0 ? "failed" : "done";
}

Jobs::Job* Jobs::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

Jobs::Job* Jobs::FindForTeam(const std::string& id, const std::string& team) {
  Job* const job = Find(JobId(id));
  if (job == nullptr) return nullptr;
  return job->stored->job().work().team() == team ? job : nullptr;
}

Jobs::Job* Jobs::Track(const JobId& id) {
  wire::StoredJob* const stored = store_.Find(id);
  if (stored == nullptr) return nullptr;
  Job& job = jobs_[id];
  job.stored = stored;
  job.ended = 0;
  for (uint32_t task = 0; task < stored->job().tasks(); ++task) {
    if (Ended(job, task)) ++job.ended;
  }
  return &job;
}

// ---- calls from entries ----

std::optional<Refusal> Jobs::Validate(const wire::JobSpec& spec,
                                      std::string* detail) const {
  if (spec.tasks() == 0 || spec.tasks() > kMaxTasks) {
    *detail = "tasks: from 1 to " + std::to_string(kMaxTasks);
    return Refusal::kBadRequest;
  }
  const Resources size = FromWire(spec.work().size());
  if (state_->all_workers_accounted && !state_->ledger.FitsSomeWorker(size)) {
    *detail = "largest worker: " + state_->ledger.LargestWorker().Describe();
    return Refusal::kNeverFits;
  }
  const TeamRecord* const team =
      state_->records->Team(TeamId(spec.work().team()));
  if (team == nullptr) return Refusal::kUnknownTeam;
  const bool is_gang = spec.work().work_class() == wire::WORK_CLASS_GANG;
  const Resources required = is_gang ? size * spec.tasks() : size;
  if (!required.FitsIn(team->limit)) {
    *detail = "upper limit: " + team->limit.Describe();
    return Refusal::kOverTeamLimit;
  }
  return std::nullopt;
}

void Jobs::Reply(const EntryId& entry, const std::string& query,
                 const Job& job) {
  wire::PlacerToEntry message;
  wire::JobReply* const reply = message.mutable_job();
  reply->set_query_id(query);
  reply->set_state(StateName(job));
  reply->set_tasks(job.stored->job().tasks());
  reply->set_ended(job.ended);
  reply->set_failed(job.stored->failed());
  const JobId id(job.stored->job().job_id());
  uint32_t running = 0;
  for (uint32_t task = 0; task < job.stored->job().tasks(); ++task) {
    if (state_->attempt_by_work.contains(TaskWorkId(id, task))) ++running;
  }
  reply->set_running(running);
  state_->Send(entry, std::move(message));
}

void Jobs::Refuse(const EntryId& entry, const std::string& query,
                  Refusal reason, wire::RunFate fate,
                  const std::string& detail) {
  wire::PlacerToEntry message;
  message.mutable_job()->set_query_id(query);
  message.mutable_job()->set_refusal(std::string(Code(reason)));
  message.mutable_job()->set_detail(detail);
  message.mutable_job()->set_fate(fate);
  state_->Count("quetzal_refusals_total", std::string(Code(reason)));
  state_->Send(entry, std::move(message));
}

void Jobs::OnSubmit(const EntryId& entry, const wire::SubmitJob& submit,
                    Time now) {
  const wire::JobSpec& spec = submit.job();
  const JobId id(spec.job_id());
  if (const Job* const known = Find(id)) {
    Reply(entry, spec.job_id(), *known);
    return;
  }
  std::string detail;
  if (const auto reason = Validate(spec, &detail)) {
    Refuse(entry, spec.job_id(), *reason, wire::RUN_FATE_NOT_RUN, detail);
    return;
  }
  if (!store_.Add(spec, now)) return;  // is being written already
  submissions_.push_back(
      {.entry = entry,
       .id = id,
       .deadline = now + Milliseconds(submit.deadline_ms())});
}

void Jobs::OnAccepted(const JobId& id, Time now) {
  Job* const job = Track(id);
  if (job == nullptr) return;
  state_->metrics->Count("quetzal_jobs_accepted_total");
  ResumeJob(id, job, now);
  for (const Submission& submission : submissions_) {
    if (submission.id == id) Reply(submission.entry, id.text(), *job);
  }
  std::erase_if(submissions_, [&](const Submission& submission) {
    return submission.id == id;
  });
}

void Jobs::RefuseLateSubmissions(Time now) {
  std::erase_if(submissions_, [&](const Submission& submission) {
    if (now < submission.deadline) return false;
    if (store_.Withdraw(submission.id)) {
      Refuse(submission.entry, submission.id.text(), Refusal::kPlatformDown,
             wire::RUN_FATE_NOT_RUN, "the job was never written");
    } else {
      Refuse(submission.entry, submission.id.text(), Refusal::kPlatformDown,
             wire::RUN_FATE_UNKNOWN,
             "the write was not answered; ask for the job by its id later");
    }
    return true;
  });
}

void Jobs::OnQuery(const EntryId& entry, const wire::QueryJob& query) {
  const Job* const job = FindForTeam(query.job_id(), query.team());
  if (job != nullptr) {
    Reply(entry, query.query_id(), *job);
  } else if (!loaded()) {
    Refuse(entry, query.query_id(), Refusal::kPlatformDown,
           wire::RUN_FATE_NOT_RUN,
           "the domain's jobs are not read from the platform yet");
  } else {
    Refuse(entry, query.query_id(), Refusal::kUnknownJob,
           wire::RUN_FATE_NOT_RUN, "");
  }
}

void Jobs::OnCancel(const EntryId& entry, const wire::CancelJob& cancel,
                    Time now) {
  Job* const job = FindForTeam(cancel.job_id(), cancel.team());
  if (job == nullptr) {
    Refuse(entry, cancel.query_id(),
           loaded() ? Refusal::kUnknownJob : Refusal::kPlatformDown,
           wire::RUN_FATE_NOT_RUN, "");
    return;
  }
  const JobId id(cancel.job_id());
  if (!Finished(*job)) {
    job->stored->set_cancelled(true);
    job->done_at = now;
    StopTasks(id, *job, now);
  }
  store_.MarkChanged(id, [this, entry, cancel] {
    const Job* const cancelled = Find(JobId(cancel.job_id()));
    if (cancelled != nullptr) Reply(entry, cancel.query_id(), *cancelled);
  });
}

// ---- tasks ----

void Jobs::StopTasks(const JobId& id, const Job& job, Time now) {
  gangs_.Remove(id);
  for (uint32_t task = 0; task < job.stored->job().tasks(); ++task) {
    const WorkId work = TaskWorkId(id, task);
    const auto current = state_->attempt_by_work.find(work);
    if (current == state_->attempt_by_work.end()) {
      RemoveWork(state_, work);
      continue;
    }
    if (WorkItem* const item = state_->FindWork(work)) item->cancelled = true;
    AttemptInfo* const attempt = state_->FindAttempt(current->second);
    if (attempt != nullptr) StopAttempt(state_, attempt, false, now);
  }
}

void Jobs::MarkEnded(const JobId& id, Job* job, uint32_t task, bool failed,
                     Time now) {
  if (Ended(*job, task)) return;
  SetBit(task, job->stored->mutable_ended_bits());
  ++job->ended;
  if (failed) job->stored->set_failed(job->stored->failed() + 1);
  if (Finished(*job)) job->done_at = now;
  store_.MarkChanged(id, [] {});
}

void Jobs::AcknowledgeWhenDurable(const JobId& id, const WorkerId& worker,
                                  const AttemptId& attempt) {
  store_.MarkChanged(id, [state = state_, worker, attempt] {
    AcknowledgeAttempt(state, worker, attempt);
  });
}

void Jobs::FailJob(const JobId& id, Time now) {
  Job* const job = Find(id);
  if (job == nullptr) return;
  for (uint32_t task = 0; task < job->stored->job().tasks(); ++task) {
    MarkEnded(id, job, task, true, now);
  }
  StopTasks(id, *job, now);
}

void Jobs::OnTaskEnded(const WorkItem& item, const wire::EndedAttempt& ended,
                       const WorkerId& worker, Time now) {
  const AttemptId attempt(ended.attempt_id());
  Job* const job = Find(*item.job);
  if (job == nullptr || item.cancelled) {
    AcknowledgeAttempt(state_, worker, attempt);
    RemoveWork(state_, item.id);
    return;
  }
  const bool failed = ended.outcome() != wire::OUTCOME_ANSWERED;
  const bool service = item.work.work_class() == wire::WORK_CLASS_SERVICE;
  const bool gang = gangs_.Contains(*item.job);
  const bool will_retry =
      service || (failed && item.work.idempotent() && !gang &&
                  item.attempt_count < state_->settings.max_attempts);
  if (will_retry) {
    AcknowledgeAttempt(state_, worker, attempt);
    state_->Count("quetzal_retries_total",
                  service ? "service_ended" : "task_failed");
    WorkItem* const waiting = state_->FindWork(item.id);
    DelayUntil(
        state_, waiting,
        now + BackoffDelay(item.attempt_count, kInitialBackoff, kMaxBackoff));
    return;
  }
  const WorkItem ended_item = item;
  MarkEnded(*ended_item.job, job, ended_item.task, failed, now);
  AcknowledgeWhenDurable(*ended_item.job, worker, attempt);
  const Gangs::Change change =
      gangs_.OnAttemptClosed(*ended_item.job, ended_item, true, true, now);
  RemoveWork(state_, ended_item.id);
  if (change == Gangs::Change::kCannotRerun) FailJob(*ended_item.job, now);
}

void Jobs::OnTaskInterrupted(WorkItem* item, bool may_have_run, Time now) {
  Job* const job = Find(*item->job);
  if (job == nullptr || item->cancelled) {
    RemoveWork(state_, item->id);
    return;
  }
  item->state = WorkState::kBackingOff;
  if (gangs_.Contains(*item->job)) {
    // Tasks of a gang are queued with their gang, never alone.
    item->not_before = Time::max();
    const Gangs::Change change =
        gangs_.OnAttemptClosed(*item->job, *item, false, may_have_run, now);
    if (change == Gangs::Change::kCannotRerun) FailJob(JobId(*item->job), now);
    return;
  }
  // A service is always run again, also if it isn't idempotent.
  const bool runs_again = !RunsAtMostOnce(item->work) || !may_have_run;
  if (!runs_again) {
    MarkEnded(JobId(*item->job), job, item->task, true, now);
    RemoveWork(state_, item->id);
    return;
  }
  state_->Count("quetzal_retries_total",
                may_have_run ? "task_interrupted" : "start_refused");
  const Milliseconds delay =
      may_have_run
          ? Milliseconds(0)
          : BackoffDelay(item->attempt_count, kInitialBackoff, kMaxBackoff);
  DelayUntil(state_, item, now + delay);
}

void Jobs::OnTaskStarted(const AttemptInfo& attempt, Time now) {
  const auto task = TaskOf(attempt.work_id);
  if (task) gangs_.OnTaskHeldOrRunning(task->first, now);
}

// ---- recovery from an earlier placer ----

void Jobs::OnLoaded(Time now) {
  for (const JobId& id : store_.Ids()) {
    Job* const job = Track(id);
    if (job != nullptr && Finished(*job)) job->done_at = now;
  }
}

void Jobs::RecoverOutcome(const RetainedOutcome& retained, Time now) {
  if (!loaded()) return;
  const auto task = TaskOf(WorkId(retained.ended.work().work_id()));
  if (!task) return;
  Job* const job = Find(task->first);
  const AttemptId attempt(retained.ended.attempt_id());
  const wire::Work& work = retained.ended.work();
  const bool answered = retained.ended.outcome() == wire::OUTCOME_ANSWERED;
  const bool ran = retained.ended.outcome() != wire::OUTCOME_NOT_STARTED;
  const bool is_final = answered || (ran && !work.idempotent());
  const bool service = work.work_class() == wire::WORK_CLASS_SERVICE;
  if (job == nullptr || Ended(*job, task->second) || service || !is_final) {
    AcknowledgeAttempt(state_, retained.worker, attempt);
    return;
  }
  MarkEnded(task->first, job, task->second, !answered, now);
  AcknowledgeWhenDurable(task->first, retained.worker, attempt);
  RemoveWork(state_, WorkId(work.work_id()));
}

void Jobs::RecoverAttempt(AttemptInfo* attempt, Time now) {
  const auto task = TaskOf(attempt->work_id);
  if (!loaded() || !task) return;
  Job* const job = Find(task->first);
  if (job == nullptr || Finished(*job) || Ended(*job, task->second)) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  WorkItem* item = state_->FindWork(attempt->work_id);
  if (item == nullptr) item = AddTask(task->first, *job, task->second, now);
  if (!item->attempt.empty() && item->attempt != attempt->id) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  Dequeue(state_, item);
  item->state = WorkState::kAttempting;
  item->attempt = attempt->id;
}

WorkItem* Jobs::AddTask(const JobId& id, const Job& job, uint32_t task,
                        Time now) {
  wire::Work work = job.stored->job().work();
  work.set_work_id(TaskWorkId(id, task).text());
  WorkItem* const item = AddWork(state_, work, now);
  item->job = id;
  item->task = task;
  return item;
}

void Jobs::QueueTask(const JobId& id, const Job& job, uint32_t task, Time now) {
  WorkItem* const item = AddTask(id, job, task, now);
  if (item->work.work_class() == wire::WORK_CLASS_GANG) {
    item->not_before = Time::max();
    return;
  }
  Enqueue(state_, item, false);
}

bool Jobs::RunsAtMostOnce(const wire::Work& work) {
  return !work.idempotent() && work.work_class() != wire::WORK_CLASS_SERVICE;
}

bool Jobs::EnsureStartIntentDurable(WorkItem* item) {
  if (!item->job || !RunsAtMostOnce(item->work)) return true;
  if (item->intent == StartIntent::kDurable) return true;
  const Job* const job = Find(*item->job);
  if (item->intent == StartIntent::kWriting || job == nullptr) return false;
  item->intent = StartIntent::kWriting;
  SetBit(item->task, job->stored->mutable_attempted_bits());
  store_.MarkChangedUrgently(*item->job, [this, id = item->id] {
    WorkItem* const waiting = state_->FindWork(id);
    if (waiting == nullptr) return;
    waiting->intent = StartIntent::kDurable;
    state_->placement_due = true;
  });
  return false;
}

void Jobs::ResumeJob(const JobId& id, Job* job, Time now) {
  if (Finished(*job) || gangs_.Contains(id)) return;
  std::vector<WorkId> unfinished;
  bool any_attempt = false;
  for (uint32_t task = 0; task < job->stored->job().tasks(); ++task) {
    if (Ended(*job, task)) continue;
    const WorkId work = TaskWorkId(id, task);
    const bool fate_unknown = HasBit(job->stored->attempted_bits(), task) &&
                              !state_->works.contains(work);
    if (fate_unknown) {
      // It may have run on a worker that is lost.
      state_->Count("quetzal_errors_total", "task_fate_unknown");
      MarkEnded(id, job, task, true, now);
      continue;
    }
    unfinished.push_back(work);
    any_attempt = any_attempt || state_->attempt_by_work.contains(work);
    if (!state_->works.contains(work)) QueueTask(id, *job, task, now);
  }
  if (!IsGang(*job->stored)) return;
  if (any_attempt) {
    gangs_.Recover(id, unfinished, now);
  } else if (job->ended > 0) {
    // The gang had started, and the tasks that are left are not the whole gang.
    FailJob(id, now);
  } else {
    gangs_.Add(id, unfinished, now);
  }
}

void Jobs::QueueUnfinishedTasks(Time now) {
  std::vector<AttemptId> recovered;
  for (const auto& [attempt_id, attempt] : state_->attempts) {
    if (TaskOf(attempt.work_id)) recovered.push_back(attempt_id);
  }
  std::sort(recovered.begin(), recovered.end());
  for (const AttemptId& id : recovered) {
    RecoverAttempt(state_->FindAttempt(id), now);
  }
  std::vector<WorkId> reported;
  for (const auto& [work, retained] : state_->retained_outcomes) {
    if (TaskOf(work)) reported.push_back(work);
  }
  std::sort(reported.begin(), reported.end());
  for (const WorkId& work : reported) {
    RecoverOutcome(state_->retained_outcomes.at(work), now);
    state_->retained_outcomes.erase(work);
  }
  for (auto& [id, job] : jobs_) ResumeJob(id, &job, now);
}

// ---- time ----

void Jobs::RemoveFinished(Time now) {
  if (now - last_removal_ < kRemovalInterval) return;
  last_removal_ = now;
  std::erase_if(jobs_, [&](const auto& entry) {
    const auto& [id, job] = entry;
    const bool expired =
        job.done_at && now - *job.done_at >= kFinishedJobRetention;
    if (expired) store_.Remove(id);
    return expired;
  });
}

void Jobs::Tick(Time now) {
  store_.Tick(now);
  RefuseLateSubmissions(now);
  RemoveFinished(now);
  gangs_.SelectReservation(now);
}

}  // namespace quetzal::placer_internal
