#include "quetzal/store/testing/memory_store.h"

#include <utility>

namespace quetzal::testing {

void MemoryStore::Read(const std::string& key,
                       std::function<void(const ReadAnswer&)> done) {
  ReadAnswer answer{.outcome = StoreOutcome::kRefused};
  if (!down_) {
    answer.store_revision = Revision{revision_};
    const StoreItem* const item = Find(key);
    answer.outcome =
        item == nullptr ? StoreOutcome::kMissing : StoreOutcome::kDone;
    if (item != nullptr) answer.items.push_back(*item);
  }
  defer_([answer, done = std::move(done)] { done(answer); });
}

void MemoryStore::Range(const std::string& prefix, const std::string& after,
                        std::function<void(const ReadAnswer&)> done) {
  ++listings_;
  ReadAnswer answer{.outcome = StoreOutcome::kRefused};
  if (!down_) {
    answer.outcome = StoreOutcome::kDone;
    answer.store_revision = Revision{revision_};
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && key > after) answer.items.push_back(item);
    }
  }
  defer_([answer, done = std::move(done)] { done(answer); });
}

void MemoryStore::Watch(const std::string& prefix, Revision after,
                        Milliseconds /*wait*/,
                        std::function<void(const WatchAnswer&)> done) {
  watchers_.push_back({prefix, after, std::move(done)});
  AnswerWatchers();
}

WatchAnswer MemoryStore::EventsFor(const Watcher& watcher) const {
  WatchAnswer answer{.outcome = StoreOutcome::kDone,
                     .store_revision = Revision{revision_}};
  if (down_) {
    answer.outcome = StoreOutcome::kRefused;
  } else if (static_cast<uint64_t>(watcher.after) < compacted_revision_) {
    answer.outcome = StoreOutcome::kCompacted;
  }
  for (const StoreEvent& event : history_) {
    if (event.item.revision > watcher.after &&
        event.item.key.starts_with(watcher.prefix)) {
      answer.events.push_back(event);
    }
  }
  return answer;
}

void MemoryStore::AnswerWatchers() {
  if (are_watches_stalled_) return;
  for (auto each = watchers_.begin(); each != watchers_.end();) {
    WatchAnswer answer = EventsFor(*each);
    if (answer.outcome == StoreOutcome::kDone && answer.events.empty()) {
      ++each;
      continue;
    }
    defer_([answer, done = std::move(each->done)] { done(answer); });
    each = watchers_.erase(each);
  }
}

void MemoryStore::EndWatchesWithoutEvents() {
  const WatchAnswer answer{.outcome = StoreOutcome::kDone,
                           .store_revision = Revision{revision_}};
  for (Watcher& watcher : watchers_) {
    defer_([answer, done = std::move(watcher.done)] { done(answer); });
  }
  watchers_.clear();
}

TransactionAnswer MemoryStore::Execute(const Transaction& transaction) {
  TransactionAnswer answer;
  for (const StoreCondition& condition : transaction.conditions) {
    const StoreItem* const item = Find(condition.key);
    const Revision now = item == nullptr ? kAbsent : item->revision;
    if (now != condition.revision) answer.outcome = StoreOutcome::kConflict;
    answer.current.push_back(item == nullptr ? StoreItem{.key = condition.key}
                                             : *item);
  }
  if (answer.outcome == StoreOutcome::kConflict) return answer;
  answer.current.clear();
  answer.outcome = StoreOutcome::kDone;
  answer.revision = Revision{++revision_};
  ++transactions_;
  for (const StorePut& put : transaction.puts) {
    StoreItem& item = items_[put.key];
    if (item.created == kAbsent) item.created = answer.revision;
    item.key = put.key;
    item.value = put.value;
    item.lease = put.lease;
    item.revision = answer.revision;
    AddEvent({item, false});
  }
  for (const std::string& key : transaction.removes) {
    if (items_.erase(key) == 0) continue;
    AddEvent({{.key = key, .revision = answer.revision}, true});
  }
  return answer;
}

void MemoryStore::AddEvent(const StoreEvent& event) {
  history_.push_back(event);
}

void MemoryStore::Apply(const Transaction& transaction,
                        std::function<void(const TransactionAnswer&)> done) {
  TransactionAnswer answer{.outcome = StoreOutcome::kRefused};
  bool is_answered = true;
  if (!down_) {
    if (failures_.empty()) {
      answer = Execute(transaction);
    } else {
      const Failure failure = failures_.front();
      failures_.pop_front();
      if (failure.is_applied) Execute(transaction);
      if (failure.is_held) held_transactions_.push_back(transaction);
      answer.outcome = failure.outcome;
      is_answered = !failure.is_unanswered;
    }
  }
  if (is_answered) defer_([answer, done = std::move(done)] { done(answer); });
  AnswerWatchers();
}

void MemoryStore::ExecuteHeldTransactions() {
  for (const Transaction& held : std::exchange(held_transactions_, {})) {
    Execute(held);
  }
  AnswerWatchers();
}

void MemoryStore::GrantLease(Milliseconds ttl,
                             std::function<void(const LeaseAnswer&)> done) {
  LeaseAnswer answer{.outcome = StoreOutcome::kRefused};
  if (!down_) {
    answer = {StoreOutcome::kDone, LeaseId{next_lease_}, ttl};
    leases_[next_lease_++] = ttl;
  }
  defer_([answer, done = std::move(done)] { done(answer); });
}

void MemoryStore::RenewLease(LeaseId lease,
                             std::function<void(const LeaseAnswer&)> done) {
  if (renewals_to_drop_ > 0) {
    --renewals_to_drop_;
    return;
  }
  LeaseAnswer answer{.outcome = StoreOutcome::kRefused};
  if (!down_) {
    const auto found = leases_.find(static_cast<uint64_t>(lease));
    answer.outcome =
        found == leases_.end() ? StoreOutcome::kMissing : StoreOutcome::kDone;
  }
  defer_([answer, done = std::move(done)] { done(answer); });
}

void MemoryStore::RevokeLease(LeaseId lease,
                              std::function<void(StoreOutcome)> done) {
  const StoreOutcome outcome =
      down_ ? StoreOutcome::kRefused : StoreOutcome::kDone;
  if (!down_) ExpireLease(lease);
  defer_([outcome, done = std::move(done)] { done(outcome); });
}

void MemoryStore::Compact() {
  history_.clear();
  compacted_revision_ = ++revision_;
  AnswerWatchers();
}

void MemoryStore::ExpireLease(LeaseId lease) {
  leases_.erase(static_cast<uint64_t>(lease));
  ++revision_;
  for (auto each = items_.begin(); each != items_.end();) {
    if (each->second.lease != lease) {
      ++each;
      continue;
    }
    AddEvent({{.key = each->first, .revision = Revision{revision_}}, true});
    each = items_.erase(each);
  }
  AnswerWatchers();
}

const StoreItem* MemoryStore::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

}  // namespace quetzal::testing
