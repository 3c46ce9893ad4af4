#include "quetzal/placer/internal/state.h"

#include <algorithm>

namespace quetzal::placer_internal {

State::State(PlacerSettings chosen, const RecordStore* record_store,
             Metrics* metric_store)
    : settings(std::move(chosen)),
      records(record_store),
      metrics(metric_store),
      contracts(settings.self, settings.contract),
      allotments(settings.domain, settings.domains, settings.division) {}

void State::Clear() {
  ledger = Ledger();
  queue = WorkQueue();
  failures = FailureRateTracker();
  incarnations.clear();
  expired_leases.clear();
  all_workers_accounted = false;
  unreached_capacity = Resources();
  avoided_since.clear();
  worker_started_at.clear();
  inventory_lost = false;
  wakeups.clear();
  awaiting_inventories.clear();
  pending_acknowledgements.clear();
  works.clear();
  attempts.clear();
  attempt_by_work.clear();
  retained_outcomes.clear();
  settled.clear();
  work_by_request_key.clear();
  waiting_in_queue.clear();
  running_in_queue.clear();
}

void State::Send(const WorkerId& worker, wire::PlacerToWorker message) {
  message.set_epoch(static_cast<uint64_t>(contracts.epoch()));
  outbox.emplace_back(SendToWorker{worker, std::move(message)});
}

void State::Send(const EntryId& entry, wire::PlacerToEntry message) {
  outbox.emplace_back(SendToEntry{entry, std::move(message)});
}

uint64_t State::Call(KvCall call) {
  call.id = next_call++;
  const uint64_t id = call.id;
  outbox.emplace_back(std::move(call));
  return id;
}

AttemptId State::NewAttemptId() {
  return AttemptId(settings.self.text() + "." +
                   std::to_string(static_cast<uint64_t>(contracts.epoch())) +
                   "." + std::to_string(next_attempt++));
}

WorkItem* State::FindWork(const WorkId& id) {
  const auto found = works.find(id);
  return found == works.end() ? nullptr : &found->second;
}

AttemptInfo* State::FindAttempt(const AttemptId& id) {
  const auto found = attempts.find(id);
  return found == attempts.end() ? nullptr : &found->second;
}

void State::RefreshAccounting(Time now) {
  unreached_capacity = Resources();
  all_workers_accounted = contracts.HasMajority(now);
  for (const WorkerId& worker : contracts.Workers()) {
    if (contracts.Reached(worker) || expired_leases.contains(worker)) continue;
    all_workers_accounted = false;
    const auto known = listed.find(worker);
    const bool sized =
        known != listed.end() && !known->second.capacity.IsZero();
    unreached_capacity +=
        sized ? known->second.capacity : ledger.LargestWorker();
  }
}

bool State::HistoryComplete(Time since) const {
  if (!settings.awaits_inventories || since >= term_began) return true;
  if (!all_workers_accounted || inventory_lost) return false;
  return std::all_of(worker_started_at.begin(), worker_started_at.end(),
                     [&](const auto& boot) { return boot.second <= since; });
}

Resources State::Headroom(const TeamId& team) const {
  const TeamRecord* const record = records->Team(team);
  if (record == nullptr) return {};
  return allotments.DomainLimit(team, record->limit) - ledger.UsedBy(team) -
         unreached_capacity;
}

double State::ShareRatio(const TeamId& team) const {
  const TeamRecord* const record = records->Team(team);
  const auto weight =
      static_cast<double>(record == nullptr ? 1 : record->share);
  return ledger.UsedBy(team).DominantShare(ledger.TotalCapacity()) / weight;
}

void State::Count(const std::string& name, const std::string& reason) {
  metrics->Count(name, {{"reason", reason}});
}

QueueId StatisticsKey(const wire::Work& work) {
  return QueueId(work.queue() + "/" + std::to_string(work.work_class()));
}

std::string ScopedRequestKey(const wire::Work& work) {
  if (work.request_key().empty()) return "";
  return work.team() + "\n" + work.queue() + "\n" + work.request_key();
}

}  // namespace quetzal::placer_internal
