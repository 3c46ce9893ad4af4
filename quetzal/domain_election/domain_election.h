// Elects the active placer of a failure domain. (quetzal/leader_election elects
// that of a cell, through the store.)
//
// The placer that creates the domain's leader key, a leased key at the
// platform, is active; its epoch is the revision of that write. While the
// platform is unreachable the key can't change hands. A standby may then start
// a fallback term under the epoch after the highest that workers report, which
// they accept only once their contract with the former placer has expired.
//
//   DomainElection election(timing);
//   if (const auto call = election.Tick(now)) send_to_platform(*call);
//   election.OnAnswer(answer, now);
//   if (election.term() != current) begin_or_end_term(election.term());
#ifndef QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_
#define QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_

#include <optional>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

struct ElectionTiming {
  Milliseconds lease{3'000};  // of the leader key
  // Between the holder's renewals, and between the standbys' reads.
  Milliseconds renewal_interval{1'000};
  Milliseconds call_timeout{1'500};
  // Time without an answer of the platform after which a standby starts a
  // fallback term; counted anew from the end of this placer's last term.
  Milliseconds fallback_after{6'000};
  // Time without a majority after which a fallback term ends.
  Milliseconds majority_timeout{10'000};
};

struct ElectionCall {
  enum class Kind { kRead, kAcquire, kRenew, kRelease };
  Kind kind = Kind::kRead;
  Revision revision{0};  // of the held key, for renew and release
};

// The platform's answer to the last call.
struct ElectionAnswer {
  enum class Kind {
    kVacant,       // there is no leader key
    kHeldByOther,  // another placer holds the key
    kAcquired,     // this placer holds the key at `revision`
    kRenewed,
    kLost,      // the key no longer exists, or another placer holds it
    kNoAnswer,  // no answer, or not in time
  };
  Kind kind = Kind::kNoAnswer;
  Revision revision{0};
};

// A period in which this placer is the active one of the domain.
struct PlacerTerm {
  Epoch epoch{0};
  bool fenced = false;  // the epoch is from the platform's compare-and-swap
  friend bool operator==(const PlacerTerm&, const PlacerTerm&) = default;
};

// Epochs are ordered by the platform's revision, then by the number of fallback
// terms since.
Epoch EpochOfRevision(Revision revision);
Epoch NextFallbackEpoch(Epoch highest_seen);

class DomainElection {
 public:
  explicit DomainElection(ElectionTiming timing);

  // The call to make now, if one is due and none is in flight.
  std::optional<ElectionCall> Tick(Time now);
  void OnAnswer(const ElectionAnswer& answer, Time now);

  // Records an epoch that a worker reported, also in the refusal of a grant.
  void OnEpochSeen(Epoch epoch);
  // Records whether this placer has contracts with a majority of the workers in
  // this term.
  void OnMajority(bool has_majority, Time now);
  // Ends the term: another placer was found to be active.
  void OnSuperseded(Time now);
  // Ends the term and deletes the leader key, for a graceful shutdown.
  void BeginRelease();

  std::optional<PlacerTerm> term() const { return term_; }
  bool platform_reachable() const { return platform_reachable_; }

 private:
  void EndTerm(Time now);
  bool ShouldStartFallbackTerm(Time now) const;

  ElectionTiming timing_;
  std::optional<PlacerTerm> term_;
  std::optional<Revision> held_revision_;
  std::optional<Revision> last_term_revision_;  // leader key of the latest term
  bool call_in_flight_ = false;
  bool acquire_next_ = false;
  bool release_next_ = false;
  bool releasing_ = false;
  bool platform_reachable_ = false;
  std::optional<Time> first_tick_;
  std::optional<Time> last_call_;
  std::optional<Time> last_answer_;
  std::optional<Time> last_majority_;  // when there last was a majority
  std::optional<Time> term_began_;
  std::optional<Time> term_ended_;
  ElectionCall::Kind last_kind_ = ElectionCall::Kind::kRead;
  Epoch highest_seen_{0};
};

}  // namespace quetzal

#endif  // QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_
