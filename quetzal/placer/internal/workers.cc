#include "quetzal/placer/internal/workers.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

constexpr Milliseconds kCheckInterval{250};
// The platform's list of VMs is assumed to lag by less than this many times the
// sum of the contract TTL and the task lease.
constexpr int kListLagInLeases = 3;

}  // namespace

void Workers::OnListed(const std::vector<ListedWorker>& listed, Time now) {
  std::vector<WorkerId> present;
  std::set<WorkerId> gone;
  for (const ListedWorker& worker : listed) {
    if (worker.gone) {
      gone.insert(worker.id);
      continue;
    }
    present.push_back(worker.id);
    state_->listed[worker.id] = worker;
    if (TreatAsLeaving(worker.leaving)) state_->ledger.MarkLeaving(worker.id);
    const bool known = state_->ledger.FindWorker(worker.id) != nullptr;
    if (known || !state_->contracts.in_term()) continue;
    state_->ledger.SetWorker({.id = worker.id,
                              .rack = worker.rack,
                              .capacity = worker.capacity,
                              .leaving = TreatAsLeaving(worker.leaving)});
  }
  state_->contracts.SetWorkers(present);
  for (const auto& [id, worker] : state_->listed) {
    if (std::find(present.begin(), present.end(), id) == present.end()) {
      gone.insert(id);
    }
  }
  for (const WorkerId& worker : present) state_->gone_since.erase(worker);
  OnWorkersGone(gone, now);
}

// The platform's list lags, so a worker that it reports as gone may have
// restarted under the same name. Such a worker counts as not reached until its
// lease has certainly expired.
void Workers::OnWorkersGone(const std::set<WorkerId>& gone, Time now) {
  std::vector<WorkerId> newly_gone;
  for (const WorkerId& worker : gone) {
    state_->listed.erase(worker);
    if (state_->gone_since.try_emplace(worker, now).second) {
      newly_gone.push_back(worker);
    }
  }
  state_->contracts.SetWorkers(newly_gone);
  const ContractTimes& times = state_->contracts.times();
  const Milliseconds max_lease_time =
      (times.ttl + times.task_lease) * kListLagInLeases;
  for (const auto& [worker, since] : state_->gone_since) {
    const bool expired = now - since >= max_lease_time;
    if (!expired || !state_->contracts.Contains(worker)) continue;
    if (state_->contracts.in_term()) Expire(worker, now);
    state_->contracts.Remove(worker);
  }
}

void Workers::BeginTerm() {
  superseded_ = false;
  mismatched_.clear();
  state_->inventory_lost = false;
  for (const auto& [id, worker] : state_->listed) {
    state_->ledger.SetWorker({.id = id,
                              .rack = worker.rack,
                              .capacity = worker.capacity,
                              .leaving = TreatAsLeaving(worker.leaving)});
  }
}

void Workers::OnLink(const WorkerId& worker, bool up, Time now) {
  state_->contracts.OnLink(worker, up);
  if (!up) state_->ledger.SetOpen(worker, false);
  if (up) Tick(now);
}

void Workers::OnMessage(const WorkerId& worker,
                        const wire::WorkerToPlacer& message, Time now) {
  switch (message.kind_case()) {
    case wire::WorkerToPlacer::kGranted:
      OnGranted(worker, message.granted(), now);
      break;
    case wire::WorkerToPlacer::kGrantRefused:
      OnGrantRefused(worker, message.grant_refused(), now);
      break;
    case wire::WorkerToPlacer::kStarted:
      OnStarted(message.started(), now);
      break;
    case wire::WorkerToPlacer::kStartRefused:
      OnStartRefused(message.start_refused(), now);
      break;
    case wire::WorkerToPlacer::kEnded:
      OnEnded(worker, message.ended(), now);
      break;
    case wire::WorkerToPlacer::kUsage:
      state_->ledger.SetUsage(worker, FromWire(message.usage().in_use()));
      state_->placement_due = true;
      break;
    case wire::WorkerToPlacer::kLeaving:
      OnLeaving(worker, now);
      break;
    case wire::WorkerToPlacer::KIND_NOT_SET:
      break;
  }
}

void Workers::OnGranted(const WorkerId& worker, const wire::Granted& granted,
                        Time now) {
  epoch_seen_ =
      std::max(epoch_seen_.value_or(Epoch{0}), Epoch{granted.epoch()});
  if (!state_->contracts.OnGranted(worker, granted, now)) return;
  if (granted.leaving()) OnLeaving(worker, now);
  const auto known = state_->incarnations.find(worker);
  const bool restarted = known != state_->incarnations.end() &&
                         known->second != granted.incarnation();
  if (granted.has_inventory()) {
    state_->incarnations[worker] = granted.incarnation();
    if (state_->expired_leases.erase(worker) > 0 ||
        !state_->worker_started_at.contains(worker)) {
      state_->worker_started_at[worker] =
          now - Milliseconds(granted.uptime_ms());
    }
    OnInventory(worker, granted.inventory(), restarted, now);
  } else {
    CheckAttemptCount(worker, granted);
  }
  const bool may_start = state_->contracts.MayStart(worker, now);
  state_->ledger.SetOpen(worker, may_start);
  state_->placement_due = state_->placement_due || may_start;
}

// A count that differs twice in a row means that a message was lost. After one
// difference the message may still be in flight.
void Workers::CheckAttemptCount(const WorkerId& worker,
                                const wire::Granted& granted) {
  if (granted.attempts() == state_->ledger.AttemptCount(worker)) {
    mismatched_.erase(worker);
  } else if (!mismatched_.insert(worker).second) {
    mismatched_.erase(worker);
    state_->contracts.RequestInventory(worker);
  }
}

void Workers::OnGrantRefused(const WorkerId& worker,
                             const wire::GrantRefused& refused, Time now) {
  const Epoch current{refused.current_epoch()};
  epoch_seen_ = std::max(epoch_seen_.value_or(Epoch{0}), current);
  state_->contracts.OnGrantRefused(worker);
  state_->ledger.SetOpen(worker, false);
  const bool higher = current > state_->contracts.epoch();
  if (higher && !state_->contracts.HasMajority(now)) superseded_ = true;
}

std::optional<Epoch> Workers::TakeEpochSeen() {
  return std::exchange(epoch_seen_, std::nullopt);
}

void Workers::OnStarted(const wire::Started& started, Time now) {
  AttemptInfo* const attempt =
      state_->FindAttempt(AttemptId(started.attempt_id()));
  if (attempt == nullptr) return;
  attempt->state =
      started.held() ? AttemptState::kHeld : AttemptState::kRunning;
  if (!started.held() && !attempt->started_at) attempt->started_at = now;
  jobs_->OnTaskStarted(*attempt, now);
}

void Workers::OnStartRefused(const wire::StartRefused& refused, Time now) {
  const AttemptId id(refused.attempt_id());
  if (state_->FindAttempt(id) == nullptr) return;
  state_->Count("quetzal_start_refusals_total", refused.reason());
  Interrupt(id, false, now);
}

void Workers::Interrupt(const AttemptId& id, bool may_have_run, Time now) {
  const AttemptInfo* const attempt = state_->FindAttempt(id);
  if (attempt == nullptr) return;
  const WorkId work = attempt->work_id;
  RetainedOutcome retained{.worker = attempt->worker, .at = now};
  retained.ended.set_attempt_id(id.text());
  retained.ended.set_outcome(wire::OUTCOME_STOPPED);
  *retained.ended.mutable_work() = attempt->work;
  CloseAttempt(state_, id);
  WorkItem* const item = state_->FindWork(work);
  if (item == nullptr) {
    // Its entry may still resubmit it: remember that it may have run.
    if (may_have_run && !TaskOf(work)) {
      state_->retained_outcomes[work] = retained;
    }
    return;
  }
  if (!item->attempt.empty()) return;
  if (item->job) {
    jobs_->OnTaskInterrupted(item, may_have_run, now);
  } else {
    requests_->OnInterrupted(item, may_have_run, now);
  }
}

void Workers::RecordStatistics(const AttemptInfo& attempt,
                               const wire::EndedAttempt& ended, Time now) {
  const bool ran = ended.outcome() == wire::OUTCOME_ANSWERED ||
                   ended.outcome() == wire::OUTCOME_FAILED;
  if (!ran || !state_->settings.uses_observed_statistics) return;
  const bool failed = ended.outcome() == wire::OUTCOME_FAILED;
  state_->failures.AddOutcome(attempt.worker, failed);
  if (failed) {
    AvoidOutlier(attempt.worker, now);
  } else if (attempt.started_at) {
    state_->run_times.AddSample(StatisticsKey(attempt.work),
                                now - *attempt.started_at);
  }
}

void Workers::AvoidOutlier(const WorkerId& worker, Time now) {
  const bool already_avoided = state_->avoided_since.contains(worker);
  if (already_avoided || !state_->failures.IsOutlier(worker)) return;
  state_->avoided_since[worker] = now;
  state_->ledger.SetAvoided(worker, true);
  state_->metrics->Count("quetzal_workers_set_aside_total");
}

void Workers::OnEnded(const WorkerId& worker, const wire::EndedAttempt& ended,
                      Time now) {
  const AttemptId id(ended.attempt_id());
  const AttemptInfo* const attempt = state_->FindAttempt(id);
  if (attempt == nullptr) {
    // Either reported before and not acknowledged yet, or of an earlier term.
    // In the latter case the next inventory contains it together with its work.
    return;
  }
  const bool ran = ended.outcome() != wire::OUTCOME_NOT_STARTED;
  const bool was_running = attempt->state == AttemptState::kRunning;
  const bool has_outcome = ended.outcome() == wire::OUTCOME_ANSWERED ||
                           ended.outcome() == wire::OUTCOME_FAILED;
  RecordStatistics(*attempt, ended, now);
  const WorkId work = attempt->work_id;
  const wire::Work described = attempt->work;
  if (!has_outcome) {
    AcknowledgeAttempt(state_, worker, id);
    Interrupt(id, ran || was_running, now);
    return;
  }
  CloseAttempt(state_, id);
  RetainedOutcome retained{.ended = ended, .worker = worker, .at = now};
  *retained.ended.mutable_work() = described;
  WorkItem* const item = state_->FindWork(work);
  if (item == nullptr || !item->attempt.empty()) {
    if (TaskOf(work) && jobs_->loaded()) {
      jobs_->RecoverOutcome(retained, now);
    } else {
      state_->retained_outcomes[work] = std::move(retained);
    }
  } else if (item->job) {
    jobs_->OnTaskEnded(*item, retained.ended, worker, now);
  } else {
    requests_->OnEnded(item, retained, now);
  }
}

void Workers::OnLeaving(const WorkerId& worker, Time now) {
  const WorkerInfo* const info = state_->ledger.FindWorker(worker);
  if (info == nullptr || info->leaving || !TreatAsLeaving(true)) return;
  state_->ledger.MarkLeaving(worker);
  // Services are moved to other workers; all other work may run to its end.
  for (const AttemptId& id : state_->ledger.AttemptsOn(worker)) {
    AttemptInfo* const attempt = state_->FindAttempt(id);
    if (attempt == nullptr) continue;
    if (attempt->work.work_class() != wire::WORK_CLASS_SERVICE) continue;
    StopAttempt(state_, attempt, true, now);
  }
}

void Workers::OnInventory(const WorkerId& worker,
                          const wire::Inventory& inventory, bool restarted,
                          Time now) {
  const bool was_leaving = state_->ledger.FindWorker(worker) != nullptr &&
                           state_->ledger.FindWorker(worker)->leaving;
  state_->ledger.SetWorker(
      {.id = worker,
       .rack = RackId(inventory.rack()),
       .capacity = FromWire(inventory.capacity()),
       .leaving = was_leaving || TreatAsLeaving(inventory.leaving())});
  std::set<AttemptId> reported;
  for (const wire::EndedAttempt& ended : inventory.ended()) {
    const AttemptId id(ended.attempt_id());
    reported.insert(id);
    if (state_->FindAttempt(id) != nullptr) {
      OnEnded(worker, ended, now);
      continue;
    }
    const WorkId work(ended.work().work_id());
    const bool settled = state_->settled.contains(work) ||
                         state_->retained_outcomes.contains(work);
    if (settled) continue;
    const RetainedOutcome retained{.ended = ended, .worker = worker, .at = now};
    if (TaskOf(work) && jobs_->loaded()) {
      jobs_->RecoverOutcome(retained, now);
      continue;
    }
    state_->retained_outcomes[work] = retained;
    const std::string key = ScopedRequestKey(ended.work());
    if (!key.empty()) state_->work_by_request_key.try_emplace(key, work);
  }
  for (const wire::Attempt& attempt : inventory.running()) {
    reported.insert(AttemptId(attempt.attempt_id()));
    AdoptAttempt(worker, attempt, now);
  }
  for (const AttemptId& id : state_->ledger.AttemptsOn(worker)) {
    AttemptInfo* const attempt = state_->FindAttempt(id);
    if (attempt != nullptr && !reported.contains(id)) {
      OnMissing(attempt, restarted, now);
    }
  }
  state_->RefreshAccounting(now);
}

void Workers::OnMissing(AttemptInfo* attempt, bool restarted, Time now) {
  if (restarted) {
    Interrupt(attempt->id, true, now);
    return;
  }
  // A recently sent start may still be in flight.
  if (now - attempt->sent_at < state_->settings.start_timeout) return;
  // The worker's answer to a stop is final: the worker ends the attempt, or
  // refuses its start if that still arrives.
  StopAttempt(state_, attempt, false, now);
}

void Workers::AdoptAttempt(const WorkerId& worker, const wire::Attempt& attempt,
                           Time now) {
  const AttemptId id(attempt.attempt_id());
  const AttemptState observed_state =
      attempt.held() ? AttemptState::kHeld : AttemptState::kRunning;
  if (AttemptInfo* const known = state_->FindAttempt(id)) {
    if (known->state == AttemptState::kSent) known->state = observed_state;
    jobs_->OnTaskStarted(*known, now);
    return;
  }
  AttemptInfo info;
  info.id = id;
  info.work = attempt.work();
  info.work.clear_payload();
  info.work_id = WorkId(attempt.work().work_id());
  info.worker = worker;
  info.state = observed_state;
  info.sent_at = now;
  const auto task = TaskOf(info.work_id);
  state_->ledger.Charge(
      id, {.worker = worker,
           .team = TeamId(info.work.team()),
           .size = FromWire(info.work.size()),
           .group = task ? task->first.text() : info.work_id.text()});
  ++state_->running_in_queue[StatisticsKey(info.work)];
  const std::string key = ScopedRequestKey(info.work);
  if (!key.empty()) state_->work_by_request_key.try_emplace(key, info.work_id);
  const bool first =
      state_->attempt_by_work.try_emplace(info.work_id, id).second;
  AttemptInfo* const added = &state_->attempts.emplace(id, info).first->second;
  if (!first) {
    state_->metrics->Count("quetzal_errors_total",
                           {{"reason", "second_attempt_found"}});
    StopAttempt(state_, added, false, now);
    return;
  }
  if (task && state_->all_workers_accounted) jobs_->RecoverAttempt(added, now);
}

void Workers::Tick(Time now) {
  for (DueGrant& due : state_->contracts.TakeDueGrants(now)) {
    AttachAcknowledgements(state_, &due);
    state_->outbox.emplace_back(
        SendToWorker{due.worker, std::move(due.message)});
  }
  if (now - last_check_ < kCheckInterval) return;
  last_check_ = now;
  for (const WorkerId& worker : state_->contracts.Workers()) {
    state_->ledger.SetOpen(worker, state_->contracts.MayStart(worker, now));
  }
  ExpireTaskLeases(now);
  RetryUnanswered(now);
  for (auto at = state_->avoided_since.begin();
       at != state_->avoided_since.end();) {
    if (now - at->second < state_->settings.avoidance_duration) {
      ++at;
      continue;
    }
    state_->ledger.SetAvoided(at->first, false);
    state_->failures.Reset(at->first);
    at = state_->avoided_since.erase(at);
  }
}

void Workers::ExpireTaskLeases(Time now) {
  for (const WorkerId& worker : state_->contracts.Workers()) {
    if (state_->expired_leases.contains(worker)) continue;
    if (state_->contracts.TaskLeaseExpired(worker, now)) Expire(worker, now);
  }
}

void Workers::Expire(const WorkerId& worker, Time now) {
  if (!state_->contracts.Reached(worker)) state_->inventory_lost = true;
  state_->metrics->Count("quetzal_workers_lapsed_total");
  state_->expired_leases.insert(worker);
  state_->ledger.SetOpen(worker, false);
  for (const AttemptId& id : state_->ledger.AttemptsOn(worker)) {
    Interrupt(id, true, now);
  }
  if (!state_->listed.contains(worker)) {
    state_->ledger.RemoveWorker(worker);
    state_->contracts.Remove(worker);
    state_->incarnations.erase(worker);
    state_->pending_acknowledgements.erase(worker);
    state_->worker_started_at.erase(worker);
    state_->expired_leases.erase(worker);
  }
  state_->RefreshAccounting(now);
}

void Workers::RetryUnanswered(Time now) {
  for (auto& [id, attempt] : state_->attempts) {
    if (attempt.stop_sent_at) {
      const bool retry =
          now - *attempt.stop_sent_at >= state_->settings.stop_retry_delay;
      if (retry) StopAttempt(state_, &attempt, attempt.checkpoint, now);
      continue;
    }
    const bool unanswered =
        attempt.state == AttemptState::kSent &&
        now - attempt.sent_at >= state_->settings.start_timeout;
    if (unanswered) state_->contracts.RequestInventory(attempt.worker);
  }
}

}  // namespace quetzal::placer_internal
