// Assigns waiting tasks to workers.
#ifndef QUETZAL_CELL_INTERNAL_PLACEMENT_H_
#define QUETZAL_CELL_INTERNAL_PLACEMENT_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// A ready step with tasks to start.
struct WaitingStep {
  Job* job = nullptr;
  int index = 0;
};

// All waiting steps, in the order in which they are placed.
std::vector<WaitingStep> WaitingStepsInOrder(const State& state, Time now);
// Starts as many of the step's tasks as fit; all or none of a gang.
void PlaceStep(State* state, const WaitingStep& waiting, Time now);
// How many tasks of the step fit on the worker now, besides other gangs'
// reservations.
int CountFitsOn(const Worker& worker, const Step& step, Time now);
// How many would fit if nothing else ran there.
int CountFitsOnEmpty(const Worker& worker, const Step& step);
// True if the worker has the job's service and the step's required label.
bool IsEligible(const Job& job, const Step& step, const Worker& worker);
// How many more tasks of the step the team's limit allows.
int CountWithinTeamLimit(const State& state, const Job& job, const Step& step);
int CountTasksToStart(const Step& step);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_PLACEMENT_H_
