// Handles workers: contracts, inventories, and the end of each attempt.
//
// An attempt ends only when its worker reports the end or when the worker's
// task lease has expired. Until then it stays charged and its work isn't
// started again.
#ifndef QUETZAL_PLACER_INTERNAL_WORKERS_H_
#define QUETZAL_PLACER_INTERNAL_WORKERS_H_

#include <set>
#include <vector>

#include "quetzal/placer/internal/jobs.h"
#include "quetzal/placer/internal/requests.h"
#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Workers {
 public:
  Workers(State* state, Requests* requests, Jobs* jobs)
      : state_(state), requests_(requests), jobs_(jobs) {}

  void OnListed(const std::vector<ListedWorker>& listed, Time now);
  void OnLink(const WorkerId& worker, bool up, Time now);
  void OnMessage(const WorkerId& worker, const wire::WorkerToPlacer& message,
                 Time now);
  // Sends due grants, updates which workers take new work, and detects expired
  // task leases and unanswered starts.
  void Tick(Time now);
  // Adds every listed worker to the ledger of a new term, closed to new work.
  void BeginTerm();

  // Returns the highest epoch that a worker reported since the last call.
  std::optional<Epoch> TakeEpochSeen();
  // True once a worker refused a grant because of a higher epoch while this
  // placer had no majority.
  bool superseded() const { return superseded_; }

 private:
  bool TreatAsLeaving(bool reported) const {
    return reported && state_->settings.avoids_leaving_workers;
  }
  void OnWorkersGone(const std::set<WorkerId>& gone, Time now);
  void OnGranted(const WorkerId& worker, const wire::Granted& granted,
                 Time now);
  void OnGrantRefused(const WorkerId& worker, const wire::GrantRefused& refused,
                      Time now);
  void OnStarted(const wire::Started& started, Time now);
  void OnStartRefused(const wire::StartRefused& refused, Time now);
  void OnEnded(const WorkerId& worker, const wire::EndedAttempt& ended,
               Time now);
  void OnLeaving(const WorkerId& worker, Time now);
  void OnInventory(const WorkerId& worker, const wire::Inventory& inventory,
                   bool restarted, Time now);
  void CheckAttemptCount(const WorkerId& worker, const wire::Granted& granted);
  void OnMissing(AttemptInfo* attempt, bool restarted, Time now);
  void AdoptAttempt(const WorkerId& worker, const wire::Attempt& attempt,
                    Time now);
  void Interrupt(const AttemptId& id, bool may_have_run, Time now);
  void RecordStatistics(const AttemptInfo& attempt,
                        const wire::EndedAttempt& ended, Time now);
  void AvoidOutlier(const WorkerId& worker, Time now);
  void ExpireTaskLeases(Time now);
  void Expire(const WorkerId& worker, Time now);
  void RetryUnanswered(Time now);

  State* state_;
  Requests* requests_;
  Jobs* jobs_;
  std::optional<Epoch> epoch_seen_;
  bool superseded_ = false;
  Time last_check_;
  // Workers whose last answer reported a different number of attempts than the
  // ledger has.
  std::set<WorkerId> mismatched_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_WORKERS_H_
