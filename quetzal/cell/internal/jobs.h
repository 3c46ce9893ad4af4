// Jobs and their progress: what an end means for its task, step and job.
#ifndef QUETZAL_CELL_INTERNAL_JOBS_H_
#define QUETZAL_CELL_INTERNAL_JOBS_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// The queue's terms as configured now, and what follows from them.
void SetTerms(Job* job, const Queue& terms);
// Marks the job's progress as in need of being stored.
void Touch(State* state, Job* job);
void AddJob(State* state, const AcceptedJob& accepted, Revision created,
            const std::optional<JobProgress>& progress, Time now);
void CancelJob(State* state, Job* job, Time now);
// Applies a worker's word, or the lapse, about a run of the job's task. The run
// itself is removed by the caller beforehand.
void ApplyEnd(State* state, Job* job, const TaskId& task, int64_t run,
              TaskOutcome how, const std::string& checkpoint, Time now);
// Makes the steps whose predecessors are done ready.
void UpdateReadiness(State* state, Job* job, Time now);
JobProgress ProgressOf(const Job& job);
bool HasWaitingTasks(const Step& step);
// Orders the stop of every run of the job, or of one step of it.
void StopRuns(State* state, Job* job, std::optional<int> step, Time at);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_JOBS_H_
