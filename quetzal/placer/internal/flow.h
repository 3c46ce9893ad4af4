// Steps that move one piece of work or one attempt from state to state. Every
// part of the placer changes work only through these, so that the queue, the
// ledger and the tables stay in step.
#ifndef QUETZAL_PLACER_INTERNAL_FLOW_H_
#define QUETZAL_PLACER_INTERNAL_FLOW_H_

#include <string>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

// Work that is spread or keeps room as one: a job's tasks, or a request alone.
std::string GroupOf(const WorkItem& item);
// Lane in which work of this kind waits.
Lane LaneOf(const wire::Work& work);

// Makes a table entry for work that is not known yet and returns it.
WorkItem* AddWork(State* state, const wire::Work& work, Time now);
// Removes work from the tables; it must have no attempt.
void DropWork(State* state, const WorkId& id);

// Puts work into its place in the queue.
void Enqueue(State* state, WorkItem* item, bool front);
// Takes work out of the queue.
void Dequeue(State* state, WorkItem* item);
// Has the work queued again no earlier than `at`.
void BackOffUntil(State* state, WorkItem* item, Time at);

// Starts an attempt of `item` on `worker`. With `hold` above zero the worker
// only reserves. False, with nothing done, if the contract doesn't allow it.
bool StartAttempt(State* state, WorkItem* item, const WorkerId& worker,
                  Milliseconds hold, Time now);
// Asks the worker to end an attempt; asked again until it says so.
void StopAttempt(State* state, AttemptInfo* attempt, bool checkpoint, Time now);
// Ends the attempt's charge and forgets it; its work, if any, is left without
// an attempt.
void CloseAttempt(State* state, const AttemptId& id);
// Lets the worker forget an ended attempt. The word rides on the worker's next
// grant, or leaves at once when much is to be told.
void Acknowledge(State* state, const WorkerId& worker,
                 const AttemptId& attempt);
// Adds to a grant what its worker may forget.
void AddAcknowledged(State* state, DueGrant* grant);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_FLOW_H_
