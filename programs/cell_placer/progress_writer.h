// Stores the progress of jobs, in the transactions of one placer's term.
//
//   ProgressWriter writer(&cell, dependencies, on_stored);
//   writer.OnItem(item);  // of each record, request and progress in the store
//   writer.Flush();
//
// Each transaction is conditional on the leader key and on the revisions of
// what it replaces, so that a transaction that the store carries out late
// changes nothing. A failed write is reported to the cell, which returns the
// job's newest progress again.
#ifndef PROGRAMS_CELL_PLACER_PROGRESS_WRITER_H_
#define PROGRAMS_CELL_PLACER_PROGRESS_WRITER_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quetzal/cell/cell.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/retry/retry.h"
#include "quetzal/store/store.h"

namespace quetzal {

class ProgressWriter {
 public:
  // `on_stored` is called after the cell was told of stored progress.
  ProgressWriter(Cell* cell, Store* store, EventLog* log, Metrics* metrics,
                 std::function<void()> on_stored);

  // Revision of the leader key that the term holds.
  void SetFence(Fence fence) { fence_ = fence; }
  // Removes expired jobs from now on.
  void Start();
  void OnItem(const StoreItem& item);
  void OnRemoved(const std::string& key);
  // Stores what the cell wants to have stored, soon if it was called just now.
  void Flush();

 private:
  void Commit();
  void Add(const ProgressWrite& write, Transaction* transaction) const;
  void OnAnswer(const std::vector<ProgressWrite>& writes,
                const TransactionAnswer& answer);
  void RecordStored(const ProgressWrite& write, Revision revision);
  void ReportFailure(const std::vector<ProgressWrite>& writes);
  void UpdateRevisions(const std::vector<ProgressWrite>& writes,
                       const std::vector<StoreItem>& current);
  void RemoveExpired();
  StoreCondition LeaderCondition() const;
  void Defer(Milliseconds delay, std::function<void()> step);

  Cell* cell_;
  Store* store_;
  EventLog* log_;
  Metrics* metrics_;
  std::function<void()> on_stored_;
  Lifetime lifetime_;
  Fence fence_{0};
  std::unordered_map<JobId, Revision> progress_revisions_;
  std::unordered_map<JobId, Revision> request_revisions_;
  // Open jobs whose stored records say that they run.
  std::unordered_set<JobId> running_records_;
  bool flush_pending_ = false;
  Time next_flush_;
  int transactions_in_flight_ = 0;
  AdaptiveTimeout timeout_;  // for the store's answers
};

}  // namespace quetzal

#endif  // PROGRAMS_CELL_PLACER_PROGRESS_WRITER_H_
