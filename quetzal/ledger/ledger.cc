#include "quetzal/ledger/ledger.h"

#include <algorithm>
#include <limits>

namespace quetzal {
namespace {

// Puts workers that are set aside behind every other one.
constexpr double kAsidePenalty = 1e6;
// Weight of one more task of the same group in a rack.
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

void Ledger::SetWorker(const WorkerFacts& facts) {
  Slot* slot = Find(facts.id);
  if (slot == nullptr) {
    index_[facts.id] = slots_.size();
    slot = &slots_.emplace_back();
    slot->present = true;
  } else {
    total_ -= slot->facts.capacity;
  }
  slot->facts = facts;
  slot->rack = RackIndex(facts.rack);
  total_ += facts.capacity;
  Refresh(slot);
}

void Ledger::RemoveWorker(const WorkerId& worker) {
  const auto found = index_.find(worker);
  if (found == index_.end()) return;
  const size_t hole = found->second;
  total_ -= slots_[hole].facts.capacity;
  index_.erase(found);
  if (hole + 1 < slots_.size()) {
    slots_[hole] = std::move(slots_.back());
    index_[slots_[hole].facts.id] = hole;
  }
  slots_.pop_back();
}

void Ledger::SetOpen(const WorkerId& worker, bool open) {
  if (Slot* const slot = Find(worker)) slot->open = open;
}

void Ledger::SetLeaving(const WorkerId& worker) {
  if (Slot* const slot = Find(worker)) slot->facts.leaving = true;
}

void Ledger::SetAside(const WorkerId& worker, bool aside) {
  if (Slot* const slot = Find(worker)) slot->aside = aside;
}

void Ledger::SetUsage(const WorkerId& worker, const Resources& in_use) {
  Slot* const slot = Find(worker);
  if (slot == nullptr) return;
  slot->overuse = Max(in_use - slot->charged, Resources());
  Refresh(slot);
}

void Ledger::Reserve(const WorkerId& worker, const std::string& group) {
  if (Slot* const slot = Find(worker)) slot->reserved_for = group;
}

void Ledger::Hold(const WorkerId& worker, const std::string& group,
                  const Resources& size) {
  if (Slot* const slot = Find(worker)) slot->held[group] += size;
}

void Ledger::Unhold(const WorkerId& worker, const std::string& group) {
  if (Slot* const slot = Find(worker)) slot->held.erase(group);
}

Resources Ledger::RoomFor(const Slot& slot, const std::string& group) {
  Resources room = slot.free;
  for (const auto& [holder, size] : slot.held) {
    if (holder != group) room -= size;
  }
  return room;
}

void Ledger::Refresh(Slot* slot) {
  slot->free = slot->facts.capacity - slot->charged - slot->overuse;
}

void Ledger::Charge(const AttemptId& attempt, const ChargedAttempt& charge) {
  if (!charges_.emplace(attempt, charge).second) return;
  usage_[charge.team] += charge.size;
  Slot* const slot = Find(charge.worker);
  if (slot == nullptr) return;
  slot->charged += charge.size;
  ++slot->attempts;
  Refresh(slot);
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
  Refresh(slot);
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

double Ledger::Score(const Slot& slot, const Resources& room,
                     const PlacementQuery& query,
                     const std::vector<int>* group_racks) const {
  if (query.policy == PlacementPolicy::kFirstFit) return 0;
  const Resources left = room - query.size;
  const double part = left.DominantShare(slot.facts.capacity);
  double score = query.policy == PlacementPolicy::kPackTight ? part : -part;
  if (query.policy == PlacementPolicy::kSpreadRacks && group_racks != nullptr &&
      slot.rack < group_racks->size()) {
    score += kRackPenalty * (*group_racks)[slot.rack];
  }
  return slot.aside ? score + kAsidePenalty : score;
}

std::optional<WorkerId> Ledger::Pick(const PlacementQuery& query) const {
  const auto group = racks_of_group_.find(query.group);
  const std::vector<int>* const racks =
      group == racks_of_group_.end() ? nullptr : &group->second;
  const Slot* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const Slot& slot : slots_) {
    if (!slot.open || slot.facts.leaving) continue;
    const Resources room = RoomFor(slot, query.group);
    if (!query.size.FitsIn(room)) continue;
    if (!slot.reserved_for.empty() && slot.reserved_for != query.group) {
      continue;
    }
    const double score = Score(slot, room, query, racks);
    if (score >= best_score) continue;
    best = &slot;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->facts.id;
}

std::optional<WorkerId> Ledger::NearestRoom(const Resources& size) const {
  const Slot* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (const Slot& slot : slots_) {
    if (!slot.open || slot.facts.leaving || !slot.reserved_for.empty()) {
      continue;
    }
    const Resources room = RoomFor(slot, "");
    const Resources held = slot.free - room;
    if (!(held + size).FitsIn(slot.facts.capacity)) continue;
    const Resources missing = Max(size - room, Resources());
    const double part = missing.DominantShare(slot.facts.capacity);
    if (part >= least) continue;
    best = &slot;
    least = part;
  }
  if (best == nullptr) return std::nullopt;
  return best->facts.id;
}

bool Ledger::EverFits(const Resources& size) const {
  return std::any_of(slots_.begin(), slots_.end(), [&](const Slot& slot) {
    return size.FitsIn(slot.facts.capacity);
  });
}

Resources Ledger::LargestWorker() const {
  Resources largest;
  for (const Slot& slot : slots_) largest = Max(largest, slot.facts.capacity);
  return largest;
}

const WorkerFacts* Ledger::Facts(const WorkerId& worker) const {
  const Slot* const slot = Find(worker);
  return slot == nullptr ? nullptr : &slot->facts;
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
