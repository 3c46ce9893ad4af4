// Runs a cell in virtual time against fake workers, for tests.
//
//   FakeFleet fleet(3);
//   fleet.Recover();
//   fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(2)}),
//                       Revision{1}, std::nullopt, fleet.now());
//   fleet.Run(Milliseconds(50));
#ifndef QUETZAL_CELL_TESTING_FAKE_FLEET_H_
#define QUETZAL_CELL_TESTING_FAKE_FLEET_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "quetzal/cell/cell.h"

namespace quetzal::testing {

inline constexpr Fence kFence{7};
inline constexpr int64_t kRunFloor = 16;
inline constexpr size_t kMaxEndsInAnswer = 20;

// A worker that carries out all orders at once, with its own clock.
struct FakeWorker {
  WorkerEntry entry;
  int64_t clock_ms = 100'000;
  int64_t next_end_number = 1;
  bool unresponsive = false;
  bool refuses_connections = false;
  std::optional<int> fixed_percent;

  bool is_replaced = false;  // another worker answers at its address

  bool CanBeReached() const {
    return !unresponsive && !refuses_connections && !is_replaced;
  }
  // Of an order that doesn't reach the worker.
  OrderOutcome failure() const {
    if (is_replaced) return OrderOutcome::kOtherWorker;
    return refuses_connections ? OrderOutcome::kConnectionRefused
                               : OrderOutcome::kUnknown;
  }

  // On its clock; its runs end there.
  int64_t lease_until_ms = 0;
  std::map<TaskId, int64_t> running;
  // Further runs of tasks that `running` contains with another number.
  std::set<std::pair<TaskId, int64_t>> runs_beside;
  std::vector<EndedTask> ended;
  std::map<TaskId, int64_t> ended_runs;  // highest that ended or was stopped
  int64_t acknowledged_end = 0;
  Fence highest_fence{0};
  std::map<TaskId, int> paces;                    // as ordered
  std::map<TaskId, Milliseconds> response_tails;  // of serving tasks

  void End(const TaskId& task, TaskOutcome how) {
    ended.push_back({next_end_number++, task, running.at(task), how, ""});
    ended_runs[task] = running.at(task);
    running.erase(task);
  }
  // Ends a run that `runs_beside` contains.
  void EndBeside(const TaskId& task, int64_t run, TaskOutcome how) {
    ended.push_back({next_end_number++, task, run, how, ""});
    ended_runs[task] = std::max(ended_runs[task], run);
    runs_beside.erase({task, run});
  }
  size_t run_count() const { return running.size() + runs_beside.size(); }
  int RunsOfStep(const TaskId& of) const {
    const auto is_same = [&of](const auto& each) {
      return each.first.job == of.job && each.first.step == of.step;
    };
    return static_cast<int>(
        std::count_if(running.begin(), running.end(), is_same) +
        std::count_if(runs_beside.begin(), runs_beside.end(), is_same));
  }
  // Starts again under its id: it then holds and knows nothing of before.
  void Restart() {
    entry.incarnation =
        Incarnation{static_cast<int64_t>(entry.incarnation) + 1};
    clock_ms = 1;
    next_end_number = 1;
    lease_until_ms = 0;
    running.clear();
    runs_beside.clear();
    highest_fence = Fence{0};
    ended.clear();
    ended_runs.clear();
    acknowledged_end = 0;
  }
  void ExtendLease(WorkerTime until) {
    const int64_t limit = clock_ms + CellSettings{}.max_lease.count();
    lease_until_ms =
        std::max(lease_until_ms, std::min(static_cast<int64_t>(until), limit));
  }
  void EndExpiredRuns() {
    if (clock_ms <= lease_until_ms) return;
    while (!running.empty()) {
      End(running.begin()->first, TaskOutcome::kLeaseExpired);
    }
    while (!runs_beside.empty()) {
      const auto [task, run] = *runs_beside.begin();
      EndBeside(task, run, TaskOutcome::kLeaseExpired);
    }
  }
};

// Drives a cell in virtual time against fake workers. Advice allows all workers
// except `denied_`.
class FakeFleet {
 public:
  explicit FakeFleet(int workers,
                     std::optional<AdviceConfig> advice = std::nullopt)
      : advice_(advice) {
    for (int i = 0; i < workers; ++i) {
      FakeWorker worker;
      worker.entry.id = WorkerId("w-" + std::to_string(i));
      worker.entry.address = "10.0.0." + std::to_string(i) + ":1";
      worker.entry.service = ServiceId("s");
      worker.entry.capacity = {.cpu_milli = 4'000, .memory_mib = 4'000};
      worker.entry.incarnation = Incarnation{1};
      workers_[worker.entry.id] = worker;
    }
    StartTerm(kFence, kRunFloor);
  }

  // Whether a new placer has read the configuration when its term begins.
  enum class Configuration { kLoaded, kNotLoaded };

  void StartTerm(Fence fence, int64_t run_floor,
                 Configuration configuration = Configuration::kLoaded) {
    cell_ = std::make_unique<Cell>(CellSettings{}, fence, run_floor, now_,
                                   &log_, &metrics_);
    actions_.clear();
    if (configuration == Configuration::kLoaded) Configure();
    for (const auto& [id, worker] : workers_) {
      if (!unlisted_.contains(id)) cell_->OnWorkerEntry(worker.entry, now_);
    }
    cell_->OnWorkersListed(now_);
    std::optional<StoredRoster> roster;
    if (is_roster_readable_) {
      roster = {.entries = roster_,
                .term = roster_term_,
                .fence = roster_fence_,
                .former_placers = former_placers_};
    }
    cell_->OnRoster(roster, now_);
    cell_->OnHelpers({HelperId("vm-1")});
  }
  // Exchanges the placer whose orders the workers get.
  void SwapCell(std::unique_ptr<Cell>* other) { cell_.swap(*other); }
  void Configure() { cell_->OnCatalog(MakeCatalog(), now_); }
  void Recover() {
    cell_->OnJobsListed(now_);
    Run(Milliseconds(20));
  }

  std::shared_ptr<const Catalog> MakeCatalog() const {
    Queue queue = MakeQueue();
    queue.advice = advice_;
    Team team{.name = TeamId("t"), .weight = 100, .limit = limit_};
    return std::make_shared<const Catalog>(1, std::vector{queue},
                                           std::vector<ServiceConfig>{},
                                           std::vector{team}, CatalogLimits{});
  }
  void SetLimit(Resources limit) {
    limit_ = limit;
    Configure();
  }

  static Queue MakeQueue() {
    return {.name = QueueId("q"),
            .service = ServiceId("s"),
            .max_attempts = 2,
            .slack_factor = 2,
            .latency_target = Milliseconds(1'000)};
  }
  // A job as an entry accepts it on the queue.
  static AcceptedJob MakeJob(const std::string& id,
                             std::vector<StepSpec> steps) {
    return MakeQueue().Accept(JobId(id), TeamId("t"), WallTime{0},
                              {.steps = std::move(steps)});
  }
  static StepSpec MakeStep(int count, int64_t cpu = 1'000) {
    return {.count = count,
            .demand = {.cpu_milli = cpu, .memory_mib = 100},
            .estimated_run_time = Milliseconds(500)};
  }

  void Run(Milliseconds span) {
    const Time until = now_ + span;
    while (now_ < until) {
      now_ += Milliseconds(10);
      for (auto& [id, worker] : workers_) {
        worker.clock_ms += 10;
        worker.EndExpiredRuns();
      }
      if (!orders_halted_) {
        cell_->Decide(now_);
        for (const CellAction& action : cell_->TakeActions()) Serve(action);
      }
      if (store_up_) Store();
    }
  }

  // Takes and answers all pending writes. `Run` skips it while the store is
  // down.
  void Store() {
    if (const auto roster = cell_->TakeRosterWrite(now_)) {
      if (roster_writes_succeed_) {
        StoreRoster(*DecodeRoster(*roster));
      }
      cell_->OnRosterWritten(roster_writes_succeed_);
    }
    for (const ProgressWrite& write : cell_->TakeProgressWrites(100)) {
      stored_[write.job] = write;
      cell_->OnProgressStored(write.job, write.version);
    }
  }

  void StoreRoster(const StoredRoster& roster) {
    roster_ = roster.entries;
    roster_term_ = roster.term;
    roster_fence_ = roster.fence;
    former_placers_ = roster.former_placers;
  }

  void Serve(const CellAction& action) {
    struct Visitor {
      FakeFleet* fleet;
      void operator()(const PollAction& a) const { fleet->ServePoll(a); }
      void operator()(const StartAction& a) const { fleet->ServeStart(a); }
      void operator()(const StopAction& a) const { fleet->ServeStop(a); }
      void operator()(const PaceAction& a) const { fleet->ServePace(a); }
      void operator()(const RequestAdviceAction& a) const {
        fleet->ServeAdvice(a);
      }
      void operator()(const ResignAction&) const { ++fleet->resignations_; }
    };
    std::visit(Visitor{this}, action);
  }

  void ServePoll(const PollAction& action) {
    ++polls_;
    if (hold_polls_) {
      held_polls_.emplace_back(action, now_);
      return;
    }
    AnswerPoll(action, now_);
  }

  // Polls that were held are answered now.
  void AnswerHeldPolls() {
    for (const auto& [action, sent] : std::exchange(held_polls_, {})) {
      AnswerPoll(action, sent);
    }
  }

  void AnswerPoll(const PollAction& action, Time sent) {
    FakeWorker& worker = workers_.at(action.worker.id);
    PollAnswer answer{.outcome = worker.failure()};
    if (worker.CanBeReached() && action.request.fence < worker.highest_fence) {
      answer = {.outcome = OrderOutcome::kFenced};
    } else if (worker.CanBeReached()) {
      worker.highest_fence =
          std::max(worker.highest_fence, action.request.fence);
      worker.ExtendLease(action.request.lease_until);
      worker.acknowledged_end =
          std::max(worker.acknowledged_end, action.request.acknowledged_end);
      std::erase_if(worker.ended, [&](const EndedTask& ended) {
        return ended.number <= worker.acknowledged_end;
      });
      answer = {.outcome = OrderOutcome::kDone,
                .clock = WorkerTime{worker.clock_ms},
                .incarnation = worker.entry.incarnation,
                .ended = worker.ended};
      if (answer.ended.size() >= kMaxEndsInAnswer) {
        answer.ended.resize(kMaxEndsInAnswer);
        answer.ends_are_complete = false;
      }
      for (const auto& [task, run] : worker.running) {
        const int percent = worker.fixed_percent.value_or(
            static_cast<int>(worker.clock_ms % 97));
        const auto tail = worker.response_tails.find(task);
        answer.running.push_back({task, run, "", percent,
                                  tail == worker.response_tails.end()
                                      ? Milliseconds(0)
                                      : tail->second});
      }
      for (const auto& [task, run] : worker.runs_beside) {
        answer.running.push_back(
            {task, run, "", static_cast<int>(worker.clock_ms % 97)});
      }
    }
    cell_->OnPollAnswer(action.worker.id, action.request, sent, answer, now_);
  }

  void ServeStart(const StartAction& action) {
    starts_.push_back(action);
    if (hold_starts_) {
      held_starts_.push_back(action);
      return;
    }
    const OrderAnswer answer = ExecuteStart(action);
    if (lose_start_answers_) return;
    cell_->OnStartAnswer(action.worker.id, action.order, answer, now_);
  }

  // Starts that were held reach their workers. Their answers are lost.
  void DeliverHeldStarts() {
    for (const StartAction& action : held_starts_) ExecuteStart(action);
    held_starts_.clear();
  }

  OrderAnswer ExecuteStart(const StartAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    if (!worker.CanBeReached()) return {.outcome = worker.failure()};
    const WorkerTime clock{worker.clock_ms};
    const TaskId& task = action.order.task;
    if (start_outcome_ != OrderOutcome::kDone) return {start_outcome_, clock};
    if (action.order.fence < worker.highest_fence) {
      return {OrderOutcome::kFenced, clock};
    }
    worker.highest_fence = action.order.fence;
    const auto ended = worker.ended_runs.find(task);
    if (ended != worker.ended_runs.end() && ended->second >= action.order.run) {
      return {OrderOutcome::kStaleRun, clock};
    }
    worker.ExtendLease(action.order.lease_until);
    if (IsRunning(task)) ran_twice_ = true;
    const auto [same_task, is_new] =
        worker.running.emplace(task, action.order.run);
    if (!is_new && same_task->second != action.order.run) {
      worker.runs_beside.emplace(task, action.order.run);
    }
    const Resources used =
        task_size_ * static_cast<int64_t>(worker.run_count());
    if (!used.FitsIn(worker.entry.capacity)) over_capacity_ = true;
    if (max_per_worker_ && worker.RunsOfStep(task) > *max_per_worker_) {
      over_step_limit_ = true;
    }
    return {OrderOutcome::kDone, clock};
  }

  void ServeStop(const StopAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    ++stops_;
    if (hold_stops_) return;
    OrderAnswer answer{.outcome = worker.failure()};
    if (worker.CanBeReached()) {
      const auto found = worker.running.find(action.order.task);
      if (found != worker.running.end() && found->second == action.order.run) {
        worker.End(action.order.task, TaskOutcome::kStopped);
      }
      if (worker.runs_beside.contains({action.order.task, action.order.run})) {
        worker.EndBeside(action.order.task, action.order.run,
                         TaskOutcome::kStopped);
      }
      int64_t& ended_run = worker.ended_runs[action.order.task];
      ended_run = std::max(ended_run, action.order.run);
      answer = {OrderOutcome::kDone, WorkerTime{worker.clock_ms}};
    }
    cell_->OnStopAnswer(action.worker.id, action.order, answer, now_);
  }

  void ServePace(const PaceAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    OrderAnswer answer{.outcome = worker.failure()};
    if (worker.CanBeReached()) {
      if (pace_outcome_ == OrderOutcome::kDone) {
        worker.paces[action.order.task] = action.order.percent;
      }
      answer = {pace_outcome_, WorkerTime{worker.clock_ms}};
    }
    cell_->OnPaceAnswer(action.worker.id, action.order, answer);
  }

  void ServeAdvice(const RequestAdviceAction& action) {
    ++advice_queries_;
    AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                        .validity = Milliseconds(2'500)};
    for (const WorkerId& worker : action.query.workers) {
      if (!denied_.contains(worker)) answer.permits.push_back({worker, "p"});
    }
    cell_->OnAdvice(action.helper, action.query, answer, now_);
  }

  size_t running() const {
    size_t count = 0;
    for (const auto& [id, worker] : workers_) count += worker.run_count();
    return count;
  }
  bool IsRunning(const TaskId& task) const {
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
      return each.second.running.contains(task);
    });
  }
  FakeWorker& WorkerOf(const TaskId& task) {
    for (auto& [id, worker] : workers_) {
      if (worker.running.contains(task)) return worker;
    }
    CPPUNIT_FAIL("the task doesn't run");
    throw std::logic_error("unreachable");
  }
  std::vector<TaskId> RunningTasks() const {
    std::vector<TaskId> tasks;
    for (const auto& [id, worker] : workers_) {
      for (const auto& [task, run] : worker.running) tasks.push_back(task);
    }
    return tasks;
  }
  JobState StoredState(const std::string& id) const {
    const auto found = stored_.find(JobId(id));
    if (found == stored_.end()) return JobState::kQueued;
    return DecodeState(found->second.value).value_or(JobState::kQueued);
  }

  Cell* cell() { return cell_.get(); }
  Time now() const { return now_; }
  const Metrics& metrics() const { return metrics_; }

  std::map<WorkerId, FakeWorker> workers_;
  RosterEntries roster_;
  std::optional<TermNumber> roster_term_;
  std::optional<Fence> roster_fence_;
  std::vector<FormerPlacer> former_placers_;
  bool roster_writes_succeed_ = true;
  bool is_roster_readable_ = true;
  std::set<WorkerId> unlisted_;  // not in the platform's list
  std::map<JobId, ProgressWrite> stored_;
  std::vector<StartAction> starts_;
  std::set<WorkerId> denied_;
  OrderOutcome start_outcome_ = OrderOutcome::kDone;
  OrderOutcome pace_outcome_ = OrderOutcome::kDone;
  bool orders_halted_ = false;  // the placer may send none for now
  bool hold_polls_ = false;     // polls get no answer, nor a timeout
  std::vector<std::pair<PollAction, Time>> held_polls_;  // and when sent
  // Starts are carried out, and the test reports their outcomes to the cell.
  bool lose_start_answers_ = false;
  bool hold_starts_ = false;  // starts don't reach their workers yet
  std::vector<StartAction> held_starts_;
  Resources task_size_{.cpu_milli = 1'000, .memory_mib = 100};
  bool hold_stops_ = false;  // stops get no answer, nor reach their workers
  // Of each step, on one worker; checked if it is set.
  std::optional<int> max_per_worker_;
  bool over_step_limit_ = false;
  bool store_up_ = true;
  bool over_capacity_ = false;
  bool ran_twice_ = false;  // some task, on two workers at the same time
  int stops_ = 0;
  int polls_ = 0;
  int advice_queries_ = 0;
  int resignations_ = 0;

 private:
  std::optional<AdviceConfig> advice_;
  Resources limit_;
  EventLog log_{"test",
                {.lines_per_second = 0, .important_lines_per_second = 0}};
  Metrics metrics_;
  Time now_{Milliseconds(1'000'000)};
  std::unique_ptr<Cell> cell_;
  std::vector<CellAction> actions_;
};

inline TaskId Task(const std::string& job, int step, int index) {
  return {JobId(job), 0, step, index};
}

}  // namespace quetzal::testing

#endif  // QUETZAL_CELL_TESTING_FAKE_FLEET_H_
