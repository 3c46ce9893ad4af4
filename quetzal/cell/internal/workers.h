// Tracks the workers: sends polls, applies the runs and ends that they report,
// and ends runs that are lost.
#ifndef QUETZAL_CELL_INTERNAL_WORKERS_H_
#define QUETZAL_CELL_INTERNAL_WORKERS_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

void UpdateEntry(State* state, const WorkerEntry& entry, Time now);
void RemoveEntry(State* state, const WorkerId& id, Time now);
void ApplyPollAnswer(State* state, Worker* worker, const PollRequest& request,
                     Time sent, const PollAnswer& answer, Time now);
// True if the platform's list has lost the worker for good.
bool IsGone(const Worker& worker, Time now);
// Ends all runs of a worker on which nothing runs any more.
void EndAllRuns(State* state, Worker* worker, const char* why, Time now);
// Ends the runs of the worker whose leases have certainly expired.
void EndExpiredRuns(State* state, Worker* worker, Time now);
// Adopts the runs that the former roster lists of workers that can't be given
// others. Called once jobs and roster are loaded.
void AdoptFormerRuns(State* state, Time now);
// Assigns to the job its runs and ends that workers reported before the job was
// known.
void AttachOrphans(State* state, const JobId& id, Time now);
// Lets the next polls acknowledge the ends whose jobs' progress is stored.
void AcknowledgeStored(State* state, Time now);
// Sends polls and stops that are due, ends runs whose leases have expired, and
// forgets workers that are gone.
void MaintainWorkers(State* state, Time now);
// Estimates what the worker's clock shows now. Lags behind by the time that
// the worker's newest answer took to arrive.
WorkerTime EstimateClock(const Worker& worker, Time now);
// Determines which workers may be given new work now.
void UpdateUsableWorkers(State* state, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_WORKERS_H_
