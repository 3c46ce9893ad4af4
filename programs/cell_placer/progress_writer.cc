#include "programs/cell_placer/progress_writer.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal {
namespace {

// Entries that a job takes in a transaction at most: two conditions and two
// puts, or a condition, a put and two removals.
constexpr size_t kMaxEntriesPerJob = 4;
// An expired job takes four removals, beside the condition on the leader key.
constexpr size_t kMaxExpiredPerTransaction = (kMaxTransactionEntries - 1) / 4;
// Minimum time between two flushes: each commit has a cost, and many tasks end
// within this time.
constexpr Milliseconds kMinFlushInterval{20};
// Sustains the rate at which tasks end over the round trip to a distant store.
constexpr int kMaxTransactionsInFlight = 6;
constexpr Milliseconds kRetryDelay{100};
constexpr Milliseconds kRemovalInterval{2'000};

}  // namespace

ProgressWriter::ProgressWriter(Cell* cell, Store* store, EventLog* log,
                               Metrics* metrics,
                               std::function<void()> on_stored)
    : cell_(cell),
      store_(store),
      log_(log),
      metrics_(metrics),
      on_stored_(std::move(on_stored)) {}

void ProgressWriter::Defer(Milliseconds delay, std::function<void()> step) {
  RunAfter(delay, lifetime_.Guard(std::move(step)));
}

StoreCondition ProgressWriter::LeaderCondition() const {
  return {LeaderKey(), Revision{static_cast<uint64_t>(fence_)}};
}

void ProgressWriter::Start() {
  Defer(kRemovalInterval, [this] { RemoveExpired(); });
}

void ProgressWriter::OnItem(const StoreItem& item) {
  const CellKey key = ParseCellKey(item.key);
  const JobId id(key.name);
  if (key.kind == CellKeyKind::kRequest) {
    request_revisions_[id] = item.revision;
  } else if (key.kind == CellKeyKind::kProgress) {
    Revision& recorded = progress_revisions_[id];
    recorded = std::max(recorded, item.revision);
  } else if (key.kind == CellKeyKind::kJob) {
    if (DecodeState(item.value) == JobState::kRunning) {
      running_records_.insert(id);
    } else {
      running_records_.erase(id);
    }
  }
}

void ProgressWriter::OnRemoved(const std::string& key) {
  const CellKey parsed = ParseCellKey(key);
  const JobId id(parsed.name);
  if (parsed.kind == CellKeyKind::kRequest) request_revisions_.erase(id);
  if (parsed.kind == CellKeyKind::kProgress) progress_revisions_.erase(id);
  if (parsed.kind == CellKeyKind::kJob) running_records_.erase(id);
}

void ProgressWriter::Flush() {
  if (flush_pending_ || !cell_->has_progress_writes()) return;
  const Time now = Now();
  if (now < next_flush_) {
    flush_pending_ = true;
    Defer(next_flush_ - now, [this] {
      flush_pending_ = false;
      Flush();
    });
    return;
  }
  next_flush_ = now + kMinFlushInterval;
  while (cell_->has_progress_writes() &&
         transactions_in_flight_ < kMaxTransactionsInFlight) {
    Commit();
  }
}

void ProgressWriter::Commit() {
  Transaction transaction{.conditions = {LeaderCondition()}};
  std::vector<ProgressWrite> writes;
  while (transaction.size() + kMaxEntriesPerJob <= kMaxTransactionEntries) {
    std::vector<ProgressWrite> next = cell_->TakeProgressWrites(1);
    if (next.empty()) break;
    Add(next[0], &transaction);
    writes.push_back(std::move(next[0]));
  }
  if (writes.empty()) return;
  ++transactions_in_flight_;
  const Time sent = Now();
  auto is_handled = std::make_shared<bool>(false);
  store_->Apply(
      transaction,
      lifetime_.Guard<TransactionAnswer>(
          [this, writes, sent, is_handled](const TransactionAnswer& answer) {
            const Milliseconds latency = Now() - sent;
            metrics_->Observe("quetzal_store_commit_ms", {{"what", "progress"}},
                              static_cast<double>(latency.count()));
            if (answer.outcome != StoreOutcome::kUnknown) {
              timeout_.Observe(latency);
            }
            if (std::exchange(*is_handled, true)) return;
            OnAnswer(writes, answer);
          }));
  Defer(timeout_.timeout(), [this, writes, is_handled] {
    if (!std::exchange(*is_handled, true)) OnAnswer(writes, {});
  });
}

void ProgressWriter::Add(const ProgressWrite& write,
                         Transaction* transaction) const {
  const std::string key = ProgressKey(write.job);
  const auto found = progress_revisions_.find(write.job);
  const Revision revision =
      found == progress_revisions_.end() ? kAbsent : found->second;
  transaction->conditions.push_back({key, revision});
  const auto request = request_revisions_.find(write.job);
  if (write.final) {
    transaction->puts.push_back(
        {.key = JobKey(write.job), .value = write.record});
    if (request != request_revisions_.end()) {
      transaction->removes.push_back(RequestKey(write.job));
    }
    if (revision != kAbsent) transaction->removes.push_back(key);
    return;
  }
  transaction->puts.push_back({.key = key, .value = write.value});
  // An earlier version stored the request in the record.
  if (request == request_revisions_.end()) return;
  // The job's end removes its progress, so only this condition prevents a first
  // write that is carried out after it.
  if (revision == kAbsent) {
    transaction->conditions.push_back({RequestKey(write.job), request->second});
  }
  if (write.state == JobState::kRunning &&
      !running_records_.contains(write.job)) {
    transaction->puts.push_back(
        {.key = JobKey(write.job), .value = write.record});
  }
}

void ProgressWriter::OnAnswer(const std::vector<ProgressWrite>& writes,
                              const TransactionAnswer& answer) {
  --transactions_in_flight_;
  if (answer.outcome == StoreOutcome::kDone) {
    for (const ProgressWrite& write : writes) {
      RecordStored(write, answer.revision);
      cell_->OnProgressStored(write.job, write.version);
    }
    on_stored_();
    return;
  }
  metrics_->Count("quetzal_progress_retries_total");
  if (answer.outcome == StoreOutcome::kConflict) {
    UpdateRevisions(writes, answer.current);
  }
  // A retry is safe: if the first commit took effect, the condition of the
  // second one fails, and the conflict returns the current revision.
  const bool may_be_done = answer.outcome == StoreOutcome::kUnknown;
  ++transactions_in_flight_;
  Defer(may_be_done ? Milliseconds(0) : kRetryDelay, [this, writes] {
    --transactions_in_flight_;
    ReportFailure(writes);
  });
}

void ProgressWriter::RecordStored(const ProgressWrite& write,
                                  Revision revision) {
  if (write.final) {
    progress_revisions_.erase(write.job);
    request_revisions_.erase(write.job);
    running_records_.erase(write.job);
    return;
  }
  progress_revisions_[write.job] = revision;
  if (write.state == JobState::kRunning) running_records_.insert(write.job);
}

// A key that the store doesn't return is absent.
void ProgressWriter::UpdateRevisions(const std::vector<ProgressWrite>& writes,
                                     const std::vector<StoreItem>& current) {
  for (const ProgressWrite& write : writes) {
    const std::string key = ProgressKey(write.job);
    const auto found =
        std::find_if(current.begin(), current.end(),
                     [&](const StoreItem& item) { return item.key == key; });
    if (found == current.end() || found->revision == kAbsent) {
      progress_revisions_.erase(write.job);
    } else {
      progress_revisions_[write.job] = found->revision;
    }
  }
}

void ProgressWriter::ReportFailure(const std::vector<ProgressWrite>& writes) {
  for (const ProgressWrite& write : writes) {
    cell_->OnProgressWriteFailed(write.job);
  }
  Flush();
}

void ProgressWriter::RemoveExpired() {
  const std::vector<JobId> expired =
      cell_->TakeExpiredJobs(kMaxExpiredPerTransaction, Now());
  if (!expired.empty()) {
    Transaction transaction{.conditions = {LeaderCondition()}};
    for (const JobId& id : expired) {
      transaction.removes.push_back(JobKey(id));
      transaction.removes.push_back(RequestKey(id));
      transaction.removes.push_back(ProgressKey(id));
      transaction.removes.push_back(CancelKey(id));
    }
    store_->Apply(transaction,
                  lifetime_.Guard<TransactionAnswer>(
                      [this](const TransactionAnswer& answer) {
                        // The next term removes what is left.
                        if (answer.outcome != StoreOutcome::kDone) {
                          log_->Line("removal_failed", {});
                        }
                      }));
  }
  Defer(expired.empty() ? kRemovalInterval : kRetryDelay,
        [this] { RemoveExpired(); });
}

}  // namespace quetzal
