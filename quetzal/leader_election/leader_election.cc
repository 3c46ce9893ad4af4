#include "quetzal/leader_election/leader_election.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzal {
namespace {

// A standby waits for this many times the store's response time before it
// campaigns, so that the placer nearest to the store usually wins unopposed.
constexpr int kDelayFactor = 3;
// Limits the wait, so that a store that is slow for all placers doesn't delay
// every takeover.
constexpr Milliseconds kMaxDelay{180};
constexpr Milliseconds kCampaignRetryDelay{250};
constexpr Milliseconds kBackoffAfterStepDown{1'000};
// The store counts the TTL from a renewal's arrival; this process counts it
// from the sending, less this margin for differences between the clocks.
constexpr Milliseconds kLeaseMargin{100};

// How long a standby observes a leader with less CPU before it claims the
// leader key: outlasts the elections in quick succession of an unstable store.
constexpr Milliseconds kClaimAfter{2'000};
// Minimum difference of the election delays. Claims cost a takeover, which is
// worth it only for a clearly better machine.
constexpr Milliseconds kMinAdvantage{50};
constexpr char kDelaySeparator = ' ';

// The election delay in the value of a leader key; nothing in one that an
// earlier version wrote.
std::optional<Milliseconds> ParseElectionDelay(const std::string& value) {
  const size_t separator = value.rfind(kDelaySeparator);
  if (separator == std::string::npos) return std::nullopt;
  int64_t ms = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data() + separator + 1, end, ms);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return Milliseconds(ms);
}

int64_t ParseNumber(const std::string& text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string TermKey() { return "term"; }
// Begins with the leader key, so that one watch covers both.
std::string ClaimKey() { return LeaderKey() + "/claim"; }

LeaderElection::LeaderElection(Store* store, LeaderElectionSettings settings,
                               LeaderElectionHandlers handlers,
                               StoreWatcher::Timer after, Clock clock,
                               EventLog* log)
    : store_(store),
      settings_(std::move(settings)),
      leader_value_(settings_.self + kDelaySeparator +
                    std::to_string(settings_.election_delay.count())),
      handlers_(std::move(handlers)),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log) {}

LeaderElection::~LeaderElection() = default;

void LeaderElection::ScheduleAfter(Milliseconds delay,
                                   std::function<void()> step) {
  after_(delay, lifetime_.Guard(std::move(step)));
}

void LeaderElection::Start() { WatchLeaderKey(); }

void LeaderElection::WatchLeaderKey() {
  watcher_ = std::make_unique<StoreWatcher>(
      store_, LeaderKey(), StoreWatcherTiming{},
      StoreWatcherHandlers{.on_put =
                               [this](const StoreItem& item) {
                                 if (item.key == LeaderKey()) OnLeaderKey(item);
                                 if (item.key == ClaimKey()) OnClaim(item);
                               },
                           .on_removed =
                               [this](const std::string& key) {
                                 if (key != LeaderKey()) return;
                                 is_vacant_ = true;
                                 CampaignIfVacant();
                               },
                           .on_listed = [this] { CampaignIfVacant(); }},
      after_);
  is_vacant_ = true;
  watcher_->Start();
}

void LeaderElection::OnLeaderKey(const StoreItem& item) {
  is_vacant_ = false;
  leader_revision_ = item.revision;
  if (item.value == leader_value_) {
    // The answer to the write may have been lost.
    if (item.lease == lease_) {
      AdoptFence(Fence{static_cast<uint64_t>(item.revision)});
    }
    return;
  }
  if (role_ == Role::kLeader) StepDown("another placer holds the leader key");
  const auto delay = ParseElectionDelay(item.value);
  if (!delay || *delay - settings_.election_delay < kMinAdvantage) return;
  ScheduleAfter(kClaimAfter,
                [this, leader = item.revision] { ClaimLeaderKey(leader); });
}

void LeaderElection::ClaimLeaderKey(Revision leader) {
  const bool may_claim = role_ == Role::kStandby && !is_vacant_ &&
                         leader_revision_ == leader &&
                         clock_() >= no_campaign_before_;
  if (!may_claim || claimed_revision_ == leader) return;
  log_->ImportantLine("seat_claimed",
                      {{"fence", static_cast<int64_t>(leader)}});
  store_->Apply(
      {.conditions = {{LeaderKey(), leader}},
       .puts = {{.key = ClaimKey(),
                 .value = std::to_string(static_cast<uint64_t>(leader))}}},
      lifetime_.Guard<TransactionAnswer>([this, leader](
                                             const TransactionAnswer& answer) {
        if (answer.outcome == StoreOutcome::kDone) return;
        ScheduleAfter(kClaimAfter, [this, leader] { ClaimLeaderKey(leader); });
      }));
}

void LeaderElection::OnClaim(const StoreItem& item) {
  claimed_revision_ = Revision{static_cast<uint64_t>(ParseNumber(item.value))};
  if (role_ == Role::kLeader &&
      claimed_revision_ == Revision{static_cast<uint64_t>(fence_)}) {
    StepDown("a placer on a machine with more CPU claims the leader key");
  }
}

void LeaderElection::CampaignIfVacant() {
  if (!is_vacant_ || role_ != Role::kStandby || !watcher_->is_listed()) return;
  if (clock_() < no_campaign_before_) return;
  role_ = Role::kCandidate;
  const Time read_sent = clock_();
  store_->Read(TermKey(), lifetime_.Guard<ReadAnswer>(
                              [this, read_sent](const ReadAnswer& answer) {
                                OnTermRead(answer, clock_() - read_sent);
                              }));
}

// The duration of the read also serves as the estimate of the store's response
// time.
void LeaderElection::OnTermRead(const ReadAnswer& answer,
                                Milliseconds response_time) {
  if (answer.outcome == StoreOutcome::kMissing) {
    campaign_ = {kAbsent, 0};
  } else if (answer.outcome == StoreOutcome::kDone) {
    campaign_ = {answer.items[0].revision,
                 ParseNumber(answer.items[0].value) + 1};
  } else {
    AbandonCampaign("the term can't be read");
    return;
  }
  const Milliseconds wait = std::min(response_time * kDelayFactor, kMaxDelay);
  ScheduleAfter(wait + settings_.election_delay, [this] { RequestLease(); });
}

void LeaderElection::RequestLease() {
  if (role_ != Role::kCandidate) return;
  if (!is_vacant_) {
    role_ = Role::kStandby;
    return;
  }
  const Time sent = clock_();
  store_->GrantLease(
      settings_.lease_ttl,
      lifetime_.Guard<LeaseAnswer>([this, sent](const LeaseAnswer& answer) {
        OnLeaseAnswer(answer, sent);
      }));
}

void LeaderElection::OnLeaseAnswer(const LeaseAnswer& answer, Time sent) {
  if (answer.outcome != StoreOutcome::kDone) {
    AbandonCampaign("no lease was granted");
    return;
  }
  lease_ = answer.lease;
  last_renewal_sent_ = sent;
  AcquireLeaderKey(campaign_.term_revision, campaign_.term);
}

void LeaderElection::AcquireLeaderKey(Revision term_revision, int64_t term) {
  store_->Apply(
      {.conditions = {{LeaderKey(), kAbsent}, {TermKey(), term_revision}},
       .puts = {{LeaderKey(), leader_value_, lease_},
                {TermKey(), std::to_string(term), kNoLease}}},
      lifetime_.Guard<TransactionAnswer>(
          [this, term](const TransactionAnswer& answer) {
            OnAcquireAnswer(answer, term);
          }));
}

void LeaderElection::OnAcquireAnswer(const TransactionAnswer& answer,
                                     int64_t term) {
  if (answer.outcome == StoreOutcome::kDone) {
    term_revision_ = answer.revision;
    BeginTerm(Fence{static_cast<uint64_t>(answer.revision)}, term);
  } else if (answer.outcome == StoreOutcome::kUnknown) {
    VerifyAcquisition(term);
  } else {
    AbandonCampaign("another placer was first");
  }
}

void LeaderElection::VerifyAcquisition(int64_t term) {
  store_->Read(
      LeaderKey(),
      lifetime_.Guard<ReadAnswer>([this, term](const ReadAnswer& answer) {
        const bool is_own = answer.outcome == StoreOutcome::kDone &&
                            answer.items[0].value == leader_value_ &&
                            answer.items[0].lease == lease_;
        if (!is_own) {
          AbandonCampaign("the write got no answer");
          return;
        }
        term_revision_ = answer.items[0].revision;
        BeginTerm(Fence{static_cast<uint64_t>(term_revision_)}, term);
      }));
}

void LeaderElection::AbandonCampaign(const char* why) {
  log_->ImportantLine("seat_not_taken", {{"why", why}});
  if (lease_ != kNoLease) {
    store_->RevokeLease(std::exchange(lease_, kNoLease), [](StoreOutcome) {});
  }
  if (role_ == Role::kResigned) return;
  role_ = Role::kStandby;
  ScheduleAfter(kCampaignRetryDelay, [this] { CampaignIfVacant(); });
}

void LeaderElection::BeginTerm(Fence fence, int64_t term) {
  const bool is_reacquisition = role_ == Role::kLeader;
  if (role_ == Role::kResigned) {
    store_->RevokeLease(lease_, [](StoreOutcome) {});
    return;
  }
  role_ = Role::kLeader;
  is_vacant_ = false;
  fence_ = fence;
  term_ = term;
  log_->ImportantLine("seat_taken",
                      {{"fence", static_cast<int64_t>(fence)},
                       {"term", term},
                       {"again", is_reacquisition ? "yes" : "no"}});
  if (is_reacquisition) {
    handlers_.on_fence_raised(fence);
    return;
  }
  handlers_.on_elected(fence, term);
  // Renews at once, as a slow store may have used up most of the lease.
  Renew(++renewal_round_);
}

// Doesn't wait for the previous answer: a lost one would take longer to time
// out than the lease lasts.
void LeaderElection::Renew(uint64_t round) {
  if (role_ != Role::kLeader || round != renewal_round_) return;
  const Time sent = clock_();
  const LeaseId lease = lease_;
  store_->RenewLease(lease, lifetime_.Guard<LeaseAnswer>(
                                [this, lease, sent](const LeaseAnswer& answer) {
                                  if (lease == lease_) OnRenewal(answer, sent);
                                }));
  ScheduleAfter(settings_.renewal_interval, [this, round] { Renew(round); });
}

void LeaderElection::OnRenewal(const LeaseAnswer& answer, Time sent) {
  if (role_ != Role::kLeader) return;
  if (answer.outcome == StoreOutcome::kMissing) {
    ReacquireLeaderKey();
  } else if (answer.outcome == StoreOutcome::kDone &&
             reacquisition_ == Reacquisition::kNone) {
    // A lease counts only once it is known to hold the leader key.
    last_renewal_sent_ = std::max(last_renewal_sent_, sent);
  }
}

void LeaderElection::ReacquireLeaderKey() {
  if (reacquisition_ != Reacquisition::kNone) return;
  reacquisition_ = Reacquisition::kGrantingLease;
  log_->ImportantLine("seat_lapsed", {{"term", term_}});
  const Time sent = clock_();
  store_->GrantLease(
      settings_.lease_ttl,
      lifetime_.Guard<LeaseAnswer>([this, sent](const LeaseAnswer& lease) {
        if (role_ != Role::kLeader || lease.outcome != StoreOutcome::kDone) {
          // The next renewal finds the lease missing and tries again.
          reacquisition_ = Reacquisition::kNone;
          return;
        }
        lease_ = lease.lease;
        reacquisition_ = Reacquisition::kWritingKey;
        // If the term key is unchanged, no other placer was elected in between.
        store_->Apply(
            {.conditions = {{LeaderKey(), kAbsent},
                            {TermKey(), term_revision_}},
             .puts = {{LeaderKey(), leader_value_, lease_},
                      {TermKey(), std::to_string(term_), kNoLease}}},
            lifetime_.Guard<TransactionAnswer>(
                [this, sent, lease = lease_](const TransactionAnswer& answer) {
                  const bool is_adopted =
                      reacquisition_ != Reacquisition::kWritingKey ||
                      lease != lease_;
                  if (is_adopted) return;
                  reacquisition_ = Reacquisition::kNone;
                  if (role_ != Role::kLeader) return;
                  if (answer.outcome != StoreOutcome::kDone) {
                    StepDown("the leader key expired");
                    return;
                  }
                  last_renewal_sent_ = sent;
                  term_revision_ = answer.revision;
                  BeginTerm(Fence{static_cast<uint64_t>(answer.revision)},
                            term_);
                }));
      }));
}

void LeaderElection::RenewFence() {
  if (role_ != Role::kLeader) return;
  store_->Apply(
      {.conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}},
                      {TermKey(), term_revision_}},
       .puts = {{LeaderKey(), leader_value_, lease_},
                {TermKey(), std::to_string(term_), kNoLease}}},
      lifetime_.Guard<TransactionAnswer>(
          [this, lease = lease_](const TransactionAnswer& answer) {
            if (answer.outcome != StoreOutcome::kDone || lease != lease_) {
              return;
            }
            AdoptFence(Fence{static_cast<uint64_t>(answer.revision)});
          }));
}

void LeaderElection::AdoptFence(Fence fence) {
  if (role_ != Role::kLeader || fence <= fence_) return;
  if (reacquisition_ == Reacquisition::kWritingKey) {
    reacquisition_ = Reacquisition::kNone;
  }
  term_revision_ = Revision{static_cast<uint64_t>(fence)};
  BeginTerm(fence, term_);
}

bool LeaderElection::HasValidLease(Time now) const {
  return is_leader() && TimeWithoutLease(now) < Milliseconds(0);
}

Milliseconds LeaderElection::TimeWithoutLease(Time now) const {
  return now - last_renewal_sent_ - (settings_.lease_ttl - kLeaseMargin);
}

void LeaderElection::StepDown(const std::string& reason) {
  if (role_ != Role::kLeader) return;
  role_ = Role::kStandby;
  reacquisition_ = Reacquisition::kNone;
  log_->ImportantLine("seat_lost", {{"term", term_}, {"why", reason}});
  if (lease_ != kNoLease) {
    store_->RevokeLease(std::exchange(lease_, kNoLease), [](StoreOutcome) {});
  }
  handlers_.on_lost(reason);
  // The fault that ended the term may persist here, so other placers go first.
  no_campaign_before_ = clock_() + kBackoffAfterStepDown;
  ScheduleAfter(kBackoffAfterStepDown, [this] { CampaignIfVacant(); });
}

void LeaderElection::Resign(std::function<void()> done) {
  const bool was_leader = role_ == Role::kLeader;
  role_ = Role::kResigned;
  watcher_.reset();
  if (!was_leader) {
    done();
    return;
  }
  log_->ImportantLine("seat_given_back", {{"term", term_}});
  store_->Apply(
      {.conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}}},
       .removes = {LeaderKey()}},
      lifetime_.Guard<TransactionAnswer>(
          [done = std::move(done)](const TransactionAnswer&) { done(); }));
}

}  // namespace quetzal
