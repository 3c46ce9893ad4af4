// The decision logic of a failure domain's placer, without sockets, threads or
// clocks: it takes typed messages and the time, and returns typed messages.
//
//   PlacerCore core(settings, &records, &metrics);
//   core.OnWorkers(listed, now);
//   core.OnWorkerLink(worker, /*up=*/true, now);
//   core.OnEntryMessage(entry, message, now);
//   core.OnTick(now);
//   for (const PlacerEffect& effect : core.TakeEffects()) carry_out(effect);
//
// One placer of a domain is active at a time. It holds the contracts with the
// domain's workers and keeps the domain's ledger, queues and jobs. A new active
// placer rebuilds this state from the workers, which report what runs, and from
// the platform's key-value service, which stores the accepted jobs.
#ifndef QUETZAL_PLACER_PLACER_H_
#define QUETZAL_PLACER_PLACER_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "quetzal/allotment/allotment.h"
#include "quetzal/contract/contract.h"
#include "quetzal/domain_election/domain_election.h"
#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/proto/wire.pb.h"
#include "quetzal/record_store/record_store.h"

namespace quetzal {

// The order in which waiting work is started.
enum class OrderPolicy {
  kFairShare,  // lanes, then teams by weighted dominant share
  kFifo,       // in the order of submission, across teams: the baseline
};

struct PlacerSettings {
  PlacerId self;
  FailureDomainId domain;
  std::vector<FailureDomainId> domains;  // of the whole fleet
  ContractTimes contract;
  ElectionTiming election;
  DivisionPolicy division = DivisionPolicy::kDemand;
  OrderPolicy order = OrderPolicy::kFairShare;
  // How long request keys and the outcomes of ended attempts are kept.
  Milliseconds outcome_retention{60'000};
  Milliseconds commit_interval{50};       // group commit of accepted jobs
  Milliseconds progress_interval{1'000};  // group commit of ended tasks
  Milliseconds stop_retry_delay{1'000};
  Milliseconds start_timeout{2'000};  // for the worker's answer to a start
  Milliseconds gang_hold_ttl{5'000};  // of resources held for a gang's start
  // How long a gang waits before capacity is reserved for it.
  Milliseconds gang_reservation_delay{1'000};
  // How long urgent work waits before other work is preempted for it.
  Milliseconds preemption_delay{500};
  // How long a worker whose attempts fail is avoided.
  Milliseconds avoidance_duration{30'000};
  int max_attempts = 4;
  // Disabled only in baselines and in tests which show that a check fails
  // without them.
  bool tracks_capacity = true;
  bool avoids_leaving_workers = true;
  bool awaits_inventories = true;
  bool enforces_limits = true;
  bool uses_observed_statistics = true;
  bool holds_gang_tasks = true;  // until all tasks of the gang can start
};

// A worker in the platform's list of VMs.
struct ListedWorker {
  WorkerId id;
  RackId rack;
  Resources capacity;
  bool leaving = false;
  bool gone = false;  // recently stopped or replaced
};

struct SendToWorker {
  WorkerId worker;
  wire::PlacerToWorker message;
};
struct SendToEntry {
  EntryId entry;
  wire::PlacerToEntry message;
};
using PlacerEffect = std::variant<SendToWorker, SendToEntry, KvCall>;

struct PlacerStatus {
  bool in_term = false;  // is the leader, or is in a fallback term
  bool active = false;
  Epoch epoch{0};
  size_t workers = 0;
  size_t workers_reached = 0;
  size_t waiting = 0;
  size_t attempts = 0;
  size_t jobs = 0;
  bool all_workers_accounted = false;
  // Charged share of the capacity, of the dominant resource.
  double allocation_ratio = 0;
};

class PlacerCore {
 public:
  // `records` and `metrics` must outlive the core.
  PlacerCore(PlacerSettings settings, RecordStore* records, Metrics* metrics);
  ~PlacerCore();
  PlacerCore(const PlacerCore&) = delete;
  PlacerCore& operator=(const PlacerCore&) = delete;

  void OnTick(Time now);
  void OnWorkers(const std::vector<ListedWorker>& listed, Time now);
  void OnWorkerLink(const WorkerId& worker, bool up, Time now);
  void OnWorkerMessage(const WorkerId& worker,
                       const wire::WorkerToPlacer& message, Time now);
  void OnEntryLink(const EntryId& entry, bool up, Time now);
  void OnEntryMessage(const EntryId& entry, const wire::EntryToPlacer& message,
                      Time now);
  void OnKvAnswer(const KvAnswer& answer, Time now);
  // A value under the allotments' key prefix changed.
  void OnAllotmentChange(const KvChange& change, Time now);
  void OnRecordsChanged(Time now);
  // Releases the contracts and the leader key. Running work continues under its
  // task leases.
  void BeginShutdown(Time now);
  // True once the shutdown awaits no answer any more.
  bool ShutdownDone() const;

  std::vector<PlacerEffect> TakeEffects();
  PlacerStatus Status(Time now) const;
  // Returns the resources charged to each team in this domain.
  std::map<TeamId, Resources> Usage() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLACER_PLACER_H_
