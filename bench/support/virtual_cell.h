// A cell for measuring decisions: the shipped core of `quetzal/cell`, virtual
// workers, advisers and a virtual store, all in virtual time, and jobs drawn
// from named distributions with a seed. No network, no faults of its own.
//
//   VirtualCell cell(GrownDeployment(), seed);
//   cell.RunUntil(Seconds(40));
//   for (const ClassReport& each : cell.Report()) ...
//
// The same deployment and seed give the same jobs, whatever the core decides.
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

// A distribution with a long tail, cut at `most`.
struct Spread {
  double mean = 1;
  double spread = 0;  // standard deviation over the mean, about
  double most = 1;
};

// One kind of job.
struct JobClass {
  std::string name;
  double per_second = 1;
  double worth = 1;
  Spread steps;
  Spread width;      // tasks of a step
  Spread run_ms;     // of a task
  Spread cpu_milli;  // of a task
  Spread memory_mib;
  double uneven = 0;         // of the tasks of one step
  double estimate_off = 0;   // spread of the caller's guess around the truth
  double gang_share = 0;     // of the jobs
  double saves_share = 0;    // of the jobs, write checkpoints
  double most_apart = 0;     // share of jobs with at most one task a worker
  double failing_share = 0;  // of the runs
  int priority = 0;
  int most_attempts = 2;
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

// Advisers that can't be reached for a while: nothing is answered.
struct AdviserCut {
  double share = 0;
  Milliseconds from{0};
  Milliseconds to{0};
};

struct Deployment {
  int workers = 48;
  Resources worker_capacity;
  int advisers = 6;
  double teams = 6;
  // One way, placer to a worker or adviser: of its own region, of others.
  Milliseconds near{1};
  Milliseconds far{30};
  double far_share = 0.67;
  Milliseconds store_round_trip{35};
  std::vector<JobClass> classes;
  std::vector<Burst> bursts;
  AdviserCut adviser_cut;
  Milliseconds length{34'000};
};

// Deployments of today's and of the grown size; the figures are those of the
// users' sheets.
Deployment TodaysDeployment();
Deployment GrownDeployment();

struct ClassReport {
  std::string name;
  int asked = 0;  // within their teams' weights
  int in_time = 0;
  int late = 0;  // ended by three times the objective
  double in_time_share = 0;
  double largest_in_time_share = 0;  // of the largest fifth by work
  double credit = 0;         // earned over owed, a late end counting a fifth
  Milliseconds wait_p50{0};  // from acceptance to the last first start
  Milliseconds wait_p95{0};
};

struct CellReport {
  std::vector<ClassReport> classes;
  double credit = 0;  // of all, weighed by worth
  int64_t questions = 0;
  double advice_seconds = 0;
  double wasted_core_seconds = 0;
  double busy_share = 0;  // of the workers' processors, while jobs arrive
  int64_t starts = 0;
};

class VirtualCell {
 public:
  VirtualCell(Deployment deployment, uint64_t seed);
  ~VirtualCell();

  // Runs all jobs that arrive, and `extra` beyond the last arrival.
  void Run(Milliseconds extra);
  CellReport Report() const;
  // Starts that a worker had no room for.
  int over_capacity() const { return over_capacity_; }

 private:
  struct Running {
    StartOrder order;
    Time began;
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
    int64_t next_end = 1;
    bool hold_waits = false;
    uint64_t hold = 0;  // counts holds, so that an old wait ends nothing
    PollRequest request;
    Time hold_sent;
  };
  struct Adviser {
    Milliseconds one_way{1};
    Time free_at;
    bool is_cut = false;  // while the cut lasts
  };
  struct Truth {
    const JobClass* job_class = nullptr;
    AcceptedJob job;
    std::vector<std::vector<Milliseconds>> work;  // by step and task
    Milliseconds objective{0};
    bool is_owed = true;  // within its team's weight
    Time arrived;
    std::map<TaskId, Time> first_starts;
    std::optional<Time> completed;
  };

  void DrawJobs();
  void AddArrival(const JobClass& job_class, Time at, const std::string& team);
  double TeamWeight() const;
  void MarkOwed();
  Milliseconds DrawMs(const Spread& spread);
  double Draw(const Spread& spread);
  void Wake();
  void Act(const CellAction& action);
  void Hold(const PollAction& action);
  void AnswerHold(Worker* worker);
  void StartTask(const StartAction& action);
  void BeginGangIfWhole(const TaskId& member, int64_t run);
  void ScheduleEnd(Worker* worker, const TaskId& task, Milliseconds after);
  void EndTask(Worker* worker, const TaskId& task, TaskOutcome how);
  void StopTask(const StopAction& action);
  void Ask(const RequestAdviceAction& action);
  bool IsAllowed(const AdviceQuery& question, const WorkerId& worker) const;
  void Store();
  static double WorkOf(const Truth& truth);
  double MeanWork(const JobClass& job_class) const;

  Deployment deployment_;
  std::mt19937_64 random_;
  uint64_t seed_;
  EventLog log_{"bench", {.lines_per_second = 0}};
  Metrics metrics_;
  testing::EventQueue events_{Time(Milliseconds(1'000'000))};
  Time began_;
  std::unique_ptr<Cell> cell_;
  std::map<WorkerId, Worker> workers_;
  std::map<HelperId, Adviser> advisers_;
  std::unordered_map<JobId, Truth> truths_;
  std::vector<JobId> order_;  // of arrival
  bool wake_pending_ = false;
  Time next_store_;
  uint64_t next_run_ = 1;
  int over_capacity_ = 0;
  int64_t questions_ = 0;
  int64_t starts_ = 0;
  double advice_seconds_ = 0;
  double wasted_core_seconds_ = 0;
  double useful_core_seconds_ = 0;
};

}  // namespace quetzal::bench

#endif  // BENCH_SUPPORT_VIRTUAL_CELL_H_
