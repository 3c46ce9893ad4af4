#include "quetzal/placer/internal/requests.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/jobs.h"
#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

constexpr Milliseconds kInitialBackoff{20};
constexpr Milliseconds kMaxBackoff{1'000};
constexpr Milliseconds kMinRetryAfter{1'000};
// Requests of an entry that stays disconnected for this long are cancelled.
constexpr Milliseconds kEntryReconnectGrace{10'000};
constexpr Milliseconds kSweepInterval{1'000};

bool IsRequest(const WorkItem& item) { return !item.job.has_value(); }

}  // namespace

void Requests::SendOutcome(const SettledRequest& request,
                           const Waiter& waiter) {
  wire::PlacerToEntry message;
  *message.mutable_settled() = request.outcome;
  message.mutable_settled()->set_work_id(waiter.work.text());
  state_->Send(waiter.entry, std::move(message));
}

bool Requests::JoinByKey(const EntryId& entry, const wire::Submit& submit,
                         Time now) {
  const std::string key = ScopedRequestKey(submit.work());
  if (key.empty()) return false;
  const auto first = state_->work_by_request_key.find(key);
  if (first == state_->work_by_request_key.end()) return false;
  const Waiter waiter{entry, WorkId(submit.work().work_id())};
  if (WorkItem* const item = state_->FindWork(first->second)) {
    if (item->id == waiter.work) return false;
    if (item->work.payload() != submit.work().payload() &&
        item->attempt.empty()) {
      wire::PlacerToEntry message;
      wire::Settled* const settled = message.mutable_settled();
      settled->set_work_id(waiter.work.text());
      settled->set_refusal(std::string(Code(Refusal::kDuplicateKey)));
      state_->Count("quetzal_refusals_total", settled->refusal());
      state_->Send(entry, std::move(message));
      return true;
    }
    const bool known = std::any_of(
        item->waiters.begin(), item->waiters.end(),
        [&](const Waiter& other) { return other.work == waiter.work; });
    if (!known) item->waiters.push_back(waiter);
    state_->Count("quetzal_retries_total", "joined_by_request_key");
    return true;
  }
  const auto settled = state_->settled.find(first->second);
  if (settled != state_->settled.end()) {
    SendOutcome(settled->second, waiter);
    return true;
  }
  // Only an outcome or a running attempt of the request is known. Add it to the
  // work table under its first id, so that both callers get the same outcome.
  wire::Work work = submit.work();
  work.set_work_id(first->second.text());
  WorkItem* const item = AddWork(state_, work, now);
  item->waiters.push_back(waiter);
  item->deadline = now + Milliseconds(submit.deadline_ms());
  state_->wakeups.emplace(*item->deadline, item->id);
  Resolve(item, now);
  return true;
}

void Requests::OnSubmit(const EntryId& entry, const wire::Submit& submit,
                        Time now) {
  const WorkId id(submit.work().work_id());
  const Waiter waiter{entry, id};
  if (WorkItem* const known = state_->FindWork(id)) {
    const bool waits_already =
        std::any_of(known->waiters.begin(), known->waiters.end(),
                    [&](const Waiter& other) { return other.work == id; });
    if (!waits_already) known->waiters.push_back(waiter);
    return;
  }
  const auto settled = state_->settled.find(id);
  if (settled != state_->settled.end()) {
    settled->second.unconfirmed.insert(entry);
    SendOutcome(settled->second, waiter);
    return;
  }
  if (JoinByKey(entry, submit, now)) return;
  WorkItem* const item = AddWork(state_, submit.work(), now);
  item->waiters.push_back(waiter);
  item->deadline = now + Milliseconds(submit.deadline_ms());
  item->age_at_submit = Milliseconds(submit.age_ms());
  // An earlier placer may have run and retried it even if no worker reports an
  // attempt of it.
  item->may_have_run = submit.resubmitted() && submit.work().idempotent();
  state_->wakeups.emplace(*item->deadline, id);
  const bool keyed = !submit.work().request_key().empty();
  if (keyed) state_->work_by_request_key[ScopedRequestKey(submit.work())] = id;
  state_->retry_budget.OnNewWork();
  const bool may_have_been_tried = submit.resubmitted() || keyed;
  if (keyed) {
    // Another entry may have submitted it first, up to this long ago.
    item->age_at_submit = state_->settings.outcome_retention;
  }
  if (may_have_been_tried && state_->settings.awaits_inventories) {
    Resolve(item, now);
    return;
  }
  Admit(item, now);
}

bool Requests::AttachToKnownAttempt(WorkItem* item, Time now) {
  const auto match = state_->retained_outcomes.find(item->id);
  if (match != state_->retained_outcomes.end()) {
    const RetainedOutcome retained = match->second;
    state_->retained_outcomes.erase(match);
    OnEnded(item, retained, now);
    return true;
  }
  const auto running = state_->attempt_by_work.find(item->id);
  if (running == state_->attempt_by_work.end()) return false;
  Dequeue(state_, item);
  item->state = WorkState::kAttempting;
  item->attempt = running->second;
  return true;
}

void Requests::Resolve(WorkItem* item, Time now) {
  if (AttachToKnownAttempt(item, now)) return;
  if (!state_->all_workers_accounted) {
    item->state = WorkState::kAwaitingInventories;
    state_->awaiting_inventories.insert(item->id);
    return;
  }
  const Time first_submitted = item->submitted - item->age_at_submit;
  if (!item->work.idempotent() && !state_->HistoryComplete(first_submitted)) {
    Refuse(item, Refusal::kWorkerLost, wire::RUN_FATE_UNKNOWN,
           "an earlier try can't be ruled out: a worker was lost or restarted",
           now);
    return;
  }
  Admit(item, now);
}

void Requests::ResolveAwaiting(Time now) {
  for (const WorkId& id : std::exchange(state_->awaiting_inventories, {})) {
    WorkItem* const item = state_->FindWork(id);
    const bool waits =
        item != nullptr && item->state == WorkState::kAwaitingInventories;
    if (waits) Resolve(item, now);
  }
}

void Requests::Admit(WorkItem* item, Time now) {
  const QueueRecord* const queue = state_->records->Queue(item->queue);
  if (queue == nullptr || queue->team != item->team) {
    Refuse(item, Refusal::kUnknownQueue, wire::RUN_FATE_NOT_RUN, "", now);
    return;
  }
  const TeamRecord* const team = state_->records->Team(item->team);
  if (team == nullptr) {
    Refuse(item, Refusal::kUnknownTeam, wire::RUN_FATE_NOT_RUN, "", now);
    return;
  }
  if (state_->all_workers_accounted &&
      !state_->ledger.FitsSomeWorker(item->size)) {
    Refuse(item, Refusal::kNeverFits, wire::RUN_FATE_NOT_RUN,
           "largest worker: " + state_->ledger.LargestWorker().Describe(), now);
    return;
  }
  if (state_->settings.enforces_limits && !item->size.FitsIn(team->limit)) {
    Refuse(item, Refusal::kOverTeamLimit, wire::RUN_FATE_NOT_RUN,
           "upper limit: " + team->limit.Describe(), now);
    return;
  }
  const size_t waiting = state_->waiting_in_queue[StatisticsKey(item->work)];
  if (waiting >= static_cast<size_t>(queue->depth)) {
    Refuse(item, Refusal::kQueueFull, wire::RUN_FATE_NOT_RUN, "", now);
    return;
  }
  const Milliseconds wait =
      state_->settings.uses_observed_statistics
          ? state_->run_times.EstimateWait(
                StatisticsKey(item->work), waiting,
                state_->running_in_queue[StatisticsKey(item->work)])
          : Milliseconds(0);
  if (!item->work.urgent() && item->deadline && now + wait > *item->deadline) {
    Refuse(item, Refusal::kQueueFull, wire::RUN_FATE_NOT_RUN,
           "the expected wait is longer than the deadline", now);
    return;
  }
  Enqueue(state_, item, false);
}

void Requests::OnCancel(const EntryId& entry, const WorkId& id, Time now) {
  WorkItem* const item = state_->FindWork(id);
  if (item == nullptr || !IsRequest(*item)) return;
  std::erase_if(item->waiters, [&](const Waiter& waiter) {
    return waiter.entry == entry && waiter.work == id;
  });
  // Requests joined by the same request key still wait for the outcome.
  if (!item->waiters.empty()) return;
  item->waiters.push_back({entry, id});
  item->cancelled = true;
  if (AttemptInfo* const attempt = state_->FindAttempt(item->attempt)) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  const bool known_not_run = item->state != WorkState::kAwaitingInventories;
  Refuse(item, Refusal::kCancelled,
         known_not_run ? wire::RUN_FATE_NOT_RUN : wire::RUN_FATE_UNKNOWN, "",
         now);
}

void Requests::OnEnded(WorkItem* item, const RetainedOutcome& retained,
                       Time now) {
  switch (retained.ended.outcome()) {
    case wire::OUTCOME_ANSWERED:
    case wire::OUTCOME_FAILED:
      OnFinished(item, retained, now);
      return;
    default:
      break;
  }
  const bool ran = retained.ended.outcome() != wire::OUTCOME_NOT_STARTED;
  AcknowledgeAttempt(state_, retained.worker,
                     AttemptId(retained.ended.attempt_id()));
  OnInterrupted(item, ran, now);
}

void Requests::OnFinished(WorkItem* item, const RetainedOutcome& retained,
                          Time now) {
  const bool failed = retained.ended.outcome() != wire::OUTCOME_ANSWERED;
  const bool will_retry = failed && item->work.idempotent() &&
                          !item->cancelled && !item->expired &&
                          item->attempt_count > 0 &&
                          item->attempt_count < state_->settings.max_attempts &&
                          state_->retry_budget.TrySpend();
  if (will_retry) {
    item->may_have_run = true;
    AcknowledgeAttempt(state_, retained.worker,
                       AttemptId(retained.ended.attempt_id()));
    state_->Count("quetzal_retries_total", "work_failed");
    DelayUntil(
        state_, item,
        now + BackoffDelay(item->attempt_count, kInitialBackoff, kMaxBackoff));
    return;
  }
  wire::Settled outcome;
  outcome.set_fate(wire::RUN_FATE_RAN);
  outcome.set_answer(retained.ended.answer());
  outcome.set_worker(retained.worker.text());
  outcome.set_attempt_id(retained.ended.attempt_id());
  if (failed) outcome.set_refusal(std::string(Code(Refusal::kWorkFailed)));
  Settle(item, std::move(outcome), &retained, now);
}

void Requests::OnInterrupted(WorkItem* item, bool may_have_run, Time now) {
  item->may_have_run = item->may_have_run || may_have_run;
  const wire::RunFate fate =
      may_have_run ? wire::RUN_FATE_UNKNOWN : wire::RUN_FATE_NOT_RUN;
  if (item->cancelled) {
    Refuse(item, Refusal::kCancelled, fate, "", now);
    return;
  }
  if (item->expired || (item->deadline && now >= *item->deadline)) {
    Refuse(item, Refusal::kDeadlinePassed, fate, "", now);
    return;
  }
  if (may_have_run && !item->work.idempotent()) {
    Refuse(item, Refusal::kWorkerLost, fate, "", now);
    return;
  }
  const bool may_retry = item->attempt_count < state_->settings.max_attempts &&
                         state_->retry_budget.TrySpend();
  if (!may_retry) {
    Refuse(item, Refusal::kRetriesSpent, fate, "", now);
    return;
  }
  state_->Count("quetzal_retries_total",
                may_have_run ? "attempt_lost" : "start_refused");
  DelayUntil(
      state_, item,
      now + BackoffDelay(item->attempt_count, kInitialBackoff, kMaxBackoff));
}

void Requests::Refuse(WorkItem* item, Refusal reason, wire::RunFate fate,
                      const std::string& detail, Time now) {
  wire::Settled outcome;
  const bool known_not_run =
      fate == wire::RUN_FATE_NOT_RUN && !item->may_have_run;
  outcome.set_fate(known_not_run ? wire::RUN_FATE_NOT_RUN
                                 : wire::RUN_FATE_UNKNOWN);
  outcome.set_refusal(std::string(Code(reason)));
  outcome.set_detail(detail);
  if (reason == Refusal::kQueueFull) {
    const Milliseconds wait = state_->run_times.EstimateWait(
        StatisticsKey(item->work),
        state_->waiting_in_queue[StatisticsKey(item->work)],
        state_->running_in_queue[StatisticsKey(item->work)]);
    outcome.set_retry_after_ms(
        static_cast<uint32_t>(std::max(wait, kMinRetryAfter).count()));
  }
  state_->Count("quetzal_refusals_total", outcome.refusal());
  Settle(item, std::move(outcome), nullptr, now);
}

void Requests::Settle(WorkItem* item, wire::Settled outcome,
                      const RetainedOutcome* retained, Time now) {
  outcome.set_waited_ms(static_cast<uint32_t>((now - item->submitted).count()));
  SettledRequest request;
  request.outcome = std::move(outcome);
  request.at = now;
  request.request_key = ScopedRequestKey(item->work);
  if (retained != nullptr) {
    request.worker = retained->worker;
    request.attempt = AttemptId(retained->ended.attempt_id());
  }
  for (const Waiter& waiter : item->waiters) {
    request.unconfirmed.insert(waiter.entry);
    SendOutcome(request, waiter);
  }
  // A request that certainly didn't run may be resubmitted under its key.
  if (request.outcome.fate() == wire::RUN_FATE_NOT_RUN) {
    state_->work_by_request_key.erase(request.request_key);
    request.request_key.clear();
  }
  const WorkId id = item->id;
  RemoveWork(state_, id);
  state_->settled[id] = std::move(request);
}

void Requests::OnSettleReceived(const EntryId& entry, const WorkId& id) {
  const auto found = state_->settled.find(id);
  if (found == state_->settled.end()) return;
  found->second.unconfirmed.erase(entry);
  if (!found->second.unconfirmed.empty()) return;
  if (!found->second.request_key.empty()) return;  // kept for resubmissions
  if (!found->second.attempt.empty()) {
    AcknowledgeAttempt(state_, found->second.worker, found->second.attempt);
  }
  // The id is kept for the retention time to recognize late duplicates.
  found->second.attempt = AttemptId();
  found->second.outcome.clear_answer();
}

void Requests::OnDeadlinePassed(WorkItem* item, Time now) {
  if (AttemptInfo* const attempt = state_->FindAttempt(item->attempt)) {
    if (item->expired) return;
    item->expired = true;
    StopAttempt(state_, attempt, false, now);
    return;
  }
  const bool known_not_run = item->state != WorkState::kAwaitingInventories;
  Refuse(item, Refusal::kDeadlinePassed,
         known_not_run ? wire::RUN_FATE_NOT_RUN : wire::RUN_FATE_UNKNOWN, "",
         now);
}

void Requests::OnWakeup(const WorkId& id, Time now) {
  WorkItem* const item = state_->FindWork(id);
  if (item == nullptr) return;
  if (IsRequest(*item) && item->deadline && now >= *item->deadline) {
    OnDeadlinePassed(item, now);
  } else if (item->state == WorkState::kBackingOff && now >= item->not_before) {
    Enqueue(state_, item, true);
  }
}

void Requests::CancelForLostEntries(Time now) {
  for (auto at = state_->entry_disconnected_at.begin();
       at != state_->entry_disconnected_at.end();) {
    if (now - at->second < kEntryReconnectGrace) {
      ++at;
      continue;
    }
    std::vector<Waiter> gone;
    for (const auto& [id, item] : state_->works) {
      for (const Waiter& waiter : item.waiters) {
        if (waiter.entry == at->first) gone.push_back(waiter);
      }
    }
    for (const Waiter& waiter : gone) OnCancel(waiter.entry, waiter.work, now);
    at = state_->entry_disconnected_at.erase(at);
  }
}

void Requests::Tick(Time now) {
  while (!state_->wakeups.empty() && state_->wakeups.begin()->first <= now) {
    const WorkId id = state_->wakeups.begin()->second;
    state_->wakeups.erase(state_->wakeups.begin());
    OnWakeup(id, now);
  }
  CancelForLostEntries(now);
  if (now - last_sweep_ < kSweepInterval) return;
  last_sweep_ = now;
  RemoveOldSettled(now);
  RemoveUnclaimedOutcomes(now);
}

void Requests::RemoveOldSettled(Time now) {
  for (auto at = state_->settled.begin(); at != state_->settled.end();) {
    const SettledRequest& request = at->second;
    if (now - request.at < state_->settings.outcome_retention) {
      ++at;
      continue;
    }
    if (!request.attempt.empty()) {
      AcknowledgeAttempt(state_, request.worker, request.attempt);
    }
    state_->work_by_request_key.erase(request.request_key);
    at = state_->settled.erase(at);
  }
}

void Requests::RemoveUnclaimedOutcomes(Time now) {
  for (auto at = state_->retained_outcomes.begin();
       at != state_->retained_outcomes.end();) {
    const RetainedOutcome& retained = at->second;
    const bool kept = now - retained.at < state_->settings.outcome_retention ||
                      TaskOf(at->first).has_value();
    if (kept) {
      ++at;
      continue;
    }
    AcknowledgeAttempt(state_, retained.worker,
                       AttemptId(retained.ended.attempt_id()));
    state_->work_by_request_key.erase(ScopedRequestKey(retained.ended.work()));
    at = state_->retained_outcomes.erase(at);
  }
}

}  // namespace quetzal::placer_internal
