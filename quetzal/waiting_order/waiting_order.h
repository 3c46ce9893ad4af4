// The order in which waiting steps are placed on workers.
//
//   std::sort(steps.begin(), steps.end(), [&](const auto& a, const auto& b) {
//     return Precedes(a.rank, b.rank);
//   });
//
// Intended for overload that lasts seconds, queues whose work differs in
// urgency and length, and teams that send many times their usual rate. Work
// that can still meet its objective goes before work that can't. Among the
// former, the least slack goes first, so that short urgent work precedes long
// work that can wait, but doesn't starve it; among the latter, the higher
// priority goes first.
#ifndef QUETZAL_WAITING_ORDER_WAITING_ORDER_H_
#define QUETZAL_WAITING_ORDER_WAITING_ORDER_H_

#include "quetzal/ids/ids.h"

namespace quetzal {

enum class Timeliness {
  kInTime,  // can still end within its objective
  kLate,    // misses its objective, but its result still has value
  kStale,   // its result has no value left, but accepted work must run
};

// `age` is the time since arrival, `work_left` the expected time to the end.
Timeliness ExpectedTimeliness(Milliseconds age, Milliseconds work_left,
                              Milliseconds objective);

struct PlacementRank {
  Timeliness timeliness = Timeliness::kInTime;
  // It arrived above the rate that its team's weight allows.
  bool above_rate = false;
  int priority = 0;  // 0 comes first
  // What remains of the objective after all remaining work.
  Milliseconds slack{0};
  Time since;
};

bool Precedes(const PlacementRank& a, const PlacementRank& b);

// Token bucket of a team's arriving jobs: its weight in jobs per second, with a
// burst. Jobs beyond it are placed after those of teams within their rates, so
// that a team at many times its usual rate delays no other.
class ArrivalRateLimiter {
 public:
  // True if the job that arrived at `now` is within the rate.
  bool TryAdmit(double weight, Time now);

 private:
  bool started_ = false;
  double tokens_ = 0;
  Time refilled_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_WAITING_ORDER_WAITING_ORDER_H_
