// What workers say of themselves, the orders that they take, and advice on
// which of them may run a step.
//
//   port->Poll(address, {.fence = Fence{7}, .wait = Milliseconds(1000)},
//              [](const PollAnswer& answer) { ... });
//
// A worker's clock is its own: points on it are only compared with each other.
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
// Orders with a lower one than the highest that a worker saw have no effect.
enum class Fence : uint64_t {};
// Unix millisecond of a worker's start: tells lives under one id apart.
enum class Incarnation : int64_t {};

// A task of one occurrence of a job's step.
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
  std::string rack;                 // of `labels`; empty: none told
  Resources capacity;
  bool draining = false;
  Milliseconds min_time_left{0};  // while draining: before it leaves
  Incarnation incarnation{0};     // 0: not told
};

enum class TaskOutcome {
  kDone,
  kFailed,  // by its own or the worker's fault
  kStopped,
  kLeaseExpired,     // its lease ran out
  kGangMemberEnded,  // another member of its gang ended
  kGangIncomplete,   // the other members of its gang didn't come in time
};

struct RunningTask {
  TaskId task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;  // of its work that is done
};

struct EndedTask {
  int64_t number = 0;  // rises within an incarnation
  TaskId task;
  int64_t run = 0;
  TaskOutcome how = TaskOutcome::kDone;
  std::string checkpoint;
};

struct PollRequest {
  Fence fence{0};
  WorkerTime lease_until{0};     // 0: extends nothing
  int64_t acknowledged_end = 0;  // ends up to it are forgotten by the worker
  Milliseconds wait{0};          // for an end to come
};

// How an order went, as far as its sender can tell.
enum class OrderOutcome {
  kDone,
  kFenced,        // a higher fence is known there
  kStaleRun,      // a run as high ended or was stopped there
  kLeaseExpired,  // its lease had run out on arrival
  kInsufficientCapacity,
  kInvalidTicket,      // missing or no longer valid
  kOtherIncarnation,   // another incarnation answers there
  kNotExecuted,        // refused for another reason, surely without effect
  kConnectionRefused,  // nothing listens there
  kUnknown,            // no answer: it may have been or still be carried out
};

struct PollAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerTime clock{0};
  Incarnation incarnation{0};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
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
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerTime clock{0};  // 0: not told
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
};

// Which workers may run a step.
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
  std::vector<Permit> permits;  // of those that may
  Milliseconds validity{0};     // 0: not told
};

class AdviceClient {
 public:
  virtual ~AdviceClient() = default;
  virtual void Ask(const AdviceQuery& question, Milliseconds timeout,
                   std::function<void(const AdviceAnswer&)> done) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_WORKER_WORKER_H_
