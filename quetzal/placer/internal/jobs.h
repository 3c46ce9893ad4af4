// Jobs of a failure domain: made durable before they are accepted, run as
// tasks, and their progress made durable before workers may forget it.
//
// Jobs accepted together share one value of the platform's service. Tasks that
// ended are written in groups; a worker's record of an end is acknowledged
// only after that write, so a new placer never runs a finished task again.
#ifndef QUETZAL_PLACER_INTERNAL_JOBS_H_
#define QUETZAL_PLACER_INTERNAL_JOBS_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/internal/gangs.h"
#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Jobs {
 public:
  explicit Jobs(State* state);

  // Begins to read the domain's jobs from the platform.
  void Load(Time now);
  void Clear();
  bool loaded() const { return loaded_; }

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
  bool OnKvAnswer(const KvAnswer& answer, Time now);
  void Tick(Time now);
  // Queues every task that is neither ended nor running; called once the
  // workers' inventories are all known.
  void QueueMissingTasks(Time now);

  Gangs* gangs() { return &gangs_; }
  size_t size() const { return jobs_.size(); }

 private:
  struct Job {
    wire::StoredJob stored;
    std::string batch;
    uint32_t ended = 0;
    std::optional<Time> done_at;
  };
  struct Ack {
    WorkerId worker;
    AttemptId attempt;
  };
  struct CancelReply {
    EntryId entry;
    wire::CancelJob cancel;
  };
  // One value of the platform.
  struct Batch {
    std::vector<JobId> jobs;
    Revision revision{0};
    bool dirty = false;
    bool writing = false;
    std::vector<Ack> acks;            // due once the batch is written
    std::vector<Ack> acks_in_flight;  // due once the write under way is done
    std::vector<CancelReply> replies;
    std::vector<CancelReply> replies_in_flight;
  };
  struct Waiting {
    EntryId entry;
    wire::JobSpec spec;
    Time deadline;
  };
  // A group of jobs on its way to becoming durable.
  struct Commit {
    std::string key;
    std::string value;
    std::vector<Waiting> jobs;
    bool may_be_written = false;
    std::optional<uint64_t> call;
    Time retry_at;
  };

  static bool Ended(const Job& job, uint32_t task);
  static bool Finished(const Job& job);
  static std::string StateName(const Job& job);
  Job* Find(const JobId& id);
  Job* FindOwned(const std::string& id, const std::string& team);
  std::optional<Refusal> Check(const wire::JobSpec& spec,
                               std::string* detail) const;
  void Reply(const EntryId& entry, const std::string& query,
             const Job& job) const;
  void Refuse(const EntryId& entry, const std::string& query, Refusal reason,
              const std::string& detail) const;
  void StartCommit(Time now);
  void SendCommit(Time now);
  void OnCommitAnswer(const KvAnswer& answer, Time now);
  void OnCommitted(Revision revision, Time now);
  void GiveUpLateJobs(Time now);
  void Adopt(const KvItem& item);
  void Merge(const wire::StoredJob& stored, const std::string& key);
  void FailJob(const JobId& id, Time now);
  void WriteBatch(const std::string& key, Batch* batch);
  void OnLoaded(const KvAnswer& answer, Time now);
  void OnBatchWritten(const std::string& key, const KvAnswer& answer);
  void OnBatchRead(const std::string& key, const KvAnswer& answer);
  void WriteDirty(Time now);
  std::string Render(const Batch& batch) const;
  void MarkEnded(Job* job, uint32_t task, bool failed, Time now);
  void DropTasks(const JobId& id, Job* job, Time now);
  void QueueTask(const JobId& id, const Job& job, uint32_t task, Time now);
  void MaybeDelete(const std::string& key, Batch* batch, Time now);

  State* state_;
  Gangs gangs_;
  bool loaded_ = false;
  std::optional<uint64_t> load_call_;
  Time load_retry_at_;
  std::unordered_map<JobId, Job> jobs_;
  std::map<std::string, Batch> batches_;
  std::vector<Waiting> waiting_;
  std::optional<Time> first_waiting_at_;
  std::optional<Commit> commit_;
  uint64_t next_batch_ = 1;
  std::unordered_map<uint64_t, std::string> write_calls_;  // to the batch
  std::unordered_map<uint64_t, std::string> read_calls_;
  Time progress_at_;
};

// The id of a job's task as a piece of work: "job/task".
WorkId TaskWorkId(const JobId& job, uint32_t task);
// The job and task of such an id; nothing for requests.
std::optional<std::pair<JobId, uint32_t>> TaskOf(const WorkId& work);

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_JOBS_H_
