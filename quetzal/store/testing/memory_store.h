// A store in memory for tests: linearizable, with leases that end by hand and
// faults that a test asks for.
//
//   MemoryStore store([&](auto f) { queue.push_back(f); });
//   store.FailNext(StoreOutcome::kUnknown, /*but_do_it=*/true);
#ifndef QUETZAL_STORE_TESTING_MEMORY_STORE_H_
#define QUETZAL_STORE_TESTING_MEMORY_STORE_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "quetzal/store/store.h"

namespace quetzal::testing {

class MemoryStore : public Store {
 public:
  // Answers are handed to it, to be called later and in order.
  using Defer = std::function<void(std::function<void()>)>;
  explicit MemoryStore(Defer defer) : defer_(std::move(defer)) {}

  void Read(const std::string& key,
            std::function<void(const ReadAnswer&)> done) override;
  void Range(const std::string& prefix, const std::string& after,
             std::function<void(const ReadAnswer&)> done) override;
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             std::function<void(const WatchAnswer&)> done) override;
  void Apply(const Transaction& commit,
             std::function<void(const TransactionAnswer&)> done) override;
  void GrantLease(Milliseconds life,
                  std::function<void(const LeaseAnswer&)> done) override;
  void RenewLease(LeaseId lease,
                  std::function<void(const LeaseAnswer&)> done) override;
  void RevokeLease(LeaseId lease,
                   std::function<void(StoreOutcome)> done) override;

  // The next commit is answered so; it is carried out only if asked for.
  void FailNextCommit(StoreOutcome outcome, bool but_do_it) {
    failures_.push_back({outcome, but_do_it});
  }
  // The next commit gets no answer at all; it is carried out if asked for.
  void LoseNextCommit(bool but_do_it) {
    failures_.push_back({StoreOutcome::kUnknown, but_do_it, true});
  }
  // So many renewals of leases have no effect and no answer.
  void LoseRenewals(int count) { lost_renewals_ = count; }
  // All calls are refused while it is set.
  void SetDown(bool down) { down_ = down; }
  // Watches hear nothing and aren't answered while it is set.
  void SetWatchesDeaf(bool deaf) {
    deaf_ = deaf;
    AnswerWatchers();
  }
  // Forgets the history: watches must list anew.
  void Compact();
  // Removes the lease and its keys, as if it had run out.
  void Lapse(LeaseId lease);
  const StoreItem* Find(const std::string& key) const;
  size_t commits() const { return commits_; }
  size_t listings() const { return listings_; }
  Revision revision() const { return Revision{revision_}; }

 private:
  struct Failure {
    StoreOutcome outcome;
    bool but_do_it;
    bool without_answer = false;
  };
  struct Watcher {
    std::string prefix;
    Revision after;
    std::function<void(const WatchAnswer&)> done;
  };

  TransactionAnswer Carry(const Transaction& commit);
  void Record(const StoreEvent& event);
  void AnswerWatchers();
  WatchAnswer EventsFor(const Watcher& watcher) const;

  Defer defer_;
  bool down_ = false;
  bool deaf_ = false;
  int lost_renewals_ = 0;
  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;
  uint64_t next_lease_ = 1;
  size_t commits_ = 0;
  size_t listings_ = 0;
  std::map<std::string, StoreItem> items_;
  std::map<uint64_t, Milliseconds> leases_;
  std::deque<StoreEvent> history_;
  std::list<Watcher> watchers_;
  std::deque<Failure> failures_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_STORE_TESTING_MEMORY_STORE_H_
