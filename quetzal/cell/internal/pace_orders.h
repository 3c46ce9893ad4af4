// Orders the paces of best-effort runs beside serving ones.
#ifndef QUETZAL_CELL_INTERNAL_PACE_ORDERS_H_
#define QUETZAL_CELL_INTERNAL_PACE_ORDERS_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// Sends the pace orders that follow from the workers' newest run lists.
void SendPaceOrders(State* state, Time now);
void ApplyPaceAnswer(State* state, Worker* worker, const PaceOrder& order,
                     const OrderAnswer& answer);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_PACE_ORDERS_H_
