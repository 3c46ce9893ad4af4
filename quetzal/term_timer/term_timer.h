// Shows the next placer how long ago a placer renewed its leadership last, also
// if no placer ran in between.
//
//   TermTimer timer(store, settings, RunAfter, clock, &log);
//   timer.Begin(term);
//   if (timer.TimeWithoutRenewal(now) < Milliseconds(0)) SendOrders();
//
//   // In the next term:
//   ReadTermTimer(store, term, [](TermTimerState state) { ... });
//
// A term has two keys in the store, each with a lease of its own: the timer,
// whose lease runs out `duration` after its last renewal, and a reference with
// a much longer one. A timer that is missing beside its reference has run out.
// If both are missing, the store may have dropped all leases in an outage, and
// nothing follows. The placer counts as renewed only while its renewals of the
// timer succeed, so that the timer can't run out while it sends orders.
#ifndef QUETZAL_TERM_TIMER_TERM_TIMER_H_
#define QUETZAL_TERM_TIMER_TERM_TIMER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "quetzal/event_log/event_log.h"
#include "quetzal/ids/ids.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/store/store.h"

namespace quetzal {

struct TermTimerSettings {
  // TTL of the timer's lease.
  Milliseconds duration{0};
  // How long a renewal counts, from when it was sent.
  Milliseconds validity{0};
  Milliseconds renewal_interval{250};
};

class TermTimer {
 public:
  using Clock = std::function<Time()>;

  // `clock` has to include suspensions of the machine.
  TermTimer(Store* store, TermTimerSettings settings, StoreWatcher::Timer after,
            Clock clock, EventLog* log);
  TermTimer(const TermTimer&) = delete;
  TermTimer& operator=(const TermTimer&) = delete;

  void Begin(int64_t term);
  // The timer is left to run out.
  void End();
  // How long ago the newest renewal ceased to be valid; negative while one is
  // valid, or while no placer can have read the timer.
  Milliseconds TimeWithoutRenewal(Time now) const;

 private:
  // A lease that keeps one of the keys.
  struct KeyLease {
    LeaseId id = kNoLease;
    bool is_requested = false;
  };

  void Step(uint64_t round);
  void Request(KeyLease* lease, Milliseconds ttl, uint64_t round);
  void StoreKeys(uint64_t round);
  void Renew(KeyLease* lease, uint64_t round,
             std::function<void(Time sent)> on_renewed);

  Store* store_;
  TermTimerSettings settings_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Lifetime lifetime_;
  uint64_t round_ = 0;  // of `Begin`; what earlier ones scheduled is dropped
  bool is_active_ = false;
  int64_t term_ = 0;
  KeyLease timer_;
  KeyLease reference_;
  bool is_stored_ = false;  // both keys, with the present leases
  bool is_storing_ = false;
  bool may_be_visible_ = false;  // a write of the keys was sent
  // When the newest successful renewal was sent.
  Time last_renewal_sent_;
  // The timer's lease ended. Renewals of another one count once the key is
  // stored with it.
  bool is_lost_ = false;
  Time last_renewal_before_loss_;
  Time next_reference_renewal_at_;
};

enum class TermTimerState {
  kUnknown,  // it was never stored, or the store dropped it
  kRunning,
  kEnded,
};

// `done` gets `kRunning` also if the store gave no answer.
void ReadTermTimer(Store* store, int64_t term,
                   std::function<void(TermTimerState)> done);

}  // namespace quetzal

#endif  // QUETZAL_TERM_TIMER_TERM_TIMER_H_
