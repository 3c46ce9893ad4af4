// The workers that may hold leases of this cell, as the store keeps them.
//
//   Roster roster;
//   roster.Load(std::move(*DecodeRoster(text)));  // what the last term left
//   if (const auto text = roster.BeginWrite(wanted, now)) Store(*text);
//   roster.OnStored();
//   if (roster.Contains(id, address)) GiveWork(id);
//
// The platform's list of workers forgets one that it doesn't hear for some
// seconds, although the worker may run on. A placer that takes over just then
// would miss it, and start its tasks a second time. So work is given only to
// workers that the stored roster names, and a new placer accounts for each of
// those before it starts what they may run.
#ifndef QUETZAL_ROSTER_ROSTER_H_
#define QUETZAL_ROSTER_ROSTER_H_

#include <map>
#include <optional>
#include <string>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

struct RosterEntry {
  std::string address;
  Resources capacity;

  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};
using RosterEntries = std::map<WorkerId, RosterEntry>;

std::string EncodeRoster(const RosterEntries& entries);
// Nothing if the text isn't a roster.
std::optional<RosterEntries> DecodeRoster(const std::string& text);

class Roster {
 public:
  // What the store holds, at the beginning of a term.
  void Load(RosterEntries stored);
  bool is_loaded() const { return loaded_; }
  const RosterEntries& stored() const { return stored_; }

  // True if the store surely names the worker at this address.
  bool Contains(const WorkerId& id, const std::string& address) const;

  // False before it was loaded, while a write is under way, and for a moment
  // after one.
  bool CanWrite(Time now) const;
  // The text to store, if `wanted` differs from what is stored and a write is
  // possible now.
  std::optional<std::string> BeginWrite(const RosterEntries& wanted, Time now);
  void OnStored();
  // It may have been stored all the same: only workers that both the old and
  // the new roster name stay covered.
  void OnStoreFailed();

 private:
  bool loaded_ = false;
  RosterEntries stored_;
  std::optional<RosterEntries> writing_;
  Time next_write_;
};

}  // namespace quetzal

#endif  // QUETZAL_ROSTER_ROSTER_H_
