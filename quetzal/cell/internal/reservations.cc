#include "quetzal/cell/internal/reservations.h"

#include <algorithm>
#include <utility>

#include "quetzal/gang_plan/gang_plan.h"

namespace quetzal::cell {
namespace {

// The percentages that predict ends arrive once a second, and planning is
// expensive with many workers.
constexpr Milliseconds kPlanningInterval{50};
// Gangs with reservations at a time. More would reserve most of the workers.
constexpr int kMaxReservedGangs = 6;
// Below this progress the caller's estimate predicts the end of a run.
constexpr int kMinPercent = 5;
constexpr int kDonePercent = 100;
// Lower bound of the expected remaining time of a run.
constexpr Milliseconds kMinTimeLeft{50};
constexpr Milliseconds kStopDuration{500};
// Callers' estimates are inaccurate, so work that must end before a gang starts
// must be expected to end well before.
constexpr double kEstimateMargin = 1.25;
// From the order of a run to its start.
constexpr Milliseconds kStartDelay{100};

Milliseconds ExpectedTimeLeft(const Run& run, Time now) {
  if (run.state == RunState::kStopping) return kStopDuration;
  const Milliseconds elapsed = now - run.ordered_at;
  Milliseconds left{0};
  if (run.percent >= kMinPercent && run.percent < kDonePercent) {
    const Milliseconds done_in = run.progressed_at - run.ordered_at;
    left = done_in * (kDonePercent - run.percent) / run.percent -
           (now - run.progressed_at);
  } else if (run.job != nullptr) {
    const StepSpec& spec =
        *run.job->steps[static_cast<size_t>(run.task.step)].spec;
    left = spec.estimated_run_time - elapsed;
  }
  return std::max(left, kMinTimeLeft);
}

bool EndsBefore(const Step& step, Time now, Time limit) {
  if (step.spec->long_running) return false;
  const auto expected = Milliseconds(static_cast<int64_t>(
      static_cast<double>(step.spec->estimated_run_time.count()) *
      kEstimateMargin));
  return now + kStartDelay + expected <= limit;
}

GangCandidate CandidateOf(const Worker& worker, const Step& step, Time now) {
  GangCandidate candidate{.free = worker.Free(),
                          .max_members = step.spec->max_per_worker};
  for (const Reservation& r : worker.reservations) candidate.free -= r.amount;
  candidate.frees.reserve(worker.runs.size());
  for (const auto& [task_id, run] : worker.runs) {
    if (run.job != nullptr && run.state != RunState::kStopping &&
        run.job->steps[static_cast<size_t>(task_id.step)].spec->long_running) {
      continue;
    }
    candidate.frees.push_back({ExpectedTimeLeft(run, now), run.charge});
  }
  return candidate;
}

Resources FreeCapacityAt(const GangCandidate& candidate, Milliseconds in) {
  Resources free = candidate.free;
  for (const FreedAmount& freed : candidate.frees) {
    if (freed.in <= in) free += freed.amount;
  }
  return free;
}

void ReserveForGang(State* state, Step* step, Time now) {
  std::vector<GangCandidate> candidates;
  std::vector<Worker*> workers;
  for (const auto& [slot, permit] : step->permits) {
    Worker* const worker = state->WorkerAt(slot);
    if (!permit.allowed || worker == nullptr || !worker->usable ||
        permit.incarnation != worker->incarnation) {
      continue;
    }
    workers.push_back(worker);
    candidates.push_back(CandidateOf(*worker, *step, now));
  }
  const auto plan =
      PlanGang(step->charge, static_cast<int>(step->tasks.size()), candidates);
  if (!plan) return;
  GangReservation gang_reservation{.starts_at = now + plan->starts_in};
  for (const GangPlan::Assignment& assignment : plan->assignments) {
    Worker* const worker = workers[assignment.candidate];
    const Resources amount = step->charge * assignment.members;
    worker->reservations.push_back(
        {.step = step,
         .amount = amount,
         .spare =
             FreeCapacityAt(candidates[assignment.candidate], plan->starts_in) -
             amount,
         .starts_at = gang_reservation.starts_at});
    gang_reservation.workers.push_back(worker->slot);
    state->reserved_workers.push_back(worker->slot);
  }
  step->reservation = std::move(gang_reservation);
}

}  // namespace

void PlanReservations(State* state, const std::vector<WaitingStep>& order,
                      Time now) {
  if (now < state->next_planning_at) return;
  state->next_planning_at = now + kPlanningInterval;
  for (const WorkerSlot slot : std::exchange(state->reserved_workers, {})) {
    Worker* const worker = state->WorkerAt(slot);
    if (worker != nullptr) worker->reservations.clear();
  }
  int reserved_gangs = 0;
  for (const WaitingStep& waiting : order) {
    Step& step = waiting.job->steps[static_cast<size_t>(waiting.index)];
    if (!step.spec->gang) continue;
    step.reservation.reset();
    if (reserved_gangs >= kMaxReservedGangs || step.permits.empty()) continue;
    const int members = static_cast<int>(step.tasks.size());
    if (CountWithinTeamLimit(*state, *waiting.job, step) < members) continue;
    ReserveForGang(state, &step, now);
    if (step.reservation) ++reserved_gangs;
  }
}

void DropReservations(State* state, Step* step) {
  if (!step->reservation) return;
  for (const WorkerSlot slot : step->reservation->workers) {
    Worker* const worker = state->WorkerAt(slot);
    if (worker == nullptr) continue;
    std::erase_if(worker->reservations,
                  [&](const Reservation& r) { return r.step == step; });
  }
  step->reservation.reset();
}

Resources FreeCapacityFor(const Worker& worker, const Step& step, Time now) {
  Resources free = worker.Free();
  for (const Reservation& r : worker.reservations) {
    // Later reservations were planned around this one.
    if (r.step == &step) break;
    if (!EndsBefore(step, now, r.starts_at)) free = Min(free, r.spare);
  }
  return free;
}

void ChargeReservations(Worker* worker, const Step& step, Time now) {
  for (Reservation& r : worker->reservations) {
    if (r.step == &step) break;
    if (!EndsBefore(step, now, r.starts_at)) r.spare -= step.charge;
  }
}

}  // namespace quetzal::cell
