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

DomainElection::DomainElection(ElectionTiming times) : times_(times) {}

std::optional<ElectionCall> DomainElection::Tick(Time now) {
  if (!first_tick_) first_tick_ = now;
  if (awaiting_ && now - *last_call_ >= times_.call_timeout) {
    awaiting_ = false;
    platform_answers_ = false;
  }
  if (MayFallBack(now)) {
    highest_seen_ = NextFallbackEpoch(highest_seen_);
    term_ = PlacerTerm{.epoch = highest_seen_, .fenced = false};
    term_began_ = now;
  }
  if (awaiting_) return std::nullopt;
  const bool due = take_next_ || give_back_ || !last_call_ || releasing_ ||
                   now - *last_call_ >= times_.renewal_interval;
  if (!due) return std::nullopt;
  ElectionCall call;
  if (releasing_ || give_back_) {
    give_back_ = false;
    if (!held_) return std::nullopt;
    call = {.kind = ElectionCall::Kind::kRelease, .revision = *held_};
    held_.reset();
  } else if (held_) {
    call = {.kind = ElectionCall::Kind::kRenew, .revision = *held_};
  } else {
    call.kind =
        take_next_ ? ElectionCall::Kind::kAcquire : ElectionCall::Kind::kRead;
  }
  take_next_ = false;
  awaiting_ = true;
  last_call_ = now;
  last_kind_ = call.kind;
  return call;
}

void DomainElection::OnAnswer(const ElectionAnswer& answer, Time now) {
  awaiting_ = false;
  platform_answers_ = answer.kind != ElectionAnswer::Kind::kNoAnswer;
  if (platform_answers_) last_answer_ = now;
  switch (answer.kind) {
    case ElectionAnswer::Kind::kVacant:
      take_next_ = !releasing_;
      break;
    case ElectionAnswer::Kind::kAcquired:
      if (releasing_) break;
      held_ = answer.revision;
      if (used_ == answer.revision) {
        // A term under this epoch has ended: a new one needs a new seat.
        give_back_ = true;
        break;
      }
      used_ = answer.revision;
      term_ =
          PlacerTerm{.epoch = EpochOfRevision(answer.revision), .fenced = true};
      term_began_ = now;
      OnEpochSeen(term_->epoch);
      break;
    case ElectionAnswer::Kind::kHeldByOther:
      // Another placer is active by the platform's word.
      if (!held_) EndTerm(now);
      break;
    case ElectionAnswer::Kind::kLost:
      held_.reset();
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
    majority_at_ = now;
    return;
  }
  if (!term_ || term_->fenced) return;
  const Time since =
      std::max(*term_began_, majority_at_.value_or(*term_began_));
  if (now - since >= times_.majority_timeout) EndTerm(now);
}

void DomainElection::OnSuperseded(Time now) {
  held_.reset();
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

bool DomainElection::MayFallBack(Time now) const {
  if (term_ || releasing_ || platform_answers_) return false;
  const Time heard = last_answer_.value_or(*first_tick_);
  const Time since = std::max(heard, term_ended_.value_or(heard));
  return now - since >= times_.fallback_after;
}

}  // namespace quetzal
