// What each worker of a failure domain has, what is charged to it, and where
// the next piece of work fits.
//
//   Ledger ledger;
//   ledger.SetWorker({.id = worker, .rack = rack, .capacity = capacity});
//   if (const auto worker = ledger.Pick(query)) ledger.Charge(attempt, ...);
//   ledger.Release(attempt);  // only once the attempt has surely ended
//
// Free room is capacity less the larger of what was declared and what the
// worker reports in use, less what is reserved for other work.
#ifndef QUETZAL_LEDGER_LEDGER_H_
#define QUETZAL_LEDGER_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

struct WorkerFacts {
  WorkerId id;
  RackId rack;
  Resources capacity;
  bool leaving = false;
};

enum class PlacementPolicy {
  kFirstFit,     // the first worker with room: the baseline
  kPackTight,    // leave the least room behind
  kLeastLoaded,  // most free slots first
  kSpreadRacks,  // fewest of the same group in the rack, then least loaded
};

struct PlacementQuery {
  Resources size;
  PlacementPolicy policy = PlacementPolicy::kPackTight;
  std::string group;  // work spread or reserved as one; may be empty
};

struct ChargedAttempt {
  WorkerId worker;
  TeamId team;
  Resources size;
  std::string group;
};

class Ledger {
 public:
  // Adds a worker or replaces its facts; its charges stay.
  void SetWorker(const WorkerFacts& facts);
  // Removes a worker. Its charges must have been settled.
  void RemoveWorker(const WorkerId& worker);
  // A worker that is not open gets no new work; new ones are not.
  void SetOpen(const WorkerId& worker, bool open);
  void SetLeaving(const WorkerId& worker);
  // Set aside for failing what it starts; picked only if nothing else fits.
  void SetAside(const WorkerId& worker, bool aside);
  // Measured use of a worker over all its tasks. What it is above the charges
  // of this moment counts as used until the next report.
  void SetUsage(const WorkerId& worker, const Resources& in_use);
  // Keeps the worker's free room for `group`; an empty group ends it.
  void Reserve(const WorkerId& worker, const std::string& group);

  // Keeps `size` of the worker's room for `group`, beside what it keeps
  // already.
  void Hold(const WorkerId& worker, const std::string& group,
            const Resources& size);
  // Ends all that the worker holds for `group`.
  void Unhold(const WorkerId& worker, const std::string& group);

  void Charge(const AttemptId& attempt, const ChargedAttempt& charge);
  // Ends the charge; no effect if there is none.
  void Release(const AttemptId& attempt);
  const ChargedAttempt* Find(const AttemptId& attempt) const;
  std::vector<AttemptId> AttemptsOn(const WorkerId& worker) const;

  size_t AttemptCount(const WorkerId& worker) const;

  // The best open worker for the query; nothing if none has room.
  std::optional<WorkerId> Pick(const PlacementQuery& query) const;
  // The open worker that needs the least to come free before `size` fits beside
  // all that is held there; nothing if it would not fit on any when empty.
  std::optional<WorkerId> NearestRoom(const Resources& size) const;
  // True if some known worker could run this when empty.
  bool EverFits(const Resources& size) const;
  // The largest amount of each resource any one worker has.
  Resources LargestWorker() const;

  const WorkerFacts* Facts(const WorkerId& worker) const;
  Resources Free(const WorkerId& worker) const;
  Resources Charged(const WorkerId& worker) const;
  Resources UsedBy(const TeamId& team) const;
  Resources TotalCapacity() const { return total_; }
  Resources TotalCharged() const;
  const std::map<TeamId, Resources>& Usage() const { return usage_; }

 private:
  struct Slot {
    WorkerFacts facts;
    size_t rack = 0;
    bool present = false;
    bool open = false;
    bool aside = false;
    std::string reserved_for;
    std::map<std::string, Resources> held;  // by group
    size_t attempts = 0;
    Resources charged;
    Resources overuse;  // at the last report
    Resources free;
  };

  // Free room that `group` may use.
  static Resources RoomFor(const Slot& slot, const std::string& group);
  void Refresh(Slot* slot);
  size_t RackIndex(const RackId& rack);
  Slot* Find(const WorkerId& worker);
  const Slot* Find(const WorkerId& worker) const;
  double Score(const Slot& slot, const Resources& room,
               const PlacementQuery& query,
               const std::vector<int>* group_racks) const;

  std::vector<Slot> slots_;
  std::unordered_map<WorkerId, size_t> index_;
  std::map<RackId, size_t> racks_;
  std::unordered_map<AttemptId, ChargedAttempt> charges_;
  std::unordered_map<std::string, std::vector<int>> racks_of_group_;
  std::map<TeamId, Resources> usage_;
  Resources total_;
};

}  // namespace quetzal

#endif  // QUETZAL_LEDGER_LEDGER_H_
