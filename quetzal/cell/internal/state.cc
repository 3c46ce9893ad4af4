#include "quetzal/cell/internal/state.h"

#include <algorithm>
#include <utility>

namespace quetzal::cell {

Job* State::FindJob(const JobId& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : found->second.get();
}

Worker* State::FindWorker(const WorkerId& id) {
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : &found->second;
}

Worker* State::FindOrAddWorker(const WorkerId& id) {
  const auto [found, is_new] = workers.try_emplace(id);
  Worker* const worker = &found->second;
  if (is_new) {
    worker->entry.id = id;
    worker->slot = slots.size();
    slots.push_back(worker);
  }
  return worker;
}

namespace {

using RunIterator = std::multimap<TaskId, Run>::iterator;

RunIterator FindRunIterator(Worker* worker, const TaskId& task,
                            int64_t number) {
  const auto [first, last] = worker->runs.equal_range(task);
  const auto found = std::find_if(first, last, [number](const auto& each) {
    return each.second.number == number;
  });
  return found == last ? worker->runs.end() : found;
}

}  // namespace

Fence FenceWithoutLease(Fence leader_fence) {
  return Fence{static_cast<uint64_t>(leader_fence) + 1};
}

bool IsConfirmed(const Run& run) {
  return run.last_run_list > 0 || run.start_confirmed;
}

Run* FindRun(Worker* worker, const TaskId& task, int64_t number) {
  const RunIterator found = FindRunIterator(worker, task, number);
  return found == worker->runs.end() ? nullptr : &found->second;
}

int CountRunsOfStep(const Worker& worker, const Job& job, int step) {
  int count = 0;
  for (const auto& [task_id, run] : worker.runs) {
    if (run.job == &job && task_id.step == step) ++count;
  }
  return count;
}

void ScheduleStop(Worker* worker, Run* run, Time at) {
  run->state = RunState::kStopping;
  run->next_stop_at = at;
  worker->may_need_stops = true;
}

bool IsServing(const StepSpec& spec) {
  return spec.long_running && spec.latency_target.count() > 0;
}

bool IsBestEffort(const Run& run) {
  return run.job != nullptr &&
         run.job->steps[static_cast<size_t>(run.task.step)].spec->best_effort;
}

Resources ChargeOf(const StepSpec& spec) {
  Resources charge = spec.demand;
  if (spec.best_effort) charge.cpu_milli = 0;
  return charge;
}

Milliseconds Stretch(Milliseconds time) {
  return Milliseconds(
      static_cast<int64_t>(static_cast<double>(time.count()) * kMaxClockRatio));
}

void AddRun(State* state, Worker* worker, Run run) {
  worker->used += run.charge;
  if (run.job != nullptr) {
    Job& job = *run.job;
    Step& step = job.steps[static_cast<size_t>(run.task.step)];
    if (step.spec->best_effort) {
      worker->best_effort_cpu_milli += step.spec->demand.cpu_milli;
      ++worker->best_effort_runs;
    }
    if (IsServing(*step.spec)) ++worker->serving_runs;
    state->team_usage[job.accepted.team] += step.spec->demand;
    ++step.tasks[static_cast<size_t>(run.task.index)].active_runs;
    ++job.active_runs;
    if (step.spec->gang) ++step.gang_members;
  }
  if (run.orphan_since) {
    ++worker->orphan_runs;
    ++state->orphans;
  }
  run.progressed_at = run.ordered_at;
  const TaskId task_id = run.task;
  worker->runs.emplace(task_id, std::move(run));
}

void RemoveRun(State* state, Worker* worker, const TaskId& task,
               int64_t number) {
  const RunIterator found = FindRunIterator(worker, task, number);
  if (found == worker->runs.end()) return;
  const Run& run = found->second;
  worker->used -= run.charge;
  if (run.orphan_since) {
    --worker->orphan_runs;
    --state->orphans;
  }
  if (run.job != nullptr) {
    Job& job = *run.job;
    Step& step = job.steps[static_cast<size_t>(task.step)];
    if (step.spec->best_effort) {
      worker->best_effort_cpu_milli -= step.spec->demand.cpu_milli;
      --worker->best_effort_runs;
    }
    if (IsServing(*step.spec)) --worker->serving_runs;
    state->team_usage[job.accepted.team] -= step.spec->demand;
    --step.tasks[static_cast<size_t>(task.index)].active_runs;
    --job.active_runs;
    if (step.spec->gang) --step.gang_members;
  }
  worker->runs.erase(found);
}

}  // namespace quetzal::cell
