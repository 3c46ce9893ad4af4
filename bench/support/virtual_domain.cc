#include "bench/support/virtual_domain.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "quetzal/kv/kv.h"

namespace quetzal::bench {
namespace {

constexpr Milliseconds kTickInterval{50};
EntryId TheEntry() { return EntryId("entry"); }

std::string MakeLabel(const VirtualWork& work) {
  if (work.urgent) return "urgent";
  switch (work.work_class) {
    case wire::WORK_CLASS_BATCH:
      return "batch";
    case wire::WORK_CLASS_GANG:
      return "gang";
    case wire::WORK_CLASS_SERVICE:
      return "service";
    default:
      return "request";
  }
}

std::string RequestOrJobId(const wire::Work& work) {
  return work.work_id().substr(0, work.work_id().find('/'));
}

void AddRecord(const std::string& path, const std::string& value,
               wire::RecordUpdate* update) {
  wire::RecordChange* const change = update->add_changes();
  change->set_path(path);
  change->set_value(value);
  change->set_revision(1);
}

}  // namespace

VirtualDomain::VirtualDomain(VirtualDomainSettings settings,
                             PlacerSettings placer,
                             const std::map<std::string, int>& team_shares)
    : settings_(std::move(settings)) {
  wire::RecordUpdate update;
  update.set_revision(1);
  for (const auto& [team, share] : team_shares) {
    const nlohmann::json team_record = {{"schema", "v2"},
                                        {"kind", "team"},
                                        {"name", team},
                                        {"share", share},
                                        {"limit",
                                         {{"cpu_milli", 900'000'000},
                                          {"memory_mib", 900'000'000},
                                          {"accelerators", 1'000'000},
                                          {"slots", 1'000'000}}}};
    AddRecord("team/" + team, team_record.dump(), &update);
    const nlohmann::json queue_record = {{"schema", "v2"},
                                         {"kind", "queue"},
                                         {"name", team},
                                         {"team", team},
                                         {"depth", 1'000'000}};
    AddRecord("queue/" + team, queue_record.dump(), &update);
  }
  records_.Apply(update, now());
  placer.self = PlacerId("placer");
  placer.domain = FailureDomainId("a");
  placer.domains = {placer.domain};
  core_ = std::make_unique<PlacerCore>(placer, &records_, &metrics_);
  std::vector<ListedWorker> listed;
  for (int i = 0; i < settings_.workers; ++i) {
    const std::string rack = std::to_string(i / settings_.workers_per_rack);
    listed.push_back({.id = WorkerId("w" + std::to_string(i)),
                      .rack = RackId("r" + rack),
                      .capacity = settings_.capacity});
  }
  core_->OnWorkers(listed, now());
  for (const ListedWorker& worker : listed) {
    core_->OnWorkerLink(worker.id, true, now());
  }
  core_->OnEntryLink(TheEntry(), true, now());
  Tick();
  constexpr Milliseconds kWarmUp{5'000};
  RunUntil(now() + kWarmUp);
}

Resources VirtualDomain::TotalCapacity() const {
  return settings_.capacity * settings_.workers;
}

void VirtualDomain::Tick() {
  kv_.OnTick(now());
  core_->OnTick(now());
  DeliverEffects();
  events_.At(now() + kTickInterval, [this] { Tick(); });
}

void VirtualDomain::Submit(const VirtualWork& work) {
  const std::string id = "x" + std::to_string(next_work_++);
  work_states_[id] = {
      .work = work, .submitted = now(), .unfinished = work.tasks};
  demand_[work.team] += work.size * work.tasks;
  wire::Work message;
  message.set_work_id(id);
  message.set_team(work.team);
  message.set_queue(work.team);
  message.set_work_class(work.work_class);
  message.set_idempotent(true);
  message.set_urgent(work.urgent);
  *message.mutable_size() = ToWire(work.size);
  wire::EntryToPlacer out;
  if (work.work_class == wire::WORK_CLASS_REQUEST) {
    *out.mutable_submit()->mutable_work() = message;
    out.mutable_submit()->set_deadline_ms(
        static_cast<uint32_t>(work.deadline.count()));
  } else {
    wire::JobSpec* const job = out.mutable_submit_job()->mutable_job();
    job->set_job_id(id);
    job->set_tasks(work.tasks);
    *job->mutable_work() = message;
    out.mutable_submit_job()->set_deadline_ms(60'000);
  }
  core_->OnEntryMessage(TheEntry(), out, now());
  DeliverEffects();
}

void VirtualDomain::DeliverEffects() {
  while (true) {
    const std::vector<PlacerEffect> effects = core_->TakeEffects();
    if (effects.empty()) return;
    for (const PlacerEffect& effect : effects) {
      if (const auto* const out = std::get_if<SendToWorker>(&effect)) {
        ++messages_;
        bytes_ += out->message.ByteSizeLong();
        OnWorkerMessage(out->worker, out->message);
      } else if (const auto* const reply = std::get_if<SendToEntry>(&effect)) {
        if (reply->message.has_settled()) {
          const wire::Settled& settled = reply->message.settled();
          if (!settled.refusal().empty()) ++refused_[settled.refusal()];
          RecordEnded(settled.work_id(), 1);
          wire::EntryToPlacer received;
          received.mutable_settle_received()->add_work_ids(settled.work_id());
          core_->OnEntryMessage(TheEntry(), received, now());
        } else if (reply->message.has_job() &&
                   !reply->message.job().refusal().empty()) {
          ++refused_[reply->message.job().refusal()];
          const std::string& job = reply->message.job().query_id();
          RecordEnded(job, work_states_[job].unfinished);
        }
      } else {
        core_->OnKvAnswer(kv_.Apply(std::get<KvCall>(effect), now()), now());
      }
    }
  }
}

bool VirtualDomain::Fails(const WorkerId& worker) const {
  return settings_.failing.contains(std::atoi(worker.text().c_str() + 1));
}

void VirtualDomain::OnGrant(const WorkerId& worker, const wire::Grant& grant) {
  wire::WorkerToPlacer message;
  wire::Granted* const granted = message.mutable_granted();
  granted->set_epoch(grant.epoch());
  granted->set_holder(grant.holder());
  granted->set_serial(grant.serial());
  granted->set_stamp_ms(
      static_cast<uint64_t>(now().time_since_epoch().count()));
  granted->set_incarnation(1);
  granted->set_uptime_ms(1'000'000);
  if (grant.want_inventory()) {
    *granted->mutable_inventory()->mutable_capacity() =
        ToWire(settings_.capacity);
    const int index = std::atoi(worker.text().c_str() + 1);
    granted->mutable_inventory()->set_rack(
        "r" + std::to_string(index / settings_.workers_per_rack));
  }
  uint32_t attempts = 0;
  for (const auto& [id, running] : running_) {
    if (running.worker == worker) ++attempts;
  }
  granted->set_attempts(attempts);
  core_->OnWorkerMessage(worker, message, now());
}

void VirtualDomain::OnWorkerMessage(const WorkerId& worker,
                                    const wire::PlacerToWorker& message) {
  switch (message.kind_case()) {
    case wire::PlacerToWorker::kGrant:
      OnGrant(worker, message.grant());
      break;
    case wire::PlacerToWorker::kStart: {
      const wire::Start& start = message.start();
      running_[start.attempt_id()] = {.worker = worker,
                                      .work = start.work(),
                                      .held = start.hold_ms() > 0,
                                      .number = next_run_++};
      StartAttempt(start.attempt_id());
      break;
    }
    case wire::PlacerToWorker::kGo: {
      const auto found = running_.find(message.go().attempt_id());
      if (found == running_.end()) break;
      found->second.held = false;
      StartAttempt(message.go().attempt_id());
      break;
    }
    case wire::PlacerToWorker::kStop:
      if (running_.contains(message.stop().attempt_id())) {
        EndAttempt(message.stop().attempt_id(), message.stop().checkpoint()
                                                    ? wire::OUTCOME_CHECKPOINTED
                                                    : wire::OUTCOME_STOPPED);
      }
      break;
    default:
      break;
  }
}

std::map<std::string, Resources> VirtualDomain::Demand() const {
  return demand_;
}

void VirtualDomain::RecordEnded(const std::string& id, uint32_t tasks) {
  WorkState& state = work_states_[id];
  const uint32_t ended = std::min(state.unfinished, tasks);
  state.unfinished -= ended;
  demand_[state.work.team] -= state.work.size * ended;
}

void VirtualDomain::RecordStart(const wire::Work& work) {
  WorkState& state = work_states_[RequestOrJobId(work)];
  if (std::exchange(state.started, true)) return;
  started_.push_back({.label = MakeLabel(state.work),
                      .team = state.work.team,
                      .waited = now() - state.submitted});
}

void VirtualDomain::StartAttempt(const std::string& attempt) {
  Running& running = running_[attempt];
  running.started = now();
  wire::WorkerToPlacer message;
  message.mutable_started()->set_attempt_id(attempt);
  message.mutable_started()->set_held(running.held);
  const WorkerId worker = running.worker;
  if (!running.held) {
    RecordStart(running.work);
    const bool fails = Fails(worker);
    const Milliseconds run =
        fails ? Milliseconds(1)
              : work_states_[RequestOrJobId(running.work)].work.run;
    const wire::Outcome outcome =
        fails ? wire::OUTCOME_FAILED : wire::OUTCOME_ANSWERED;
    events_.At(now() + run, [this, attempt, number = running.number, outcome] {
      const auto found = running_.find(attempt);
      if (found == running_.end() || found->second.number != number) return;
      EndAttempt(attempt, outcome);
      DeliverEffects();
    });
  }
  core_->OnWorkerMessage(worker, message, now());
}

void VirtualDomain::EndAttempt(const std::string& attempt,
                               wire::Outcome outcome) {
  const auto ended = running_.extract(attempt);
  const Running& running = ended.mapped();
  const auto ran = static_cast<uint64_t>((now() - running.started).count()) *
                   running.work.size().cpu_milli() / 1'000;
  (outcome == wire::OUTCOME_ANSWERED ? useful_ms_ : wasted_ms_) += ran;
  const bool task = running.work.work_class() != wire::WORK_CLASS_REQUEST;
  if (task && outcome == wire::OUTCOME_ANSWERED) {
    RecordEnded(RequestOrJobId(running.work), 1);
  }
  wire::WorkerToPlacer message;
  message.mutable_ended()->set_attempt_id(attempt);
  message.mutable_ended()->set_outcome(outcome);
  core_->OnWorkerMessage(running.worker, message, now());
}

}  // namespace quetzal::bench
