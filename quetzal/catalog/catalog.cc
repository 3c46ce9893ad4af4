#include "quetzal/catalog/catalog.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

template <typename T, typename IdType>
const T* FindByName(const std::vector<T>& all, const IdType& name) {
  const auto found = std::find_if(
      all.begin(), all.end(), [&](const T& each) { return each.name == name; });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace

Milliseconds Queue::CompletionObjective(Milliseconds critical_path) const {
  return Milliseconds(static_cast<int64_t>(
             slack_factor * static_cast<double>(critical_path.count()))) +
         latency_target;
}

AcceptedJob Queue::Accept(const JobId& id, const TeamId& team, WallTime now,
                          JobSpec spec) const {
  return {.id = id,
          .team = team,
          .queue = name,
          .service = service,
          .max_attempts = max_attempts,
          .accepted = now,
          .spec = std::move(spec)};
}

Catalog::Catalog(int64_t version, std::vector<Queue> queues,
                 std::vector<ServiceConfig> services, std::vector<Team> teams,
                 CatalogLimits limits)
    : version_(version),
      queues_(std::move(queues)),
      services_(std::move(services)),
      teams_(std::move(teams)),
      limits_(limits) {
  for (size_t i = 0; i < queues_.size(); ++i) {
    queues_by_host_.emplace(queues_[i].host, i);
  }
  for (size_t i = 0; i < teams_.size(); ++i) {
    for (const std::string& key : teams_[i].keys) teams_by_key_[key] = i;
  }
}

const Queue* Catalog::FindQueue(const std::string& host,
                                const std::string& path) const {
  const Queue* best = nullptr;
  const auto [begin, end] = queues_by_host_.equal_range(host);
  for (auto each = begin; each != end; ++each) {
    const Queue& queue = queues_[each->second];
    if (!path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const Queue* Catalog::FindQueue(const QueueId& name) const {
  return FindByName(queues_, name);
}

const ServiceConfig* Catalog::FindService(const ServiceId& name) const {
  return FindByName(services_, name);
}

const Team* Catalog::FindTeam(const TeamId& name) const {
  return FindByName(teams_, name);
}

const Team* Catalog::TeamOfKey(const std::string& key) const {
  const auto found = teams_by_key_.find(key);
  return found == teams_by_key_.end() ? nullptr : &teams_[found->second];
}

bool CurrentCatalog::UpdateIfNewer(std::shared_ptr<const Catalog> catalog) {
  if (current_ && catalog->version() <= current_->version()) return false;
  current_ = std::move(catalog);
  return true;
}

void CurrentCatalog::Confirm(Time time) {
  if (!confirmed_ || *confirmed_ < time) confirmed_ = time;
}

std::optional<Milliseconds> CurrentCatalog::AgeAt(Time now) const {
  if (!confirmed_) return std::nullopt;
  return now - *confirmed_;
}

}  // namespace quetzal
