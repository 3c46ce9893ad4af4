// Accounts for runs that former placers may have started: the stored roster,
// the expiry of leases, and whether a majority of the workers has accepted
// this placer's fence.
#ifndef QUETZAL_CELL_INTERNAL_ACCOUNTING_H_
#define QUETZAL_CELL_INTERNAL_ACCOUNTING_H_

#include <optional>
#include <string>

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

// Nothing if the stored roster can't be read.
void LoadRoster(State* state, const std::optional<StoredRoster>& roster,
                Time now);
std::optional<std::string> TakeRosterWrite(State* state, Time now);
void ApplyRosterWriteResult(State* state, bool stored);
// True if the worker may obey a former placer, or hold leases that it granted.
bool IsUnaccounted(const Worker& worker);
// True if the worker may have runs of a former placer that aren't known yet.
bool MayHaveUnknownRuns(const Worker& worker);
// True if the worker may execute runs that aren't charged to their teams: ones
// that aren't known yet, or whose jobs aren't.
bool MayHaveUnchargedRuns(const Worker& worker);
// Ends runs whose leases have certainly expired, and detects when every worker
// is accounted for.
void ExpireLeases(State* state, Time now);
// True if all leases that former placers extended at the worker have ended.
bool HaveFormerLeasesExpired(const State& state, const Worker& worker,
                             Time now);
// As Cell::HasMajority.
bool HasMajority(const State& state, Milliseconds age, Time now);
// As Cell::MaySendOrders.
bool MaySendOrders(State* state, Milliseconds without_lease, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ACCOUNTING_H_
