#include "quetzal/placer/internal/gangs.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

// A gang that hasn't started after this time loses its reservation.
constexpr Milliseconds kReservationTimeout{30'000};
// After this time, remaining tasks reserve capacity on workers that are still
// busy. Otherwise smaller work would keep taking the capacity that becomes
// free, and a large task might never fit.
constexpr Milliseconds kBusyWorkerReservationDelay{5'000};

}  // namespace

void Gangs::Clear() {
  gangs_.clear();
  reservation_.reset();
}

void Gangs::Add(const JobId& job, const std::vector<WorkId>& tasks, Time now) {
  if (tasks.empty()) return;
  Gang& gang = gangs_[job];
  gang = Gang();
  gang.tasks = tasks;
  QueueGang(&gang, now);
}

void Gangs::Recover(const JobId& job, const std::vector<WorkId>& tasks,
                    Time now) {
  Gang& gang = gangs_[job];
  gang = Gang();
  gang.tasks = tasks;
  gang.waiting_since = now;
  gang.phase = Phase::kHolding;
  gang.started = true;
  const bool all_have_attempts =
      std::all_of(tasks.begin(), tasks.end(), [&](const WorkId& task) {
        return state_->attempt_by_work.contains(task);
      });
  if (all_have_attempts) {
    OnTaskHeldOrRunning(job, now);
    return;
  }
  gang.phase = Phase::kStopping;
  StopTasks(gang, now);
}

void Gangs::QueueGang(Gang* gang, Time now) {
  gang->phase = Phase::kWaiting;
  gang->started = false;
  gang->waiting_since = now;
  WorkItem* const first = state_->FindWork(gang->tasks.front());
  if (first != nullptr) Enqueue(state_, first, false);
}

int64_t Gangs::TaskCount(const JobId& job) const {
  const auto found = gangs_.find(job);
  return found == gangs_.end()
             ? 0
             : static_cast<int64_t>(found->second.tasks.size());
}

bool Gangs::TryStart(const WorkItem& item, Time now) {
  const auto found = gangs_.find(*item.job);
  if (found == gangs_.end()) return false;
  Gang& gang = found->second;
  // Charge the tasks one by one to see whether all of them fit together, and
  // undo these charges before the start.
  std::vector<std::pair<WorkId, WorkerId>> placements;
  std::vector<AttemptId> trial;
  for (const WorkId& task : gang.tasks) {
    const std::optional<WorkerId> worker =
        state_->ledger.Pick({.size = item.size,
                             .policy = PlacementPolicy::kPackTight,
                             .group = item.job->text()});
    if (!worker || !state_->contracts.MayStart(*worker, now)) break;
    placements.emplace_back(task, *worker);
    trial.emplace_back("trial " + task.text());
    state_->ledger.Charge(trial.back(), {.worker = *worker,
                                         .team = item.team,
                                         .size = item.size,
                                         .group = item.job->text()});
  }
  for (const AttemptId& attempt : trial) state_->ledger.Release(attempt);
  if (placements.size() < gang.tasks.size()) {
    const bool has_reservation = reservation_ && reservation_->job == *item.job;
    if (has_reservation) ReserveTasks(item, gang.tasks.size(), now);
    return false;
  }
  bool may_start = true;
  for (const WorkId& task : gang.tasks) {
    WorkItem* const task_item = state_->FindWork(task);
    may_start =
        task_item != nullptr && state_->may_start(task_item) && may_start;
  }
  if (!may_start) return false;
  gang.phase = Phase::kHolding;
  const Milliseconds hold = state_->settings.holds_gang_tasks
                                ? state_->settings.gang_hold_ttl
                                : Milliseconds(0);
  for (const auto& [task, worker] : placements) {
    WorkItem* const task_item = state_->FindWork(task);
    if (task_item == nullptr) continue;
    StartAttempt(state_, task_item, worker, hold, now);
  }
  CancelReservation(*item.job);
  return true;
}

void Gangs::OnTaskHeldOrRunning(const JobId& job, Time now) {
  const auto found = gangs_.find(job);
  if (found == gangs_.end()) return;
  Gang& gang = found->second;
  if (gang.phase != Phase::kHolding && gang.phase != Phase::kRunning) return;
  std::vector<AttemptInfo*> held_attempts;
  for (const WorkId& task : gang.tasks) {
    const auto current = state_->attempt_by_work.find(task);
    if (current == state_->attempt_by_work.end()) return;
    AttemptInfo* const attempt = state_->FindAttempt(current->second);
    const bool was_sent_go = gang.phase == Phase::kRunning;
    if (attempt == nullptr) return;
    if (attempt->state == AttemptState::kSent && !was_sent_go) return;
    if (attempt->state == AttemptState::kHeld) held_attempts.push_back(attempt);
  }
  gang.phase = Phase::kRunning;
  gang.started = true;
  for (AttemptInfo* const attempt : held_attempts) {
    wire::PlacerToWorker message;
    message.mutable_go()->set_attempt_id(attempt->id.text());
    state_->Send(attempt->worker, std::move(message));
    attempt->state = AttemptState::kSent;
    attempt->sent_at = now;
  }
}

Gangs::Change Gangs::OnAttemptClosed(const JobId& job, const WorkItem& task,
                                     bool ended, bool may_have_run, Time now) {
  const auto found = gangs_.find(job);
  if (found == gangs_.end()) return Change::kNone;
  Gang& gang = found->second;
  if (ended) {
    std::erase(gang.tasks, task.id);
    gang.can_rerun = false;
    if (gang.tasks.empty()) Remove(job);
    if (gang.phase != Phase::kStopping) return Change::kNone;
  }
  if (may_have_run && !task.work.idempotent()) gang.can_rerun = false;
  if (gang.phase != Phase::kStopping) {
    gang.phase = Phase::kStopping;
    StopTasks(gang, now);
  }
  if (HasAttempts(gang)) return Change::kStopping;
  if (gang.started && !gang.can_rerun) return Change::kCannotRerun;
  state_->Count("quetzal_retries_total", "gang_broken");
  QueueGang(&gang, now);
  return Change::kRequeued;
}

void Gangs::StopTasks(const Gang& gang, Time now) {
  for (const WorkId& task : gang.tasks) {
    const auto current = state_->attempt_by_work.find(task);
    if (current == state_->attempt_by_work.end()) continue;
    AttemptInfo* const attempt = state_->FindAttempt(current->second);
    if (attempt != nullptr) StopAttempt(state_, attempt, false, now);
  }
}

bool Gangs::HasAttempts(const Gang& gang) const {
  return std::any_of(gang.tasks.begin(), gang.tasks.end(),
                     [&](const WorkId& task) {
                       return state_->attempt_by_work.contains(task);
                     });
}

void Gangs::Remove(const JobId& job) {
  gangs_.erase(job);
  CancelReservation(job);
}

void Gangs::CancelReservation(const JobId& job) {
  if (!reservation_ || reservation_->job != job) return;
  for (const WorkerId& worker : reservation_->workers) {
    state_->ledger.ReleaseCapacity(worker, job.text());
  }
  reservation_.reset();
}

const JobId* Gangs::LongestWaiting() const {
  const JobId* longest_waiting = nullptr;
  Time since = Time::max();
  for (const auto& [job, gang] : gangs_) {
    if (gang.phase != Phase::kWaiting || gang.waiting_since > since) continue;
    if (gang.waiting_since == since && *longest_waiting < job) continue;
    longest_waiting = &job;
    since = gang.waiting_since;
  }
  return longest_waiting;
}

void Gangs::SelectReservation(Time now) {
  if (reservation_ && now - reservation_->since >= kReservationTimeout) {
    // A gang that can't start, for instance because a limit was lowered, must
    // not keep others from reserving capacity.
    const JobId job = reservation_->job;
    gangs_.at(job).waiting_since = now;
    CancelReservation(job);
  }
  if (reservation_) return;
  const JobId* const job = LongestWaiting();
  if (job == nullptr) return;
  const Milliseconds waited = now - gangs_.at(*job).waiting_since;
  if (waited < state_->settings.gang_reservation_delay) return;
  reservation_ = Reservation{.job = *job, .since = now};
}

Resources Gangs::ReservedLimit(const TeamId& team) const {
  if (!reservation_) return {};
  const auto gang = gangs_.find(reservation_->job);
  if (gang == gangs_.end()) return {};
  const WorkItem* const task = state_->FindWork(gang->second.tasks.front());
  if (task == nullptr || task->team != team) return {};
  const Resources wanted =
      task->size * static_cast<int64_t>(gang->second.tasks.size());
  // A gang that exceeds the whole limit must not block other work of its team.
  const Resources limit = state_->Headroom(team) + state_->ledger.UsedBy(team);
  return wanted.FitsIn(limit) ? wanted : Resources();
}

void Gangs::DropUnusableReservations(Time now) {
  const std::vector<WorkerId> reserved_workers =
      std::exchange(reservation_->workers, {});
  const std::string group = reservation_->job.text();
  for (const WorkerId& worker : reserved_workers) {
    const WorkerInfo* const info = state_->ledger.FindWorker(worker);
    const bool usable = info != nullptr && !info->leaving &&
                        state_->contracts.MayStart(worker, now);
    if (usable) {
      reservation_->workers.push_back(worker);
    } else {
      state_->ledger.ReleaseCapacity(worker, group);
    }
  }
}

void Gangs::ReserveTasks(const WorkItem& item, size_t task_count, Time now) {
  DropUnusableReservations(now);
  while (reservation_->workers.size() < task_count) {
    // The query names no group, so that capacity already reserved for this gang
    // isn't picked again.
    std::optional<WorkerId> worker = state_->ledger.Pick(
        {.size = item.size, .policy = PlacementPolicy::kPackTight});
    const bool use_busy =
        now - reservation_->since >= kBusyWorkerReservationDelay;
    if (!worker && use_busy) worker = state_->ledger.PickNearestFit(item.size);
    if (!worker) return;
    state_->ledger.ReserveCapacity(*worker, item.job->text(), item.size);
    reservation_->workers.push_back(*worker);
  }
}

}  // namespace quetzal::placer_internal
