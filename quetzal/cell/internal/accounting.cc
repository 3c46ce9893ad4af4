#include "quetzal/cell/internal/accounting.h"

#include <algorithm>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {
namespace {

// A worker leaves the list after three beats of silence, so at least two have
// passed since it was last heard, and no placer reached it later than that.
constexpr int kBeatsOfSilence = 2;
// Entries that lapsed with the store are back this soon after its return, if
// their workers live: the users' second letter.
constexpr Milliseconds kEntriesAreBackWithin{2'000};

// True if the list has lacked the worker for so long that it is gone, or at
// least holds no lease any more.
bool IsMissingForGood(const State& state, const Worker& worker, Time now) {
  if (worker.listed || !state.workers_listed) return false;
  const Time since = std::max(worker.unlisted_since, state.workers_listed_at);
  const Milliseconds lapse =
      LongestLease(state) -
      state.settings.worker_heartbeat_interval * kBeatsOfSilence;
  return now - since > std::max(lapse, kEntriesAreBackWithin);
}

}  // namespace

void LearnRoster(State* state, const RosterEntries& entries, Time now) {
  state->roster.Load(entries);
  state->roster_changed = true;
  for (const auto& [id, entry] : entries) {
    const bool is_new = state->FindWorker(id) == nullptr;
    Worker& worker = *state->EnsureWorker(id);
    if (is_new) {
      worker.entry.address = entry.address;
      worker.entry.capacity = entry.capacity;
      worker.unlisted_since = now;
    }
    worker.was_covered = true;
    worker.covered = entry.address == worker.entry.address;
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
      worker.covered = state->roster.Contains(id, worker.entry.address);
    }
  }
  return text;
}

void ApplyRosterWritten(State* state, bool stored) {
  if (!stored) {
    state->roster.OnStoreFailed();
    state->roster_changed = true;
    return;
  }
  state->roster.OnStored();
  for (auto& [id, worker] : state->workers) {
    worker.covered = state->roster.Contains(id, worker.entry.address);
  }
}

bool MayRunUnseen(const Worker& worker) {
  return (worker.listed || worker.was_covered) && !worker.reached &&
         !worker.known_gone;
}

void CheckLapses(State* state, Time now) {
  const Milliseconds lease = LongestLease(*state);
  bool all_accounted = state->recovered && state->workers_listed;
  for (auto& [id, worker] : state->workers) {
    if (worker.reached || worker.known_gone) {
      if (!worker.runs.empty() && now - worker.lease_basis > lease) {
        EndAllRuns(state, &worker, "lease lapsed", now);
      }
      continue;
    }
    if (IsMissingForGood(*state, worker, now)) {
      worker.known_gone = true;
      state->log->Line("worker_gone",
                       {{"worker", id.text()}, {"why", "left the list"}});
    } else if (MayRunUnseen(worker)) {
      all_accounted = false;
    }
  }
  // A former placer may have gone on until a majority was lost to it.
  const bool lapsed = state->had_majority &&
                      now - state->majority_since > lease + kConfirmedWithin;
  if (state->accounted || (!all_accounted && !lapsed)) return;
  if (!state->recovered) return;
  state->accounted = true;
  state->log->Line("all_workers_accounted",
                   {{"after_ms", (now - state->term_began).count()},
                    {"how", all_accounted ? "reached" : "lapsed"}});
}

bool HoldsMajority(const State& state, Milliseconds age, Time now) {
  size_t listed = 0;
  size_t confirmed = 0;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed) continue;
    ++listed;
    if (worker.reached && now - worker.confirmed < age) ++confirmed;
  }
  return listed > 0 && confirmed * 2 > listed;
}

}  // namespace quetzal::cell
