#include "quetzal/cell/internal/workers.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "quetzal/cell/internal/accounting.h"
#include "quetzal/cell/internal/jobs.h"
#include "quetzal/cell/internal/orders.h"

namespace quetzal::cell {
namespace {

// Interval of polls while reported ends aren't stored yet: a worker would
// answer a waiting poll at once with the same ends. Short enough to renew
// leases.
constexpr Milliseconds kPollWhileStoring{400};
// Delay before a worker that didn't answer is tried again.
constexpr Milliseconds kPollRetryDelay{200};
// While best-effort runs may disturb serving ones, whose response times are
// then needed more often.
constexpr Milliseconds kPollWaitWhilePacing{400};
// A worker whose entry is gone may be back within about two seconds of the
// store's return. Its leases are extended for this long, and no longer; then
// it counts as gone.
constexpr Milliseconds kUnlistedGrace{2'500};
// A run without progress for this long has stalled. The slowest healthy run,
// 10 s of work at an eighth of a worker's speed, advances a percent in 0.8 s.
constexpr Milliseconds kStallTimeout{1'400};
constexpr int kDonePercent = 100;
constexpr Milliseconds kAvoidAfterStall{3'000};
// A worker with a higher failure rate gets no new work for a while.
constexpr double kSuspectFailureRate = 0.5;
// Weight of the newest end in a worker's failure rate. With it, two failures
// in a row, rare on a healthy worker, exceed the rate above.
constexpr double kFailureSmoothing = 0.35;
constexpr Milliseconds kAvoidAfterFailures{4'000};
// A worker that was silent for longer gets no work in any case, so its entry in
// the roster is closed, and a new placer waits for its listed runs only.
constexpr Milliseconds kSilenceBeforeClosing = kConfirmationLifetime;
// A poll that waits at the worker lasts longer than that if its answer is lost,
// so one alone doesn't close an entry, which takes two writes of the roster.
constexpr int kUnansweredPollsBeforeClosing = 2;
// A worker that answers neither starts nor polls for longer may be gone, and
// gets no more work meanwhile.
constexpr Milliseconds kSlowStartAnswer{350};
// Of each worker. Each of them costs a stop order to its next incarnation.
constexpr size_t kMaxStoppedStarts = 64;

// Removes a run and applies its end to the job.
void EndRun(State* state, Worker* worker, const TaskId& task_id, int64_t number,
            TaskOutcome how, const std::string& checkpoint, Time now) {
  const Run* const run = FindRun(worker, task_id, number);
  Job* job = state->FindJob(task_id.job);
  std::string saved = checkpoint;
  if (run != nullptr) {
    if (saved.empty()) saved = run->checkpoint;
    RemoveRun(state, worker, task_id, number);
  }
  if (job != nullptr) ApplyEnd(state, job, task_id, number, how, saved, now);
}

std::vector<std::pair<TaskId, int64_t>> RunNumbersByTask(const Worker& worker) {
  std::vector<std::pair<TaskId, int64_t>> run_numbers;
  for (const auto& [task_id, run] : worker.runs) {
    run_numbers.emplace_back(task_id, run.number);
  }
  return run_numbers;
}

// When the lease of the run has certainly expired, on the placer's clock. An
// order without an answer may be executed late, by the worker's next
// incarnation: its clock began anew, so the lease then lasts in full.
Time LeaseEnd(const State& state, const Worker& worker, const Run& run,
              Time now) {
  Time extended_at = worker.lease_extended_at;
  if (!IsGone(worker, now)) {
    const Milliseconds delay = state.settings.max_order_delay;
    if (!IsConfirmed(run)) {
      extended_at += delay;
    } else if (worker.former_lease_extended_at) {
      extended_at =
          std::max(extended_at, *worker.former_lease_extended_at + delay);
    }
  }
  return extended_at + MaxLeaseLifetime(state.settings);
}

// How long a lease of the worker's runs may still last.
Milliseconds LeaseLeft(const State& state, const Worker& worker, Time now) {
  Milliseconds left{0};
  for (const auto& [task_id, run] : worker.runs) {
    left = std::max(left, LeaseEnd(state, worker, run, now) - now);
  }
  return left;
}

void LogLostRuns(State* state, const Worker& worker, const char* why,
                 Time now) {
  if (worker.runs.empty()) return;
  // With time left on its leases, the worker may still execute the runs.
  state->log->ImportantLine(
      "worker_runs_lost",
      {{"worker", worker.entry.id.text()},
       {"why", why},
       {"runs", static_cast<int64_t>(worker.runs.size())},
       {"lease_left_ms", LeaseLeft(*state, worker, now).count()}});
}

void DropUnacknowledged(State* state, Worker* worker) {
  for (const UnacknowledgedEnd& end : worker->unacked) {
    if (end.orphan_end) --state->orphans;
  }
  worker->unacked.clear();
}

void ResetIncarnation(State* state, Worker* worker) {
  worker->last_acknowledged = 0;
  worker->confirmed_acknowledgement = 0;
  worker->last_applied_end = 0;
  DropUnacknowledged(state, worker);
  worker->clock = WorkerTime{0};
  worker->reached = false;
}

void RememberStoppedStart(const State& state, Worker* worker, const Run& run,
                          Time now) {
  std::erase_if(worker->stopped_starts, [&](const StoppedStart& start) {
    return now - start.ordered_at > state.settings.max_order_delay;
  });
  if (now - run.ordered_at > state.settings.max_order_delay) return;
  if (worker->stopped_starts.size() >= kMaxStoppedStarts) {
    worker->stopped_starts.pop_front();
  }
  worker->stopped_starts.push_back({run.task, run.number, run.ordered_at});
}

// True while an order whose effect this placer has to undo may be executed.
bool MayExecuteOldOrders(const State& state, const Worker& worker, Time now) {
  const Milliseconds delay = state.settings.max_order_delay;
  return (!worker.stopped_starts.empty() &&
          now - worker.stopped_starts.back().ordered_at <= delay) ||
         (worker.former_lease_extended_at &&
          now - *worker.former_lease_extended_at <= delay);
}

// Has the starts that were stopped at the worker's former incarnation stopped
// at the present one too.
void StopStartsAgain(State* state, Worker* worker, Time now) {
  for (const StoppedStart& start : std::exchange(worker->stopped_starts, {})) {
    if (now - start.ordered_at > state->settings.max_order_delay ||
        FindRun(worker, start.task, start.run) != nullptr) {
      continue;
    }
    Run run{.task = start.task,
            .number = start.run,
            .job = state->FindJob(start.task.job),
            .ordered_at = start.ordered_at};
    if (run.job != nullptr) {
      run.charge = run.job->steps[static_cast<size_t>(start.task.step)].charge;
    }
    ScheduleStop(worker, &run, now);
    state->log->Line("start_stopped_again",
                     {{"worker", worker->entry.id.text()},
                      {"job", start.task.job.text()},
                      {"step", start.task.step},
                      {"task", start.task.index},
                      {"run", start.run}});
    AddRun(state, worker, std::move(run));
  }
}

// Ends the runs that the former incarnation of a restarted worker has listed.
// Other starts may yet be executed, or were, by the new incarnation (answers to
// orders don't name it), so their runs are stopped there first.
void EndFormerIncarnation(State* state, Worker* worker, Time now) {
  LogLostRuns(state, *worker, "started again", now);
  for (const auto& [task_id, number] : RunNumbersByTask(*worker)) {
    Run& run = *FindRun(worker, task_id, number);
    if (run.last_run_list > 0) {
      EndRun(state, worker, task_id, number, TaskOutcome::kLeaseExpired, "",
             now);
      continue;
    }
    run.start_worker_time = WorkerTime{0};
    run.start_confirmed = false;
    run.stop_in_flight = false;
    run.stop_worker_time.reset();
    ScheduleStop(worker, &run, now);
  }
  StopStartsAgain(state, worker, now);
  worker->former_lease_extended_at = worker->lease_extended_at;
  ResetIncarnation(state, worker);
}

// Long-running tasks that served may end at any time, also on healthy workers.
bool HasServed(Worker* worker, const EndedTask& ended) {
  const Run* const run = FindRun(worker, ended.task, ended.run);
  return run != nullptr && run->job != nullptr &&
         run->percent >= kDonePercent &&
         run->job->steps[static_cast<size_t>(ended.task.step)]
             .spec->long_running;
}

void UpdateFailureRate(State* state, Worker* worker, TaskOutcome how,
                       Time now) {
  if (how != TaskOutcome::kDone && how != TaskOutcome::kFailed) return;
  const double failed = how == TaskOutcome::kFailed ? 1.0 : 0.0;
  worker->failure_rate += kFailureSmoothing * (failed - worker->failure_rate);
  if (how == TaskOutcome::kFailed &&
      worker->failure_rate > kSuspectFailureRate) {
    worker->avoided_until = now + kAvoidAfterFailures;
    state->log->Line(
        "worker_avoided",
        {{"worker", worker->entry.id.text()},
         {"why", "failures"},
         {"percent", static_cast<int64_t>(worker->failure_rate * 100)}});
  }
}

void ApplyEndedTask(State* state, Worker* worker, const EndedTask& ended,
                    Time now) {
  if (ended.number <= worker->last_applied_end) return;
  worker->last_applied_end = ended.number;
  if (!HasServed(worker, ended)) {
    UpdateFailureRate(state, worker, ended.how, now);
  }
  EndRun(state, worker, ended.task, ended.run, ended.how, ended.checkpoint,
         now);
  UnacknowledgedEnd report{.number = ended.number,
                           .job = ended.task.job,
                           .run = {ended.task, ended.run},
                           .reported_at = now};
  const Job* const job = state->FindJob(ended.task.job);
  if (job != nullptr) {
    report.version = job->version;
  } else {
    report.orphan_end = ended;
    ++state->orphans;
  }
  worker->unacked.push_back(std::move(report));
}

void LogAdoption(State* state, const Worker& worker, const RunningTask& row,
                 std::string_view kept) {
  const std::initializer_list<EventField> fields = {
      {"worker", worker.entry.id.text()},
      {"job", row.task.job.text()},
      {"step", row.task.step},
      {"task", row.task.index},
      {"run", row.run},
      {"kept", kept}};
  // A run that isn't kept may have run beside another of its task.
  if (kept == "no") {
    state->log->ImportantLine("run_adopted", fields);
  } else {
    state->log->Line("run_adopted", fields);
  }
}

// Forgets runs of the task that only the former roster tells of, if they
// preceded the reported one: a placer starts a task again, and a gang as a
// whole, only once the runs before have ended.
void ForgetPrecedingFormerRuns(State* state, const Step& step,
                               const RunningTask& row) {
  if (!state->has_former_runs) return;
  for (auto& [id, worker] : state->workers) {
    if (!IsUnaccounted(worker)) continue;
    for (const auto& [task_id, number] : RunNumbersByTask(worker)) {
      if (task_id.job != row.task.job || task_id.step != row.task.step) {
        continue;
      }
      if (!step.spec->gang && task_id != row.task) continue;
      if (number < row.run) RemoveRun(state, &worker, task_id, number);
    }
  }
}

// False if the entry may be another incarnation's, which may have had another
// service, other labels and another capacity, or another writer's. Where
// workers name no incarnations, neither do their entries.
bool IsEntryCurrent(const Worker& worker) {
  return worker.entry.incarnation == worker.incarnation;
}

// Logs an adopted run that is beyond what its step allows on the worker, or
// beyond the worker's capacity.
void LogIfBeyondLimits(State* state, const Worker& worker, const Job& job,
                       const RunningTask& row) {
  const int allowed =
      job.steps[static_cast<size_t>(row.task.step)].spec->max_per_worker;
  const int runs = CountRunsOfStep(worker, job, row.task.step);
  const bool is_beyond_step = allowed > 0 && runs > allowed;
  const bool is_beyond_capacity =
      IsEntryCurrent(worker) && !worker.used.FitsIn(worker.entry.capacity);
  if (!is_beyond_step && !is_beyond_capacity) return;
  const char* const limit = is_beyond_step ? "step" : "capacity";
  state->metrics->Count("quetzal_runs_beyond_limits_total", {{"limit", limit}});
  state->log->ImportantLine("run_beyond_limits",
                            {{"worker", worker.entry.id.text()},
                             {"limit", limit},
                             {"job", row.task.job.text()},
                             {"step", row.task.step},
                             {"task", row.task.index},
                             {"run", row.run},
                             {"runs_of_step", runs},
                             {"allowed_runs", allowed},
                             {"used_cpu_milli", worker.used.cpu_milli},
                             {"cpu_milli", worker.entry.capacity.cpu_milli},
                             {"used_memory_mib", worker.used.memory_mib},
                             {"memory_mib", worker.entry.capacity.memory_mib}});
}

// Takes over a run that this term didn't order. It was started in a former
// term, or belongs to no job.
void AdoptRun(State* state, Worker* worker, const RunningTask& row, Time now) {
  Run run{.task = row.task,
          .number = row.run,
          .state = RunState::kRunning,
          .ordered_at = now,
          .start_worker_time = worker->clock,
          .last_run_list = worker->run_lists,
          .checkpoint = row.checkpoint};
  Job* const job = state->FindJob(row.task.job);
  const auto step_index = static_cast<size_t>(row.task.step);
  const auto task_index = static_cast<size_t>(row.task.index);
  const bool known = job != nullptr && row.task.step >= 0 &&
                     row.task.index >= 0 && step_index < job->steps.size() &&
                     task_index < job->steps[step_index].tasks.size();
  bool wanted = known && !IsFinal(job->state);
  if (known) {
    Step& step = job->steps[step_index];
    Task& task = step.tasks[task_index];
    run.job = job;
    run.charge = step.charge;
    if (task.active_runs > 0 || step.gang_members > 0) {
      ForgetPrecedingFormerRuns(state, step, row);
    }
    wanted = wanted && !task.progress.done && task.active_runs == 0;
    task.progress.last_run = std::max(task.progress.last_run, row.run);
    if (wanted && step.spec->gang) {
      if (step.gang_members == 0 && step.gang_run != row.run) {
        step.gang_run = row.run;
        step.gang_broken = false;
      }
      // Without the member that broke it, the others can't go on.
      wanted = step.gang_run == row.run && !step.gang_broken;
    }
  }
  if (job == nullptr) {
    // A former placer may have started it for a job that this term hasn't
    // received from the store yet.
    run.orphan_since = now;
  } else if (!wanted) {
    ScheduleStop(worker, &run, now);
  }
  LogAdoption(state, *worker, row,
              wanted                ? "yes"
              : job == nullptr      ? "job unknown"
              : IsFinal(job->state) ? "job ended"
                                    : "no");
  AddRun(state, worker, std::move(run));
  if (known) LogIfBeyondLimits(state, *worker, *job, row);
  if (wanted) UpdateReadiness(state, job, now);
}

// Called for a run that its worker has listed.
void MarkJobBegun(State* state, Worker* worker, const RunningTask& row,
                  Time now) {
  const Run* const run = FindRun(worker, row.task, row.run);
  if (run != nullptr && run->job != nullptr) MarkBegun(state, run->job, now);
}

// Ends runs that are missing from a run list although the worker made the list
// after it confirmed their start or their stop.
void EndMissingRuns(State* state, Worker* worker, Time sent,
                    const PollAnswer& answer, Time now) {
  // A run that is in neither list may have an end that isn't listed yet.
  if (!answer.ends_are_complete) return;
  for (const auto& [task_id, number] : RunNumbersByTask(*worker)) {
    const Run& run = *FindRun(worker, task_id, number);
    if (run.last_run_list == worker->run_lists) continue;
    // Answers to orders don't name the incarnation whose clock they show.
    const bool was_there = run.state == RunState::kRunning &&
                           run.start_worker_time < answer.clock &&
                           run.start_answered_at <= sent;
    const bool was_stopped =
        run.stop_worker_time && *run.stop_worker_time < answer.clock;
    if (!was_there && !was_stopped) continue;
    if (!IsConfirmed(run)) RememberStoppedStart(*state, worker, run, now);
    EndRun(state, worker, task_id, number,
           was_stopped ? TaskOutcome::kStopped : TaskOutcome::kLeaseExpired, "",
           now);
  }
}

// A faulty worker may answer although its runs stall. Stalled runs are stopped,
// so that their tasks start elsewhere, and the worker gets no new work for a
// while.
void StopIfStalled(State* state, Worker* worker, const RunningTask& row,
                   Run* run, Time now) {
  // The percentage is an estimate: a run that takes longer stays at 100.
  const bool moves = row.percent != run->percent || row.percent >= kDonePercent;
  if (moves || run->state != RunState::kRunning) {
    run->percent = row.percent;
    run->progressed_at = now;
    return;
  }
  const bool may_stall =
      run->job == nullptr || IsFinal(run->job->state) ||
      run->job->steps[static_cast<size_t>(row.task.step)].spec->best_effort;
  if (may_stall || now - run->progressed_at < kStallTimeout) return;
  worker->avoided_until = now + kAvoidAfterStall;
  state->metrics->Count("quetzal_runs_stopped_total", {{"why", "standstill"}});
  state->log->Line("run_stands_still",
                   {{"worker", worker->entry.id.text()},
                    {"job", row.task.job.text()},
                    {"step", row.task.step},
                    {"task", row.task.index},
                    {"run", row.run},
                    {"percent", row.percent},
                    {"for_ms", (now - run->progressed_at).count()}});
  ScheduleStop(worker, run, now);
  BreakGang(state, run->job, row.task.step, now);
}

void ApplyRunList(State* state, Worker* worker, Time sent,
                  const PollAnswer& answer, Time now) {
  ++worker->run_lists;
  worker->pace_due = true;
  for (const RunningTask& row : answer.running) {
    Run* const run = FindRun(worker, row.task, row.run);
    if (run == nullptr) continue;
    run->last_run_list = worker->run_lists;
    run->response_tail = row.response_tail;
    // Of a run that the former roster lists, no progress was seen before.
    if (!worker->reached) run->progressed_at = now;
    StopIfStalled(state, worker, row, run, now);
    if (!row.checkpoint.empty()) run->checkpoint = row.checkpoint;
    if (run->state == RunState::kStarting) {
      run->state = RunState::kRunning;
      run->start_worker_time = answer.clock;
    }
    if (run->job != nullptr) MarkBegun(state, run->job, now);
  }
  // A run that ended must not keep another run of its task from being adopted.
  EndMissingRuns(state, worker, sent, answer, now);
  for (const RunningTask& row : answer.running) {
    if (FindRun(worker, row.task, row.run) == nullptr) {
      AdoptRun(state, worker, row, now);
      MarkJobBegun(state, worker, row, now);
    }
  }
}

void AcknowledgeStored(State* state, Worker* worker, Time now) {
  if (worker->unacked.empty()) return;
  while (!worker->unacked.empty()) {
    const UnacknowledgedEnd& end = worker->unacked.front();
    const Job* const job = state->FindJob(end.job);
    if (job != nullptr && job->stored_version < end.version) break;
    if (end.orphan_end && now - end.reported_at < kOrphanTimeout) break;
    if (end.orphan_end) --state->orphans;
    worker->last_acknowledged = std::max(worker->last_acknowledged, end.number);
    worker->unacked.pop_front();
  }
  if (worker->unacked.empty()) worker->next_poll_at = now;
}

void SendPoll(State* state, Worker* worker, Time now) {
  const bool extends =
      !worker->unresponsive && worker->reached &&
      (worker->listed || now - worker->unlisted_since < kUnlistedGrace);
  // A worker that was silent may be another incarnation, whose ends are
  // numbered from 1 again and must not count as acknowledged. It may execute a
  // poll late, so ends are acknowledged only until a poll is answered.
  const bool acknowledges =
      !worker->unresponsive &&
      worker->last_acknowledged > worker->confirmed_acknowledgement;
  const bool is_probe = worker->probe_due && !worker->reached;
  PollRequest request{
      .fence = is_probe ? *state->former_fence : state->fence,
      .acknowledged_end = acknowledges ? worker->last_acknowledged : 0};
  if (extends) {
    request.lease_until =
        WorkerTime{static_cast<int64_t>(EstimateClock(*worker, now)) +
                   state->settings.max_lease.count()};
    worker->lease_extended_at = now;
    // With unacknowledged ends the worker would answer at once.
    if (worker->unacked.empty()) {
      const bool needs_pacing =
          worker->best_effort_runs > 0 && worker->serving_runs > 0;
      request.wait = needs_pacing ? std::min(kPollWaitWhilePacing,
                                             state->settings.poll_wait)
                                  : state->settings.poll_wait;
    }
  }
  worker->poll_in_flight = true;
  worker->polled_at = worker->entry.address;
  state->actions.emplace_back(PollAction{worker->entry, request});
}

// A poll that waits at the worker would confirm a raised fence too late.
void SendConfirmation(State* state, Worker* worker) {
  if (state->fence == state->leader_fence || !worker->poll_in_flight ||
      !worker->reached || worker->confirmed_fence == state->fence ||
      worker->confirmation_fence == state->fence) {
    return;
  }
  worker->confirmation_fence = state->fence;
  state->actions.emplace_back(PollAction{
      worker->entry, {.fence = state->fence, .is_confirmation = true}});
}

void ApplyConfirmation(State* state, Worker* worker, const PollRequest& request,
                       Time sent, const PollAnswer& answer) {
  if (answer.outcome == OrderOutcome::kFenced &&
      request.fence == state->fence) {
    Resign(state, "a worker has a higher fence");
  }
  if (answer.outcome != OrderOutcome::kDone || !worker->reached ||
      answer.incarnation != worker->incarnation) {
    return;
  }
  worker->confirmed_at = std::max(worker->confirmed_at, sent);
  worker->confirmed_fence = std::max(worker->confirmed_fence, request.fence);
}

// Whether the worker knows a higher fence tells whether the former placer went
// on without a lease of the leader key. The worker doesn't obey this placer
// yet, so its lists aren't used.
void ApplyProbeAnswer(Worker* worker, Time sent, const PollAnswer& answer,
                      Time now) {
  worker->probe_due = false;
  worker->next_poll_at = now;
  if (answer.outcome == OrderOutcome::kDone &&
      answer.incarnation != Incarnation{0} &&
      answer.incarnation == worker->former_incarnation) {
    worker->probed_at = sent;
  }
}

// True if the worker has answered neither a start nor a poll for a while. An
// answer to a start alone may be lost.
bool MayBeGone(const Worker& worker, Time now) {
  return worker.unanswered_starts > 0 &&
         worker.clock_received_at < worker.no_start_answer_since &&
         now - worker.no_start_answer_since >= kSlowStartAnswer;
}

bool CanTakeWork(const Worker& worker, Time now) {
  return worker.listed && worker.reached && worker.in_roster &&
         IsEntryCurrent(worker) && !worker.unresponsive &&
         !worker.entry.draining && worker.orphan_runs == 0 &&
         worker.avoided_until <= now && !MayBeGone(worker, now) &&
         now - worker.confirmed_at < kConfirmationLifetime;
}

}  // namespace

bool IsGone(const Worker& worker, Time now) {
  return !worker.listed && now - worker.unlisted_since >= kUnlistedGrace;
}

void EndAllRuns(State* state, Worker* worker, const char* why, Time now) {
  LogLostRuns(state, *worker, why, now);
  for (const auto& [task_id, number] : RunNumbersByTask(*worker)) {
    EndRun(state, worker, task_id, number, TaskOutcome::kLeaseExpired, "", now);
  }
  DropUnacknowledged(state, worker);
  // If the worker comes back, ends that aren't acknowledged are applied again.
  worker->last_applied_end = worker->last_acknowledged;
  worker->known_empty = true;
  state->roster_changed = true;
}

void EndExpiredRuns(State* state, Worker* worker, Time now) {
  if (now - worker->lease_extended_at <= MaxLeaseLifetime(state->settings)) {
    return;
  }
  std::vector<std::pair<TaskId, int64_t>> expired;
  for (const auto& [task_id, run] : worker->runs) {
    if (now > LeaseEnd(*state, *worker, run, now)) {
      expired.emplace_back(task_id, run.number);
    }
  }
  if (expired.empty()) return;
  if (expired.size() == worker->runs.size()) {
    EndAllRuns(state, worker, "lease lapsed", now);
    return;
  }
  state->log->ImportantLine(
      "worker_runs_expired",
      {{"worker", worker->entry.id.text()},
       {"runs", static_cast<int64_t>(expired.size())},
       {"unconfirmed_runs",
        static_cast<int64_t>(worker->runs.size() - expired.size())}});
  for (const auto& [task_id, number] : expired) {
    EndRun(state, worker, task_id, number, TaskOutcome::kLeaseExpired, "", now);
  }
}

void AdoptFormerRuns(State* state, Time now) {
  for (auto& [id, worker] : state->workers) {
    if (!IsUnaccounted(worker) || !worker.former_runs) continue;
    for (const RosterRun& run : *worker.former_runs) {
      AdoptRun(state, &worker, {.task = run.task, .run = run.number}, now);
      state->has_former_runs = true;
    }
  }
}

void AttachOrphans(State* state, const JobId& id, Time now) {
  if (state->orphans == 0) return;
  for (auto& [worker_id, worker] : state->workers) {
    for (UnacknowledgedEnd& report : worker.unacked) {
      if (!report.orphan_end || report.job != id) continue;
      const EndedTask ended = *std::exchange(report.orphan_end, std::nullopt);
      --state->orphans;
      EndRun(state, &worker, ended.task, ended.run, ended.how, ended.checkpoint,
             now);
      report.version = state->FindJob(id)->version;
    }
    if (worker.orphan_runs == 0) continue;
    for (const auto& [task_id, number] : RunNumbersByTask(worker)) {
      const Run* const run = FindRun(&worker, task_id, number);
      // Adopting another member of its gang may have replaced the run.
      if (run == nullptr || !run->orphan_since || task_id.job != id) continue;
      const RunningTask row{task_id, number, run->checkpoint};
      RemoveRun(state, &worker, task_id, number);
      AdoptRun(state, &worker, row, now);
      MarkJobBegun(state, &worker, row, now);
    }
  }
}

WorkerTime EstimateClock(const Worker& worker, Time now) {
  return WorkerTime{static_cast<int64_t>(worker.clock) +
                    (now - worker.clock_received_at).count()};
}

void UpdateUsableWorkers(State* state, Time now) {
  state->usable.clear();
  state->max_free.assign(state->slots.size(), Resources{});
  state->uncharged_capacity = Resources{};
  const bool may_be_uncharged = !state->all_runs_known || state->orphans > 0;
  for (auto& [id, worker] : state->workers) {
    // Workers that weren't reached yet, and those with runs of unknown jobs,
    // may run any team's tasks on their whole capacity.
    if (may_be_uncharged && MayHaveUnchargedRuns(worker)) {
      state->uncharged_capacity += worker.entry.capacity;
    }
    worker.usable = CanTakeWork(worker, now);
    if (!worker.usable) continue;
    state->usable.push_back(&worker);
    state->max_free[worker.slot] = worker.Free();
  }
}

void UpdateEntry(State* state, const WorkerEntry& entry, Time now) {
  Worker& worker = *state->FindOrAddWorker(entry.id);
  if (!worker.listed) {
    worker.listed = true;
    if (!state->is_former_roster_known) worker.in_former_roster = true;
    worker.next_poll_at = now;
    state->log->Line("worker_listed",
                     {{"worker", entry.id.text()}, {"address", entry.address}});
  }
  if (entry.draining && !worker.entry.draining) {
    state->log->Line("worker_draining",
                     {{"worker", entry.id.text()},
                      {"least_left_ms", entry.min_time_left.count()}});
  }
  // Only the worker's own answers tell which incarnation runs: the entry may be
  // an earlier one's, whose write the store carried out late.
  if (!worker.poll_in_flight) worker.next_poll_at = now;
  state->roster_changed = true;
  worker.entry = entry;
}

void RemoveEntry(State* state, const WorkerId& id, Time now) {
  Worker* const worker = state->FindWorker(id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  worker->unlisted_since = now;
  state->log->ImportantLine(
      "worker_unlisted", {{"worker", id.text()},
                          {"runs", static_cast<int64_t>(worker->runs.size())}});
}

void ApplyPollAnswer(State* state, Worker* worker, const PollRequest& request,
                     Time sent, const PollAnswer& answer, Time now) {
  if (request.is_confirmation) {
    ApplyConfirmation(state, worker, request, sent, answer);
    return;
  }
  worker->poll_in_flight = false;
  worker->next_poll_at = now + kPollRetryDelay;
  const bool is_probe = worker->probe_due && request.fence != state->fence;
  if (is_probe && (answer.outcome == OrderOutcome::kDone ||
                   answer.outcome == OrderOutcome::kFenced)) {
    ApplyProbeAnswer(worker, sent, answer, now);
    return;
  }
  if (answer.outcome == OrderOutcome::kFenced) {
    if (request.fence == state->fence) {
      Resign(state, "a worker has a higher fence");
    }
    return;
  }
  if (answer.outcome == OrderOutcome::kOtherWorker &&
      worker->polled_at == worker->answered_at) {
    // Its address belongs to another worker, which also rejects orders that are
    // still on their way to this one.
    EndAllRuns(state, worker, "another worker at its address", now);
    ResetIncarnation(state, worker);
    return;
  }
  // Without its incarnation, the lists can't be told from another one's.
  const bool is_anonymous = answer.outcome == OrderOutcome::kDone &&
                            answer.incarnation == Incarnation{0} &&
                            worker->incarnation != Incarnation{0};
  if (answer.outcome != OrderOutcome::kDone || is_anonymous) {
    // A refused connection is no proof that the worker's process is gone: a
    // partition may refuse connections while the worker executes its runs.
    if (!worker->unresponsive) {
      state->log->ImportantLine(
          "worker_silent",
          {{"worker", worker->entry.id.text()},
           {"how", is_anonymous ? "no_incarnation" : NameOf(answer.outcome)},
           {"problem", answer.problem}});
    }
    worker->unresponsive = true;
    ++worker->unanswered_polls;
    return;
  }
  if (answer.incarnation != worker->incarnation) {
    if (worker->incarnation != Incarnation{0}) {
      EndFormerIncarnation(state, worker, now);
    }
    worker->incarnation = answer.incarnation;
  } else {
    worker->confirmed_acknowledgement =
        std::max(worker->confirmed_acknowledgement, request.acknowledged_end);
  }
  if (worker->unresponsive) {
    state->log->ImportantLine("worker_back",
                              {{"worker", worker->entry.id.text()}});
  }
  if (!worker->reached || worker->known_empty) state->roster_changed = true;
  worker->unresponsive = false;
  worker->unanswered_polls = 0;
  if (std::exchange(worker->silent, false)) state->roster_changed = true;
  worker->known_empty = false;
  // A former placer may have extended its leases in full until now.
  if (!worker->reached) {
    worker->lease_extended_at = std::max(worker->lease_extended_at, now);
  }
  if (worker->answered_at != worker->polled_at) {
    worker->answered_at = worker->polled_at;
    worker->in_roster =
        state->roster.IsOpen(worker->entry.id, worker->answered_at);
    state->roster_changed = true;
  }
  // The answer to a poll that was sent later may have arrived before.
  worker->confirmed_at = std::max(worker->confirmed_at, sent);
  worker->confirmed_fence = std::max(worker->confirmed_fence, request.fence);
  worker->clock = answer.clock;
  worker->clock_received_at = now;
  // A poll that extends no leases doesn't wait at the worker.
  const bool waited = request.lease_until != WorkerTime{0};
  worker->next_poll_at =
      worker->reached && !waited ? now + kPollRetryDelay : now;
  for (const EndedTask& ended : answer.ended) {
    ApplyEndedTask(state, worker, ended, now);
  }
  // The list of runs is complete, that of ends may come in parts.
  ApplyRunList(state, worker, sent, answer, now);
  worker->reached = true;
  AcknowledgeStored(state, worker, now);
  if (!worker->unacked.empty()) worker->next_poll_at = now + kPollWhileStoring;
}

void AcknowledgeStored(State* state, Time now) {
  for (auto& [id, worker] : state->workers) {
    AcknowledgeStored(state, &worker, now);
  }
}

void MaintainWorkers(State* state, Time now) {
  ExpireLeases(state, now);
  if (std::exchange(state->newly_stored, false)) AcknowledgeStored(state, now);
  for (auto each = state->workers.begin(); each != state->workers.end();) {
    Worker& worker = each->second;
    if (!worker.listed && !IsUnaccounted(worker) && worker.runs.empty() &&
        worker.unacked.empty() && !worker.poll_in_flight &&
        !MayExecuteOldOrders(*state, worker, now)) {
      state->slots[worker.slot] = nullptr;
      each = state->workers.erase(each);
      state->roster_changed = true;
      continue;
    }
    ++each;
    if (!state->recovered) continue;
    // While the store may be out of reach, a closed entry couldn't be opened
    // once the worker is back.
    if (worker.unanswered_polls >= kUnansweredPollsBeforeClosing &&
        !worker.silent && state->leadership_is_certain &&
        now - worker.confirmed_at >= kSilenceBeforeClosing) {
      worker.silent = true;
      state->roster_changed = true;
    }
    if (!worker.poll_in_flight && now >= worker.next_poll_at) {
      SendPoll(state, &worker, now);
    }
    SendConfirmation(state, &worker);
    SendDueStops(state, &worker, now);
  }
}

}  // namespace quetzal::cell
