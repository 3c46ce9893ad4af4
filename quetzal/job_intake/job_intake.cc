#include "quetzal/job_intake/job_intake.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace quetzal {
namespace {

// Each job takes a condition and two puts.
constexpr size_t kMaxBatchSize = kMaxTransactionEntries / 3;
// Transactions in flight at a time: enough to cover the round trip to a distant
// store.
constexpr int kMaxInFlight = 4;
// A store whose rate limit is used up refuses at once; a later attempt has
// better chances.
constexpr int kMaxRefusals = 3;
constexpr Milliseconds kRetryAfterRefusal{70};
constexpr Milliseconds kRetryAfterNoAnswer{20};
// Allows three attempts at a store that usually answers within a tenth of this
// time, and leaves the caller time to submit the job to another entry, which
// may reach the store.
constexpr Milliseconds kUnresponsiveAfter{850};
// How long callers may submit a job again.
constexpr Milliseconds kUnresolvedRetention{120'000};

}  // namespace

JobIntake::JobIntake(Store* store, StoreWatcher::Timer after, Clock clock,
                     EventLog* log, Metrics* metrics)
    : store_(store),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log),
      metrics_(metrics) {}

void JobIntake::Submit(const AcceptedJob& job, Time deadline, Callback done) {
  deadline = std::min(deadline, clock_() + kMaxSubmissionTime);
  const auto found = open_.find(job.id);
  if (found != open_.end()) {
    found->second.callbacks.push_back(std::move(done));
    found->second.deadline = std::max(found->second.deadline, deadline);
    return;
  }
  OpenJob open{.job = job,
               .deadline = deadline,
               .may_be_written = unresolved_.contains(job.id)};
  open.callbacks.push_back(std::move(done));
  open_.emplace(job.id, std::move(open));
  queue_.push_back(job.id);
  if (in_flight_ == 0) {
    Flush();
    return;
  }
  // Jobs that arrive together share a transaction.
  if (std::exchange(flush_pending_, true)) return;
  after_(Milliseconds(0), [this] {
    flush_pending_ = false;
    Flush();
  });
}

void JobIntake::Flush() {
  while (!queue_.empty() && in_flight_ < kMaxInFlight) {
    Batch batch;
    while (!queue_.empty() && batch.size() < kMaxBatchSize) {
      const JobId id = queue_.front();
      queue_.pop_front();
      const auto found = open_.find(id);
      if (found == open_.end()) continue;
      if (clock_() > found->second.deadline) {
        Finish(id, found->second.may_be_written ? IntakeOutcome::kUnknown
                                                : IntakeOutcome::kNotAccepted);
        continue;
      }
      batch.push_back(id);
    }
    if (!batch.empty()) Send(batch);
  }
}

void JobIntake::Send(const Batch& batch) {
  Transaction transaction;
  for (const JobId& id : batch) {
    const std::string key = JobKey(id);
    transaction.conditions.push_back({key, kAbsent});
    const AcceptedJob& job = open_.at(id).job;
    transaction.puts.push_back(
        {.key = key, .value = EncodeJobRecord(job.queue, JobState::kQueued)});
    transaction.puts.push_back(
        {.key = RequestKey(id), .value = EncodeJob(job)});
  }
  ++in_flight_;
  const Time sent = clock_();
  if (!unanswered_since_) unanswered_since_ = sent;
  auto is_handled = std::make_shared<bool>(false);
  store_->Apply(transaction, [this, batch, sent,
                              is_handled](const TransactionAnswer& answer) {
    const Milliseconds latency = clock_() - sent;
    metrics_->Observe("quetzal_store_commit_ms", {{"what", "accept"}},
                      static_cast<double>(latency.count()));
    if (answer.outcome != StoreOutcome::kUnknown) {
      answer_timeout_.Observe(latency);
      unanswered_since_.reset();
    }
    if (std::exchange(*is_handled, true)) {
      OnLateAnswer(batch, answer);
      return;
    }
    --in_flight_;
    OnAnswer(batch, answer);
    Flush();
  });
  after_(answer_timeout_.timeout(), [this, batch, is_handled] {
    if (std::exchange(*is_handled, true)) return;
    metrics_->Count("quetzal_accept_answers_missed_total");
    --in_flight_;
    OnUnknown(batch);
    Flush();
  });
}

void JobIntake::OnLateAnswer(const Batch& batch,
                             const TransactionAnswer& answer) {
  if (answer.outcome != StoreOutcome::kDone) return;
  for (const JobId& id : batch) Finish(id, IntakeOutcome::kAccepted);
}

void JobIntake::OnAnswer(const Batch& batch, const TransactionAnswer& answer) {
  switch (answer.outcome) {
    case StoreOutcome::kDone:
      for (const JobId& id : batch) Finish(id, IntakeOutcome::kAccepted);
      return;
    case StoreOutcome::kConflict:
      OnConflict(batch, answer);
      return;
    case StoreOutcome::kUnknown:
      OnUnknown(batch);
      return;
    case StoreOutcome::kRefused:
    case StoreOutcome::kMissing:
    case StoreOutcome::kCompacted:
      OnRefused(batch);
      return;
  }
}

// Some jobs were accepted or cancelled before; the others are retried without
// them.
void JobIntake::OnConflict(const Batch& batch,
                           const TransactionAnswer& answer) {
  std::unordered_map<std::string, IntakeOutcome> decided;
  for (const StoreItem& item : answer.current) {
    if (item.revision == kAbsent) continue;
    decided[item.key] = IsTombstone(item.value) ? IntakeOutcome::kCancelled
                                                : IntakeOutcome::kAccepted;
  }
  Batch remaining;
  for (const JobId& id : batch) {
    const auto found = decided.find(JobKey(id));
    if (found != decided.end()) {
      Finish(id, found->second);
    } else {
      remaining.push_back(id);
    }
  }
  Retry(remaining, Milliseconds(0));
}

void JobIntake::OnRefused(const Batch& batch) {
  Batch remaining;
  for (const JobId& id : batch) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    OpenJob& open = found->second;
    const bool late = clock_() + kRetryAfterRefusal > open.deadline;
    if (++open.refusals < kMaxRefusals && !late) {
      remaining.push_back(id);
    } else {
      Finish(id, open.may_be_written ? IntakeOutcome::kUnknown
                                     : IntakeOutcome::kNotAccepted);
    }
  }
  Retry(remaining, kRetryAfterRefusal);
}

// The condition makes a retry harmless: it fails if the first attempt was
// carried out, or is carried out before the retry.
void JobIntake::OnUnknown(const Batch& batch) {
  const bool is_unresponsive =
      unanswered_since_ && clock_() - *unanswered_since_ >= kUnresponsiveAfter;
  if (is_unresponsive && on_unresponsive_) on_unresponsive_();
  Batch remaining;
  for (const JobId& id : batch) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    OpenJob& open = found->second;
    open.may_be_written = true;
    if (is_unresponsive || clock_() + kRetryAfterNoAnswer > open.deadline) {
      Finish(id, IntakeOutcome::kUnknown);
    } else {
      remaining.push_back(id);
    }
  }
  Retry(remaining, kRetryAfterNoAnswer);
}

void JobIntake::Retry(const Batch& batch, Milliseconds delay) {
  if (batch.empty()) return;
  metrics_->Count("quetzal_accept_retries_total", {}, batch.size());
  after_(delay, [this, batch] {
    for (const JobId& id : batch) queue_.push_back(id);
    Flush();
  });
}

void JobIntake::Finish(const JobId& id, IntakeOutcome outcome) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const std::vector<Callback> callbacks = std::move(found->second.callbacks);
  open_.erase(found);
  if (outcome == IntakeOutcome::kUnknown) {
    RememberUnresolved(id);
  } else {
    unresolved_.erase(id);
  }
  for (const Callback& callback : callbacks) callback(outcome);
}

void JobIntake::RememberUnresolved(const JobId& id) {
  const Time now = clock_();
  while (!unresolved_order_.empty() &&
         now - unresolved_order_.front().first >= kUnresolvedRetention) {
    const auto& [since, expired] = unresolved_order_.front();
    const auto found = unresolved_.find(expired);
    if (found != unresolved_.end() && found->second == since) {
      unresolved_.erase(found);
    }
    unresolved_order_.pop_front();
  }
  unresolved_[id] = now;
  unresolved_order_.emplace_back(now, id);
}

bool JobIntake::MayBeAccepted(const JobId& id) const {
  return open_.contains(id) || unresolved_.contains(id);
}

}  // namespace quetzal
