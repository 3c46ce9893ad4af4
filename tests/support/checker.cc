#include "tests/support/checker.h"

#include <algorithm>
#include <map>
#include <set>

#include "quetzal/record/record.h"

namespace quetzal::testing {
namespace {

using standin::WorkerEvent;

// The token after "n=" in a payload names the caller's request.
std::string TokenOf(const std::string& payload) {
  const size_t at = payload.find("n=");
  return at == std::string::npos ? "" : payload.substr(at + 2);
}

// Events ordered by time; events at the same time keep their recorded order.
std::vector<WorkerEvent> EventsByTime(const World& world) {
  std::vector<WorkerEvent> events = world.events();
  std::stable_sort(
      events.begin(), events.end(),
      [](const WorkerEvent& a, const WorkerEvent& b) { return a.at < b.at; });
  return events;
}

// The limits, keys and queues that operators' records defined over time.
class History {
 public:
  explicit History(const World& world) {
    for (const RecordLog& log : world.records()) {
      const std::string kind = log.path.substr(0, log.path.find('/'));
      if (!log.value) {
        if (const auto digest = digest_by_path_.find(log.path);
            digest != digest_by_path_.end()) {
          keys_[digest->second].revoked = log.at;
        }
        continue;
      }
      const Checked<Record> record = ParseRecord(*log.value);
      if (!record) continue;
      if (const auto* team = std::get_if<TeamRecord>(&record.value())) {
        limits_[team->name.text()].emplace_back(log.at, team->limit);
      } else if (const auto* key = std::get_if<KeyRecord>(&record.value())) {
        keys_[key->digest] = {key->team.text(), log.at, std::nullopt};
        digest_by_path_[log.path] = key->digest;
      } else if (const auto* queue =
                     std::get_if<QueueRecord>(&record.value())) {
        queues_[queue->name.text()] = *queue;
      }
    }
  }

  // The largest limit that may still be in force somewhere.
  Resources LimitAt(const std::string& team, Time at) const {
    Resources largest;
    const auto found = limits_.find(team);
    if (found == limits_.end()) return largest;
    const auto& changes = found->second;
    for (size_t i = 0; i < changes.size(); ++i) {
      if (changes[i].first > at) break;
      const bool no_longer_in_force =
          i + 1 < changes.size() &&
          changes[i + 1].first + kPropagationBound < at;
      if (!no_longer_in_force) largest = Max(largest, changes[i].second);
    }
    return largest;
  }

  // True if work of this call is authorized to start at `at`.
  bool IsAuthorized(const CallSpec& spec, Time at) const {
    const auto queue = queues_.find(spec.queue);
    if (queue == queues_.end()) return false;
    if (queue->second.open) return true;
    const auto key = keys_.find(KeyDigest(spec.key));
    if (spec.key.empty() || key == keys_.end()) return false;
    if (key->second.team != queue->second.team.text()) return false;
    return !key->second.revoked ||
           at <= *key->second.revoked + kPropagationBound;
  }

 private:
  struct Key {
    std::string team;
    Time granted;
    std::optional<Time> revoked;
  };
  std::map<std::string, std::vector<std::pair<Time, Resources>>> limits_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::string> digest_by_path_;
  std::map<std::string, QueueRecord> queues_;
};

std::string At(const WorkerEvent& event) {
  // A World starts at 1'000'000 ms; times are printed from there.
  return event.work + " attempt " + event.attempt + " on " +
         event.worker.text() + " at " +
         std::to_string(event.at.time_since_epoch().count() - 1'000'000) +
         " ms";
}

class Checker {
 public:
  explicit Checker(const World& world)
      : world_(world), events_(EventsByTime(world)), history_(world) {
    for (const auto& call : world.calls()) {
      calls_[TokenOf(call->payload)].push_back(call.get());
    }
  }

  std::vector<Violation> Run() {
    ReplayEvents();
    CheckReplies();
    CheckGangs();
    for (const uint64_t call : world_.unanswered_at_shutdown()) {
      Add(Guarantee::kGracefulShutdown, "call " + std::to_string(call));
    }
    for (const std::string& process : world_.reverts()) {
      Add(Guarantee::kConfiguration, process + " reverted its records");
    }
    for (const std::string& entry : world_.late_records()) {
      Add(Guarantee::kConfiguration, entry);
    }
    for (const std::string& entry : world_.Entries()) {
      if (world_.IsAlive(entry) &&
          world_.RecordRevisionAt(entry) < world_.newest_record_revision()) {
        Add(Guarantee::kConfiguration, entry + " is behind");
      }
    }
    return std::move(violations_);
  }

 private:
  void Add(Guarantee guarantee, const std::string& what) {
    violations_.push_back({guarantee, what});
  }

  void ReplayEvents() {
    for (const WorkerEvent& event : events_) {
      if (event.kind == WorkerEvent::Kind::kStarted) {
        OnStarted(event);
      } else if (event.kind == WorkerEvent::Kind::kEnded) {
        ended_[event.attempt] = event.at;
        if (running_.erase({event.work, event.attempt}) > 0) {
          used_[event.team] -= event.size;
        }
      }
    }
  }

  void OnStarted(const WorkerEvent& event) {
    if (!event.in_use.FitsIn(world_.settings().worker_capacity)) {
      Add(Guarantee::kCapacity, At(event));
    }
    const auto other = running_.lower_bound({event.work, ""});
    if (other != running_.end() && other->first == event.work) {
      Add(Guarantee::kSinglePlacement, At(event) + " beside " + other->second);
    }
    running_.insert({event.work, event.attempt});
    used_[event.team] += event.size;
    if (!used_[event.team].FitsIn(history_.LimitAt(event.team, event.at))) {
      Add(Guarantee::kLimit,
          At(event) + " uses " + used_[event.team].Describe());
    }
    for (const Departure& departure : world_.departures()) {
      const bool late = departure.worker == event.worker.text() &&
                        event.at > departure.from + kLeavingBound &&
                        event.at < departure.until;
      if (late) Add(Guarantee::kLeaving, At(event));
    }
    const std::string token = event.work_class == wire::WORK_CLASS_REQUEST
                                  ? TokenOf(event.payload)
                                  : event.work;
    starts_[token].push_back(event);
    const bool service = event.work_class == wire::WORK_CLASS_SERVICE;
    if (!event.idempotent && !service && starts_[token].size() > 1) {
      Add(Guarantee::kAtMostOnce,
          At(event) + " after " + At(starts_[token].front()));
    }
    if (event.work_class == wire::WORK_CLASS_REQUEST) CheckKey(event, token);
  }

  void CheckKey(const WorkerEvent& event, const std::string& token) {
    const auto calls = calls_.find(token);
    const bool allowed =
        calls != calls_.end() &&
        std::any_of(calls->second.begin(), calls->second.end(),
                    [&](const CallLog* call) {
                      return history_.IsAuthorized(call->spec, event.at);
                    });
    if (!allowed) Add(Guarantee::kKeyAuthorization, At(event));
  }

  void CheckReplies() {
    for (const auto& [token, calls] : calls_) {
      bool all_not_run = true;
      for (const CallLog* const call : calls) {
        const std::string name = "call " + std::to_string(call->number);
        if (call->replies.size() > 1) {
          Add(Guarantee::kCompleteAnswer, name + " has two replies");
        }
        bool not_run = false;
        for (const EntryEffect& reply : call->replies) {
          if (const auto* answer = std::get_if<AnswerReply>(&reply)) {
            if (answer->answer != call->payload) {
              Add(Guarantee::kCompleteAnswer, name + " got '" + answer->answer +
                                                  "' for '" + call->payload +
                                                  "'");
            }
          } else if (const auto* no = std::get_if<RefusalReply>(&reply)) {
            not_run = no->fate == wire::RUN_FATE_NOT_RUN;
          }
        }
        all_not_run = all_not_run && not_run;
      }
      const auto starts = starts_.find(token);
      if (all_not_run && starts != starts_.end()) {
        Add(Guarantee::kNotRun, At(starts->second.front()));
      }
    }
  }

  // If a task of a gang ran for longer than `bound`, every other task of the
  // gang must have started within `bound` of it.
  void CheckTasksStartTogether(const JobLog& job, Milliseconds bound) {
    for (uint32_t task = 0; task < job.tasks; ++task) {
      for (const WorkerEvent& start : StartsOf(TaskOf(job, task))) {
        const Time checked_at = start.at + bound;
        const auto end = ended_.find(start.attempt);
        const bool short_run = end != ended_.end() && end->second < checked_at;
        if (short_run || world_.now() < checked_at) continue;
        for (uint32_t other = 0; other < job.tasks; ++other) {
          if (StartedAround(TaskOf(job, other), start.at, bound)) continue;
          Add(Guarantee::kGangAtomicity,
              At(start) + " without task " + std::to_string(other));
        }
      }
    }
  }

  static std::string TaskOf(const JobLog& job, uint32_t task) {
    return job.id + "/" + std::to_string(task);
  }

  const std::vector<WorkerEvent>& StartsOf(const std::string& work) const {
    static const std::vector<WorkerEvent> none;
    const auto found = starts_.find(work);
    return found == starts_.end() ? none : found->second;
  }

  bool StartedAround(const std::string& task_id, Time at,
                     Milliseconds bound) const {
    const std::vector<WorkerEvent>& starts = StartsOf(task_id);
    return std::any_of(starts.begin(), starts.end(),
                       [&](const WorkerEvent& start) {
                         return start.at > at - bound && start.at < at + bound;
                       });
  }

  // The last starts of a gang's tasks lie within twice the TTL of held
  // resources.
  void CheckGangs() {
    const Milliseconds bound = world_.settings().placer.gang_hold_ttl * 2;
    for (const auto& job : world_.jobs()) {
      if (job->kind != wire::WORK_CLASS_GANG || job->id.empty()) continue;
      CheckTasksStartTogether(*job, bound);
      std::vector<Time> last;
      for (uint32_t task = 0; task < job->tasks; ++task) {
        const auto starts = starts_.find(TaskOf(*job, task));
        if (starts == starts_.end()) continue;
        last.push_back(starts->second.back().at);
      }
      if (last.empty()) continue;
      if (job->last_state != "done") continue;
      const auto [first, final] = std::minmax_element(last.begin(), last.end());
      if (last.size() < job->tasks || *final - *first > bound) {
        Add(Guarantee::kGangAtomicity, job->id);
      }
    }
  }

  const World& world_;
  std::vector<WorkerEvent> events_;
  History history_;
  std::map<std::string, std::vector<const CallLog*>> calls_;
  std::map<std::string, std::vector<WorkerEvent>> starts_;
  std::map<std::string, Time> ended_;                      // by attempt
  std::set<std::pair<std::string, std::string>> running_;  // work, attempt
  std::map<std::string, Resources> used_;                  // by team
  std::vector<Violation> violations_;
};

}  // namespace

const char* NameOf(Guarantee guarantee) {
  switch (guarantee) {
    case Guarantee::kCapacity:
      return "capacity";
    case Guarantee::kSinglePlacement:
      return "one place";
    case Guarantee::kKeyAuthorization:
      return "keys";
    case Guarantee::kLimit:
      return "limit";
    case Guarantee::kCompleteAnswer:
      return "whole answer";
    case Guarantee::kNotRun:
      return "not run";
    case Guarantee::kAtMostOnce:
      return "at most once";
    case Guarantee::kLeaving:
      return "leaving";
    case Guarantee::kGracefulShutdown:
      return "none cut off";
    case Guarantee::kConfiguration:
      return "configuration";
    case Guarantee::kGangAtomicity:
      return "gang whole";
  }
  return "?";
}

std::vector<Violation> Check(const World& world) {
  return Checker(world).Run();
}

// The worker events of a job's tasks, for debugging.
std::string Trace(const World& world, const std::string& job) {
  constexpr size_t kMaxLines = 40;
  std::string text;
  size_t lines = 0;
  for (const WorkerEvent& event : EventsByTime(world)) {
    if (!event.work.starts_with(job + "/") || ++lines > kMaxLines) continue;
    const bool started = event.kind == WorkerEvent::Kind::kStarted;
    const bool ended = event.kind == WorkerEvent::Kind::kEnded;
    text += std::string("\n    ") +
            (started ? "started "
             : ended ? "ended "
                     : "refused ") +
            At(event) + " " + wire::Outcome_Name(event.outcome) + " " +
            event.reason;
  }
  return text;
}

std::vector<std::string> UnfinishedWork(const World& world) {
  std::vector<std::string> unfinished;
  for (const auto& call : world.calls()) {
    if (call->replies.empty() && !call->connection_lost) {
      unfinished.push_back("call " + std::to_string(call->number) + " at " +
                           call->entry + " has no reply");
    }
  }
  for (const auto& job : world.jobs()) {
    if (job->id.empty()) continue;
    const bool over =
        job->last_state == "done" || job->last_state == "cancelled" ||
        job->last_state == "serving" || job->last_state == "failed";
    if (!over) {
      unfinished.push_back("job " + job->id + " is " + job->last_state +
                           Trace(world, job->id));
    }
  }
  for (int i = 0; i < world.settings().domains; ++i) {
    const std::string domain(1, static_cast<char>('a' + i));
    const std::string active = world.ActivePlacer(domain);
    if (active.empty()) {
      unfinished.push_back("domain " + domain + " has no active placer");
      continue;
    }
    const PlacerStatus status = world.StatusOf(active);
    if (status.waiting > 0) {
      unfinished.push_back(std::to_string(status.waiting) + " wait in domain " +
                           domain);
    }
    if (!status.all_workers_accounted) {
      unfinished.push_back("domain " + domain +
                           " has workers that aren't accounted for");
    }
  }
  return unfinished;
}

}  // namespace quetzal::testing
