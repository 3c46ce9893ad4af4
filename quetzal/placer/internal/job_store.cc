#include "quetzal/placer/internal/job_store.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/bits.h"

namespace quetzal::placer_internal {
namespace {

// The open batch is sealed at this size, since each acceptance of jobs rewrites
// the whole batch.
constexpr size_t kMaxOpenJobs = 16;
// Limit on the batches written per group commit of progress, so that many tasks
// that end at once don't flood the platform. The other outcomes stay with the
// workers until they are written.
constexpr size_t kMaxProgressWrites = 8;
constexpr Milliseconds kRetryDelay{500};

std::optional<wire::JobBatch> ParseBatch(const std::string& text) {
  wire::JobBatch batch;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status =
      google::protobuf::util::JsonStringToMessage(text, &batch, options);
  if (!status.ok()) return std::nullopt;
  return batch;
}

}  // namespace

JobStore::JobStore(State* state, JobStoreObserver* observer)
    : state_(state),
      observer_(observer),
      prefix_(std::string(kJobPrefix) + state->settings.domain.text() + "/"),
      open_key_(prefix_ + "open") {}

void JobStore::Clear() {
  loaded_ = false;
  superseded_ = false;
  sealing_ = false;
  jobs_.clear();
  batches_.clear();
  waiting_.clear();
  in_flight_.clear();
  first_waiting_at_.reset();
  calls_.clear();
}

void JobStore::SendCall(Purpose purpose, KvCall call) {
  const std::string key = call.key;
  calls_[state_->Call(std::move(call))] = {purpose, key};
}

// ---- loading and claiming ----

void JobStore::Load(Time now) {
  retry_at_ = now + kRetryDelay;
  SendCall(Purpose::kList, {.kind = KvCall::Kind::kList, .key = prefix_});
}

void JobStore::OnListed(const KvAnswer& answer, Time now) {
  if (answer.kind != KvAnswer::Kind::kDone) {
    retry_at_ = now + kRetryDelay;
    state_->Count("quetzal_retries_total", "job_list_unanswered");
    return;
  }
  open_batch() = Batch();
  for (const KvItem& item : answer.items) LoadBatch(item);
  Claim();
}

void JobStore::LoadBatch(const KvItem& item) {
  const std::optional<wire::JobBatch> value = ParseBatch(item.value);
  if (!value) {
    state_->Count("quetzal_errors_total", "unreadable_job_batch");
    return;
  }
  Batch& batch = batches_[item.key];
  batch.revision = item.revision;
  batch.jobs.clear();
  for (const wire::StoredJob& stored : value->jobs()) {
    batch.jobs.emplace_back(stored.job().job_id());
    Merge(stored, item.key);
  }
}

void JobStore::Merge(const wire::StoredJob& stored, const std::string& key) {
  const auto [found, added] = jobs_.try_emplace(JobId(stored.job().job_id()));
  Stored& known = found->second;
  if (added) known.job = stored;
  // A job whose batch was being sealed is in both batches.
  if (added || known.batch == open_key_) known.batch = key;
  known.accepted = true;
  AddBits(stored.ended_bits(), known.job.mutable_ended_bits());
  AddBits(stored.attempted_bits(), known.job.mutable_attempted_bits());
  known.job.set_cancelled(known.job.cancelled() || stored.cancelled());
  known.job.set_failed(std::max(known.job.failed(), stored.failed()));
}

void JobStore::Claim() {
  last_open_number_ = next_number_++;
  SendCall(Purpose::kClaim,
           {.kind = KvCall::Kind::kPut,
            .key = open_key_,
            .value = Serialize(open_batch(), last_open_number_),
            .expected = open_batch().revision});
}

void JobStore::OnClaimed(const KvAnswer& answer, Time now) {
  if (answer.kind != KvAnswer::Kind::kDone) {
    // The write may have succeeded; the next listing shows whether it did.
    retry_at_ = now + kRetryDelay;
    state_->Count("quetzal_retries_total", "job_claim_unanswered");
    return;
  }
  open_batch().revision = answer.revision;
  loaded_ = true;
  observer_->OnLoaded(now);
}

// ---- accepting ----

bool JobStore::Add(const wire::JobSpec& spec, Time now) {
  const JobId id(spec.job_id());
  const auto [found, added] = jobs_.try_emplace(id);
  if (!added) return false;
  *found->second.job.mutable_job() = spec;
  found->second.batch = open_key_;
  waiting_.push_back(id);
  if (!first_waiting_at_) first_waiting_at_ = now;
  return true;
}

bool JobStore::Withdraw(const JobId& id) {
  if (std::erase(waiting_, id) == 0) return false;
  jobs_.erase(id);
  return true;
}

void JobStore::AddWaitingJobs(Time now) {
  const bool due = first_waiting_at_ &&
                   now - *first_waiting_at_ >= state_->settings.commit_interval;
  if (!due || open_batch().writing || sealing_ || !loaded_) return;
  first_waiting_at_.reset();
  for (const JobId& id : waiting_) {
    open_batch().jobs.push_back(id);
    in_flight_.push_back(id);
  }
  waiting_.clear();
  Write(open_key_, &open_batch());
}

// ---- writing ----

std::string JobStore::Serialize(const Batch& batch, uint64_t number) const {
  wire::JobBatch value;
  value.set_writer(state_->settings.self.text());
  value.set_write_number(number);
  for (const JobId& id : batch.jobs) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) *value.add_jobs() = found->second.job;
  }
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(value, &text);
  return status.ok() ? text : "{}";
}

void JobStore::Write(const std::string& key, Batch* batch) {
  batch->dirty = false;
  batch->urgent = false;
  batch->writing = true;
  for (Callback& done : std::exchange(batch->done, {})) {
    batch->done_in_flight.push_back(std::move(done));
  }
  const uint64_t number = next_number_++;
  if (key == open_key_) last_open_number_ = number;
  SendCall(Purpose::kWrite, {.kind = KvCall::Kind::kPut,
                             .key = key,
                             .value = Serialize(*batch, number),
                             .expected = batch->revision});
}

void JobStore::OnWritten(const std::string& key, const KvAnswer& answer,
                         Time now) {
  if (answer.kind == KvAnswer::Kind::kDone) {
    OnWriteConfirmed(key, answer.revision, now);
    return;
  }
  // Either this write or one by another placer took effect; read the value to
  // find out.
  state_->Count("quetzal_retries_total", "job_write_unanswered");
  SendCall(Purpose::kCheck, {.kind = KvCall::Kind::kGet, .key = key});
}

void JobStore::OnWriteConfirmed(const std::string& key, Revision revision,
                                Time now) {
  Batch& batch = batches_[key];
  batch.revision = revision;
  batch.writing = false;
  const std::vector<Callback> due = std::exchange(batch.done_in_flight, {});
  const std::vector<JobId> accepted =
      key == open_key_ ? std::exchange(in_flight_, {}) : std::vector<JobId>();
  for (const Callback& done : due) done();
  for (const JobId& id : accepted) {
    jobs_[id].accepted = true;
    observer_->OnAccepted(id, now);
  }
}

void JobStore::OnChecked(const std::string& key, const KvAnswer& answer,
                         Time now) {
  Batch& batch = batches_[key];
  if (answer.kind == KvAnswer::Kind::kNoAnswer) {
    SendCall(Purpose::kCheck, {.kind = KvCall::Kind::kGet, .key = key});
    return;
  }
  std::optional<wire::JobBatch> value;
  if (!answer.items.empty()) value = ParseBatch(answer.items.front().value);
  const bool written_by_self =
      value && value->writer() == state_->settings.self.text();
  if (key == open_key_) {
    if (value && !written_by_self) {
      superseded_ = true;
      return;
    }
    if (written_by_self && value->write_number() == last_open_number_) {
      OnWriteConfirmed(key, answer.items.front().revision, now);
      return;
    }
  } else if (value) {
    for (const wire::StoredJob& stored : value->jobs()) Merge(stored, key);
  }
  batch.revision =
      answer.items.empty() ? Revision{0} : answer.items.front().revision;
  Write(key, &batch);
}

wire::StoredJob* JobStore::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second.accepted) return nullptr;
  return &found->second.job;
}

std::vector<JobId> JobStore::Ids() const {
  std::vector<JobId> ids;
  ids.reserve(jobs_.size());
  for (const auto& [id, stored] : jobs_) ids.push_back(id);
  return ids;
}

void JobStore::MarkChanged(const JobId& id, std::function<void()> done) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Batch& batch = batches_[found->second.batch];
  batch.dirty = true;
  batch.done.push_back(std::move(done));
}

void JobStore::MarkChangedUrgently(const JobId& id,
                                   std::function<void()> done) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  batches_[found->second.batch].urgent = true;
  MarkChanged(id, std::move(done));
}

void JobStore::Remove(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Batch& batch = batches_[found->second.batch];
  std::erase(batch.jobs, id);
  batch.dirty = true;
  jobs_.erase(found);
}

void JobStore::WriteDirty(bool only_urgent) {
  size_t written = 0;
  for (auto& [key, batch] : batches_) {
    if (written >= kMaxProgressWrites) break;
    if (!batch.dirty || batch.writing) continue;
    if (only_urgent && !batch.urgent) continue;
    Write(key, &batch);
    ++written;
  }
}

void JobStore::DropEmptyBatches() {
  std::erase_if(batches_, [&](const auto& entry) {
    const auto& [key, batch] = entry;
    const bool removable = key != open_key_ && batch.jobs.empty() &&
                           !batch.writing && batch.done.empty();
    if (removable) {
      state_->Call({.kind = KvCall::Kind::kDelete,
                    .key = key,
                    .expected = batch.revision});
    }
    return removable;
  });
}

// ---- sealing ----

void JobStore::BeginSeal() {
  sealing_ = true;
  open_batch().writing = true;
  seal_key_ = prefix_ + state_->settings.self.text() + "-" +
              std::to_string(next_number_++);
  SendSeal();
}

void JobStore::SendSeal() {
  SendCall(Purpose::kSeal, {.kind = KvCall::Kind::kPut,
                            .key = seal_key_,
                            .value = Serialize(open_batch(), next_number_++),
                            .expected = Revision{0}});
}

void JobStore::OnSealed(const KvAnswer& answer) {
  // Nobody else writes this key, so a conflict means that an earlier attempt
  // succeeded.
  const bool exists = answer.kind == KvAnswer::Kind::kDone ||
                      answer.kind == KvAnswer::Kind::kConflict;
  if (!exists) {
    state_->Count("quetzal_retries_total", "job_seal_unanswered");
    SendSeal();
    return;
  }
  Batch& sealed = batches_[seal_key_];
  sealed.revision = answer.revision;
  sealed.dirty = true;
  sealed.jobs = std::exchange(open_batch().jobs, {});
  sealed.done = std::exchange(open_batch().done, {});
  for (const JobId& id : sealed.jobs) jobs_[id].batch = seal_key_;
  open_batch().writing = false;
  open_batch().dirty = true;
  sealing_ = false;
}

// ---- events ----

bool JobStore::OnKvAnswer(const KvAnswer& answer, Time now) {
  const auto found = calls_.extract(answer.id);
  if (!found) return false;
  const Call& call = found.mapped();
  switch (call.purpose) {
    case Purpose::kList:
      OnListed(answer, now);
      break;
    case Purpose::kClaim:
      OnClaimed(answer, now);
      break;
    case Purpose::kWrite:
      OnWritten(call.key, answer, now);
      break;
    case Purpose::kCheck:
      OnChecked(call.key, answer, now);
      break;
    case Purpose::kSeal:
      OnSealed(answer);
      break;
  }
  return true;
}

void JobStore::Tick(Time now) {
  if (!loaded_ && calls_.empty() && now >= retry_at_) Load(now);
  AddWaitingJobs(now);
  WriteDirty(/*only_urgent=*/true);
  if (now - progress_at_ < state_->settings.progress_interval) return;
  progress_at_ = now;
  const bool full = open_batch().jobs.size() >= kMaxOpenJobs;
  if (loaded_ && full && !open_batch().writing && !sealing_) BeginSeal();
  WriteDirty(/*only_urgent=*/false);
  DropEmptyBatches();
}

}  // namespace quetzal::placer_internal
