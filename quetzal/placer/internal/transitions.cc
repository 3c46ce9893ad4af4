#include "quetzal/placer/internal/transitions.h"

namespace quetzal::placer_internal {
namespace {

constexpr size_t kMaxPendingAcknowledgements = 64;

void Decrement(std::map<QueueId, size_t>* counts, const QueueId& queue) {
  const auto found = counts->find(queue);
  if (found == counts->end()) return;
  if (--found->second == 0) counts->erase(found);
}

}  // namespace

std::string PlacementGroup(const WorkItem& item) {
  return item.job ? item.job->text() : item.id.text();
}

Lane LaneOf(const wire::Work& work) {
  switch (work.work_class()) {
    case wire::WORK_CLASS_GANG:
      return Lane::kGang;
    case wire::WORK_CLASS_SERVICE:
      return work.urgent() ? Lane::kUrgent : Lane::kService;
    case wire::WORK_CLASS_BATCH:
      return work.urgent() ? Lane::kUrgent : Lane::kBatch;
    default:
      return work.urgent() ? Lane::kUrgent : Lane::kRequest;
  }
}

WorkItem* AddWork(State* state, const wire::Work& work, Time now) {
  const WorkId id(work.work_id());
  WorkItem& item = state->works[id];
  item.work = work;
  item.id = id;
  item.team = TeamId(work.team());
  item.queue = QueueId(work.queue());
  item.size = FromWire(work.size());
  item.lane = LaneOf(work);
  item.state = WorkState::kBackingOff;
  item.submitted = now;
  item.not_before = now;
  return &item;
}

void RemoveWork(State* state, const WorkId& id) {
  WorkItem* const item = state->FindWork(id);
  if (item == nullptr) return;
  Dequeue(state, item);
  state->works.erase(id);
}

void Enqueue(State* state, WorkItem* item, bool front) {
  if (state->queue.Contains(item->id)) return;
  item->state = WorkState::kQueued;
  state->queue.Push({item->lane, item->team}, item->id, front);
  ++state->waiting_in_queue[StatisticsKey(item->work)];
  state->placement_due = true;
}

void Dequeue(State* state, WorkItem* item) {
  if (!state->queue.Erase(item->id)) return;
  Decrement(&state->waiting_in_queue, StatisticsKey(item->work));
}

void DelayUntil(State* state, WorkItem* item, Time at) {
  Dequeue(state, item);
  item->state = WorkState::kBackingOff;
  item->not_before = at;
  if (at != Time::max()) state->wakeups.emplace(at, item->id);
}

bool StartAttempt(State* state, WorkItem* item, const WorkerId& worker,
                  Milliseconds hold, Time now) {
  if (!state->contracts.MayStart(worker, now)) {
    state->ledger.SetOpen(worker, false);
    return false;
  }
  if (!state->may_start(item)) return false;
  Dequeue(state, item);
  AttemptInfo attempt;
  attempt.id = state->NewAttemptId();
  attempt.work = item->work;
  attempt.work.clear_payload();
  attempt.work_id = item->id;
  attempt.worker = worker;
  attempt.sent_at = now;
  state->ledger.Charge(
      attempt.id,
      {.worker = worker,
       .team = item->team,
       .size = state->settings.tracks_capacity ? item->size : Resources(),
       .group = PlacementGroup(*item)});
  wire::PlacerToWorker message;
  wire::Start* const start = message.mutable_start();
  start->set_attempt_id(attempt.id.text());
  *start->mutable_work() = item->work;
  start->set_hold_ms(static_cast<uint32_t>(hold.count()));
  state->Send(worker, std::move(message));
  item->state = WorkState::kAttempting;
  item->attempt = attempt.id;
  ++item->attempt_count;
  ++state->running_in_queue[StatisticsKey(item->work)];
  state->attempt_by_work[item->id] = attempt.id;
  state->attempts.emplace(attempt.id, std::move(attempt));
  state->metrics->Count("quetzal_starts_total");
  return true;
}

void StopAttempt(State* state, AttemptInfo* attempt, bool checkpoint,
                 Time now) {
  attempt->stop_sent_at = now;
  attempt->checkpoint = checkpoint;
  wire::PlacerToWorker message;
  message.mutable_stop()->set_attempt_id(attempt->id.text());
  message.mutable_stop()->set_checkpoint(checkpoint);
  state->Send(attempt->worker, std::move(message));
}

void CloseAttempt(State* state, const AttemptId& id) {
  const auto found = state->attempts.find(id);
  if (found == state->attempts.end()) return;
  const AttemptInfo& attempt = found->second;
  state->ledger.Release(id);
  Decrement(&state->running_in_queue, StatisticsKey(attempt.work));
  const auto current = state->attempt_by_work.find(attempt.work_id);
  if (current != state->attempt_by_work.end() && current->second == id) {
    state->attempt_by_work.erase(current);
  }
  if (WorkItem* const item = state->FindWork(attempt.work_id)) {
    if (item->attempt == id) item->attempt = AttemptId();
  }
  state->attempts.erase(found);
  state->placement_due = true;
}

void AcknowledgeAttempt(State* state, const WorkerId& worker,
                        const AttemptId& attempt) {
  std::vector<std::string>& attempts = state->pending_acknowledgements[worker];
  attempts.push_back(attempt.text());
  if (attempts.size() < kMaxPendingAcknowledgements) return;
  wire::PlacerToWorker message;
  message.mutable_acknowledge()->mutable_attempt_ids()->Assign(attempts.begin(),
                                                               attempts.end());
  state->pending_acknowledgements.erase(worker);
  state->Send(worker, std::move(message));
}

void AttachAcknowledgements(State* state, DueGrant* grant) {
  const auto attempts = state->pending_acknowledgements.extract(grant->worker);
  if (!attempts) return;
  grant->message.mutable_grant()->mutable_acknowledged_attempt_ids()->Assign(
      attempts.mapped().begin(), attempts.mapped().end());
}

}  // namespace quetzal::placer_internal
