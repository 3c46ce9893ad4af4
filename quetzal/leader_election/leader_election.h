// The leased seat of the cell's one active placer.
//
//   LeaderElection leadership(store, settings, handlers, timer, clock, &log);
//   leadership.Start();
//
// Standbys watch the seat's key. When it goes, each waits for a time that is
// shorter for machines nearer to the store and with more processor, and tries
// to create it with a lease of its own. The revision of that write is the
// fence of all that the placer does, and a condition of all that it stores.
// The number of the term is kept beside the seat and outlasts it.
#ifndef QUETZAL_LEADER_ELECTION_LEADER_ELECTION_H_
#define QUETZAL_LEADER_ELECTION_LEADER_ELECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "quetzal/event_log/event_log.h"
#include "quetzal/ids/ids.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/store/store.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

struct LeaderElectionSettings {
  std::string self;  // differs for each start of a process
  // Life of the seat's lease: bounds how long a dead placer is missed.
  Milliseconds lease_ttl{1'250};
  Milliseconds renewal_interval{250};
  // Added before a try to take the seat; for machines less fit to lead.
  Milliseconds election_delay{0};
};

struct LeaderElectionHandlers {
  std::function<void(Fence fence, int64_t term)> on_elected;
  // The seat lapsed while nobody could take it and is held anew.
  std::function<void(Fence fence)> on_fence_raised;
  std::function<void(const std::string& reason)> on_lost;
};

class LeaderElection {
 public:
  using Clock = std::function<Time()>;

  LeaderElection(Store* store, LeaderElectionSettings settings,
                 LeaderElectionHandlers handlers, StoreWatcher::Timer after,
                 Clock clock, EventLog* log);
  ~LeaderElection();
  LeaderElection(const LeaderElection&) = delete;
  LeaderElection& operator=(const LeaderElection&) = delete;

  void Start();
  // Ends the term: by a witness that another placer leads, or by a commit
  // that found the seat changed.
  void StepDown(const std::string& reason);
  // Gives the seat back, then calls `done`. No further term is begun.
  void Resign(std::function<void()> done);

  bool is_leader() const { return role_ == Role::kLeads; }
  Fence fence() const { return fence_; }
  // True while the store can't have given the seat to another placer.
  bool HasValidLease(Time now) const;

 private:
  enum class Role { kStandby, kCampaigns, kLeads, kResigned };

  // The term that a campaign is for, and the revision it must follow.
  struct CampaignTerm {
    Revision term_revision{0};
    int64_t term = 0;
  };

  void FollowSeat();
  void OnVacant();
  void Campaign();
  void OnCampaignLease(const LeaseAnswer& answer, Time sent);
  void OnTerm(const ReadAnswer& answer, Milliseconds store_delay);
  void TakeSeat(Revision term_revision, int64_t term);
  void OnTaken(const TransactionAnswer& answer, int64_t term);
  void CheckWhetherTaken(int64_t term);
  void BeginTerm(Fence fence, int64_t term);
  void GiveUpCampaign(const char* why);
  void Renew(uint64_t round);
  void OnRenewed(const LeaseAnswer& answer, Time sent);
  void TakeSeatAgain();
  void Later(Milliseconds delay, std::function<void()> step);

  Store* store_;
  LeaderElectionSettings settings_;
  LeaderElectionHandlers handlers_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> seat_;
  Role role_ = Role::kStandby;
  bool vacant_ = false;
  LeaseId lease_ = kNoLease;
  Fence fence_{0};
  int64_t term_ = 0;
  Revision term_revision_{0};
  uint64_t renewal_round_ = 0;  // renewals of former terms end themselves
  bool takes_again_ = false;
  Time rests_until_;
  Time renewed_;  // when the newest renewal that counted was sent
  CampaignTerm campaign_;
};

std::string TermKey();

}  // namespace quetzal

#endif  // QUETZAL_LEADER_ELECTION_LEADER_ELECTION_H_
