// The workload that the fault matrix and the property tests run in a `World`:
// requests with valid, wrong and revoked keys, resends under a request key,
// jobs of each kind, a cancellation, and changes of records.
#ifndef TESTS_SUPPORT_SCENARIO_H_
#define TESTS_SUPPORT_SCENARIO_H_

#include <string>

#include "tests/support/world.h"

namespace quetzal::testing {

// Settings whose leases are shorter than the faults of `AllFaults`.
WorldSettings ShortLeaseSettings();

// Writes the records of the teams red and blue, their keys and queues.
void ApplyInitialRecords(World* world);
// A record of the queue "open-q", which needs no key, with the given depth.
std::string OpenQueueRecord(int depth);
// Halves the upper limit of the team blue, to 3,000 milli-processors.
void LowerBlueLimit(World* world);
// Schedules the whole workload, starting now; it ends after `kWorkloadTime`.
void ScheduleWorkload(World* world);

inline constexpr Milliseconds kWorkloadTime{26'000};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_SCENARIO_H_
