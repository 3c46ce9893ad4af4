#include "quetzal/allotment/allotment.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

constexpr Milliseconds kMinWriteInterval{2'000};
// Divides a domain's equal part: a domain always retains this fraction of it,
// so that it can start work at once when it is partitioned from the platform.
constexpr int64_t kRetainedDivisor = 4;
// Divides a domain's use: this fraction of it is retained above that use when
// other domains want more.
constexpr int64_t kHeadroomDivisor = 4;

Resources ClampToZero(const Resources& amounts) {
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
  if (state.reduced_limit && OwnStored(state).FitsIn(*state.reduced_limit)) {
    state.reduced_limit.reset();
  }
}

void AllotmentManager::OnMissing(const TeamId& team) {
  TeamState& state = teams_[team];
  if (!state.stored) state.missing = true;
}

Resources AllotmentManager::EqualPart(const FailureDomainId& domain,
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
  return state.reduced_limit ? Min(own, *state.reduced_limit) : own;
}

void AllotmentManager::SetDemand(const TeamId& team, const Resources& used,
                                 const Resources& waiting) {
  TeamState& state = teams_[team];
  state.used = used;
  state.waiting = waiting;
}

bool AllotmentManager::OtherDomainsWantMore(const TeamState& state) const {
  return std::any_of(state.stored->domains().begin(),
                     state.stored->domains().end(), [&](const auto& entry) {
                       return entry.first != self_.text() &&
                              !FromWire(entry.second.wanted()).IsZero();
                     });
}

std::optional<wire::TeamAllotment> AllotmentManager::ProposeValue(
    TeamState* state, const Resources& limit) const {
  wire::TeamAllotment value;
  if (!state->stored) {
    if (!state->missing) return std::nullopt;
    for (const FailureDomainId& domain : domains_) {
      *(*value.mutable_domains())[domain.text()].mutable_amount() =
          ToWire(EqualPart(domain, limit));
    }
    return value;
  }
  value = *state->stored;
  auto& entry = (*value.mutable_domains())[self_.text()];
  const Resources own = FromWire(entry.amount());
  const Resources part = EqualPart(self_, limit);
  const Resources demand = state->used + state->waiting;
  const Resources unclaimed = ClampToZero(limit - SumOf(value));
  Resources target =
      state->reduced_limit ? Min(own, *state->reduced_limit) : own;
  const Resources desired =
      policy_ == DivisionPolicy::kDemand ? Max(demand, part) : part;
  if (OtherDomainsWantMore(*state) && policy_ == DivisionPolicy::kDemand) {
    const Resources retained =
        Max(Divide(part, kRetainedDivisor),
            demand + Divide(state->used, kHeadroomDivisor));
    const Resources lowered = Min(target, retained);
    if (!(lowered == target)) {
      state->reduced_limit = lowered;
      target = lowered;
    }
    target += Min(unclaimed, ClampToZero(demand - target));
  } else if (!state->reduced_limit) {
    target += Min(unclaimed, ClampToZero(desired - target));
  }
  const Resources wanted = policy_ == DivisionPolicy::kDemand
                               ? ClampToZero(Min(demand, limit) - target)
                               : Resources();
  // Other domains need only know whether more is wanted: writing each change of
  // the amount would cost the platform a write for each change of a queue.
  const bool is_wanted_unchanged =
      wanted.IsZero() == FromWire(entry.wanted()).IsZero();
  if (target == own && is_wanted_unchanged) return std::nullopt;
  *entry.mutable_amount() = ToWire(target);
  *entry.mutable_wanted() = ToWire(wanted);
  return value;
}

std::optional<AllotmentWrite> AllotmentManager::NextWrite(
    const TeamId& team, const Resources& limit, Time now) {
  TeamState& state = teams_[team];
  if (state.write_in_flight) return std::nullopt;
  if (state.last_write && now - *state.last_write < kMinWriteInterval) {
    return std::nullopt;
  }
  const std::optional<wire::TeamAllotment> value = ProposeValue(&state, limit);
  if (!value) return std::nullopt;
  state.write_in_flight = true;
  state.last_write = now;
  state.written = *value;
  return AllotmentWrite{
      .team = team, .value = *value, .expected = state.revision};
}

void AllotmentManager::OnWritten(const TeamId& team,
                                 std::optional<Revision> revision) {
  TeamState& state = teams_[team];
  state.write_in_flight = false;
  if (revision) OnStored(team, state.written, *revision);
}

void AllotmentManager::AbandonPendingWrites() {
  for (auto& [team, state] : teams_) state.write_in_flight = false;
}

}  // namespace quetzal
