#include "quetzal/helper_selector/helper_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzal {
namespace {

// Longer calls may use only a part of the helpers: the others are left to short
// calls.
constexpr double kLongCallMs = 40;
// Fraction of the helpers that long calls may occupy.
constexpr double kLongCallShare = 0.7;
// A call may be sent up to this long before its helper is free: it travels to a
// distant helper meanwhile, or is queued there.
constexpr Milliseconds kMaxQueueTime{60};
constexpr int kMaxInFlight = 8;  // per helper; the platform accepts 32
// Added to the expected duration of a call: four one-way trips between regions,
// and a helper with little CPU.
constexpr Milliseconds kTimeoutMargin{450};
// Calls take longer than configured when the service is loaded.
constexpr double kDurationFactor = 1.3;
// Partitions last for seconds. A helper that is reachable again is skipped for
// no longer than kMaxBackoff; each call during a partition delays a step by its
// timeout.
constexpr Milliseconds kInitialBackoff{1'000};
constexpr Milliseconds kMaxBackoff{4'000};

Milliseconds RoundUp(double ms) {
  return Milliseconds(static_cast<int64_t>(std::ceil(ms)));
}

}  // namespace

void HelperSelector::SetHelpers(std::vector<HelperId> helpers) {
  order_ = std::move(helpers);
  none_free_at_ = {};
}

// If most helpers time out, the fault is on this side or in the service, and
// no helper is skipped for its backoff.
bool HelperSelector::AreMostInBackoff(Time now) const {
  const auto in_backoff =
      std::count_if(order_.begin(), order_.end(), [&](const HelperId& id) {
        const auto found = helpers_.find(id);
        return found != helpers_.end() && found->second.backoff_until > now;
      });
  return static_cast<size_t>(in_backoff) * 2 > order_.size();
}

const HelperId* HelperSelector::Choose(double call_ms, Time now) const {
  const bool is_long = call_ms > kLongCallMs;
  std::optional<Time>& none_free_at = none_free_at_[is_long ? 1 : 0];
  if (none_free_at == now) return nullptr;
  const HelperId* const chosen = FindFirstFree(is_long, now);
  if (chosen == nullptr) none_free_at = now;
  return chosen;
}

const HelperId* HelperSelector::FindFirstFree(bool is_long, Time now) const {
  const auto long_call_helpers = static_cast<size_t>(std::max(
      1.0, std::floor(kLongCallShare * static_cast<double>(order_.size()))));
  const bool uses_backoff = !AreMostInBackoff(now);
  const HelperId* best = nullptr;
  Time best_free = now + kMaxQueueTime;
  // Long calls use only the first helpers, so that short ones never wait behind
  // them at the others.
  const size_t count =
      is_long ? std::min(long_call_helpers, order_.size()) : order_.size();
  for (size_t at = 0; at < count; ++at) {
    const HelperId& id = order_[at];
    const auto found = helpers_.find(id);
    Time free = now;
    if (found != helpers_.end()) {
      const Helper& helper = found->second;
      if (helper.in_flight >= kMaxInFlight) continue;
      if (uses_backoff && helper.backoff_until > now) continue;
      free = std::max(now, helper.free_at);
    }
    if (free >= best_free) continue;
    best_free = free;
    best = &id;
  }
  return best;
}

Milliseconds HelperSelector::OnSent(const HelperId& id, double call_ms,
                                    Time now) {
  Helper& helper = helpers_[id];
  const Milliseconds queue_time = std::max(now, helper.free_at) - now;
  helper.free_at = now + queue_time + RoundUp(call_ms);
  ++helper.in_flight;
  return queue_time + RoundUp(call_ms * kDurationFactor) + kTimeoutMargin;
}

void HelperSelector::OnReply(const HelperId& id) {
  Helper& helper = helpers_[id];
  --helper.in_flight;
  helper.consecutive_timeouts = 0;
  helper.backoff_until = Time();
  none_free_at_ = {};
}

void HelperSelector::OnTimeout(const HelperId& id, Time now) {
  none_free_at_ = {};
  Helper& helper = helpers_[id];
  --helper.in_flight;
  // Timeouts of calls that were in flight together count as one.
  if (helper.backoff_until > now) return;
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(helper.consecutive_timeouts++, kMaxDoublings);
  helper.backoff_until =
      now + std::min(kMaxBackoff, kInitialBackoff * (int64_t{1} << doublings));
}

}  // namespace quetzal
