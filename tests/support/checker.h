// Judges what happened in a `World` against each promise, from the workers'
// own logs and what callers were told; it uses nothing of the scheduler's own
// accounts.
//
//   for (const Violation& violation : Check(world)) fail(violation);
//   for (const std::string& left : Unfinished(world)) fail(left);
#ifndef TESTS_SUPPORT_CHECKER_H_
#define TESTS_SUPPORT_CHECKER_H_

#include <string>
#include <vector>

#include "tests/support/world.h"

namespace quetzal::testing {

enum class Promise {
  kCapacity,       // no VM runs more than it has
  kOnePlace,       // no task in two places at once
  kKeys,           // only for the team whose key came along; revocation
  kLimit,          // no team above its upper limit
  kWholeAnswer,    // one whole answer for each caller's own request
  kNotRun,         // "not run" means it did not run
  kAtMostOnce,     // non-idempotent work
  kLeaving,        // nothing new on a leaving endpoint
  kNoneCutOff,     // graceful shutdown
  kConfiguration,  // in force within the bound, never reverting
  kGangWhole,      // a gang starts whole or not at all
};

const char* NameOf(Promise promise);

struct Violation {
  Promise promise;
  std::string what;
};

// Bound, from the stated targets; see also `kInForceBound`.
inline constexpr Milliseconds kLeavingBound{5'000};

std::vector<Violation> Check(const World& world);
// Work that should have ended by now but has not.
std::vector<std::string> Unfinished(const World& world);

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_CHECKER_H_
