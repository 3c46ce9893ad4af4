// Manages a failure domain's part of each team's resource limit.
//
// The platform stores one value per team that divides the limit among the
// domains; the parts never add up to more than the limit. A domain uses only
// its own part, so the limit holds fleet-wide even while domains are
// partitioned from each other. A domain that lowers its part stops using the
// difference before it writes the lower value; it uses a raised part only after
// that write is confirmed.
//
//   AllotmentManager allotments(domain, domains, policy);
//   allotments.OnStored(team, value, revision);
//   if ((used + size).FitsIn(allotments.DomainLimit(team, limit))) start();
//   allotments.SetDemand(team, used, waiting);
//   if (const auto write = allotments.NextWrite(team, limit, now)) put(*write);
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

// How a limit is divided among the domains.
enum class DivisionPolicy {
  kStatic,  // fixed, equal parts
  kDemand,  // unused parts move to domains with waiting work
};

class AllotmentManager {
 public:
  // `domains` are all failure domains of the fleet, in any order.
  AllotmentManager(FailureDomainId self, std::vector<FailureDomainId> domains,
                   DivisionPolicy policy);

  // Handles a value that was read from the platform or reported by a watch;
  // ignores older revisions.
  void OnStored(const TeamId& team, const wire::TeamAllotment& value,
                Revision revision);
  // The platform has no value for the team.
  void OnMissing(const TeamId& team);

  // Maximum amount that the team's running work may use in this domain.
  Resources DomainLimit(const TeamId& team, const Resources& limit) const;

  // Records what the team's running work uses in this domain, and what its
  // waiting work could use now.
  void SetDemand(const TeamId& team, const Resources& used,
                 const Resources& waiting);
  // The write that moves the division towards demand; nullopt if none is due or
  // one is in flight for the team.
  std::optional<AllotmentWrite> NextWrite(const TeamId& team,
                                          const Resources& limit, Time now);
  // Ends the team's write, which was committed at `revision`; nullopt if it
  // failed or its result is unknown.
  void OnWritten(const TeamId& team, std::optional<Revision> revision);
  // Stops waiting for the writes in flight.
  void AbandonPendingWrites();

 private:
  struct TeamState {
    std::optional<wire::TeamAllotment> stored;
    Revision revision{0};
    bool missing = false;
    std::optional<Resources> reduced_limit;  // in force, not yet stored
    Resources used;
    Resources waiting;
    bool write_in_flight = false;
    wire::TeamAllotment written;
    std::optional<Time> last_write;
  };

  Resources EqualPart(const FailureDomainId& domain,
                      const Resources& limit) const;
  Resources OwnStored(const TeamState& state) const;
  bool OtherDomainsWantMore(const TeamState& state) const;
  std::optional<wire::TeamAllotment> ProposeValue(TeamState* state,
                                                  const Resources& limit) const;

  FailureDomainId self_;
  std::vector<FailureDomainId> domains_;
  DivisionPolicy policy_;
  std::map<TeamId, TeamState> teams_;
};

}  // namespace quetzal

#endif  // QUETZAL_ALLOTMENT_ALLOTMENT_H_
