// The decision core of a failure domain's placer, without sockets, threads or
// clocks: typed messages and a time go in, typed messages come out.
//
//   PlacerCore core(settings, &records, &metrics);
//   core.OnWorkers(listed, now);
//   core.OnWorkerLink(worker, /*up=*/true, now);
//   core.OnEntryMessage(entry, message, now);
//   core.OnTick(now);
//   for (const PlacerEffect& effect : core.TakeEffects()) carry_out(effect);
//
// One placer of a domain is active at a time. It holds the contracts with the
// domain's workers and keeps the domain's ledger, queues and jobs. What runs is
// known by the workers and what was accepted by the platform's service; a new
// placer rebuilds its state from these two.
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

// The order in which waiting work is tried, and where it goes.
enum class OrderPolicy {
  kFairShare,  // lanes, then teams by weighted dominant share
  kFifo,       // first come, first served, first worker that fits: the baseline
};

struct PlacerSettings {
  PlacerId self;
  FailureDomainId domain;
  std::vector<FailureDomainId> domains;  // all of the fleet
  ContractTimes contract;
  ElectionTiming election;
  DivisionPolicy division = DivisionPolicy::kDemand;
  OrderPolicy order = OrderPolicy::kFairShare;
  // How long a request key and the evidence of an ended attempt are kept.
  Milliseconds outcome_retention{60'000};
  Milliseconds commit_every{50};       // group commit of accepted jobs
  Milliseconds progress_every{1'000};  // group commit of ended tasks
  Milliseconds stop_again_after{1'000};
  Milliseconds start_timeout{2'000};  // for a start that was not answered
  Milliseconds gang_hold_ttl{5'000};  // life of a gang's held parts
  Milliseconds gang_reservation_delay{1'000};  // wait before room is gathered
  Milliseconds preemption_delay{500};          // wait before others are stopped
  Milliseconds probe_after{30'000};            // of a worker that was set aside
  int max_attempts = 4;
  // Off only in baselines and in proofs that show a check fail without it.
  bool tracks_capacity = true;
  bool avoids_leaving_workers = true;
  bool awaits_inventories = true;
  bool enforces_limits = true;
  bool uses_observed_statistics = true;
  bool holds_gang_tasks = true;  // until all of a gang are on their workers
};

// A worker by the platform's list of VMs.
struct ListedWorker {
  WorkerId id;
  RackId rack;
  Resources capacity;
  bool leaving = false;
  bool gone = false;  // stopped or replaced lately
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
  bool in_term = false;  // holds the seat or a fallback term
  bool active = false;
  Epoch epoch{0};
  size_t workers = 0;
  size_t workers_reached = 0;
  size_t waiting = 0;
  size_t attempts = 0;
  size_t jobs = 0;
  bool all_workers_accounted = false;
  double allocation_ratio =
      0;  // charged over capacity, by the dominant resource
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
  // A change under the allotments' prefix.
  void OnAllotmentChange(const KvChange& change, Time now);
  void OnRecordsChanged(Time now);
  // Hands the contracts over and gives the seat back; work goes on under its
  // task leases.
  void BeginShutdown(Time now);
  // True once nothing is left to send for the shutdown.
  bool ShutdownDone() const;

  std::vector<PlacerEffect> TakeEffects();
  PlacerStatus Status(Time now) const;
  // What each team has charged in this domain.
  std::map<TeamId, Resources> Usage() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLACER_PLACER_H_
