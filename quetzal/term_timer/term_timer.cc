#include "quetzal/term_timer/term_timer.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

// The longest TTL that the platform's store grants.
constexpr Milliseconds kReferenceTtl{600'000};
constexpr Milliseconds kReferenceRenewalInterval{60'000};

std::string Prefix(int64_t term) {
  return "term-timer/" + std::to_string(term) + "/";
}
std::string TimerKey(int64_t term) { return Prefix(term) + "timer"; }
std::string ReferenceKey(int64_t term) { return Prefix(term) + "reference"; }

}  // namespace

TermTimer::TermTimer(Store* store, TermTimerSettings settings,
                     StoreWatcher::Timer after, Clock clock, EventLog* log)
    : store_(store),
      settings_(settings),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log) {}

void TermTimer::Begin(int64_t term) {
  End();
  is_active_ = true;
  term_ = term;
  Step(round_);
}

void TermTimer::End() {
  ++round_;
  is_active_ = false;
  timer_ = {};
  reference_ = {};
  is_stored_ = false;
  is_storing_ = false;
  may_be_visible_ = false;
  is_lost_ = false;
}

Milliseconds TermTimer::TimeWithoutRenewal(Time now) const {
  if (!may_be_visible_) return -settings_.validity;
  const Time renewed =
      is_lost_ ? last_renewal_before_loss_ : last_renewal_sent_;
  return now - renewed - settings_.validity;
}

void TermTimer::Step(uint64_t round) {
  if (round != round_) return;
  if (timer_.id == kNoLease) {
    Request(&timer_, settings_.duration, round);
  } else {
    Renew(&timer_, round, [this](Time sent) {
      last_renewal_sent_ = std::max(last_renewal_sent_, sent);
    });
  }
  if (reference_.id == kNoLease) {
    Request(&reference_, kReferenceTtl, round);
  } else if (clock_() >= next_reference_renewal_at_) {
    Renew(&reference_, round, [this](Time sent) {
      next_reference_renewal_at_ = sent + kReferenceRenewalInterval;
    });
  }
  StoreKeys(round);
  after_(settings_.renewal_interval,
         lifetime_.Guard([this, round] { Step(round); }));
}

void TermTimer::Request(KeyLease* lease, Milliseconds ttl, uint64_t round) {
  if (std::exchange(lease->is_requested, true)) return;
  const Time sent = clock_();
  store_->GrantLease(ttl,
                     lifetime_.Guard<LeaseAnswer>(
                         [this, lease, round, sent](const LeaseAnswer& answer) {
                           if (round != round_) return;
                           lease->is_requested = false;
                           if (answer.outcome != StoreOutcome::kDone) return;
                           lease->id = answer.lease;
                           if (lease == &timer_) last_renewal_sent_ = sent;
                           StoreKeys(round);
                         }));
}

// The keys are written together, and with leases that are renewed: a write
// that is executed late has no effect once one of its leases has ended.
void TermTimer::StoreKeys(uint64_t round) {
  if (is_stored_ || is_storing_ || timer_.id == kNoLease ||
      reference_.id == kNoLease) {
    return;
  }
  is_storing_ = true;
  may_be_visible_ = true;
  const LeaseId timer = timer_.id;
  const LeaseId reference = reference_.id;
  store_->Apply(
      {.puts = {{TimerKey(term_), "", timer},
                {ReferenceKey(term_), "", reference}}},
      lifetime_.Guard<TransactionAnswer>(
          [this, round, timer, reference](const TransactionAnswer& answer) {
            if (round != round_) return;
            is_storing_ = false;
            is_stored_ = answer.outcome == StoreOutcome::kDone &&
                         timer == timer_.id && reference == reference_.id;
            if (is_stored_) is_lost_ = false;
            // Shows which lease has ended.
            if (!is_stored_) next_reference_renewal_at_ = clock_();
          }));
}

void TermTimer::Renew(KeyLease* lease, uint64_t round,
                      std::function<void(Time sent)> on_renewed) {
  const Time sent = clock_();
  const LeaseId id = lease->id;
  store_->RenewLease(
      id, lifetime_.Guard<LeaseAnswer>(
              [this, lease, round, sent, id,
               on_renewed = std::move(on_renewed)](const LeaseAnswer& answer) {
                if (round != round_ || lease->id != id) return;
                if (answer.outcome == StoreOutcome::kDone) on_renewed(sent);
                if (answer.outcome != StoreOutcome::kMissing) return;
                log_->Line("term_timer_lost", {{"term", term_}});
                if (lease == &timer_ && !std::exchange(is_lost_, true)) {
                  last_renewal_before_loss_ = last_renewal_sent_;
                }
                lease->id = kNoLease;
                is_stored_ = false;
              }));
}

void ReadTermTimer(Store* store, int64_t term,
                   std::function<void(TermTimerState)> done) {
  // One page, so that both keys are read at the same revision.
  store->Range(
      Prefix(term), "",
      [term, done = std::move(done)](const ReadAnswer& answer) {
        const auto has = [&](const std::string& key) {
          return std::any_of(
              answer.items.begin(), answer.items.end(),
              [&](const StoreItem& item) { return item.key == key; });
        };
        if (answer.outcome != StoreOutcome::kDone || has(TimerKey(term))) {
          done(TermTimerState::kRunning);
        } else {
          done(has(ReferenceKey(term)) ? TermTimerState::kEnded
                                       : TermTimerState::kUnknown);
        }
      });
}

}  // namespace quetzal
