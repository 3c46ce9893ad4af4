#include "quetzal/cell/internal/accounting.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {

namespace {

// Until all leases have ended that a placer extended which lost its lease of
// the leader key just now.
Milliseconds MaxTimeUntilLeasesEnd(const State& state) {
  return Stretch(kMaxTimeWithoutLease) + MaxLeaseLifetime(state.settings);
}

std::vector<WorkerId> WorkersOf(const RosterEntries& entries) {
  std::vector<WorkerId> ids;
  ids.reserve(entries.size());
  for (const auto& [id, entry] : entries) ids.push_back(id);
  return ids;
}

// The placer of the stored roster and the former placers that the roster names.
std::vector<FormerPlacerState> FormerPlacersOf(const State& state,
                                               const StoredRoster& roster) {
  const Milliseconds most = MaxTimeUntilLeasesEnd(state);
  std::vector<FormerPlacerState> placers;
  placers.push_back({.term = roster.term.value_or(0),
                     .workers = WorkersOf(roster.entries),
                     .leases_end_at = state.term_started_at + most});
  for (const FormerPlacer& placer : roster.former_placers) {
    const Milliseconds left =
        std::clamp(placer.leases_end_in, Milliseconds(0), most);
    placers.push_back({.term = placer.term,
                       .workers = placer.workers,
                       .leases_end_at = state.term_started_at + left});
  }
  return placers;
}

}  // namespace

void LoadRoster(State* state, const std::optional<StoredRoster>& roster,
                Time now) {
  const StoredRoster former = roster.value_or(StoredRoster{});
  state->roster.Load(former);
  state->roster_changed = true;
  state->former_placers = FormerPlacersOf(*state, former);
  if (!roster) {
    state->is_former_roster_known = false;
    for (auto& [id, worker] : state->workers) worker.in_former_roster = true;
    return;
  }
  if (former.term == state->roster.term() - 1) {
    state->former_fence = former.fence;
  }
  for (const auto& [id, entry] : state->roster.stored()) {
    const bool is_new = state->FindWorker(id) == nullptr;
    Worker& worker = *state->FindOrAddWorker(id);
    if (is_new) {
      worker.entry.address = entry.address;
      worker.entry.capacity = entry.capacity;
      worker.unlisted_since = now;
    }
    worker.in_former_roster = true;
    worker.former_runs = entry.runs;
    worker.former_incarnation = entry.incarnation;
    worker.probe_due = state->former_fence.has_value();
    worker.answered_at = entry.address;
    worker.in_roster = state->roster.IsOpen(id, entry.address);
  }
}

namespace {

// The next placer can't tell how long ago the former placers were written, so
// the time that their leases have left is written repeatedly.
constexpr Milliseconds kFormerPlacersWriteInterval{1'500};
// Bounds the size of the stored roster; more silent workers remain open.
constexpr size_t kMaxListedRuns = 4'000;

// True if the next placer has to account for the worker. One that this placer
// never reached holds no leases, unless it may hold those of a former placer.
bool MayHoldLeases(const Worker& worker) {
  return IsUnaccounted(worker) || (worker.reached && !worker.known_empty) ||
         !worker.runs.empty() || !worker.unacked.empty();
}

// True if all runs of the worker are known and it gets no others for now.
bool CanBeClosed(const Worker& worker) {
  return !MayHaveUnknownRuns(worker) &&
         (worker.entry.draining || worker.silent || !worker.reached);
}

// Includes runs whose ends may not be stored: a new placer learns of these ends
// from the worker only, and must not start their tasks before.
std::vector<RosterRun> RunsOf(const Worker& worker) {
  std::set<std::pair<TaskId, int64_t>> numbers;
  for (const UnacknowledgedEnd& end : worker.unacked) {
    numbers.emplace(end.run.task, end.run.number);
  }
  for (const auto& [task_id, run] : worker.runs) {
    numbers.emplace(task_id, run.number);
  }
  std::vector<RosterRun> runs;
  runs.reserve(numbers.size());
  for (const auto& [task_id, number] : numbers) {
    runs.push_back({task_id, number});
  }
  return runs;
}

// Whether each of `runs` is in `listed`.
bool AreListed(const std::vector<RosterRun>& runs,
               const std::vector<RosterRun>& listed) {
  return std::all_of(runs.begin(), runs.end(), [&](const RosterRun& run) {
    return std::find(listed.begin(), listed.end(), run) != listed.end();
  });
}

// The runs for the worker's entry; nothing if it is to be open. The stored ones
// are kept while no more than these may run, as each change costs a write.
std::optional<std::vector<RosterRun>> ListedRuns(const State& state,
                                                 const Worker& worker) {
  if (!CanBeClosed(worker)) return std::nullopt;
  std::vector<RosterRun> runs = RunsOf(worker);
  const auto stored = state.roster.stored().find(worker.entry.id);
  if (!runs.empty() && stored != state.roster.stored().end() &&
      stored->second.runs && AreListed(runs, *stored->second.runs)) {
    return stored->second.runs;
  }
  return runs;
}

// The former placers whose leases may not have ended.
std::vector<FormerPlacer> RemainingFormerPlacers(const State& state, Time now) {
  std::vector<FormerPlacer> placers;
  if (state.all_workers_accounted) return placers;
  for (const FormerPlacerState& placer : state.former_placers) {
    if (now > placer.leases_end_at) continue;
    placers.push_back({.term = placer.term,
                       .workers = placer.workers,
                       .leases_end_in = placer.leases_end_at - now});
  }
  return placers;
}

}  // namespace

std::optional<std::string> TakeRosterWrite(State* state, Time now) {
  const bool is_due =
      state->roster_changed || (!state->all_workers_accounted &&
                                now >= state->next_former_placers_write_at);
  if (!state->recovered || !is_due || !state->roster.CanWrite(now)) {
    return std::nullopt;
  }
  state->roster_changed = false;
  state->next_former_placers_write_at = now + kFormerPlacersWriteInterval;
  RosterEntries wanted;
  size_t listed_runs = 0;
  for (const auto& [id, worker] : state->workers) {
    if (!MayHoldLeases(worker)) continue;
    RosterEntry& entry = wanted[id];
    entry.address =
        worker.answered_at.empty() ? worker.entry.address : worker.answered_at;
    entry.capacity = worker.entry.capacity;
    entry.incarnation =
        worker.reached ? worker.incarnation : worker.former_incarnation;
    auto runs = ListedRuns(*state, worker);
    if (!runs || listed_runs + runs->size() > kMaxListedRuns) continue;
    listed_runs += runs->size();
    entry.runs = std::move(runs);
  }
  auto text = state->roster.BeginWrite(wanted, now,
                                       RemainingFormerPlacers(*state, now));
  if (text) {
    for (auto& [id, worker] : state->workers) {
      worker.in_roster = state->roster.IsOpen(id, worker.answered_at);
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
    worker.in_roster = state->roster.IsOpen(id, worker.answered_at);
  }
}

bool IsUnaccounted(const Worker& worker) {
  return worker.in_former_roster && !worker.reached && !worker.known_empty;
}

bool MayHaveUnknownRuns(const Worker& worker) {
  return IsUnaccounted(worker) && !worker.former_runs;
}

bool MayHaveUnchargedRuns(const Worker& worker) {
  return MayHaveUnknownRuns(worker) || worker.orphan_runs > 0;
}

namespace {

bool IsConfirmedBy(const Worker& worker, Milliseconds age, Time now) {
  return worker.reached && now - worker.confirmed_at < age;
}

// True if the placer can't have a majority of its roster any more, as at least
// half of its workers obey this one. Those that left the list count too, as
// they may obey the former placer. Of a roster that can't be read only the
// listed workers are known; more than half of them count as enough.
bool IsOutvoted(const State& state, const FormerPlacerState& placer, Time now) {
  const auto is_confirmed = [&](const WorkerId& id) {
    const auto found = state.workers.find(id);
    return found != state.workers.end() &&
           IsConfirmedBy(found->second, kConfirmationLifetime, now);
  };
  if (state.is_former_roster_known) {
    const auto confirmed = static_cast<size_t>(std::count_if(
        placer.workers.begin(), placer.workers.end(), is_confirmed));
    return !placer.workers.empty() && confirmed * 2 >= placer.workers.size();
  }
  if (!state.workers_listed) return false;
  size_t former = 0;
  size_t confirmed = 0;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.in_former_roster) continue;
    ++former;
    if (is_confirmed(id)) ++confirmed;
  }
  return confirmed * 2 > former;
}

// True if the placer of the last term sent no orders without a lease of the
// leader key: when that ended, half of its workers hadn't confirmed the fence
// that it would have had.
bool EndedWithItsLease(const State& state, const FormerPlacerState& placer) {
  if (!state.former_fence || !state.former_renewal_before ||
      placer.term != state.roster.term() - 1) {
    return false;
  }
  const Time lease_end =
      *state.former_renewal_before + Stretch(kLeadershipValidity);
  const auto count = static_cast<size_t>(std::count_if(
      placer.workers.begin(), placer.workers.end(), [&](const WorkerId& id) {
        const auto found = state.workers.find(id);
        return found != state.workers.end() && found->second.probed_at &&
               *found->second.probed_at > lease_end;
      }));
  return count > 0 && count * 2 >= placer.workers.size();
}

// Until they end, a former placer may extend leases of any worker of its
// roster, listed or not. It sends its last orders before its confirmations of
// the time at which it was outvoted end; or at its limit without a valid lease,
// which began before this term; or while its last renewal was valid.
void UpdateFormerLeases(State* state, Time now) {
  const Milliseconds lease = MaxLeaseLifetime(state->settings);
  for (FormerPlacerState& placer : state->former_placers) {
    const Time before = placer.leases_end_at;
    if (!placer.is_outvoted && IsOutvoted(*state, placer, now)) {
      placer.is_outvoted = true;
      placer.leases_end_at =
          std::min(before, now + kConfirmationLifetime + lease);
    }
    if (!placer.leases_end_with_term_at && EndedWithItsLease(*state, placer)) {
      placer.leases_end_with_term_at =
          *state->former_renewal_before + Stretch(kLeadershipValidity) + lease;
    }
    // The next placer is to know.
    if (placer.leases_end_at != before) state->roster_changed = true;
  }
}

}  // namespace

bool HaveFormerLeasesExpired(const State& state, const Worker& worker,
                             Time now) {
  const bool is_gone = IsGone(worker, now);
  return std::all_of(state.former_placers.begin(), state.former_placers.end(),
                     [&](const FormerPlacerState& placer) {
                       return now > placer.leases_end_at ||
                              (is_gone && placer.leases_end_with_term_at &&
                               now > *placer.leases_end_with_term_at);
                     });
}

void ExpireLeases(State* state, Time now) {
  UpdateFormerLeases(state, now);
  // A successor may reach workers that this placer can't, and extend leases.
  const bool may_expire = state->leadership_is_certain;
  bool has_expired = false;
  const bool is_ready = state->recovered && state->workers_listed;
  bool all_accounted = is_ready;
  bool all_runs_known = is_ready;
  for (auto& [id, worker] : state->workers) {
    if (worker.reached || worker.known_empty) {
      if (may_expire) EndExpiredRuns(state, &worker, now);
      continue;
    }
    // One that just hasn't answered yet may have ends to report.
    const bool is_silent = worker.unanswered_polls > 0;
    if (may_expire && is_silent && state->workers_listed &&
        HaveFormerLeasesExpired(*state, worker, now)) {
      has_expired = true;
      EndAllRuns(state, &worker, "lease lapsed", now);
      state->log->ImportantLine(
          "worker_gone",
          {{"worker", id.text()},
           {"why", worker.listed ? "doesn't answer" : "left the list"}});
    } else if (IsUnaccounted(worker)) {
      all_accounted = false;
      if (MayHaveUnknownRuns(worker)) all_runs_known = false;
    }
  }
  if (all_runs_known && !std::exchange(state->all_runs_known, true)) {
    state->log->ImportantLine(
        "all_runs_known",
        {{"after_ms", (now - state->term_started_at).count()}});
  }
  if (state->all_workers_accounted || !all_accounted) return;
  if (!state->recovered) return;
  state->all_workers_accounted = true;
  state->all_runs_known = true;
  state->log->ImportantLine(
      "all_workers_accounted",
      {{"after_ms", (now - state->term_started_at).count()},
       {"how", has_expired ? "lapsed" : "reached"}});
}

namespace {

// Until all workers are accounted for, those that a former placer may have used
// count: a majority of them can't obey both placers. Later those listed ones
// count that answered, reachable or not, but no entries of others.
bool CountsForMajority(const State& state, const Worker& worker) {
  return state.all_workers_accounted
             ? worker.listed && !worker.answered_at.empty()
             : worker.in_former_roster;
}

bool HasMajorityOf(const State& state, const std::vector<WorkerId>& ids,
                   const std::function<bool(const Worker&)>& is_confirmed) {
  const auto confirmed =
      std::count_if(ids.begin(), ids.end(), [&](const WorkerId& id) {
        const auto found = state.workers.find(id);
        return found != state.workers.end() && is_confirmed(found->second);
      });
  return static_cast<size_t>(confirmed) * 2 > ids.size();
}

}  // namespace

bool HasMajority(const State& state, Milliseconds age, Time now) {
  // A successor reads the stored roster and counts its workers.
  for (const std::vector<WorkerId>& ids : state.roster.possible_workers()) {
    const auto is_confirmed = [&](const Worker& worker) {
      return IsConfirmedBy(worker, age, now);
    };
    if (!HasMajorityOf(state, ids, is_confirmed)) return false;
  }
  size_t counted = 0;
  size_t confirmed = 0;
  for (const auto& [id, worker] : state.workers) {
    if (!CountsForMajority(state, worker)) continue;
    ++counted;
    if (IsConfirmedBy(worker, age, now)) ++confirmed;
  }
  return confirmed * 2 > counted;
}

namespace {

// Maximum age of the answers that confirm a placer without a valid lease of the
// leader key.
constexpr Milliseconds kMaxMajorityAge{2'400};
// A renewal that takes longer may have failed. Time enough for all workers to
// answer a poll before the lease ends.
constexpr Milliseconds kPrepareBeforeLeaseEnds{550};

// A successor that finds a worker of the stored roster under the leader key's
// fence infers that this placer isn't confirmed there. A restarted worker
// forgets fences, so only the incarnations that the successor knows count.
bool HasMajorityWithoutLease(const State& state, Time now) {
  if (!HasMajority(state, kMaxMajorityAge, now)) return false;
  const auto is_confirmed = [&](const Worker& worker) {
    return IsConfirmedBy(worker, kMaxMajorityAge, now) &&
           worker.confirmed_fence == state.fence &&
           state.roster.HasIncarnation(worker.entry.id, worker.incarnation);
  };
  const auto& rosters = state.roster.possible_workers();
  return std::all_of(rosters.begin(), rosters.end(), [&](const auto& ids) {
    return HasMajorityOf(state, ids, is_confirmed);
  });
}

}  // namespace

bool MaySendOrders(State* state, Milliseconds without_lease, Time now) {
  const bool has_lease = without_lease < Milliseconds(0);
  if (without_lease < -kPrepareBeforeLeaseEnds) return true;
  state->fence = FenceWithoutLease(state->leader_fence);
  const bool has_majority = HasMajorityWithoutLease(*state, now);
  if (has_lease) {
    state->may_go_on_without_lease =
        state->may_go_on_without_lease || has_majority;
    return true;
  }
  return state->may_go_on_without_lease && has_majority &&
         without_lease < kMaxTimeWithoutLease;
}

}  // namespace quetzal::cell
