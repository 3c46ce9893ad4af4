#include "quetzal/work_queue/work_queue.h"

namespace quetzal {

void WorkQueue::Push(const Bucket& bucket, const WorkId& work, bool front) {
  if (positions_.contains(work)) return;
  std::list<WorkId>& waiting = buckets_[bucket];
  const auto at = waiting.insert(front ? waiting.begin() : waiting.end(), work);
  positions_.emplace(work, Position{bucket, at});
}

bool WorkQueue::Erase(const WorkId& work) {
  const auto found = positions_.find(work);
  if (found == positions_.end()) return false;
  const auto bucket = buckets_.find(found->second.bucket);
  bucket->second.erase(found->second.at);
  if (bucket->second.empty()) buckets_.erase(bucket);
  positions_.erase(found);
  return true;
}

const std::list<WorkId>& WorkQueue::Waiting(const Bucket& bucket) const {
  static const std::list<WorkId> none;
  const auto found = buckets_.find(bucket);
  return found == buckets_.end() ? none : found->second;
}

std::vector<TeamId> WorkQueue::TeamsIn(Lane lane) const {
  std::vector<TeamId> teams;
  const auto first = buckets_.lower_bound({lane, TeamId()});
  for (auto at = first; at != buckets_.end() && at->first.lane == lane; ++at) {
    teams.push_back(at->first.team);
  }
  return teams;
}

}  // namespace quetzal
