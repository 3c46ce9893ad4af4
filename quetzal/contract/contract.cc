#include "quetzal/contract/contract.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

// Leases are extended by one part in this many to allow for clocks that run at
// different speeds.
constexpr int kDriftDivisor = 50;
// Limit on the grants to one worker whose answers are awaited.
constexpr size_t kMaxUnanswered = 16;

Milliseconds WithDrift(Milliseconds lease) {
  return lease + lease / kDriftDivisor;
}

}  // namespace

ContractManager::ContractManager(PlacerId self, ContractTimes times)
    : self_(std::move(self)), times_(times) {}

void ContractManager::SetWorkers(const std::vector<WorkerId>& workers) {
  for (const WorkerId& worker : workers) {
    const auto [found, added] = contracts_.try_emplace(worker);
    if (added) found->second.connected = connected_workers_.contains(worker);
  }
}

void ContractManager::Remove(const WorkerId& worker) {
  contracts_.erase(worker);
}

void ContractManager::BeginTerm(Epoch epoch, bool fenced) {
  epoch_ = epoch;
  fenced_ = fenced;
  first_majority_at_.reset();
  for (auto& [worker, contract] : contracts_) {
    const bool connected = contract.connected;
    contract = Contract();
    contract.connected = connected;
  }
}

void ContractManager::EndTerm() {
  epoch_.reset();
  first_majority_at_.reset();
}

bool ContractManager::IsGrantDue(const Contract& contract, Time now) const {
  if (!contract.connected) return false;
  if (!contract.last_sent || contract.want_inventory) return true;
  const Milliseconds since = now - *contract.last_sent;
  const bool answered = contract.unanswered.empty() && contract.reached;
  const bool renews_tasks = contract.echoed_received.has_value();
  if (answered && !renews_tasks) return true;
  return since >=
         (answered ? times_.renewal_interval : times_.grant_retry_delay);
}

wire::PlacerToWorker ContractManager::MakeGrant(Contract* contract,
                                                bool majority, Time now) {
  wire::PlacerToWorker message;
  message.set_epoch(static_cast<uint64_t>(epoch()));
  wire::Grant* const grant = message.mutable_grant();
  grant->set_epoch(message.epoch());
  grant->set_holder(self_.text());
  grant->set_ttl_ms(static_cast<uint32_t>(times_.ttl.count()));
  grant->set_task_lease_ms(static_cast<uint32_t>(times_.task_lease.count()));
  grant->set_fenced(fenced_);
  grant->set_want_inventory(contract->want_inventory || !contract->reached);
  grant->set_serial(next_serial_);
  // Only the placer that holds a majority renews task leases.
  if (contract->stamp_received && majority) {
    grant->set_echoed_stamp_ms(contract->stamp_ms);
    contract->echoed_received = contract->stamp_received;
  }
  contract->unanswered[next_serial_++] = now;
  if (contract->unanswered.size() > kMaxUnanswered) {
    contract->unanswered.erase(contract->unanswered.begin());
  }
  contract->last_sent = now;
  contract->want_inventory = false;
  return message;
}

std::vector<DueGrant> ContractManager::TakeDueGrants(Time now) {
  std::vector<DueGrant> due;
  if (!in_term()) return due;
  RecordMajority(now);
  const bool majority = HasMajority(now);
  for (auto& [worker, contract] : contracts_) {
    if (!IsGrantDue(contract, now)) continue;
    // Without a majority the grant can't renew the task lease, so it waits for
    // the usual interval.
    const bool only_renews_tasks =
        contract.reached && contract.unanswered.empty() &&
        !contract.echoed_received && !contract.want_inventory;
    if (only_renews_tasks && !majority && contract.last_sent &&
        now - *contract.last_sent < times_.renewal_interval) {
      continue;
    }
    due.push_back({worker, MakeGrant(&contract, majority, now)});
  }
  return due;
}

void ContractManager::RequestInventory(const WorkerId& worker) {
  const auto found = contracts_.find(worker);
  if (found != contracts_.end()) found->second.want_inventory = true;
}

void ContractManager::OnLink(const WorkerId& worker, bool up) {
  if (up) {
    connected_workers_.insert(worker);
  } else {
    connected_workers_.erase(worker);
  }
  const auto found = contracts_.find(worker);
  if (found == contracts_.end()) return;
  Contract& contract = found->second;
  contract.connected = up;
  contract.unanswered.clear();
  // Messages may have been lost with the connection.
  contract.want_inventory = up && in_term();
}

bool ContractManager::OnGranted(const WorkerId& worker,
                                const wire::Granted& message, Time now) {
  const auto found = contracts_.find(worker);
  if (found == contracts_.end() || !in_term()) return false;
  if (message.epoch() != static_cast<uint64_t>(epoch())) return false;
  if (message.holder() != self_.text()) return false;
  Contract& contract = found->second;
  const auto sent = contract.unanswered.find(message.serial());
  if (sent == contract.unanswered.end()) return false;
  if (!contract.confirmed_sent || *contract.confirmed_sent < sent->second) {
    contract.confirmed_sent = sent->second;
  }
  contract.unanswered.erase(contract.unanswered.begin(), std::next(sent));
  contract.refused = false;
  contract.reached = contract.reached || message.has_inventory();
  contract.stamp_ms = message.stamp_ms();
  contract.stamp_received = now;
  contract.uptime = Milliseconds(message.uptime_ms());
  RecordMajority(now);
  return true;
}

void ContractManager::OnGrantRefused(const WorkerId& worker) {
  const auto found = contracts_.find(worker);
  if (found == contracts_.end()) return;
  found->second.refused = true;
  found->second.unanswered.clear();
  found->second.confirmed_sent.reset();
}

bool ContractManager::MayStart(const WorkerId& worker, Time now) const {
  const auto found = contracts_.find(worker);
  if (found == contracts_.end() || !in_term()) return false;
  const Contract& contract = found->second;
  return contract.connected && contract.reached && contract.echoed_received &&
         contract.confirmed_sent && now < *contract.confirmed_sent + times_.ttl;
}

size_t ContractManager::CountLive(Time now) const {
  return static_cast<size_t>(std::count_if(
      contracts_.begin(), contracts_.end(), [&](const auto& entry) {
        const Contract& contract = entry.second;
        return contract.confirmed_sent &&
               now < *contract.confirmed_sent + times_.ttl;
      }));
}

bool ContractManager::HasMajority(Time now) const {
  return in_term() && CountLive(now) * 2 > contracts_.size();
}

bool ContractManager::MajorityConfirmedSince(Time since) const {
  const auto confirmed = std::count_if(
      contracts_.begin(), contracts_.end(), [&](const auto& entry) {
        const auto& sent = entry.second.confirmed_sent;
        return sent && *sent >= since;
      });
  return in_term() && static_cast<size_t>(confirmed) * 2 > contracts_.size();
}

void ContractManager::RecordMajority(Time now) {
  if (!first_majority_at_ && HasMajority(now)) first_majority_at_ = now;
}

bool ContractManager::Reached(const WorkerId& worker) const {
  const auto found = contracts_.find(worker);
  return in_term() && found != contracts_.end() && found->second.reached;
}

std::optional<Time> ContractManager::TaskLeaseExpiry(
    const WorkerId& worker) const {
  const auto found = contracts_.find(worker);
  if (found == contracts_.end() || !first_majority_at_) return std::nullopt;
  // An earlier holder may have renewed the task lease until it lost its
  // majority.
  const Time earlier_expiry = *first_majority_at_ + WithDrift(times_.ttl) +
                              WithDrift(times_.task_lease);
  const auto& echoed = found->second.echoed_received;
  // Once the worker has accepted this placer's grant, no earlier holder can
  // renew its task lease.
  if (!echoed) return earlier_expiry;
  return *echoed + WithDrift(times_.task_lease);
}

bool ContractManager::TaskLeaseExpired(const WorkerId& worker, Time now) const {
  const std::optional<Time> at = TaskLeaseExpiry(worker);
  return at && now >= *at && HasMajority(now) && MajorityConfirmedSince(*at);
}

Milliseconds ContractManager::Uptime(const WorkerId& worker, Time now) const {
  const auto found = contracts_.find(worker);
  if (found == contracts_.end() || !found->second.stamp_received) {
    return Milliseconds(0);
  }
  return found->second.uptime + (now - *found->second.stamp_received);
}

std::vector<WorkerId> ContractManager::Workers() const {
  std::vector<WorkerId> workers;
  for (const auto& [worker, contract] : contracts_) workers.push_back(worker);
  return workers;
}

}  // namespace quetzal
