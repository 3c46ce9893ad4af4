// Orders to workers and what became of them: starts that failed or have no
// answer, stops that are owed.
#ifndef QUETZAL_CELL_INTERNAL_ORDERS_H_
#define QUETZAL_CELL_INTERNAL_ORDERS_H_

#include <string>

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// News of an accepted job takes a watch's round trip, or a new listing. Runs
// and ends of jobs that stay unknown for longer are nobody's.
inline constexpr Milliseconds kOrphanPatience{2'000};

void ApplyStart(State* state, Worker* worker, const StartOrder& order,
                const OrderAnswer& answer, Time now);
void ApplyStop(State* state, Worker* worker, const StopOrder& order,
               const OrderAnswer& answer, Time now);
// Sends the stops that are due.
void StopWhatIsOwed(State* state, Worker* worker, Time now);
// Gangs miss a member: the others would only wait for it.
void BreakGang(State* state, Job* job, int index, Time now);
// Another placer was seen to lead.
void Resign(State* state, const std::string& reason);
const char* NameOf(OrderOutcome outcome);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ORDERS_H_
