// Model of a platform worker, without sockets or clocks: contracts with epochs,
// tasks under a lease, an inventory, and records of ended attempts.
//
//   WorkerModel worker({.id = "w1", .capacity = capacity});
//   worker.OnMessage(peer, message, now);
//   worker.OnTick(now);
//   for (const WorkerOutput& output : worker.TakeOutputs()) send(output);
//
// The stand-in process and the fault matrix use the same model. It logs what
// ran, for the checkers of the scheduler's guarantees. It never refuses a start
// for insufficient capacity, so that the log shows a scheduler that overloads
// it. A task's payload sets how it runs: "run_ms=50", "fail=1",
// "answer_bytes=1000"; the answer begins with the payload.
#ifndef STANDINS_WORKER_WORKER_MODEL_H_
#define STANDINS_WORKER_WORKER_MODEL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/proto/wire.pb.h"
#include "quetzal/resources/resources.h"

namespace quetzal::standin {

struct WorkerModelSettings {
  WorkerId id;
  RackId rack;
  Resources capacity;
  uint64_t incarnation = 1;
  Milliseconds usage_every{10'000};
  // False injects a fault: the worker skips the check.
  bool checks_contract = true;
  bool refuses_when_leaving = true;
};

// An entry of a worker's log.
struct WorkerEvent {
  enum class Kind { kStarted, kEnded, kRefused };
  Kind kind = Kind::kStarted;
  Time at;
  WorkerId worker;
  std::string attempt;
  std::string work;
  std::string team;
  std::string payload;
  std::string request_key;
  wire::WorkClass work_class = wire::WORK_CLASS_REQUEST;
  bool idempotent = false;
  Resources size;
  Resources in_use;  // on this worker, after the event
  wire::Outcome outcome = wire::OUTCOME_UNSPECIFIED;
  std::string reason;  // of a refusal
};

struct WorkerOutput {
  uint64_t peer = 0;
  wire::WorkerToPlacer message;
};

class WorkerModel {
 public:
  // `booted` is the time at which this incarnation started.
  WorkerModel(WorkerModelSettings settings, Time booted);

  void OnMessage(uint64_t peer, const wire::PlacerToWorker& message, Time now);
  void OnPeerClosed(uint64_t peer);
  void OnTick(Time now);

  // The platform announces to the worker that it will be shut down.
  void Leave();
  // While on, every task that starts fails.
  void FailEverything(bool on) { fail_everything_ = on; }

  std::vector<WorkerOutput> TakeOutputs();
  std::vector<WorkerEvent> TakeEvents();
  const Resources& in_use() const { return in_use_; }
  size_t running() const;
  bool leaving() const { return leaving_; }

 private:
  struct Task {
    wire::Work work;
    bool held = false;
    Time ends_at;
    Time hold_expires_at;
    bool fails = false;
  };

  void RemoveEnded(
      const google::protobuf::RepeatedPtrField<std::string>& attempts);
  void OnGrant(uint64_t peer, const wire::Grant& grant, Time now);
  void OnStart(uint64_t peer, uint64_t epoch, const wire::Start& start,
               Time now);
  void OnGo(uint64_t epoch, const std::string& attempt, Time now);
  void OnStop(uint64_t peer, uint64_t epoch, const wire::Stop& stop, Time now);
  std::string RefusalReason(uint64_t epoch, const std::string& attempt,
                            Time now) const;
  void Run(Task* task, const std::string& attempt, Time now);
  void End(const std::string& attempt, wire::Outcome outcome, Time at);
  void Log(WorkerEvent::Kind kind, const std::string& attempt,
           const wire::Work& work, Time now);
  void Send(uint64_t peer, wire::WorkerToPlacer message);
  void SendToHolder(wire::WorkerToPlacer message);
  wire::Inventory MakeInventory() const;

  WorkerModelSettings settings_;
  Time booted_;
  uint64_t epoch_ = 0;
  std::string holder_;
  uint64_t holder_peer_ = 0;
  bool holder_connected_ = false;
  Time contract_expires_at_;
  Time lease_expires_at_;
  bool leaving_ = false;
  bool fail_everything_ = false;
  std::map<std::string, Task> tasks_;
  std::map<std::string, wire::EndedAttempt> ended_;
  std::set<std::string> unstartable_attempts_;
  Resources in_use_;
  Resources reported_;
  Time reported_at_;
  std::vector<WorkerOutput> outputs_;
  std::vector<WorkerEvent> events_;
};

}  // namespace quetzal::standin

#endif  // STANDINS_WORKER_WORKER_MODEL_H_
