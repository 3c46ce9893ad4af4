// Simulates a system in virtual time: the production placer and entry cores,
// worker models and a platform model, connected by links that can be cut or
// made to delay, lose, repeat and reorder messages.
//
//   World world({.domains = 2}, /*seed=*/7);
//   world.Apply("queue/quick", record);
//   world.Submit("entry-a-1", {.queue = "quick", .key = "k"});
//   world.Run(Milliseconds(5'000));
//   world.Kill("placer-a-1");
//
// Everything runs in one thread and in an order determined by the seed. Worker
// events and replies to callers are kept for the checker.
#ifndef TESTS_SUPPORT_WORLD_H_
#define TESTS_SUPPORT_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quetzal/entry_core/entry_core.h"
#include "quetzal/placer/placer.h"
#include "quetzal/platform_client/platform_client.h"
#include "quetzal/record_watcher/record_watcher.h"
#include "standins/platform/kv_model.h"
#include "standins/worker/worker_model.h"
#include "tests/support/event_queue.h"

namespace quetzal::testing {

// Capacity target: the time for a change of configuration to take effect
// everywhere.
inline constexpr Milliseconds kPropagationBound{17'000};

struct WorldSettings {
  int domains = 1;
  int vms_per_domain = 2;
  int workers_per_domain = 3;
  Resources worker_capacity = {
      .cpu_milli = 4'000, .memory_mib = 8'192, .slots = 4};
  // Mechanisms that a test can switch off to show that they are needed.
  bool workers_check_contracts = true;
  bool workers_refuse_when_leaving = true;
  bool entries_end_when_idle = true;
  bool records_check_revisions = true;
  Milliseconds latency{1};
  Milliseconds vm_list_lag{500};
  PlacerSettings placer;  // names and domains are filled in
  EntrySettings entry;
};

// What a caller sends.
struct CallSpec {
  std::string queue;
  std::string key;  // empty: none
  std::string request_key;
  bool idempotent = false;
  bool urgent = false;
  int run_ms = 20;
  bool fails = false;
  Milliseconds deadline{8'000};
  Resources size = {.cpu_milli = 500, .memory_mib = 256, .slots = 1};
};

// One call and its replies.
struct CallLog {
  uint64_t number = 0;
  CallSpec spec;
  std::string entry;
  Time sent;
  std::string payload;
  std::vector<EntryEffect> replies;
  std::optional<Time> replied;
  bool connection_lost = false;  // its entry died before the reply
};

struct JobLog {
  uint64_t number = 0;
  std::string entry;
  wire::WorkClass kind = wire::WORK_CLASS_BATCH;
  uint32_t tasks = 1;
  std::string payload;
  std::string id;  // once accepted
  std::optional<std::string> refusal;
  std::string last_state;
  bool cancelled = false;
};

// A period from `from` until the restart of the worker, in which the worker was
// leaving.
struct Departure {
  std::string worker;
  Time from;
  Time until = Time::max();
};

// An operator's write of a record that took effect.
struct RecordLog {
  Time at;
  std::string path;
  std::optional<std::string> value;  // nullopt if withdrawn
  uint64_t revision = 0;
};

// What happens to one message that a rule matches.
enum class MessageFate { kDeliver, kLose, kRepeat, kDelay, kReorder };

// One message about to leave a process.
struct MessageView {
  std::string from;
  std::string to;
  std::string kind;  // such as "start", "granted", "submit", "put jobs/"
};

class World {
 public:
  World(WorldSettings settings, uint64_t seed);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Time now() const { return queue_.now(); }
  void Run(Milliseconds time);
  void At(Time when, std::function<void()> function);

  // ---- operators and callers ----
  void Apply(const std::string& path, const std::string& value);
  void Withdraw(const std::string& path);
  CallLog* Submit(const std::string& entry, const CallSpec& spec);
  JobLog* SubmitJob(const std::string& entry, const CallSpec& spec,
                    wire::WorkClass kind, uint32_t tasks);
  void CancelJob(JobLog* job);
  void RefreshJobStates();  // refreshes `last_state` of every accepted job

  // ---- faults ----
  void Kill(const std::string& process);
  void Restart(const std::string& process);
  void Freeze(const std::string& process);
  void Unfreeze(const std::string& process);
  // Drops all messages from one process to another; either may be "platform".
  void Cut(const std::string& from, const std::string& to);
  void HealCuts();
  void SetPlatformDown(bool down) { platform_down_ = down; }
  void SetPlatformSlow(Milliseconds slow) { platform_slow_ = slow; }
  // The next write to the platform takes effect, but its answer is lost.
  void DropNextAnswer() { drop_answers_ = 1; }
  void SetVmListStale(bool stale);
  void Leave(const std::string& worker);
  void FailEverything(const std::string& worker);
  void BeginEntryDrain(const std::string& entry);
  void BeginPlacerShutdown(const std::string& placer);
  void CompactHistory() { kv_.Compact(); }
  // Called for each message to decide its fate; may also inject faults.
  void SetMessageRule(std::function<MessageFate(const MessageView&)> rule) {
    rule_ = std::move(rule);
  }

  // ---- what happened ----
  const std::vector<standin::WorkerEvent>& events() const { return events_; }
  const std::vector<std::unique_ptr<CallLog>>& calls() const { return calls_; }
  const std::vector<std::unique_ptr<JobLog>>& jobs() const { return jobs_; }
  const std::vector<RecordLog>& records() const { return record_log_; }
  const std::vector<Departure>& departures() const { return departures_; }
  const WorldSettings& settings() const { return settings_; }
  // Processes whose records reverted to an earlier revision; must stay empty.
  const std::vector<std::string>& reverts() const { return reverts_; }
  // Entries that lacked a record for longer than `kPropagationBound` while they
  // and the platform could reach each other.
  const std::vector<std::string>& late_records() const { return late_records_; }
  // Calls without a reply when their entry finished its graceful shutdown.
  const std::vector<uint64_t>& unanswered_at_shutdown() const {
    return unanswered_at_shutdown_;
  }
  uint64_t platform_calls() const { return kv_.calls(); }
  uint64_t newest_record_revision() const;

  std::vector<std::string> Entries() const;
  std::vector<std::string> Placers() const;
  std::vector<std::string> Workers() const;
  std::string ActivePlacer(const std::string& domain) const;
  bool IsAlive(const std::string& process) const;
  uint64_t RecordRevisionAt(const std::string& entry) const;
  PlacerStatus StatusOf(const std::string& placer) const;
  std::mt19937_64& random() { return random_; }

 private:
  struct Process;
  class ProcessPlatform;
  struct Stream {
    bool up = false;
    uint64_t generation = 0;
    std::optional<Time> unreachable_since;
  };
  struct Watcher {
    std::string process;
    uint64_t incarnation;
    std::string prefix;
    Revision after;
    Time until;
    PlatformClient::WatchHandler handler;
  };

  Process* Find(const std::string& name) const;
  void StartProcess(const std::string& name);
  void Tick();
  void TickProcess(Process* process);
  void UpdateStreams();
  void UpdateStream(const std::string& from, const std::string& to,
                    bool wanted);
  void StreamChanged(const std::string& from, const std::string& to, bool up);
  bool Reachable(const std::string& from, const std::string& to) const;
  // Runs `function` in a process unless it dies first. While the process is
  // frozen, the function waits in its backlog.
  void Deliver(const std::string& process, uint64_t incarnation,
               Milliseconds delay, std::function<void(Process*)> function);
  void SendOnStream(const std::string& from, const std::string& to,
                    const std::string& client, const std::string& server,
                    const std::string& kind,
                    std::function<void(Process*)> deliver);
  void Flush(Process* process);
  void FlushPlacer(Process* process);
  void FlushEntry(Process* process);
  void FlushWorker(Process* process);
  void OnReply(Process* entry, const EntryEffect& effect);
  void CallPlatform(Process* process, const KvCall& call,
                    const PlatformClient::KvHandler& handler);
  void WatchPlatform(Process* process, const std::string& prefix,
                     Revision after, Milliseconds wait,
                     const PlatformClient::WatchHandler& handler);
  void ServeWatchers();
  std::vector<Vm> ListedVms() const;
  void LogRecord(const std::string& path, std::optional<std::string> value);
  void PollVms(Process* process);
  void CheckRecordPropagation(Process* process);
  void CheckReverts(Process* process);
  void CloseConnections(const std::string& entry);
  void RecordUnansweredCalls(const std::string& entry);

  WorldSettings settings_;
  std::mt19937_64 random_;
  EventQueue queue_{Time(Milliseconds(1'000'000))};
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::map<std::pair<std::string, std::string>, Stream> streams_;
  std::set<std::pair<std::string, std::string>> cuts_;
  standin::KvModel kv_;
  std::vector<Watcher> watchers_;
  bool platform_down_ = false;
  Milliseconds platform_slow_{0};
  int drop_answers_ = 0;
  std::vector<std::pair<Time, std::vector<Vm>>> vm_history_;
  std::optional<Time> vm_list_frozen_at_;
  std::function<MessageFate(const MessageView&)> rule_;
  std::vector<standin::WorkerEvent> events_;
  std::vector<std::unique_ptr<CallLog>> calls_;
  std::vector<std::unique_ptr<JobLog>> jobs_;
  std::map<uint64_t, JobLog*> job_by_call_;
  std::vector<RecordLog> record_log_;
  std::map<std::string, Time> leaving_since_;  // workers that are leaving
  std::vector<Departure> departures_;
  std::vector<std::string> reverts_;
  std::vector<std::string> late_records_;
  std::map<std::string, uint64_t> incarnations_;
  uint64_t next_call_ = 1;
  uint64_t next_generation_ = 1;
  std::vector<uint64_t> unanswered_at_shutdown_;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_WORLD_H_
