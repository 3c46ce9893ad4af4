#include "quetzal/allotment/allotment.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

constexpr Milliseconds kBetweenWrites{2'000};
// A domain keeps this part of an equal division, so that it can serve at once
// when it is cut off: one part in so many.
constexpr int64_t kKeptDivisor = 4;
// Room kept above what is in use when giving, as a part of that use.
constexpr int64_t kHeadroomDivisor = 4;

Resources AtLeastZero(const Resources& amounts) {
  return Max(amounts, Resources());
}

Resources Divide(const Resources& amounts, int64_t divisor) {
  return {.cpu_milli = amounts.cpu_milli / divisor,
          .memory_mib = amounts.memory_mib / divisor,
          .accelerators = amounts.accelerators / divisor,
          .slots = amounts.slots / divisor};
}

Resources SumOf(const wire::TeamAllotment& value) {
  Resources sum;
  for (const auto& [domain, entry] : value.domains()) {
    sum += FromWire(entry.amount());
  }
  return sum;
}

int64_t Scale(int64_t part, int64_t sum, int64_t limit) {
  return sum <= limit || sum == 0 ? part : part * limit / sum;
}

Resources Scale(const Resources& part, const Resources& sum,
                const Resources& limit) {
  return {
      .cpu_milli = Scale(part.cpu_milli, sum.cpu_milli, limit.cpu_milli),
      .memory_mib = Scale(part.memory_mib, sum.memory_mib, limit.memory_mib),
      .accelerators =
          Scale(part.accelerators, sum.accelerators, limit.accelerators),
      .slots = Scale(part.slots, sum.slots, limit.slots)};
}

}  // namespace

AllotmentManager::AllotmentManager(FailureDomainId self,
                                   std::vector<FailureDomainId> domains,
                                   DivisionPolicy policy)
    : self_(std::move(self)), domains_(std::move(domains)), policy_(policy) {
  std::sort(domains_.begin(), domains_.end());
}

void AllotmentManager::OnStored(const TeamId& team,
                                const wire::TeamAllotment& value,
                                Revision revision) {
  TeamState& state = teams_[team];
  if (state.stored && revision <= state.revision) return;
  state.stored = value;
  state.revision = revision;
  state.missing = false;
  if (state.pledged && OwnStored(state).FitsIn(*state.pledged)) {
    state.pledged.reset();
  }
}

void AllotmentManager::OnMissing(const TeamId& team) {
  TeamState& state = teams_[team];
  if (!state.stored) state.missing = true;
}

Resources AllotmentManager::StaticPart(const FailureDomainId& domain,
                                       const Resources& limit) const {
  const auto count = static_cast<int64_t>(domains_.size());
  const auto found = std::find(domains_.begin(), domains_.end(), domain);
  if (found == domains_.end()) return {};
  const int64_t rank = found - domains_.begin();
  const auto part = [&](int64_t total) {
    return total / count + (rank < total % count ? 1 : 0);
  };
  return {.cpu_milli = part(limit.cpu_milli),
          .memory_mib = part(limit.memory_mib),
          .accelerators = part(limit.accelerators),
          .slots = part(limit.slots)};
}

Resources AllotmentManager::OwnStored(const TeamState& state) const {
  if (!state.stored) return {};
  const auto found = state.stored->domains().find(self_.text());
  if (found == state.stored->domains().end()) return {};
  return FromWire(found->second.amount());
}

Resources AllotmentManager::DomainLimit(const TeamId& team,
                                        const Resources& limit) const {
  const auto found = teams_.find(team);
  if (found == teams_.end() || !found->second.stored) return {};
  const TeamState& state = found->second;
  const Resources own = Scale(OwnStored(state), SumOf(*state.stored), limit);
  return state.pledged ? Min(own, *state.pledged) : own;
}

void AllotmentManager::SetDemand(const TeamId& team, const Resources& used,
                                 const Resources& waiting) {
  TeamState& state = teams_[team];
  state.used = used;
  state.waiting = waiting;
}

bool AllotmentManager::OthersWant(const TeamState& state) const {
  return std::any_of(state.stored->domains().begin(),
                     state.stored->domains().end(), [&](const auto& entry) {
                       return entry.first != self_.text() &&
                              !FromWire(entry.second.wanted()).IsZero();
                     });
}

std::optional<wire::TeamAllotment> AllotmentManager::Propose(
    TeamState* state, const Resources& limit) const {
  wire::TeamAllotment value;
  if (!state->stored) {
    if (!state->missing) return std::nullopt;
    for (const FailureDomainId& domain : domains_) {
      *(*value.mutable_domains())[domain.text()].mutable_amount() =
          ToWire(StaticPart(domain, limit));
    }
    return value;
  }
  value = *state->stored;
  auto& entry = (*value.mutable_domains())[self_.text()];
  const Resources own = FromWire(entry.amount());
  const Resources part = StaticPart(self_, limit);
  const Resources demand = state->used + state->waiting;
  const Resources unclaimed = AtLeastZero(limit - SumOf(value));
  Resources target = state->pledged ? Min(own, *state->pledged) : own;
  const Resources goal =
      policy_ == DivisionPolicy::kDemand ? Max(demand, part) : part;
  if (OthersWant(*state) && policy_ == DivisionPolicy::kDemand) {
    const Resources kept = Max(Divide(part, kKeptDivisor),
                               demand + Divide(state->used, kHeadroomDivisor));
    const Resources lowered = Min(target, kept);
    if (!(lowered == target)) {
      state->pledged = lowered;
      target = lowered;
    }
    target += Min(unclaimed, AtLeastZero(demand - target));
  } else if (!state->pledged) {
    target += Min(unclaimed, AtLeastZero(goal - target));
  }
  const Resources wanted = policy_ == DivisionPolicy::kDemand
                               ? AtLeastZero(Min(demand, limit) - target)
                               : Resources();
  // Only whether more is wanted matters to the others: writing each change of
  // the amount would cost the platform a write for each change of a queue.
  const bool same_wish = wanted.IsZero() == FromWire(entry.wanted()).IsZero();
  if (target == own && same_wish) return std::nullopt;
  *entry.mutable_amount() = ToWire(target);
  *entry.mutable_wanted() = ToWire(wanted);
  return value;
}

std::optional<AllotmentWrite> AllotmentManager::NextWrite(
    const TeamId& team, const Resources& limit, Time now) {
  TeamState& state = teams_[team];
  if (state.awaiting) return std::nullopt;
  if (state.last_write && now - *state.last_write < kBetweenWrites) {
    return std::nullopt;
  }
  const std::optional<wire::TeamAllotment> value = Propose(&state, limit);
  if (!value) return std::nullopt;
  state.awaiting = true;
  state.last_write = now;
  state.written = *value;
  return AllotmentWrite{
      .team = team, .value = *value, .expected = state.revision};
}

void AllotmentManager::OnWritten(const TeamId& team,
                                 std::optional<Revision> revision) {
  TeamState& state = teams_[team];
  state.awaiting = false;
  if (revision) OnStored(team, state.written, *revision);
}

void AllotmentManager::AbandonPendingWrites() {
  for (auto& [team, state] : teams_) state.awaiting = false;
}

}  // namespace quetzal
