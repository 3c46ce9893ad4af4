// Jobs of a failure domain: checked, accepted once durable, and run as tasks.
//
// A worker's record of a task's end is acknowledged only once that end is
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

  // Begins to read the domain's jobs from the platform.
  void Load(Time now) { store_.Load(now); }
  void Clear();
  bool loaded() const { return store_.loaded(); }
  // Another placer took the jobs over.
  bool superseded() const { return store_.superseded(); }

  void OnSubmit(const EntryId& entry, const wire::SubmitJob& submit, Time now);
  void OnQuery(const EntryId& entry, const wire::QueryJob& query);
  void OnCancel(const EntryId& entry, const wire::CancelJob& cancel, Time now);

  // An attempt of a job's task ended for good, with evidence at the worker.
  void OnTaskEnded(const WorkItem& item, const wire::EndedAttempt& ended,
                   const WorkerId& worker, Time now);
  // An attempt was lost, stopped or never started; the task runs again if it
  // may.
  void OnTaskInterrupted(WorkItem* item, bool may_have_run, Time now);
  // Evidence of an end that a former placer had not made durable.
  void OnForeignEvidence(const Evidence& evidence, Time now);
  // An attempt of a former term was found in a worker's inventory.
  void OnForeignAttempt(AttemptInfo* attempt, Time now);
  // A part of a gang was reserved or runs.
  void OnTaskStarted(const AttemptInfo& attempt, Time now);

  // True if the answer belonged to one of this part's calls.
  bool OnKvAnswer(const KvAnswer& answer, Time now) {
    return store_.OnKvAnswer(answer, now);
  }
  void Tick(Time now);
  // Queues every task that is neither ended nor running; called once the
  // workers' inventories are all known.
  void QueueMissingTasks(Time now);

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
  // Who waits for a job to be accepted.
  struct Submission {
    EntryId entry;
    JobId id;
    Time deadline;
  };

  static bool Ended(const Job& job, uint32_t task);
  static bool Finished(const Job& job);
  static std::string StateName(const Job& job);
  Job* Find(const JobId& id);
  Job* FindOwned(const std::string& id, const std::string& team);
  Job* Track(const JobId& id);
  std::optional<Refusal> Check(const wire::JobSpec& spec,
                               std::string* detail) const;
  void Reply(const EntryId& entry, const std::string& query, const Job& job);
  void Refuse(const EntryId& entry, const std::string& query, Refusal reason,
              wire::RunFate fate, const std::string& detail);
  void GiveUpLateSubmissions(Time now);
  void ForgetFinished(Time now);
  void MarkEnded(const JobId& id, Job* job, uint32_t task, bool failed,
                 Time now);
  void AcknowledgeWhenDurable(const JobId& id, const WorkerId& worker,
                              const AttemptId& attempt);
  void FailJob(const JobId& id, Time now);
  void DropTasks(const JobId& id, const Job& job, Time now);
  WorkItem* AddTask(const JobId& id, const Job& job, uint32_t task, Time now);
  void QueueTask(const JobId& id, const Job& job, uint32_t task, Time now);
  static bool RunsAtMostOnce(const wire::Work& work);
  // True once the platform knows that this task may have been started.
  bool IntentIsDurable(WorkItem* item);
  void ResumeJob(const JobId& id, Job* job, Time now);

  State* state_;
  Gangs gangs_;
  JobStore store_;
  std::unordered_map<JobId, Job> jobs_;
  std::vector<Submission> submissions_;
  Time forgot_at_;
};

// The id of a job's task as a piece of work: "job/task".
WorkId TaskWorkId(const JobId& job, uint32_t task);
// The job and task of such an id; nothing for requests.
std::optional<std::pair<JobId, uint32_t>> TaskOf(const WorkId& work);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_JOBS_H_
