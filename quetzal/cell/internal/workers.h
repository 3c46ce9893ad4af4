// Workers under one placer: holds, what they say they run, leases that lapse.
#ifndef QUETZAL_CELL_INTERNAL_WORKERS_H_
#define QUETZAL_CELL_INTERNAL_WORKERS_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

void LearnEntry(State* state, const WorkerEntry& entry, Time now);
void ForgetEntry(State* state, const WorkerId& id, Time now);
void ApplyHold(State* state, Worker* worker, const PollRequest& request,
               Time sent, const PollAnswer& answer, Time now);
// Nothing runs there any more.
void EndAllRuns(State* state, Worker* worker, const char* why, Time now);
// Runs that were found before their job was known become the job's.
void AttachOrphans(State* state, const JobId& id, Time now);
// Ends whose jobs' progress is stored are acknowledged with the next hold.
void AcknowledgeStored(State* state, Time now);
// Holds that are due, stops that are owed, leases that have lapsed.
void TendWorkers(State* state, Time now);
// What a worker's clock shows now, never behind.
WorkerTime ClockOf(const Worker& worker, Time now);
// Notes which workers may be given new work now.
void FindUsable(State* state, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_WORKERS_H_
