// Tracks jobs and their progress: applies the ends of runs to tasks, steps and
// jobs.
#ifndef QUETZAL_CELL_INTERNAL_JOBS_H_
#define QUETZAL_CELL_INTERNAL_JOBS_H_

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// Sets the queue's current configuration, and the objective that follows from
// it.
void SetQueueConfig(Job* job, const Queue& config);
// Marks the job's progress as changed, so that it is stored.
void MarkProgressChanged(State* state, Job* job);
// Called when a worker has shown that a task of the job began. An order alone
// may have no effect for as long as a lease lasts.
void MarkBegun(State* state, Job* job, Time now);
void AddJob(State* state, const AcceptedJob& accepted, Revision created,
            const std::optional<JobProgress>& progress, Time now);
void CancelJob(State* state, Job* job, Time now);
// Applies the end of a run, as reported by its worker or after its lease
// expired, to the job. The caller removes the run beforehand.
void ApplyEnd(State* state, Job* job, const TaskId& task_id, int64_t run,
              TaskOutcome how, const std::string& checkpoint, Time now);
// Marks the steps whose predecessors are done as ready.
void UpdateReadiness(State* state, Job* job, Time now);
JobProgress ProgressOf(const Job& job);
bool HasWaitingTasks(const Step& step);
// Schedules stops of all runs of the job, or of one of its steps, not before
// `at`.
void StopRuns(State* state, Job* job, std::optional<int> step, Time at);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_JOBS_H_
