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

// Events by time; those of the same time stay as they were recorded.
std::vector<WorkerEvent> InOrder(const World& world) {
  std::vector<WorkerEvent> events = world.events();
  std::stable_sort(
      events.begin(), events.end(),
      [](const WorkerEvent& a, const WorkerEvent& b) { return a.at < b.at; });
  return events;
}

// What operators' records said over time.
class History {
 public:
  explicit History(const World& world) {
    for (const RecordLog& log : world.records()) {
      const std::string kind = log.path.substr(0, log.path.find('/'));
      if (!log.value) {
        if (const auto digest = digest_of_.find(log.path);
            digest != digest_of_.end()) {
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
        digest_of_[log.path] = key->digest;
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
      const bool replaced_long_ago =
          i + 1 < changes.size() && changes[i + 1].first + kInForceBound < at;
      if (!replaced_long_ago) largest = Max(largest, changes[i].second);
    }
    return largest;
  }

  // True if work of this call may start at `at`.
  bool Allows(const CallSpec& spec, Time at) const {
    const auto queue = queues_.find(spec.queue);
    if (queue == queues_.end()) return false;
    if (queue->second.open) return true;
    const auto key = keys_.find(KeyDigest(spec.key));
    if (spec.key.empty() || key == keys_.end()) return false;
    if (key->second.team != queue->second.team.text()) return false;
    return !key->second.revoked || at <= *key->second.revoked + kInForceBound;
  }

 private:
  struct Key {
    std::string team;
    Time granted;
    std::optional<Time> revoked;
  };
  std::map<std::string, std::vector<std::pair<Time, Resources>>> limits_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::string> digest_of_;
  std::map<std::string, QueueRecord> queues_;
};

std::string At(const WorkerEvent& event) {
  return event.work + " attempt " + event.attempt + " on " +
         event.worker.text() + " at " +
         std::to_string(event.at.time_since_epoch().count() - 1'000'000) +
         " ms";
}

class Judge {
 public:
  explicit Judge(const World& world)
      : world_(world), events_(InOrder(world)), history_(world) {
    for (const auto& call : world.calls()) {
      calls_[TokenOf(call->payload)].push_back(call.get());
    }
  }

  std::vector<Violation> Run() {
    FollowEvents();
    CheckReplies();
    CheckGangs();
    for (const uint64_t call : world_.cut_off()) {
      Add(Promise::kNoneCutOff, "call " + std::to_string(call));
    }
    for (const std::string& process : world_.reverts()) {
      Add(Promise::kConfiguration, process + " went back");
    }
    for (const std::string& entry : world_.late_in_force()) {
      Add(Promise::kConfiguration, entry);
    }
    for (const std::string& entry : world_.Entries()) {
      if (world_.IsAlive(entry) &&
          world_.RecordRevisionAt(entry) < world_.newest_record_revision()) {
        Add(Promise::kConfiguration, entry + " is behind");
      }
    }
    return std::move(violations_);
  }

 private:
  void Add(Promise promise, const std::string& what) {
    violations_.push_back({promise, what});
  }

  void FollowEvents() {
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
      Add(Promise::kCapacity, At(event));
    }
    const auto other = running_.lower_bound({event.work, ""});
    if (other != running_.end() && other->first == event.work) {
      Add(Promise::kOnePlace, At(event) + " beside " + other->second);
    }
    running_.insert({event.work, event.attempt});
    used_[event.team] += event.size;
    if (!used_[event.team].FitsIn(history_.LimitAt(event.team, event.at))) {
      Add(Promise::kLimit, At(event) + " uses " + used_[event.team].Describe());
    }
    for (const Departure& departure : world_.departures()) {
      const bool late = departure.worker == event.worker.text() &&
                        event.at > departure.from + kLeavingBound &&
                        event.at < departure.until;
      if (late) Add(Promise::kLeaving, At(event));
    }
    const std::string token = event.work_class == wire::WORK_CLASS_REQUEST
                                  ? TokenOf(event.payload)
                                  : event.work;
    starts_[token].push_back(event);
    const bool service = event.work_class == wire::WORK_CLASS_SERVICE;
    if (!event.idempotent && !service && starts_[token].size() > 1) {
      Add(Promise::kAtMostOnce,
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
                      return history_.Allows(call->spec, event.at);
                    });
    if (!allowed) Add(Promise::kKeys, At(event));
  }

  void CheckReplies() {
    for (const auto& [token, calls] : calls_) {
      bool all_not_run = true;
      for (const CallLog* const call : calls) {
        const std::string name = "call " + std::to_string(call->number);
        if (call->replies.size() > 1) {
          Add(Promise::kWholeAnswer, name + " has two replies");
        }
        bool not_run = false;
        for (const EntryEffect& reply : call->replies) {
          if (const auto* answer = std::get_if<AnswerReply>(&reply)) {
            if (answer->answer != call->payload) {
              Add(Promise::kWholeAnswer, name + " got '" + answer->answer +
                                             "' for '" + call->payload + "'");
            }
          } else if (const auto* no = std::get_if<RefusalReply>(&reply)) {
            not_run = no->fate == wire::RUN_FATE_NOT_RUN;
          }
        }
        all_not_run = all_not_run && not_run;
      }
      const auto starts = starts_.find(token);
      if (all_not_run && starts != starts_.end()) {
        Add(Promise::kNotRun, At(starts->second.front()));
      }
    }
  }

  // A part that ran for longer than a reservation lives was not alone: every
  // other part started within that time of it.
  void CheckPartsTogether(const JobLog& job, Milliseconds bound) {
    for (uint32_t task = 0; task < job.tasks; ++task) {
      for (const WorkerEvent& start : StartsOf(PartOf(job, task))) {
        const Time judged_at = start.at + bound;
        const auto end = ended_.find(start.attempt);
        const bool short_run = end != ended_.end() && end->second < judged_at;
        if (short_run || world_.now() < judged_at) continue;
        for (uint32_t other = 0; other < job.tasks; ++other) {
          if (StartedAround(PartOf(job, other), start.at, bound)) continue;
          Add(Promise::kGangWhole,
              At(start) + " without part " + std::to_string(other));
        }
      }
    }
  }

  static std::string PartOf(const JobLog& job, uint32_t task) {
    return job.id + "/" + std::to_string(task);
  }

  const std::vector<WorkerEvent>& StartsOf(const std::string& work) const {
    static const std::vector<WorkerEvent> none;
    const auto found = starts_.find(work);
    return found == starts_.end() ? none : found->second;
  }

  bool StartedAround(const std::string& part, Time at,
                     Milliseconds bound) const {
    const std::vector<WorkerEvent>& starts = StartsOf(part);
    return std::any_of(starts.begin(), starts.end(),
                       [&](const WorkerEvent& start) {
                         return start.at > at - bound && start.at < at + bound;
                       });
  }

  // The last starts of a gang's parts lie within the life of a reservation.
  void CheckGangs() {
    const Milliseconds bound = world_.settings().placer.gang_hold_ttl * 2;
    for (const auto& job : world_.jobs()) {
      if (job->kind != wire::WORK_CLASS_GANG || job->id.empty()) continue;
      CheckPartsTogether(*job, bound);
      std::vector<Time> last;
      for (uint32_t task = 0; task < job->tasks; ++task) {
        const auto starts = starts_.find(PartOf(*job, task));
        if (starts == starts_.end()) continue;
        last.push_back(starts->second.back().at);
      }
      if (last.empty()) continue;
      if (job->last_state != "done") continue;
      const auto [first, final] = std::minmax_element(last.begin(), last.end());
      if (last.size() < job->tasks || *final - *first > bound) {
        Add(Promise::kGangWhole, job->id);
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

const char* NameOf(Promise promise) {
  switch (promise) {
    case Promise::kCapacity:
      return "capacity";
    case Promise::kOnePlace:
      return "one place";
    case Promise::kKeys:
      return "keys";
    case Promise::kLimit:
      return "limit";
    case Promise::kWholeAnswer:
      return "whole answer";
    case Promise::kNotRun:
      return "not run";
    case Promise::kAtMostOnce:
      return "at most once";
    case Promise::kLeaving:
      return "leaving";
    case Promise::kNoneCutOff:
      return "none cut off";
    case Promise::kConfiguration:
      return "configuration";
    case Promise::kGangWhole:
      return "gang whole";
  }
  return "?";
}

std::vector<Violation> Check(const World& world) { return Judge(world).Run(); }

// What workers ran of a job, for a person who looks for the cause.
std::string Trace(const World& world, const std::string& job) {
  constexpr size_t kMostLines = 40;
  std::string text;
  size_t lines = 0;
  for (const WorkerEvent& event : InOrder(world)) {
    if (!event.work.starts_with(job + "/") || ++lines > kMostLines) continue;
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

std::vector<std::string> Unfinished(const World& world) {
  std::vector<std::string> left;
  for (const auto& call : world.calls()) {
    if (call->replies.empty() && !call->connection_lost) {
      left.push_back("call " + std::to_string(call->number) + " at " +
                     call->entry + " has no reply");
    }
  }
  for (const auto& job : world.jobs()) {
    if (job->id.empty()) continue;
    const bool over =
        job->last_state == "done" || job->last_state == "cancelled" ||
        job->last_state == "serving" || job->last_state == "failed";
    if (!over) {
      left.push_back("job " + job->id + " is " + job->last_state +
                     Trace(world, job->id));
    }
  }
  for (int i = 0; i < world.settings().domains; ++i) {
    const std::string domain(1, static_cast<char>('a' + i));
    const std::string active = world.ActivePlacer(domain);
    if (active.empty()) {
      left.push_back("domain " + domain + " has no active placer");
      continue;
    }
    const PlacerStatus status = world.StatusOf(active);
    if (status.waiting > 0) {
      left.push_back(std::to_string(status.waiting) + " wait in domain " +
                     domain);
    }
    if (!status.all_workers_accounted)
      left.push_back("domain " + domain + " unaccounted");
  }
  return left;
}

}  // namespace quetzal::testing
