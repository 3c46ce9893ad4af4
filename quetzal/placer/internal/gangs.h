// Gangs: jobs whose tasks start all together or not at all.
//
// The workers first hold resources for every task; once all hold, each is sent
// the order to run. A hold expires by itself if the placer fails.
#ifndef QUETZAL_PLACER_INTERNAL_GANGS_H_
#define QUETZAL_PLACER_INTERNAL_GANGS_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Gangs {
 public:
  explicit Gangs(State* state) : state_(state) {}

  void Clear();
  // Makes a gang of the given tasks and queues it. The tasks must be in the
  // work table.
  void Add(const JobId& job, const std::vector<WorkId>& tasks, Time now);
  // Recovers a gang of which some tasks run or are held already.
  void Recover(const JobId& job, const std::vector<WorkId>& tasks, Time now);
  bool Contains(const JobId& job) const { return gangs_.contains(job); }

  // Returns the number of tasks that haven't ended; 0 if there is no such gang.
  int64_t TaskCount(const JobId& job) const;

  // Tries to start the gang that `item`, its queued task, represents. Returns
  // false if not all of its tasks can start now.
  bool TryStart(const WorkItem& item, Time now);
  // A task of the gang is held by its worker, or runs.
  void OnTaskHeldOrRunning(const JobId& job, Time now);
  // The effect on a gang of the end of one attempt.
  enum class Change {
    kNone,         // the other tasks are not affected
    kStopping,     // the other tasks are being stopped
    kRequeued,     // no attempt is left and the gang is queued again
    kCannotRerun,  // it had started and must not be run again
  };
  // `ended`: the task ran to its end. Otherwise the attempt was refused, lost
  // or stopped, and `may_have_run` tells whether it may have run.
  Change OnAttemptClosed(const JobId& job, const WorkItem& task, bool ended,
                         bool may_have_run, Time now);
  // Removes the gang and the capacity reserved for it.
  void Remove(const JobId& job);
  // Returns what the gang that reserves capacity needs of the limit of `team`;
  // zero if it belongs to another team.
  Resources ReservedLimit(const TeamId& team) const;
  // Selects the gang that has waited longest to reserve capacity, if it has
  // waited long enough and no other gang reserves.
  void SelectReservation(Time now);

 private:
  enum class Phase { kWaiting, kHolding, kRunning, kStopping };
  struct Gang {
    std::vector<WorkId> tasks;  // that haven't ended
    Phase phase = Phase::kWaiting;
    Time waiting_since;
    bool started = false;
    bool can_rerun = true;
  };

  // Capacity reserved for a gang, task by task, as it becomes free.
  struct Reservation {
    JobId job;
    std::vector<WorkerId> workers;  // one per task with reserved capacity
    Time since;
  };

  void QueueGang(Gang* gang, Time now);
  void StopTasks(const Gang& gang, Time now);
  bool HasAttempts(const Gang& gang) const;
  // Returns null if no gang waits.
  const JobId* LongestWaiting() const;
  void ReserveTasks(const WorkItem& item, size_t task_count, Time now);
  void DropUnusableReservations(Time now);
  void CancelReservation(const JobId& job);

  State* state_;
  std::unordered_map<JobId, Gang> gangs_;
  std::optional<Reservation> reservation_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_GANGS_H_
