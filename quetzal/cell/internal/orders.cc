#include "quetzal/cell/internal/orders.h"

#include <algorithm>

#include "quetzal/cell/internal/jobs.h"

namespace quetzal::cell {
namespace {

constexpr Milliseconds kStopRetry{300};
// After a worker refused an order for a transient reason.
constexpr Milliseconds kAvoidAfterRefusal{500};

void SendStop(State* state, Worker* worker, Run* run, Time now) {
  run->stop_in_flight = true;
  run->next_stop_at = now + kStopRetry;
  state->actions.emplace_back(StopAction{worker->entry,
                                         {.task = run->task,
                                          .run = run->number,
                                          .fence = state->fence,
                                          .incarnation = worker->incarnation}});
}

void RequeueTask(State* state, Worker* worker, const StartOrder& order,
                 Time now) {
  const Run* const run = FindRun(worker, order.task, order.run);
  if (run == nullptr) return;
  Job* const job = run->job;
  RemoveRun(state, worker, order.task, order.run);
  if (job == nullptr) return;
  BreakGang(state, job, order.task.step, now);
  UpdateReadiness(state, job, now);
}

}  // namespace

void Resign(State* state, const std::string& reason) {
  state->actions.emplace_back(ResignAction{reason});
}

void BreakGang(State* state, Job* job, int index, Time now) {
  Step& step = job->steps[static_cast<size_t>(index)];
  if (!step.spec->gang || step.gang_done || step.gang_broken) return;
  step.gang_broken = true;
  StopRuns(state, job, index, now);
}

const char* NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kStaleRun:
      return "old_run";
    case OrderOutcome::kLeaseExpired:
      return "too_late";
    case OrderOutcome::kInsufficientCapacity:
      return "no_room";
    case OrderOutcome::kInvalidTicket:
      return "no_ticket";
    case OrderOutcome::kOtherWorker:
      return "other_incarnation";
    case OrderOutcome::kNotExecuted:
      return "not_done";
    case OrderOutcome::kConnectionRefused:
      return "connection_refused";
    case OrderOutcome::kUnknown:
      return "no_answer";
  }
  return "?";
}

void SendDueStops(State* state, Worker* worker, Time now) {
  if (!worker->may_need_stops && worker->orphan_runs == 0) return;
  worker->may_need_stops = false;
  for (auto& [task_id, run] : worker->runs) {
    if (run.orphan_since && run.state == RunState::kRunning &&
        now - *run.orphan_since > kOrphanTimeout) {
      ScheduleStop(worker, &run, now);
    }
    if (run.state != RunState::kStopping) continue;
    worker->may_need_stops = true;
    const bool is_due =
        !run.stop_in_flight && !run.stop_worker_time && now >= run.next_stop_at;
    if (is_due) SendStop(state, worker, &run, now);
  }
}

void ApplyStartAnswer(State* state, Worker* worker, const StartOrder& order,
                      const OrderAnswer& answer, Time now) {
  if (answer.outcome != OrderOutcome::kDone) {
    state->metrics->Count("quetzal_starts_failed_total",
                          {{"reason", NameOf(answer.outcome)}});
    state->log->Line("start_failed", {{"worker", worker->entry.id.text()},
                                      {"job", order.task.job.text()},
                                      {"step", order.task.step},
                                      {"task", order.task.index},
                                      {"run", order.run},
                                      {"how", NameOf(answer.outcome)}});
  }
  worker->unanswered_starts = std::max(0, worker->unanswered_starts - 1);
  worker->no_start_answer_since = now;
  Run* const run = FindRun(worker, order.task, order.run);
  switch (answer.outcome) {
    case OrderOutcome::kDone:
      if (run != nullptr) {
        run->start_worker_time = answer.clock;
        run->start_answered_at = now;
        // The clock of another incarnation began anew.
        run->start_confirmed = answer.clock >= worker->clock;
        if (run->state == RunState::kStarting) {
          run->state = RunState::kRunning;
          run->progressed_at = now;
        }
        if (run->job != nullptr) MarkBegun(state, run->job, now);
      }
      return;
    case OrderOutcome::kFenced:
      if (order.fence == state->fence) {
        Resign(state, "a worker has a higher fence");
        return;
      }
      // This placer has raised its fence since, and the order was overtaken.
      break;
    // The run itself may have ended there, after an earlier copy of the order.
    case OrderOutcome::kStaleRun:
    case OrderOutcome::kUnknown:
      if (run != nullptr && worker->clock_received_at < run->ordered_at) {
        worker->avoided_until = now + kAvoidAfterRefusal;
      }
      // The order may still be carried out, so the run is stopped before its
      // task starts elsewhere, unless a poll has shown meanwhile that it runs.
      if (run != nullptr && run->state == RunState::kStarting) {
        ScheduleStop(worker, run, now);
        Job* const job = run->job;
        if (job != nullptr) BreakGang(state, job, order.task.step, now);
      }
      return;
    case OrderOutcome::kInvalidTicket:
    case OrderOutcome::kLeaseExpired:
      break;
    case OrderOutcome::kInsufficientCapacity:
    case OrderOutcome::kOtherWorker:
    case OrderOutcome::kNotExecuted:
    case OrderOutcome::kConnectionRefused:
      worker->avoided_until = now + kAvoidAfterRefusal;
      break;
  }
  if (run == nullptr) return;
  // The worker has listed the run: another copy of the order was executed.
  if (run->start_worker_time != WorkerTime{0}) return;
  Job* const job = run->job;
  if (job != nullptr) {
    Step& step = job->steps[static_cast<size_t>(order.task.step)];
    if (answer.outcome == OrderOutcome::kInvalidTicket) {
      step.permits.erase(worker->slot);
    }
    Task& task = step.tasks[static_cast<size_t>(order.task.index)];
    task.progress.last_run = std::max(task.progress.last_run, order.run);
  }
  RequeueTask(state, worker, order, now);
}

void ApplyStopAnswer(State* state, Worker* worker, const StopOrder& order,
                     const OrderAnswer& answer, Time now) {
  if (answer.outcome == OrderOutcome::kFenced && order.fence == state->fence) {
    Resign(state, "a worker has a higher fence");
    return;
  }
  Run* const run = FindRun(worker, order.task, order.run);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  run->next_stop_at = now + kStopRetry;
  // The clock of a former incarnation can't be compared with the present one's.
  if (order.incarnation != worker->incarnation) return;
  if (answer.outcome == OrderOutcome::kDone ||
      answer.outcome == OrderOutcome::kStaleRun) {
    run->stop_worker_time = answer.clock;
    // A poll that is sent after the stop shows whether the run still exists.
    worker->next_poll_at = std::min(worker->next_poll_at, now);
  }
}

}  // namespace quetzal::cell
