#include <algorithm>
#include <utility>

#include "tests/support/world_process.h"

namespace quetzal::testing {

// ---- operators and callers ----

void World::LogRecord(const std::string& path,
                      std::optional<std::string> value) {
  record_log_.push_back({.at = now(),
                         .path = path,
                         .value = std::move(value),
                         .revision = kv_.revision()});
}

void World::Apply(const std::string& path, const std::string& value) {
  if (rule_) {
    rule_({.from = "operator", .to = "platform", .kind = "apply"});
  }
  if (platform_down_) {
    At(now() + kPlatformTimeout, [this, path, value] { Apply(path, value); });
    return;
  }
  kv_.Apply({.kind = KvCall::Kind::kPut,
             .key = std::string(kRecordPrefix) + path,
             .value = value},
            now());
  LogRecord(path, value);
  ServeWatchers();
}

void World::Withdraw(const std::string& path) {
  if (rule_) {
    rule_({.from = "operator", .to = "platform", .kind = "withdraw"});
  }
  if (platform_down_) {
    At(now() + kPlatformTimeout, [this, path] { Withdraw(path); });
    return;
  }
  kv_.Apply(
      {.kind = KvCall::Kind::kDelete, .key = std::string(kRecordPrefix) + path},
      now());
  LogRecord(path, std::nullopt);
  ServeWatchers();
}

CallLog* World::Submit(const std::string& entry, const CallSpec& spec) {
  auto log = std::make_unique<CallLog>();
  log->number = next_call_++;
  log->spec = spec;
  log->entry = entry;
  log->sent = now();
  log->payload = "run_ms=" + std::to_string(spec.run_ms) +
                 " fail=" + (spec.fails ? "1" : "0") + " n=" +
                 (spec.request_key.empty() ? std::to_string(log->number)
                                           : spec.request_key);
  CallLog* const raw = log.get();
  calls_.push_back(std::move(log));
  const Process* const process = Find(entry);
  if (!process->alive) {
    raw->connection_lost = true;
    return raw;
  }
  const MessageFate fate =
      rule_ ? rule_({.from = "caller", .to = entry, .kind = "accept"})
            : MessageFate::kDeliver;
  if (fate == MessageFate::kLose || !process->alive) {
    raw->connection_lost = true;
    return raw;
  }
  Deliver(entry, process->incarnation, Milliseconds(1),
          [this, raw](Process* target) {
            CallerRequest request;
            request.call = CallId{raw->number};
            if (!raw->spec.key.empty()) request.key = raw->spec.key;
            request.work.set_queue(raw->spec.queue);
            request.work.set_idempotent(raw->spec.idempotent);
            request.work.set_urgent(raw->spec.urgent);
            request.work.set_request_key(raw->spec.request_key);
            request.work.set_payload(raw->payload);
            *request.work.mutable_size() = ToWire(raw->spec.size);
            request.deadline = raw->spec.deadline;
            target->entry->OnRequest(request, now());
          });
  return raw;
}

JobLog* World::SubmitJob(const std::string& entry, const CallSpec& spec,
                         wire::WorkClass kind, uint32_t tasks) {
  auto log = std::make_unique<JobLog>();
  log->number = next_call_++;
  log->entry = entry;
  log->kind = kind;
  log->tasks = tasks;
  log->payload = "run_ms=" + std::to_string(spec.run_ms) + " n=job" +
                 std::to_string(log->number);
  JobLog* const raw = log.get();
  job_by_call_[raw->number] = raw;
  jobs_.push_back(std::move(log));
  Deliver(entry, Find(entry)->incarnation, Milliseconds(1),
          [this, raw, spec](Process* target) {
            CallerJob job;
            job.call = CallId{raw->number};
            if (!spec.key.empty()) job.key = spec.key;
            job.spec.set_tasks(raw->tasks);
            wire::Work* const work = job.spec.mutable_work();
            work->set_queue(spec.queue);
            work->set_idempotent(spec.idempotent);
            work->set_urgent(spec.urgent);
            work->set_work_class(raw->kind);
            work->set_payload(raw->payload);
            *work->mutable_size() = ToWire(spec.size);
            target->entry->OnJob(job, now());
          });
  return raw;
}

void World::CancelJob(JobLog* job) {
  const uint64_t call = next_call_++;
  job_by_call_[call] = job;
  job->cancelled = true;
  const Process* const entry = Find(job->entry);
  Deliver(job->entry, entry->incarnation, Milliseconds(1),
          [this, call, id = job->id](Process* target) {
            target->entry->OnJobQuery({.call = CallId{call},
                                       .key = "key-red",
                                       .job = JobId(id),
                                       .cancel = true},
                                      now());
          });
}

void World::RefreshJobStates() {
  for (const auto& job : jobs_) {
    if (job->id.empty()) continue;
    const uint64_t call = next_call_++;
    job_by_call_[call] = job.get();
    const std::string domain = DomainOf(job->entry);
    for (const std::string& entry : Entries()) {
      const Process* const process = Find(entry);
      if (!process->alive || DomainOf(entry) != domain) continue;
      Deliver(entry, process->incarnation, Milliseconds(1),
              [this, call, id = job->id](Process* target) {
                target->entry->OnJobQuery(
                    {.call = CallId{call}, .key = "key-red", .job = JobId(id)},
                    now());
              });
      break;
    }
  }
}

void World::OnReply(Process* /*entry*/, const EntryEffect& effect) {
  uint64_t number = 0;
  if (const auto* const answer = std::get_if<AnswerReply>(&effect)) {
    number = static_cast<uint64_t>(answer->call);
  } else if (const auto* const refusal = std::get_if<RefusalReply>(&effect)) {
    number = static_cast<uint64_t>(refusal->call);
  } else if (const auto* const job = std::get_if<JobStateReply>(&effect)) {
    number = static_cast<uint64_t>(job->call);
  }
  const auto job = job_by_call_.find(number);
  if (job != job_by_call_.end()) {
    JobLog* const log = job->second;
    if (const auto* const state = std::get_if<JobStateReply>(&effect)) {
      if (state->accepted) log->id = state->job.text();
      log->last_state = state->state.state();
      if (log->kind == wire::WORK_CLASS_SERVICE &&
          log->last_state == "running" &&
          state->state.running() == log->tasks) {
        log->last_state = "serving";
      }
    } else if (const auto* const no = std::get_if<RefusalReply>(&effect)) {
      if (log->number == number) log->refusal = std::string(Code(no->reason));
    }
    return;
  }
  for (const auto& call : calls_) {
    if (call->number != number) continue;
    call->replies.push_back(effect);
    call->replied = now();
  }
}

void World::RecordUnansweredCalls(const std::string& entry) {
  for (const auto& call : calls_) {
    const bool accepted = now() - call->sent > settings_.latency * 2;
    const bool unanswered = call->replies.empty() && !call->connection_lost;
    if (call->entry == entry && accepted && unanswered) {
      unanswered_at_shutdown_.push_back(call->number);
    }
  }
}

}  // namespace quetzal::testing
