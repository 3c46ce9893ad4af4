// Chooses which waiting work starts next, and where.
//
// Lanes are served in order of priority. Within a lane, the team with the
// lowest weighted dominant share goes first, as long as it stays within the
// domain's allotment of its upper limit. Work that doesn't fit is skipped for
// later work of its team.
#ifndef QUETZAL_PLACER_INTERNAL_PLACEMENT_H_
#define QUETZAL_PLACER_INTERNAL_PLACEMENT_H_

#include <vector>

#include "quetzal/placer/internal/gangs.h"
#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Placement {
 public:
  Placement(State* state, Gangs* gangs) : state_(state), gangs_(gangs) {}

  // Starts all waiting work that can start now.
  void StartWork(Time now);
  // Preempts batch work of teams with an equal or larger share for urgent work
  // that has waited too long.
  void PreemptForUrgentWork(Time now);
  // Updates the allotments with each team's usage and waiting work.
  void UpdateDemand();

 private:
  enum class TryResult {
    kStarted,
    kNoCapacity,
    kNotReady,  // the contract or an unfinished write doesn't allow a start yet
  };
  struct Reservation {
    WorkerId worker;
    WorkId work;
    Time at;
  };

  void ServeLane(Lane lane, Time now);
  void ServeFifo(Time now);
  TryResult TryTeam(Lane lane, const TeamId& team, Time now);
  TryResult TryItem(WorkItem* item, Time now);
  bool IsKnownNotToFit(const WorkItem& item) const;
  bool WithinLimit(const WorkItem& item) const;
  Resources DemandOf(const WorkQueue::Bucket& bucket) const;
  bool IsReserved(const WorkerId& worker) const;
  bool Preempt(const WorkItem& item, Time now);
  void ReleaseExpiredReservations(Time now);

  State* state_;
  Gangs* gangs_;
  std::vector<Resources> rejected_sizes_;  // sizes that didn't fit in this pass
  std::vector<Reservation> reservations_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_PLACEMENT_H_
