// One process's link to a store that others use too: its calls can fail while
// the store goes on, and its watches end after their wait.
//
//   MemoryStore store(clock.AfterOneMillisecond());
//   StoreLink link(&store, clock.Timer());
//   link.SetFault(StoreLink::Fault::kRefused);
#ifndef QUETZAL_STORE_TESTING_STORE_LINK_H_
#define QUETZAL_STORE_TESTING_STORE_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "quetzal/store/store.h"

namespace quetzal::testing {

class StoreLink : public Store {
 public:
  enum class Fault {
    kNone,
    kRefused,     // calls are refused after a round trip
    kUnanswered,  // calls time out
  };

  StoreLink(Store* store, StoreWatcher::Timer after)
      : store_(store), after_(std::move(after)) {}

  void SetFault(Fault fault) { fault_ = fault; }
  // Answers of reads and watches arrive this much later.
  void SetLatency(Milliseconds latency) { latency_ = latency; }
  // The next `count` reads and watches time out, but for reads on new
  // connections: that many connections are dead.
  void KillConnections(int count) { dead_connections_ = count; }
  // Calls that read, and values that their answers held.
  int reads() const { return reads_; }
  size_t values() const { return values_; }

  void Read(const std::string& key,
            std::function<void(const ReadAnswer&)> done) override {
    if (IsOnDeadConnection()) {
      FailAfter<ReadAnswer>(kCallTimeout, StoreOutcome::kUnknown, done);
      return;
    }
    ReadOnNewConnection(key, std::move(done));
  }
  void ReadOnNewConnection(
      const std::string& key,
      std::function<void(const ReadAnswer&)> done) override {
    ++reads_;
    if (Fails<ReadAnswer>(kCallTimeout, done)) return;
    store_->Read(key, Delayed<ReadAnswer>(Counted(std::move(done))));
  }
  void Range(const std::string& prefix, const std::string& after,
             std::function<void(const ReadAnswer&)> done) override {
    ++reads_;
    if (Fails<ReadAnswer>(kCallTimeout, done)) return;
    store_->Range(prefix, after, Counted(std::move(done)));
  }
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             std::function<void(const WatchAnswer&)> done) override {
    const Milliseconds timeout = wait + kWatchTimeoutMargin;
    if (IsOnDeadConnection()) {
      FailAfter<WatchAnswer>(timeout, StoreOutcome::kUnknown, done);
      return;
    }
    if (Fails<WatchAnswer>(timeout, done)) return;
    const auto is_answered = std::make_shared<bool>(false);
    const auto answer_once =
        [this, is_answered, done = std::move(done)](const WatchAnswer& answer) {
          if (std::exchange(*is_answered, true)) return;
          if (fault_ != Fault::kNone) {
            FailAfter<WatchAnswer>(kWatchTimeoutMargin, StoreOutcome::kUnknown,
                                   done);
            return;
          }
          values_ += answer.events.size();
          Delayed<WatchAnswer>(done)(answer);
        };
    after_(wait,
           [answer_once] { answer_once({.outcome = StoreOutcome::kDone}); });
    store_->Watch(prefix, after, wait, answer_once);
  }
  void Apply(const Transaction& transaction,
             std::function<void(const TransactionAnswer&)> done) override {
    if (Fails<TransactionAnswer>(kCallTimeout, done)) return;
    store_->Apply(transaction, std::move(done));
  }
  void GrantLease(Milliseconds ttl,
                  std::function<void(const LeaseAnswer&)> done) override {
    if (Fails<LeaseAnswer>(kCallTimeout, done)) return;
    store_->GrantLease(ttl, std::move(done));
  }
  void RenewLease(LeaseId lease,
                  std::function<void(const LeaseAnswer&)> done) override {
    if (Fails<LeaseAnswer>(kCallTimeout, done)) return;
    store_->RenewLease(lease, std::move(done));
  }
  void RevokeLease(LeaseId lease,
                   std::function<void(StoreOutcome)> done) override {
    store_->RevokeLease(lease, std::move(done));
  }

 private:
  // Those of the client of the users' store.
  static constexpr Milliseconds kCallTimeout{1'600};
  static constexpr Milliseconds kWatchTimeoutMargin{1'200};
  static constexpr Milliseconds kRoundTrip{2};

  bool IsOnDeadConnection() {
    if (dead_connections_ == 0) return false;
    --dead_connections_;
    return true;
  }
  template <typename Answer>
  void FailAfter(Milliseconds delay, StoreOutcome outcome,
                 std::function<void(const Answer&)> done) {
    after_(delay, [outcome, done = std::move(done)] {
      Answer answer;
      answer.outcome = outcome;
      done(answer);
    });
  }
  template <typename Answer>
  bool Fails(Milliseconds timeout, std::function<void(const Answer&)> done) {
    if (fault_ == Fault::kNone) return false;
    if (fault_ == Fault::kRefused) {
      FailAfter<Answer>(kRoundTrip, StoreOutcome::kRefused, std::move(done));
    } else {
      FailAfter<Answer>(timeout, StoreOutcome::kUnknown, std::move(done));
    }
    return true;
  }
  template <typename Answer>
  std::function<void(const Answer&)> Delayed(
      std::function<void(const Answer&)> done) {
    if (latency_.count() == 0) return done;
    return [this, done = std::move(done)](const Answer& answer) {
      after_(latency_, [done, answer] { done(answer); });
    };
  }
  std::function<void(const ReadAnswer&)> Counted(
      std::function<void(const ReadAnswer&)> done) {
    return [this, done = std::move(done)](const ReadAnswer& answer) {
      values_ += answer.items.size();
      done(answer);
    };
  }

  Store* store_;
  StoreWatcher::Timer after_;
  Fault fault_ = Fault::kNone;
  Milliseconds latency_{0};
  int dead_connections_ = 0;
  int reads_ = 0;
  size_t values_ = 0;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_STORE_TESTING_STORE_LINK_H_
