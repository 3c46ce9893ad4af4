// Decides at which pace best-effort tasks work beside tasks that serve users.
//
//   const int pace = NextPace(current, {{.tail = Milliseconds(80),
//                                        .target = Milliseconds(100)}});
//
// Intended for workers on which best-effort tasks raise the response times of
// the serving tasks beside them, by amounts that change within seconds and
// aren't known in advance. The pace falls fast when a serving task nears its
// target, so that none stays over it, and rises slowly, so that it settles
// below the pace at which it would have to fall again.
#ifndef QUETZAL_PACING_PACING_H_
#define QUETZAL_PACING_PACING_H_

#include <optional>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

inline constexpr int kFullPace = 100;  // percent

// A serving task on the worker: its recent response times at the tail, and the
// target that they must stay below.
struct ServingTask {
  Milliseconds tail{0};
  Milliseconds target{0};
};

// The pace, in percent, for the best-effort tasks beside `serving`. `current`
// is unknown for tasks that a former placer paced.
int NextPace(std::optional<int> current,
             const std::vector<ServingTask>& serving);

}  // namespace quetzal

#endif  // QUETZAL_PACING_PACING_H_
