// The work that the fault matrix and the property tests put through a `World`:
// requests with good, wrong and revoked keys, resends under a request key,
// jobs of each kind, a cancellation, and changes of records.
#ifndef TESTS_SUPPORT_SCENARIO_H_
#define TESTS_SUPPORT_SCENARIO_H_

#include <string>

#include "tests/support/world.h"

namespace quetzal::testing {

// Settings with leases short enough for faults to outlast them.
WorldSettings QuickWorld();

// Records of the teams red and blue, their keys and queues.
void ApplyFirstRecords(World* world);
// A form of the record of the queue that is open to all.
std::string OpenQueueRecord(int depth);
// Halves the upper limit of the team blue, to 3,000 milli-processors.
void LowerLimitOfBlue(World* world);
// Queues the whole workload, relative to now; it ends after `kWorkloadTime`.
void ScheduleWorkload(World* world);

inline constexpr Milliseconds kWorkloadTime{26'000};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_SCENARIO_H_
