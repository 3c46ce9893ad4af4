// The order in which waiting steps are offered room.
//
//   std::sort(steps.begin(), steps.end(), [&](const auto& a, const auto& b) {
//     return GoesBefore(a.standing, b.standing);
//   });
//
// The load that it answers: more work than room for seconds at a time, of
// queues whose work differs in urgency and length, and teams that send many
// times their usual. Work that can still be in time goes before work that
// can't; of the first the one with the least slack left, so that short urgent
// work goes ahead of long work that can wait, but not for ever; of the others
// the one with the higher priority.
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
  // Its team sent more than its weight allows when it came.
  bool beyond_share = false;
  int priority = 0;  // 0 comes first
  // Of the objective, after all work that is still to do.
  Milliseconds slack{0};
  Time since;
};

bool GoesBefore(const Standing& a, const Standing& b);

// How many jobs a team may send: its weight in jobs a second, with a burst.
// What it sends beyond goes after the work of teams within theirs, so that a
// team at many times its usual harms no other.
class ArrivalAllowance {
 public:
  // True if the job that came at `now` is within the allowance.
  bool Take(double weight, Time now);

 private:
  bool started_ = false;
  double tokens_ = 0;
  Time filled_;
};

}  // namespace quetzal

#endif  // QUETZAL_WAITING_ORDER_WAITING_ORDER_H_
