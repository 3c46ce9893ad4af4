// What workers say of themselves, the orders that they take, and advice on
// which of them may run a step.
//
//   port->Hold(address, {.fence = Fence{7}, .wait = Milliseconds(1000)},
//              [](const HoldAnswer& answer) { ... });
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
enum class WorkerClock : int64_t {};
// Orders with a lower one than the highest that a worker saw have no effect.
enum class Fence : uint64_t {};
// Unix millisecond of a worker's start: tells lives under one id apart.
enum class Incarnation : int64_t {};

// A task of one occurrence of a job's step.
struct TaskName {
  JobId job;
  int64_t occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
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
  Milliseconds least_left{0};  // while draining: before it leaves
  Incarnation incarnation{0};  // 0: not told
};

enum class EndKind {
  kDone,
  kFailed,  // by its own or the worker's fault
  kStopped,
  kLapsed,  // its lease ran out
  kBroken,  // another member of its gang ended
  kAlone,   // the other members of its gang didn't come in time
};

struct RunningTask {
  TaskName task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;  // of its work that is done
};

struct EndedTask {
  int64_t number = 0;  // rises within an incarnation
  TaskName task;
  int64_t run = 0;
  EndKind how = EndKind::kDone;
  std::string checkpoint;
};

struct HoldRequest {
  Fence fence{0};
  WorkerClock lease_until{0};  // 0: extends nothing
  int64_t last_seen = 0;       // ends up to it are forgotten by the worker
  Milliseconds wait{0};        // for an end to come
};

// How an order went, as far as its sender can tell.
enum class OrderOutcome {
  kDone,
  kFenced,   // a higher fence is known there
  kOldRun,   // a run as high ended or was stopped there
  kTooLate,  // its lease had run out on arrival
  kNoRoom,
  kNoTicket,   // missing or no longer valid
  kOtherLife,  // another incarnation answers there
  kNotDone,    // refused for another reason, surely without effect
  kRefused,    // nothing listens there
  kUnknown,    // no answer: it may have been or still be carried out
};

struct HoldAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerClock clock{0};
  Incarnation incarnation{0};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

struct StartOrder {
  TaskName task;
  int64_t run = 0;
  std::string specification;
  Fence fence{0};
  WorkerClock lease_until{0};
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  TaskName task;
  int64_t run = 0;
  Fence fence{0};
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerClock clock{0};  // 0: not told
};

class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  virtual void Hold(const WorkerEntry& worker, const HoldRequest& request,
                    std::function<void(const HoldAnswer&)> done) = 0;
  virtual void Start(const WorkerEntry& worker, const StartOrder& order,
                     std::function<void(const OrderAnswer&)> done) = 0;
  virtual void Stop(const WorkerEntry& worker, const StopOrder& order,
                    std::function<void(const OrderAnswer&)> done) = 0;
};

// Which workers may run a step.
struct AdviceQuestion {
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

class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  virtual void Ask(const AdviceQuestion& question, Milliseconds timeout,
                   std::function<void(const AdviceAnswer&)> done) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_WORKER_WORKER_H_
