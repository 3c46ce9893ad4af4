// The workers that may hold leases of this cell, as kept in the store.
//
//   Roster roster(term);
//   roster.Load(std::move(*DecodeRoster(text)));  // stored by an earlier term
//   if (const auto text = roster.BeginWrite(wanted, now)) Store(*text);
//   roster.OnStored();
//   if (roster.IsOpen(id, address)) AssignTasks(id);
//
// The platform's list drops a worker that it has received nothing from for some
// seconds, although the worker may still be running. A placer that takes over
// just then would not see the worker, and would start its tasks a second time.
// So tasks are assigned only to workers that are open in the stored roster, and
// a new placer accounts for each of those before it starts any task that they
// may still be running. An entry that lists its worker's runs is closed: the
// worker gets no others, so a new placer that can't reach it waits for these
// alone.
//
// A placer that is cut off from the store may go on while most of the workers
// of the roster that it stored confirm it. The roster of its successor has
// other workers, so that one keeps the former placers whose leases may not have
// ended.
#ifndef QUETZAL_ROSTER_ROSTER_H_
#define QUETZAL_ROSTER_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

// A run that its worker may still execute.
struct RosterRun {
  TaskId task;
  int64_t number = 0;

  friend bool operator==(const RosterRun&, const RosterRun&) = default;
};

struct RosterEntry {
  std::string address;
  Resources capacity;
  // Of a closed entry: all runs that the worker may execute.
  std::optional<std::vector<RosterRun>> runs;
  // That answered the placer; 0: unknown.
  Incarnation incarnation{0};

  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};
using RosterEntries = std::map<WorkerId, RosterEntry>;

// Numbers of terms rise by one from each placer's term to the next one's.
using TermNumber = int64_t;

// A placer before the one that wrote the roster.
struct FormerPlacer {
  TermNumber term = 0;
  std::vector<WorkerId> workers;  // of the roster that it stored
  // Until all leases that it may have extended have ended, counted from the
  // write of the roster.
  Milliseconds leases_end_in{0};

  friend bool operator==(const FormerPlacer&, const FormerPlacer&) = default;
};

struct StoredRoster {
  RosterEntries entries;
  // Of the placer that wrote it; nothing if an earlier version did.
  std::optional<TermNumber> term;
  // Its leader key's revision; nothing if an earlier version wrote the roster.
  std::optional<Fence> fence;
  // Those whose leases may not have ended.
  std::vector<FormerPlacer> former_placers;
};

std::string EncodeRoster(const StoredRoster& roster);
// Nothing if the text isn't an encoded roster.
std::optional<StoredRoster> DecodeRoster(const std::string& text);

class Roster {
 public:
  Roster(TermNumber term, Fence fence) : term_(term), fence_(fence) {}

  // Sets what the store holds at the beginning of the term. Closed entries that
  // the preceding term didn't write are opened: a version that doesn't know
  // them may have led since, and have assigned tasks to their workers.
  void Load(StoredRoster stored);
  bool is_loaded() const { return loaded_; }
  const RosterEntries& stored() const { return stored_; }

  // The workers of each roster that the store may hold: of the newest that is
  // known to be stored, and of those whose writes were begun since.
  const std::set<std::vector<WorkerId>>& possible_workers() const {
    return possible_workers_;
  }
  // True if the stored roster is certain to have an open entry of the worker
  // with this address.
  bool IsOpen(const WorkerId& id, const std::string& address) const;
  // True if the stored roster is certain to have an entry of this incarnation.
  bool HasIncarnation(const WorkerId& id, Incarnation incarnation) const;
  TermNumber term() const { return term_; }

  // The leader key was written again in this term: the roster is to be stored
  // with its new revision.
  void SetFence(Fence fence);

  // False before the roster was loaded, while a write is in flight, and for a
  // short time after a write began.
  bool CanWrite(Time now) const;
  // Returns the text to store, if `wanted` differs from the stored roster, the
  // former placers or the times that they have left are others, or this term's
  // newest write isn't known to be stored, and a write may begin now.
  std::optional<std::string> BeginWrite(
      const RosterEntries& wanted, Time now,
      const std::vector<FormerPlacer>& former_placers = {});
  void OnStored();
  // The write may still have been applied, so only entries that are the same in
  // the old and the new roster remain stored.
  void OnStoreFailed();

 private:
  TermNumber term_;
  Fence fence_;
  bool loaded_ = false;
  bool is_own_ = false;  // this term's newest write is known to be stored
  RosterEntries stored_;
  std::set<std::vector<WorkerId>> possible_workers_;
  std::optional<RosterEntries> pending_write_;
  std::vector<FormerPlacer> written_placers_;  // by the newest write
  Fence written_fence_{0};
  Time next_write_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_ROSTER_ROSTER_H_
