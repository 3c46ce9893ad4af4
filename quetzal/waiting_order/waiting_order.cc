#include "quetzal/waiting_order/waiting_order.h"

#include <tuple>

namespace quetzal {
namespace {

// Of a share that would be exactly fair; finer steps reorder work of equal
// teams all the time.
constexpr double kStepOfFairShare = 0.5;

// Results are worth something until three times the objective: the users'
// page on credit.
constexpr int kLateFactor = 3;

}  // namespace

Prospect ProspectOf(Milliseconds age, Milliseconds work_left,
                    Milliseconds objective) {
  const Milliseconds end = age + work_left;
  if (end <= objective) return Prospect::kInTime;
  return end <= objective * kLateFactor ? Prospect::kLate : Prospect::kStale;
}

int ShareStep(double weighted_share) {
  return static_cast<int>(weighted_share / kStepOfFairShare);
}

bool GoesBefore(const Standing& a, const Standing& b) {
  return std::tie(a.prospect, a.priority, a.team_share_step, a.since) <
         std::tie(b.prospect, b.priority, b.team_share_step, b.since);
}

}  // namespace quetzal
