// A failure domain's part of each team's upper limit.
//
// The platform keeps, for each team, one value that divides the limit among
// the domains; the parts never add up to more than the limit. A domain spends
// only its own part, so the limit holds fleet-wide also while domains are cut
// off. A part shrinks here first and in the value after; it grows in the value
// first and here once that write is confirmed.
//
//   AllotmentManager book(domain, domains);
//   book.OnStored(team, value, revision);
//   if (used + size fits book.DomainLimit(team, limit)) start;
//   book.SetDemand(team, used, waiting);
//   if (const auto write = book.NextWrite(team, limit, now)) put(*write);
#ifndef QUETZAL_ALLOTMENT_ALLOTMENT_H_
#define QUETZAL_ALLOTMENT_ALLOTMENT_H_

#include <map>
#include <optional>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/proto/wire.pb.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

struct AllotmentWrite {
  TeamId team;
  wire::TeamAllotment value;
  Revision expected{0};
};

// How a domain's part of a limit is chosen.
enum class DivisionPolicy {
  kStatic,  // equal parts that never move
  kDemand,  // unused parts move to where work waits
};

class AllotmentManager {
 public:
  // `domains` are all failure domains of the fleet, in any order.
  AllotmentManager(FailureDomainId self, std::vector<FailureDomainId> domains,
                   DivisionPolicy policy);

  // A value read or watched at the platform; older revisions are ignored.
  void OnStored(const TeamId& team, const wire::TeamAllotment& value,
                Revision revision);
  // The platform holds no value for the team.
  void OnMissing(const TeamId& team);

  // The most the team may have running in this domain.
  Resources DomainLimit(const TeamId& team, const Resources& limit) const;

  // What the team has running here and what more it could run at once.
  void SetDemand(const TeamId& team, const Resources& used,
                 const Resources& waiting);
  // The write that brings the division nearer to demand, if one is due and
  // none is awaited for the team.
  std::optional<AllotmentWrite> NextWrite(const TeamId& team,
                                          const Resources& limit, Time now);
  // The write took effect under `revision`; nothing if that is not known.
  void OnWritten(const TeamId& team, std::optional<Revision> revision);
  // Writes under way are not waited for any longer.
  void AbandonPendingWrites();

 private:
  struct TeamState {
    std::optional<wire::TeamAllotment> stored;
    Revision revision{0};
    bool missing = false;
    std::optional<Resources> pledged;  // lowered here, not yet in the value
    Resources used;
    Resources waiting;
    bool awaiting = false;
    wire::TeamAllotment written;
    std::optional<Time> last_write;
  };

  Resources StaticPart(const FailureDomainId& domain,
                       const Resources& limit) const;
  Resources OwnStored(const TeamState& state) const;
  bool OthersWant(const TeamState& state) const;
  std::optional<wire::TeamAllotment> Propose(TeamState* state,
                                             const Resources& limit) const;

  FailureDomainId self_;
  std::vector<FailureDomainId> domains_;
  DivisionPolicy policy_;
  std::map<TeamId, TeamState> teams_;
};

}  // namespace quetzal

#endif  // QUETZAL_ALLOTMENT_ALLOTMENT_H_
