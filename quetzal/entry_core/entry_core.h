// The decision core of an entry VM: checks callers' requests, forwards them to
// the failure domain's active placer and returns each outcome to its caller.
//
//   EntryCore core(settings, &records, &metrics);
//   core.OnRequest(request, now);
//   core.OnPlacerMessage(placer, message, now);
//   for (const EntryEffect& effect : core.TakeEffects()) carry_out(effect);
//
// Has no sockets, threads or clocks. Each call of a caller gets exactly one
// reply. A refusal says "not run" only if the work was never sent to a placer,
// or if the placer established that it did not run.
#ifndef QUETZAL_ENTRY_CORE_ENTRY_CORE_H_
#define QUETZAL_ENTRY_CORE_ENTRY_CORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/proto/wire.pb.h"
#include "quetzal/record_store/record_store.h"
#include "quetzal/refusal/refusal.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

struct EntrySettings {
  EntryId self;
  // Age of the records above which a key's revocation may have been missed.
  Milliseconds freshness{12'000};
  // Time after a request's deadline in which its outcome is still accepted.
  Milliseconds outcome_grace{2'000};
  Milliseconds job_deadline{10'000};   // to store a job durably
  Milliseconds query_deadline{5'000};  // for queries and cancellations of jobs
  Milliseconds confirm_interval{500};  // of received outcomes, to placers
  size_t max_pending = 20'000;
  // Disabled only by tests that show each of them to be necessary.
  bool matches_by_id = true;  // an outcome goes to the request it names
  // Work that may have run isn't reported as "not run".
  bool reports_unknown_fate = true;
};

// Identifies a call of a caller until its reply.
enum class CallId : uint64_t {};

// A request as a caller sent it.
struct CallerRequest {
  CallId call{};
  std::optional<std::string> key;  // the team's key, in plain text
  wire::Work work;                 // queue, size, payload; no id or team yet
  Milliseconds deadline{10'000};
};

// A job as a submitter sent it.
struct CallerJob {
  CallId call{};
  std::optional<std::string> key;
  wire::JobSpec spec;  // without id
};

struct JobQuery {
  CallId call{};
  std::optional<std::string> key;
  JobId job;
  bool cancel = false;
};

struct AnswerReply {
  CallId call{};
  WorkId request;
  WorkerId worker;
  AttemptId attempt;
  std::string answer;
  Milliseconds waited{0};
};

struct RefusalReply {
  CallId call{};
  Refusal reason{};
  wire::RunFate fate = wire::RUN_FATE_NOT_RUN;
  std::string detail;
  std::optional<Milliseconds> retry_after;
  WorkId request;      // empty if refused before it had an id
  std::string answer;  // of work that ran and failed
};

struct JobStateReply {
  CallId call{};
  JobId job;
  wire::JobReply state;
  bool accepted = false;  // the reply to a submission
};

struct SendToPlacer {
  PlacerId placer;
  wire::EntryToPlacer message;
};

using EntryEffect =
    std::variant<AnswerReply, RefusalReply, JobStateReply, SendToPlacer>;

class EntryCore {
 public:
  // `records` and `metrics` must outlive the core.
  EntryCore(EntrySettings settings, RecordStore* records, Metrics* metrics);

  void OnRequest(const CallerRequest& request, Time now);
  void OnJob(const CallerJob& job, Time now);
  void OnJobQuery(const JobQuery& job_query, Time now);
  // The caller closed its connection: drops and cancels its request.
  void OnCallerDisconnected(CallId call);

  void OnPlacerLink(const PlacerId& placer, bool up, Time now);
  void OnPlacerMessage(const PlacerId& placer,
                       const wire::PlacerToEntry& message, Time now);
  void OnPlatformHealth(PlatformHealth health);
  void OnTick(Time now);

  // Refuses new work; pending work continues.
  void BeginDrain();
  bool draining() const { return draining_; }
  size_t pending() const { return requests_.size() + jobs_.size(); }
  // The placer that work is sent to; nullopt if none is active.
  std::optional<PlacerId> active_placer() const;

  std::vector<EntryEffect> TakeEffects();

 private:
  struct Pending {
    CallId call{};
    wire::EntryToPlacer message;  // submit, submit_job, query_job, cancel_job
    Time received;
    Time deadline;
    bool sent = false;  // some placer may have received it
    PlacerId sent_to;   // the most recent one
  };
  using PendingById = std::unordered_map<std::string, Pending>;
  struct PlacerView {
    bool linked = false;
    bool active = false;
    uint64_t epoch = 0;
  };

  std::optional<Refusal> Authorize(const std::optional<std::string>& key,
                                   const QueueRecord& queue, Time now) const;
  std::optional<TeamId> TeamOfKey(const std::optional<std::string>& key,
                                  Refusal* reason) const;
  const QueueRecord* Admit(CallId call, const std::optional<std::string>& key,
                           const std::string& queue, Time now);
  void Refuse(CallId call, Refusal reason, const std::string& detail = "");
  void Reply(EntryEffect effect) { effects_.push_back(std::move(effect)); }
  std::string NewId(const std::string& kind);
  static Pending NewPending(CallId call, Milliseconds deadline, Time now);
  void AddPending(const std::string& id, Pending pending, PendingById* to,
                  Time now);
  void Send(Pending* pending, Time now);
  void SelectActivePlacer(Time now);
  void SendAllPending(Time now);
  void OnHello(const PlacerId& placer, const wire::PlacerHello& hello,
               Time now);
  std::string RequestIdFor(const wire::Settled& settled) const;
  void OnSettled(const PlacerId& placer, const wire::Settled& settled);
  void OnJobReply(const wire::JobReply& reply);
  void ConfirmOutcomes(Time now);
  wire::EntryToPlacer Hello(Time now) const;

  EntrySettings settings_;
  RecordStore* records_;
  Metrics* metrics_;
  PlatformHealth health_ = PlatformHealth::kReachable;
  bool draining_ = false;
  uint64_t next_id_ = 1;
  std::map<PlacerId, PlacerView> placers_;
  std::optional<PlacerId> active_;
  uint64_t active_epoch_ = 0;
  PendingById requests_;  // by request id
  PendingById jobs_;      // by job or query id
  std::unordered_map<uint64_t, std::string> id_of_call_;
  std::set<std::pair<Time, std::string>> deadlines_;
  std::vector<EntryEffect> effects_;
  // Work ids of received outcomes not yet confirmed to their placer.
  std::map<PlacerId, std::vector<std::string>> unconfirmed_;
  Time last_confirm_;
  Time last_hello_;
};

}  // namespace quetzal

#endif  // QUETZAL_ENTRY_CORE_ENTRY_CORE_H_
