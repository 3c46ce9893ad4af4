// Requests permits from the advice service: for which workers, through which
// helper, and when.
//
// A call occupies its helper for a few to several hundred milliseconds, and
// a helper serves one call at a time. Calls are therefore scarce: short calls
// must not wait behind long ones of another queue, and only workers with enough
// free resources are named.
#ifndef QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_
#define QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_

#include "quetzal/cell/internal/placement.h"

namespace quetzal::cell {

// Requests permits for the step if its tasks lack them and a helper is free.
void RequestAdvice(State* state, const WaitingStep& waiting, Time now);
void ApplyAdvice(State* state, const HelperId& helper, const AdviceQuery& query,
                 const AdviceAnswer& answer, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_
