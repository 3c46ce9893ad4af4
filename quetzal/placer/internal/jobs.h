// Jobs of a failure domain: validated, accepted once durable, and run as tasks.
//
// A worker's report of a task's end is acknowledged only once that end is
// durable, so a new placer never runs a finished task again.
#ifndef QUETZAL_PLACER_INTERNAL_JOBS_H_
#define QUETZAL_PLACER_INTERNAL_JOBS_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/internal/gangs.h"
#include "quetzal/placer/internal/job_store.h"
#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Jobs : public JobStoreObserver {
 public:
  explicit Jobs(State* state);

  // Starts to load the domain's jobs from the platform.
  void Load(Time now) { store_.Load(now); }
  void Clear();
  bool loaded() const { return store_.loaded(); }
  // True if another placer claimed the domain's jobs.
  bool superseded() const { return store_.superseded(); }

  void OnSubmit(const EntryId& entry, const wire::SubmitJob& submit, Time now);
  void OnQuery(const EntryId& entry, const wire::QueryJob& query);
  void OnCancel(const EntryId& entry, const wire::CancelJob& cancel, Time now);

  // A task ran to its end, and its worker keeps the outcome until it is
  // acknowledged.
  void OnTaskEnded(const WorkItem& item, const wire::EndedAttempt& ended,
                   const WorkerId& worker, Time now);
  // An attempt was lost, stopped or never started. The task is retried if that
  // is allowed.
  void OnTaskInterrupted(WorkItem* item, bool may_have_run, Time now);
  // A worker reported the end of an attempt for which the task isn't waiting,
  // such as one that an earlier placer didn't make durable.
  void RecoverOutcome(const RetainedOutcome& retained, Time now);
  // An attempt of an earlier term was found in a worker's inventory.
  void RecoverAttempt(AttemptInfo* attempt, Time now);
  // A task of a job is held by its worker, or runs.
  void OnTaskStarted(const AttemptInfo& attempt, Time now);

  // Returns true if the answer belongs to a call of this object.
  bool OnKvAnswer(const KvAnswer& answer, Time now) {
    return store_.OnKvAnswer(answer, now);
  }
  void Tick(Time now);
  // Queues every task that has neither ended nor runs. Must be called once all
  // workers' inventories are known.
  void QueueUnfinishedTasks(Time now);

  void OnAccepted(const JobId& id, Time now) override;
  void OnLoaded(Time now) override;

  Gangs* gangs() { return &gangs_; }
  size_t size() const { return jobs_.size(); }

 private:
  struct Job {
    wire::StoredJob* stored = nullptr;
    uint32_t ended = 0;
    std::optional<Time> done_at;
  };
  // A submission that waits for its job to be accepted.
  struct Submission {
    EntryId entry;
    JobId id;
    Time deadline;
  };

  static bool Ended(const Job& job, uint32_t task);
  static bool Finished(const Job& job);
  static std::string StateName(const Job& job);
  Job* Find(const JobId& id);
  Job* FindForTeam(const std::string& id, const std::string& team);
  Job* Track(const JobId& id);
  std::optional<Refusal> Validate(const wire::JobSpec& spec,
                                  std::string* detail) const;
  void Reply(const EntryId& entry, const std::string& query, const Job& job);
  void Refuse(const EntryId& entry, const std::string& query, Refusal reason,
              wire::RunFate fate, const std::string& detail);
  void RefuseLateSubmissions(Time now);
  void RemoveFinished(Time now);
  void MarkEnded(const JobId& id, Job* job, uint32_t task, bool failed,
                 Time now);
  void AcknowledgeWhenDurable(const JobId& id, const WorkerId& worker,
                              const AttemptId& attempt);
  void FailJob(const JobId& id, Time now);
  void StopTasks(const JobId& id, const Job& job, Time now);
  WorkItem* AddTask(const JobId& id, const Job& job, uint32_t task, Time now);
  void QueueTask(const JobId& id, const Job& job, uint32_t task, Time now);
  static bool RunsAtMostOnce(const wire::Work& work);
  // True if the task may start. A task that must run at most once is first
  // recorded as attempted at the platform; this starts that write.
  bool EnsureStartIntentDurable(WorkItem* item);
  void ResumeJob(const JobId& id, Job* job, Time now);

  State* state_;
  Gangs gangs_;
  JobStore store_;
  std::unordered_map<JobId, Job> jobs_;
  std::vector<Submission> submissions_;
  Time last_removal_;
};

// Returns the work id of a job's task: "job/task".
WorkId TaskWorkId(const JobId& job, uint32_t task);
// Returns the job and task of such a work id; nothing for requests.
std::optional<std::pair<JobId, uint32_t>> TaskOf(const WorkId& work);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_JOBS_H_
