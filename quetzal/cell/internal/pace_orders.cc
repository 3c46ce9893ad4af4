#include "quetzal/cell/internal/pace_orders.h"

#include <utility>
#include <vector>

#include "quetzal/cell/internal/orders.h"
#include "quetzal/pacing/pacing.h"

namespace quetzal::cell {
namespace {

// A delayed order may be carried out after a newer one, so paces that were
// ordered are repeated.
constexpr Milliseconds kRepeatInterval{3'000};
constexpr int kAtWorkPercent = 100;

std::vector<ServingTask> ServingTasksOn(const Worker& worker) {
  std::vector<ServingTask> serving;
  for (const auto& [task_id, run] : worker.runs) {
    if (run.job == nullptr || run.state == RunState::kStopping) continue;
    const StepSpec& spec =
        *run.job->steps[static_cast<size_t>(task_id.step)].spec;
    if (!IsServing(spec)) continue;
    // A task that isn't at work yet reports no response times.
    const Milliseconds tail =
        run.percent >= kAtWorkPercent ? run.response_tail : Milliseconds(0);
    serving.push_back({.tail = tail, .target = spec.latency_target});
  }
  return serving;
}

void SendPaceOrdersTo(State* state, Worker* worker, Time now) {
  const std::vector<ServingTask> serving = ServingTasksOn(*worker);
  for (auto& [task_id, run] : worker->runs) {
    if (!IsBestEffort(run) || run.state != RunState::kRunning ||
        run.pace_in_flight) {
      continue;
    }
    const int pace = NextPace(run.pace, serving);
    const bool repeats =
        run.pace_ordered_at && now - *run.pace_ordered_at >= kRepeatInterval;
    if (pace == run.pace && !repeats) continue;
    if (pace != run.pace) {
      state->log->Line("pace", {{"worker", worker->entry.id.text()},
                                {"job", task_id.job.text()},
                                {"step", task_id.step},
                                {"task", task_id.index},
                                {"run", run.number},
                                {"percent", pace}});
    }
    run.pace = pace;
    run.pace_ordered_at = now;
    run.pace_in_flight = true;
    state->actions.emplace_back(PaceAction{worker->entry,
                                           {.task = task_id,
                                            .run = run.number,
                                            .percent = pace,
                                            .fence = state->fence}});
  }
}

}  // namespace

void SendPaceOrders(State* state, Time now) {
  for (auto& [id, worker] : state->workers) {
    if (!std::exchange(worker.pace_due, false)) continue;
    if (worker.best_effort_runs > 0) SendPaceOrdersTo(state, &worker, now);
  }
}

void ApplyPaceAnswer(State* state, Worker* worker, const PaceOrder& order,
                     const OrderAnswer& answer) {
  if (answer.outcome == OrderOutcome::kFenced && order.fence == state->fence) {
    Resign(state, "a worker has a higher fence");
    return;
  }
  Run* const run = FindRun(worker, order.task, order.run);
  if (run == nullptr) return;
  run->pace_in_flight = false;
  if (answer.outcome == OrderOutcome::kDone) return;
  run->pace.reset();
  state->log->Line("pace_failed", {{"worker", worker->entry.id.text()},
                                   {"job", order.task.job.text()},
                                   {"step", order.task.step},
                                   {"task", order.task.index},
                                   {"how", NameOf(answer.outcome)}});
}

}  // namespace quetzal::cell
