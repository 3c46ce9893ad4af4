// Sends stop orders, and applies workers' answers to start and stop orders.
#ifndef QUETZAL_CELL_INTERNAL_ORDERS_H_
#define QUETZAL_CELL_INTERNAL_ORDERS_H_

#include <string>

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// An accepted job becomes known after a watch's round trip, or after a new
// listing. Runs and ends of jobs that stay unknown for longer belong to no job.
inline constexpr Milliseconds kOrphanTimeout{2'000};

void ApplyStartAnswer(State* state, Worker* worker, const StartOrder& order,
                      const OrderAnswer& answer, Time now);
void ApplyStopAnswer(State* state, Worker* worker, const StopOrder& order,
                     const OrderAnswer& answer, Time now);
// Sends the stops that are due.
void SendDueStops(State* state, Worker* worker, Time now);
// Stops the members of a gang that lost one, since they would only wait for it.
void BreakGang(State* state, Job* job, int index, Time now);
// Ends this placer's term because another placer leads.
void Resign(State* state, const std::string& reason);
const char* NameOf(OrderOutcome outcome);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ORDERS_H_
