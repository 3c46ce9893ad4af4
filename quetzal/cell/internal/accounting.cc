#include "quetzal/cell/internal/accounting.h"

#include <algorithm>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {

void LoadRoster(State* state, const std::optional<RosterEntries>& entries,
                Time now) {
  state->roster.Load(entries.value_or(RosterEntries{}));
  state->roster_changed = true;
  if (!entries) {
    state->is_former_roster_known = false;
    for (auto& [id, worker] : state->workers) worker.in_former_roster = true;
    return;
  }
  for (const auto& [id, entry] : *entries) {
    const bool is_new = state->FindWorker(id) == nullptr;
    Worker& worker = *state->FindOrAddWorker(id);
    if (is_new) {
      worker.entry.address = entry.address;
      worker.entry.capacity = entry.capacity;
      worker.unlisted_since = now;
    }
    worker.in_former_roster = true;
    worker.answered_at = entry.address;
    worker.in_roster = true;
  }
}

namespace {

// True if the next placer has to account for the worker. One that this placer
// never reached holds no leases, unless it may hold those of a former placer.
bool MayHoldLeases(const Worker& worker) {
  return MayHaveUnknownRuns(worker) ||
         (worker.reached && !worker.known_empty) || !worker.runs.empty() ||
         !worker.unacked.empty();
}

}  // namespace

std::optional<std::string> TakeRosterWrite(State* state, Time now) {
  if (!state->recovered || !state->roster_changed ||
      !state->roster.CanWrite(now)) {
    return std::nullopt;
  }
  state->roster_changed = false;
  RosterEntries wanted;
  for (const auto& [id, worker] : state->workers) {
    if (!MayHoldLeases(worker)) continue;
    wanted[id] = {
        worker.answered_at.empty() ? worker.entry.address : worker.answered_at,
        worker.entry.capacity};
  }
  auto text = state->roster.BeginWrite(wanted, now);
  if (text) {
    for (auto& [id, worker] : state->workers) {
      worker.in_roster = state->roster.Contains(id, worker.answered_at);
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
    worker.in_roster = state->roster.Contains(id, worker.answered_at);
  }
}

bool MayHaveUnknownRuns(const Worker& worker) {
  return worker.in_former_roster && !worker.reached && !worker.known_empty;
}

void ExpireLeases(State* state, Time now) {
  const Milliseconds lease = MaxLeaseLifetime(*state);
  // Two placers can't both have a majority, so a former one sent its last
  // orders before its confirmations of the time of this majority ended. It may
  // have extended leases of any worker of its roster, listed or not.
  const bool expired = state->had_majority && now - state->majority_since >
                                                  lease + kConfirmationLifetime;
  bool all_accounted = state->recovered && state->workers_listed;
  for (auto& [id, worker] : state->workers) {
    if (worker.reached || worker.known_empty) {
      if (!worker.runs.empty() && now - worker.lease_extended_at > lease) {
        EndAllRuns(state, &worker, "lease lapsed", now);
      }
      continue;
    }
    if (expired && state->workers_listed) {
      worker.known_empty = true;
      state->roster_changed = true;
      state->log->ImportantLine(
          "worker_gone",
          {{"worker", id.text()},
           {"why", worker.listed ? "doesn't answer" : "left the list"}});
    } else if (MayHaveUnknownRuns(worker)) {
      all_accounted = false;
    }
  }
  if (state->all_workers_accounted || (!all_accounted && !expired)) return;
  if (!state->recovered) return;
  state->all_workers_accounted = true;
  state->log->ImportantLine(
      "all_workers_accounted",
      {{"after_ms", (now - state->term_started_at).count()},
       {"how", all_accounted ? "reached" : "lapsed"}});
}

namespace {

// Until all workers are accounted for, those that a former placer may have used
// count: a majority of them can't obey both placers. Later those that answered
// count, reachable or not, but no entries of others.
bool CountsForMajority(const State& state, const Worker& worker) {
  return state.all_workers_accounted ? !worker.answered_at.empty()
                                     : worker.in_former_roster;
}

}  // namespace

bool HasMajority(const State& state, Milliseconds age, Time now) {
  size_t listed = 0;
  size_t confirmed = 0;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed || !CountsForMajority(state, worker)) continue;
    ++listed;
    if (worker.reached && now - worker.confirmed_at < age) ++confirmed;
  }
  return listed > 0 && confirmed * 2 > listed;
}

}  // namespace quetzal::cell
