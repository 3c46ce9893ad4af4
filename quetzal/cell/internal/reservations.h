// Reserves capacity on workers for waiting gangs. Other work may backfill it
// only if it is expected to end before the gang starts.
#ifndef QUETZAL_CELL_INTERNAL_RESERVATIONS_H_
#define QUETZAL_CELL_INTERNAL_RESERVATIONS_H_

#include <vector>

#include "quetzal/cell/internal/placement.h"
#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// Periodically replans the reservations of the first gangs in `order`.
void PlanReservations(State* state, const std::vector<WaitingStep>& order,
                      Time now);
// Removes the reservations of a gang that starts.
void DropReservations(State* state, Step* step);
// What the worker has free for the step, besides other gangs' reservations.
Resources FreeCapacityFor(const Worker& worker, const Step& step, Time now);
// Deducts a run of the step, ordered on the worker, from what other gangs'
// reservations leave to spare.
void ChargeReservations(Worker* worker, const Step& step, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_RESERVATIONS_H_
