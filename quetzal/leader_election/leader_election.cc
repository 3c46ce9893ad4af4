#include "quetzal/leader_election/leader_election.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzal {
namespace {

// A standby's wait before it tries is this many answer times of the store, so
// that the nearest ones win without a race.
constexpr int kDelayFactor = 3;
// A store that is slow for all should not delay every takeover.
constexpr Milliseconds kMostDelay{180};
constexpr Milliseconds kCampaignRetry{250};
constexpr Milliseconds kRestAfterLoss{1'000};
// The store counts a lease from the renewal's arrival; ours from its sending,
// less what clocks may differ.
constexpr Milliseconds kLeaseMargin{100};

int64_t NumberFrom(const std::string& text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string TermKey() { return "term"; }

LeaderElection::LeaderElection(Store* store, LeaderElectionSettings settings,
                               LeaderElectionHandlers handlers,
                               StoreWatcher::Timer after, Clock clock,
                               EventLog* log)
    : store_(store),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log) {}

LeaderElection::~LeaderElection() = default;

void LeaderElection::Later(Milliseconds delay, std::function<void()> step) {
  after_(delay, lifetime_.Guard(std::move(step)));
}

void LeaderElection::Start() { FollowSeat(); }

void LeaderElection::FollowSeat() {
  seat_ = std::make_unique<StoreWatcher>(
      store_, LeaderKey(), StoreWatcherTiming{},
      StoreWatcherHandlers{.on_put =
                               [this](const StoreItem& item) {
                                 vacant_ = false;
                                 const bool is_own =
                                     item.value == settings_.self;
                                 if (role_ == Role::kLeads && !is_own) {
                                   StepDown("another placer holds the seat");
                                 }
                               },
                           .on_removed =
                               [this](const std::string&) {
                                 vacant_ = true;
                                 OnVacant();
                               },
                           .on_listed = [this] { OnVacant(); }},
      after_);
  vacant_ = true;
  seat_->Start();
}

void LeaderElection::OnVacant() {
  if (!vacant_ || role_ != Role::kStandby || !seat_->is_listed()) return;
  if (clock_() < rests_until_) return;
  role_ = Role::kCampaigns;
  const Time asked = clock_();
  store_->Read(TermKey(), lifetime_.Guard<ReadAnswer>(
                              [this, asked](const ReadAnswer& answer) {
                                OnTerm(answer, clock_() - asked);
                              }));
}

// The read also tells how far the store is.
void LeaderElection::OnTerm(const ReadAnswer& answer,
                            Milliseconds store_delay) {
  if (answer.outcome == StoreOutcome::kMissing) {
    campaign_ = {kAbsent, 0};
  } else if (answer.outcome == StoreOutcome::kDone) {
    campaign_ = {answer.items[0].revision,
                 NumberFrom(answer.items[0].value) + 1};
  } else {
    GiveUpCampaign("the term can't be read");
    return;
  }
  const Milliseconds wait = std::min(store_delay * kDelayFactor, kMostDelay);
  Later(wait + settings_.election_delay, [this] { Campaign(); });
}

void LeaderElection::Campaign() {
  if (role_ != Role::kCampaigns) return;
  if (!vacant_) {
    role_ = Role::kStandby;
    return;
  }
  const Time sent = clock_();
  store_->GrantLease(
      settings_.lease_ttl,
      lifetime_.Guard<LeaseAnswer>([this, sent](const LeaseAnswer& answer) {
        OnCampaignLease(answer, sent);
      }));
}

void LeaderElection::OnCampaignLease(const LeaseAnswer& answer, Time sent) {
  if (answer.outcome != StoreOutcome::kDone) {
    GiveUpCampaign("no lease");
    return;
  }
  lease_ = answer.lease;
  renewed_ = sent;
  TakeSeat(campaign_.term_revision, campaign_.term);
}

void LeaderElection::TakeSeat(Revision term_revision, int64_t term) {
  store_->Apply(
      {.conditions = {{LeaderKey(), kAbsent}, {TermKey(), term_revision}},
       .puts = {{LeaderKey(), settings_.self, lease_},
                {TermKey(), std::to_string(term), kNoLease}}},
      lifetime_.Guard<TransactionAnswer>(
          [this, term](const TransactionAnswer& answer) {
            OnTaken(answer, term);
          }));
}

void LeaderElection::OnTaken(const TransactionAnswer& answer, int64_t term) {
  if (answer.outcome == StoreOutcome::kDone) {
    term_revision_ = answer.revision;
    BeginTerm(Fence{static_cast<uint64_t>(answer.revision)}, term);
  } else if (answer.outcome == StoreOutcome::kUnknown) {
    CheckWhetherTaken(term);
  } else {
    GiveUpCampaign("another placer was first");
  }
}

void LeaderElection::CheckWhetherTaken(int64_t term) {
  store_->Read(
      LeaderKey(),
      lifetime_.Guard<ReadAnswer>([this, term](const ReadAnswer& answer) {
        const bool is_own = answer.outcome == StoreOutcome::kDone &&
                            answer.items[0].value == settings_.self &&
                            answer.items[0].lease == lease_;
        if (!is_own) {
          GiveUpCampaign("the write has no answer");
          return;
        }
        term_revision_ = answer.items[0].revision;
        BeginTerm(Fence{static_cast<uint64_t>(term_revision_)}, term);
      }));
}

void LeaderElection::GiveUpCampaign(const char* why) {
  log_->Line("seat_not_taken", {{"why", why}});
  if (lease_ != kNoLease) {
    store_->RevokeLease(std::exchange(lease_, kNoLease), [](StoreOutcome) {});
  }
  if (role_ == Role::kResigned) return;
  role_ = Role::kStandby;
  Later(kCampaignRetry, [this] { OnVacant(); });
}

void LeaderElection::BeginTerm(Fence fence, int64_t term) {
  const bool again = role_ == Role::kLeads;
  if (role_ == Role::kResigned) {
    store_->RevokeLease(lease_, [](StoreOutcome) {});
    return;
  }
  role_ = Role::kLeads;
  vacant_ = false;
  fence_ = fence;
  term_ = term;
  log_->Line("seat_taken", {{"fence", static_cast<int64_t>(fence)},
                            {"term", term},
                            {"again", again ? "yes" : "no"}});
  if (again) {
    handlers_.on_fence_raised(fence);
    return;
  }
  handlers_.on_elected(fence, term);
  // A slow store may have used up most of the lease.
  Renew(++renewal_round_);
}

// Doesn't wait for the answer to the one before: where answers are lost, that
// would take longer than the lease.
void LeaderElection::Renew(uint64_t round) {
  if (role_ != Role::kLeads || round != renewal_round_) return;
  const Time sent = clock_();
  const LeaseId lease = lease_;
  store_->RenewLease(lease, lifetime_.Guard<LeaseAnswer>(
                                [this, lease, sent](const LeaseAnswer& answer) {
                                  if (lease == lease_) OnRenewed(answer, sent);
                                }));
  Later(settings_.renewal_interval, [this, round] { Renew(round); });
}

void LeaderElection::OnRenewed(const LeaseAnswer& answer, Time sent) {
  if (role_ != Role::kLeads) return;
  if (answer.outcome == StoreOutcome::kMissing) {
    TakeSeatAgain();
  } else if (answer.outcome == StoreOutcome::kDone) {
    renewed_ = std::max(renewed_, sent);
  }
}

void LeaderElection::TakeSeatAgain() {
  if (std::exchange(takes_again_, true)) return;
  log_->Line("seat_lapsed", {{"term", term_}});
  const Time sent = clock_();
  store_->GrantLease(
      settings_.lease_ttl,
      lifetime_.Guard<LeaseAnswer>([this, sent](const LeaseAnswer& lease) {
        if (role_ != Role::kLeads || lease.outcome != StoreOutcome::kDone) {
          // The next renewal finds the lease missing again.
          takes_again_ = false;
          return;
        }
        lease_ = lease.lease;
        // The unchanged term shows that nobody else led meanwhile.
        store_->Apply({.conditions = {{LeaderKey(), kAbsent},
                                      {TermKey(), term_revision_}},
                       .puts = {{LeaderKey(), settings_.self, lease_},
                                {TermKey(), std::to_string(term_), kNoLease}}},
                      lifetime_.Guard<TransactionAnswer>(
                          [this, sent](const TransactionAnswer& answer) {
                            takes_again_ = false;
                            if (role_ != Role::kLeads) return;
                            if (answer.outcome != StoreOutcome::kDone) {
                              StepDown("the seat lapsed");
                              return;
                            }
                            renewed_ = sent;
                            term_revision_ = answer.revision;
                            BeginTerm(
                                Fence{static_cast<uint64_t>(answer.revision)},
                                term_);
                          }));
      }));
}

bool LeaderElection::HasValidLease(Time now) const {
  return role_ == Role::kLeads &&
         now - renewed_ < settings_.lease_ttl - kLeaseMargin;
}

void LeaderElection::StepDown(const std::string& reason) {
  if (role_ != Role::kLeads) return;
  role_ = Role::kStandby;
  log_->Line("seat_lost", {{"term", term_}, {"why", reason}});
  if (lease_ != kNoLease) {
    store_->RevokeLease(std::exchange(lease_, kNoLease), [](StoreOutcome) {});
  }
  handlers_.on_lost(reason);
  // What took its seat from it may still ail it.
  rests_until_ = clock_() + kRestAfterLoss;
  Later(kRestAfterLoss, [this] { OnVacant(); });
}

void LeaderElection::Resign(std::function<void()> done) {
  const bool led = role_ == Role::kLeads;
  role_ = Role::kResigned;
  seat_.reset();
  if (!led) {
    done();
    return;
  }
  log_->Line("seat_given_back", {{"term", term_}});
  store_->Apply(
      {.conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}}},
       .removes = {LeaderKey()}},
      lifetime_.Guard<TransactionAnswer>(
          [done = std::move(done)](const TransactionAnswer&) { done(); }));
}

}  // namespace quetzal
