// Interfaces to the workers and to the advice service, and the messages that
// they exchange.
//
//   workers->Poll(entry, {.fence = Fence{7}, .wait = Milliseconds(1000)},
//                 [](const PollAnswer& answer) { ... });
//
// Each worker has a clock of its own: its readings are only compared with each
// other.
#ifndef QUETZAL_WORKER_WORKER_H_
#define QUETZAL_WORKER_WORKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

// Milliseconds on a worker's steady clock.
enum class WorkerTime : int64_t {};
// Fencing token: a worker rejects orders with a lower one than it has seen.
enum class Fence : uint64_t {};
// Unix time of a worker's start in milliseconds: distinguishes its restarts
// under one id.
enum class Incarnation : int64_t {};

// Identifies a task within one occurrence of a job's step.
struct TaskId {
  JobId job;
  int64_t occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// A worker's entry in the platform's list.
struct WorkerEntry {
  WorkerId id;
  std::string address;
  ServiceId service;
  std::string zone;
  std::vector<std::string> labels;  // its kind and its rack
  std::string rack;                 // from `labels`; empty: unknown
  Resources capacity;
  bool draining = false;
  Milliseconds min_time_left{0};  // while draining: until it leaves
  Incarnation incarnation{0};     // 0: unknown
};

enum class TaskOutcome {
  kDone,
  kFailed,  // through an error of its own or of the worker
  kStopped,
  kLeaseExpired,
  kGangMemberEnded,  // another member of its gang ended
  kGangIncomplete,   // the other members of its gang didn't start in time
};

struct RunningTask {
  TaskId task;
  int64_t run = 0;
  std::string checkpoint;
  // Of its work that is complete. A long-running task serves at 100.
  int percent = 0;
  // Tail of the response times of a serving task over about half a second.
  // Meaningless for other tasks.
  Milliseconds response_tail{0};
};

struct EndedTask {
  int64_t number = 0;  // increases within an incarnation
  TaskId task;
  int64_t run = 0;
  TaskOutcome how = TaskOutcome::kDone;
  std::string checkpoint;
};

struct PollRequest {
  Fence fence{0};
  WorkerTime lease_until{0};     // 0: leases stay as they are
  int64_t acknowledged_end = 0;  // the worker may forget ends up to it
  Milliseconds wait{0};          // longest wait for a run to end
  // Sent beside another poll, only to learn whether the worker accepts the
  // fence. Not transmitted.
  bool is_confirmation = false;
};

// Result of an order, as far as its sender knows.
enum class OrderOutcome {
  kDone,
  kFenced,        // the worker has seen a higher fence
  kStaleRun,      // this run or a later one ended or was stopped there
  kLeaseExpired,  // the lease had expired when the order arrived
  kInsufficientCapacity,
  kInvalidTicket,      // missing or expired
  kOtherWorker,        // another worker answers at the address; not executed
  kNotExecuted,        // certainly without effect, for another reason
  kConnectionRefused,  // not executed; doesn't tell whether the worker runs
  kUnknown,            // no answer: it may have been executed, or may be yet
};

struct PollAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerTime clock{0};
  Incarnation incarnation{0};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // False if the worker may have more ends than fit into an answer.
  bool ends_are_complete = true;
  std::string problem;  // of the connection, for the log; empty if answered
};

struct StartOrder {
  TaskId task;
  int64_t run = 0;
  std::string specification;
  Fence fence{0};
  WorkerTime lease_until{0};
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  TaskId task;
  int64_t run = 0;
  Fence fence{0};
  // Of the worker when the order was sent. Not transmitted.
  Incarnation incarnation{0};
};

// Lets a task work at a share of its full speed. Its memory stays in use.
struct PaceOrder {
  TaskId task;
  int64_t run = 0;
  int percent = 100;
  Fence fence{0};
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerTime clock{0};  // 0: unknown
};

class WorkerClient {
 public:
  virtual ~WorkerClient() = default;
  virtual void Poll(const WorkerEntry& worker, const PollRequest& request,
                    std::function<void(const PollAnswer&)> done) = 0;
  virtual void Start(const WorkerEntry& worker, const StartOrder& order,
                     std::function<void(const OrderAnswer&)> done) = 0;
  virtual void Stop(const WorkerEntry& worker, const StopOrder& order,
                    std::function<void(const OrderAnswer&)> done) = 0;
  virtual void SetPace(const WorkerEntry& worker, const PaceOrder& order,
                       std::function<void(const OrderAnswer&)> done) = 0;
};

// Asks which of `workers` may run a step.
struct AdviceQuery {
  JobId job;
  int64_t occurrence = 0;
  int step = 0;
  std::vector<WorkerId> workers;
};

struct Permit {
  WorkerId worker;
  std::string ticket;
};

struct AdviceAnswer {
  enum class Kind { kAnswered, kBusy, kNoAnswer };
  Kind kind = Kind::kNoAnswer;
  std::vector<Permit> permits;  // for the workers that may run the step
  Milliseconds validity{0};     // 0: unspecified
};

class AdviceClient {
 public:
  virtual ~AdviceClient() = default;
  virtual void Ask(const AdviceQuery& query, Milliseconds timeout,
                   std::function<void(const AdviceAnswer&)> done) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_WORKER_WORKER_H_
