// Work that waits for a worker, by lane and team. Removal takes constant time,
// so that bursts of cancellations stay cheap.
//
//   WorkQueue queue;
//   queue.Push({Lane::kBatch, team}, work);
//   for (const WorkId& next : queue.Waiting({Lane::kBatch, team})) ...
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

// Lanes of waiting work, in the order in which they are served.
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

  // Appends work to the bucket, or prepends it if `front`, as for work that
  // returns after a failed attempt. No effect on work that is already queued.
  void Push(const Bucket& bucket, const WorkId& work, bool front = false);
  // Removes work; returns false if it was not queued.
  bool Erase(const WorkId& work);
  bool Contains(const WorkId& work) const { return positions_.contains(work); }

  // Work waiting in the bucket, in order.
  const std::list<WorkId>& Waiting(const Bucket& bucket) const;
  // Teams with work waiting in a lane.
  std::vector<TeamId> TeamsIn(Lane lane) const;
  size_t size() const { return positions_.size(); }

 private:
  struct Position {
    Bucket bucket;
    std::list<WorkId>::iterator at;
  };

  std::map<Bucket, std::list<WorkId>> buckets_;
  std::unordered_map<WorkId, Position> positions_;
};

}  // namespace quetzal

#endif  // QUETZAL_WORK_QUEUE_WORK_QUEUE_H_
