#include "quetzal/tombstone_remover/tombstone_remover.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

// Each takes a condition and a removal, beside the condition on the leader key.
constexpr size_t kMaxPerTransaction = (kMaxTransactionEntries - 1) / 2;
// Leaves most of the store's limit for writes to others.
constexpr int kMaxTransactionsPerRound = 16;

}  // namespace

TombstoneRemover::TombstoneRemover(Store* store,
                                   TombstoneRemoverSettings settings,
                                   StoreWatcher::Timer after, Clock clock,
                                   EventLog* log)
    : store_(store),
      settings_(settings),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log) {}

void TombstoneRemover::Start() {
  after_(settings_.interval, lifetime_.Guard([this] {
    RemoveExpired();
    Start();
  }));
}

void TombstoneRemover::OnTombstone(const JobId& id, Revision revision) {
  Revision& newest = revisions_[id];
  if (revision <= newest) return;
  newest = revision;
  tombstones_.push_back({id, revision, clock_()});
}

bool TombstoneRemover::IsNewest(const Tombstone& tombstone) const {
  const auto found = revisions_.find(tombstone.id);
  return found != revisions_.end() && found->second == tombstone.revision;
}

std::vector<TombstoneRemover::Tombstone> TombstoneRemover::TakeExpired() {
  std::vector<Tombstone> expired;
  while (!tombstones_.empty() && expired.size() < kMaxPerTransaction) {
    const Tombstone& oldest = tombstones_.front();
    if (clock_() - oldest.received < settings_.retention) break;
    if (IsNewest(oldest)) expired.push_back(oldest);
    tombstones_.pop_front();
  }
  return expired;
}

void TombstoneRemover::RemoveExpired() {
  for (int i = 0; i < kMaxTransactionsPerRound; ++i) {
    const std::vector<Tombstone> expired = TakeExpired();
    if (expired.empty()) return;
    Send(expired);
  }
}

void TombstoneRemover::Send(const std::vector<Tombstone>& expired) {
  Transaction transaction{
      .conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}}}};
  for (const Tombstone& tombstone : expired) {
    const std::string key = JobKey(tombstone.id);
    transaction.conditions.push_back({key, tombstone.revision});
    transaction.removes.push_back(key);
  }
  store_->Apply(transaction, lifetime_.Guard<TransactionAnswer>(
                                 [this, expired](const TransactionAnswer& a) {
                                   OnAnswer(expired, a);
                                 }));
}

void TombstoneRemover::OnAnswer(const std::vector<Tombstone>& expired,
                                const TransactionAnswer& answer) {
  std::unordered_map<std::string, Revision> current;
  for (const StoreItem& item : answer.current) {
    current[item.key] = item.revision;
  }
  const bool is_done = answer.outcome == StoreOutcome::kDone;
  if (!is_done) log_->Line("tombstones_not_removed", {});
  for (const Tombstone& tombstone : expired) {
    if (!IsNewest(tombstone)) continue;
    const auto found = current.find(JobKey(tombstone.id));
    const bool has_changed =
        found != current.end() && found->second != tombstone.revision;
    if (is_done || has_changed) {
      revisions_.erase(tombstone.id);
    } else {
      // Is tried again in the next round.
      tombstones_.push_front(tombstone);
    }
  }
}

}  // namespace quetzal
