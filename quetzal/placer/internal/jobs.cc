#include "quetzal/placer/internal/jobs.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "quetzal/placer/internal/bits.h"
#include "quetzal/placer/internal/flow.h"

namespace quetzal::placer_internal {
namespace {

constexpr uint32_t kMostTasks = 10'000;
constexpr Milliseconds kKeepFinished{600'000};
constexpr Milliseconds kForgetEvery{10'000};
constexpr Milliseconds kFirstBackOff{200};
constexpr Milliseconds kMostBackOff{30'000};

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
  state_->may_start = [this](WorkItem* item) { return IntentIsDurable(item); };
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

Jobs::Job* Jobs::FindOwned(const std::string& id, const std::string& team) {
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

std::optional<Refusal> Jobs::Check(const wire::JobSpec& spec,
                                   std::string* detail) const {
  if (spec.tasks() == 0 || spec.tasks() > kMostTasks) {
    *detail = "tasks: from 1 to " + std::to_string(kMostTasks);
    return Refusal::kBadRequest;
  }
  const Resources size = FromWire(spec.work().size());
  if (state_->accounted && !state_->ledger.FitsSomeWorker(size)) {
    *detail = "largest worker: " + state_->ledger.LargestWorker().Describe();
    return Refusal::kNeverFits;
  }
  const TeamRecord* const team =
      state_->records->Team(TeamId(spec.work().team()));
  if (team == nullptr) return Refusal::kUnknownTeam;
  const bool together = spec.work().work_class() == wire::WORK_CLASS_GANG;
  const Resources least = together ? size * spec.tasks() : size;
  if (!least.FitsIn(team->limit)) {
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
    if (state_->attempt_of_work.contains(TaskWorkId(id, task))) ++running;
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
  if (const auto reason = Check(spec, &detail)) {
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

void Jobs::GiveUpLateSubmissions(Time now) {
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
  const Job* const job = FindOwned(query.job_id(), query.team());
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
  Job* const job = FindOwned(cancel.job_id(), cancel.team());
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
    DropTasks(id, *job, now);
  }
  store_.Changed(id, [this, entry, cancel] {
    const Job* const cancelled = Find(JobId(cancel.job_id()));
    if (cancelled != nullptr) Reply(entry, cancel.query_id(), *cancelled);
  });
}

// ---- tasks ----

void Jobs::DropTasks(const JobId& id, const Job& job, Time now) {
  gangs_.Remove(id);
  for (uint32_t task = 0; task < job.stored->job().tasks(); ++task) {
    const WorkId work = TaskWorkId(id, task);
    const auto current = state_->attempt_of_work.find(work);
    if (current == state_->attempt_of_work.end()) {
      DropWork(state_, work);
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
  store_.Changed(id, [] {});
}

void Jobs::AcknowledgeWhenDurable(const JobId& id, const WorkerId& worker,
                                  const AttemptId& attempt) {
  store_.Changed(id, [state = state_, worker, attempt] {
    Acknowledge(state, worker, attempt);
  });
}

void Jobs::FailJob(const JobId& id, Time now) {
  Job* const job = Find(id);
  if (job == nullptr) return;
  for (uint32_t task = 0; task < job->stored->job().tasks(); ++task) {
    MarkEnded(id, job, task, true, now);
  }
  DropTasks(id, *job, now);
}

void Jobs::OnTaskEnded(const WorkItem& item, const wire::EndedAttempt& ended,
                       const WorkerId& worker, Time now) {
  const AttemptId attempt(ended.attempt_id());
  Job* const job = Find(*item.job);
  if (job == nullptr || item.cancelled) {
    Acknowledge(state_, worker, attempt);
    DropWork(state_, item.id);
    return;
  }
  const bool failed = ended.outcome() != wire::OUTCOME_ANSWERED;
  const bool service = item.work.work_class() == wire::WORK_CLASS_SERVICE;
  const bool gang = gangs_.Contains(*item.job);
  const bool again = service || (failed && item.work.idempotent() && !gang &&
                                 item.tries < state_->settings.max_attempts);
  if (again) {
    Acknowledge(state_, worker, attempt);
    state_->Count("quetzal_retries_total",
                  service ? "service_ended" : "task_failed");
    WorkItem* const waiting = state_->FindWork(item.id);
    BackOffUntil(state_, waiting,
                 now + BackoffDelay(item.tries, kFirstBackOff, kMostBackOff));
    return;
  }
  const WorkItem part = item;
  MarkEnded(*part.job, job, part.task, failed, now);
  AcknowledgeWhenDurable(*part.job, worker, attempt);
  const Gangs::Change change =
      gangs_.OnPartClosed(*part.job, part, true, true, now);
  DropWork(state_, part.id);
  if (change == Gangs::Change::kSpoiled) FailJob(*part.job, now);
}

void Jobs::OnTaskInterrupted(WorkItem* item, bool may_have_run, Time now) {
  Job* const job = Find(*item->job);
  if (job == nullptr || item->cancelled) {
    DropWork(state_, item->id);
    return;
  }
  item->state = WorkState::kBackingOff;
  if (gangs_.Contains(*item->job)) {
    // Tasks of a gang are queued with their gang, never alone.
    item->not_before = Time::max();
    const Gangs::Change change =
        gangs_.OnPartClosed(*item->job, *item, false, may_have_run, now);
    if (change == Gangs::Change::kSpoiled) FailJob(JobId(*item->job), now);
    return;
  }
  // A service is always run again, also if it isn't idempotent.
  const bool runs_again = !RunsAtMostOnce(item->work) || !may_have_run;
  if (!runs_again) {
    MarkEnded(JobId(*item->job), job, item->task, true, now);
    DropWork(state_, item->id);
    return;
  }
  state_->Count("quetzal_retries_total",
                may_have_run ? "task_interrupted" : "start_refused");
  const Milliseconds delay =
      may_have_run ? Milliseconds(0)
                   : BackoffDelay(item->tries, kFirstBackOff, kMostBackOff);
  BackOffUntil(state_, item, now + delay);
}

void Jobs::OnTaskStarted(const AttemptInfo& attempt, Time now) {
  const auto task = TaskOf(attempt.work_id);
  if (task) gangs_.OnPartStarted(task->first, now);
}

// ---- recovery from an earlier placer ----

void Jobs::OnLoaded(Time now) {
  for (const JobId& id : store_.Ids()) {
    Job* const job = Track(id);
    if (job != nullptr && Finished(*job)) job->done_at = now;
  }
}

void Jobs::OnForeignEvidence(const Evidence& evidence, Time now) {
  if (!loaded()) return;
  const auto task = TaskOf(WorkId(evidence.ended.work().work_id()));
  if (!task) return;
  Job* const job = Find(task->first);
  const AttemptId attempt(evidence.ended.attempt_id());
  const wire::Work& work = evidence.ended.work();
  const bool answered = evidence.ended.outcome() == wire::OUTCOME_ANSWERED;
  const bool ran = evidence.ended.outcome() != wire::OUTCOME_NOT_STARTED;
  const bool final_end = answered || (ran && !work.idempotent());
  const bool service = work.work_class() == wire::WORK_CLASS_SERVICE;
  if (job == nullptr || Ended(*job, task->second) || service || !final_end) {
    Acknowledge(state_, evidence.worker, attempt);
    return;
  }
  MarkEnded(task->first, job, task->second, !answered, now);
  AcknowledgeWhenDurable(task->first, evidence.worker, attempt);
  DropWork(state_, WorkId(work.work_id()));
}

void Jobs::OnForeignAttempt(AttemptInfo* attempt, Time now) {
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

bool Jobs::IntentIsDurable(WorkItem* item) {
  if (!item->job || !RunsAtMostOnce(item->work)) return true;
  if (item->intent == Intent::kDurable) return true;
  const Job* const job = Find(*item->job);
  if (item->intent == Intent::kBeingWritten || job == nullptr) return false;
  item->intent = Intent::kBeingWritten;
  SetBit(item->task, job->stored->mutable_attempted_bits());
  store_.ChangedUrgently(*item->job, [this, id = item->id] {
    WorkItem* const waiting = state_->FindWork(id);
    if (waiting == nullptr) return;
    waiting->intent = Intent::kDurable;
    state_->placement_due = true;
  });
  return false;
}

void Jobs::ResumeJob(const JobId& id, Job* job, Time now) {
  if (Finished(*job) || gangs_.Contains(id)) return;
  std::vector<WorkId> members;
  bool any_attempt = false;
  for (uint32_t task = 0; task < job->stored->job().tasks(); ++task) {
    if (Ended(*job, task)) continue;
    const WorkId work = TaskWorkId(id, task);
    const bool lost_sight = HasBit(job->stored->attempted_bits(), task) &&
                            !state_->works.contains(work);
    if (lost_sight) {
      // It may have run on a worker that is lost.
      state_->Count("quetzal_errors_total", "task_fate_unknown");
      MarkEnded(id, job, task, true, now);
      continue;
    }
    members.push_back(work);
    any_attempt = any_attempt || state_->attempt_of_work.contains(work);
    if (!state_->works.contains(work)) QueueTask(id, *job, task, now);
  }
  if (!IsGang(*job->stored)) return;
  if (any_attempt) {
    gangs_.Adopt(id, members, now);
  } else if (job->ended > 0) {
    // The gang had started, and the tasks that are left are not the whole gang.
    FailJob(id, now);
  } else {
    gangs_.Add(id, members, now);
  }
}

void Jobs::QueueMissingTasks(Time now) {
  std::vector<AttemptId> foreign;
  for (const auto& [attempt_id, attempt] : state_->attempts) {
    if (TaskOf(attempt.work_id)) foreign.push_back(attempt_id);
  }
  std::sort(foreign.begin(), foreign.end());
  for (const AttemptId& id : foreign) {
    OnForeignAttempt(state_->FindAttempt(id), now);
  }
  std::vector<WorkId> told;
  for (const auto& [work, evidence] : state_->evidence) {
    if (TaskOf(work)) told.push_back(work);
  }
  std::sort(told.begin(), told.end());
  for (const WorkId& work : told) {
    OnForeignEvidence(state_->evidence.at(work), now);
    state_->evidence.erase(work);
  }
  for (auto& [id, job] : jobs_) ResumeJob(id, &job, now);
}

// ---- time ----

void Jobs::ForgetFinished(Time now) {
  if (now - forgot_at_ < kForgetEvery) return;
  forgot_at_ = now;
  std::erase_if(jobs_, [&](const auto& entry) {
    const auto& [id, job] = entry;
    const bool old = job.done_at && now - *job.done_at >= kKeepFinished;
    if (old) store_.Remove(id);
    return old;
  });
}

void Jobs::Tick(Time now) {
  store_.Tick(now);
  GiveUpLateSubmissions(now);
  ForgetFinished(now);
  gangs_.ChooseGathering(now);
}

}  // namespace quetzal::placer_internal
