// State transitions of work items and attempts. All parts of the placer change
// them only through these functions, which keeps the queue, the ledger and the
// tables consistent.
#ifndef QUETZAL_PLACER_INTERNAL_TRANSITIONS_H_
#define QUETZAL_PLACER_INTERNAL_TRANSITIONS_H_

#include <string>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

// Returns the ledger's group of the work: the job for tasks of jobs, the work
// item itself for requests.
std::string PlacementGroup(const WorkItem& item);
// Returns the lane of the queue in which the work waits.
Lane LaneOf(const wire::Work& work);

// Adds a table entry for work that isn't known yet and returns it.
WorkItem* AddWork(State* state, const wire::Work& work, Time now);
// Removes work from the tables; it must have no attempt.
void RemoveWork(State* state, const WorkId& id);

// Adds the work to the queue.
void Enqueue(State* state, WorkItem* item, bool front);
// Removes the work from the queue.
void Dequeue(State* state, WorkItem* item);
// Removes the work from the queue until `at`.
void DelayUntil(State* state, WorkItem* item, Time at);

// Starts an attempt of `item` on `worker`. With `hold` above zero the worker
// only holds the resources, for at most that time. Returns false and sends
// nothing if the contract doesn't allow a start or the work isn't ready.
bool StartAttempt(State* state, WorkItem* item, const WorkerId& worker,
                  Milliseconds hold, Time now);
// Asks the worker to end an attempt; the request is repeated until the worker
// reports the end.
void StopAttempt(State* state, AttemptInfo* attempt, bool checkpoint, Time now);
// Releases the attempt's charge and removes the attempt. Its work, if still
// known, is left without an attempt.
void CloseAttempt(State* state, const AttemptId& id);
// Allows the worker to discard an ended attempt. Acknowledgements are sent with
// the worker's next grant, or at once when many have accumulated.
void AcknowledgeAttempt(State* state, const WorkerId& worker,
                        const AttemptId& attempt);
// Adds the worker's accumulated acknowledgements to a grant.
void AttachAcknowledgements(State* state, DueGrant* grant);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_TRANSITIONS_H_
