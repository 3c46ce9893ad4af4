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
  void Add(const JobId& job, const std::vector<WorkId>& members, Time now);
  // Recovers a gang of which some tasks run or are held already.
  void Adopt(const JobId& job, const std::vector<WorkId>& members, Time now);
  bool Contains(const JobId& job) const { return gangs_.contains(job); }

  // Returns the number of tasks that haven't ended; 0 if there is no such gang.
  int64_t PartCount(const JobId& job) const;

  // Tries to start the gang that `item`, its queued task, represents. Returns
  // false if not all of its tasks can start now.
  bool TryStart(const WorkItem& item, Time now);
  // A task of the gang is held by its worker, or runs.
  void OnPartStarted(const JobId& job, Time now);
  // The effect on a gang of the end of one attempt.
  enum class Change {
    kNone,       // the other tasks are not affected
    kUnwinding,  // the other tasks are being stopped
    kRestart,    // no attempt is left and the gang is queued again
    kSpoiled,    // it had started and must not be run again
  };
  // `ended`: the task ran to its end. Otherwise the attempt was refused, lost
  // or stopped, and `may_have_run` tells whether it may have run.
  Change OnPartClosed(const JobId& job, const WorkItem& part, bool ended,
                      bool may_have_run, Time now);
  // Removes the gang and the capacity reserved for it.
  void Remove(const JobId& job);
  // Returns what the gang that reserves capacity needs of the limit of `team`;
  // zero if it belongs to another team.
  Resources WantedWithinLimit(const TeamId& team) const;
  // Selects the gang that has waited longest to reserve capacity, if it has
  // waited long enough and no other gang reserves.
  void ChooseGathering(Time now);

 private:
  enum class Phase { kWaiting, kHolding, kRunning, kUnwinding };
  struct Gang {
    std::vector<WorkId> parts;  // that haven't ended
    Phase phase = Phase::kWaiting;
    Time waiting_since;
    bool had_started = false;
    bool can_rerun = true;
  };

  // Capacity reserved for a gang, task by task, as it becomes free.
  struct Gathering {
    JobId job;
    std::vector<WorkerId> workers;  // one per task with reserved capacity
    Time since;
  };

  void QueueGang(Gang* gang, Time now);
  void StopParts(const Gang& gang, Time now);
  bool AnyAttempt(const Gang& gang) const;
  // Returns null if no gang waits.
  const JobId* LongestWaiting() const;
  void Gather(const WorkItem& item, size_t parts, Time now);
  void DropUselessHolds(Time now);
  void StopGathering(const JobId& job);

  State* state_;
  std::unordered_map<JobId, Gang> gangs_;
  std::optional<Gathering> gathering_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_GANGS_H_
