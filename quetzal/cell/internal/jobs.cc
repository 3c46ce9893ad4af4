#include "quetzal/cell/internal/jobs.h"

#include <algorithm>

namespace quetzal::cell {
namespace {

// Delay before the remaining runs of a completed job are stopped. The members
// of a gang end at the same time, but their workers' reports may be apart by
// two round trips to a remote region and a repeated poll.
constexpr Milliseconds kGangEndsDelay{500};

bool AreAllDone(const Job& job) {
  return std::all_of(job.steps.begin(), job.steps.end(), [](const Step& step) {
    return step.done == static_cast<int>(step.tasks.size());
  });
}

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    default:
      return "open";
  }
}

void FinishJob(State* state, Job* job, JobState how, Time now) {
  if (IsFinal(job->state)) return;
  job->state = how;
  job->finished_at = now;
  state->waiting.erase(job);
  state->finished.push_back(job->accepted.id);
  MarkProgressChanged(state, job);
  // The reports of a gang's other members may still arrive.
  const bool completed = how == JobState::kCompleted;
  StopRuns(state, job, std::nullopt, completed ? now + kGangEndsDelay : now);
  state->metrics->Count(
      "quetzal_jobs_ended_total",
      {{"queue", job->queue_config.name.text()}, {"how", NameOf(how)}});
  state->log->Line("job_ended",
                   {{"job", job->accepted.id.text()},
                    {"how", NameOf(how)},
                    {"after_ms", (now - job->known_since).count()}});
}

// Computes the longest path from each step's start to the end of the job, by
// the caller's estimates. Returns that of the whole job.
Milliseconds ComputeCriticalPaths(Job* job) {
  Milliseconds longest{0};
  // Steps depend only on earlier ones, so the last has no successor.
  for (size_t i = job->steps.size(); i-- > 0;) {
    Step& step = job->steps[i];
    step.critical_path += step.spec->estimated_run_time;
    longest = std::max(longest, step.critical_path);
    for (const int before : step.spec->after) {
      Step& earlier = job->steps[static_cast<size_t>(before)];
      earlier.critical_path =
          std::max(earlier.critical_path, step.critical_path);
    }
  }
  return longest;
}

void MarkDone(Step* step, Task* task) {
  if (task->progress.done) return;
  task->progress.done = true;
  task->progress.checkpoint.clear();
  ++step->done;
}

void ApplyGangEnd(State* state, Job* job, int index, int64_t run,
                  TaskOutcome how, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  if (how == TaskOutcome::kDone && !step.spec->long_running) {
    // The members end together, so one member's end completes all.
    step.gang_done = true;
    for (Task& task : step.tasks) MarkDone(&step, &task);
    return;
  }
  if (step.gang_done) return;
  // Members that ended because another failed may be reported before it.
  if (how == TaskOutcome::kFailed) step.gang_failed_runs.insert(run);
  if (run != step.gang_run || step.gang_broken) return;
  step.gang_broken = true;
  StopRuns(state, job, index, now);
}

// A long-running task is started again however it ends, and isn't limited in
// its attempts. Nothing is stored, as a task may end often.
void ApplyLongRunningEnd(State* state, Job* job, const TaskId& task_id,
                         int64_t run, TaskOutcome how, Time now) {
  Step& step = job->steps[static_cast<size_t>(task_id.step)];
  Task& task = step.tasks[static_cast<size_t>(task_id.index)];
  if (how == TaskOutcome::kDone || how == TaskOutcome::kFailed) {
    task.backoff.OnEnded(now);
  }
  if (step.spec->gang) {
    ApplyGangEnd(state, job, task_id.step, run, how, now);
  }
  UpdateReadiness(state, job, now);
}

}  // namespace

void SetQueueConfig(Job* job, const Queue& config) {
  job->queue_config = config;
  job->objective = config.CompletionObjective(job->critical_path);
}

void MarkProgressChanged(State* state, Job* job) {
  ++job->version;
  if (job->dirty || job->write_in_flight) return;
  job->dirty = true;
  state->dirty_jobs.push_back(job->accepted.id);
}

void MarkBegun(State* state, Job* job, Time now) {
  if (job->state != JobState::kQueued) return;
  job->state = JobState::kRunning;
  state->metrics->Observe(
      "quetzal_wait_ms", {{"queue", job->queue_config.name.text()}},
      static_cast<double>((now - job->known_since).count()));
  MarkProgressChanged(state, job);
}

bool HasWaitingTasks(const Step& step) {
  if (!step.ready) return false;
  if (step.spec->gang) {
    return !step.gang_done && step.gang_members == 0;
  }
  return std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task& t) {
    return !t.progress.done && t.active_runs == 0;
  });
}

void UpdateReadiness(State* state, Job* job, Time now) {
  if (IsFinal(job->state)) return;
  bool waits = false;
  for (Step& step : job->steps) {
    if (!step.ready) {
      step.ready = std::all_of(
          step.spec->after.begin(), step.spec->after.end(), [&](int before) {
            const Step& other = job->steps[static_cast<size_t>(before)];
            return other.done == static_cast<int>(other.tasks.size());
          });
      if (step.ready) step.ready_since = now;
    }
    waits = waits || HasWaitingTasks(step);
  }
  if (waits) {
    state->waiting.insert(job);
  } else {
    state->waiting.erase(job);
  }
}

void AddJob(State* state, const AcceptedJob& accepted, Revision created,
            const std::optional<JobProgress>& progress, Time now) {
  if (state->jobs.contains(accepted.id)) return;
  auto owned = std::make_unique<Job>();
  Job* const job = owned.get();
  job->accepted = accepted;
  job->created = created;
  job->known_since = now;
  job->may_have_unknown_runs = !state->recovered;
  job->may_be_started_by_successor = !state->leadership_is_certain;
  job->queue_config.name = accepted.queue;
  job->queue_config.service = accepted.service;
  job->queue_config.max_attempts = accepted.max_attempts;
  if (state->catalog) {
    const Queue* const queue = state->catalog->FindQueue(accepted.queue);
    if (queue != nullptr) job->queue_config = *queue;
  }
  for (const StepSpec& spec : job->accepted.spec.steps) {
    Step step;
    step.spec = &spec;
    step.charge = ChargeOf(spec);
    step.tasks.resize(static_cast<size_t>(spec.count));
    job->steps.push_back(std::move(step));
  }
  if (state->recovered && state->catalog) {
    const Team* const team = state->catalog->FindTeam(accepted.team);
    job->above_rate =
        team != nullptr &&
        !state->team_arrivals[accepted.team].TryAdmit(team->weight, now);
  }
  job->critical_path = ComputeCriticalPaths(job);
  SetQueueConfig(job, Queue(job->queue_config));
  state->jobs[accepted.id] = std::move(owned);
  if (progress) {
    job->state = progress->state;
    for (size_t i = 0; i < job->steps.size(); ++i) {
      Step& step = job->steps[i];
      for (size_t j = 0; j < step.tasks.size(); ++j) {
        step.tasks[j].progress = progress->steps[i].tasks[j];
        step.tasks[j].reserved_run = step.tasks[j].progress.last_run;
        if (step.tasks[j].progress.done) ++step.done;
        const std::string& checkpoint = step.tasks[j].progress.checkpoint;
        if (!checkpoint.empty()) step.gang_checkpoint = checkpoint;
        const auto& failed_runs = step.tasks[j].progress.failed_runs;
        step.gang_failed_runs.insert(failed_runs.begin(), failed_runs.end());
      }
      step.gang_done =
          step.spec->gang && step.done == static_cast<int>(step.tasks.size());
    }
  }
  job->stored_version = job->version;
  if (IsFinal(job->state)) {
    job->finished_at = now;
    state->finished.push_back(accepted.id);
  }
  UpdateReadiness(state, job, now);
}

void CancelJob(State* state, Job* job, Time now) {
  FinishJob(state, job, JobState::kCancelled, now);
}

void StopRuns(State* state, Job* job, std::optional<int> step, Time at) {
  if (job->active_runs == 0) return;
  for (auto& [id, worker] : state->workers) {
    for (auto& [task_id, run] : worker.runs) {
      if (run.job != job || (step && task_id.step != *step)) continue;
      if (run.state != RunState::kStopping) ScheduleStop(&worker, &run, at);
    }
  }
}

void ApplyEnd(State* state, Job* job, const TaskId& task_id, int64_t run,
              TaskOutcome how, const std::string& checkpoint, Time now) {
  if (task_id.step < 0 ||
      static_cast<size_t>(task_id.step) >= job->steps.size()) {
    return;
  }
  Step& step = job->steps[static_cast<size_t>(task_id.step)];
  if (task_id.index < 0 ||
      static_cast<size_t>(task_id.index) >= step.tasks.size()) {
    return;
  }
  Task& task = step.tasks[static_cast<size_t>(task_id.index)];
  const bool is_newest = run >= task.progress.last_run;
  task.progress.last_run = std::max(task.progress.last_run, run);
  if (!checkpoint.empty() && !task.progress.done && is_newest) {
    task.progress.checkpoint = checkpoint;
    step.gang_checkpoint = checkpoint;
  }
  // The answer to its start may have been lost.
  if (how == TaskOutcome::kDone || how == TaskOutcome::kFailed) {
    MarkBegun(state, job, now);
  }
  if (step.spec->long_running) {
    if (IsFinal(job->state)) return;
    ApplyLongRunningEnd(state, job, task_id, run, how, now);
    return;
  }
  // Workers report an end again until it is acknowledged, and a new placer may
  // receive the end of a later run first.
  auto& failed_runs = task.progress.failed_runs;
  if (how == TaskOutcome::kFailed && !task.progress.done &&
      std::find(failed_runs.begin(), failed_runs.end(), run) ==
          failed_runs.end()) {
    failed_runs.push_back(run);
  }
  MarkProgressChanged(state, job);
  if (IsFinal(job->state)) return;
  if (step.spec->gang) {
    ApplyGangEnd(state, job, task_id.step, run, how, now);
  } else if (how == TaskOutcome::kDone) {
    MarkDone(&step, &task);
  }
  if (AreAllDone(*job)) {
    FinishJob(state, job, JobState::kCompleted, now);
    return;
  }
  const size_t failures = step.spec->gang ? step.gang_failed_runs.size()
                                          : task.progress.failed_runs.size();
  if (!task.progress.done &&
      failures >= static_cast<size_t>(job->queue_config.max_attempts)) {
    FinishJob(state, job, JobState::kFailed, now);
    return;
  }
  UpdateReadiness(state, job, now);
}

JobProgress ProgressOf(const Job& job) {
  JobProgress progress;
  progress.state = job.state;
  for (const Step& step : job.steps) {
    StepProgress stored;
    for (const Task& task : step.tasks) {
      stored.tasks.push_back(task.progress);
      int64_t& last_run = stored.tasks.back().last_run;
      last_run = std::max(last_run, task.reserved_run);
    }
    progress.steps.push_back(std::move(stored));
  }
  return progress;
}

}  // namespace quetzal::cell
