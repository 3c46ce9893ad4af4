#include "quetzal/cell/internal/reservations.h"

#include <algorithm>
#include <utility>

#include "quetzal/gang_plan/gang_plan.h"

namespace quetzal::cell {
namespace {

// Ends are expected by percentages that come once a second; planning is costly
// with many workers.
constexpr Milliseconds kPlanEvery{50};
// Gangs that gather at a time. More would claim most of the fleet.
constexpr int kMostGathering = 6;
// A run that has done less is expected to last as its caller guessed.
constexpr int kLeastPercent = 5;
constexpr int kAllPercent = 100;
// Nothing that runs still is expected to end sooner.
constexpr Milliseconds kLeastLeft{50};
constexpr Milliseconds kStopTime{500};
// Callers' guesses are off; what must end before a gang starts has to be
// expected to end well before.
constexpr double kGuessMargin = 1.25;
constexpr Milliseconds kStartTime{100};  // until an ordered run works

Milliseconds ExpectedLeft(const Run& run, Time now) {
  if (run.state == RunState::kStopping) return kStopTime;
  const Milliseconds elapsed = now - run.ordered;
  Milliseconds left{0};
  if (run.percent >= kLeastPercent && run.percent < kAllPercent) {
    const Milliseconds done_in = run.progressed - run.ordered;
    left = done_in * (kAllPercent - run.percent) / run.percent -
           (now - run.progressed);
  } else if (run.job != nullptr) {
    const StepSpec& spec =
        *run.job->steps[static_cast<size_t>(run.task.step)].spec;
    left = spec.estimated_run_time - elapsed;
  }
  return std::max(left, kLeastLeft);
}

bool EndsBefore(const Step& step, Time now, Time limit) {
  const auto expected = Milliseconds(static_cast<int64_t>(
      static_cast<double>(step.spec->estimated_run_time.count()) *
      kGuessMargin));
  return now + kStartTime + expected <= limit;
}

GangSite SiteOf(const Worker& worker, const Step& step, Time now) {
  GangSite site{.room = worker.Free(),
                .most_members = step.spec->max_per_worker};
  for (const Claim& claim : worker.claims) site.room -= claim.amount;
  site.frees.reserve(worker.runs.size());
  for (const auto& [name, run] : worker.runs) {
    site.frees.push_back({ExpectedLeft(run, now), run.charge});
  }
  return site;
}

Resources RoomAt(const GangSite& site, Milliseconds in) {
  Resources room = site.room;
  for (const FreedRoom& freed : site.frees) {
    if (freed.in <= in) room += freed.amount;
  }
  return room;
}

void Gather(State* state, Step* step, Time now) {
  std::vector<GangSite> sites;
  std::vector<Worker*> workers;
  for (const auto& [slot, permit] : step->permits) {
    Worker* const worker = state->WorkerAt(slot);
    if (!permit.allowed || worker == nullptr || !worker->usable ||
        permit.incarnation != worker->incarnation) {
      continue;
    }
    workers.push_back(worker);
    sites.push_back(SiteOf(*worker, *step, now));
  }
  const auto plan =
      PlanGang(step->charge, static_cast<int>(step->tasks.size()), sites);
  if (!plan) return;
  Gathering gathering{.starts = now + plan->starts_in};
  for (const GangPlan::Part& part : plan->parts) {
    Worker* const worker = workers[part.site];
    const Resources amount = step->charge * part.members;
    worker->claims.push_back(
        {.step = step,
         .amount = amount,
         .spare = RoomAt(sites[part.site], plan->starts_in) - amount,
         .starts = gathering.starts});
    gathering.workers.push_back(worker->slot);
    state->claimed.push_back(worker->slot);
  }
  step->gathering = std::move(gathering);
}

}  // namespace

void PlanGathering(State* state, const std::vector<WaitingStep>& order,
                   Time now) {
  if (now < state->next_gathering) return;
  state->next_gathering = now + kPlanEvery;
  for (const WorkerSlot slot : std::exchange(state->claimed, {})) {
    Worker* const worker = state->WorkerAt(slot);
    if (worker != nullptr) worker->claims.clear();
  }
  int gathering = 0;
  for (const WaitingStep& waiting : order) {
    Step& step = waiting.job->steps[static_cast<size_t>(waiting.index)];
    if (!step.spec->gang) continue;
    step.gathering.reset();
    if (gathering >= kMostGathering || step.permits.empty()) continue;
    const int members = static_cast<int>(step.tasks.size());
    if (WithinTeamLimit(*state, *waiting.job, step) < members) continue;
    Gather(state, &step, now);
    if (step.gathering) ++gathering;
  }
}

void DropClaims(State* state, Step* step) {
  if (!step->gathering) return;
  for (const WorkerSlot slot : step->gathering->workers) {
    Worker* const worker = state->WorkerAt(slot);
    if (worker == nullptr) continue;
    std::erase_if(worker->claims,
                  [&](const Claim& claim) { return claim.step == step; });
  }
  step->gathering.reset();
}

Resources RoomFor(const Worker& worker, const Step& step, Time now) {
  Resources room = worker.Free();
  for (const Claim& claim : worker.claims) {
    // Later claims were made beside this one.
    if (claim.step == &step) break;
    if (!EndsBefore(step, now, claim.starts)) room = Min(room, claim.spare);
  }
  return room;
}

void ChargeClaims(Worker* worker, const Step& step, Time now) {
  for (Claim& claim : worker->claims) {
    if (claim.step == &step) break;
    if (!EndsBefore(step, now, claim.starts)) claim.spare -= step.charge;
  }
}

}  // namespace quetzal::cell
