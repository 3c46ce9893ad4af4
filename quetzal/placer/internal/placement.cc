#include "quetzal/placer/internal/placement.h"

#include <algorithm>
#include <limits>
#include <queue>
#include <utility>

#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

// Limit on the items examined at the front of a team's queue, so that later
// work can start when earlier work doesn't fit.
constexpr int kLookAhead = 16;
// Limit on the sizes remembered as not fitting within a pass.
constexpr size_t kMaxRejectedSizes = 16;
constexpr Milliseconds kReservationTimeout{5'000};

struct TeamTurn {
  double ratio;
  TeamId team;
  // Orders a priority queue so that the lowest ratio is on top.
  bool operator<(const TeamTurn& other) const {
    return ratio != other.ratio ? ratio > other.ratio : other.team < team;
  }
};

PlacementPolicy PolicyOf(const WorkItem& item) {
  switch (item.work.work_class()) {
    case wire::WORK_CLASS_BATCH:
    case wire::WORK_CLASS_GANG:
      return PlacementPolicy::kPackTight;
    case wire::WORK_CLASS_SERVICE:
      return PlacementPolicy::kSpreadRacks;
    default:
      return PlacementPolicy::kLeastLoaded;
  }
}

}  // namespace

void Placement::StartWork(Time now) {
  state_->placement_due = false;
  if (!state_->contracts.HasMajority(now)) return;
  rejected_sizes_.clear();
  if (state_->settings.order == OrderPolicy::kFifo) {
    ServeFifo(now);
    return;
  }
  for (const Lane lane : kLanes) ServeLane(lane, now);
}

void Placement::ServeLane(Lane lane, Time now) {
  std::priority_queue<TeamTurn> turns;
  for (const TeamId& team : state_->queue.TeamsIn(lane)) {
    turns.push({state_->ShareRatio(team), team});
  }
  while (!turns.empty()) {
    const TeamId team = turns.top().team;
    turns.pop();
    if (TryTeam(lane, team, now) != TryResult::kStarted) continue;
    turns.push({state_->ShareRatio(team), team});
  }
}

void Placement::ServeFifo(Time now) {
  // The baseline: strictly in the order of submission, across teams. The first
  // item that can't start blocks all others.
  while (true) {
    WorkItem* first = nullptr;
    for (const Lane lane : kLanes) {
      for (const TeamId& team : state_->queue.TeamsIn(lane)) {
        WorkItem* const item =
            state_->FindWork(state_->queue.Waiting({lane, team}).front());
        if (first == nullptr || item->submitted < first->submitted) {
          first = item;
        }
      }
    }
    if (first == nullptr || !WithinLimit(*first) ||
        TryItem(first, now) != TryResult::kStarted) {
      return;
    }
  }
}

Placement::TryResult Placement::TryTeam(Lane lane, const TeamId& team,
                                        Time now) {
  int examined = 0;
  for (const WorkId& id : state_->queue.Waiting({lane, team})) {
    if (++examined > kLookAhead) break;
    WorkItem* const item = state_->FindWork(id);
    if (!WithinLimit(*item) || IsKnownNotToFit(*item)) continue;
    // A start removes the work from the list, so the iteration must end here.
    const TryResult result = TryItem(item, now);
    if (result == TryResult::kStarted) return result;
    if (result == TryResult::kNoCapacity &&
        rejected_sizes_.size() < kMaxRejectedSizes && lane != Lane::kGang) {
      rejected_sizes_.push_back(item->size);
    }
  }
  return TryResult::kNoCapacity;
}

bool Placement::IsKnownNotToFit(const WorkItem& item) const {
  return std::any_of(
      rejected_sizes_.begin(), rejected_sizes_.end(),
      [&](const Resources& rejected) { return rejected.FitsIn(item.size); });
}

bool Placement::WithinLimit(const WorkItem& item) const {
  if (!state_->settings.enforces_limits) return true;
  const Resources headroom = state_->Headroom(item.team);
  if (item.lane == Lane::kBatch) {
    return item.size.FitsIn(headroom - gangs_->ReservedLimit(item.team));
  }
  if (item.lane != Lane::kGang || !item.job) return item.size.FitsIn(headroom);
  const int64_t task_count = gangs_->TaskCount(*item.job);
  return (item.size * task_count).FitsIn(headroom);
}

Placement::TryResult Placement::TryItem(WorkItem* item, Time now) {
  if (item->lane == Lane::kGang && item->job) {
    return gangs_->TryStart(*item, now) ? TryResult::kStarted
                                        : TryResult::kNoCapacity;
  }
  const PlacementQuery query = {.size = item->size,
                                .policy = PolicyOf(*item),
                                .group = PlacementGroup(*item)};
  const std::optional<WorkerId> worker = state_->ledger.Pick(query);
  if (!worker) return TryResult::kNoCapacity;
  const WorkId id = item->id;
  const Milliseconds waited = now - item->submitted;
  const std::string queue = item->queue.text();
  if (!StartAttempt(state_, item, *worker, Milliseconds(0), now)) {
    return TryResult::kNotReady;
  }
  state_->metrics->Observe("quetzal_wait_ms", {{"queue", queue}},
                           static_cast<double>(waited.count()));
  for (const Reservation& reservation : reservations_) {
    if (reservation.work == id) state_->ledger.Reserve(reservation.worker, "");
  }
  std::erase_if(reservations_, [&](const Reservation& reservation) {
    return reservation.work == id;
  });
  return TryResult::kStarted;
}

void Placement::ReleaseExpiredReservations(Time now) {
  std::erase_if(reservations_, [&](const Reservation& reservation) {
    const bool expired = now - reservation.at >= kReservationTimeout ||
                         state_->FindWork(reservation.work) == nullptr;
    if (expired) state_->ledger.Reserve(reservation.worker, "");
    return expired;
  });
}

void Placement::PreemptForUrgentWork(Time now) {
  if (state_->settings.order == OrderPolicy::kFifo) return;
  ReleaseExpiredReservations(now);
  if (!state_->contracts.HasMajority(now)) return;
  for (const TeamId& team : state_->queue.TeamsIn(Lane::kUrgent)) {
    int examined = 0;
    for (const WorkId& id : state_->queue.Waiting({Lane::kUrgent, team})) {
      if (++examined > kLookAhead) break;
      const WorkItem* const item = state_->FindWork(id);
      if (now - item->submitted < state_->settings.preemption_delay) continue;
      const bool reserved =
          std::any_of(reservations_.begin(), reservations_.end(),
                      [&](const Reservation& reservation) {
                        return reservation.work == id;
                      });
      if (reserved || !WithinLimit(*item)) continue;
      if (!Preempt(*item, now)) break;
    }
  }
}

bool Placement::IsReserved(const WorkerId& worker) const {
  return std::any_of(
      reservations_.begin(), reservations_.end(),
      [&](const Reservation& other) { return other.worker == worker; });
}

bool Placement::Preempt(const WorkItem& item, Time now) {
  const double own_ratio = state_->ShareRatio(item.team);
  std::map<WorkerId, std::vector<AttemptInfo*>> stoppable;
  for (auto& [id, attempt] : state_->attempts) {
    const bool batch = attempt.work.work_class() == wire::WORK_CLASS_BATCH;
    const bool may_stop = batch && attempt.work.idempotent() &&
                          !attempt.work.urgent() && !attempt.stop_sent_at &&
                          attempt.state == AttemptState::kRunning;
    if (!may_stop) continue;
    if (state_->ShareRatio(TeamId(attempt.work.team())) < own_ratio) continue;
    stoppable[attempt.worker].push_back(&attempt);
  }
  std::vector<AttemptInfo*> best;
  std::optional<WorkerId> chosen;
  for (auto& [worker, attempts] : stoppable) {
    const WorkerInfo* const info = state_->ledger.FindWorker(worker);
    if (IsReserved(worker) || info == nullptr || info->leaving) continue;
    if (!state_->contracts.MayStart(worker, now)) continue;
    std::sort(attempts.begin(), attempts.end(),
              [](const AttemptInfo* a, const AttemptInfo* b) {
                return a->id < b->id;
              });
    Resources free_capacity = state_->ledger.Free(worker);
    std::vector<AttemptInfo*> victims;
    for (AttemptInfo* const attempt : attempts) {
      if (item.size.FitsIn(free_capacity)) break;
      free_capacity += FromWire(attempt->work.size());
      victims.push_back(attempt);
    }
    if (!item.size.FitsIn(free_capacity)) continue;
    if (chosen && victims.size() >= best.size()) continue;
    best = victims;
    chosen = worker;
  }
  if (!chosen) return false;
  state_->ledger.Reserve(*chosen, PlacementGroup(item));
  reservations_.push_back({*chosen, item.id, now});
  for (AttemptInfo* const victim : best) {
    state_->metrics->Count("quetzal_preemptions_total");
    StopAttempt(state_, victim, true, now);
  }
  return true;
}

Resources Placement::DemandOf(const WorkQueue::Bucket& bucket) const {
  const std::list<WorkId>& queued = state_->queue.Waiting(bucket);
  Resources sample;
  int64_t examined = 0;
  for (const WorkId& id : queued) {
    if (examined == kLookAhead) break;
    ++examined;
    const WorkItem* const item = state_->FindWork(id);
    const bool gang = item->lane == Lane::kGang && item->job;
    sample += item->size * (gang ? gangs_->TaskCount(*item->job) : 1);
  }
  if (examined == 0) return sample;
  // Extrapolate from the items at the front of the queue.
  const auto total = static_cast<int64_t>(queued.size());
  return sample * ((total + examined - 1) / examined);
}

void Placement::UpdateDemand() {
  for (const TeamRecord* const team : state_->records->Teams()) {
    Resources waiting;
    for (const Lane lane : kLanes) waiting += DemandOf({lane, team->name});
    state_->allotments.SetDemand(team->name, state_->ledger.UsedBy(team->name),
                                 waiting);
  }
}

}  // namespace quetzal::placer_internal
