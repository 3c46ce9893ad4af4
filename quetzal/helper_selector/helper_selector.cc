#include "quetzal/helper_selector/helper_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzal {
namespace {

// Calls above it count as long; short ones have advisers of their own.
constexpr double kLongCallMs = 40;
// The part of the advisers that long calls may occupy.
constexpr double kLongCallShare = 0.7;
// A question on its way to a far adviser may wait there for the one before.
constexpr Milliseconds kMostQueued{60};
constexpr int kMostOpen = 8;  // of one adviser; the platform takes 32
// Beyond the time that the call takes: four ways between regions, and a machine
// with little processor.
constexpr Milliseconds kAnswerMargin{450};
// Calls take longer than their terms say where the service is loaded.
constexpr double kCallSlack = 1.3;
// Cuts last for seconds. An adviser that is back is missed no longer than this;
// each try during a cut costs a step its patience.
constexpr Milliseconds kFirstRest{1'000};
constexpr Milliseconds kMostRest{4'000};

Milliseconds Rounded(double ms) {
  return Milliseconds(static_cast<int64_t>(std::ceil(ms)));
}

}  // namespace

void HelperSelector::SetHelpers(std::vector<HelperId> advisers) {
  order_ = std::move(advisers);
}

// If most are silent, the fault is on this side or in the service.
bool HelperSelector::DoMostRest(Time now) const {
  const auto resting =
      std::count_if(order_.begin(), order_.end(), [&](const HelperId& id) {
        const auto found = advisers_.find(id);
        return found != advisers_.end() && found->second.rests_until > now;
      });
  return static_cast<size_t>(resting) * 2 > order_.size();
}

const HelperId* HelperSelector::Choose(double call_ms, Time now) const {
  const bool is_long = call_ms > kLongCallMs;
  const auto for_long = static_cast<size_t>(std::max(
      1.0, std::floor(kLongCallShare * static_cast<double>(order_.size()))));
  const bool rest_counts = !DoMostRest(now);
  const HelperId* best = nullptr;
  Time best_free = now + kMostQueued;
  // Long calls keep to the first advisers, so that short ones never wait
  // behind them at the others.
  const size_t count =
      is_long ? std::min(for_long, order_.size()) : order_.size();
  for (size_t at = 0; at < count; ++at) {
    const HelperId& id = order_[at];
    const auto found = advisers_.find(id);
    Time free = now;
    if (found != advisers_.end()) {
      const Adviser& adviser = found->second;
      if (adviser.open >= kMostOpen) continue;
      if (rest_counts && adviser.rests_until > now) continue;
      free = std::max(now, adviser.free_at);
    }
    if (free >= best_free) continue;
    best_free = free;
    best = &id;
  }
  return best;
}

Milliseconds HelperSelector::OnSent(const HelperId& id, double call_ms,
                                    Time now) {
  Adviser& adviser = advisers_[id];
  const Milliseconds queued = std::max(now, adviser.free_at) - now;
  adviser.free_at = now + queued + Rounded(call_ms);
  ++adviser.open;
  return queued + Rounded(call_ms * kCallSlack) + kAnswerMargin;
}

void HelperSelector::OnReply(const HelperId& id) {
  Adviser& adviser = advisers_[id];
  --adviser.open;
  adviser.silences = 0;
  adviser.rests_until = Time();
}

void HelperSelector::OnTimeout(const HelperId& id, Time now) {
  Adviser& adviser = advisers_[id];
  --adviser.open;
  // Calls that were under way together are one silence.
  if (adviser.rests_until > now) return;
  constexpr int kMostDoublings = 10;
  const int doublings = std::min(adviser.silences++, kMostDoublings);
  adviser.rests_until =
      now + std::min(kMostRest, kFirstRest * (int64_t{1} << doublings));
}

}  // namespace quetzal
