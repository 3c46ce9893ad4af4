#include "quetzal/placer/internal/requests.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/flow.h"
#include "quetzal/placer/internal/jobs.h"

namespace quetzal::placer_internal {
namespace {

constexpr Milliseconds kFirstBackOff{20};
constexpr Milliseconds kMostBackOff{1'000};
constexpr Milliseconds kShortestRetryAfter{1'000};
// Requests of an entry that stays disconnected for this long are cancelled.
constexpr Milliseconds kEntryGrace{10'000};
constexpr Milliseconds kSweepEvery{1'000};

bool IsRequest(const WorkItem& item) { return !item.job.has_value(); }

}  // namespace

void Requests::Tell(const SettledRequest& request, const Asker& asker) {
  wire::PlacerToEntry message;
  *message.mutable_settled() = request.outcome;
  message.mutable_settled()->set_work_id(asker.work.text());
  state_->Send(asker.entry, std::move(message));
}

bool Requests::JoinByKey(const EntryId& entry, const wire::Submit& submit,
                         Time now) {
  const std::string key = ScopedKey(submit.work());
  if (key.empty()) return false;
  const auto first = state_->work_of_key.find(key);
  if (first == state_->work_of_key.end()) return false;
  const Asker asker{entry, WorkId(submit.work().work_id())};
  if (WorkItem* const item = state_->FindWork(first->second)) {
    if (item->id == asker.work) return false;
    if (item->work.payload() != submit.work().payload() &&
        item->attempt.empty()) {
      wire::PlacerToEntry message;
      wire::Settled* const settled = message.mutable_settled();
      settled->set_work_id(asker.work.text());
      settled->set_refusal(std::string(Code(Refusal::kDuplicateKey)));
      state_->Count("quetzal_refusals_total", settled->refusal());
      state_->Send(entry, std::move(message));
      return true;
    }
    const bool known = std::any_of(
        item->askers.begin(), item->askers.end(),
        [&](const Asker& other) { return other.work == asker.work; });
    if (!known) item->askers.push_back(asker);
    state_->Count("quetzal_retries_total", "joined_by_request_key");
    return true;
  }
  const auto settled = state_->settled.find(first->second);
  if (settled != state_->settled.end()) {
    Tell(settled->second, asker);
    return true;
  }
  // Only an outcome or a running attempt of the request is known. Add it to the
  // work table under its first id, so that both callers get the same outcome.
  wire::Work work = submit.work();
  work.set_work_id(first->second.text());
  WorkItem* const item = AddWork(state_, work, now);
  item->askers.push_back(asker);
  item->deadline = now + Milliseconds(submit.deadline_ms());
  state_->wakeups.emplace(*item->deadline, item->id);
  Decide(item, now);
  return true;
}

void Requests::OnSubmit(const EntryId& entry, const wire::Submit& submit,
                        Time now) {
  const WorkId id(submit.work().work_id());
  const Asker asker{entry, id};
  if (WorkItem* const known = state_->FindWork(id)) {
    const bool asks_already =
        std::any_of(known->askers.begin(), known->askers.end(),
                    [&](const Asker& other) { return other.work == id; });
    if (!asks_already) known->askers.push_back(asker);
    return;
  }
  const auto settled = state_->settled.find(id);
  if (settled != state_->settled.end()) {
    settled->second.unconfirmed.insert(entry);
    Tell(settled->second, asker);
    return;
  }
  if (JoinByKey(entry, submit, now)) return;
  WorkItem* const item = AddWork(state_, submit.work(), now);
  item->askers.push_back(asker);
  item->deadline = now + Milliseconds(submit.deadline_ms());
  item->age_at_submit = Milliseconds(submit.age_ms());
  // An earlier placer may have run and retried it without a trace at any
  // worker.
  item->may_have_run = submit.resubmitted() && submit.work().idempotent();
  state_->wakeups.emplace(*item->deadline, id);
  const bool keyed = !submit.work().request_key().empty();
  if (keyed) state_->work_of_key[ScopedKey(submit.work())] = id;
  state_->retry_budget.OnNewWork();
  const bool earlier_try = submit.resubmitted() || keyed;
  if (keyed) {
    // Another entry may have submitted it first, up to this long ago.
    item->age_at_submit = state_->settings.outcome_retention;
  }
  if (earlier_try && state_->settings.awaits_inventories) {
    Decide(item, now);
    return;
  }
  Admit(item, now);
}

bool Requests::Attach(WorkItem* item, Time now) {
  const auto told = state_->evidence.find(item->id);
  if (told != state_->evidence.end()) {
    const Evidence evidence = told->second;
    state_->evidence.erase(told);
    OnEnded(item, evidence, now);
    return true;
  }
  const auto running = state_->attempt_of_work.find(item->id);
  if (running == state_->attempt_of_work.end()) return false;
  Dequeue(state_, item);
  item->state = WorkState::kAttempting;
  item->attempt = running->second;
  return true;
}

void Requests::Decide(WorkItem* item, Time now) {
  if (Attach(item, now)) return;
  if (!state_->accounted) {
    item->state = WorkState::kAwaitingEvidence;
    state_->awaiting_evidence.insert(item->id);
    return;
  }
  const Time first_tried = item->submitted - item->age_at_submit;
  if (!item->work.idempotent() && !state_->EvidenceWhole(first_tried)) {
    Refuse(item, Refusal::kWorkerLost, wire::RUN_FATE_UNKNOWN,
           "an earlier try can't be ruled out: a worker was lost or restarted",
           now);
    return;
  }
  Admit(item, now);
}

void Requests::ResolveAwaiting(Time now) {
  for (const WorkId& id : std::exchange(state_->awaiting_evidence, {})) {
    WorkItem* const item = state_->FindWork(id);
    const bool waits =
        item != nullptr && item->state == WorkState::kAwaitingEvidence;
    if (waits) Decide(item, now);
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
  if (state_->accounted && !state_->ledger.FitsSomeWorker(item->size)) {
    Refuse(item, Refusal::kNeverFits, wire::RUN_FATE_NOT_RUN,
           "largest worker: " + state_->ledger.LargestWorker().Describe(), now);
    return;
  }
  if (state_->settings.enforces_limits && !item->size.FitsIn(team->limit)) {
    Refuse(item, Refusal::kOverTeamLimit, wire::RUN_FATE_NOT_RUN,
           "upper limit: " + team->limit.Describe(), now);
    return;
  }
  const size_t waiting = state_->waiting_in_queue[FlowOf(item->work)];
  if (waiting >= static_cast<size_t>(queue->depth)) {
    Refuse(item, Refusal::kQueueFull, wire::RUN_FATE_NOT_RUN, "", now);
    return;
  }
  const Milliseconds wait =
      state_->settings.uses_observed_statistics
          ? state_->run_times.EstimateWait(
                FlowOf(item->work), waiting,
                state_->running_in_queue[FlowOf(item->work)])
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
  std::erase_if(item->askers, [&](const Asker& asker) {
    return asker.entry == entry && asker.work == id;
  });
  // Requests joined by the same request key still wait for the outcome.
  if (!item->askers.empty()) return;
  item->askers.push_back({entry, id});
  item->cancelled = true;
  if (AttemptInfo* const attempt = state_->FindAttempt(item->attempt)) {
    StopAttempt(state_, attempt, false, now);
    return;
  }
  const bool proved = item->state != WorkState::kAwaitingEvidence;
  Refuse(item, Refusal::kCancelled,
         proved ? wire::RUN_FATE_NOT_RUN : wire::RUN_FATE_UNKNOWN, "", now);
}

void Requests::OnEnded(WorkItem* item, const Evidence& evidence, Time now) {
  switch (evidence.ended.outcome()) {
    case wire::OUTCOME_ANSWERED:
    case wire::OUTCOME_FAILED:
      OnFinished(item, evidence, now);
      return;
    default:
      break;
  }
  const bool ran = evidence.ended.outcome() != wire::OUTCOME_NOT_STARTED;
  Acknowledge(state_, evidence.worker, AttemptId(evidence.ended.attempt_id()));
  OnInterrupted(item, ran, now);
}

void Requests::OnFinished(WorkItem* item, const Evidence& evidence, Time now) {
  const bool failed = evidence.ended.outcome() != wire::OUTCOME_ANSWERED;
  const bool again = failed && item->work.idempotent() && !item->cancelled &&
                     !item->expired && item->tries > 0 &&
                     item->tries < state_->settings.max_attempts &&
                     state_->retry_budget.TrySpend();
  if (again) {
    item->may_have_run = true;
    Acknowledge(state_, evidence.worker,
                AttemptId(evidence.ended.attempt_id()));
    state_->Count("quetzal_retries_total", "work_failed");
    BackOffUntil(state_, item,
                 now + BackoffDelay(item->tries, kFirstBackOff, kMostBackOff));
    return;
  }
  wire::Settled outcome;
  outcome.set_fate(wire::RUN_FATE_RAN);
  outcome.set_answer(evidence.ended.answer());
  outcome.set_worker(evidence.worker.text());
  outcome.set_attempt_id(evidence.ended.attempt_id());
  if (failed) outcome.set_refusal(std::string(Code(Refusal::kWorkFailed)));
  Settle(item, std::move(outcome), &evidence, now);
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
  const bool may_retry = item->tries < state_->settings.max_attempts &&
                         state_->retry_budget.TrySpend();
  if (!may_retry) {
    Refuse(item, Refusal::kRetriesSpent, fate, "", now);
    return;
  }
  state_->Count("quetzal_retries_total",
                may_have_run ? "attempt_lost" : "start_refused");
  BackOffUntil(state_, item,
               now + BackoffDelay(item->tries, kFirstBackOff, kMostBackOff));
}

void Requests::Refuse(WorkItem* item, Refusal reason, wire::RunFate fate,
                      const std::string& detail, Time now) {
  wire::Settled outcome;
  const bool proved = fate == wire::RUN_FATE_NOT_RUN && !item->may_have_run;
  outcome.set_fate(proved ? wire::RUN_FATE_NOT_RUN : wire::RUN_FATE_UNKNOWN);
  outcome.set_refusal(std::string(Code(reason)));
  outcome.set_detail(detail);
  if (reason == Refusal::kQueueFull) {
    const Milliseconds wait = state_->run_times.EstimateWait(
        FlowOf(item->work), state_->waiting_in_queue[FlowOf(item->work)],
        state_->running_in_queue[FlowOf(item->work)]);
    outcome.set_retry_after_ms(
        static_cast<uint32_t>(std::max(wait, kShortestRetryAfter).count()));
  }
  state_->Count("quetzal_refusals_total", outcome.refusal());
  Settle(item, std::move(outcome), nullptr, now);
}

void Requests::Settle(WorkItem* item, wire::Settled outcome,
                      const Evidence* evidence, Time now) {
  outcome.set_waited_ms(static_cast<uint32_t>((now - item->submitted).count()));
  SettledRequest request;
  request.outcome = std::move(outcome);
  request.at = now;
  request.request_key = ScopedKey(item->work);
  if (evidence != nullptr) {
    request.worker = evidence->worker;
    request.attempt = AttemptId(evidence->ended.attempt_id());
  }
  for (const Asker& asker : item->askers) {
    request.unconfirmed.insert(asker.entry);
    Tell(request, asker);
  }
  // A request that certainly didn't run may be resubmitted under its key.
  if (request.outcome.fate() == wire::RUN_FATE_NOT_RUN) {
    state_->work_of_key.erase(request.request_key);
    request.request_key.clear();
  }
  const WorkId id = item->id;
  DropWork(state_, id);
  state_->settled[id] = std::move(request);
}

void Requests::OnSettleReceived(const EntryId& entry, const WorkId& id) {
  const auto found = state_->settled.find(id);
  if (found == state_->settled.end()) return;
  found->second.unconfirmed.erase(entry);
  if (!found->second.unconfirmed.empty()) return;
  if (!found->second.request_key.empty()) return;  // kept for resubmissions
  if (!found->second.attempt.empty()) {
    Acknowledge(state_, found->second.worker, found->second.attempt);
  }
  // The id is kept for the retention time to recognize late duplicates.
  found->second.attempt = AttemptId();
  found->second.outcome.clear_answer();
}

void Requests::Expire(WorkItem* item, Time now) {
  if (AttemptInfo* const attempt = state_->FindAttempt(item->attempt)) {
    if (item->expired) return;
    item->expired = true;
    StopAttempt(state_, attempt, false, now);
    return;
  }
  const bool proved = item->state != WorkState::kAwaitingEvidence;
  Refuse(item, Refusal::kDeadlinePassed,
         proved ? wire::RUN_FATE_NOT_RUN : wire::RUN_FATE_UNKNOWN, "", now);
}

void Requests::Wake(const WorkId& id, Time now) {
  WorkItem* const item = state_->FindWork(id);
  if (item == nullptr) return;
  if (IsRequest(*item) && item->deadline && now >= *item->deadline) {
    Expire(item, now);
  } else if (item->state == WorkState::kBackingOff && now >= item->not_before) {
    Enqueue(state_, item, true);
  }
}

void Requests::DropLostEntries(Time now) {
  for (auto at = state_->entry_lost_at.begin();
       at != state_->entry_lost_at.end();) {
    if (now - at->second < kEntryGrace) {
      ++at;
      continue;
    }
    std::vector<Asker> gone;
    for (const auto& [id, item] : state_->works) {
      for (const Asker& asker : item.askers) {
        if (asker.entry == at->first) gone.push_back(asker);
      }
    }
    for (const Asker& asker : gone) OnCancel(asker.entry, asker.work, now);
    at = state_->entry_lost_at.erase(at);
  }
}

void Requests::Tick(Time now) {
  while (!state_->wakeups.empty() && state_->wakeups.begin()->first <= now) {
    const WorkId id = state_->wakeups.begin()->second;
    state_->wakeups.erase(state_->wakeups.begin());
    Wake(id, now);
  }
  DropLostEntries(now);
  if (now - swept_at_ < kSweepEvery) return;
  swept_at_ = now;
  ForgetSettled(now);
  ForgetOrphans(now);
}

void Requests::ForgetSettled(Time now) {
  for (auto at = state_->settled.begin(); at != state_->settled.end();) {
    const SettledRequest& request = at->second;
    if (now - request.at < state_->settings.outcome_retention) {
      ++at;
      continue;
    }
    if (!request.attempt.empty()) {
      Acknowledge(state_, request.worker, request.attempt);
    }
    state_->work_of_key.erase(request.request_key);
    at = state_->settled.erase(at);
  }
}

void Requests::ForgetOrphans(Time now) {
  for (auto at = state_->evidence.begin(); at != state_->evidence.end();) {
    const Evidence& evidence = at->second;
    const bool kept = now - evidence.at < state_->settings.outcome_retention ||
                      TaskOf(at->first).has_value();
    if (kept) {
      ++at;
      continue;
    }
    Acknowledge(state_, evidence.worker,
                AttemptId(evidence.ended.attempt_id()));
    state_->work_of_key.erase(ScopedKey(evidence.ended.work()));
    at = state_->evidence.erase(at);
  }
}

}  // namespace quetzal::placer_internal
