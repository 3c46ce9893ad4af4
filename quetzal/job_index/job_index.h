// What an entry knows of all jobs, from the store's keys, to answer callers.
//
//   JobIndex book;
//   book.OnPut(item);
//   std::optional<JobState> state = book.StateOf(id);
//   int64_t pending = book.PendingCount(queue);
//
// A job is known once its acceptance is seen; its progress and its cancelling
// may be seen before or after.
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
  // False for a value that can't be read; it changes nothing.
  bool OnPut(const StoreItem& item);
  void OnRemoved(const std::string& key);

  // Nothing for a job that isn't known to be accepted.
  std::optional<JobState> StateOf(const JobId& id) const;
  // Accepted jobs of the queue that run once, at once, and of which no task
  // has started.
  int64_t PendingCount(const QueueId& queue) const;
  size_t size() const { return jobs_.size(); }

 private:
  struct Known {
    bool accepted = false;
    bool cancelled = false;
    JobState progress = JobState::kQueued;
    QueueId queue;
    bool counts_as_pending = false;
  };

  void Recount(Known* known);

  std::unordered_map<JobId, Known> jobs_;
  std::unordered_map<QueueId, int64_t> pending_;
};

}  // namespace quetzal

#endif  // QUETZAL_JOB_INDEX_JOB_INDEX_H_
