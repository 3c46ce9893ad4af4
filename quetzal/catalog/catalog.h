// The current configuration: queues, services, teams and their keys.
//
//   std::shared_ptr<const Catalog> catalog = ...;
//   const Queue* queue = catalog->FindQueue(host, path);
//   const Team* team = catalog->TeamOfKey(key);
//
// A catalog is one complete, immutable version. `CurrentCatalog` holds the
// newest one, never returns to an older one, and tells how long ago it was last
// known to be the newest.
#ifndef QUETZAL_CATALOG_CATALOG_H_
#define QUETZAL_CATALOG_CATALOG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

// Duration of a call that asks which workers may run a step, and validity of
// the permits that it returns.
struct AdviceConfig {
  double per_call_ms = 0;
  double per_worker_ms = 0;  // added for each worker in the call
  Milliseconds validity{0};
};

struct Queue {
  QueueId name;
  std::string host;
  std::string prefix;
  ServiceId service;
  int priority = 0;  // 0 is the highest
  int max_attempts = 1;
  double slack_factor = 1;
  Milliseconds latency_target{0};
  bool is_public = false;
  std::optional<AdviceConfig> advice;

  // Time, from its first submission, in which a job with this critical path
  // should complete.
  Milliseconds CompletionObjective(Milliseconds critical_path) const;
  // A job that is accepted on this queue now, with what it holds of the queue.
  AcceptedJob Accept(const JobId& id, const TeamId& team, WallTime now,
                     JobSpec spec) const;
};

struct ServiceConfig {
  ServiceId name;
  bool enforces_capacity = false;  // workers reject what doesn't fit
  bool standby = false;
};

struct Team {
  TeamId name;
  std::vector<std::string> keys;
  double weight = 1;
  Resources limit;  // of all running work; an amount of 0 means no limit
};

struct CatalogLimits {
  size_t body_bytes = 256 * 1024;
};

class Catalog {
 public:
  Catalog(int64_t version, std::vector<Queue> queues,
          std::vector<ServiceConfig> services, std::vector<Team> teams,
          CatalogLimits limits);

  int64_t version() const { return version_; }
  const std::vector<Queue>& queues() const { return queues_; }
  const std::vector<Team>& teams() const { return teams_; }
  const CatalogLimits& limits() const { return limits_; }

  // The queue of the host with the longest prefix that `path` begins with;
  // null if there is none.
  const Queue* FindQueue(const std::string& host,
                         const std::string& path) const;
  const Queue* FindQueue(const QueueId& name) const;
  const ServiceConfig* FindService(const ServiceId& name) const;
  const Team* FindTeam(const TeamId& name) const;
  // Null for an unknown key.
  const Team* TeamOfKey(const std::string& key) const;

 private:
  int64_t version_;
  std::vector<Queue> queues_;
  std::vector<ServiceConfig> services_;
  std::vector<Team> teams_;
  CatalogLimits limits_;
  std::multimap<std::string, size_t> queues_by_host_;
  std::unordered_map<std::string, size_t> teams_by_key_;
};

class CurrentCatalog {
 public:
  // Replaces the current catalog if `catalog` is newer; returns whether it did.
  bool UpdateIfNewer(std::shared_ptr<const Catalog> catalog);
  // The current catalog was the newest one at `time`.
  void Confirm(Time time);
  // Time since the last confirmation; none before the first one.
  std::optional<Milliseconds> AgeAt(Time now) const;
  // Null until the first update.
  const std::shared_ptr<const Catalog>& current() const { return current_; }

 private:
  std::shared_ptr<const Catalog> current_;
  std::optional<Time> confirmed_;
};

}  // namespace quetzal

#endif  // QUETZAL_CATALOG_CATALOG_H_
