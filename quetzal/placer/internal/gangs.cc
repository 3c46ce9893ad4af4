#include "quetzal/placer/internal/gangs.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/flow.h"

namespace quetzal::placer_internal {
namespace {

// Workers are chosen anew for a gang that could not start on its reserved ones.
constexpr Milliseconds kReservationLife{30'000};

int64_t Copies(int64_t room, int64_t size, int64_t most) {
  return size <= 0 ? most : std::min(most, room / size);
}

// How many tasks of `size` an empty worker could run, up to `most`.
int64_t CopiesIn(const Resources& capacity, const Resources& size,
                 int64_t most) {
  int64_t copies = most;
  copies = Copies(capacity.cpu_milli, size.cpu_milli, copies);
  copies = Copies(capacity.memory_mib, size.memory_mib, copies);
  copies = Copies(capacity.accelerators, size.accelerators, copies);
  return Copies(capacity.slots, size.slots, copies);
}

}  // namespace

void Gangs::Clear() {
  gangs_.clear();
  reserved_for_.reset();
  reserved_.clear();
}

void Gangs::Add(const JobId& job, const std::vector<WorkId>& members,
                Time now) {
  if (members.empty()) return;
  Gang& gang = gangs_[job];
  gang = Gang();
  gang.parts = members;
  QueueGang(job, &gang, now);
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

void Gangs::QueueGang(const JobId& job, Gang* gang, Time now) {
  gang->phase = Phase::kWaiting;
  gang->had_started = false;
  gang->waiting_since = now;
  WorkItem* const first = state_->FindWork(gang->parts.front());
  if (first != nullptr) Enqueue(state_, first, false);
  (void)job;
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
  // Charge part by part to see whether all fit, then undo and start for real.
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
  for (const AttemptId& attempt : trial) state_->ledger.Settle(attempt);
  if (places.size() < gang.parts.size()) return false;
  bool may_start = true;
  for (const WorkId& part : gang.parts) {
    WorkItem* const part_item = state_->FindWork(part);
    may_start =
        part_item != nullptr && state_->may_start(part_item) && may_start;
  }
  if (!may_start) return false;
  gang.phase = Phase::kHolding;
  const Milliseconds hold = state_->settings.holds_gang_parts
                                ? state_->settings.gang_hold
                                : Milliseconds(0);
  for (const auto& [part, worker] : places) {
    WorkItem* const part_item = state_->FindWork(part);
    if (part_item == nullptr) continue;
    StartAttempt(state_, part_item, worker, hold, now);
  }
  if (reserved_for_ == *item.job) Release();
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
  QueueGang(job, &gang, now);
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
  if (reserved_for_ == job) Release();
}

void Gangs::Release() {
  for (const WorkerId& worker : reserved_) state_->ledger.Reserve(worker, "");
  reserved_.clear();
  reserved_for_.reset();
}

void Gangs::MaybeReserveWorkers(Time now) {
  if (reserved_for_ && now - reserved_at_ < kReservationLife) return;
  if (reserved_for_) Release();
  const JobId* oldest = nullptr;
  const Gang* chosen = nullptr;
  for (const auto& [job, gang] : gangs_) {
    if (gang.phase != Phase::kWaiting) continue;
    if (now - gang.waiting_since < state_->settings.gang_patience) continue;
    const bool older =
        chosen == nullptr || gang.waiting_since < chosen->waiting_since ||
        (gang.waiting_since == chosen->waiting_since && job < *oldest);
    if (!older) continue;
    oldest = &job;
    chosen = &gang;
  }
  if (chosen == nullptr) return;
  const WorkItem* const part = state_->FindWork(chosen->parts.front());
  if (part == nullptr) return;
  auto wanted = static_cast<int64_t>(chosen->parts.size());
  std::vector<std::pair<double, WorkerId>> by_room;
  for (const WorkerId& worker : state_->contracts.Workers()) {
    const WorkerFacts* const facts = state_->ledger.Facts(worker);
    if (facts == nullptr || facts->leaving) continue;
    const Resources free = state_->ledger.Free(worker);
    by_room.emplace_back(-free.DominantShare(facts->capacity), worker);
  }
  std::sort(by_room.begin(), by_room.end());
  for (const auto& [room, worker] : by_room) {
    if (wanted <= 0) break;
    const Resources& capacity = state_->ledger.Facts(worker)->capacity;
    const int64_t copies = CopiesIn(capacity, part->size, wanted);
    if (copies == 0) continue;
    wanted -= copies;
    state_->ledger.Reserve(worker, oldest->text());
    reserved_.push_back(worker);
  }
  reserved_for_ = *oldest;
  reserved_at_ = now;
}

}  // namespace quetzal::placer_internal
