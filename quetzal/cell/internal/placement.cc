#include "quetzal/cell/internal/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "quetzal/cell/internal/accounting.h"
#include "quetzal/cell/internal/jobs.h"
#include "quetzal/cell/internal/reservations.h"
#include "quetzal/cell/internal/workers.h"
#include "quetzal/waiting_order/waiting_order.h"

namespace quetzal::cell {
namespace {

// A permit must outlast the order's way to the worker.
constexpr Milliseconds kPermitMargin{150};

int64_t Ratio(int64_t room, int64_t demand) {
  if (demand <= 0) return std::numeric_limits<int>::max();
  return std::max<int64_t>(0, room / demand);
}

int CountFits(const Resources& room, const Resources& charge) {
  const int64_t fits =
      std::min({Ratio(room.cpu_milli, charge.cpu_milli),
                Ratio(room.memory_mib, charge.memory_mib),
                Ratio(room.accelerators, charge.accelerators)});
  return static_cast<int>(
      std::min<int64_t>(fits, std::numeric_limits<int>::max()));
}

int RunsOfStepOn(const Worker& worker, const Job& job, int step) {
  int count = 0;
  for (const auto& [name, run] : worker.runs) {
    if (run.job == &job && name.step == step) ++count;
  }
  return count;
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

// Packs tight, so that room for large tasks stays whole; tasks that only fill
// go where most is left unused.
double ScoreOf(const Step& step, const Worker& worker) {
  const Resources free = worker.Free();
  double score = static_cast<double>(free.cpu_milli);
  if (step.spec->best_effort) {
    score = -static_cast<double>(free.cpu_milli - worker.fill_milli);
  }
  // Its data lies elsewhere: slower by a factor, so only if nothing else fits.
  constexpr double kFarPenalty = 1e6;
  if (!step.spec->preferred_rack.empty() &&
      step.spec->preferred_rack != worker.entry.rack) {
    score += kFarPenalty;
  }
  constexpr double kFailurePenalty = 1e7;
  score += worker.failure_rate * kFailurePenalty;
  return score;
}

void Consider(const Job& job, int index, Worker* worker, Time now,
              std::vector<Candidate>* candidates) {
  const Step& step = job.steps[static_cast<size_t>(index)];
  if (!worker->usable) return;
  int fits = FitsOn(*worker, step, now);
  if (fits <= 0 || !MayServe(job, step, *worker)) return;
  if (step.spec->max_per_worker > 0) {
    fits = std::min(
        fits, step.spec->max_per_worker - RunsOfStepOn(*worker, job, index));
  }
  if (fits > 0) candidates->push_back({worker, fits, ScoreOf(step, *worker)});
}

std::vector<Candidate> CandidatesFor(State* state, const Job& job, int index,
                                     Time now) {
  const Step& step = job.steps[static_cast<size_t>(index)];
  std::vector<Candidate> candidates;
  if (!job.terms.advice) {
    for (Worker* const worker : state->usable) {
      Consider(job, index, worker, now, &candidates);
    }
    return candidates;
  }
  for (const auto& [slot, permit] : step.permits) {
    if (!permit.allowed) continue;
    Worker* const worker = state->WorkerAt(slot);
    if (worker != nullptr && IsValid(permit, *worker, now)) {
      Consider(job, index, worker, now, &candidates);
    }
  }
  return candidates;
}

void Start(State* state, Job* job, int step_index, int task_index,
           Worker* worker, int64_t run_number, const std::string& checkpoint,
           Time now) {
  Step& step = job->steps[static_cast<size_t>(step_index)];
  const TaskId name{job->accepted.id, 0, step_index, task_index};
  StartOrder order{
      .task = name,
      .run = run_number,
      .specification = job->accepted.spec.specification,
      .fence = state->fence,
      .lease_until = WorkerTime{static_cast<int64_t>(ClockOf(*worker, now)) +
                                state->settings.max_lease.count()},
      .checkpoint = checkpoint};
  const auto permit = step.permits.find(worker->slot);
  if (permit != step.permits.end()) order.ticket = permit->second.ticket;
  worker->lease_basis = now;
  ChargeClaims(worker, step, now);
  Task& task = step.tasks[static_cast<size_t>(task_index)];
  task.progress.last_run = std::max(task.progress.last_run, run_number);
  AddRun(state, worker,
         {.task = name,
          .number = run_number,
          .state = RunState::kStarting,
          .job = job,
          .charge = step.charge,
          .ordered = now,
          .checkpoint = checkpoint});
  state->log->Line("start", {{"job", job->accepted.id.text()},
                             {"step", step_index},
                             {"task", task_index},
                             {"run", run_number},
                             {"worker", worker->entry.id.text()},
                             {"waited_ms", (now - step.ready_since).count()}});
  state->actions.emplace_back(StartAction{worker->entry, std::move(order)});
  if (job->state == JobState::kQueued) {
    job->state = JobState::kRunning;
    state->metrics->Observe(
        "quetzal_wait_ms", {{"queue", job->terms.name.text()}},
        static_cast<double>((now - job->known_since).count()));
    Touch(state, job);
  }
}

int64_t NextRun(const State& state, int64_t last_run) {
  return std::max(last_run, state.run_floor) + 1;
}

Candidate* Best(std::vector<Candidate>* candidates) {
  Candidate* best = nullptr;
  for (Candidate& each : *candidates) {
    if (each.fits <= 0) continue;
    if (best == nullptr || each.score < best->score) best = &each;
  }
  return best;
}

void PlaceTasks(State* state, Job* job, int index, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  int allowed = WithinTeamLimit(*state, *job, step);
  if (allowed <= 0) return;
  std::vector<Candidate> candidates = CandidatesFor(state, *job, index, now);
  for (size_t i = 0; i < step.tasks.size() && allowed > 0; ++i) {
    Task& task = step.tasks[i];
    if (task.progress.done || task.active_runs > 0) continue;
    Candidate* const best = Best(&candidates);
    if (best == nullptr) return;
    Start(state, job, index, static_cast<int>(i), best->worker,
          NextRun(*state, task.progress.last_run), task.progress.checkpoint,
          now);
    --best->fits;
    best->score = ScoreOf(step, *best->worker);
    --allowed;
  }
}

void PlaceGang(State* state, Job* job, int index, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  const int members = static_cast<int>(step.tasks.size());
  if (WithinTeamLimit(*state, *job, step) < members) return;
  std::vector<Candidate> candidates = CandidatesFor(state, *job, index, now);
  int room = 0;
  for (const Candidate& each : candidates) room += each.fits;
  if (room < members) return;
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  int64_t last_run = 0;
  for (const Task& task : step.tasks) {
    last_run = std::max(last_run, task.progress.last_run);
  }
  DropClaims(state, &step);
  step.gang_run = NextRun(*state, last_run);
  step.gang_broken = false;
  int member = 0;
  for (const Candidate& each : candidates) {
    for (int i = 0; i < each.fits && member < members; ++i, ++member) {
      Start(state, job, index, member, each.worker, step.gang_run,
            step.gang_checkpoint, now);
    }
  }
}

}  // namespace

int TasksToStart(const Step& step) {
  if (step.spec->gang) return static_cast<int>(step.tasks.size());
  return static_cast<int>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& t) { return !t.progress.done && t.active_runs == 0; }));
}

int FitsOn(const Worker& worker, const Step& step, Time now) {
  return CountFits(RoomFor(worker, step, now), step.charge);
}

int FitsOnEmpty(const Worker& worker, const Step& step) {
  return CountFits(worker.entry.capacity, step.charge);
}

bool MayServe(const Job& job, const Step& step, const Worker& worker) {
  if (worker.entry.service != job.terms.service) return false;
  const std::string& label = step.spec->required_label;
  if (label.empty()) return true;
  return std::find(worker.entry.labels.begin(), worker.entry.labels.end(),
                   label) != worker.entry.labels.end();
}

int WithinTeamLimit(const State& state, const Job& job, const Step& step) {
  if (!state.catalog) return 0;
  const Team* const team = state.catalog->FindTeam(job.accepted.team);
  if (team == nullptr || team->limit.IsZero()) {
    return std::numeric_limits<int>::max();
  }
  Resources used;
  const auto found = state.team_use.find(job.accepted.team);
  if (found != state.team_use.end()) used = found->second;
  if (!state.accounted) {
    // What workers that weren't reached yet may be running for it.
    for (const auto& [id, worker] : state.workers) {
      if (MayRunUnseen(worker)) used += worker.entry.capacity;
    }
  }
  const Resources room = team->limit - used;
  const Resources& demand = step.spec->demand;
  const auto part = [](int64_t limit, int64_t left, int64_t each) {
    return limit == 0 ? std::numeric_limits<int64_t>::max() : Ratio(left, each);
  };
  const int64_t fits = std::min(
      {part(team->limit.cpu_milli, room.cpu_milli, demand.cpu_milli),
       part(team->limit.memory_mib, room.memory_mib, demand.memory_mib),
       part(team->limit.accelerators, room.accelerators, demand.accelerators)});
  return static_cast<int>(
      std::min<int64_t>(fits, std::numeric_limits<int>::max()));
}

std::vector<WaitingStep> InOrder(const State& state, Time now) {
  struct Entry {
    WaitingStep step;
    Standing standing;
  };
  std::vector<Entry> entries;
  for (Job* const job : state.waiting) {
    if (job->may_run_unseen && !state.accounted) continue;
    for (size_t i = 0; i < job->steps.size(); ++i) {
      if (!HasWaitingTasks(job->steps[i])) continue;
      const Milliseconds age = now - job->known_since;
      const Milliseconds left = job->steps[i].chain;
      entries.push_back({{job, static_cast<int>(i)},
                         {.prospect = ProspectOf(age, left, job->objective),
                          .beyond_share = job->beyond_share,
                          .priority = job->terms.priority,
                          .slack = job->objective - age - left,
                          .since = job->known_since}});
    }
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return GoesBefore(a.standing, b.standing);
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
