#include "quetzal/work_queue/work_queue.h"

namespace quetzal {

void WorkQueue::Push(const Bucket& place, const WorkId& work, bool front) {
  if (index_.contains(work)) return;
  std::list<WorkId>& waiting = places_[place];
  const auto at = waiting.insert(front ? waiting.begin() : waiting.end(), work);
  index_.emplace(work, Position{place, at});
}

bool WorkQueue::Erase(const WorkId& work) {
  const auto found = index_.find(work);
  if (found == index_.end()) return false;
  const auto place = places_.find(found->second.place);
  place->second.erase(found->second.at);
  if (place->second.empty()) places_.erase(place);
  index_.erase(found);
  return true;
}

const std::list<WorkId>& WorkQueue::Waiting(const Bucket& place) const {
  static const std::list<WorkId> none;
  const auto found = places_.find(place);
  return found == places_.end() ? none : found->second;
}

std::vector<TeamId> WorkQueue::TeamsIn(Lane lane) const {
  std::vector<TeamId> teams;
  const auto first = places_.lower_bound({lane, TeamId()});
  for (auto at = first; at != places_.end() && at->first.lane == lane; ++at) {
    teams.push_back(at->first.team);
  }
  return teams;
}

}  // namespace quetzal
