#include "quetzal/waiting_order/waiting_order.h"

#include <tuple>

namespace quetzal {
namespace {

// Of a share that would be exactly fair; finer steps reorder work of equal
// teams all the time.
constexpr double kStepOfFairShare = 0.5;

}  // namespace

int ShareStep(double weighted_share) {
  return static_cast<int>(weighted_share / kStepOfFairShare);
}

bool GoesBefore(const Standing& a, const Standing& b) {
  return std::tie(a.hopeless, a.priority, a.team_share_step, a.since) <
         std::tie(b.hopeless, b.priority, b.team_share_step, b.since);
}

}  // namespace quetzal
