// Work that waits for a worker, by lane and team, with removal in constant
// time so that waves of cancellations stay cheap.
//
//   WorkQueue queue;
//   queue.Push({Lane::kBatch, team}, work);
//   for (const WorkId& work : queue.Waiting({Lane::kBatch, team})) ...
//   queue.Erase(work);
#ifndef QUETZAL_WORK_QUEUE_WORK_QUEUE_H_
#define QUETZAL_WORK_QUEUE_WORK_QUEUE_H_

#include <array>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

// Lanes in the order in which they are served.
enum class Lane { kUrgent, kRequest, kService, kGang, kBatch };

inline constexpr std::array<Lane, 5> kLanes = {
    Lane::kUrgent, Lane::kRequest, Lane::kService, Lane::kGang, Lane::kBatch};

class WorkQueue {
 public:
  struct Bucket {
    Lane lane = Lane::kBatch;
    TeamId team;
    friend auto operator<=>(const Bucket&, const Bucket&) = default;
  };

  // Adds work at the end of its place, or at its front when it goes back
  // there after a try. Work already queued stays where it is.
  void Push(const Bucket& place, const WorkId& work, bool front = false);
  // Removes work; false if it was not queued.
  bool Erase(const WorkId& work);
  bool Contains(const WorkId& work) const { return index_.contains(work); }

  // Work waiting in this place, first come first.
  const std::list<WorkId>& Waiting(const Bucket& place) const;
  // Teams with work waiting in a lane.
  std::vector<TeamId> TeamsIn(Lane lane) const;
  size_t size() const { return index_.size(); }

 private:
  struct Position {
    Bucket place;
    std::list<WorkId>::iterator at;
  };

  std::map<Bucket, std::list<WorkId>> places_;
  std::unordered_map<WorkId, Position> index_;
};

}  // namespace quetzal

#endif  // QUETZAL_WORK_QUEUE_WORK_QUEUE_H_
