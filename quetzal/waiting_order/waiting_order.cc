#include "quetzal/waiting_order/waiting_order.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace quetzal {
namespace {

// Results have value until three times the objective (the platform's
// specification).
constexpr int kLateFactor = 3;
// Capacity of a team's token bucket, as usual arrivals come in bursts.
constexpr double kBurstSeconds = 1.5;

}  // namespace

Timeliness ExpectedTimeliness(Milliseconds age, Milliseconds work_left,
                              Milliseconds objective) {
  const Milliseconds end = age + work_left;
  if (end <= objective) return Timeliness::kInTime;
  return end <= objective * kLateFactor ? Timeliness::kLate
                                        : Timeliness::kStale;
}

bool Precedes(const PlacementRank& a, const PlacementRank& b) {
  const bool a_stale = a.timeliness == Timeliness::kStale;
  const bool b_stale = b.timeliness == Timeliness::kStale;
  if (a_stale != b_stale) return b_stale;
  if (a.above_rate != b.above_rate) return b.above_rate;
  if (a.timeliness != b.timeliness) return a.timeliness < b.timeliness;
  if (a.timeliness == Timeliness::kInTime) {
    return std::tie(a.slack, a.since) < std::tie(b.slack, b.since);
  }
  return std::tie(a.priority, a.since) < std::tie(b.priority, b.since);
}

bool ArrivalRateLimiter::TryAdmit(double weight, Time now) {
  const double max_tokens = weight * kBurstSeconds;
  if (!std::exchange(started_, true)) {
    tokens_ = max_tokens;
  } else if (now > refilled_at_) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    tokens_ = std::min(max_tokens, tokens_ + weight * passed.count());
  }
  refilled_at_ = std::max(refilled_at_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace quetzal
