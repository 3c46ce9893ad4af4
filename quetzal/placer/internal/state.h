// Tables of the active placer that its parts share: work, attempts, evidence
// of what ended, and the outbox. Only the parts in this folder use them.
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
  kAwaitingEvidence,  // an earlier placer may have started it
  kQueued,
  kBackingOff,
  kAttempting,
};

// Who waits for a request's outcome.
struct Asker {
  EntryId entry;
  WorkId work;
};

// Whether the platform knows that a task which must run at most once may have
// been started.
enum class Intent { kNone, kBeingWritten, kDurable };

struct WorkItem {
  wire::Work work;
  WorkId id;
  TeamId team;
  QueueId queue;
  Resources size;
  Lane lane = Lane::kBatch;
  WorkState state = WorkState::kQueued;
  std::vector<Asker> askers;  // empty for tasks of jobs
  std::optional<JobId> job;
  uint32_t task = 0;
  Time submitted;
  std::optional<Time> deadline;
  Time not_before;
  Milliseconds age_at_submit{0};  // since an entry first handed it over
  AttemptId attempt;
  int tries = 0;
  // An attempt of it ran, or may have: it is never refused as "not run".
  bool may_have_run = false;
  Intent intent = Intent::kNone;
  bool cancelled = false;
  bool expired = false;  // the deadline passed while it ran
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
  bool checkpoint = false;  // how it is being stopped
};

// An attempt that ended, kept by its worker until it is acknowledged.
struct Evidence {
  wire::EndedAttempt ended;
  WorkerId worker;
  Time at;
};

// A settled request, kept until the entry has confirmed its outcome.
struct SettledRequest {
  wire::Settled outcome;
  std::set<EntryId> unconfirmed;
  AttemptId attempt;  // to acknowledge; empty if none
  WorkerId worker;
  std::string request_key;
  Time at;
};

struct State {
  State(PlacerSettings chosen, const RecordStore* record_store,
        Metrics* metric_store);

  // Forgets everything of a term.
  void Clear();

  void Send(const WorkerId& worker, wire::PlacerToWorker message);
  void Send(const EntryId& entry, wire::PlacerToEntry message);
  // Queues a call on the platform and returns its id.
  uint64_t Call(KvCall call);
  AttemptId NewAttemptId();

  WorkItem* FindWork(const WorkId& id);
  AttemptInfo* FindAttempt(const AttemptId& id);
  // Recomputes `accounted` and `unreached`.
  void RefreshAccounting(Time now);
  // True if whatever an earlier placer started since `since` left evidence
  // that is known here: then work of which there is no trace has not run.
  bool EvidenceWhole(Time since) const;
  // What more a team may start in this domain, counting unreached workers as
  // if all they have ran for it.
  Resources Room(const TeamId& team) const;
  // Weighted dominant share of what the team runs here.
  double ShareRatio(const TeamId& team) const;
  void Count(const std::string& name, const std::string& reason);

  PlacerSettings settings;
  const RecordStore* records;
  Metrics* metrics;

  ContractBook contracts;
  Ledger ledger;
  AllotmentManager allotments;
  WorkQueue queue;
  RunTimeEstimator run_times;
  FailureRateTracker failures;
  RetryBudget retry_budget;

  std::set<EntryId> entries;  // linked
  std::map<WorkerId, ListedWorker> listed;
  std::map<WorkerId, uint64_t> incarnations;
  std::set<WorkerId> lapsed;
  // Workers that the platform's list calls gone or no longer names.
  std::map<WorkerId, Time> gone_since;
  // Every worker was reached in this term or has lapsed, so that whatever an
  // earlier placer started is known.
  bool accounted = false;
  Resources unreached;  // capacity of workers that are neither
  std::map<WorkerId, Time> set_aside;
  // When each worker reached in this term had started, by its own uptime.
  std::map<WorkerId, Time> booted_at;
  // A worker lapsed in this term without having told what it ran before.
  bool evidence_lost = false;
  std::map<EntryId, Time> entry_lost_at;
  Time term_began;

  std::unordered_map<WorkId, WorkItem> works;
  std::unordered_map<AttemptId, AttemptInfo> attempts;
  std::unordered_map<WorkId, AttemptId> attempt_of_work;
  std::unordered_map<WorkId, Evidence> evidence;
  std::unordered_map<WorkId, SettledRequest> settled;
  std::unordered_map<std::string, WorkId> work_of_key;
  std::set<WorkId> awaiting_evidence;
  // Ended attempts that their worker may forget; told with its next grant.
  std::map<WorkerId, std::vector<std::string>> acknowledged;
  // Deadlines and ends of back-offs; entries may be out of date.
  std::set<std::pair<Time, WorkId>> wakeups;
  // By `FlowOf`.
  std::map<QueueId, size_t> waiting_in_queue;
  std::map<QueueId, size_t> running_in_queue;

  // True if the work may start now; otherwise what it lacks is on its way.
  std::function<bool(WorkItem* item)> may_start = [](WorkItem*) {
    return true;
  };
  std::vector<PlacerEffect> outbox;
  uint64_t next_call = 1;
  uint64_t next_attempt = 1;
  bool placement_due = false;
};

// A queue's work of one class. Requests are not counted, nor their run times
// learned, together with the tasks of jobs in the same queue.
QueueId FlowOf(const wire::Work& work);

// Key under which a caller's request key is kept: keys of different teams and
// queues never meet.
std::string ScopedKey(const wire::Work& work);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_STATE_H_
