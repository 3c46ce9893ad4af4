#include "quetzal/domain_election/domain_election.h"

#include <algorithm>

namespace quetzal {
namespace {

// Low bits of an epoch count the fallback terms since a platform revision.
constexpr int kFallbackBits = 16;

}  // namespace

Epoch EpochOfRevision(Revision revision) {
  return Epoch{static_cast<uint64_t>(revision) << kFallbackBits};
}

Epoch NextFallbackEpoch(Epoch highest_seen) {
  return Epoch{static_cast<uint64_t>(highest_seen) + 1};
}

DomainElection::DomainElection(ElectionTiming timing) : timing_(timing) {}

std::optional<ElectionCall> DomainElection::Tick(Time now) {
  if (!first_tick_) first_tick_ = now;
  if (call_in_flight_ && now - *last_call_ >= timing_.call_timeout) {
    call_in_flight_ = false;
    platform_reachable_ = false;
  }
  if (ShouldStartFallbackTerm(now)) {
    highest_seen_ = NextFallbackEpoch(highest_seen_);
    term_ = PlacerTerm{.epoch = highest_seen_, .fenced = false};
    term_began_ = now;
  }
  if (call_in_flight_) return std::nullopt;
  const bool due = acquire_next_ || release_next_ || !last_call_ ||
                   releasing_ || now - *last_call_ >= timing_.renewal_interval;
  if (!due) return std::nullopt;
  ElectionCall call;
  if (releasing_ || release_next_) {
    release_next_ = false;
    if (!held_revision_) return std::nullopt;
    call = {.kind = ElectionCall::Kind::kRelease, .revision = *held_revision_};
    held_revision_.reset();
  } else if (held_revision_) {
    call = {.kind = ElectionCall::Kind::kRenew, .revision = *held_revision_};
  } else {
    call.kind = acquire_next_ ? ElectionCall::Kind::kAcquire
                              : ElectionCall::Kind::kRead;
  }
  acquire_next_ = false;
  call_in_flight_ = true;
  last_call_ = now;
  last_kind_ = call.kind;
  return call;
}

void DomainElection::OnAnswer(const ElectionAnswer& answer, Time now) {
  call_in_flight_ = false;
  platform_reachable_ = answer.kind != ElectionAnswer::Kind::kNoAnswer;
  if (platform_reachable_) last_answer_ = now;
  switch (answer.kind) {
    case ElectionAnswer::Kind::kVacant:
      acquire_next_ = !releasing_;
      break;
    case ElectionAnswer::Kind::kAcquired:
      if (releasing_) break;
      held_revision_ = answer.revision;
      if (last_term_revision_ == answer.revision) {
        // The term of this epoch has ended: a new term needs a new leader key.
        release_next_ = true;
        break;
      }
      last_term_revision_ = answer.revision;
      term_ =
          PlacerTerm{.epoch = EpochOfRevision(answer.revision), .fenced = true};
      term_began_ = now;
      OnEpochSeen(term_->epoch);
      break;
    case ElectionAnswer::Kind::kHeldByOther:
      // The platform reports that another placer is active.
      if (!held_revision_) EndTerm(now);
      break;
    case ElectionAnswer::Kind::kLost:
      held_revision_.reset();
      EndTerm(now);
      break;
    case ElectionAnswer::Kind::kRenewed:
    case ElectionAnswer::Kind::kNoAnswer:
      break;
  }
}

void DomainElection::OnEpochSeen(Epoch epoch) {
  highest_seen_ = std::max(highest_seen_, epoch);
}

void DomainElection::OnMajority(bool held, Time now) {
  if (held) {
    last_majority_ = now;
    return;
  }
  if (!term_ || term_->fenced) return;
  const Time since =
      std::max(*term_began_, last_majority_.value_or(*term_began_));
  if (now - since >= timing_.majority_timeout) EndTerm(now);
}

void DomainElection::OnSuperseded(Time now) {
  held_revision_.reset();
  EndTerm(now);
}

void DomainElection::BeginRelease() {
  releasing_ = true;
  term_.reset();
}

void DomainElection::EndTerm(Time now) {
  if (term_) term_ended_ = now;
  term_.reset();
}

bool DomainElection::ShouldStartFallbackTerm(Time now) const {
  if (term_ || releasing_ || platform_reachable_) return false;
  const Time last_contact = last_answer_.value_or(*first_tick_);
  const Time since = std::max(last_contact, term_ended_.value_or(last_contact));
  return now - since >= timing_.fallback_after;
}

}  // namespace quetzal
