// Checks what happened in a `World` against the system's guarantees. It uses
// the workers' logs and the replies that callers received, none of the
// scheduler's internal state.
//
//   for (const Violation& violation : Check(world)) fail(violation);
//   for (const std::string& work : UnfinishedWork(world)) fail(work);
#ifndef TESTS_SUPPORT_CHECKER_H_
#define TESTS_SUPPORT_CHECKER_H_

#include <string>
#include <vector>

#include "tests/support/world.h"

namespace quetzal::testing {

enum class Guarantee {
  kCapacity,          // no worker runs more than its capacity
  kSinglePlacement,   // no task runs twice at the same time
  kKeyAuthorization,  // work needs a key of the queue's team that isn't revoked
  kLimit,             // no team above its upper limit
  kCompleteAnswer,    // each caller gets one complete answer to its own request
  kNotRun,            // work reported as "not run" never ran
  kAtMostOnce,        // non-idempotent work starts at most once
  kLeaving,           // no new work on a leaving worker
  kGracefulShutdown,  // a drained entry replies to all its calls
  kConfiguration,     // records take effect within the bound and never revert
  kGangAtomicity,     // all tasks of a gang start, or none
};

const char* NameOf(Guarantee guarantee);

struct Violation {
  Guarantee guarantee;
  std::string what;
};

// The capacity target for a leaving worker to get no new work; see also
// `kPropagationBound`.
inline constexpr Milliseconds kLeavingBound{5'000};

std::vector<Violation> Check(const World& world);
// Calls without a reply, jobs that have not ended, except services that run
// completely, and domains that have no active placer, have waiting work or
// workers that aren't accounted for.
std::vector<std::string> UnfinishedWork(const World& world);

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_CHECKER_H_
