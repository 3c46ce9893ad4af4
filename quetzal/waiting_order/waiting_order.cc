#include "quetzal/waiting_order/waiting_order.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace quetzal {
namespace {

// Results are worth something until three times the objective: the users'
// page on credit.
constexpr int kLateFactor = 3;
// Of a team's weight: ordinary arrivals come in clumps.
constexpr double kBurstSeconds = 1.5;

}  // namespace

Prospect ProspectOf(Milliseconds age, Milliseconds work_left,
                    Milliseconds objective) {
  const Milliseconds end = age + work_left;
  if (end <= objective) return Prospect::kInTime;
  return end <= objective * kLateFactor ? Prospect::kLate : Prospect::kStale;
}

bool GoesBefore(const Standing& a, const Standing& b) {
  const bool a_stale = a.prospect == Prospect::kStale;
  const bool b_stale = b.prospect == Prospect::kStale;
  if (a_stale != b_stale) return b_stale;
  if (a.beyond_share != b.beyond_share) return b.beyond_share;
  if (a.prospect != b.prospect) return a.prospect < b.prospect;
  if (a.prospect == Prospect::kInTime) {
    return std::tie(a.slack, a.since) < std::tie(b.slack, b.since);
  }
  return std::tie(a.priority, a.since) < std::tie(b.priority, b.since);
}

bool ArrivalAllowance::Take(double weight, Time now) {
  const double most = weight * kBurstSeconds;
  if (!std::exchange(started_, true)) {
    tokens_ = most;
  } else if (now > filled_) {
    const std::chrono::duration<double> passed = now - filled_;
    tokens_ = std::min(most, tokens_ + weight * passed.count());
  }
  filled_ = std::max(filled_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace quetzal
