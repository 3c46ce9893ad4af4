#include "quetzal/placer/internal/jobs.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "quetzal/placer/internal/flow.h"

namespace quetzal::placer_internal {
namespace {

constexpr uint32_t kMostTasks = 10'000;
constexpr size_t kMostCommitBytes = 512 * 1024;
// Values written in one round of progress, so that a burst of ends stays a
// bounded number of writes; the rest waits at the workers.
constexpr size_t kMostProgressWrites = 8;
constexpr Milliseconds kCallAgainAfter{500};
constexpr Milliseconds kKeepFinished{600'000};
constexpr Milliseconds kFirstBackOff{200};
constexpr Milliseconds kMostBackOff{30'000};
constexpr int kBitsPerByte = 8;

std::string ToText(const wire::JobBatch& batch) {
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(batch, &text);
  return status.ok() ? text : "{}";
}

std::optional<wire::JobBatch> FromText(const std::string& text) {
  wire::JobBatch batch;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status =
      google::protobuf::util::JsonStringToMessage(text, &batch, options);
  if (!status.ok()) return std::nullopt;
  return batch;
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

Jobs::Jobs(State* state) : state_(state), gangs_(state) {}

void Jobs::Clear() {
  gangs_.Clear();
  loaded_ = false;
  load_call_.reset();
  jobs_.clear();
  batches_.clear();
  // Nobody was told that these were accepted; their entries ask the next
  // placer, which knows by the platform whether they were.
  waiting_.clear();
  first_waiting_at_.reset();
  commit_.reset();
  write_calls_.clear();
  read_calls_.clear();
}

void Jobs::Load(Time now) {
  loaded_ = false;
  load_retry_at_ = now + kCallAgainAfter;
  load_call_ = state_->Call(
      {.kind = KvCall::Kind::kList,
       .key = std::string(kJobPrefix) + state_->settings.domain.text() + "/"});
}

bool Jobs::Ended(const Job& job, uint32_t task) {
  const std::string& bits = job.stored.ended_bits();
  const size_t byte = task / kBitsPerByte;
  if (byte >= bits.size()) return false;
  const auto value = static_cast<unsigned char>(bits[byte]);
  return ((value >> (task % kBitsPerByte)) & 1U) != 0;
}

bool Jobs::Finished(const Job& job) {
  return job.stored.cancelled() || job.ended >= job.stored.job().tasks();
}

std::string Jobs::StateName(const Job& job) {
  if (job.stored.cancelled()) return "cancelled";
  if (!Finished(job)) return "running";
  return job.stored.failed() > 0 ? "failed" : "done";
}

Jobs::Job* Jobs::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

Jobs::Job* Jobs::FindOwned(const std::string& id, const std::string& team) {
  Job* const job = Find(JobId(id));
  if (job == nullptr) return nullptr;
  return job->stored.job().work().team() == team ? job : nullptr;
}

std::optional<Refusal> Jobs::Check(const wire::JobSpec& spec,
                                   std::string* detail) const {
  if (spec.tasks() == 0 || spec.tasks() > kMostTasks) {
    *detail = "tasks: from 1 to " + std::to_string(kMostTasks);
    return Refusal::kBadRequest;
  }
  const Resources size = FromWire(spec.work().size());
  if (state_->accounted && !state_->ledger.EverFits(size)) {
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
                 const Job& job) const {
  wire::PlacerToEntry message;
  wire::JobReply* const reply = message.mutable_job();
  reply->set_query_id(query);
  reply->set_state(StateName(job));
  reply->set_tasks(job.stored.job().tasks());
  reply->set_ended(job.ended);
  reply->set_failed(job.stored.failed());
  const JobId id(job.stored.job().job_id());
  uint32_t running = 0;
  for (uint32_t task = 0; task < job.stored.job().tasks(); ++task) {
    if (state_->attempt_of_work.contains(TaskWorkId(id, task))) ++running;
  }
  reply->set_running(running);
  state_->Send(entry, std::move(message));
}

void Jobs::Refuse(const EntryId& entry, const std::string& query,
                  Refusal reason, const std::string& detail) const {
  wire::PlacerToEntry message;
  message.mutable_job()->set_query_id(query);
  message.mutable_job()->set_refusal(std::string(Code(reason)));
  message.mutable_job()->set_detail(detail);
  message.mutable_job()->set_fate(wire::RUN_FATE_NOT_RUN);
  state_->Count("quetzal_refusals_total", std::string(Code(reason)));
  state_->Send(entry, std::move(message));
}

void Jobs::OnSubmit(const EntryId& entry, const wire::SubmitJob& submit,
                    Time now) {
  const wire::JobSpec& spec = submit.job();
  if (const Job* const known = Find(JobId(spec.job_id()))) {
    Reply(entry, spec.job_id(), *known);
    return;
  }
  const bool already = std::any_of(
      waiting_.begin(), waiting_.end(), [&](const Waiting& waiting) {
        return waiting.spec.job_id() == spec.job_id();
      });
  const bool committing =
      commit_ && std::any_of(commit_->jobs.begin(), commit_->jobs.end(),
                             [&](const Waiting& waiting) {
                               return waiting.spec.job_id() == spec.job_id();
                             });
  if (already || committing) return;
  std::string detail;
  if (const auto reason = Check(spec, &detail)) {
    Refuse(entry, spec.job_id(), *reason, detail);
    return;
  }
  waiting_.push_back({.entry = entry,
                      .spec = spec,
                      .deadline = now + Milliseconds(submit.deadline_ms())});
  if (!first_waiting_at_) first_waiting_at_ = now;
}

void Jobs::OnQuery(const EntryId& entry, const wire::QueryJob& query) {
  const Job* const job = FindOwned(query.job_id(), query.team());
  if (job != nullptr) {
    Reply(entry, query.query_id(), *job);
  } else if (!loaded_) {
    Refuse(entry, query.query_id(), Refusal::kPlatformDown,
           "the domain's jobs are not read from the platform yet");
  } else {
    Refuse(entry, query.query_id(), Refusal::kUnknownJob, "");
  }
}

void Jobs::OnCancel(const EntryId& entry, const wire::CancelJob& cancel,
                    Time now) {
  Job* const job = FindOwned(cancel.job_id(), cancel.team());
  if (job == nullptr) {
    Refuse(entry, cancel.query_id(),
           loaded_ ? Refusal::kUnknownJob : Refusal::kPlatformDown, "");
    return;
  }
  if (!Finished(*job)) {
    job->stored.set_cancelled(true);
    job->done_at = now;
    DropTasks(JobId(cancel.job_id()), job, now);
  }
  Batch& batch = batches_[job->batch];
  batch.dirty = true;
  batch.replies.push_back({entry, cancel});
}

void Jobs::DropTasks(const JobId& id, Job* job, Time now) {
  gangs_.Remove(id);
  for (uint32_t task = 0; task < job->stored.job().tasks(); ++task) {
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

void Jobs::MarkEnded(Job* job, uint32_t task, bool failed, Time now) {
  if (Ended(*job, task)) return;
  std::string* const bits = job->stored.mutable_ended_bits();
  const size_t byte = task / kBitsPerByte;
  if (bits->size() <= byte) bits->resize(byte + 1);
  (*bits)[byte] = static_cast<char>(static_cast<unsigned char>((*bits)[byte]) |
                                    (1U << (task % kBitsPerByte)));
  ++job->ended;
  if (failed) job->stored.set_failed(job->stored.failed() + 1);
  batches_[job->batch].dirty = true;
  if (Finished(*job)) job->done_at = now;
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
                                 item.tries < state_->settings.most_tries);
  if (again) {
    Acknowledge(state_, worker, attempt);
    state_->Count("quetzal_retries_total",
                  service ? "service_ended" : "task_failed");
    WorkItem* const waiting = state_->FindWork(item.id);
    BackOffUntil(state_, waiting,
                 now + BackOff(item.tries, kFirstBackOff, kMostBackOff));
    return;
  }
  MarkEnded(job, item.task, failed, now);
  batches_[job->batch].acks.push_back({worker, attempt});
  const WorkItem part = item;
  const Gangs::Change change =
      gangs_.OnPartClosed(*part.job, part, true, true, now);
  DropWork(state_, part.id);
  if (change == Gangs::Change::kSpoiled) FailJob(*part.job, now);
}

void Jobs::FailJob(const JobId& id, Time now) {
  Job* const job = Find(id);
  if (job == nullptr) return;
  for (uint32_t task = 0; task < job->stored.job().tasks(); ++task) {
    MarkEnded(job, task, true, now);
  }
  DropTasks(id, job, now);
}

void Jobs::OnTaskInterrupted(WorkItem* item, bool may_have_run, Time now) {
  Job* const job = Find(*item->job);
  if (job == nullptr || item->cancelled) {
    DropWork(state_, item->id);
    return;
  }
  item->state = WorkState::kBackingOff;
  if (gangs_.Contains(*item->job)) {
    // Parts of a gang wait for the gang, never alone.
    item->not_before = Time::max();
    const Gangs::Change change =
        gangs_.OnPartClosed(*item->job, *item, false, may_have_run, now);
    if (change == Gangs::Change::kSpoiled) FailJob(JobId(*item->job), now);
    return;
  }
  // A service is kept running; each of its lives is a run of its own.
  const bool service = item->work.work_class() == wire::WORK_CLASS_SERVICE;
  const bool runs_again = service || item->work.idempotent() || !may_have_run;
  if (!runs_again) {
    MarkEnded(job, item->task, true, now);
    DropWork(state_, item->id);
    return;
  }
  state_->Count("quetzal_retries_total",
                may_have_run ? "task_interrupted" : "start_refused");
  const Milliseconds delay =
      may_have_run ? Milliseconds(0)
                   : BackOff(item->tries, kFirstBackOff, kMostBackOff);
  BackOffUntil(state_, item, now + delay);
}

void Jobs::OnTaskStarted(const AttemptInfo& attempt, Time now) {
  const auto task = TaskOf(attempt.work_id);
  if (task) gangs_.OnPartStarted(task->first, now);
}

void Jobs::OnForeignEvidence(const Evidence& evidence, Time now) {
  if (!loaded_) return;
  const auto task = TaskOf(WorkId(evidence.ended.work().work_id()));
  if (!task) return;
  Job* const job = Find(task->first);
  const AttemptId attempt(evidence.ended.attempt_id());
  const bool final_end = evidence.ended.outcome() == wire::OUTCOME_ANSWERED ||
                         (evidence.ended.outcome() == wire::OUTCOME_FAILED &&
                          !evidence.ended.work().idempotent());
  const bool service =
      evidence.ended.work().work_class() == wire::WORK_CLASS_SERVICE;
  if (job == nullptr || Ended(*job, task->second) || service || !final_end) {
    Acknowledge(state_, evidence.worker, attempt);
    return;
  }
  MarkEnded(job, task->second,
            evidence.ended.outcome() != wire::OUTCOME_ANSWERED, now);
  batches_[job->batch].acks.push_back({evidence.worker, attempt});
  DropWork(state_, WorkId(evidence.ended.work().work_id()));
}

void Jobs::OnForeignAttempt(AttemptInfo* attempt, Time now) {
  const auto task = TaskOf(attempt->work_id);
  if (!loaded_ || !task) return;
  Job* const job = Find(task->first);
  if (job == nullptr || Finished(*job) || Ended(*job, task->second)) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  WorkItem* item = state_->FindWork(attempt->work_id);
  if (item == nullptr) {
    wire::Work work = job->stored.job().work();
    work.set_work_id(attempt->work_id.text());
    item = AddWork(state_, work, now);
    item->job = task->first;
    item->task = task->second;
  }
  if (!item->attempt.empty() && item->attempt != attempt->id) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  Dequeue(state_, item);
  item->state = WorkState::kAttempting;
  item->attempt = attempt->id;
}

void Jobs::QueueTask(const JobId& id, const Job& job, uint32_t task, Time now) {
  wire::Work work = job.stored.job().work();
  work.set_work_id(TaskWorkId(id, task).text());
  WorkItem* const item = AddWork(state_, work, now);
  item->job = id;
  item->task = task;
  if (work.work_class() == wire::WORK_CLASS_GANG) {
    item->not_before = Time::max();
    return;
  }
  Enqueue(state_, item, false);
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
  for (const WorkId& work : told) {
    OnForeignEvidence(state_->evidence.at(work), now);
    state_->evidence.erase(work);
  }
  for (auto& [id, job] : jobs_) {
    if (Finished(job) || gangs_.Contains(id)) continue;
    std::vector<WorkId> members;
    bool any_attempt = false;
    for (uint32_t task = 0; task < job.stored.job().tasks(); ++task) {
      if (Ended(job, task)) continue;
      const WorkId work = TaskWorkId(id, task);
      members.push_back(work);
      any_attempt = any_attempt || state_->attempt_of_work.contains(work);
      if (!state_->works.contains(work)) QueueTask(id, job, task, now);
    }
    if (job.stored.job().work().work_class() != wire::WORK_CLASS_GANG) continue;
    if (any_attempt) {
      gangs_.Adopt(id, members, now);
    } else if (job.ended > 0) {
      // It had started; running the rest alone would not be the whole gang.
      FailJob(id, now);
    } else {
      gangs_.Add(id, members, now);
    }
  }
}

std::string Jobs::Render(const Batch& batch) const {
  wire::JobBatch value;
  for (const JobId& id : batch.jobs) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) *value.add_jobs() = found->second.stored;
  }
  return ToText(value);
}

void Jobs::StartCommit(Time now) {
  Commit commit;
  commit.key =
      std::string(kJobPrefix) + state_->settings.domain.text() + "/" +
      std::to_string(static_cast<uint64_t>(state_->contracts.epoch())) + "-" +
      state_->settings.self.text() + "-" + std::to_string(next_batch_++);
  wire::JobBatch value;
  size_t bytes = 0;
  size_t taken = 0;
  while (taken < waiting_.size() && bytes < kMostCommitBytes) {
    const Waiting& waiting = waiting_[taken++];
    *value.add_jobs()->mutable_job() = waiting.spec;
    bytes += waiting.spec.ByteSizeLong();
    commit.jobs.push_back(waiting);
  }
  waiting_.erase(waiting_.begin(),
                 waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
  commit.value = ToText(value);
  first_waiting_at_.reset();
  if (!waiting_.empty()) first_waiting_at_ = now;
  commit_ = std::move(commit);
  SendCommit(now);
}

void Jobs::SendCommit(Time now) {
  commit_->may_be_written = true;
  commit_->retry_at = now + kCallAgainAfter;
  commit_->call = state_->Call({.kind = KvCall::Kind::kPut,
                                .key = commit_->key,
                                .value = commit_->value,
                                .expected = Revision{0}});
}

void Jobs::OnCommitAnswer(const KvAnswer& answer, Time now) {
  commit_->call.reset();
  switch (answer.kind) {
    case KvAnswer::Kind::kDone:
    // No other process writes this key, so an earlier write of ours took
    // effect although its answer was lost.
    case KvAnswer::Kind::kConflict:
      OnCommitted(answer.revision, now);
      break;
    case KvAnswer::Kind::kMissing:
    case KvAnswer::Kind::kNoAnswer:
      state_->Count("quetzal_retries_total", "commit_unanswered");
      break;
  }
}

void Jobs::OnCommitted(Revision revision, Time now) {
  Commit commit = std::move(*commit_);
  commit_.reset();
  Batch& batch = batches_[commit.key];
  batch.revision = revision;
  for (const Waiting& waiting : commit.jobs) {
    const JobId id(waiting.spec.job_id());
    batch.jobs.push_back(id);
    Job& job = jobs_[id];
    *job.stored.mutable_job() = waiting.spec;
    job.batch = commit.key;
    std::vector<WorkId> members;
    for (uint32_t task = 0; task < waiting.spec.tasks(); ++task) {
      QueueTask(id, job, task, now);
      members.push_back(TaskWorkId(id, task));
    }
    if (waiting.spec.work().work_class() == wire::WORK_CLASS_GANG) {
      gangs_.Add(id, members, now);
    }
    state_->metrics->Count("quetzal_jobs_accepted_total");
    Reply(waiting.entry, waiting.spec.job_id(), job);
  }
}

void Jobs::GiveUpLateJobs(Time now) {
  const auto late = [&](const Waiting& waiting) {
    if (now < waiting.deadline) return false;
    Refuse(waiting.entry, waiting.spec.job_id(), Refusal::kPlatformDown,
           "the job was never written");
    return true;
  };
  std::erase_if(waiting_, late);
  if (!commit_) return;
  for (Waiting& waiting : commit_->jobs) {
    if (now < waiting.deadline) continue;
    waiting.deadline = Time::max();
    wire::PlacerToEntry message;
    message.mutable_job()->set_query_id(waiting.spec.job_id());
    message.mutable_job()->set_refusal(
        std::string(Code(Refusal::kPlatformDown)));
    message.mutable_job()->set_detail(
        "the write was not answered; ask for the job by its id later");
    message.mutable_job()->set_fate(wire::RUN_FATE_UNKNOWN);
    state_->Send(waiting.entry, std::move(message));
  }
}

void Jobs::Adopt(const KvItem& item) {
  const std::optional<wire::JobBatch> value = FromText(item.value);
  if (!value) {
    state_->Count("quetzal_errors_total", "unreadable_job_batch");
    return;
  }
  Batch& batch = batches_[item.key];
  batch.revision = item.revision;
  for (const wire::StoredJob& stored : value->jobs()) {
    batch.jobs.emplace_back(stored.job().job_id());
    Merge(stored, item.key);
  }
}

void Jobs::Merge(const wire::StoredJob& stored, const std::string& key) {
  const auto [found, added] = jobs_.try_emplace(JobId(stored.job().job_id()));
  Job& job = found->second;
  if (added) {
    job.stored = stored;
    job.batch = key;
  }
  std::string* const bits = job.stored.mutable_ended_bits();
  bits->resize(std::max(bits->size(), stored.ended_bits().size()));
  for (size_t i = 0; i < stored.ended_bits().size(); ++i) {
    (*bits)[i] = static_cast<char>((*bits)[i] | stored.ended_bits()[i]);
  }
  job.stored.set_cancelled(job.stored.cancelled() || stored.cancelled());
  job.stored.set_failed(std::max(job.stored.failed(), stored.failed()));
  job.ended = 0;
  for (uint32_t task = 0; task < job.stored.job().tasks(); ++task) {
    if (Ended(job, task)) ++job.ended;
  }
}

void Jobs::OnLoaded(const KvAnswer& answer, Time now) {
  load_call_.reset();
  if (answer.kind != KvAnswer::Kind::kDone) {
    load_retry_at_ = now + kCallAgainAfter;
    state_->Count("quetzal_retries_total", "job_list_unanswered");
    return;
  }
  for (const KvItem& item : answer.items) Adopt(item);
  for (auto& [id, job] : jobs_) {
    if (Finished(job)) job.done_at = now;
  }
  loaded_ = true;
}

void Jobs::OnBatchWritten(const std::string& key, const KvAnswer& answer) {
  Batch& batch = batches_[key];
  batch.writing = false;
  if (answer.kind == KvAnswer::Kind::kDone) {
    batch.revision = answer.revision;
    for (const Ack& ack : batch.acks_in_flight) {
      Acknowledge(state_, ack.worker, ack.attempt);
    }
    for (const CancelReply& reply : batch.replies_in_flight) {
      const Job* const job = Find(JobId(reply.cancel.job_id()));
      if (job != nullptr) Reply(reply.entry, reply.cancel.query_id(), *job);
    }
  } else {
    state_->Count("quetzal_retries_total", "progress_unanswered");
    batch.dirty = true;
    for (const Ack& ack : batch.acks_in_flight) batch.acks.push_back(ack);
    for (const CancelReply& reply : batch.replies_in_flight) {
      batch.replies.push_back(reply);
    }
    // Our own earlier write whose answer was lost, or another placer's: what
    // both know is merged, since an end once seen stays an end.
    if (answer.kind == KvAnswer::Kind::kConflict) {
      batch.writing = true;
      read_calls_[state_->Call({.kind = KvCall::Kind::kGet, .key = key})] = key;
    }
  }
  batch.acks_in_flight.clear();
  batch.replies_in_flight.clear();
}

void Jobs::OnBatchRead(const std::string& key, const KvAnswer& answer) {
  Batch& batch = batches_[key];
  batch.writing = false;
  batch.dirty = true;
  if (answer.kind != KvAnswer::Kind::kDone || answer.items.empty()) return;
  const std::optional<wire::JobBatch> value =
      FromText(answer.items.front().value);
  if (!value) return;
  batch.revision = answer.items.front().revision;
  for (const wire::StoredJob& stored : value->jobs()) Merge(stored, key);
}

bool Jobs::OnKvAnswer(const KvAnswer& answer, Time now) {
  if (load_call_ && *load_call_ == answer.id) {
    OnLoaded(answer, now);
    return true;
  }
  if (commit_ && commit_->call && *commit_->call == answer.id) {
    OnCommitAnswer(answer, now);
    return true;
  }
  if (const auto read = read_calls_.extract(answer.id)) {
    if (batches_.contains(read.mapped())) OnBatchRead(read.mapped(), answer);
    return true;
  }
  const auto written = write_calls_.extract(answer.id);
  if (!written) return false;
  if (batches_.contains(written.mapped())) {
    OnBatchWritten(written.mapped(), answer);
  }
  return true;
}

void Jobs::WriteBatch(const std::string& key, Batch* batch) {
  batch->dirty = false;
  batch->writing = true;
  batch->acks_in_flight = std::exchange(batch->acks, {});
  batch->replies_in_flight = std::exchange(batch->replies, {});
  write_calls_[state_->Call({.kind = KvCall::Kind::kPut,
                             .key = key,
                             .value = Render(*batch),
                             .expected = batch->revision})] = key;
}

void Jobs::WriteDirty(Time now) {
  progress_at_ = now;
  size_t written = 0;
  for (auto& [key, batch] : batches_) {
    if (written >= kMostProgressWrites) break;
    if (!batch.dirty || batch.writing) continue;
    WriteBatch(key, &batch);
    ++written;
  }
}

void Jobs::MaybeDelete(const std::string& key, Batch* batch, Time now) {
  if (batch->dirty || batch->writing) return;
  const bool over =
      std::all_of(batch->jobs.begin(), batch->jobs.end(), [&](const JobId& id) {
        const Job* const job = Find(id);
        return job == nullptr ||
               (job->done_at && now - *job->done_at >= kKeepFinished);
      });
  if (!over) return;
  for (const JobId& id : batch->jobs) jobs_.erase(id);
  state_->Call(
      {.kind = KvCall::Kind::kDelete, .key = key, .expected = batch->revision});
}

void Jobs::Tick(Time now) {
  if (!loaded_ && !load_call_ && now >= load_retry_at_) Load(now);
  GiveUpLateJobs(now);
  if (commit_ && !commit_->call && now >= commit_->retry_at) SendCommit(now);
  const bool due = first_waiting_at_ &&
                   now - *first_waiting_at_ >= state_->settings.commit_every;
  if (due && !commit_ && loaded_) StartCommit(now);
  if (now - progress_at_ < state_->settings.progress_every) return;
  WriteDirty(now);
  for (auto at = batches_.begin(); at != batches_.end();) {
    const size_t before = jobs_.size();
    MaybeDelete(at->first, &at->second, now);
    at = jobs_.size() < before ? batches_.erase(at) : std::next(at);
  }
  gangs_.MaybeReserveWorkers(now);
}

}  // namespace quetzal::placer_internal
