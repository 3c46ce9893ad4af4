// Tracks the capacity of a failure domain's workers and the resources charged
// to them, and picks a worker for the next piece of work.
//
//   Ledger ledger;
//   ledger.SetWorker({.id = worker, .rack = rack, .capacity = capacity});
//   if (const auto picked = ledger.Pick(query)) {
//     ledger.Charge(attempt, {.worker = *picked, .team = team, .size = size});
//   }
//   ledger.Release(attempt);  // only once the attempt has definitely ended
//
// Free capacity is a worker's capacity minus the larger of its charges and its
// reported use. Capacity reserved for one group isn't available to others.
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

struct WorkerInfo {
  WorkerId id;
  RackId rack;
  Resources capacity;
  bool leaving = false;
};

enum class PlacementPolicy {
  kFirstFit,     // the first worker with enough free capacity: the baseline
  kPackTight,    // best fit: leave the least free capacity behind
  kLeastLoaded,  // most free capacity first
  kSpreadRacks,  // fewest attempts of the group in the rack, then least loaded
};

struct PlacementQuery {
  Resources size;
  PlacementPolicy policy = PlacementPolicy::kPackTight;
  // Work that is spread over racks, or has capacity reserved, as one; may be
  // empty.
  std::string group;
};

struct ChargedAttempt {
  WorkerId worker;
  TeamId team;
  Resources size;
  std::string group;
};

class Ledger {
 public:
  // Adds a worker, or updates one and keeps its charges.
  void SetWorker(const WorkerInfo& info);
  // Removes a worker. Its charges must have been released.
  void RemoveWorker(const WorkerId& worker);
  // Sets whether the worker takes new work. A worker that is added doesn't.
  void SetOpen(const WorkerId& worker, bool open);
  void MarkLeaving(const WorkerId& worker);
  // Marks a worker whose attempts fail; it is picked only if no other fits.
  void SetAvoided(const WorkerId& worker, bool avoided);
  // Records a worker's measured use over all its tasks. Use in excess of the
  // current charges counts as used until the next report.
  void SetUsage(const WorkerId& worker, const Resources& in_use);
  // Reserves all free capacity of the worker for `group`; an empty group ends
  // the reservation.
  void Reserve(const WorkerId& worker, const std::string& group);

  // Reserves `size` on the worker for `group`, in addition to what is reserved
  // already.
  void ReserveCapacity(const WorkerId& worker, const std::string& group,
                       const Resources& size);
  // Ends all reservations of this kind for `group` on the worker.
  void ReleaseCapacity(const WorkerId& worker, const std::string& group);

  void Charge(const AttemptId& attempt, const ChargedAttempt& charge);
  // Ends the charge; no effect if there is none.
  void Release(const AttemptId& attempt);
  const ChargedAttempt* Find(const AttemptId& attempt) const;
  std::vector<AttemptId> AttemptsOn(const WorkerId& worker) const;

  size_t AttemptCount(const WorkerId& worker) const;

  // Returns the best open worker for the query, or nothing if it fits on none.
  std::optional<WorkerId> Pick(const PlacementQuery& query) const;
  // Returns the open worker that lacks the smallest share of its capacity for
  // `size` to fit beside its reservations; nothing if `size` and the
  // reservations exceed the capacity of every worker.
  std::optional<WorkerId> PickNearestFit(const Resources& size) const;
  // True if `size` fits on some worker that runs nothing else.
  bool FitsSomeWorker(const Resources& size) const;
  // Returns, for each resource, the largest amount that any one worker has.
  Resources LargestWorker() const;

  const WorkerInfo* FindWorker(const WorkerId& worker) const;
  Resources Free(const WorkerId& worker) const;
  Resources Charged(const WorkerId& worker) const;
  Resources UsedBy(const TeamId& team) const;
  Resources TotalCapacity() const { return total_; }
  Resources TotalCharged() const;
  const std::map<TeamId, Resources>& Usage() const { return usage_; }

 private:
  struct Slot {
    WorkerInfo info;
    size_t rack = 0;
    bool present = false;
    bool open = false;
    bool avoided = false;
    std::string reserved_for;
    std::map<std::string, Resources> reserved;  // by group
    size_t attempts = 0;
    Resources charged;
    Resources overuse;  // use above the charges at the last report
    Resources free;
  };

  // Free capacity that isn't reserved for groups other than `group`.
  static Resources AvailableTo(const Slot& slot, const std::string& group);
  void RecomputeFree(Slot* slot);
  size_t RackIndex(const RackId& rack);
  Slot* Find(const WorkerId& worker);
  const Slot* Find(const WorkerId& worker) const;
  double Score(const Slot& slot, const Resources& available,
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
