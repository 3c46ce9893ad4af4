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
  lapsed.clear();
  accounted = false;
  unreached = Resources();
  set_aside.clear();
  booted_at.clear();
  evidence_lost = false;
  wakeups.clear();
  awaiting_evidence.clear();
  acknowledged.clear();
  works.clear();
  attempts.clear();
  attempt_of_work.clear();
  evidence.clear();
  settled.clear();
  work_of_key.clear();
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
  unreached = Resources();
  accounted = contracts.HasMajority(now);
  for (const WorkerId& worker : contracts.Workers()) {
    if (contracts.Reached(worker) || lapsed.contains(worker)) continue;
    accounted = false;
    const auto known = listed.find(worker);
    const bool sized =
        known != listed.end() && !known->second.capacity.IsZero();
    unreached += sized ? known->second.capacity : ledger.LargestWorker();
  }
}

bool State::EvidenceWhole(Time since) const {
  if (!settings.awaits_inventories || since >= term_began) return true;
  if (!accounted || evidence_lost) return false;
  return std::all_of(booted_at.begin(), booted_at.end(),
                     [&](const auto& boot) { return boot.second <= since; });
}

Resources State::Room(const TeamId& team) const {
  const TeamRecord* const record = records->Team(team);
  if (record == nullptr) return {};
  return allotments.DomainLimit(team, record->limit) - ledger.UsedBy(team) -
         unreached;
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

QueueId FlowOf(const wire::Work& work) {
  return QueueId(work.queue() + "/" + std::to_string(work.work_class()));
}

std::string ScopedKey(const wire::Work& work) {
  if (work.request_key().empty()) return "";
  return work.team() + "\n" + work.queue() + "\n" + work.request_key();
}

}  // namespace quetzal::placer_internal
