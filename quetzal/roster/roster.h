// The workers that may hold leases of this cell, as kept in the store.
//
//   Roster roster;
//   roster.Load(std::move(*DecodeRoster(text)));  // stored by the last term
//   if (const auto text = roster.BeginWrite(wanted, now)) Store(*text);
//   roster.OnStored();
//   if (roster.Contains(id, address)) AssignTasks(id);
//
// The platform's list drops a worker that it has received nothing from for some
// seconds, although the worker may still be running. A placer that takes over
// just then would not see the worker, and would start its tasks a second time.
// So tasks are assigned only to workers in the stored roster, and a new placer
// accounts for each of those before it starts any task that they may still be
// running.
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
// Nothing if the text isn't an encoded roster.
std::optional<RosterEntries> DecodeRoster(const std::string& text);

class Roster {
 public:
  // Sets what the store holds at the beginning of a term.
  void Load(RosterEntries stored);
  bool is_loaded() const { return loaded_; }
  const RosterEntries& stored() const { return stored_; }

  // True if the stored roster is certain to name the worker with this address.
  bool Contains(const WorkerId& id, const std::string& address) const;

  // False before the roster was loaded, while a write is in flight, and for a
  // short time after a write began.
  bool CanWrite(Time now) const;
  // Returns the text to store, if `wanted` differs from the stored roster and a
  // write may begin now.
  std::optional<std::string> BeginWrite(const RosterEntries& wanted, Time now);
  void OnStored();
  // The write may still have been applied, so only workers that both the old
  // and the new roster name remain contained.
  void OnStoreFailed();

 private:
  bool loaded_ = false;
  RosterEntries stored_;
  std::optional<RosterEntries> pending_write_;
  Time next_write_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_ROSTER_ROSTER_H_
