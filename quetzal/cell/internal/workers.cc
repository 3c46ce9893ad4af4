#include "quetzal/cell/internal/workers.h"

#include <algorithm>
#include <utility>

#include "quetzal/cell/internal/accounting.h"
#include "quetzal/cell/internal/jobs.h"
#include "quetzal/cell/internal/orders.h"

namespace quetzal::cell {
namespace {

// A hold that waits for ends which aren't stored yet would be answered at once
// by the same ends; renewing leases this often is enough meanwhile.
constexpr Milliseconds kHoldWhileStoring{400};
// Between tries to reach a worker that didn't answer.
constexpr Milliseconds kHoldRetry{200};
// A worker whose entry is gone may be back within about two seconds of the
// store's return; its leases are extended so long, and no longer.
constexpr Milliseconds kUnlistedGrace{2'500};
// The slowest sound work, 10 s on a worker at an eighth of its speed, does a
// percent of it in 0.8 s.
constexpr Milliseconds kStandstill{1'400};
constexpr int kAllPercent = 100;
constexpr Milliseconds kAvoidAfterStandstill{3'000};
// Failures above this rate have a worker passed over for a while.
constexpr double kSuspectFailureRate = 0.5;
// Two failures in a row are rare on a sound worker.
constexpr double kFailureSmoothing = 0.35;
constexpr Milliseconds kAvoidAfterFailures{4'000};

// Removes a run and applies what became of it.
void EndRun(State* state, Worker* worker, const TaskId& name, int64_t number,
            TaskOutcome how, const std::string& checkpoint, Time now) {
  const auto found = worker->runs.find(name);
  Job* job = state->FindJob(name.job);
  std::string saved = checkpoint;
  if (found != worker->runs.end() && found->second.number == number) {
    if (saved.empty()) saved = found->second.checkpoint;
    RemoveRun(state, worker, name);
  }
  if (job != nullptr) ApplyEnd(state, job, name, number, how, saved, now);
}

std::vector<std::pair<TaskId, int64_t>> NamesOfRuns(const Worker& worker) {
  std::vector<std::pair<TaskId, int64_t>> names;
  for (const auto& [name, run] : worker.runs) {
    names.emplace_back(name, run.number);
  }
  return names;
}

void ForgetUnseen(State* state, Worker* worker) {
  for (const UnseenEnd& end : worker->unseen) {
    if (end.orphan) --state->orphans;
  }
  worker->unseen.clear();
}

void ForgetIncarnation(State* state, Worker* worker) {
  worker->last_seen = 0;
  worker->last_processed = 0;
  ForgetUnseen(state, worker);
  worker->clock = WorkerTime{0};
  worker->reached = false;
}

void ObserveEnd(State* state, Worker* worker, TaskOutcome how, Time now) {
  if (how != TaskOutcome::kDone && how != TaskOutcome::kFailed) return;
  const double failed = how == TaskOutcome::kFailed ? 1.0 : 0.0;
  worker->failure_rate += kFailureSmoothing * (failed - worker->failure_rate);
  if (how == TaskOutcome::kFailed &&
      worker->failure_rate > kSuspectFailureRate) {
    worker->avoid_until = now + kAvoidAfterFailures;
    state->log->Line(
        "worker_avoided",
        {{"worker", worker->entry.id.text()},
         {"why", "failures"},
         {"percent", static_cast<int64_t>(worker->failure_rate * 100)}});
  }
}

void ApplyEnded(State* state, Worker* worker, const EndedTask& ended,
                Time now) {
  if (ended.number <= worker->last_processed) return;
  worker->last_processed = ended.number;
  ObserveEnd(state, worker, ended.how, now);
  EndRun(state, worker, ended.task, ended.run, ended.how, ended.checkpoint,
         now);
  UnseenEnd unseen{.number = ended.number, .job = ended.task.job, .since = now};
  const Job* const job = state->FindJob(ended.task.job);
  if (job != nullptr) {
    unseen.version = job->version;
  } else {
    unseen.orphan = ended;
    ++state->orphans;
  }
  worker->unseen.push_back(std::move(unseen));
}

// A run that this term didn't order: of a former term, or nobody's.
void Adopt(State* state, Worker* worker, const RunningTask& row, Time now) {
  Run run{.task = row.task,
          .number = row.run,
          .state = RunState::kRunning,
          .ordered = now,
          .start_clock = worker->clock,
          .listed_in = worker->lists,
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
    wanted = wanted && !task.progress.done && task.active_runs == 0;
    task.progress.last_run = std::max(task.progress.last_run, row.run);
    if (wanted && step.spec->gang) {
      if (step.gang_members == 0) step.gang_run = row.run;
      wanted = step.gang_run == row.run;
    }
  }
  if (job == nullptr) {
    // A former placer may have started it from news that is still on the way.
    run.orphan_since = now;
  } else if (!wanted) {
    OweStop(worker, &run, now);
  }
  state->log->Line("run_adopted", {{"worker", worker->entry.id.text()},
                                   {"job", row.task.job.text()},
                                   {"step", row.task.step},
                                   {"task", row.task.index},
                                   {"run", row.run},
                                   {"kept", wanted           ? "yes"
                                            : job == nullptr ? "job unknown"
                                                             : "no"}});
  AddRun(state, worker, std::move(run));
  if (wanted) {
    if (job->state == JobState::kQueued) {
      job->state = JobState::kRunning;
      Touch(state, job);
    }
    UpdateReadiness(state, job, now);
  }
}

// Runs that the worker's list lacks although it was made after they were known
// to be there.
void EndVanished(State* state, Worker* worker, const PollAnswer& answer,
                 Time now) {
  for (const auto& [name, number] : NamesOfRuns(*worker)) {
    const Run& run = worker->runs.at(name);
    if (run.listed_in == worker->lists) continue;
    const bool was_there =
        run.state == RunState::kRunning && run.start_clock < answer.clock;
    const bool was_stopped = run.stop_clock && *run.stop_clock < answer.clock;
    if (!was_there && !was_stopped) continue;
    EndRun(state, worker, name, number,
           was_stopped ? TaskOutcome::kStopped : TaskOutcome::kLeaseExpired, "",
           now);
  }
}

// A worker may let everything stand still and still answer. Its runs are
// stopped, so that they start elsewhere, and it is passed over for a while.
void WatchProgress(State* state, Worker* worker, const RunningTask& row,
                   Run* run, Time now) {
  // The percent is a guess: a run that takes longer than thought stays at all.
  const bool moves = row.percent != run->percent || row.percent >= kAllPercent;
  if (moves || run->state != RunState::kRunning) {
    run->percent = row.percent;
    run->progressed = now;
    return;
  }
  const bool may_stand_still =
      run->job == nullptr || IsFinal(run->job->state) ||
      run->job->steps[static_cast<size_t>(row.task.step)].spec->best_effort;
  if (may_stand_still || now - run->progressed < kStandstill) return;
  worker->avoid_until = now + kAvoidAfterStandstill;
  state->metrics->Count("quetzal_runs_stopped_total", {{"why", "standstill"}});
  state->log->Line("run_stands_still",
                   {{"worker", worker->entry.id.text()},
                    {"job", row.task.job.text()},
                    {"step", row.task.step},
                    {"task", row.task.index},
                    {"run", row.run},
                    {"percent", row.percent},
                    {"for_ms", (now - run->progressed).count()}});
  OweStop(worker, run, now);
  BreakGang(state, run->job, row.task.step, now);
}

void ApplyRunning(State* state, Worker* worker, const PollAnswer& answer,
                  Time now) {
  ++worker->lists;
  for (const RunningTask& row : answer.running) {
    const auto found = worker->runs.find(row.task);
    if (found == worker->runs.end()) {
      Adopt(state, worker, row, now);
      continue;
    }
    Run& run = found->second;
    run.listed_in = worker->lists;
    if (run.number != row.run) continue;
    WatchProgress(state, worker, row, &run, now);
    if (!row.checkpoint.empty()) run.checkpoint = row.checkpoint;
    if (run.state == RunState::kStarting) {
      run.state = RunState::kRunning;
      run.start_clock = answer.clock;
    }
  }
}

void AcknowledgeStored(State* state, Worker* worker, Time now) {
  if (worker->unseen.empty()) return;
  while (!worker->unseen.empty()) {
    const UnseenEnd& end = worker->unseen.front();
    const Job* const job = state->FindJob(end.job);
    if (job != nullptr && job->stored_version < end.version) break;
    if (end.orphan && now - end.since < kOrphanPatience) break;
    if (end.orphan) --state->orphans;
    worker->last_seen = std::max(worker->last_seen, end.number);
    worker->unseen.pop_front();
  }
  if (worker->unseen.empty()) worker->next_hold = now;
}

void SendHold(State* state, Worker* worker, Time now) {
  const bool extends =
      !worker->silent && worker->reached &&
      (worker->listed || now - worker->unlisted_since < kUnlistedGrace);
  PollRequest request{.fence = state->fence,
                      .acknowledged_end = worker->last_seen};
  if (extends) {
    request.lease_until =
        WorkerTime{static_cast<int64_t>(ClockOf(*worker, now)) +
                   state->settings.max_lease.count()};
    worker->lease_basis = now;
    // Ends that wait to be stored would answer it at once.
    if (worker->unseen.empty()) request.wait = state->settings.poll_wait;
  }
  worker->hold_in_flight = true;
  state->actions.emplace_back(PollAction{worker->entry, request});
}

bool TakesWork(const Worker& worker, Time now) {
  return worker.listed && worker.reached && worker.covered && !worker.silent &&
         !worker.entry.draining && worker.orphans == 0 &&
         worker.avoid_until <= now && now - worker.confirmed < kConfirmedWithin;
}

}  // namespace

void EndAllRuns(State* state, Worker* worker, const char* why, Time now) {
  if (!worker->runs.empty()) {
    state->log->Line("worker_runs_lost",
                     {{"worker", worker->entry.id.text()},
                      {"why", why},
                      {"runs", static_cast<int64_t>(worker->runs.size())}});
  }
  for (const auto& [name, number] : NamesOfRuns(*worker)) {
    EndRun(state, worker, name, number, TaskOutcome::kLeaseExpired, "", now);
  }
  ForgetUnseen(state, worker);
  worker->known_gone = true;
}

void AttachOrphans(State* state, const JobId& id, Time now) {
  if (state->orphans == 0) return;
  for (auto& [worker_id, worker] : state->workers) {
    for (UnseenEnd& unseen : worker.unseen) {
      if (!unseen.orphan || unseen.job != id) continue;
      const EndedTask ended = *std::exchange(unseen.orphan, std::nullopt);
      --state->orphans;
      EndRun(state, &worker, ended.task, ended.run, ended.how, ended.checkpoint,
             now);
      unseen.version = state->FindJob(id)->version;
    }
    if (worker.orphans == 0) continue;
    for (const auto& [name, number] : NamesOfRuns(worker)) {
      const Run& run = worker.runs.at(name);
      if (!run.orphan_since || name.job != id) continue;
      const RunningTask row{name, number, run.checkpoint};
      RemoveRun(state, &worker, name);
      Adopt(state, &worker, row, now);
    }
  }
}

WorkerTime ClockOf(const Worker& worker, Time now) {
  return WorkerTime{static_cast<int64_t>(worker.clock) +
                    (now - worker.clock_at).count()};
}

void FindUsable(State* state, Time now) {
  state->usable.clear();
  for (auto& [id, worker] : state->workers) {
    worker.usable = TakesWork(worker, now);
    if (worker.usable) state->usable.push_back(&worker);
  }
}

void LearnEntry(State* state, const WorkerEntry& entry, Time now) {
  Worker& worker = *state->EnsureWorker(entry.id);
  if (!worker.listed) {
    worker.listed = true;
    worker.next_hold = now;
    state->log->Line("worker_listed",
                     {{"worker", entry.id.text()}, {"address", entry.address}});
  }
  if (entry.draining && !worker.entry.draining) {
    state->log->Line("worker_draining",
                     {{"worker", entry.id.text()},
                      {"least_left_ms", entry.min_time_left.count()}});
  }
  if (entry.incarnation != Incarnation{0} &&
      worker.incarnation != Incarnation{0} &&
      entry.incarnation != worker.incarnation) {
    EndAllRuns(state, &worker, "started again", now);
    ForgetIncarnation(state, &worker);
    worker.incarnation = entry.incarnation;
  }
  state->roster_changed = true;
  worker.entry = entry;
  worker.covered = state->roster.Contains(entry.id, entry.address);
}

void ForgetEntry(State* state, const WorkerId& id, Time now) {
  Worker* const worker = state->FindWorker(id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  worker->unlisted_since = now;
  state->log->Line("worker_unlisted",
                   {{"worker", id.text()},
                    {"runs", static_cast<int64_t>(worker->runs.size())}});
}

void ApplyHold(State* state, Worker* worker, const PollRequest& request,
               Time sent, const PollAnswer& answer, Time now) {
  worker->hold_in_flight = false;
  worker->next_hold = now + kHoldRetry;
  if (answer.outcome == OrderOutcome::kFenced) {
    if (request.fence == state->fence) {
      Resign(state, "a worker knows a higher fence");
    }
    return;
  }
  if (answer.outcome == OrderOutcome::kConnectionRefused) {
    // Nothing listens there: its process, and all that it ran, are gone.
    if (worker->reached) EndAllRuns(state, worker, "nothing listens", now);
    ForgetIncarnation(state, worker);
    worker->known_gone = true;
    return;
  }
  if (answer.outcome != OrderOutcome::kDone) {
    if (!worker->silent) {
      state->log->Line("worker_silent", {{"worker", worker->entry.id.text()},
                                         {"how", NameOf(answer.outcome)}});
    }
    worker->silent = true;
    // It may be another incarnation by the time it answers, whose ends start
    // at 1 again and must not be taken for acknowledged.
    worker->last_seen = 0;
    return;
  }
  if (answer.incarnation != worker->incarnation) {
    if (worker->incarnation != Incarnation{0}) {
      EndAllRuns(state, worker, "started again", now);
      ForgetIncarnation(state, worker);
    }
    worker->incarnation = answer.incarnation;
  }
  if (worker->silent) {
    state->log->Line("worker_back", {{"worker", worker->entry.id.text()}});
  }
  worker->silent = false;
  worker->known_gone = false;
  // What a former placer started there may be leased from now on in full.
  if (!worker->reached) {
    worker->lease_basis = std::max(worker->lease_basis, now);
  }
  worker->confirmed = sent;
  worker->clock = answer.clock;
  worker->clock_at = now;
  worker->next_hold = now;
  for (const EndedTask& ended : answer.ended) {
    ApplyEnded(state, worker, ended, now);
  }
  // The list of runs is whole, that of ends may come in parts.
  ApplyRunning(state, worker, answer, now);
  EndVanished(state, worker, answer, now);
  worker->reached = true;
  AcknowledgeStored(state, worker, now);
  if (!worker->unseen.empty()) worker->next_hold = now + kHoldWhileStoring;
}

void AcknowledgeStored(State* state, Time now) {
  for (auto& [id, worker] : state->workers) {
    AcknowledgeStored(state, &worker, now);
  }
}

void TendWorkers(State* state, Time now) {
  if (!state->had_majority && HoldsMajority(*state, kConfirmedWithin, now)) {
    state->had_majority = true;
    state->majority_since = now;
  }
  CheckLapses(state, now);
  if (std::exchange(state->stored_since, false)) AcknowledgeStored(state, now);
  for (auto each = state->workers.begin(); each != state->workers.end();) {
    Worker& worker = each->second;
    if (!worker.listed && !MayRunUnseen(worker) && worker.runs.empty() &&
        worker.unseen.empty() && !worker.hold_in_flight) {
      state->slots[worker.slot] = nullptr;
      each = state->workers.erase(each);
      state->roster_changed = true;
      continue;
    }
    ++each;
    if (!state->recovered) continue;
    if (!worker.hold_in_flight && now >= worker.next_hold) {
      SendHold(state, &worker, now);
    }
    StopWhatIsOwed(state, &worker, now);
  }
}

}  // namespace quetzal::cell
