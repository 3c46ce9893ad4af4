#include "standins/worker/worker_model.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzal::standin {
namespace {

constexpr int64_t kDefaultRunMs = 5;

// The number after "name=" in a payload.
int64_t Parameter(const std::string& payload, const std::string& name,
                  int64_t default_value) {
  const size_t at = payload.find(name + "=");
  if (at == std::string::npos) return default_value;
  int64_t value = default_value;
  const char* const first = payload.data() + at + name.size() + 1;
  std::from_chars(first, payload.data() + payload.size(), value);
  return value;
}

uint64_t ToStampMs(Time now) {
  return static_cast<uint64_t>(now.time_since_epoch().count());
}

std::string MakeAnswer(const wire::Work& work) {
  std::string answer = work.payload();
  const auto bytes = static_cast<size_t>(
      std::max<int64_t>(0, Parameter(answer, "answer_bytes", 0)));
  if (answer.size() < bytes) answer.resize(bytes, '.');
  return answer;
}

}  // namespace

WorkerModel::WorkerModel(WorkerModelSettings settings, Time booted)
    : settings_(std::move(settings)),
      booted_(booted),
      contract_expires_at_(booted),
      lease_expires_at_(booted) {}

void WorkerModel::OnMessage(uint64_t peer, const wire::PlacerToWorker& message,
                            Time now) {
  OnTick(now);
  switch (message.kind_case()) {
    case wire::PlacerToWorker::kGrant:
      OnGrant(peer, message.grant(), now);
      break;
    case wire::PlacerToWorker::kStart:
      OnStart(peer, message.epoch(), message.start(), now);
      break;
    case wire::PlacerToWorker::kGo:
      OnGo(message.epoch(), message.go().attempt_id(), now);
      break;
    case wire::PlacerToWorker::kStop:
      OnStop(peer, message.epoch(), message.stop(), now);
      break;
    case wire::PlacerToWorker::kAcknowledge:
      if (message.epoch() != epoch_) break;
      RemoveEnded(message.acknowledge().attempt_ids());
      break;
    case wire::PlacerToWorker::kRelease:
      if (message.epoch() == epoch_) contract_expires_at_ = now;
      break;
    case wire::PlacerToWorker::KIND_NOT_SET:
      break;
  }
}

void WorkerModel::RemoveEnded(
    const google::protobuf::RepeatedPtrField<std::string>& attempts) {
  for (const std::string& attempt : attempts) ended_.erase(attempt);
}

void WorkerModel::OnGrant(uint64_t peer, const wire::Grant& grant, Time now) {
  const bool same = grant.epoch() == epoch_ && grant.holder() == holder_;
  const bool expired = now >= contract_expires_at_;
  const bool replaces = grant.epoch() > epoch_ && (grant.fenced() || expired);
  if (!same && !replaces && settings_.checks_contract) {
    wire::WorkerToPlacer message;
    wire::GrantRefused* const refused = message.mutable_grant_refused();
    refused->set_current_epoch(epoch_);
    refused->set_current_holder(holder_);
    const auto left = std::max(contract_expires_at_ - now, Milliseconds(0));
    refused->set_remaining_ms(static_cast<uint32_t>(left.count()));
    Send(peer, std::move(message));
    return;
  }
  const bool new_holder = !same;
  epoch_ = std::max(epoch_, grant.epoch());
  holder_ = grant.holder();
  holder_peer_ = peer;
  holder_connected_ = true;
  contract_expires_at_ = now + Milliseconds(grant.ttl_ms());
  const Time stamped{Milliseconds(grant.echoed_stamp_ms())};
  if (grant.echoed_stamp_ms() > 0 && stamped <= now) {
    lease_expires_at_ = std::max(lease_expires_at_,
                                 stamped + Milliseconds(grant.task_lease_ms()));
  }
  RemoveEnded(grant.acknowledged_attempt_ids());
  wire::WorkerToPlacer message;
  wire::Granted* const granted = message.mutable_granted();
  granted->set_epoch(grant.epoch());
  granted->set_holder(holder_);
  granted->set_leaving(leaving_);
  granted->set_serial(grant.serial());
  granted->set_stamp_ms(ToStampMs(now));
  granted->set_attempts(static_cast<uint32_t>(tasks_.size()));
  granted->set_incarnation(settings_.incarnation);
  granted->set_uptime_ms(static_cast<uint64_t>((now - booted_).count()));
  if (grant.want_inventory() || new_holder) {
    *granted->mutable_inventory() = MakeInventory();
  }
  Send(peer, std::move(message));
}

wire::Inventory WorkerModel::MakeInventory() const {
  wire::Inventory inventory;
  *inventory.mutable_capacity() = ToWire(settings_.capacity);
  inventory.set_rack(settings_.rack.text());
  inventory.set_leaving(leaving_);
  for (const auto& [id, task] : tasks_) {
    wire::Attempt* const attempt = inventory.add_running();
    attempt->set_attempt_id(id);
    *attempt->mutable_work() = task.work;
    attempt->mutable_work()->clear_payload();
    attempt->set_held(task.held);
  }
  for (const auto& [id, ended] : ended_) *inventory.add_ended() = ended;
  return inventory;
}

std::string WorkerModel::RefusalReason(uint64_t epoch,
                                       const std::string& attempt,
                                       Time now) const {
  if (settings_.checks_contract && epoch != epoch_) return "epoch";
  if (settings_.checks_contract && now >= contract_expires_at_) {
    return "contract_lapsed";
  }
  if (settings_.checks_contract && now >= lease_expires_at_) {
    return "lease_lapsed";
  }
  if (unstartable_attempts_.contains(attempt)) return "stopped_before";
  if (leaving_ && settings_.refuses_when_leaving) return "leaving";
  return "";
}

void WorkerModel::OnStart(uint64_t peer, uint64_t epoch,
                          const wire::Start& start, Time now) {
  const std::string& id = start.attempt_id();
  wire::WorkerToPlacer message;
  const auto found = tasks_.find(id);
  if (found != tasks_.end()) {
    message.mutable_started()->set_attempt_id(id);
    message.mutable_started()->set_held(found->second.held);
    Send(peer, std::move(message));
    return;
  }
  const auto ended = ended_.find(id);
  if (ended != ended_.end()) {
    *message.mutable_ended() = ended->second;
    Send(peer, std::move(message));
    return;
  }
  const std::string reason = RefusalReason(epoch, id, now);
  if (!reason.empty()) {
    message.mutable_start_refused()->set_attempt_id(id);
    message.mutable_start_refused()->set_reason(reason);
    unstartable_attempts_.insert(id);
    Log(WorkerEvent::Kind::kRefused, id, start.work(), now);
    events_.back().reason = reason;
    Send(peer, std::move(message));
    return;
  }
  unstartable_attempts_.insert(id);  // a duplicate of this start must not run
  Task& task = tasks_[id];
  task.work = start.work();
  in_use_ += FromWire(task.work.size());
  if (start.hold_ms() > 0) {
    task.held = true;
    task.hold_expires_at = now + Milliseconds(start.hold_ms());
  } else {
    Run(&task, id, now);
  }
  message.mutable_started()->set_attempt_id(id);
  message.mutable_started()->set_held(task.held);
  Send(peer, std::move(message));
}

void WorkerModel::Run(Task* task, const std::string& attempt, Time now) {
  task->held = false;
  const int64_t run_ms =
      Parameter(task->work.payload(), "run_ms", kDefaultRunMs);
  task->ends_at = run_ms < 0 ? Time::max() : now + Milliseconds(run_ms);
  task->fails =
      fail_everything_ || Parameter(task->work.payload(), "fail", 0) != 0;
  Log(WorkerEvent::Kind::kStarted, attempt, task->work, now);
}

void WorkerModel::OnGo(uint64_t epoch, const std::string& attempt, Time now) {
  const auto found = tasks_.find(attempt);
  if (epoch != epoch_ || found == tasks_.end()) return;
  if (found->second.held && now >= lease_expires_at_) {
    End(attempt, wire::OUTCOME_NOT_STARTED, now);
    return;
  }
  if (found->second.held) Run(&found->second, attempt, now);
  wire::WorkerToPlacer message;
  message.mutable_started()->set_attempt_id(attempt);
  SendToHolder(std::move(message));
}

void WorkerModel::OnStop(uint64_t peer, uint64_t epoch, const wire::Stop& stop,
                         Time now) {
  if (settings_.checks_contract && epoch != epoch_) return;
  const std::string& id = stop.attempt_id();
  const auto found = tasks_.find(id);
  if (found != tasks_.end()) {
    wire::Outcome outcome =
        stop.checkpoint() ? wire::OUTCOME_CHECKPOINTED : wire::OUTCOME_STOPPED;
    if (found->second.held) outcome = wire::OUTCOME_NOT_STARTED;
    End(id, outcome, now);
    return;
  }
  wire::WorkerToPlacer message;
  const auto ended = ended_.find(id);
  if (ended != ended_.end()) {
    *message.mutable_ended() = ended->second;
  } else {
    unstartable_attempts_.insert(id);
    message.mutable_ended()->set_attempt_id(id);
    message.mutable_ended()->set_outcome(wire::OUTCOME_NOT_STARTED);
  }
  Send(peer, std::move(message));
}

void WorkerModel::End(const std::string& attempt, wire::Outcome outcome,
                      Time at) {
  const auto task = tasks_.extract(attempt);
  const wire::Work& work = task.mapped().work;
  in_use_ -= FromWire(work.size());
  wire::EndedAttempt ended;
  ended.set_attempt_id(attempt);
  *ended.mutable_work() = work;
  ended.mutable_work()->clear_payload();
  ended.set_outcome(outcome);
  const bool answers =
      outcome == wire::OUTCOME_ANSWERED || outcome == wire::OUTCOME_FAILED;
  if (answers) ended.set_answer(MakeAnswer(work));
  if (!task.mapped().held) {
    Log(WorkerEvent::Kind::kEnded, attempt, work, at);
    events_.back().outcome = outcome;
  }
  wire::WorkerToPlacer message;
  *message.mutable_ended() = ended;
  message.mutable_ended()->clear_work();
  message.mutable_ended()->mutable_work()->set_work_id(work.work_id());
  ended_[attempt] = std::move(ended);
  SendToHolder(std::move(message));
}

void WorkerModel::OnTick(Time now) {
  struct Ending {
    std::string attempt;
    wire::Outcome outcome;
    Time at;
  };
  std::vector<Ending> endings;
  for (const auto& [id, task] : tasks_) {
    if (task.held) {
      if (now >= task.hold_expires_at) {
        endings.push_back(
            {id, wire::OUTCOME_NOT_STARTED, task.hold_expires_at});
      }
    } else if (now >= task.ends_at && task.ends_at <= lease_expires_at_) {
      endings.push_back(
          {id, task.fails ? wire::OUTCOME_FAILED : wire::OUTCOME_ANSWERED,
           task.ends_at});
    } else if (now >= lease_expires_at_) {
      // Also after a pause, nothing counts as run past the lease's expiry.
      endings.push_back({id, wire::OUTCOME_STOPPED, lease_expires_at_});
    }
  }
  for (const Ending& each : endings) End(each.attempt, each.outcome, each.at);
  if (now - reported_at_ < settings_.usage_every) return;
  reported_at_ = now;
  if (in_use_ == reported_) return;
  reported_ = in_use_;
  wire::WorkerToPlacer message;
  *message.mutable_usage()->mutable_in_use() = ToWire(in_use_);
  SendToHolder(std::move(message));
}

void WorkerModel::OnPeerClosed(uint64_t peer) {
  if (peer == holder_peer_) holder_connected_ = false;
}

void WorkerModel::Leave() {
  if (leaving_) return;
  leaving_ = true;
  wire::WorkerToPlacer message;
  message.mutable_leaving();
  SendToHolder(std::move(message));
}

size_t WorkerModel::running() const {
  return static_cast<size_t>(
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& task) { return !task.second.held; }));
}

void WorkerModel::Log(WorkerEvent::Kind kind, const std::string& attempt,
                      const wire::Work& work, Time now) {
  events_.push_back({.kind = kind,
                     .at = now,
                     .worker = settings_.id,
                     .attempt = attempt,
                     .work = work.work_id(),
                     .team = work.team(),
                     .payload = work.payload(),
                     .request_key = work.request_key(),
                     .work_class = work.work_class(),
                     .idempotent = work.idempotent(),
                     .size = FromWire(work.size()),
                     .in_use = in_use_});
}

void WorkerModel::Send(uint64_t peer, wire::WorkerToPlacer message) {
  outputs_.push_back({peer, std::move(message)});
}

void WorkerModel::SendToHolder(wire::WorkerToPlacer message) {
  if (holder_connected_) Send(holder_peer_, std::move(message));
}

std::vector<WorkerOutput> WorkerModel::TakeOutputs() {
  return std::exchange(outputs_, {});
}

std::vector<WorkerEvent> WorkerModel::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace quetzal::standin
