#include "quetzal/placer/internal/gangs.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/flow.h"

namespace quetzal::placer_internal {
namespace {

// A gang that hasn't started after this time loses its reservation.
constexpr Milliseconds kGatheringLife{30'000};
// After this time, remaining tasks reserve capacity on workers that are still
// busy. Otherwise smaller work would keep taking the capacity that becomes
// free, and a large task might never fit.
constexpr Milliseconds kClaimAfter{5'000};

}  // namespace

void Gangs::Clear() {
  gangs_.clear();
  gathering_.reset();
}

void Gangs::Add(const JobId& job, const std::vector<WorkId>& members,
                Time now) {
  if (members.empty()) return;
  Gang& gang = gangs_[job];
  gang = Gang();
  gang.parts = members;
  QueueGang(&gang, now);
}

void Gangs::Adopt(const JobId& job, const std::vector<WorkId>& members,
                  Time now) {
  Gang& gang = gangs_[job];
  gang = Gang();
  gang.parts = members;
  gang.waiting_since = now;
  gang.phase = Phase::kHolding;
  gang.had_started = true;
  const bool whole =
      std::all_of(members.begin(), members.end(), [&](const WorkId& part) {
        return state_->attempt_of_work.contains(part);
      });
  if (whole) {
    OnPartStarted(job, now);
    return;
  }
  gang.phase = Phase::kUnwinding;
  StopParts(gang, now);
}

void Gangs::QueueGang(Gang* gang, Time now) {
  gang->phase = Phase::kWaiting;
  gang->had_started = false;
  gang->waiting_since = now;
  WorkItem* const first = state_->FindWork(gang->parts.front());
  if (first != nullptr) Enqueue(state_, first, false);
}

int64_t Gangs::PartCount(const JobId& job) const {
  const auto found = gangs_.find(job);
  return found == gangs_.end()
             ? 0
             : static_cast<int64_t>(found->second.parts.size());
}

bool Gangs::TryStart(const WorkItem& item, Time now) {
  const auto found = gangs_.find(*item.job);
  if (found == gangs_.end()) return false;
  Gang& gang = found->second;
  // Charge the tasks one by one to see whether all of them fit together, and
  // undo these charges before the start.
  std::vector<std::pair<WorkId, WorkerId>> places;
  std::vector<AttemptId> trial;
  for (const WorkId& part : gang.parts) {
    const std::optional<WorkerId> worker =
        state_->ledger.Pick({.size = item.size,
                             .policy = PlacementPolicy::kPackTight,
                             .group = item.job->text()});
    if (!worker || !state_->contracts.MayStart(*worker, now)) break;
    places.emplace_back(part, *worker);
    trial.emplace_back("trial " + part.text());
    state_->ledger.Charge(trial.back(), {.worker = *worker,
                                         .team = item.team,
                                         .size = item.size,
                                         .group = item.job->text()});
  }
  for (const AttemptId& attempt : trial) state_->ledger.Release(attempt);
  if (places.size() < gang.parts.size()) {
    const bool gathers = gathering_ && gathering_->job == *item.job;
    if (gathers) Gather(item, gang.parts.size(), now);
    return false;
  }
  bool may_start = true;
  for (const WorkId& part : gang.parts) {
    WorkItem* const part_item = state_->FindWork(part);
    may_start =
        part_item != nullptr && state_->may_start(part_item) && may_start;
  }
  if (!may_start) return false;
  gang.phase = Phase::kHolding;
  const Milliseconds hold = state_->settings.holds_gang_tasks
                                ? state_->settings.gang_hold_ttl
                                : Milliseconds(0);
  for (const auto& [part, worker] : places) {
    WorkItem* const part_item = state_->FindWork(part);
    if (part_item == nullptr) continue;
    StartAttempt(state_, part_item, worker, hold, now);
  }
  StopGathering(*item.job);
  return true;
}

void Gangs::OnPartStarted(const JobId& job, Time now) {
  const auto found = gangs_.find(job);
  if (found == gangs_.end()) return;
  Gang& gang = found->second;
  if (gang.phase != Phase::kHolding && gang.phase != Phase::kRunning) return;
  std::vector<AttemptInfo*> held;
  for (const WorkId& part : gang.parts) {
    const auto current = state_->attempt_of_work.find(part);
    if (current == state_->attempt_of_work.end()) return;
    AttemptInfo* const attempt = state_->FindAttempt(current->second);
    const bool told_to_go = gang.phase == Phase::kRunning;
    if (attempt == nullptr) return;
    if (attempt->state == AttemptState::kSent && !told_to_go) return;
    if (attempt->state == AttemptState::kHeld) held.push_back(attempt);
  }
  gang.phase = Phase::kRunning;
  gang.had_started = true;
  for (AttemptInfo* const attempt : held) {
    wire::PlacerToWorker message;
    message.mutable_go()->set_attempt_id(attempt->id.text());
    state_->Send(attempt->worker, std::move(message));
    attempt->state = AttemptState::kSent;
    attempt->sent_at = now;
  }
}

Gangs::Change Gangs::OnPartClosed(const JobId& job, const WorkItem& part,
                                  bool ended, bool may_have_run, Time now) {
  const auto found = gangs_.find(job);
  if (found == gangs_.end()) return Change::kNone;
  Gang& gang = found->second;
  if (ended) {
    std::erase(gang.parts, part.id);
    gang.can_rerun = false;
    if (gang.parts.empty()) Remove(job);
    if (gang.phase != Phase::kUnwinding) return Change::kNone;
  }
  if (may_have_run && !part.work.idempotent()) gang.can_rerun = false;
  if (gang.phase != Phase::kUnwinding) {
    gang.phase = Phase::kUnwinding;
    StopParts(gang, now);
  }
  if (AnyAttempt(gang)) return Change::kUnwinding;
  if (gang.had_started && !gang.can_rerun) return Change::kSpoiled;
  state_->Count("quetzal_retries_total", "gang_broken");
  QueueGang(&gang, now);
  return Change::kRestart;
}

void Gangs::StopParts(const Gang& gang, Time now) {
  for (const WorkId& part : gang.parts) {
    const auto current = state_->attempt_of_work.find(part);
    if (current == state_->attempt_of_work.end()) continue;
    AttemptInfo* const attempt = state_->FindAttempt(current->second);
    if (attempt != nullptr) StopAttempt(state_, attempt, false, now);
  }
}

bool Gangs::AnyAttempt(const Gang& gang) const {
  return std::any_of(gang.parts.begin(), gang.parts.end(),
                     [&](const WorkId& part) {
                       return state_->attempt_of_work.contains(part);
                     });
}

void Gangs::Remove(const JobId& job) {
  gangs_.erase(job);
  StopGathering(job);
}

void Gangs::StopGathering(const JobId& job) {
  if (!gathering_ || gathering_->job != job) return;
  for (const WorkerId& worker : gathering_->workers) {
    state_->ledger.ReleaseCapacity(worker, job.text());
  }
  gathering_.reset();
}

const JobId* Gangs::LongestWaiting() const {
  const JobId* oldest = nullptr;
  Time since = Time::max();
  for (const auto& [job, gang] : gangs_) {
    if (gang.phase != Phase::kWaiting || gang.waiting_since > since) continue;
    if (gang.waiting_since == since && *oldest < job) continue;
    oldest = &job;
    since = gang.waiting_since;
  }
  return oldest;
}

void Gangs::ChooseGathering(Time now) {
  if (gathering_ && now - gathering_->since >= kGatheringLife) {
    // A gang that can't start, for instance because a limit was lowered, must
    // not keep others from reserving capacity.
    const JobId job = gathering_->job;
    gangs_.at(job).waiting_since = now;
    StopGathering(job);
  }
  if (gathering_) return;
  const JobId* const job = LongestWaiting();
  if (job == nullptr) return;
  const Milliseconds waited = now - gangs_.at(*job).waiting_since;
  if (waited < state_->settings.gang_reservation_delay) return;
  gathering_ = Gathering{.job = *job, .since = now};
}

Resources Gangs::WantedWithinLimit(const TeamId& team) const {
  if (!gathering_) return {};
  const auto gang = gangs_.find(gathering_->job);
  if (gang == gangs_.end()) return {};
  const WorkItem* const part = state_->FindWork(gang->second.parts.front());
  if (part == nullptr || part->team != team) return {};
  const Resources wanted =
      part->size * static_cast<int64_t>(gang->second.parts.size());
  // A gang that exceeds the whole limit must not block other work of its team.
  const Resources limit = state_->Room(team) + state_->ledger.UsedBy(team);
  return wanted.FitsIn(limit) ? wanted : Resources();
}

void Gangs::DropUselessHolds(Time now) {
  const std::vector<WorkerId> held = std::exchange(gathering_->workers, {});
  const std::string group = gathering_->job.text();
  for (const WorkerId& worker : held) {
    const WorkerInfo* const worker_info = state_->ledger.FindWorker(worker);
    const bool of_use = worker_info != nullptr && !worker_info->leaving &&
                        state_->contracts.MayStart(worker, now);
    if (of_use) {
      gathering_->workers.push_back(worker);
    } else {
      state_->ledger.ReleaseCapacity(worker, group);
    }
  }
}

void Gangs::Gather(const WorkItem& item, size_t parts, Time now) {
  DropUselessHolds(now);
  while (gathering_->workers.size() < parts) {
    // The query names no group, so that capacity already reserved for this gang
    // isn't picked again.
    std::optional<WorkerId> worker = state_->ledger.Pick(
        {.size = item.size, .policy = PlacementPolicy::kPackTight});
    const bool claims = now - gathering_->since >= kClaimAfter;
    if (!worker && claims) worker = state_->ledger.PickNearestFit(item.size);
    if (!worker) return;
    state_->ledger.ReserveCapacity(*worker, item.job->text(), item.size);
    gathering_->workers.push_back(*worker);
  }
}

}  // namespace quetzal::placer_internal
