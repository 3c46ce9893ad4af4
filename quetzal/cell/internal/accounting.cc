#include "quetzal/cell/internal/accounting.h"

#include <algorithm>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {
namespace {

// The platform removes a worker from its list after three missed heartbeats, so
// at least two intervals have passed since the last one arrived. It is
// assumed that no placer has extended the worker's leases since then.
constexpr int kMinMissedHeartbeats = 2;
// Entries that expired during an outage of the store are back this soon after
// its return, if their workers are alive (the platform's specification).
constexpr Milliseconds kMaxEntryReturnTime{2'000};

// True if the worker has been missing from the list for so long that it is
// gone, or at least all its leases have expired.
bool IsConsideredGone(const State& state, const Worker& worker, Time now) {
  if (worker.listed || !state.workers_listed) return false;
  const Time since = std::max(worker.unlisted_since, state.workers_listed_at);
  const Milliseconds expiry =
      MaxLeaseLifetime(state) -
      state.settings.worker_heartbeat_interval * kMinMissedHeartbeats;
  return now - since > std::max(expiry, kMaxEntryReturnTime);
}

}  // namespace

void LoadRoster(State* state, const RosterEntries& entries, Time now) {
  state->roster.Load(entries);
  state->roster_changed = true;
  for (const auto& [id, entry] : entries) {
    const bool is_new = state->FindWorker(id) == nullptr;
    Worker& worker = *state->FindOrAddWorker(id);
    if (is_new) {
      worker.entry.address = entry.address;
      worker.entry.capacity = entry.capacity;
      worker.unlisted_since = now;
    }
    worker.in_former_roster = true;
    worker.in_roster = entry.address == worker.entry.address;
  }
}

std::optional<std::string> TakeRosterWrite(State* state, Time now) {
  if (!state->recovered || !state->roster_changed ||
      !state->roster.CanWrite(now)) {
    return std::nullopt;
  }
  state->roster_changed = false;
  RosterEntries wanted;
  for (const auto& [id, worker] : state->workers) {
    wanted[id] = {worker.entry.address, worker.entry.capacity};
  }
  auto text = state->roster.BeginWrite(wanted, now);
  if (text) {
    for (auto& [id, worker] : state->workers) {
      worker.in_roster = state->roster.Contains(id, worker.entry.address);
    }
  }
  return text;
}

void ApplyRosterWriteResult(State* state, bool stored) {
  if (!stored) {
    state->roster.OnStoreFailed();
    state->roster_changed = true;
    return;
  }
  state->roster.OnStored();
  for (auto& [id, worker] : state->workers) {
    worker.in_roster = state->roster.Contains(id, worker.entry.address);
  }
}

bool MayHaveUnknownRuns(const Worker& worker) {
  return (worker.listed || worker.in_former_roster) && !worker.reached &&
         !worker.known_empty;
}

void ExpireLeases(State* state, Time now) {
  const Milliseconds lease = MaxLeaseLifetime(*state);
  bool all_accounted = state->recovered && state->workers_listed;
  for (auto& [id, worker] : state->workers) {
    if (worker.reached || worker.known_empty) {
      if (!worker.runs.empty() && now - worker.lease_extended_at > lease) {
        EndAllRuns(state, &worker, "lease lapsed", now);
      }
      continue;
    }
    if (IsConsideredGone(*state, worker, now)) {
      worker.known_empty = true;
      state->log->ImportantLine(
          "worker_gone", {{"worker", id.text()}, {"why", "left the list"}});
    } else if (MayHaveUnknownRuns(worker)) {
      all_accounted = false;
    }
  }
  // A former placer may have extended leases until the last answers of a
  // majority no longer confirmed it.
  const bool expired = state->had_majority && now - state->majority_since >
                                                  lease + kConfirmationLifetime;
  if (state->all_workers_accounted || (!all_accounted && !expired)) return;
  if (!state->recovered) return;
  state->all_workers_accounted = true;
  state->log->ImportantLine(
      "all_workers_accounted",
      {{"after_ms", (now - state->term_started_at).count()},
       {"how", all_accounted ? "reached" : "lapsed"}});
}

bool HasMajority(const State& state, Milliseconds age, Time now) {
  size_t listed = 0;
  size_t confirmed = 0;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed) continue;
    ++listed;
    if (worker.reached && now - worker.confirmed_at < age) ++confirmed;
  }
  return listed > 0 && confirmed * 2 > listed;
}

}  // namespace quetzal::cell
