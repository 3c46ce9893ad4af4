// Room that waiting gangs gather: claims on workers, kept from work that would
// run beyond the time at which the gang is expected to start.
#ifndef QUETZAL_CELL_INTERNAL_RESERVATIONS_H_
#define QUETZAL_CELL_INTERNAL_RESERVATIONS_H_

#include <vector>

#include "quetzal/cell/internal/placement.h"
#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// Plans anew, every so often, what the first gangs in `order` claim.
void PlanGathering(State* state, const std::vector<WaitingStep>& order,
                   Time now);
// The step's gang starts: its claims are settled.
void DropClaims(State* state, Step* step);
// What the worker has free for the step, beside others' claims.
Resources RoomFor(const Worker& worker, const Step& step, Time now);
// A run of the step was ordered there: others' claims leave less to spare.
void ChargeClaims(Worker* worker, const Step& step, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_RESERVATIONS_H_
