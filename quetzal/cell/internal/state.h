// The state of a cell: workers, runs, jobs, and the teams' use of resources.
// Internal to quetzal/cell, whose other files operate on it.
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
#include "quetzal/restart_backoff/restart_backoff.h"
#include "quetzal/roster/roster.h"
#include "quetzal/waiting_order/waiting_order.h"

namespace quetzal::cell {

// A worker's clock may be slower than the placer's by up to this factor.
inline constexpr double kMaxClockRatio = 1.02;
// Added to a lease before it counts as expired, for rounding and late timers.
inline constexpr Milliseconds kLeaseExpiryMargin{400};
// How long a worker's answer confirms this placer. A placer that can't reach
// the store continues while a majority of the workers confirms it, so a
// successor that half of them obey waits this long before it relies on the
// expiry of leases.
inline constexpr Milliseconds kConfirmationLifetime{2'500};

// A placer before this one that may have extended leases.
struct FormerPlacerState {
  TermNumber term = 0;
  // Of its roster. It goes on without a lease of the leader key only while more
  // than half of them confirm it. Empty if its roster can't be read.
  std::vector<WorkerId> workers;
  bool is_outvoted = false;  // half of them obeyed this placer at a time
  // When all leases that it may have extended have certainly ended.
  Time leases_end_at;
  // The same if no order of its is executed late by a worker's next
  // incarnation; set if it stopped when its lease of the leader key ended.
  std::optional<Time> leases_end_with_term_at;
};

enum class RunState {
  kStarting,  // ordered, no answer yet
  kRunning,
  kStopping,  // a stop is due or in flight, or a start got no answer
};

struct Job;

// One run of a task on one worker. Charged until it has certainly ended.
struct Run {
  TaskId task;
  int64_t number = 0;
  RunState state = RunState::kStarting;
  Job* job = nullptr;  // null: no known job has this task
  Resources charge;
  Time ordered_at;
  WorkerTime start_worker_time{0};  // in the answer to the start
  Time start_answered_at;
  // By an answer to the start from the incarnation that polls have reached.
  bool start_confirmed = false;
  int percent = 0;     // of its work, as last reported
  Time progressed_at;  // when `percent` last changed
  // The newest of its worker's run lists that contains it.
  uint64_t last_run_list = 0;
  bool stop_in_flight = false;
  Time next_stop_at;
  std::optional<WorkerTime> stop_worker_time;  // in the answer to the stop
  std::string checkpoint;
  Milliseconds response_tail{0};  // of a serving task, as last reported
  // Of a best-effort run: the pace that was ordered last; unknown for a run
  // that a former placer may have paced.
  std::optional<int> pace;
  bool pace_in_flight = false;
  std::optional<Time> pace_ordered_at;
  // Set if a worker reported the run while its job wasn't known (yet).
  std::optional<Time> orphan_since;
};

// An end of a run that the worker reported and that isn't acknowledged yet.
struct UnacknowledgedEnd {
  int64_t number = 0;
  JobId job;
  RosterRun run;
  uint64_t version = 0;  // of the job's progress that must be stored first
  // Set while the job isn't known (yet): the end to apply once it is.
  std::optional<EndedTask> orphan_end;
  Time reported_at;
};

// A start without an answer whose run was stopped. The worker's next
// incarnation, which knows of no stop, may execute it.
struct StoppedStart {
  TaskId task;
  int64_t run = 0;
  Time ordered_at;
};

struct Step;

// Capacity on one worker that is reserved for a waiting gang.
struct Reservation {
  const Step* step = nullptr;
  Resources amount;
  // What other runs that last beyond `starts_at` may take of the capacity that
  // is expected to be free by then.
  Resources spare;
  Time starts_at;
};

// Identifies a worker for as long as it is known; never reused.
using WorkerSlot = size_t;

struct Worker {
  WorkerEntry entry;
  WorkerSlot slot = 0;
  bool usable = false;          // may be given work in the current decision
  bool may_need_stops = false;  // some run may have to be stopped
  bool listed = false;
  Time unlisted_since;
  bool in_roster = false;         // open in the stored roster
  bool in_former_roster = false;  // a former placer may have used it
  // By the former roster, the only runs of former placers that it may execute.
  std::optional<std::vector<RosterRun>> former_runs;
  Incarnation former_incarnation{0};  // by the former roster; 0: unknown
  // It is to be polled under the former placer's fence first.
  bool probe_due = false;
  // When the poll was sent that showed that the incarnation of the former
  // roster knew no fence of a former placer without a lease.
  std::optional<Time> probed_at;
  bool reached = false;      // answered a poll in this term and incarnation
  bool known_empty = false;  // it is gone, or its leases expired
  Incarnation incarnation{0};
  WorkerTime clock{0};     // in its newest answer
  Time clock_received_at;  // when that answer arrived
  uint64_t run_lists = 0;  // number of run lists that it sent
  int64_t last_acknowledged = 0;
  // In polls that this incarnation answered.
  int64_t confirmed_acknowledgement = 0;
  int64_t last_applied_end = 0;
  std::deque<UnacknowledgedEnd> unacked;
  // Where it last answered this placer or, by the roster, a former one. The
  // entry's address may be another writer's, or that of a former incarnation.
  std::string answered_at;
  std::string polled_at;  // of the newest poll
  bool poll_in_flight = false;
  bool unresponsive = false;  // its last poll got no answer
  int unanswered_polls = 0;   // in a row
  // Unresponsive for so long that its entry in the roster is closed.
  bool silent = false;
  Time next_poll_at;
  Time confirmed_at;         // when its newest answered poll was sent
  Fence confirmed_fence{0};  // of that poll
  // The newest fence under which a poll was sent beside a waiting one.
  Fence confirmation_fence{0};
  // When the newest order that may extend leases was sent.
  Time lease_extended_at;
  // The same of the orders that were sent to former incarnations.
  std::optional<Time> former_lease_extended_at;
  // Oldest first.
  std::deque<StoppedStart> stopped_starts;
  Resources used;
  // Runs of unknown jobs and size: with any the worker counts as full.
  int orphan_runs = 0;
  int64_t best_effort_cpu_milli = 0;  // processors wanted by best-effort runs
  int best_effort_runs = 0;
  int serving_runs = 0;   // of steps with a latency target
  bool pace_due = false;  // it sent a run list since paces were last decided
  // A task has several if starts of it were executed late.
  std::multimap<TaskId, Run> runs;
  std::vector<Reservation> reservations;  // in planning order
  int unanswered_starts = 0;
  // Since when no start was answered although some were sent.
  Time no_start_answer_since;
  // Gets no new work until then, after refusals, failures or stalls.
  Time avoided_until;
  double failure_rate = 0;  // exponential moving average over its ended runs

  Resources Free() const { return entry.capacity - used; }
};

struct PermitState {
  bool allowed = false;
  std::string ticket;
  Time expires;
  Incarnation incarnation{0};
};

// A waiting gang's expected start, and the workers with its reservations.
struct GangReservation {
  Time starts_at;
  std::vector<WorkerSlot> workers;
};

struct Task {
  TaskProgress progress;
  int active_runs = 0;
  // Only for long-running tasks. Run numbers up to `reserved_run` may be used
  // without storing progress; a later term continues above it.
  int64_t reserved_run = 0;
  RestartBackoff backoff;
};

struct Step {
  const StepSpec* spec = nullptr;
  Resources charge;  // what a run of the step takes from its worker
  std::vector<Task> tasks;
  int done = 0;
  bool ready = false;
  Time ready_since;
  // Longest path from this step's start to the job's end.
  Milliseconds critical_path{0};
  bool query_in_flight = false;
  Time next_query_at;
  std::unordered_map<WorkerSlot, PermitState> permits;
  // Contains all workers with a permit; some permits may be gone.
  std::vector<WorkerSlot> permitted_workers;
  // Only for gangs: the run number that all members share, and how many members
  // are charged.
  int64_t gang_run = 0;
  int gang_members = 0;
  std::optional<GangReservation> reservation;
  bool gang_broken = false;  // the shared run is being stopped
  bool gang_done = false;
  std::set<int64_t> gang_failed_runs;
  Time next_wait_log_at;
  std::string gang_checkpoint;  // of any member; all members have the same
};

struct Job {
  AcceptedJob accepted;
  Revision created{0};
  JobState state = JobState::kQueued;
  std::vector<Step> steps;
  // The queue's current configuration.
  Queue queue_config;
  Time known_since;
  Milliseconds critical_path{0};  // by the caller's estimates
  Milliseconds objective{0};      // latency objective, from `known_since`
  Time finished_at;
  // It arrived above the rate that its team's weight allows.
  bool above_rate = false;
  int active_runs = 0;
  uint64_t version = 1;
  uint64_t stored_version = 0;
  bool dirty = false;  // queued to be stored
  // No second write is sent meanwhile, as it could overtake the first.
  bool write_in_flight = false;
  // Accepted before this term, so a former placer may have started it.
  bool may_have_unknown_runs = false;
  // It arrived when another placer may have led, which starts it itself.
  bool may_be_started_by_successor = false;
};

struct State {
  CellSettings settings;
  Fence leader_fence{0};  // the leader key's revision
  Fence fence{0};         // of orders
  // Under the present leader fence a majority has confirmed that this placer
  // goes on without a lease of the leader key.
  bool may_go_on_without_lease = false;
  int64_t run_floor = 0;
  Time term_started_at;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  bool jobs_listed = false;
  bool recovered = false;     // jobs, catalog and roster are loaded
  bool newly_stored = false;  // some ends may be ready to be acknowledged
  bool leadership_is_certain = true;
  bool workers_listed = false;
  Time workers_listed_at;
  Roster roster{TermNumber{0}, Fence{0}};
  // False if the former placer's roster can't be read: then every listed worker
  // counts as one of it.
  bool is_former_roster_known = true;
  bool roster_changed = false;  // since the last write was taken
  Time next_former_placers_write_at;
  // Every worker was reached or its leases expired.
  bool all_workers_accounted = false;
  bool has_former_runs = false;  // of closed workers
  // All runs that a former placer may have started are known or have ended.
  bool all_runs_known = false;
  std::vector<FormerPlacerState> former_placers;
  // Of the last placer, if it wrote the former roster.
  std::optional<Fence> former_fence;
  // The last placer's newest renewal of its leadership was sent before.
  std::optional<Time> former_renewal_before;
  std::shared_ptr<const Catalog> catalog;
  std::unordered_map<WorkerId, Worker> workers;
  std::vector<Worker*> slots;  // by slot; null once the worker is forgotten
  std::vector<WorkerSlot> reserved_workers;  // may have reservations
  Time next_planning_at;
  std::vector<Worker*> usable;  // in the current decision
  // By slot: at least what each worker has free in the current decision; zero
  // if it isn't usable. Kept together, as most waiting steps fit nowhere under
  // load.
  std::vector<Resources> max_free;
  // What runs that aren't charged may take of any team's limit, in the current
  // decision.
  Resources uncharged_capacity;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  // Jobs whose cancellation arrived before their acceptance, as the store's
  // keys arrive in any order.
  std::unordered_set<JobId> early_cancels;
  std::unordered_set<Job*> waiting;  // jobs with a ready step that lacks runs
  std::deque<JobId> dirty_jobs;
  // Jobs that ended in earlier terms, and when this term received them.
  std::deque<std::pair<JobId, Time>> finished_in_former_terms;
  std::deque<JobId> finished;  // in the order of their ends
  int orphans = 0;             // runs and ends of unknown jobs, on all workers
  std::unordered_map<TeamId, Resources> team_usage;
  std::unordered_map<TeamId, ArrivalRateLimiter> team_arrivals;
  std::vector<CellAction> actions;
  HelperSelector helpers;
  // Of the workers, estimated from answers of the advice service.
  std::unordered_map<QueueId, double> allowed_share;

  Job* FindJob(const JobId& id);
  Worker* FindWorker(const WorkerId& id);
  Worker* WorkerAt(WorkerSlot slot) { return slots[slot]; }
  // Adds the worker if it isn't known.
  Worker* FindOrAddWorker(const WorkerId& id);
};

// Of a placer's orders once its lease of the leader key may have ended. The
// removal of the leader key has a revision of its own, so the successor's fence
// is higher.
Fence FenceWithoutLease(Fence leader_fence);

// False if the run's start may be executed yet, or may have been executed by an
// incarnation that no poll has reached.
bool IsConfirmed(const Run& run);
// Null if the worker doesn't have this run of the task.
Run* FindRun(Worker* worker, const TaskId& task, int64_t number);

// How many runs of the job's step are charged to the worker.
int CountRunsOfStep(const Worker& worker, const Job& job, int step);

// True if the step's tasks serve users within a latency target.
bool IsServing(const StepSpec& spec);
// True if the run is of a best-effort step of a known job.
bool IsBestEffort(const Run& run);

// What a run of the step takes from its worker.
Resources ChargeOf(const StepSpec& spec);
// The longest that `time` on another machine's clock can be on this one's.
Milliseconds Stretch(Milliseconds time);

// Schedules a stop of the run, not before `at`.
void ScheduleStop(Worker* worker, Run* run, Time at);

void AddRun(State* state, Worker* worker, Run run);
// Releases the run's resources and destroys the run, if the worker has it.
void RemoveRun(State* state, Worker* worker, const TaskId& task,
               int64_t number);

}  // namespace quetzal::cell

#endif  // QUETZAL_CELL_INTERNAL_STATE_H_
