// The callers' HTTP API for jobs: submit, state, cancel, pending.
//
// States of jobs in the index and pending counts are answered from memory,
// submissions and cancellations once the store has committed them.
//
// Denials (no such queue, unknown key) and acceptances need a configuration
// that was recently known to be the newest. Otherwise callers are asked to try
// again: a newer version may say the opposite.
#ifndef PROGRAMS_JOB_ENTRY_JOB_API_H_
#define PROGRAMS_JOB_ENTRY_JOB_API_H_

#include <functional>
#include <string>

#include "quetzal/catalog/catalog.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/http/http.h"
#include "quetzal/job_index/job_index.h"
#include "quetzal/job_intake/job_intake.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/store/store.h"

namespace quetzal {

class JobApi {
 public:
  using Answer = std::function<void(const HttpResponse& reply)>;
  using Clock = std::function<Time()>;

  // `clock` is also the intake's, and that of the configuration's age.
  JobApi(const CurrentCatalog* catalogs, const JobIndex* job_index,
         JobIntake* intake, Store* store, StoreWatcher::Timer after,
         Clock clock, EventLog* log, Metrics* metrics,
         Milliseconds max_configuration_age);

  void Serve(const HttpRequest& request, Answer answer);
  // Submissions are refused while the store can't be reached.
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

 private:
  struct Call {
    HttpRequest request;
    Answer answer;
    const Queue* queue = nullptr;
    TeamId team;
    JobId id;
    Time deadline;
    // Keeps `queue` valid.
    std::shared_ptr<const Catalog> catalog;
  };

  void Submit(const std::shared_ptr<Call>& call);
  void ReportState(const std::shared_ptr<Call>& call);
  void ReportPending(const Call& call);
  void Cancel(const std::shared_ptr<Call>& call);
  void WriteCancel(const std::shared_ptr<Call>& call, Revision accepted);
  // Keeps a job that isn't accepted from being so later. `found` is the
  // revision of an earlier tombstone.
  void WriteTombstone(const std::shared_ptr<Call>& call, Revision found);
  void RetryCancel(const std::shared_ptr<Call>& call);
  void AnswerNoSuchJob(const Call& call);
  // Refuses a submission that wasn't accepted, unless an earlier one of the job
  // may be: then its outcome is unknown.
  void RefuseSubmission(const Call& call, const char* reason);
  void RefuseUnresolved(const Call& call);
  // Refuses a submission of a job that was cancelled before it was accepted.
  void RefuseCancelled(const Call& call);
  bool IsConfigurationConfirmed() const;
  // Refuses a call that the configuration doesn't allow.
  void Deny(const Call& call, int status, const char* reason,
            const std::string& remedy);
  void RefuseUnconfirmed(const Call& call);
  void Refuse(const Call& call, int status, const char* reason,
              const std::string& remedy);

  const CurrentCatalog* catalogs_;
  const JobIndex* job_index_;
  JobIntake* intake_;
  Store* store_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Metrics* metrics_;
  const Milliseconds max_configuration_age_;
  bool store_reachable_ = false;
};

}  // namespace quetzal

#endif  // PROGRAMS_JOB_ENTRY_JOB_API_H_
