// Answers callers' calls about jobs: submit, state, cancel, pending.
//
// Everything but a submission and a cancelling is answered from memory; those
// two are answered once the store has taken them.
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

  JobApi(const CurrentCatalog* catalogs, const JobIndex* book,
         JobIntake* intake, Store* store, StoreWatcher::Timer after,
         EventLog* log, Metrics* metrics);

  void Serve(const HttpRequest& request, Answer answer);
  // The store answers this entry; without it nothing can be accepted.
  void SetStoreReached(bool reached) { store_reached_ = reached; }

 private:
  struct Call {
    HttpRequest request;
    Answer answer;
    const Queue* queue = nullptr;
    TeamId team;
    JobId id;
    Time deadline;
    // Holds what `queue` points into.
    std::shared_ptr<const Catalog> catalog;
  };

  void Submit(const std::shared_ptr<Call>& call);
  void ReportState(const std::shared_ptr<Call>& call);
  void ReportPending(const Call& call);
  void Cancel(const std::shared_ptr<Call>& call);
  void WriteCancel(const std::shared_ptr<Call>& call, Revision accepted);
  void Refuse(const Call& call, int status, const char* reason,
              const std::string& remedy);

  const CurrentCatalog* catalogs_;
  const JobIndex* book_;
  JobIntake* intake_;
  Store* store_;
  StoreWatcher::Timer after_;
  EventLog* log_;
  Metrics* metrics_;
  bool store_reached_ = false;
};

}  // namespace quetzal

#endif  // PROGRAMS_JOB_ENTRY_JOB_API_H_
