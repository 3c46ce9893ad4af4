// What may run on workers that this term hasn't reached: the stored roster,
// leases that surely lapsed, and whether a majority obeys this fence.
#ifndef QUETZAL_CELL_INTERNAL_ACCOUNTING_H_
#define QUETZAL_CELL_INTERNAL_ACCOUNTING_H_

#include <optional>
#include <string>

#include "quetzal/cell/internal/state.h"

namespace quetzal::cell {

void LearnRoster(State* state, const RosterEntries& entries, Time now);
std::optional<std::string> TakeRosterWrite(State* state, Time now);
void ApplyRosterWritten(State* state, bool stored);
// A former placer may have started something there that is not known yet.
bool MayRunUnseen(const Worker& worker);
// Ends what surely lapsed; notes when every worker is accounted for.
void CheckLapses(State* state, Time now);
bool HoldsMajority(const State& state, Milliseconds age, Time now);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_ACCOUNTING_H_
