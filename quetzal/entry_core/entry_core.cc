#include "quetzal/entry_core/entry_core.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

constexpr Milliseconds kHelloInterval{2'000};
constexpr Milliseconds kRetryAfterDelay{1'000};

std::optional<Milliseconds> RetryAfter(Refusal reason) {
  switch (reason) {
    case Refusal::kNoPlacer:
    case Refusal::kNoRecords:
    case Refusal::kRecordsStale:
    case Refusal::kPlatformDown:
    case Refusal::kDraining:
    case Refusal::kQueueFull:
    case Refusal::kRetriesSpent:
      return kRetryAfterDelay;
    default:
      return std::nullopt;
  }
}

}  // namespace

EntryCore::EntryCore(EntrySettings settings, RecordStore* records,
                     Metrics* metrics)
    : settings_(std::move(settings)), records_(records), metrics_(metrics) {}

void EntryCore::Refuse(CallId call, Refusal reason, const std::string& detail) {
  metrics_->Count("quetzal_refusals_total",
                  {{"reason", std::string(Code(reason))}});
  Reply(RefusalReply{.call = call,
                     .reason = reason,
                     .detail = detail,
                     .retry_after = RetryAfter(reason)});
}

std::optional<TeamId> EntryCore::TeamOfKey(
    const std::optional<std::string>& key, Refusal* reason) const {
  if (!key) {
    *reason = Refusal::kMissingKey;
    return std::nullopt;
  }
  const KeyRecord* const record = records_->KeyByDigest(KeyDigest(*key));
  if (record == nullptr) {
    *reason = Refusal::kUnknownKey;
    return std::nullopt;
  }
  return record->team;
}

std::optional<Refusal> EntryCore::Authorize(
    const std::optional<std::string>& key, const QueueRecord& queue,
    Time now) const {
  if (queue.open) return std::nullopt;
  Refusal reason{};
  const std::optional<TeamId> team = TeamOfKey(key, &reason);
  if (!team) return reason;
  if (*team != queue.team) return Refusal::kKeyOfOtherTeam;
  const bool stale = records_->ConfirmedAgo(now) > settings_.freshness;
  const bool may_be_revoked = stale && health_ != PlatformHealth::kDown;
  if (may_be_revoked && queue.when_cut == PartitionPolicy::kRefuse) {
    return Refusal::kRecordsStale;
  }
  return std::nullopt;
}

const QueueRecord* EntryCore::Admit(CallId call,
                                    const std::optional<std::string>& key,
                                    const std::string& queue, Time now) {
  if (draining_) {
    Refuse(call, Refusal::kDraining);
    return nullptr;
  }
  if (!records_->ready()) {
    Refuse(call, Refusal::kNoRecords);
    return nullptr;
  }
  if (pending() >= settings_.max_pending) {
    Refuse(call, Refusal::kQueueFull, "this entry holds too many calls");
    return nullptr;
  }
  const QueueRecord* const record = records_->Queue(QueueId(queue));
  if (record == nullptr) {
    Refuse(call, Refusal::kUnknownQueue, "queue: " + queue);
    return nullptr;
  }
  if (const auto reason = Authorize(key, *record, now)) {
    Refuse(call, *reason);
    return nullptr;
  }
  return record;
}

void EntryCore::OnRequest(const CallerRequest& request, Time now) {
  const QueueRecord* const queue =
      Admit(request.call, request.key, request.work.queue(), now);
  if (queue == nullptr) return;
  const std::string id = NewId("r");
  Pending pending = NewPending(request.call, request.deadline, now);
  wire::Work* const work = pending.message.mutable_submit()->mutable_work();
  *work = request.work;
  work->set_work_id(id);
  work->set_team(queue->team.text());
  metrics_->Count("quetzal_requests_total");
  id_of_call_[static_cast<uint64_t>(request.call)] = id;
  AddPending(id, std::move(pending), &requests_, now);
}

std::string EntryCore::NewId(const std::string& kind) {
  return settings_.self.text() + "-" + kind + std::to_string(next_id_++);
}

EntryCore::Pending EntryCore::NewPending(CallId call, Milliseconds deadline,
                                         Time now) {
  Pending pending;
  pending.call = call;
  pending.received = now;
  pending.deadline = now + deadline;
  return pending;
}

void EntryCore::AddPending(const std::string& id, Pending pending,
                           PendingById* to, Time now) {
  deadlines_.emplace(pending.deadline + settings_.outcome_grace, id);
  Pending& added = (*to)[id] = std::move(pending);
  Send(&added, now);
}

void EntryCore::OnJob(const CallerJob& job, Time now) {
  const QueueRecord* const queue =
      Admit(job.call, job.key, job.spec.work().queue(), now);
  if (queue == nullptr) return;
  const std::string id = NewId("j");
  Pending pending = NewPending(job.call, settings_.job_deadline, now);
  wire::JobSpec* const spec =
      pending.message.mutable_submit_job()->mutable_job();
  *spec = job.spec;
  spec->set_job_id(id);
  spec->mutable_work()->set_team(queue->team.text());
  metrics_->Count("quetzal_jobs_total");
  AddPending(id, std::move(pending), &jobs_, now);
}

void EntryCore::OnJobQuery(const JobQuery& job_query, Time now) {
  Refusal reason{};
  const std::optional<TeamId> team = TeamOfKey(job_query.key, &reason);
  if (!records_->ready()) {
    Refuse(job_query.call, Refusal::kNoRecords);
    return;
  }
  if (!team) {
    Refuse(job_query.call, reason);
    return;
  }
  const std::string id = NewId("q");
  Pending pending = NewPending(job_query.call, settings_.query_deadline, now);
  if (job_query.cancel) {
    wire::CancelJob* const cancel = pending.message.mutable_cancel_job();
    cancel->set_query_id(id);
    cancel->set_job_id(job_query.job.text());
    cancel->set_team(team->text());
  } else {
    wire::QueryJob* const query = pending.message.mutable_query_job();
    query->set_query_id(id);
    query->set_job_id(job_query.job.text());
    query->set_team(team->text());
  }
  AddPending(id, std::move(pending), &jobs_, now);
}

void EntryCore::Send(Pending* pending, Time now) {
  if (!active_) return;
  const auto left = std::max(pending->deadline - now, Milliseconds(0));
  const auto left_ms = static_cast<uint32_t>(left.count());
  if (pending->message.has_submit()) {
    wire::Submit* const submit = pending->message.mutable_submit();
    submit->set_deadline_ms(left_ms);
    submit->set_resubmitted(pending->sent);
    submit->set_age_ms(
        static_cast<uint32_t>((now - pending->received).count()));
    if (pending->sent) {
      metrics_->Count("quetzal_retries_total", {{"reason", "placer_changed"}});
    }
  } else if (pending->message.has_submit_job()) {
    pending->message.mutable_submit_job()->set_deadline_ms(left_ms);
  }
  pending->sent = true;
  pending->sent_to = *active_;
  Reply(SendToPlacer{*active_, pending->message});
}

void EntryCore::OnCallerDisconnected(CallId call) {
  const auto found = id_of_call_.extract(static_cast<uint64_t>(call));
  if (!found) return;
  const auto request = requests_.extract(found.mapped());
  if (!request || !request.mapped().sent || !active_) return;
  wire::EntryToPlacer message;
  message.mutable_cancel()->set_work_id(found.mapped());
  Reply(SendToPlacer{*active_, std::move(message)});
  metrics_->Count("quetzal_callers_gone_total");
}

wire::EntryToPlacer EntryCore::Hello(Time now) const {
  wire::EntryToPlacer message;
  wire::EntryHello* const hello = message.mutable_hello();
  hello->set_entry(settings_.self.text());
  hello->set_record_revision(static_cast<uint64_t>(records_->revision()));
  hello->set_confirmed_ago_ms(
      static_cast<uint32_t>(records_->ConfirmedAgo(now).count()));
  return message;
}

void EntryCore::OnPlacerLink(const PlacerId& placer, bool up, Time now) {
  PlacerView& view = placers_[placer];
  view.linked = up;
  view.active = false;
  if (up) Reply(SendToPlacer{placer, Hello(now)});
  if (active_ == placer) active_.reset();
  SelectActivePlacer(now);
}

void EntryCore::OnPlacerMessage(const PlacerId& placer,
                                const wire::PlacerToEntry& message, Time now) {
  switch (message.kind_case()) {
    case wire::PlacerToEntry::kHello:
      OnHello(placer, message.hello(), now);
      break;
    case wire::PlacerToEntry::kSettled:
      OnSettled(placer, message.settled());
      break;
    case wire::PlacerToEntry::kJob:
      OnJobReply(message.job());
      break;
    case wire::PlacerToEntry::kRecords:
      records_->Apply(message.records(), now);
      break;
    case wire::PlacerToEntry::KIND_NOT_SET:
      break;
  }
}

void EntryCore::OnHello(const PlacerId& placer, const wire::PlacerHello& hello,
                        Time now) {
  PlacerView& view = placers_[placer];
  view.linked = true;
  view.active = hello.active();
  view.epoch = hello.epoch();
  const auto own_revision = static_cast<uint64_t>(records_->revision());
  if (hello.record_revision() > own_revision) {
    Reply(SendToPlacer{placer, Hello(now)});  // requests the missing changes
  } else if (hello.record_revision() < own_revision) {
    wire::EntryToPlacer update;
    *update.mutable_records() =
        records_->UpdateSince(Revision{hello.record_revision()}, now);
    Reply(SendToPlacer{placer, std::move(update)});
  } else if (records_->ready()) {
    wire::RecordUpdate confirmation;
    confirmation.set_revision(own_revision);
    confirmation.set_base(own_revision);
    confirmation.set_confirmed_ago_ms(hello.confirmed_ago_ms());
    records_->Apply(confirmation, now);
  }
  SelectActivePlacer(now);
}

std::optional<PlacerId> EntryCore::active_placer() const { return active_; }

void EntryCore::SelectActivePlacer(Time now) {
  std::optional<PlacerId> best;
  uint64_t epoch = 0;
  for (const auto& [placer, view] : placers_) {
    if (!view.linked || !view.active) continue;
    if (best && view.epoch <= epoch) continue;
    best = placer;
    epoch = view.epoch;
  }
  if (best == active_ && epoch == active_epoch_) return;
  active_ = best;
  active_epoch_ = epoch;
  if (active_) SendAllPending(now);
}

void EntryCore::SendAllPending(Time now) {
  for (auto& [id, pending] : requests_) Send(&pending, now);
  for (auto& [id, pending] : jobs_) Send(&pending, now);
}

std::string EntryCore::RequestIdFor(const wire::Settled& settled) const {
  if (settings_.matches_by_id || requests_.empty()) return settled.work_id();
  const auto oldest = std::min_element(
      requests_.begin(), requests_.end(), [](const auto& a, const auto& b) {
        return a.second.received < b.second.received;
      });
  return oldest->first;
}

void EntryCore::OnSettled(const PlacerId& placer,
                          const wire::Settled& settled) {
  const auto pending_request = requests_.find(settled.work_id());
  const bool is_from_former_placer = pending_request != requests_.end() &&
                                     pending_request->second.sent_to != placer;
  // A refusal by a former placer is not final: the placer that the request was
  // sent to since may have run it.
  if (is_from_former_placer && !settled.refusal().empty()) return;
  const auto request = requests_.extract(RequestIdFor(settled));
  // An outcome from a former placer is not confirmed to it: the worker must
  // retain the outcome until the placer that was sent the request since finds
  // it.
  if (!is_from_former_placer) unconfirmed_[placer].push_back(settled.work_id());
  if (!request) return;
  const Pending& pending = request.mapped();
  id_of_call_.erase(static_cast<uint64_t>(pending.call));
  if (settled.refusal().empty()) {
    metrics_->Count("quetzal_answers_total");
    Reply(AnswerReply{.call = pending.call,
                      .request = WorkId(settled.work_id()),
                      .worker = WorkerId(settled.worker()),
                      .attempt = AttemptId(settled.attempt_id()),
                      .answer = settled.answer(),
                      .waited = Milliseconds(settled.waited_ms())});
    return;
  }
  const Refusal reason =
      RefusalFromCode(settled.refusal()).value_or(Refusal::kBadRequest);
  std::optional<Milliseconds> retry_after = RetryAfter(reason);
  if (settled.retry_after_ms() > 0) {
    retry_after = Milliseconds(settled.retry_after_ms());
  }
  metrics_->Count("quetzal_refusals_total", {{"reason", settled.refusal()}});
  Reply(RefusalReply{.call = pending.call,
                     .reason = reason,
                     .fate = settled.fate(),
                     .detail = settled.detail(),
                     .retry_after = retry_after,
                     .request = WorkId(settled.work_id()),
                     .answer = settled.answer()});
}

void EntryCore::OnJobReply(const wire::JobReply& reply) {
  const auto call = jobs_.extract(reply.query_id());
  if (!call) return;
  const Pending& pending = call.mapped();
  if (!reply.refusal().empty()) {
    const Refusal reason =
        RefusalFromCode(reply.refusal()).value_or(Refusal::kBadRequest);
    Reply(RefusalReply{.call = pending.call,
                       .reason = reason,
                       .fate = reply.fate(),
                       .detail = reply.detail(),
                       .retry_after = RetryAfter(reason),
                       .request = pending.message.has_submit_job()
                                      ? WorkId(reply.query_id())
                                      : WorkId()});
    return;
  }
  JobStateReply state{.call = pending.call, .state = reply};
  state.accepted = pending.message.has_submit_job();
  if (state.accepted) {
    state.job = JobId(reply.query_id());
  } else if (pending.message.has_query_job()) {
    state.job = JobId(pending.message.query_job().job_id());
  } else {
    state.job = JobId(pending.message.cancel_job().job_id());
  }
  Reply(std::move(state));
}

void EntryCore::OnPlatformHealth(PlatformHealth health) { health_ = health; }

void EntryCore::OnTick(Time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::string id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const bool is_job = jobs_.contains(id);
    auto expired = is_job ? jobs_.extract(id) : requests_.extract(id);
    if (!expired) continue;
    const Pending& pending = expired.mapped();
    id_of_call_.erase(static_cast<uint64_t>(pending.call));
    const bool is_query = pending.message.has_query_job();
    const Refusal reason =
        pending.sent && !is_job ? Refusal::kDeadlinePassed : Refusal::kNoPlacer;
    metrics_->Count("quetzal_refusals_total",
                    {{"reason", std::string(Code(reason))}});
    Reply(RefusalReply{
        .call = pending.call,
        .reason = reason,
        .fate = pending.sent && !is_query && settings_.reports_unknown_fate
                    ? wire::RUN_FATE_UNKNOWN
                    : wire::RUN_FATE_NOT_RUN,
        .detail = "no placer told the outcome in time",
        .retry_after = RetryAfter(reason),
        .request = WorkId(id)});
  }
  ConfirmOutcomes(now);
  if (now - last_hello_ < kHelloInterval) return;
  last_hello_ = now;
  for (const auto& [placer, view] : placers_) {
    if (view.linked) Reply(SendToPlacer{placer, Hello(now)});
  }
}

void EntryCore::ConfirmOutcomes(Time now) {
  if (!draining_ && now - last_confirm_ < settings_.confirm_interval) return;
  last_confirm_ = now;
  for (const auto& [placer, outcomes] : std::exchange(unconfirmed_, {})) {
    wire::EntryToPlacer message;
    message.mutable_settle_received()->mutable_work_ids()->Assign(
        outcomes.begin(), outcomes.end());
    Reply(SendToPlacer{placer, std::move(message)});
  }
}

void EntryCore::BeginDrain() { draining_ = true; }

std::vector<EntryEffect> EntryCore::TakeEffects() {
  return std::exchange(effects_, {});
}

}  // namespace quetzal
