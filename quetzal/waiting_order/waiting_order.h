// The order in which waiting steps are offered room.
//
//   std::sort(steps.begin(), steps.end(), [&](const auto& a, const auto& b) {
//     return GoesBefore(a.standing, b.standing);
//   });
//
// The load that it answers: more work than room for seconds at a time, of
// queues whose work differs in urgency and length, and teams that send many
// times their usual. Higher priorities go first; within one, teams that hold
// less for their weight, then work that waited longer.
#ifndef QUETZAL_WAITING_ORDER_WAITING_ORDER_H_
#define QUETZAL_WAITING_ORDER_WAITING_ORDER_H_

#include "quetzal/ids/ids.h"

namespace quetzal {

enum class Prospect {
  kInTime,  // can still end within its objective
  kLate,    // can still end while its result is worth something
  kStale,   // must end, for it was accepted; nobody waits for it any more
};

// By the time left until the objective, and the work still to do.
Prospect ProspectOf(Milliseconds age, Milliseconds work_left,
                    Milliseconds objective);

struct Standing {
  Prospect prospect = Prospect::kInTime;
  int priority = 0;  // 0 comes first
  // Largest part of the cell's room that the team holds, over its weight, in
  // coarse steps so that equals are served by age.
  int team_share_step = 0;
  Time since;
};

// Coarsens a weighted share for `Standing::team_share_step`.
int ShareStep(double weighted_share);
bool GoesBefore(const Standing& a, const Standing& b);

}  // namespace quetzal

#endif  // QUETZAL_WAITING_ORDER_WAITING_ORDER_H_
