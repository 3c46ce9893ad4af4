#include "quetzal/cell/internal/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "quetzal/cell/internal/accounting.h"
#include "quetzal/cell/internal/jobs.h"
#include "quetzal/cell/internal/reservations.h"
#include "quetzal/cell/internal/workers.h"
#include "quetzal/pacing/pacing.h"
#include "quetzal/waiting_order/waiting_order.h"

namespace quetzal::cell {
namespace {

// A gang that waits for longer is logged, and again after each interval.
constexpr Milliseconds kGangWaitLogDelay{3'000};
constexpr Milliseconds kGangWaitLogInterval{2'000};
// Long-running tasks end often without a write of their progress, so their run
// numbers are reserved in blocks. The next block is reserved while this many
// numbers are left, so that it is stored before they are used up.
constexpr int64_t kRunNumberBlock = 16;
constexpr int64_t kRunNumbersLeft = 8;
// A permit must still be valid when the order reaches the worker.
constexpr Milliseconds kPermitMargin{150};

int64_t CountInDimension(int64_t free, int64_t demand) {
  if (demand <= 0) return std::numeric_limits<int>::max();
  return std::max<int64_t>(0, free / demand);
}

int CountFits(const Resources& free, const Resources& charge) {
  const int64_t fits =
      std::min({CountInDimension(free.cpu_milli, charge.cpu_milli),
                CountInDimension(free.memory_mib, charge.memory_mib),
                CountInDimension(free.accelerators, charge.accelerators)});
  return static_cast<int>(
      std::min<int64_t>(fits, std::numeric_limits<int>::max()));
}

struct Candidate {
  Worker* worker = nullptr;
  int fits = 0;
  double score = 0;  // lower is better
};

bool IsValid(const PermitState& permit, const Worker& worker, Time now) {
  return permit.allowed && permit.incarnation == worker.incarnation &&
         permit.expires > now + kPermitMargin;
}

// Prefers the fullest workers, so that others keep enough free capacity for
// large tasks. Best-effort tasks go where most processors are spare.
double ScoreOf(const Step& step, const Worker& worker) {
  const Resources free = worker.Free();
  double score = static_cast<double>(free.cpu_milli);
  if (step.spec->best_effort) {
    score = -static_cast<double>(free.cpu_milli - worker.best_effort_cpu_milli);
  }
  // Reading the step's data from another rack multiplies its run time, so other
  // racks are used only if no worker of the preferred rack fits.
  constexpr double kOtherRackPenalty = 1e6;
  if (!step.spec->preferred_rack.empty() &&
      step.spec->preferred_rack != worker.entry.rack) {
    score += kOtherRackPenalty;
  }
  // Best-effort tasks disturb serving tasks on their worker, and have to be
  // paced down there.
  constexpr double kDisturbancePenalty = 1e5;
  if (step.spec->best_effort) {
    score += kDisturbancePenalty * worker.serving_runs;
  }
  if (IsServing(*step.spec)) {
    score += kDisturbancePenalty * worker.best_effort_runs;
  }
  constexpr double kFailurePenalty = 1e7;
  score += worker.failure_rate * kFailurePenalty;
  return score;
}

void AddIfCandidate(const Job& job, int index, Worker* worker, Time now,
                    std::vector<Candidate>* candidates) {
  const Step& step = job.steps[static_cast<size_t>(index)];
  if (!worker->usable) return;
  int fits = CountFitsOn(*worker, step, now);
  if (fits <= 0 || !IsEligible(job, step, *worker)) return;
  if (step.spec->max_per_worker > 0) {
    fits = std::min(
        fits, step.spec->max_per_worker - CountRunsOfStep(*worker, job, index));
  }
  if (fits > 0) candidates->push_back({worker, fits, ScoreOf(step, *worker)});
}

std::vector<Candidate> CandidatesFor(State* state, const Job& job, int index,
                                     Time now) {
  const Step& step = job.steps[static_cast<size_t>(index)];
  std::vector<Candidate> candidates;
  if (!job.queue_config.advice) {
    for (Worker* const worker : state->usable) {
      AddIfCandidate(job, index, worker, now, &candidates);
    }
    return candidates;
  }
  for (const WorkerSlot slot : step.permitted_workers) {
    if (slot >= state->max_free.size() ||
        CountFits(state->max_free[slot], step.charge) <= 0) {
      continue;
    }
    Worker* const worker = state->WorkerAt(slot);
    const auto permit = step.permits.find(slot);
    if (worker != nullptr && permit != step.permits.end() &&
        IsValid(permit->second, *worker, now)) {
      AddIfCandidate(job, index, worker, now, &candidates);
    }
  }
  return candidates;
}

void ReserveRunNumbers(State* state, Job* job, Task* task) {
  if (task->reserved_run == 0) {
    // The next term's floor is above this term's first block.
    task->reserved_run = state->run_floor + kRunNumberBlock;
  }
  if (task->progress.last_run + kRunNumbersLeft <= task->reserved_run) return;
  task->reserved_run = task->progress.last_run + kRunNumberBlock;
  MarkProgressChanged(state, job);
}

void StartTask(State* state, Job* job, int step_index, int task_index,
               Worker* worker, int64_t run_number,
               const std::string& checkpoint, Time now) {
  Step& step = job->steps[static_cast<size_t>(step_index)];
  const TaskId task_id{job->accepted.id, 0, step_index, task_index};
  StartOrder order{
      .task = task_id,
      .run = run_number,
      .specification = job->accepted.spec.specification,
      .fence = state->fence,
      .lease_until =
          WorkerTime{static_cast<int64_t>(EstimateClock(*worker, now)) +
                     state->settings.max_lease.count()},
      .checkpoint = checkpoint};
  const auto permit = step.permits.find(worker->slot);
  if (permit != step.permits.end()) order.ticket = permit->second.ticket;
  worker->lease_extended_at = now;
  if (worker->unanswered_starts++ == 0) worker->no_start_answer_since = now;
  ChargeReservations(worker, step, now);
  Task& task = step.tasks[static_cast<size_t>(task_index)];
  task.progress.last_run = std::max(task.progress.last_run, run_number);
  if (step.spec->long_running) {
    task.backoff.OnStarted(now);
    ReserveRunNumbers(state, job, &task);
  }
  AddRun(state, worker,
         {.task = task_id,
          .number = run_number,
          .state = RunState::kStarting,
          .job = job,
          .charge = step.charge,
          .ordered_at = now,
          .checkpoint = checkpoint,
          .pace = kFullPace});
  state->log->Line("start", {{"job", job->accepted.id.text()},
                             {"step", step_index},
                             {"task", task_index},
                             {"run", run_number},
                             {"worker", worker->entry.id.text()},
                             {"waited_ms", (now - step.ready_since).count()}});
  state->actions.emplace_back(StartAction{worker->entry, std::move(order)});
}

int64_t NextRunNumber(const State& state, int64_t last_run) {
  return std::max(last_run, state.run_floor) + 1;
}

Candidate* BestCandidate(std::vector<Candidate>* candidates) {
  Candidate* best = nullptr;
  for (Candidate& each : *candidates) {
    if (each.fits <= 0) continue;
    if (best == nullptr || each.score < best->score) best = &each;
  }
  return best;
}

void PlaceTasks(State* state, Job* job, int index, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  int allowed = CountWithinTeamLimit(*state, *job, step);
  if (allowed <= 0) return;
  std::vector<Candidate> candidates = CandidatesFor(state, *job, index, now);
  for (size_t i = 0; i < step.tasks.size() && allowed > 0; ++i) {
    Task& task = step.tasks[i];
    if (task.progress.done || task.active_runs > 0) continue;
    if (!task.backoff.MayStart(now)) continue;
    Candidate* const best = BestCandidate(&candidates);
    if (best == nullptr) return;
    StartTask(state, job, index, static_cast<int>(i), best->worker,
              NextRunNumber(*state, task.progress.last_run),
              task.progress.checkpoint, now);
    --best->fits;
    best->score = ScoreOf(step, *best->worker);
    --allowed;
  }
}

// Logs why a gang still waits, so that its wait can be explained later.
void LogWaitingGang(State* state, Job* job, int index, const char* why,
                    int64_t fits, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  if (now - step.ready_since < kGangWaitLogDelay ||
      now < step.next_wait_log_at) {
    return;
  }
  step.next_wait_log_at = now + kGangWaitLogInterval;
  const auto allowed =
      std::count_if(step.permits.begin(), step.permits.end(),
                    [](const auto& permit) { return permit.second.allowed; });
  state->log->Line(
      "gang_waits",
      {{"job", job->accepted.id.text()},
       {"step", index},
       {"why", why},
       {"members", static_cast<int64_t>(step.tasks.size())},
       {"fits", fits},
       {"allowed_workers", static_cast<int64_t>(allowed)},
       {"asked_workers", static_cast<int64_t>(step.permits.size())},
       {"reserved_workers",
        step.reservation
            ? static_cast<int64_t>(step.reservation->workers.size())
            : int64_t{0}},
       {"waited_ms", (now - step.ready_since).count()}});
}

void PlaceGang(State* state, Job* job, int index, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  const int members = static_cast<int>(step.tasks.size());
  const int within_limit = CountWithinTeamLimit(*state, *job, step);
  if (within_limit < members) {
    LogWaitingGang(state, job, index, "team limit", within_limit, now);
    return;
  }
  std::vector<Candidate> candidates = CandidatesFor(state, *job, index, now);
  // Tasks that request nothing fit in any number on each worker.
  int64_t fits = 0;
  for (const Candidate& each : candidates) fits += each.fits;
  if (fits < members) {
    LogWaitingGang(state, job, index, "capacity with valid permits", fits, now);
    return;
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  int64_t last_run = 0;
  for (const Task& task : step.tasks) {
    last_run = std::max(last_run, task.progress.last_run);
  }
  DropReservations(state, &step);
  step.gang_run = NextRunNumber(*state, last_run);
  step.gang_broken = false;
  int member = 0;
  for (const Candidate& each : candidates) {
    for (int i = 0; i < each.fits && member < members; ++i, ++member) {
      StartTask(state, job, index, member, each.worker, step.gang_run,
                step.gang_checkpoint, now);
    }
  }
}

PlacementRank RankOf(const Job& job, size_t index, Time now) {
  const Step& step = job.steps[index];
  // A long-running task has value whenever it starts, and loses some with each
  // second that it isn't at work.
  if (step.spec->long_running) {
    return {.priority = job.queue_config.priority,
            .slack = Milliseconds(0),
            .since = job.known_since};
  }
  const Milliseconds age = now - job.known_since;
  const Milliseconds left = step.critical_path;
  return {.timeliness = ExpectedTimeliness(age, left, job.objective),
          .above_rate = job.above_rate,
          .priority = job.queue_config.priority,
          .slack = job.objective - age - left,
          .since = job.known_since};
}

}  // namespace

int CountTasksToStart(const Step& step) {
  if (step.spec->gang) return static_cast<int>(step.tasks.size());
  return static_cast<int>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& t) { return !t.progress.done && t.active_runs == 0; }));
}

int CountFitsOn(const Worker& worker, const Step& step, Time now) {
  return CountFits(FreeCapacityFor(worker, step, now), step.charge);
}

int CountFitsOnEmpty(const Worker& worker, const Step& step) {
  return CountFits(worker.entry.capacity, step.charge);
}

bool IsEligible(const Job& job, const Step& step, const Worker& worker) {
  if (worker.entry.service != job.queue_config.service) return false;
  const std::string& label = step.spec->required_label;
  if (label.empty()) return true;
  return std::find(worker.entry.labels.begin(), worker.entry.labels.end(),
                   label) != worker.entry.labels.end();
}

int CountWithinTeamLimit(const State& state, const Job& job, const Step& step) {
  if (!state.catalog) return 0;
  const Team* const team = state.catalog->FindTeam(job.accepted.team);
  if (team == nullptr || team->limit.IsZero()) {
    return std::numeric_limits<int>::max();
  }
  Resources used;
  const auto found = state.team_usage.find(job.accepted.team);
  if (found != state.team_usage.end()) used = found->second;
  used += state.uncharged_capacity;
  const Resources free = team->limit - used;
  const Resources& demand = step.spec->demand;
  const auto part = [](int64_t limit, int64_t left, int64_t each) {
    return limit == 0 ? std::numeric_limits<int64_t>::max()
                      : CountInDimension(left, each);
  };
  const int64_t fits = std::min(
      {part(team->limit.cpu_milli, free.cpu_milli, demand.cpu_milli),
       part(team->limit.memory_mib, free.memory_mib, demand.memory_mib),
       part(team->limit.accelerators, free.accelerators, demand.accelerators)});
  return static_cast<int>(
      std::min<int64_t>(fits, std::numeric_limits<int>::max()));
}

std::vector<WaitingStep> WaitingStepsInOrder(const State& state, Time now) {
  struct Entry {
    WaitingStep step;
    PlacementRank rank;
  };
  std::vector<Entry> entries;
  for (Job* const job : state.waiting) {
    if (job->may_have_unknown_runs && !state.all_runs_known) continue;
    if (job->may_be_started_by_successor && !state.leadership_is_certain) {
      continue;
    }
    for (size_t i = 0; i < job->steps.size(); ++i) {
      if (!HasWaitingTasks(job->steps[i])) continue;
      entries.push_back({{job, static_cast<int>(i)}, RankOf(*job, i, now)});
    }
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return Precedes(a.rank, b.rank);
  });
  std::vector<WaitingStep> steps;
  steps.reserve(entries.size());
  for (const Entry& entry : entries) steps.push_back(entry.step);
  return steps;
}

void PlaceStep(State* state, const WaitingStep& waiting, Time now) {
  Step& step = waiting.job->steps[static_cast<size_t>(waiting.index)];
  if (!HasWaitingTasks(step)) return;
  if (step.spec->gang) {
    PlaceGang(state, waiting.job, waiting.index, now);
  } else {
    PlaceTasks(state, waiting.job, waiting.index, now);
  }
  if (!HasWaitingTasks(step)) UpdateReadiness(state, waiting.job, now);
}

}  // namespace quetzal::cell
