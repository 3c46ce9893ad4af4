// The placer's side of its contracts with the workers of a failure domain.
//
// A contract is a lease on one worker: only its holder starts work there. For
// each worker, this library tracks how long the contract is guaranteed to last
// and when everything that the worker ran has certainly ended:
//
//   ContractManager contracts(self, times);
//   contracts.SetWorkers(workers);
//   contracts.BeginTerm(epoch, /*fenced=*/true);
//   for (const DueGrant& due : contracts.TakeDueGrants(now)) send(due);
//   contracts.OnGranted(worker, message, now);
//   if (contracts.MayStart(worker, now)) start_on(worker);
//
// The holder counts a contract's lifetime from before it sent the grant, so a
// holder whose process was paused finds its contracts expired. A worker counts
// its task lease from its own timestamp, which the grant echoes, so a grant
// that arrives late never extends the lease beyond the placer's estimate.
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
  Milliseconds ttl{20'000};               // of a contract, after a grant
  Milliseconds renewal_interval{6'000};   // between grants to one worker
  Milliseconds task_lease{60'000};        // how long tasks run after a grant
  Milliseconds grant_retry_delay{1'000};  // for a grant that was not answered
};

struct DueGrant {
  WorkerId worker;
  wire::PlacerToWorker message;
};

class ContractManager {
 public:
  ContractManager(PlacerId self, ContractTimes times);

  // Adds the workers of the domain, in any order. A worker that isn't in the
  // list any more stays until `Remove`.
  void SetWorkers(const std::vector<WorkerId>& workers);
  void Remove(const WorkerId& worker);
  bool Contains(const WorkerId& worker) const {
    return contracts_.contains(worker);
  }

  // Starts requesting contracts from all workers under `epoch` and discards
  // all state of earlier terms.
  void BeginTerm(Epoch epoch, bool fenced);
  void EndTerm();
  bool in_term() const { return epoch_.has_value(); }
  Epoch epoch() const { return epoch_.value_or(Epoch{0}); }
  bool fenced() const { return fenced_; }

  // Returns the grants to send now: first grants, renewals, and retries of
  // grants that weren't answered. Skips workers without a connection.
  std::vector<DueGrant> TakeDueGrants(Time now);
  // Makes the worker's next grant due at once and requests its inventory.
  void RequestInventory(const WorkerId& worker);

  void OnLink(const WorkerId& worker, bool up);
  // Returns false if the message is of another term or of a grant that is no
  // longer awaited.
  bool OnGranted(const WorkerId& worker, const wire::Granted& message,
                 Time now);
  // The worker refused the grant because another holder has its contract.
  void OnGrantRefused(const WorkerId& worker);

  // True while the contract is certainly valid, the worker's inventory is known
  // and a grant has echoed its timestamp.
  bool MayStart(const WorkerId& worker, Time now) const;
  // True while contracts are valid on more than half of the domain's workers.
  // Only one placer can hold such a majority, and only it may decide for the
  // domain.
  bool HasMajority(Time now) const;
  // True if more than half of the workers confirmed grants sent at or after
  // `since`, so that no other placer held a majority between `since` and now.
  bool MajorityConfirmedSince(Time since) const;

  // True if the worker sent its inventory in this term.
  bool Reached(const WorkerId& worker) const;
  // Returns the time after which nothing started on this worker still runs,
  // unless another grant reaches the worker; nothing while that time isn't
  // known yet.
  std::optional<Time> TaskLeaseExpiry(const WorkerId& worker) const;
  // True if that time has passed and a majority confirmed since then shows that
  // no other placer can have renewed the worker's task lease.
  bool TaskLeaseExpired(const WorkerId& worker, Time now) const;
  // Returns the worker's uptime, extrapolated from its last answer; zero if it
  // hasn't answered in this term.
  Milliseconds Uptime(const WorkerId& worker, Time now) const;

  std::vector<WorkerId> Workers() const;
  size_t size() const { return contracts_.size(); }
  const ContractTimes& times() const { return times_; }

 private:
  struct Contract {
    bool connected = false;
    bool reached = false;
    bool refused = false;
    bool want_inventory = false;
    std::optional<Time> last_sent;
    uint64_t last_serial = 0;
    std::map<uint64_t, Time> unanswered;  // time sent, by serial number
    std::optional<Time> confirmed_sent;   // when the newest answered was sent
    std::optional<Time> stamp_received;
    uint64_t stamp_ms = 0;
    // When the timestamp that was last echoed in a grant had been received.
    std::optional<Time> echoed_received;
    Milliseconds uptime{0};
  };

  bool IsGrantDue(const Contract& contract, Time now) const;
  wire::PlacerToWorker MakeGrant(Contract* contract, bool majority, Time now);
  size_t CountLive(Time now) const;
  void RecordMajority(Time now);

  PlacerId self_;
  ContractTimes times_;
  std::optional<Epoch> epoch_;
  bool fenced_ = false;
  uint64_t next_serial_ = 1;
  std::optional<Time> first_majority_at_;
  std::map<WorkerId, Contract> contracts_;
  // Kept apart from `contracts_` because a worker may connect before the
  // platform lists it.
  std::set<WorkerId> connected_workers_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTRACT_CONTRACT_H_
