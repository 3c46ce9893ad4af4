// Plans the earliest start of a gang that doesn't fit now, and its workers.
//
//   const std::vector<GangCandidate> candidates = {
//       {.free = free, .frees = {{Milliseconds(900), amount}}}};
//   const auto plan = PlanGang(member, members, candidates);
//   if (plan) Reserve(plan->assignments, plan->starts_in);
//
// Intended for workers that are four fifths full of single tasks, which take
// any capacity as it becomes free, and gangs of ten to a hundred members that
// may use only a third of the workers and start all at once or not at all.
// Without reservations such gangs starve until the load drops. A plan gives the
// earliest time at which capacity for all members is expected, by the expected
// ends of running tasks. Until then the capacity can be reserved for the gang
// and backfilled by work that ends before that time.
#ifndef QUETZAL_GANG_PLAN_GANG_PLAN_H_
#define QUETZAL_GANG_PLAN_GANG_PLAN_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

// Capacity that a running task is expected to free.
struct FreedAmount {
  Milliseconds in{0};
  Resources amount;
};

// A worker that may run members of the gang.
struct GangCandidate {
  Resources free;  // not reserved for other gangs
  std::vector<FreedAmount> frees;
  int max_members = 0;  // 0: as many as fit
};

struct GangPlan {
  struct Assignment {
    size_t candidate = 0;  // index into the candidates
    int members = 0;
  };
  Milliseconds starts_in{0};
  std::vector<Assignment> assignments;
};

// Returns nothing if the gang wouldn't fit even with all capacity that is
// expected to become free.
std::optional<GangPlan> PlanGang(const Resources& member, int members,
                                 const std::vector<GangCandidate>& candidates);

}  // namespace quetzal

#endif  // QUETZAL_GANG_PLAN_GANG_PLAN_H_
