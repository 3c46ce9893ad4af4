// Accepts jobs by writing them to the store, several in one transaction.
//
//   intake.Submit(job, deadline, [](IntakeOutcome outcome) { ... });
//
// A job is written under its own key on the condition that the key is absent,
// so that it is accepted once even if it is submitted several times or to
// several entries, and never after a cancel stored a tombstone there, even if
// the transaction is carried out late. The outcome is `kUnknown` if the store
// didn't answer in time, or hasn't answered any transaction for a while: the
// job may have been accepted or may be later, and its caller should submit it
// again to another entry.
//
// Nothing is sent for a submission after its deadline, or later than
// `kMaxSubmissionTime` after it came. The clock has to count the time in which
// this machine was suspended.
#ifndef QUETZAL_JOB_INTAKE_JOB_INTAKE_H_
#define QUETZAL_JOB_INTAKE_JOB_INTAKE_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quetzal/event_log/event_log.h"
#include "quetzal/job/job.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/retry/retry.h"
#include "quetzal/store/store.h"

namespace quetzal {

enum class IntakeOutcome {
  kAccepted,
  kNotAccepted,
  kCancelled,  // before it was accepted: a tombstone keeps it from being so
  kUnknown,
};

inline constexpr Milliseconds kMaxSubmissionTime{10'000};

class JobIntake {
 public:
  using Callback = std::function<void(IntakeOutcome outcome)>;
  using Clock = std::function<Time()>;

  JobIntake(Store* store, StoreWatcher::Timer after, Clock clock, EventLog* log,
            Metrics* metrics);

  // A job whose write is in flight is not written twice; both callers are
  // answered.
  void Submit(const AcceptedJob& job, Time deadline, Callback done);
  // The handler is called when the store has answered nothing for a while.
  void SetUnresponsiveHandler(std::function<void()> on_unresponsive) {
    on_unresponsive_ = std::move(on_unresponsive);
  }
  // True if an earlier submission of the job to this entry may still lead to
  // its acceptance, or had no definite outcome, so that the job can't be
  // reported as not accepted.
  bool MayBeAccepted(const JobId& id) const;
  size_t open_jobs() const { return open_.size(); }

 private:
  struct OpenJob {
    AcceptedJob job;
    Time deadline;
    std::vector<Callback> callbacks;
    int refusals = 0;
    bool may_be_written = false;  // a transaction with it got no answer
  };
  using Batch = std::vector<JobId>;

  void Flush();
  void Send(const Batch& batch);
  // Handles an answer that came after its timeout, when a retry had begun.
  void OnLateAnswer(const Batch& batch, const TransactionAnswer& answer);
  void OnAnswer(const Batch& batch, const TransactionAnswer& answer);
  void OnConflict(const Batch& batch, const TransactionAnswer& answer);
  void OnRefused(const Batch& batch);
  void OnUnknown(const Batch& batch);
  void Retry(const Batch& batch, Milliseconds delay);
  void Finish(const JobId& id, IntakeOutcome outcome);
  void RememberUnresolved(const JobId& id);

  Store* store_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Metrics* metrics_;
  std::unordered_map<JobId, OpenJob> open_;
  std::deque<JobId> queue_;
  // When the submissions of jobs ended whose transactions may have been carried
  // out, or may be later, and these jobs in the order of those times.
  std::unordered_map<JobId, Time> unresolved_;
  std::deque<std::pair<Time, JobId>> unresolved_order_;
  int in_flight_ = 0;
  bool flush_pending_ = false;
  AdaptiveTimeout answer_timeout_;
  // When the earliest transaction since the store's last answer was sent.
  std::optional<Time> unanswered_since_;
  std::function<void()> on_unresponsive_;
};

}  // namespace quetzal

#endif  // QUETZAL_JOB_INTAKE_JOB_INTAKE_H_
