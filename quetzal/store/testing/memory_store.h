// A store in memory for tests: linearizable, with leases that expire only when
// a test says so, and with injected faults.
//
//   MemoryStore store([&](auto f) { queue.push_back(f); });
//   store.FailNextTransaction(StoreOutcome::kUnknown, /*is_applied=*/true);
#ifndef QUETZAL_STORE_TESTING_MEMORY_STORE_H_
#define QUETZAL_STORE_TESTING_MEMORY_STORE_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "quetzal/store/store.h"

namespace quetzal::testing {

class MemoryStore : public Store {
 public:
  // Takes functions that deliver an answer, to be called later and in order.
  using Defer = std::function<void(std::function<void()>)>;
  explicit MemoryStore(Defer defer) : defer_(std::move(defer)) {}

  void Read(const std::string& key,
            std::function<void(const ReadAnswer&)> done) override;
  void Range(const std::string& prefix, const std::string& after,
             std::function<void(const ReadAnswer&)> done) override;
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             std::function<void(const WatchAnswer&)> done) override;
  void Apply(const Transaction& transaction,
             std::function<void(const TransactionAnswer&)> done) override;
  void GrantLease(Milliseconds ttl,
                  std::function<void(const LeaseAnswer&)> done) override;
  void RenewLease(LeaseId lease,
                  std::function<void(const LeaseAnswer&)> done) override;
  void RevokeLease(LeaseId lease,
                   std::function<void(StoreOutcome)> done) override;

  // The next transaction gets this outcome; it is applied only if `is_applied`.
  void FailNextTransaction(StoreOutcome outcome, bool is_applied) {
    failures_.push_back({outcome, is_applied});
  }
  // The next transaction gets no answer; it is applied only if `is_applied`.
  void DropNextAnswer(bool is_applied) {
    failures_.push_back({StoreOutcome::kUnknown, is_applied, true});
  }
  // The next transaction gets no answer; it is executed, if its conditions hold
  // then, by `ExecuteHeldTransactions`.
  void HoldNextTransaction() {
    failures_.push_back({StoreOutcome::kUnknown, false, true, true});
  }
  void ExecuteHeldTransactions();
  // The next `count` lease renewals have no effect and get no answer.
  void DropRenewals(int count) { renewals_to_drop_ = count; }
  // All calls are refused while it is set.
  void SetDown(bool down) { down_ = down; }
  // Watches report nothing and aren't answered while it is set.
  void SetWatchesStalled(bool stalled) {
    are_watches_stalled_ = stalled;
    AnswerWatchers();
  }
  // Answers all watches without events and with the current revision, even if
  // changes weren't reported to them because they are stalled.
  void EndWatchesWithoutEvents();
  // Drops the history: watchers must list again.
  void Compact();
  // Removes the lease and its keys, as if its TTL had passed.
  void ExpireLease(LeaseId lease);
  const StoreItem* Find(const std::string& key) const;
  size_t transactions() const { return transactions_; }
  size_t listings() const { return listings_; }
  Revision revision() const { return Revision{revision_}; }

 private:
  struct Failure {
    StoreOutcome outcome;
    bool is_applied;
    bool is_unanswered = false;
    bool is_held = false;
  };
  struct Watcher {
    std::string prefix;
    Revision after;
    std::function<void(const WatchAnswer&)> done;
  };

  TransactionAnswer Execute(const Transaction& transaction);
  void AddEvent(const StoreEvent& event);
  void AnswerWatchers();
  WatchAnswer EventsFor(const Watcher& watcher) const;

  Defer defer_;
  bool down_ = false;
  bool are_watches_stalled_ = false;
  int renewals_to_drop_ = 0;
  uint64_t revision_ = 1;
  uint64_t compacted_revision_ = 0;
  uint64_t next_lease_ = 1;
  size_t transactions_ = 0;
  size_t listings_ = 0;
  std::map<std::string, StoreItem> items_;
  std::map<uint64_t, Milliseconds> leases_;
  std::deque<StoreEvent> history_;
  std::list<Watcher> watchers_;
  std::deque<Failure> failures_;
  std::vector<Transaction> held_transactions_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_STORE_TESTING_MEMORY_STORE_H_
