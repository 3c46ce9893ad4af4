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
  // Ends the gang and its reservation of workers.
  void Remove(const JobId& job);
  // Reserves workers for the gang that waited longest, if patience is over.
  void MaybeReserveWorkers(Time now);

 private:
  enum class Phase { kWaiting, kHolding, kRunning, kUnwinding };
  struct Gang {
    std::vector<WorkId> parts;  // those that have not ended
    Phase phase = Phase::kWaiting;
    Time waiting_since;
    bool had_started = false;
    bool can_rerun = true;
  };

  void QueueGang(const JobId& job, Gang* gang, Time now);
  void StopParts(const Gang& gang, Time now);
  bool AnyAttempt(const Gang& gang) const;
  void Release();

  State* state_;
  std::unordered_map<JobId, Gang> gangs_;
  std::optional<JobId> reserved_for_;
  std::vector<WorkerId> reserved_;
  Time reserved_at_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_GANGS_H_
