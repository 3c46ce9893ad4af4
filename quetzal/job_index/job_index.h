// States of all jobs, collected from the store's keys, from which an entry
// answers its callers.
//
//   JobIndex index;
//   index.OnPut(item);
//   std::optional<JobState> state = index.StateOf(id);
//   int64_t pending = index.PendingCount(queue);
//
// Counts are complete once all keys were listed. A job is in the index once its
// acceptance was received; its progress and its cancellation may be received
// before or after that.
#ifndef QUETZAL_JOB_INDEX_JOB_INDEX_H_
#define QUETZAL_JOB_INDEX_JOB_INDEX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/store/store.h"

namespace quetzal {

class JobIndex {
 public:
  // Returns false, and changes nothing, if the value can't be decoded.
  bool OnPut(const StoreItem& item);
  void OnRemoved(const std::string& key);
  // All keys that the store held were passed to the index.
  void OnListed() { is_listed_ = true; }
  bool is_listed() const { return is_listed_; }

  // Nothing if the job's acceptance wasn't received.
  std::optional<JobState> StateOf(const JobId& id) const;
  // True if the id's job was cancelled before it was accepted, so that it can't
  // be accepted any more.
  bool HasTombstone(const JobId& id) const;
  // Number of the queue's accepted jobs of which no task has started. Cancelled
  // jobs don't count; scheduled jobs are never accepted.
  int64_t PendingCount(const QueueId& queue) const;
  size_t size() const { return jobs_.size(); }

 private:
  struct JobStatus {
    bool accepted = false;
    bool has_tombstone = false;
    bool cancelled = false;
    JobState progress = JobState::kQueued;
    QueueId queue;
    bool counts_as_pending = false;
  };

  void UpdatePendingCount(JobStatus* status);

  std::unordered_map<JobId, JobStatus> jobs_;
  std::unordered_map<QueueId, int64_t> pending_;
  bool is_listed_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_JOB_INDEX_JOB_INDEX_H_
