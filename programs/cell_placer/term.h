// One placer's term: connects the decisions of a cell with the store, the
// workers and the advice service.
//
//   Term term(parts, fence, run_floor, settings);
//   term.Start();
//
// Lives from the taking of the seat to its loss. Answers that come later find
// it gone and are dropped.
#ifndef PROGRAMS_CELL_PLACER_TERM_H_
#define PROGRAMS_CELL_PLACER_TERM_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quetzal/advice_pool/advice_pool.h"
#include "quetzal/catalog/catalog.h"
#include "quetzal/cell/cell.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/retry/retry.h"
#include "quetzal/store/store.h"

namespace quetzal {

// What a term works with; owned by the program.
struct TermParts {
  Store* store = nullptr;
  WorkerClient* workers = nullptr;
  AdvicePool* advice = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  // False while another placer might lead: nothing is ordered then.
  std::function<bool(const Cell& cell)> may_order;
  // The store or a worker showed that another placer leads.
  std::function<void(const std::string& reason)> on_deposed;
};

class Term {
 public:
  Term(TermParts parts, CellSettings settings, Fence fence, int64_t run_floor);
  ~Term();
  Term(const Term&) = delete;
  Term& operator=(const Term&) = delete;

  void Start();
  void SetAdvisers(const std::vector<HelperId>& advisers);
  void RaiseFence(Fence fence);
  // Decides soon; many causes within a moment are one decision.
  void Wake();

 private:
  void FollowConfiguration();
  void FollowWorkers();
  void FollowCell();
  void ReadRoster();
  void FlushRoster();
  void OnRosterWritten(const TransactionAnswer& answer);
  void OnCellItem(const StoreItem& item);
  void OnCellRemoved(const std::string& key);
  void OnCellListed();
  void LearnJob(const JobId& id, const StoreItem& item);
  void Decide();
  void Act(const CellAction& action);
  void Hold(const PollAction& action);
  void StartTask(const StartAction& action);
  void StopTask(const StopAction& action);
  void Ask(const RequestAdviceAction& action);
  void FlushWrites();
  void SendWrites(const std::vector<ProgressWrite>& writes);
  void AddToCommit(const ProgressWrite& write, Transaction* commit) const;
  void OnWritten(const std::vector<ProgressWrite>& writes,
                 const TransactionAnswer& answer);
  void EndFailedWrite(const std::vector<ProgressWrite>& writes);
  void LearnRevisions(const std::vector<ProgressWrite>& writes,
                      const std::vector<StoreItem>& current);
  void RemoveExpired();
  // Runs `step` later if the term still lives.
  void Later(Milliseconds delay, std::function<void()> step);

  TermParts parts_;
  Cell cell_;
  Fence fence_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> configuration_;
  std::unique_ptr<StoreWatcher> workers_;
  std::unique_ptr<StoreWatcher> jobs_;
  CurrentCatalog catalogs_;
  // Until the first listing ends: jobs whose progress may still come.
  std::unordered_map<JobId, StoreItem> listed_jobs_;
  std::unordered_map<JobId, std::string> listed_progress_;
  std::unordered_set<JobId> listed_cancels_;
  std::unordered_map<JobId, Revision> progress_revisions_;
  Revision roster_revision_ = kAbsent;
  bool wake_pending_ = false;
  bool flush_pending_ = false;
  Time next_flush_;
  int writes_in_flight_ = 0;
  AdaptiveTimeout patience_;  // for the store's answers to writes
};

}  // namespace quetzal

#endif  // PROGRAMS_CELL_PLACER_TERM_H_
