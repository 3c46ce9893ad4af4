// Accepts jobs by writing them to the store, several in one commit.
//
//   intake.Submit(job, deadline, [](IntakeOutcome outcome) { ... });
//
// A job is written under its own key on the condition that the key is absent,
// so that it is accepted once, whichever entries it was sent to and however
// often. `kUnknown` is told when the store gave no answer in time, or has given
// none to anything for a while: the job may be or become accepted, and its
// caller does best to send it again to another entry.
#ifndef QUETZAL_JOB_INTAKE_JOB_INTAKE_H_
#define QUETZAL_JOB_INTAKE_JOB_INTAKE_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "quetzal/event_log/event_log.h"
#include "quetzal/job/job.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/retry/retry.h"
#include "quetzal/store/store.h"

namespace quetzal {

enum class IntakeOutcome { kAccepted, kNotAccepted, kUnknown };

class JobIntake {
 public:
  using Callback = std::function<void(IntakeOutcome outcome)>;
  using Clock = std::function<Time()>;

  JobIntake(Store* store, StoreWatcher::Timer after, Clock clock, EventLog* log,
            Metrics* metrics);

  // A job that is already being written is not written twice; both callers
  // are answered.
  void Submit(const AcceptedJob& job, Time deadline, Callback done);
  // Called when the store has answered nothing for a while.
  void SetUnresponsiveHandler(std::function<void()> on_silence) {
    on_silence_ = std::move(on_silence);
  }
  size_t open_jobs() const { return open_.size(); }

 private:
  struct Open {
    AcceptedJob job;
    Time deadline;
    std::vector<Callback> callers;
    int refusals = 0;
    bool may_be_written = false;  // a commit of it had no answer
  };
  using Batch = std::vector<JobId>;

  void Flush();
  void Send(const Batch& batch);
  // An answer that came after another try had begun.
  void OnLateAnswer(const Batch& batch, const TransactionAnswer& answer);
  void OnCommit(const Batch& batch, const TransactionAnswer& answer);
  void OnConflict(const Batch& batch, const TransactionAnswer& answer);
  void OnRefused(const Batch& batch);
  void OnUnknown(const Batch& batch);
  void Retry(const Batch& batch, Milliseconds delay);
  void Finish(const JobId& id, IntakeOutcome outcome);

  Store* store_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Metrics* metrics_;
  std::unordered_map<JobId, Open> open_;
  std::deque<JobId> queue_;
  int in_flight_ = 0;
  AdaptiveTimeout patience_;
  // When the first commit was sent that no answer came after.
  std::optional<Time> unanswered_since_;
  std::function<void()> on_silence_;
};

}  // namespace quetzal

#endif  // QUETZAL_JOB_INTAKE_JOB_INTAKE_H_
