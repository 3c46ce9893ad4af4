#include "quetzal/ledger/ledger.h"

#include <algorithm>
#include <limits>

namespace quetzal {
namespace {

// Large enough to rank avoided workers behind all others.
constexpr double kAvoidedPenalty = 1e6;
// Added for each attempt of the same group in a rack.
constexpr double kRackPenalty = 1e3;

}  // namespace

size_t Ledger::RackIndex(const RackId& rack) {
  return racks_.try_emplace(rack, racks_.size()).first->second;
}

Ledger::Slot* Ledger::Find(const WorkerId& worker) {
  const auto found = index_.find(worker);
  return found == index_.end() ? nullptr : &slots_[found->second];
}

const Ledger::Slot* Ledger::Find(const WorkerId& worker) const {
  const auto found = index_.find(worker);
  return found == index_.end() ? nullptr : &slots_[found->second];
}

void Ledger::SetWorker(const WorkerInfo& info) {
  Slot* slot = Find(info.id);
  if (slot == nullptr) {
    index_[info.id] = slots_.size();
    slot = &slots_.emplace_back();
    slot->present = true;
  } else {
    total_ -= slot->info.capacity;
  }
  slot->info = info;
  slot->rack = RackIndex(info.rack);
  total_ += info.capacity;
  RecomputeFree(slot);
}

void Ledger::RemoveWorker(const WorkerId& worker) {
  const auto found = index_.find(worker);
  if (found == index_.end()) return;
  const size_t position = found->second;
  total_ -= slots_[position].info.capacity;
  index_.erase(found);
  if (position + 1 < slots_.size()) {
    slots_[position] = std::move(slots_.back());
    index_[slots_[position].info.id] = position;
  }
  slots_.pop_back();
}

void Ledger::SetOpen(const WorkerId& worker, bool open) {
  if (Slot* const slot = Find(worker)) slot->open = open;
}

void Ledger::MarkLeaving(const WorkerId& worker) {
  if (Slot* const slot = Find(worker)) slot->info.leaving = true;
}

void Ledger::SetAvoided(const WorkerId& worker, bool avoided) {
  if (Slot* const slot = Find(worker)) slot->avoided = avoided;
}

void Ledger::SetUsage(const WorkerId& worker, const Resources& in_use) {
  Slot* const slot = Find(worker);
  if (slot == nullptr) return;
  slot->overuse = Max(in_use - slot->charged, Resources());
  RecomputeFree(slot);
}

void Ledger::Reserve(const WorkerId& worker, const std::string& group) {
  if (Slot* const slot = Find(worker)) slot->reserved_for = group;
}

void Ledger::ReserveCapacity(const WorkerId& worker, const std::string& group,
                             const Resources& size) {
  if (Slot* const slot = Find(worker)) slot->reserved[group] += size;
}

void Ledger::ReleaseCapacity(const WorkerId& worker, const std::string& group) {
  if (Slot* const slot = Find(worker)) slot->reserved.erase(group);
}

Resources Ledger::AvailableTo(const Slot& slot, const std::string& group) {
  Resources available = slot.free;
  for (const auto& [owner, size] : slot.reserved) {
    if (owner != group) available -= size;
  }
  return available;
}

void Ledger::RecomputeFree(Slot* slot) {
  slot->free = slot->info.capacity - slot->charged - slot->overuse;
}

void Ledger::Charge(const AttemptId& attempt, const ChargedAttempt& charge) {
  if (!charges_.emplace(attempt, charge).second) return;
  usage_[charge.team] += charge.size;
  Slot* const slot = Find(charge.worker);
  if (slot == nullptr) return;
  slot->charged += charge.size;
  ++slot->attempts;
  RecomputeFree(slot);
  if (charge.group.empty()) return;
  auto& racks = racks_of_group_[charge.group];
  if (racks.size() <= slot->rack) racks.resize(racks_.size());
  ++racks[slot->rack];
}

void Ledger::Release(const AttemptId& attempt) {
  const auto found = charges_.find(attempt);
  if (found == charges_.end()) return;
  const ChargedAttempt charge = found->second;
  charges_.erase(found);
  const auto usage = usage_.find(charge.team);
  usage->second -= charge.size;
  if (usage->second.IsZero()) usage_.erase(usage);
  Slot* const slot = Find(charge.worker);
  if (slot == nullptr) return;
  slot->charged -= charge.size;
  --slot->attempts;
  RecomputeFree(slot);
  const auto group = racks_of_group_.find(charge.group);
  if (group == racks_of_group_.end()) return;
  auto& racks = group->second;
  if (slot->rack < racks.size() && racks[slot->rack] > 0) --racks[slot->rack];
  const bool none = std::all_of(racks.begin(), racks.end(),
                                [](int count) { return count == 0; });
  if (none) racks_of_group_.erase(group);
}

const ChargedAttempt* Ledger::Find(const AttemptId& attempt) const {
  const auto found = charges_.find(attempt);
  return found == charges_.end() ? nullptr : &found->second;
}

std::vector<AttemptId> Ledger::AttemptsOn(const WorkerId& worker) const {
  std::vector<AttemptId> attempts;
  for (const auto& [attempt, charge] : charges_) {
    if (charge.worker == worker) attempts.push_back(attempt);
  }
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

size_t Ledger::AttemptCount(const WorkerId& worker) const {
  const Slot* const slot = Find(worker);
  return slot == nullptr ? 0 : slot->attempts;
}

double Ledger::Score(const Slot& slot, const Resources& available,
                     const PlacementQuery& query,
                     const std::vector<int>* group_racks) const {
  if (query.policy == PlacementPolicy::kFirstFit) return 0;
  const Resources left = available - query.size;
  const double left_share = left.DominantShare(slot.info.capacity);
  double score =
      query.policy == PlacementPolicy::kPackTight ? left_share : -left_share;
  if (query.policy == PlacementPolicy::kSpreadRacks && group_racks != nullptr &&
      slot.rack < group_racks->size()) {
    score += kRackPenalty * (*group_racks)[slot.rack];
  }
  return slot.avoided ? score + kAvoidedPenalty : score;
}

std::optional<WorkerId> Ledger::Pick(const PlacementQuery& query) const {
  const auto group = racks_of_group_.find(query.group);
  const std::vector<int>* const racks =
      group == racks_of_group_.end() ? nullptr : &group->second;
  const Slot* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const Slot& slot : slots_) {
    if (!slot.open || slot.info.leaving) continue;
    const Resources available = AvailableTo(slot, query.group);
    if (!query.size.FitsIn(available)) continue;
    if (!slot.reserved_for.empty() && slot.reserved_for != query.group) {
      continue;
    }
    const double score = Score(slot, available, query, racks);
    if (score >= best_score) continue;
    best = &slot;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->info.id;
}

std::optional<WorkerId> Ledger::PickNearestFit(const Resources& size) const {
  const Slot* best = nullptr;
  double min_share = std::numeric_limits<double>::max();
  for (const Slot& slot : slots_) {
    if (!slot.open || slot.info.leaving || !slot.reserved_for.empty()) {
      continue;
    }
    const Resources available = AvailableTo(slot, "");
    const Resources reserved = slot.free - available;
    if (!(reserved + size).FitsIn(slot.info.capacity)) continue;
    const Resources missing = Max(size - available, Resources());
    const double missing_share = missing.DominantShare(slot.info.capacity);
    if (missing_share >= min_share) continue;
    best = &slot;
    min_share = missing_share;
  }
  if (best == nullptr) return std::nullopt;
  return best->info.id;
}

bool Ledger::FitsSomeWorker(const Resources& size) const {
  return std::any_of(slots_.begin(), slots_.end(), [&](const Slot& slot) {
    return size.FitsIn(slot.info.capacity);
  });
}

Resources Ledger::LargestWorker() const {
  Resources largest;
  for (const Slot& slot : slots_) largest = Max(largest, slot.info.capacity);
  return largest;
}

const WorkerInfo* Ledger::FindWorker(const WorkerId& worker) const {
  const Slot* const slot = Find(worker);
  return slot == nullptr ? nullptr : &slot->info;
}

Resources Ledger::Free(const WorkerId& worker) const {
  const Slot* const slot = Find(worker);
  return slot == nullptr ? Resources() : slot->free;
}

Resources Ledger::Charged(const WorkerId& worker) const {
  const Slot* const slot = Find(worker);
  return slot == nullptr ? Resources() : slot->charged;
}

Resources Ledger::UsedBy(const TeamId& team) const {
  const auto found = usage_.find(team);
  return found == usage_.end() ? Resources() : found->second;
}

Resources Ledger::TotalCharged() const {
  Resources sum;
  for (const auto& [team, used] : usage_) sum += used;
  return sum;
}

}  // namespace quetzal
