// Requests: admission, attempts, and one final outcome each.
//
// A request is refused as "not run" only if no attempt of it can have run;
// otherwise its outcome is the worker's answer or "unknown". Submissions with
// the same request key count as one request.
#ifndef QUETZAL_PLACER_INTERNAL_REQUESTS_H_
#define QUETZAL_PLACER_INTERNAL_REQUESTS_H_

#include <string>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Requests {
 public:
  explicit Requests(State* state) : state_(state) {}

  void OnSubmit(const EntryId& entry, const wire::Submit& submit, Time now);
  void OnCancel(const EntryId& entry, const WorkId& id, Time now);
  void OnSettleReceived(const EntryId& entry, const WorkId& id);

  // An attempt ended, and its worker keeps the outcome until it is
  // acknowledged.
  void OnEnded(WorkItem* item, const RetainedOutcome& retained, Time now);
  // An attempt was refused, lost or stopped; its worker keeps no outcome.
  void OnInterrupted(WorkItem* item, bool may_have_run, Time now);

  // Resolves requests that waited until all workers' inventories were known.
  void ResolveAwaiting(Time now);
  // Handles deadlines and removes outcomes that were kept long enough.
  void Tick(Time now);

  // Settles the request as refused and removes it from the work table.
  void Refuse(WorkItem* item, Refusal reason, wire::RunFate fate,
              const std::string& detail, Time now);

 private:
  bool JoinByKey(const EntryId& entry, const wire::Submit& submit, Time now);
  void Admit(WorkItem* item, Time now);
  bool AttachToKnownAttempt(WorkItem* item, Time now);
  void Resolve(WorkItem* item, Time now);
  void OnFinished(WorkItem* item, const RetainedOutcome& retained, Time now);
  void Settle(WorkItem* item, wire::Settled outcome,
              const RetainedOutcome* retained, Time now);
  void SendOutcome(const SettledRequest& request, const Waiter& waiter);
  void OnDeadlinePassed(WorkItem* item, Time now);
  void OnWakeup(const WorkId& id, Time now);
  void CancelForLostEntries(Time now);
  void RemoveOldSettled(Time now);
  void RemoveUnclaimedOutcomes(Time now);

  State* state_;
  Time last_sweep_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_REQUESTS_H_
