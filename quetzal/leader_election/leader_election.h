// Elects the cell's one active placer through a leased key in the store.
//
//   LeaderElection election(store, settings, handlers, timer, clock, &log);
//   election.Start();
//
// Standbys watch the leader key. When it is removed, each waits for a delay
// that is shorter the faster the store answers and the more CPU the machine
// has, and then tries to create the key with a lease of its own. The revision
// of that write is the fence of all orders that the placer sends, and a
// condition of every transaction that it commits.
//
// If the leader's machine has less CPU than others, for instance because the
// store refused them during an election, one of the others claims the leader
// key after a while, and the leader steps down. The claim names the revision of
// the leader key that it is about, so that it affects no later leader.
//
// The number of the term is kept in a second key without a lease, so that it
// outlives the leader key.
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
  std::string self;  // unique for each start of a process
  // TTL of the leader key's lease: bounds how long a failed placer goes
  // unnoticed.
  Milliseconds lease_ttl{1'250};
  Milliseconds renewal_interval{250};
  // Added to the wait before a campaign; longer on machines with little CPU.
  // Stored with the leader key.
  Milliseconds election_delay{0};
};

struct LeaderElectionHandlers {
  std::function<void(Fence fence, int64_t term)> on_elected;
  // The leader key was written again, with a higher fence, in the same term:
  // after it expired while no other placer could acquire it, or by
  // `RenewFence`.
  std::function<void(Fence fence)> on_fence_raised;
  std::function<void(const std::string& reason)> on_lost;
};

class LeaderElection {
 public:
  using Clock = std::function<Time()>;

  // `clock` has to include suspensions of the machine, as leases go on
  // meanwhile.
  LeaderElection(Store* store, LeaderElectionSettings settings,
                 LeaderElectionHandlers handlers, StoreWatcher::Timer after,
                 Clock clock, EventLog* log);
  ~LeaderElection();
  LeaderElection(const LeaderElection&) = delete;
  LeaderElection& operator=(const LeaderElection&) = delete;

  void Start();
  // Ends the term, for instance after a worker reported that another placer
  // leads, or a transaction found the leader key changed.
  void StepDown(const std::string& reason);
  // Writes the leader key again, for a higher fence in the same term.
  void RenewFence();
  // Removes the leader key, then calls `done`. No further campaign is started.
  void Resign(std::function<void()> done);

  bool is_leader() const { return role_ == Role::kLeader; }
  Fence fence() const { return fence_; }
  // True while the store can't have given the leader key to another placer.
  bool HasValidLease(Time now) const;
  // How long ago the last lease of the leader key ended; negative while it is
  // valid. Only for the leader.
  Milliseconds TimeWithoutLease(Time now) const;

 private:
  enum class Role { kStandby, kCandidate, kLeader, kResigned };
  // Of the leader key, after its lease ended.
  enum class Reacquisition { kNone, kGrantingLease, kWritingKey };

  // The number of the term that a campaign would begin, and the revision that
  // the term key must still have.
  struct CampaignTerm {
    Revision term_revision{0};
    int64_t term = 0;
  };

  void WatchLeaderKey();
  void OnLeaderKey(const StoreItem& item);
  void OnClaim(const StoreItem& item);
  // Claims the leader key with this revision if the same placer still leads.
  void ClaimLeaderKey(Revision leader);
  void CampaignIfVacant();
  void RequestLease();
  void OnLeaseAnswer(const LeaseAnswer& answer, Time sent);
  void OnTermRead(const ReadAnswer& answer, Milliseconds response_time);
  void AcquireLeaderKey(Revision term_revision, int64_t term);
  void OnAcquireAnswer(const TransactionAnswer& answer, int64_t term);
  void VerifyAcquisition(int64_t term);
  void BeginTerm(Fence fence, int64_t term);
  void AbandonCampaign(const char* why);
  void Renew(uint64_t round);
  void OnRenewal(const LeaseAnswer& answer, Time sent);
  void ReacquireLeaderKey();
  void AdoptFence(Fence fence);
  void ScheduleAfter(Milliseconds delay, std::function<void()> step);

  Store* store_;
  LeaderElectionSettings settings_;
  std::string leader_value_;  // of the leader key while this placer leads
  LeaderElectionHandlers handlers_;
  StoreWatcher::Timer after_;
  Clock clock_;
  EventLog* log_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> watcher_;
  Role role_ = Role::kStandby;
  bool is_vacant_ = false;
  Revision leader_revision_{0};   // of the leader key, as last received
  Revision claimed_revision_{0};  // in the newest claim
  LeaseId lease_ = kNoLease;
  Fence fence_{0};
  int64_t term_ = 0;
  Revision term_revision_{0};
  uint64_t renewal_round_ = 0;  // renewals of earlier rounds stop
  Reacquisition reacquisition_ = Reacquisition::kNone;
  Time no_campaign_before_;
  Time last_renewal_sent_;  // when the newest successful renewal was sent
  CampaignTerm campaign_;
};

std::string TermKey();
std::string ClaimKey();

}  // namespace quetzal

#endif  // QUETZAL_LEADER_ELECTION_LEADER_ELECTION_H_
