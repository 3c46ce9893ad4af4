// Decides where the tasks of jobs run, for one cell: all workers of the
// platform, over all failure domains. No sockets, threads or clocks.
//
//   Cell cell(settings, fence, run_floor, now, &log, &metrics);
//   cell.OnCatalog(catalog, now);
//   cell.OnJob(job, created, progress, now);
//   cell.OnJobsListed(now);
//   cell.Decide(now);
//   for (const CellAction& action : cell.TakeActions()) std::visit(...,
//   action); for (const ProgressWrite& write : cell.TakeProgressWrites(n)) ...
//
// What keeps its promises:
//  - A worker is used only after it answered a hold under this cell's fence;
//    what it says it runs is adopted, or stopped if nobody asked for it.
//  - A run ends by its worker's word, by the end of its worker's incarnation,
//    or when its lease has surely lapsed. Until then it is charged to worker
//    and team, and its task isn't started elsewhere.
//  - Work is given only to workers that the stored roster names, so that the
//    next placer accounts for them even if the list forgot them.
//  - A start without an answer is stopped, and counts as running until the
//    worker shows that it is not.
//  - Ends are acknowledged to workers only once they are stored.
//  - Tasks of jobs that a former placer may have started wait until every
//    worker was reached or its leases have lapsed.
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

struct CellSettings {
  // Longest lease that a worker gives; the platform's bound.
  Milliseconds max_lease{6'000};
  // Workers write into the platform's list this often.
  Milliseconds worker_heartbeat_interval{1'500};
  // A hold waits so long for an end. Shorter ones notice a cut sooner.
  Milliseconds poll_wait{1'000};
  // Finished jobs can be asked for at least so long.
  Milliseconds finished_job_retention{120'000};
};

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
struct RequestAdviceAction {
  HelperId helper;
  AdviceQuery query;
  Milliseconds timeout{0};
};
// Another placer was seen to lead: this one must end its term.
struct ResignAction {
  std::string reason;
};
using CellAction = std::variant<PollAction, StartAction, StopAction,
                                RequestAdviceAction, ResignAction>;

// A job's progress that must be stored.
struct ProgressWrite {
  JobId job;
  uint64_t version = 0;
  // The job ended: `value` replaces what was stored at its acceptance, and no
  // progress is kept. Otherwise `value` is its progress.
  bool final = false;
  std::string value;
};

class Cell {
 public:
  // `run_floor`: the number of each task's first run in this term is above it.
  Cell(CellSettings settings, Fence fence, int64_t run_floor, Time now,
       EventLog* log, Metrics* metrics);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void OnCatalog(std::shared_ptr<const Catalog> catalog, Time now);
  void OnWorkerEntry(const WorkerEntry& entry, Time now);
  void OnWorkerEntryRemoved(const WorkerId& id, Time now);
  // All entries that the platform's list held when the term began were told.
  void OnWorkersListed(Time now);

  // `created` is the revision of the job's acceptance; `progress` is what an
  // earlier term stored.
  void OnJob(const AcceptedJob& job, Revision created,
             const std::optional<JobProgress>& progress, Time now);
  // A job that the store holds as ended; remembered until it expires.
  void OnEndedJob(const JobId& id, Time now);
  void OnCancel(const JobId& id, Time now);
  // The workers that a former placer may have used. Those that the list lacks
  // are asked too, as they may run on.
  void OnRoster(const RosterEntries& entries, Time now);
  // The roster to store; without it new workers get no work.
  std::optional<std::string> TakeRosterWrite(Time now);
  void OnRosterWritten(bool stored);

  // All jobs that the store held when the term began were told. Workers are
  // asked, and jobs judged, once their queues' terms are known too.
  void OnJobsListed(Time now);
  // The seat was taken again under a higher fence, with no other placer's term
  // in between.
  void OnFenceRaised(Fence fence);

  void OnPollAnswer(const WorkerId& id, const PollRequest& request, Time sent,
                    const PollAnswer& answer, Time now);
  void OnStartAnswer(const WorkerId& id, const StartOrder& order,
                     const OrderAnswer& answer, Time now);
  void OnStopAnswer(const WorkerId& id, const StopOrder& order,
                    const OrderAnswer& answer, Time now);

  void OnHelpers(const std::vector<HelperId>& advisers);
  void OnAdvice(const HelperId& adviser, const AdviceQuery& question,
                const AdviceAnswer& answer, Time now);

  // How the write that `TakeProgressWrites` gave out went. Stored: acknowledges
  // the ends behind it. Not stored: the newest progress is given out again.
  // Until one of them, no other write of the job is given out.
  void OnProgressStored(const JobId& id, uint64_t version);
  void OnProgressWriteFailed(const JobId& id);

  // Starts, stops, holds and asks as far as everything known allows.
  void Decide(Time now);
  std::vector<CellAction> TakeActions();
  std::vector<ProgressWrite> TakeProgressWrites(size_t most);
  bool has_progress_writes() const;
  // Finished jobs whose time to be asked for is over; forgets them.
  std::vector<JobId> TakeExpiredJobs(size_t most, Time now);

  // More than half of the listed workers answered under this fence within
  // `age`: no other placer can have raised a majority's fence before.
  bool HasMajority(Milliseconds age, Time now) const;
  // When an order or hold may be due next, at the latest.
  size_t waiting_tasks() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace quetzal

#endif  // QUETZAL_CELL_CELL_H_
