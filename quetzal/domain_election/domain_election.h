// Which placer of a failure domain is the active one.
//
// The seat is one leased key of the platform's service: the placer that
// creates it is active under an epoch, the revision of that write. While the
// platform is out the seat can't move; a standby may then start a fallback
// term under the next epoch after the highest that workers report, which they
// accept only once the former contract has lapsed at them.
//
//   DomainElection seat(self, times);
//   for (const ElectionCall& call : seat.Tick(now)) ask_platform(call);
//   seat.OnAnswer(answer, now);
//   if (seat.term() != current) begin_or_end_term(seat.term());
#ifndef QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_
#define QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_

#include <optional>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

struct ElectionTiming {
  Milliseconds lease{3'000};  // of the seat's key
  Milliseconds renewal_interval{
      1'000};  // the holder's renewals, standbys' looks
  Milliseconds call_timeout{1'500};
  // Platform silence after which a standby tries a fallback term.
  Milliseconds fallback_after{6'000};
  // A fallback term without a majority is given up after this.
  Milliseconds majority_timeout{10'000};
};

struct ElectionCall {
  enum class Kind { kRead, kAcquire, kRenew, kRelease };
  Kind kind = Kind::kRead;
  Revision revision{0};  // of the held key, for renew and release
};

// What the platform answered to the call last made.
struct ElectionAnswer {
  enum class Kind {
    kVacant,       // no key: the seat may be taken
    kHeldByOther,  // another holds it
    kAcquired,     // this placer holds it under `revision`
    kRenewed,
    kLost,      // the key is gone or another's
    kNoAnswer,  // the platform did not answer, or not in time
  };
  Kind kind = Kind::kNoAnswer;
  Revision revision{0};
};

// A period in which this placer acts for the domain.
struct PlacerTerm {
  Epoch epoch{0};
  bool fenced = false;  // the platform's compare-and-swap gave the epoch
  friend bool operator==(const PlacerTerm&, const PlacerTerm&) = default;
};

// Epochs order by the platform's revision, then by fallback terms since.
Epoch EpochOfRevision(Revision revision);
Epoch NextFallbackEpoch(Epoch highest_seen);

class DomainElection {
 public:
  explicit DomainElection(ElectionTiming times);

  // The call to make now, if one is due and none is awaited.
  std::optional<ElectionCall> Tick(Time now);
  void OnAnswer(const ElectionAnswer& answer, Time now);

  // Workers report the epochs they know, also when they refuse a grant.
  void OnEpochSeen(Epoch epoch);
  // Tells whether contracts on a majority of workers are held in this term.
  void OnMajority(bool held, Time now);
  // A worker of a majority belongs to a higher epoch.
  void OnSuperseded(Time now);
  // Stop acting and give the seat back, for a graceful shutdown.
  void BeginRelease();

  std::optional<PlacerTerm> term() const { return term_; }
  bool platform_answers() const { return platform_answers_; }

 private:
  void EndTerm(Time now);
  bool MayFallBack(Time now) const;

  ElectionTiming times_;
  std::optional<PlacerTerm> term_;
  std::optional<Revision> held_;
  std::optional<Revision> used_;  // of the seat of an earlier term
  bool awaiting_ = false;
  bool take_next_ = false;
  bool give_back_ = false;
  bool releasing_ = false;
  bool platform_answers_ = false;
  std::optional<Time> first_tick_;
  std::optional<Time> last_call_;
  std::optional<Time> last_answer_;
  std::optional<Time> majority_at_;  // when a majority was last held
  std::optional<Time> term_began_;
  std::optional<Time> term_ended_;
  ElectionCall::Kind last_kind_ = ElectionCall::Kind::kRead;
  Epoch highest_seen_{0};
};

}  // namespace quetzal

#endif  // QUETZAL_DOMAIN_ELECTION_DOMAIN_ELECTION_H_
