// Schedules the tasks of jobs on the workers of one cell, which holds all
// workers of the platform in all failure domains. Uses no sockets, threads or
// clocks.
//
//   Cell cell(settings, fence, run_floor, now, &log, &metrics);
//   cell.OnCatalog(catalog, now);
//   cell.OnJob(job, created, progress, now);
//   cell.OnJobsListed(now);
//   cell.Decide(now);
//   for (const CellAction& action : cell.TakeActions()) Execute(action);
//   for (const ProgressWrite& write : cell.TakeProgressWrites(n)) Store(write);
//
// Guarantees:
//  - A worker gets work only after it answered a poll, which also renews its
//    leases, under this cell's fence (its fencing token). Runs that it reports
//    are adopted, or stopped if no job needs them.
//  - A run ends when its worker reports so, when the worker's next incarnation
//    or another worker at its address answers, or when its lease has certainly
//    expired. Until then it is charged to its worker and team, and its task
//    isn't started elsewhere. Leases don't count as expired while another
//    placer may lead, as that one may extend them. Silence and entries of the
//    list end no runs.
//  - Only workers that are open in the stored roster get work, so that the next
//    placer accounts for them even if the platform's list no longer has them,
//    and doesn't wait for others. Workers that never answered aren't in it.
//    Silent and draining ones are closed, with the list of their runs.
//  - A start without an answer is stopped, and counts as running until the
//    worker's reports show that it is not. It may be executed late, by the
//    worker's next incarnation, whose clock began anew: it is given up only
//    `max_order_delay` after its lease would have expired. Polls extend leases
//    late as well, so the same holds for all runs of a worker that restarted
//    less than that ago. Once the platform's list has lost the worker, neither
//    is waited for. If the worker restarts within that time, starts that were
//    stopped before are stopped again, 64 at most; the new incarnation may
//    execute them before its first poll.
//  - Ends of runs are acknowledged to workers only after they are stored.
//  - Tasks of jobs that a former placer may have started wait until every open
//    worker was reached or its leases have expired. Runs of closed workers
//    count as running for as long.
//  - A placer whose lease of the leader key ended goes on for
//    `kMaxTimeWithoutLease` at most, while more than half of the workers of its
//    stored roster, in the platform's list or not, confirm it under a higher
//    fence than the leader key's. They have to do so before the lease ends.
//  - Leases that a former placer may extend count as expired some time after
//    half of the workers of its own roster were reached, or after it can't have
//    gone on any more. If its term timer ran out and half of them don't know
//    its higher fence, it didn't go on, and they count as expired at once.
//    Former placers whose leases may last are stored with the roster, each with
//    its own workers, so that what one placer has found out holds for the next.
//  - Jobs that arrive while another placer may lead aren't started meanwhile.
#ifndef QUETZAL_CELL_CELL_H_
#define QUETZAL_CELL_CELL_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "quetzal/catalog/catalog.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/helper_selector/helper_selector.h"
#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/roster/roster.h"
#include "quetzal/store/store.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

// A term numbers its runs from a multiple of this, its own number times it, and
// so above those of earlier terms. If an earlier term used more numbers, the
// workers report them.
inline constexpr int64_t kRunsPerTerm = 16;

// How long a placer may send orders after its last valid lease of the leader
// key ended. All placers must have the same limit, as a successor that can't
// reach half of the former placer's workers waits for it.
inline constexpr Milliseconds kMaxTimeWithoutLease{16'000};

// For how long a renewal of the leadership is valid, from when it was sent.
inline constexpr Milliseconds kLeadershipValidity{1'150};
struct CellSettings {
  // Longest lease that a worker grants; the platform's limit.
  Milliseconds max_lease{6'000};
  // How long after it was sent an order without an answer may be executed; the
  // platform's limit.
  Milliseconds max_order_delay{12'000};
  // How long a poll waits at the worker for a run to end. Shorter waits detect
  // a lost connection sooner.
  Milliseconds poll_wait{1'000};
  // Finished jobs can be queried for at least this long.
  Milliseconds finished_job_retention{120'000};
};

// How long a lease can last, on the placer's clock, after the order that
// extended it was sent.
Milliseconds MaxLeaseLifetime(const CellSettings& settings);
// TTL of a timer that runs out only once all leases have ended that its placer
// extended while its renewals of the timer were valid.
Milliseconds TermTimerDuration(const CellSettings& settings);

struct PollAction {
  WorkerEntry worker;
  PollRequest request;
};
struct StartAction {
  WorkerEntry worker;
  StartOrder order;
};
struct StopAction {
  WorkerEntry worker;
  StopOrder order;
};
struct PaceAction {
  WorkerEntry worker;
  PaceOrder order;
};
struct RequestAdviceAction {
  HelperId helper;
  AdviceQuery query;
  Milliseconds timeout{0};
};
// Another placer leads, so this one must end its term.
struct ResignAction {
  std::string reason;
};
using CellAction = std::variant<PollAction, StartAction, StopAction, PaceAction,
                                RequestAdviceAction, ResignAction>;

// A job's progress that must be stored.
struct ProgressWrite {
  JobId job;
  uint64_t version = 0;
  // True if the job ended: its request and progress are then deleted.
  bool final = false;
  JobState state = JobState::kQueued;
  std::string record;  // `EncodeJobRecord` of the job's state
  std::string value;   // its progress; the record of an ended job
};

class Cell {
 public:
  // The runs that are started in this term get numbers above `run_floor`.
  Cell(CellSettings settings, Fence fence, int64_t run_floor, Time now,
       EventLog* log, Metrics* metrics);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void OnCatalog(std::shared_ptr<const Catalog> catalog, Time now);
  void OnWorkerEntry(const WorkerEntry& entry, Time now);
  void OnWorkerEntryRemoved(const WorkerId& id, Time now);
  // Called once OnWorkerEntry() has received all entries that the platform's
  // list contained at the start of the term.
  void OnWorkersListed(Time now);

  // Whether the store can't have given the leadership to another placer.
  // Without that, a placer that the workers still obey continues with the jobs
  // that it knows; a successor may start those that arrive now.
  void OnLeadership(bool is_certain);

  // `created` is the revision of the job's acceptance; `progress` is what an
  // earlier term stored.
  void OnJob(const AcceptedJob& job, Revision created,
             const std::optional<JobProgress>& progress, Time now);
  // A job that is stored as ended; remembered until it expires.
  void OnEndedJob(const JobId& id, Time now);
  void OnCancel(const JobId& id, Time now);
  // The workers that a former placer may have used; nothing if they aren't
  // known, so that all listed ones count. Those that are missing from the
  // platform's list are polled too, as they may still run tasks.
  void OnRoster(const std::optional<StoredRoster>& roster, Time now);
  // The roster to store, if it changed. New workers get no work until it is
  // stored.
  std::optional<std::string> TakeRosterWrite(Time now);
  void OnRosterWritten(bool stored);

  // Called once OnJob() has received all jobs that the store contained at the
  // start of the term. Workers are polled and the ends of runs evaluated once
  // the catalog and the roster are loaded too.
  void OnJobsListed(Time now);
  // This placer was elected again under a higher fence, with no other placer's
  // term in between.
  void OnFenceRaised(Fence fence);
  // The term timer of the placer of the last term has run out.
  void OnFormerTermTimerEnded(Time now);

  void OnPollAnswer(const WorkerId& id, const PollRequest& request, Time sent,
                    const PollAnswer& answer, Time now);
  void OnStartAnswer(const WorkerId& id, const StartOrder& order,
                     const OrderAnswer& answer, Time now);
  void OnStopAnswer(const WorkerId& id, const StopOrder& order,
                    const OrderAnswer& answer, Time now);
  void OnPaceAnswer(const WorkerId& id, const PaceOrder& order,
                    const OrderAnswer& answer);

  void OnHelpers(const std::vector<HelperId>& helpers);
  void OnAdvice(const HelperId& helper, const AdviceQuery& query,
                const AdviceAnswer& answer, Time now);

  // The result of a write that `TakeProgressWrites` returned. After a success,
  // the ends of runs that it covers are acknowledged to their workers; after a
  // failure, the job's newest progress is returned again. Until one of the two
  // is called, no other write of the job is returned.
  void OnProgressStored(const JobId& id, uint64_t version);
  void OnProgressWriteFailed(const JobId& id);

  // Decides which starts, stops, polls and requests for advice are due;
  // `TakeActions` returns them.
  void Decide(Time now);
  std::vector<CellAction> TakeActions();
  std::vector<ProgressWrite> TakeProgressWrites(size_t max_count);
  bool has_progress_writes() const;
  // Forgets and returns finished jobs whose retention has ended.
  std::vector<JobId> TakeExpiredJobs(size_t max_count, Time now);

  // True if more than half of the workers of the stored roster answered polls
  // under this fence that were sent within the last `age`, so no other placer
  // had a majority under a higher fence `age` ago. While a write of the roster
  // has no answer, that holds for both rosters. More than half of the workers
  // that this placer counts must have answered too: the listed ones or, until a
  // former placer's leases have expired, those of its roster.
  bool HasMajority(Milliseconds age, Time now) const;
  // Whether this placer may send orders `without_lease` after its last lease of
  // the leader key ended; negative while that is valid. The time has to include
  // suspensions of the machine. To be called before each `Decide`: shortly
  // before the lease ends, that begins to ask the workers to confirm this
  // placer.
  bool MaySendOrders(Milliseconds without_lease, Time now);
  // True if the workers may know a higher fence than the leader key's. A later
  // placer then can't tell whether this one goes on without a lease.
  bool is_fence_raised() const;
  // False while leases that a former placer extended may last.
  bool have_former_leases_expired() const;
  // Number of tasks that wait to be started.
  size_t waiting_tasks() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace quetzal

#endif  // QUETZAL_CELL_CELL_H_
