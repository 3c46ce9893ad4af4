// Chooses which waiting work starts next, and where.
//
// Lanes go before one another; within a lane, the team farthest below its
// weighted dominant share goes first, as far as its part of its upper limit
// allows. Work that doesn't fit is passed over for later work of its team.
#ifndef QUETZAL_PLACER_INTERNAL_PLACEMENT_H_
#define QUETZAL_PLACER_INTERNAL_PLACEMENT_H_

#include <vector>

#include "quetzal/placer/internal/gangs.h"
#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Placement {
 public:
  Placement(State* state, Gangs* gangs) : state_(state), gangs_(gangs) {}

  // Starts whatever can start now.
  void Pass(Time now);
  // Stops work above its team's share where urgent work has waited too long.
  void MakeRoomForUrgent(Time now);
  // What each team could use beyond what it has, for the allotments.
  void SetDemand();

 private:
  enum class Tried {
    kStarted,
    kNoRoom,
    kNotYet,  // something that must be durable first is being written
  };
  struct Reservation {
    WorkerId worker;
    WorkId work;
    Time at;
  };

  void ServeLane(Lane lane, Time now);
  void ServeFifo(Time now);
  Tried TryTeam(Lane lane, const TeamId& team, Time now);
  Tried TryItem(WorkItem* item, Time now);
  bool KnownNotToFit(const WorkItem& item) const;
  bool WithinLimit(const WorkItem& item) const;
  Resources DemandOf(const WorkQueue::Bucket& place) const;
  bool IsReserved(const WorkerId& worker) const;
  bool StopVictims(const WorkItem& item, Time now);
  void ReleaseOldReservations(Time now);

  State* state_;
  Gangs* gangs_;
  std::vector<Resources> misfits_;  // sizes that did not fit in this pass
  std::vector<Reservation> reservations_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_PLACEMENT_H_
