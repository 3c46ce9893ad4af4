// The placer's side of its contracts with the workers of a failure domain.
//
// A contract is a lease on one worker: only its holder starts work there. This
// library keeps, for each worker, until when the contract surely lives, and
// from when on everything the worker ran has surely ended:
//
//   ContractBook book(self, times);
//   book.SetWorkers(workers);
//   book.BeginTerm(epoch, /*fenced=*/true);
//   for (const DueGrant& due : book.GrantsDue(now)) send(due);
//   book.OnGranted(worker, message, now);
//   if (book.MayStart(worker, now)) ...
//
// A contract's life is measured from before its grant was sent, so a holder
// that was paused finds its contracts lapsed. The workers' task leases are
// measured from a stamp of the worker's own, so a grant that arrives late
// extends nothing past what the placer accounts for.
#ifndef QUETZAL_CONTRACT_CONTRACT_H_
#define QUETZAL_CONTRACT_CONTRACT_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/proto/wire.pb.h"

namespace quetzal {

struct ContractTimes {
  Milliseconds ttl{20'000};               // life of a contract after a grant
  Milliseconds renewal_interval{6'000};   // between grants to one worker
  Milliseconds task_lease{60'000};        // life of tasks after a grant
  Milliseconds grant_retry_delay{1'000};  // for a grant that was not answered
};

struct DueGrant {
  WorkerId worker;
  wire::PlacerToWorker message;
};

class ContractBook {
 public:
  ContractBook(PlacerId self, ContractTimes times);

  // The workers of the domain by the platform's list, in any order. A worker
  // no longer listed stays until `Drop`.
  void SetWorkers(const std::vector<WorkerId>& workers);
  void Drop(const WorkerId& worker);
  bool Contains(const WorkerId& worker) const {
    return contracts_.contains(worker);
  }

  // Starts asking every worker for its contract under `epoch`; everything
  // known of earlier terms is forgotten.
  void BeginTerm(Epoch epoch, bool fenced);
  void EndTerm();
  bool in_term() const { return epoch_.has_value(); }
  Epoch epoch() const { return epoch_.value_or(Epoch{0}); }
  bool fenced() const { return fenced_; }

  // Grants to send now: first asks, renewals, and asks again for those not
  // answered. Workers without a link are passed over.
  std::vector<DueGrant> GrantsDue(Time now);
  // Has the worker asked for its inventory with the next grant, at once.
  void AskInventory(const WorkerId& worker);

  void OnLink(const WorkerId& worker, bool up);
  // False if the message is of another term or of an older grant.
  bool OnGranted(const WorkerId& worker, const wire::Granted& message,
                 Time now);
  // The worker belongs to another holder.
  void OnRefused(const WorkerId& worker);

  // True while the contract surely lives and the worker's inventory is known.
  bool MayStart(const WorkerId& worker, Time now) const;
  // True while contracts live on more than half of the domain's workers: only
  // one placer can be in that state, and only then may it decide for the
  // domain.
  bool HasMajority(Time now) const;
  // True if more than half of the workers confirmed grants sent at or after
  // `since`: no other placer held a majority between `since` and now.
  bool MajoritySince(Time since) const;

  // True if the worker's inventory arrived in this term.
  bool Reached(const WorkerId& worker) const;
  // From then on, nothing started on this worker still runs unless the worker
  // is reached again; absent while it can't be told yet.
  std::optional<Time> LapseAt(const WorkerId& worker) const;
  // True if the worker has lapsed by `now` and the majority shows that no
  // other placer can have renewed it.
  bool Lapsed(const WorkerId& worker, Time now) const;
  // Uptime of a reached worker when it last answered; zero if not reached.
  Milliseconds Uptime(const WorkerId& worker, Time now) const;

  std::vector<WorkerId> Workers() const;
  size_t size() const { return contracts_.size(); }
  const ContractTimes& times() const { return times_; }

 private:
  struct Contract {
    bool linked = false;
    bool reached = false;
    bool refused = false;
    bool want_inventory = false;
    std::optional<Time> last_sent;
    uint64_t last_serial = 0;
    std::map<uint64_t, Time> unanswered;  // serial to time sent
    std::optional<Time> confirmed_sent;   // when the newest answered was sent
    std::optional<Time> stamp_received;
    uint64_t stamp_ms = 0;
    // When the stamp in the newest grant sent was received.
    std::optional<Time> echoed_received;
    Milliseconds uptime{0};
  };

  bool Due(const Contract& contract, Time now) const;
  wire::PlacerToWorker MakeGrant(Contract* contract, bool majority, Time now);
  size_t CountLive(Time now) const;
  void NoteMajority(Time now);

  PlacerId self_;
  ContractTimes times_;
  std::optional<Epoch> epoch_;
  bool fenced_ = false;
  uint64_t next_serial_ = 1;
  std::optional<Time> majority_at_;
  std::map<WorkerId, Contract> contracts_;
  // Links outlive listings: a worker may be listed after its link came up.
  std::set<WorkerId> links_up_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTRACT_CONTRACT_H_
