// A cell for measuring decisions: the production core of `quetzal/cell`,
// virtual workers, helpers and a virtual store, all in virtual time, and jobs
// drawn from named distributions with a seed. It has no network, and no faults
// but those of its deployment.
//
//   VirtualCell cell(GrownDeployment(), seed);
//   cell.Run(Milliseconds(25'000));
//   for (const ClassReport& each : cell.Report().classes) ...
//
// A deployment and seed determine the jobs, whatever the core decides.
#ifndef BENCH_SUPPORT_VIRTUAL_CELL_H_
#define BENCH_SUPPORT_VIRTUAL_CELL_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/cell/cell.h"
#include "tests/support/event_queue.h"

namespace quetzal::bench {

// A long-tailed distribution whose samples are capped at `max`.
struct Distribution {
  double mean = 1;
  double deviation = 0;  // approximate standard deviation, relative to the mean
  double max = 1;
};

// One kind of job.
struct JobClass {
  std::string name;
  double per_second = 1;
  double worth = 1;
  Distribution steps;
  Distribution width;      // tasks of a step
  Distribution run_ms;     // of a task
  Distribution cpu_milli;  // of a task
  Distribution memory_mib;
  double task_time_deviation = 0;   // of run times within a step
  double estimate_deviation = 0;    // of the caller's estimate
  double gang_share = 0;            // of the jobs
  double checkpoint_share = 0;      // of the jobs, that write checkpoints
  double one_per_worker_share = 0;  // of the jobs, at most one task per worker
  double failure_share = 0;         // of the runs
  int priority = 0;
  int max_attempts = 2;
  double slack_factor = 2;
  Milliseconds latency_target{1'000};
  AdviceConfig advice;
  double allowed_share = 0.5;  // of the workers, for each step
};

struct Burst {
  std::string job_class;  // empty: all
  Milliseconds from{0};
  Milliseconds to{0};
  double factor = 2;
  std::string team;  // empty: all
};

// An interval in which a share of the helpers is unreachable: they answer
// nothing.
struct HelperOutage {
  double share = 0;
  Milliseconds from{0};
  Milliseconds to{0};
};

struct Deployment {
  int workers = 48;
  Resources worker_capacity;
  int helpers = 6;
  double teams = 6;
  // One-way delay from the placer to workers and helpers in its own region and
  // in other regions.
  Milliseconds near_delay{1};
  Milliseconds far_delay{30};
  double far_share = 0.67;
  Milliseconds store_round_trip{35};
  std::vector<JobClass> classes;
  std::vector<Burst> bursts;
  HelperOutage adviser_cut;
  Milliseconds length{34'000};
};

// Deployments of today's size and of the grown size, with the figures of the
// platform's specification.
Deployment TodaysDeployment();
Deployment GrownDeployment();
Deployment LargeDeployment();

struct ClassReport {
  std::string name;
  int asked = 0;  // jobs within their teams' weights
  int in_time = 0;
  int late = 0;  // ended after the objective, within three times it
  double in_time_share = 0;
  double largest_in_time_share = 0;  // of the fifth with the most work
  double credit = 0;  // earned share of the worth; a late end earns a fifth
  Milliseconds wait_p50{0};  // from arrival to the last first start of step 0
  Milliseconds wait_p95{0};
};

struct CellReport {
  std::vector<ClassReport> classes;
  double credit = 0;  // of all classes, weighted by worth
  int64_t queries = 0;
  double advice_seconds = 0;
  double wasted_core_seconds = 0;
  double busy_share = 0;  // of the workers' processors, while jobs arrive
  int64_t starts = 0;
};

class VirtualCell {
 public:
  VirtualCell(Deployment deployment, uint64_t seed);
  ~VirtualCell();

  // Runs for the deployment's length, in which jobs arrive, and `extra` beyond.
  void Run(Milliseconds extra);
  CellReport Report() const;
  // Starts that exceeded the capacity of their worker.
  int over_capacity() const { return over_capacity_; }

 private:
  struct Running {
    StartOrder order;
    Time started_at;
    Milliseconds work{0};
    bool fails = false;
    bool waits_for_gang = false;
    uint64_t number = 0;
  };
  struct Worker {
    WorkerEntry entry;
    Milliseconds one_way{1};
    std::map<TaskId, Running> running;
    std::deque<EndedTask> ended;
    int64_t next_end_number = 1;
    bool poll_pending = false;
    // Counts polls, so that the timer of an earlier poll doesn't answer a later
    // one.
    uint64_t poll_number = 0;
    PollRequest request;
    Time poll_sent_at;
  };
  struct Helper {
    Milliseconds one_way{1};
    Time free_at;
    bool in_outage = false;  // unreachable during the outage
  };
  struct JobModel {
    const JobClass* job_class = nullptr;
    AcceptedJob job;
    std::vector<std::vector<Milliseconds>> work;  // by step and task
    Milliseconds objective{0};
    bool within_weight = true;  // of its team, per second
    Time arrived;
    std::map<TaskId, Time> first_starts;
    std::optional<Time> completed;
  };

  void DrawJobs();
  void AddArrival(const JobClass& job_class, Time at, const std::string& team);
  double TeamWeight() const;
  void MarkWithinWeight();
  Milliseconds DrawMs(const Distribution& distribution);
  double Draw(const Distribution& distribution);
  void ScheduleDecision();
  void Execute(const CellAction& action);
  void Poll(const PollAction& action);
  void AnswerPoll(Worker* worker);
  void StartTask(const StartAction& action);
  void StartGangIfComplete(const TaskId& member, int64_t run);
  void ScheduleEnd(Worker* worker, const TaskId& task, Milliseconds after);
  void EndTask(Worker* worker, const TaskId& task, TaskOutcome outcome);
  void StopTask(const StopAction& action);
  void RequestAdvice(const RequestAdviceAction& action);
  bool IsAllowed(const AdviceQuery& query, const WorkerId& worker) const;
  void WriteToStore();
  static double TotalWork(const JobModel& model);
  double MeanWork(const JobClass& job_class) const;

  Deployment deployment_;
  std::mt19937_64 random_;
  uint64_t seed_;
  EventLog log_{"bench", {.lines_per_second = 0}};
  Metrics metrics_;
  testing::EventQueue events_{Time(Milliseconds(1'000'000))};
  Time arrivals_start_;
  std::unique_ptr<Cell> cell_;
  std::map<WorkerId, Worker> workers_;
  std::map<HelperId, Helper> helpers_;
  std::unordered_map<JobId, JobModel> job_models_;
  std::vector<JobId> arrival_order_;
  bool decision_pending_ = false;
  Time next_commit_;
  uint64_t next_run_ = 1;
  int over_capacity_ = 0;
  int64_t queries_ = 0;
  int64_t starts_ = 0;
  double advice_seconds_ = 0;
  double wasted_core_seconds_ = 0;
  double useful_core_seconds_ = 0;
};

}  // namespace quetzal::bench

#endif  // BENCH_SUPPORT_VIRTUAL_CELL_H_
