// Which waiting task starts where, now.
#ifndef QUETZAL_CELL_INTERNAL_PLACEMENT_H_
#define QUETZAL_CELL_INTERNAL_PLACEMENT_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// A ready step with tasks to start.
struct WaitingStep {
  Job* job = nullptr;
  int index = 0;
};

// In the order in which they are offered room.
std::vector<WaitingStep> InOrder(const State& state, Time now);
// Starts as many of the step's tasks as fit; all or none of a gang.
void PlaceStep(State* state, const WaitingStep& waiting, Time now);
// How many tasks of the step fit on the worker now, beside others' claims.
int FitsOn(const Worker& worker, const Step& step, Time now);
// How many would fit if nothing else ran there.
int FitsOnEmpty(const Worker& worker, const Step& step);
// True if the job's tasks may run on workers of that service and label.
bool MayServe(const Job& job, const Step& step, const Worker& worker);
// What the team's limit leaves for more tasks of this size.
int WithinTeamLimit(const State& state, const Job& job, const Step& step);
int TasksToStart(const Step& step);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_PLACEMENT_H_
