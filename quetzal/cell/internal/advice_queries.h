// Which workers to ask permits for, through which adviser, and when.
//
// The load that it answers: a call for advice takes its adviser from a few to
// several hundred milliseconds and each adviser serves one at a time, so calls
// are a scarce good: the shortest queue's calls must not wait behind the
// longest's, and only workers that have room are worth naming.
#ifndef QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_
#define QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_

#include "quetzal/cell/internal/placement.h"

namespace quetzal::cell {

// Asks for the step if its tasks lack permits and an adviser is free.
void AskForStep(State* state, const WaitingStep& waiting, Time now);
void ApplyAdvice(State* state, const HelperId& adviser,
                 const AdviceQuery& question, const AdviceAnswer& answer,
                 Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ADVICE_QUERIES_H_
