// What a cell knows: workers, runs, jobs, teams' use. Internal to
// quetzal/cell; its other files act on it.
#ifndef QUETZAL_CELL_INTERNAL_STATE_H_
#define QUETZAL_CELL_INTERNAL_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quetzal/cell/cell.h"
#include "quetzal/waiting_order/waiting_order.h"

namespace quetzal::cell {

// A worker's clock may run so much slower than ours.
inline constexpr double kSlowestClock = 1.02;
// On top of a lease before it counts as lapsed: rounding and late timers.
inline constexpr Milliseconds kLapseMargin{400};
// Longest time for which a placer without the store goes on by its workers'
// confirmations; a successor waits so long before it trusts lapses.
inline constexpr Milliseconds kConfirmedWithin{2'500};

enum class RunState {
  kStarting,  // ordered, no answer yet
  kRunning,
  kStopping,  // a stop is owed or under way; also starts without an answer
};

struct Job;

// One run of a task on one worker. Charged until it surely ended.
struct Run {
  TaskId task;
  int64_t number = 0;
  RunState state = RunState::kStarting;
  Job* job = nullptr;  // null: nobody asked for it
  Resources charge;
  Time ordered;
  WorkerTime start_clock{0};  // of the answer to the start
  int percent = 0;            // of its work, as last listed
  Time progressed;            // when that last changed
  uint64_t listed_in = 0;     // newest of its worker's lists that had it
  bool stop_in_flight = false;
  Time stop_again;
  std::optional<WorkerTime> stop_clock;  // of the answer to the stop
  std::string checkpoint;
  // Found on a worker while its job isn't known (yet).
  std::optional<Time> orphan_since;
};

// An end that the worker listed and that isn't acknowledged yet.
struct UnseenEnd {
  int64_t number = 0;
  JobId job;
  uint64_t version = 0;  // of the job's progress that must be stored first
  // Of a job that isn't known (yet): the end to apply once it is.
  std::optional<EndedTask> orphan;
  Time since;
};

struct Step;

// Room on a worker that a waiting gang is to start in.
struct Claim {
  const Step* step = nullptr;
  Resources amount;
  // What others may take beyond `starts`, of the room expected by then.
  Resources spare;
  Time starts;
};

// Names a worker for as long as it is known; never used again.
using WorkerSlot = size_t;

struct Worker {
  WorkerEntry entry;
  WorkerSlot slot = 0;
  bool usable = false;      // takes work, as of the decision under way
  bool owes_stops = false;  // perhaps: some run is to be stopped
  bool listed = false;
  Time unlisted_since;
  bool covered = false;      // the stored roster names it
  bool was_covered = false;  // a former placer may have used it
  bool reached = false;      // answered a hold in this term and incarnation
  bool known_gone = false;   // its incarnation ended, or all its leases lapsed
  Incarnation incarnation{0};
  WorkerTime clock{0};  // of its newest answer
  Time clock_at;        // when that answer came
  uint64_t lists = 0;   // of runs, that it gave
  int64_t last_seen = 0;
  int64_t last_processed = 0;
  std::deque<UnseenEnd> unseen;
  bool hold_in_flight = false;
  bool silent = false;  // its last hold had no answer
  Time next_hold;
  Time confirmed;    // when its newest answered hold was sent
  Time lease_basis;  // when the newest order that may extend leases was sent
  Resources used;
  int orphans = 0;         // runs of unknown size: the worker counts as full
  int64_t fill_milli = 0;  // processors wanted by tasks that only fill
  std::map<TaskId, Run> runs;
  std::vector<Claim> claims;  // in the order in which gangs may start
  Time avoid_until;           // it refused or failed what it was given
  double failure_rate = 0;    // moving mean over its ends

  Resources Free() const { return entry.capacity - used; }
};

struct PermitState {
  bool allowed = false;
  std::string ticket;
  Time expires;
  Incarnation incarnation{0};
};

// A waiting gang's claims, and when it is expected to start.
struct Gathering {
  Time starts;
  std::vector<WorkerSlot> workers;
};

struct Task {
  TaskProgress progress;
  int active_runs = 0;
};

struct Step {
  const StepSpec* spec = nullptr;
  Resources charge;  // what a run of it takes from its worker
  std::vector<Task> tasks;
  int done = 0;
  bool ready = false;
  Time ready_since;
  Milliseconds chain{
      0};  // longest work from this step's start to the job's end
  bool question_in_flight = false;
  Time next_question;
  std::unordered_map<WorkerSlot, PermitState> permits;
  // Of a gang: its members' common run, how many of them are charged, and
  // whether that run is being given up.
  int64_t gang_run = 0;
  int gang_members = 0;
  std::optional<Gathering> gathering;
  bool gang_broken = false;
  bool gang_done = false;
  std::set<int64_t> gang_failed_runs;
  std::string gang_checkpoint;  // of any member; all carry the same
};

struct Job {
  AcceptedJob accepted;
  Revision created{0};
  JobState state = JobState::kQueued;
  std::vector<Step> steps;
  // The queue's terms as last configured.
  Queue terms;
  Time known_since;
  Milliseconds chain{0};      // longest work, by the caller's estimates
  Milliseconds objective{0};  // from `known_since`
  Time finished_at;
  bool beyond_share = false;  // its team sent more than its weight allows
  int active_runs = 0;
  uint64_t version = 1;
  uint64_t stored_version = 0;
  bool dirty = false;    // waits for its turn to be stored
  bool storing = false;  // a write is under way; a second could overtake it
  bool may_run_unseen = false;  // accepted before this term
};

struct State {
  CellSettings settings;
  Fence fence{0};
  int64_t run_floor = 0;
  Time term_began;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  bool jobs_listed = false;
  bool recovered = false;     // jobs and their queues' terms are known
  bool stored_since = false;  // some ends may be acknowledged now
  bool workers_listed = false;
  Time workers_listed_at;
  Roster roster;
  bool roster_changed = false;  // since the last write was taken
  bool accounted = false;       // every worker was reached or its leases lapsed
  Time majority_since;
  bool had_majority = false;
  std::shared_ptr<const Catalog> catalog;
  std::unordered_map<WorkerId, Worker> workers;
  std::vector<Worker*> slots;  // by slot; null once the worker is forgotten
  std::vector<WorkerSlot> claimed;  // workers that may have claims
  Time next_gathering;
  std::vector<Worker*> usable;  // as of the decision under way
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  // Cancelled before their acceptance was seen, as keys come in any order.
  std::unordered_set<JobId> cancelled_unknown;
  std::unordered_set<Job*> waiting;  // jobs with a ready step that lacks runs
  std::deque<JobId> dirty;
  // Ended in earlier terms, with when this one learned of them.
  std::deque<std::pair<JobId, Time>> finished_before;
  std::deque<JobId> finished;  // in the order of their ends
  int orphans = 0;             // runs and ends of unknown jobs, on all workers
  std::unordered_map<TeamId, Resources> team_use;
  std::unordered_map<TeamId, ArrivalAllowance> team_allowance;
  std::vector<CellAction> actions;
  HelperSelector advisers;
  std::unordered_map<QueueId, double> allowed_share;  // learned from advice

  Job* FindJob(const JobId& id);
  Worker* FindWorker(const WorkerId& id);
  Worker* WorkerAt(WorkerSlot slot) { return slots[slot]; }
  // Adds the worker if it isn't known.
  Worker* EnsureWorker(const WorkerId& id);
};

// What a run of the step takes from its worker.
Resources ChargeOf(const StepSpec& spec);
// The most a placer's leases can outlast the order that extended them.
Milliseconds LongestLease(const State& state);

// The run is to be stopped, not before `at`.
void OweStop(Worker* worker, Run* run, Time at);

void AddRun(State* state, Worker* worker, Run run);
// Gives back what the run held. The run is destroyed.
void RemoveRun(State* state, Worker* worker, const TaskId& task);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_STATE_H_
