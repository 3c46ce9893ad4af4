// Gangs: jobs whose tasks start all together or not at all.
//
// The workers first reserve every part; only when all have done so are the
// parts told to go. A reservation ends by itself when its maker dies.
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
  // Makes a gang of the given tasks, which are in the work table, and queues
  // it.
  void Add(const JobId& job, const std::vector<WorkId>& members, Time now);
  // Takes over a gang some of whose parts run or are reserved already.
  void Adopt(const JobId& job, const std::vector<WorkId>& members, Time now);
  bool Contains(const JobId& job) const { return gangs_.contains(job); }

  // Parts that have not ended; 0 if there is no such gang.
  int64_t PartCount(const JobId& job) const;

  // Tries to reserve every part of the gang that `item` stands for; false if
  // it doesn't fit now.
  bool TryStart(const WorkItem& item, Time now);
  // One part was reserved or runs.
  void OnPartStarted(const JobId& job, Time now);
  // What a part that has no attempt any longer means for its gang.
  enum class Change {
    kNone,       // the gang goes on
    kUnwinding,  // the other parts are being stopped
    kRestart,    // none is left and the gang is queued again
    kSpoiled,    // it had started and can't be run again
  };
  // `ended`: the part ran to its end. Otherwise it was refused, lost or
  // stopped, and may have run before.
  Change OnPartClosed(const JobId& job, const WorkItem& part, bool ended,
                      bool may_have_run, Time now);
  // Ends the gang and gives up room gathered for it.
  void Remove(const JobId& job);
  // What the gathering gang needs of its team's limit, if it is of this team.
  Resources WantedWithinLimit(const TeamId& team) const;
  // Lets the gang that waited longest gather room, if patience is over.
  void ChooseGathering(Time now);

 private:
  enum class Phase { kWaiting, kHolding, kRunning, kUnwinding };
  struct Gang {
    std::vector<WorkId> parts;  // those that have not ended
    Phase phase = Phase::kWaiting;
    Time waiting_since;
    bool had_started = false;
    bool can_rerun = true;
  };

  // Room on workers that is kept, part by part, as it comes free.
  struct Gathering {
    JobId job;
    std::vector<WorkerId> workers;  // one for each part that has room
    Time since;
  };

  void QueueGang(Gang* gang, Time now);
  void StopParts(const Gang& gang, Time now);
  bool AnyAttempt(const Gang& gang) const;
  // Null if no gang waits.
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
