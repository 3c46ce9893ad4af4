// State that the components of the active placer share: work, attempts,
// outcomes of ended attempts, and the outbox. Only files in this folder use it.
#ifndef QUETZAL_PLACER_INTERNAL_STATE_H_
#define QUETZAL_PLACER_INTERNAL_STATE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quetzal/ledger/ledger.h"
#include "quetzal/placer/placer.h"
#include "quetzal/refusal/refusal.h"
#include "quetzal/retry/retry.h"
#include "quetzal/run_time/run_time.h"
#include "quetzal/work_queue/work_queue.h"

namespace quetzal::placer_internal {

enum class WorkState {
  kAwaitingInventories,  // an earlier placer may have started it
  kQueued,
  kBackingOff,
  kAttempting,
};

// A submission that waits for a request's outcome.
struct Waiter {
  EntryId entry;
  WorkId work;
};

// Whether it is recorded at the platform that a task which must run at most
// once may have been started.
enum class StartIntent { kNone, kWriting, kDurable };

struct WorkItem {
  wire::Work work;
  WorkId id;
  TeamId team;
  QueueId queue;
  Resources size;
  Lane lane = Lane::kBatch;
  WorkState state = WorkState::kQueued;
  std::vector<Waiter> waiters;  // empty for tasks of jobs
  std::optional<JobId> job;
  uint32_t task = 0;
  Time submitted;
  std::optional<Time> deadline;
  Time not_before;
  Milliseconds age_at_submit{0};  // time since an entry first submitted it
  AttemptId attempt;
  int attempt_count = 0;
  // An attempt of it ran or may have run, so it is never refused as "not run".
  bool may_have_run = false;
  StartIntent intent = StartIntent::kNone;
  bool cancelled = false;
  bool expired = false;  // the deadline passed during an attempt
};

enum class AttemptState { kSent, kHeld, kRunning };

struct AttemptInfo {
  AttemptId id;
  wire::Work work;  // without payload
  WorkId work_id;
  WorkerId worker;
  AttemptState state = AttemptState::kSent;
  Time sent_at;
  std::optional<Time> started_at;
  std::optional<Time> stop_sent_at;
  bool checkpoint = false;  // whether a stop saves its state first
};

// The outcome of an attempt, kept by its worker until it is acknowledged.
struct RetainedOutcome {
  wire::EndedAttempt ended;
  WorkerId worker;
  Time at;
};

// A settled request, kept until its entries have confirmed the outcome and late
// duplicates are no longer expected.
struct SettledRequest {
  wire::Settled outcome;
  std::set<EntryId> unconfirmed;
  AttemptId attempt;  // to acknowledge to the worker; empty if none
  WorkerId worker;
  std::string request_key;
  Time at;
};

struct State {
  State(PlacerSettings chosen, const RecordStore* record_store,
        Metrics* metric_store);

  // Discards the state of a term.
  void Clear();

  void Send(const WorkerId& worker, wire::PlacerToWorker message);
  void Send(const EntryId& entry, wire::PlacerToEntry message);
  // Adds a call to the platform to the outbox and returns its id.
  uint64_t Call(KvCall call);
  AttemptId NewAttemptId();

  WorkItem* FindWork(const WorkId& id);
  AttemptInfo* FindAttempt(const AttemptId& id);
  // Recomputes `all_workers_accounted` and `unreached_capacity`.
  void RefreshAccounting(Time now);
  // True if every attempt that an earlier placer started at or after `since` is
  // known here, so that work without a known attempt hasn't run.
  bool HistoryComplete(Time since) const;
  // Returns what the team may start in addition in this domain. All capacity of
  // unreached workers is assumed to be used by this team.
  Resources Headroom(const TeamId& team) const;
  // Returns the team's dominant share in this domain, divided by its weight.
  double ShareRatio(const TeamId& team) const;
  void Count(const std::string& name, const std::string& reason);

  PlacerSettings settings;
  const RecordStore* records;
  Metrics* metrics;

  ContractManager contracts;
  Ledger ledger;
  AllotmentManager allotments;
  WorkQueue queue;
  RunTimeEstimator run_times;
  FailureRateTracker failures;
  RetryBudget retry_budget;

  std::set<EntryId> entries;  // connected
  std::map<WorkerId, ListedWorker> listed;
  std::map<WorkerId, uint64_t> incarnations;
  std::set<WorkerId> expired_leases;
  // Workers that the platform lists as gone or no longer lists.
  std::map<WorkerId, Time> gone_since;
  // Every worker was reached in this term or its task lease has expired, so
  // that all attempts which an earlier placer started are known.
  bool all_workers_accounted = false;
  Resources unreached_capacity;  // of all other workers
  std::map<WorkerId, Time> avoided_since;
  // Start time of each worker reached in this term, from the uptime it reports.
  std::map<WorkerId, Time> worker_started_at;
  // A worker's task lease expired in this term before it sent its inventory.
  bool inventory_lost = false;
  std::map<EntryId, Time> entry_disconnected_at;
  Time term_began;

  std::unordered_map<WorkId, WorkItem> works;
  std::unordered_map<AttemptId, AttemptInfo> attempts;
  std::unordered_map<WorkId, AttemptId> attempt_by_work;
  std::unordered_map<WorkId, RetainedOutcome> retained_outcomes;
  std::unordered_map<WorkId, SettledRequest> settled;
  std::unordered_map<std::string, WorkId> work_by_request_key;
  std::set<WorkId> awaiting_inventories;
  // Acknowledgements of ended attempts, sent with the worker's next grant.
  std::map<WorkerId, std::vector<std::string>> pending_acknowledgements;
  // Deadlines and ends of backoffs; entries may be stale.
  std::set<std::pair<Time, WorkId>> wakeups;
  // Counts by `StatisticsKey`.
  std::map<QueueId, size_t> waiting_in_queue;
  std::map<QueueId, size_t> running_in_queue;

  // Returns true if the work may start now. Otherwise starts the write that it
  // has to wait for.
  std::function<bool(WorkItem* item)> may_start = [](WorkItem*) {
    return true;
  };
  std::vector<PlacerEffect> outbox;
  uint64_t next_call = 1;
  uint64_t next_attempt = 1;
  bool placement_due = false;
};

// Returns a key for counts and run time statistics, which keeps requests apart
// from the tasks of jobs in the same queue.
QueueId StatisticsKey(const wire::Work& work);

// Returns the request key qualified with team and queue, so that equal keys of
// different teams or queues differ; empty without a request key.
std::string ScopedRequestKey(const wire::Work& work);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_STATE_H_
