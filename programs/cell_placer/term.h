// One placer's term of leadership: carries out the decisions of a cell on the
// store, the workers and the advice service.
//
//   Term term(dependencies, settings, fence, number);
//   term.Start();
//
// Exists from the placer's election to the loss of its leadership. Answers that
// arrive afterwards are dropped.
#ifndef PROGRAMS_CELL_PLACER_TERM_H_
#define PROGRAMS_CELL_PLACER_TERM_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "programs/cell_placer/progress_writer.h"
#include "quetzal/advice_pool/advice_pool.h"
#include "quetzal/catalog/catalog.h"
#include "quetzal/catalog_watcher/catalog_watcher.h"
#include "quetzal/cell/cell.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/store/store.h"
#include "quetzal/tombstone_remover/tombstone_remover.h"

namespace quetzal {

// Owned by the program, which outlives the term.
struct TermDependencies {
  Store* store = nullptr;
  WorkerClient* workers = nullptr;
  AdvicePool* advice = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  // False while another placer may be the leader: no orders are sent then.
  std::function<bool(Cell* cell)> may_send_orders;
  // True while the store can't have elected another placer.
  std::function<bool()> leadership_is_certain;
  // The store or a worker showed that another placer is the leader.
  std::function<void(const std::string& reason)> on_leadership_lost;
};

class Term {
 public:
  Term(TermDependencies dependencies, CellSettings settings, Fence fence,
       TermNumber number);
  ~Term();
  Term(const Term&) = delete;
  Term& operator=(const Term&) = delete;

  void Start();
  void SetHelpers(const std::vector<HelperId>& helpers);
  void RaiseFence(Fence fence);
  // Schedules a decision; calls until it is made share it.
  void ScheduleDecision();

 private:
  void WatchWorkers();
  void WatchCell();
  void ReadRoster();
  void ReadFormerTermTimer();
  void WriteRoster();
  void OnRosterWritten(const TransactionAnswer& answer);
  void OnCellItem(const StoreItem& item);
  void OnListed();
  // A job's record, or a tombstone: tells of jobs that ended in an earlier
  // term. Holds the whole request if an earlier version accepted the job.
  void AddRecord(const JobId& id, const StoreItem& item);
  void AddRequest(const JobId& id, const StoreItem& item);
  bool IsListed() const;
  void DecidePeriodically();
  void Decide();
  void Execute(const CellAction& action);
  void PollWorker(const PollAction& action);
  void StartTask(const StartAction& action);
  void StopTask(const StopAction& action);
  void SetPace(const PaceAction& action);
  void RequestAdvice(const RequestAdviceAction& action);
  // Runs `step` after `delay`, unless the term has ended by then.
  void Defer(Milliseconds delay, std::function<void()> step);

  TermDependencies dependencies_;
  Cell cell_;
  Fence fence_;
  TermNumber number_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> worker_watcher_;
  std::unique_ptr<StoreWatcher> record_watcher_;
  std::unique_ptr<StoreWatcher> work_watcher_;
  CurrentCatalog catalogs_;
  CatalogWatcher catalog_watcher_;
  // What the initial listings have returned so far. A job is passed to the cell
  // once they are complete, as its progress may come after it.
  std::unordered_map<JobId, StoreItem> listed_records_;
  std::unordered_map<JobId, StoreItem> listed_requests_;
  std::unordered_map<JobId, std::string> listed_progress_;
  std::unordered_set<JobId> listed_cancellations_;
  Revision roster_revision_ = kAbsent;
  bool decision_pending_ = false;
  ProgressWriter progress_writer_;
  TombstoneRemover tombstone_remover_;
};

}  // namespace quetzal

#endif  // PROGRAMS_CELL_PLACER_TERM_H_
