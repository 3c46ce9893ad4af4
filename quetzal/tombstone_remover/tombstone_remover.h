// Removes tombstones of cancelled jobs from the store once they are no longer
// needed.
//
//   TombstoneRemover remover(store, {.retention = Milliseconds(120'000)},
//   after,
//                            clock, log);
//   remover.SetFence(fence);
//   remover.Start();
//   remover.OnTombstone(id, revision);  // of each tombstone in the store
//
// A tombstone is kept for the retention time from when this process received
// it. A cancel that finds one writes it again, which begins that time anew. A
// removal is conditional on the revision that was received, so it never removes
// a tombstone that was written again meanwhile.
#ifndef QUETZAL_TOMBSTONE_REMOVER_TOMBSTONE_REMOVER_H_
#define QUETZAL_TOMBSTONE_REMOVER_TOMBSTONE_REMOVER_H_

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "quetzal/event_log/event_log.h"
#include "quetzal/ids/ids.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/store/store.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

struct TombstoneRemoverSettings {
  Milliseconds retention{120'000};
  // Between two transactions; each has a cost.
  Milliseconds interval{2'000};
};

class TombstoneRemover {
 public:
  using Clock = std::function<Time()>;

  TombstoneRemover(Store* store, TombstoneRemoverSettings settings,
                   StoreWatcher::Timer after, Clock clock, EventLog* log);

  // Revision of the leader key, on which all removals are conditional.
  void SetFence(Fence fence) { fence_ = fence; }
  void Start();
  void OnTombstone(const JobId& id, Revision revision);
  // The id's record is no longer a tombstone, or was removed.
  void OnGone(const JobId& id) { revisions_.erase(id); }
  size_t size() const { return revisions_.size(); }

 private:
  struct Tombstone {
    JobId id;
    Revision revision;
    Time received;
  };

  void RemoveExpired();
  std::vector<Tombstone> TakeExpired();
  void Send(const std::vector<Tombstone>& expired);
  void OnAnswer(const std::vector<Tombstone>& expired,
                const TransactionAnswer& answer);
  bool IsNewest(const Tombstone& tombstone) const;

  Store* store_;
  TombstoneRemoverSettings settings_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Fence fence_{0};
  // In the order in which they were received. Those whose revision isn't in
  // `revisions_` any more were written again or are gone.
  std::deque<Tombstone> tombstones_;
  std::unordered_map<JobId, Revision> revisions_;
  Lifetime lifetime_;
};

}  // namespace quetzal

#endif  // QUETZAL_TOMBSTONE_REMOVER_TOMBSTONE_REMOVER_H_
