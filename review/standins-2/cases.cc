#include "cases.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "deployment.h"
#include "quetzal/program/program.h"

namespace quetzal::review {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

// `finish_s` of the sites.
constexpr Milliseconds kFinish{14'000};
// For this long a job may have nothing running though its turn has come.
constexpr Milliseconds kIdleLimit{3'000};
// Longer, so that an idle time that is measured surely exceeds the limit.
constexpr Milliseconds kIdleWatch{4'000};
// A long-running task has to run again from this time after its last run's end;
// without disruptions for `kCalm`, it may be idle for `kIdleLimit` only.
constexpr Milliseconds kRunAgain{6'000};
constexpr Milliseconds kCalm{4'000};
// `cancel_ms`, `stop-timeout-ms` and `contact-timeout-ms` of the sites.
constexpr Milliseconds kCancel{3'000};
constexpr Milliseconds kStop{900};
constexpr Milliseconds kContact{4'000};
// `config-apply-ms` and `max-extension-ms`.
constexpr Milliseconds kApply{3'000};
constexpr Milliseconds kExtension{6'000};

std::string IdOf(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", number);
  return text;
}

// A job of one step, whose tasks run for that long.
std::string JobBody(Milliseconds run_time, int tasks,
                    const std::string& more = "") {
  const std::string ms = std::to_string(run_time.count());
  return R"({"specification":")" + ms + R"(","steps":[{"count":)" +
         std::to_string(tasks) + R"(,"cpu":1000,"task-memory-mb":10,)" +
         R"("estimated-duration-ms":)" + ms + more + "}]}";
}

std::string TaskOf(std::string job, int index) {
  job.append(".0.0.").append(std::to_string(index));
  return job;
}

std::string PathOf(std::string route, const std::string& job) {
  route.insert(0, "/").append("/").append(job);
  return route;
}

std::string CountOf(size_t count, const char* what) {
  return std::to_string(count) + " " + what;
}

// Checks that no accepted job has nothing running for longer than allowed.
Verdict JudgeIdleJobs(Deployment* deployment,
                      const std::vector<std::string>& accepted, int tasks,
                      Record* record) {
  const auto is_done = [&](const std::string& id) {
    for (int i = 0; i < tasks; ++i) {
      if (!deployment->IsDone(TaskOf(id, i))) return false;
    }
    return true;
  };
  std::map<std::string, Time> idle_since;
  for (const std::string& id : accepted) {
    if (!is_done(id)) idle_since[id] = Now();
  }
  bool has_room = true;
  deployment->WaitUntil(kIdleWatch, [&] {
    has_room = has_room && deployment->RunningTasks() * 2 < deployment->Room();
    for (auto& [id, since] : idle_since) {
      if (deployment->RunningTasksOf(id) > 0) since = Now();
    }
    return false;
  });
  size_t lost = 0;
  for (const auto& [id, since] : idle_since) {
    if (is_done(id) || Now() - since < kIdleLimit) continue;
    ++lost;
    record->Line("job " + id + " isn't done, and nothing of it ran for " +
                 std::to_string((Now() - since).count()) + " ms; " +
                 CountOf(static_cast<size_t>(deployment->RefusedStarts(id)),
                         "starts of it were refused"));
  }
  record->Line(CountOf(accepted.size(), "jobs accepted, ") +
               CountOf(lost,
                       "of them idle; less than half of the workers' "
                       "room in use: ") +
               (has_room ? "yes" : "no"));
  return lost > 0 && has_room ? Verdict::kBroken : Verdict::kHeld;
}

// The operator removes a route while jobs of it wait, and then the leading
// placer is killed. The jobs have to run all the same.
Verdict RunRemovedRoute(bool trouble, Record* record) {
  constexpr int kMachines = 3;
  constexpr int kJobs = 20;
  constexpr int kTasks = 15;
  constexpr Milliseconds kRunTime{400};
  constexpr Milliseconds kBeforeRemoval{500};
  constexpr Milliseconds kBeforeKill{500};
  constexpr Milliseconds kRestartDelay{1'000};
  Deployment deployment({.machines = kMachines, .workers = 8}, record);
  deployment.Publish({.routes = {"quotes", "digest"}, .keys = {"key-1"}});
  if (!deployment.Start()) return Verdict::kCannotRun;
  std::vector<std::string> accepted;
  for (int i = 1; i <= kJobs; ++i) {
    const HttpClientResult answer =
        deployment.Call(i % kMachines, {.method = "POST",
                                        .path = PathOf("digest", IdOf(i)),
                                        .body = JobBody(kRunTime, kTasks)});
    if (answer.ok()) accepted.push_back(IdOf(i));
  }
  if (accepted.empty()) return Verdict::kCannotRun;
  deployment.RunFor(kBeforeRemoval);
  deployment.Publish({.routes = {"quotes"}, .keys = {"key-1"}});
  deployment.RunFor(kBeforeKill);
  if (trouble) {
    const int leader = deployment.Leader();
    if (leader < 0) return Verdict::kCannotRun;
    const std::string placer = "placer-" + std::to_string(leader);
    deployment.Kill(placer);
    deployment.RunFor(kRestartDelay);
    deployment.Launch(placer);
  }
  deployment.RunFor(kFinish);
  return JudgeIdleJobs(&deployment, accepted, kTasks, record);
}

// The store refuses one machine, and the operator withdraws a key and a route
// meanwhile. A client goes on using them at that machine.
Verdict RunWithdrawnKey(bool trouble, Record* record) {
  constexpr Milliseconds kRefusal{9'000};  // of each of two disruptions
  constexpr Milliseconds kOverlap{500};
  constexpr Milliseconds kInterval{500};
  constexpr Milliseconds kRunTime{1'000};
  Deployment deployment({.machines = 3, .workers = 4}, record);
  deployment.Publish(
      {.routes = {"quotes", "digest"}, .keys = {"key-1", "key-2"}});
  if (!deployment.Start()) return Verdict::kCannotRun;
  const std::string id = IdOf(1);
  const HttpClientResult accepted =
      deployment.Call(0, {.method = "POST",
                          .path = "/quotes/" + id,
                          .body = JobBody(kRunTime, 1),
                          .key = "key-2"});
  if (!accepted.ok()) return Verdict::kCannotRun;
  deployment.RunFor(kContact);
  const Time refused_from = Now();
  const Time refused_until = refused_from + kRefusal * 2 - kOverlap;
  if (trouble) {
    record->Line("the store refuses vm-0");
    deployment.SetStoreRule(0, [refused_until](const HttpRequest&) {
      return Now() < refused_until ? Treatment::Refuse() : Treatment::Forward();
    });
  }
  deployment.RunFor(kOverlap);
  deployment.Publish({.routes = {"quotes"}, .keys = {"key-1"}});
  const Time bound = Now() + kApply + kExtension;
  int served = 0;
  int denied = 0;
  while (Now() < refused_until) {
    const bool counts = Now() > bound;
    if (counts && served + denied == 0) record->Line("the bound has passed");
    for (const ClientCall& call :
         {ClientCall{.path = "/quotes/" + id, .key = "key-2"},
          ClientCall{.path = "/quotes/", .key = "key-2"},
          ClientCall{.path = "/digest/", .key = "key-1"}}) {
      const HttpClientResult answer = deployment.Call(0, call);
      if (!counts) continue;
      if (answer.ok()) ++served;
      if (answer.status == kUnauthorized || answer.status == kNotFound) {
        ++denied;
      }
    }
    deployment.RunFor(kInterval);
  }
  record->Line(std::to_string(served) +
               " calls with the withdrawn key or route were served after the "
               "bound, " +
               std::to_string(denied) + " denied");
  return served > 0 ? Verdict::kBroken : Verdict::kHeld;
}

// A client leaves before its submission is answered, and cancels the job at
// another machine. The store executes the first write late.
Verdict RunEarlyCancel(bool trouble, Record* record) {
  constexpr Milliseconds kLeavesAfter{200};
  static constexpr Milliseconds kLate{2'000};
  constexpr Milliseconds kDisruption{4'500};
  constexpr Milliseconds kRunTime{1'000};
  Deployment deployment({.machines = 2, .workers = 4}, record);
  deployment.Publish({.routes = {"quotes"}, .keys = {"key-1"}});
  if (!deployment.Start()) return Verdict::kCannotRun;
  deployment.RunFor(kContact);
  const std::string id = IdOf(1);
  auto is_lost = std::make_shared<bool>(false);
  if (trouble) {
    deployment.SetStoreRule(0, [id, is_lost, record](const HttpRequest& r) {
      if (r.path != "/kv-txn" || *is_lost ||
          r.body.find("cell/jobs/" + id) == std::string::npos) {
        return Treatment::Forward();
      }
      *is_lost = true;
      record->Line("the store executes a write of vm-0 late");
      return Treatment::ExecuteLate(kLate);
    });
  }
  const Time began = Now();
  deployment.Call(0, {.method = "POST",
                      .path = "/quotes/" + id,
                      .body = JobBody(kRunTime, 1, R"(,"long-running":true)"),
                      .leaves_after = kLeavesAfter});
  const HttpClientResult cancelled =
      deployment.Call(1, {.method = "DELETE", .path = "/quotes/" + id});
  if (!cancelled.ok() && cancelled.status != kGone) return Verdict::kCannotRun;
  const Time cancelled_at = Now();
  // Until no disruption is near any more.
  while (Now() < std::max(began + kDisruption + kContact,
                          cancelled_at + kCancel + kStop)) {
    deployment.RunFor(kStop);
  }
  const int starts_before = deployment.AcceptedStarts(id);
  deployment.RunFor(kContact);
  const int starts = deployment.AcceptedStarts(id) - starts_before;
  record->Line(
      std::to_string(starts) + " starts of the cancelled job in " +
      std::to_string(kContact.count()) +
      " ms without disruption; the last start of it came " +
      std::to_string((deployment.LastStart(id) - cancelled_at).count()) +
      " ms after the cancel was acknowledged");
  return starts > 0 ? Verdict::kBroken : Verdict::kHeld;
}

// A worker is lost for good, and the leading placer is killed twice. A
// long-running task on another worker fails meanwhile and has to run again.
Verdict RunRepeatedTakeovers(bool trouble, Record* record) {
  constexpr int kMachines = 3;
  constexpr int kWorkers = 8;
  constexpr int kTasks = 2;
  constexpr int kKills = 2;
  constexpr Milliseconds kBeforeKill{300};
  constexpr Milliseconds kRestartDelay{300};
  constexpr Milliseconds kBetweenKills{7'500};
  constexpr Milliseconds kAfterLastKill{12'000};
  Deployment deployment({.machines = kMachines, .workers = kWorkers}, record);
  deployment.Publish({.routes = {"quotes"}, .keys = {"key-1"}});
  if (!deployment.Start()) return Verdict::kCannotRun;
  const std::string id = IdOf(1);
  const HttpClientResult accepted = deployment.Call(
      0, {.method = "POST",
          .path = PathOf("quotes", id),
          .body = JobBody(Milliseconds(0), kTasks, R"(,"long-running":true)")});
  const bool is_running = accepted.ok() && deployment.WaitUntil(kContact, [&] {
    return deployment.RunningTasksOf(id) == kTasks;
  });
  if (!is_running) return Verdict::kCannotRun;
  deployment.RunFor(kContact);
  int idle_worker = 0;
  while (deployment.worker(idle_worker).RunningTasks() > 0) ++idle_worker;
  // The newest moment of a disruption, and when the task's last run ended.
  Time disrupted_at = Now();
  if (trouble) deployment.worker(idle_worker).Vanish();
  deployment.RunFor(kBeforeKill);
  std::optional<Time> ended_at;
  Milliseconds longest{0};
  for (int kill = 0; kill < kKills; ++kill) {
    if (trouble) {
      const int leader = deployment.Leader();
      if (leader < 0) return Verdict::kCannotRun;
      const std::string placer = "placer-" + std::to_string(leader);
      deployment.Kill(placer);
      deployment.RunFor(kRestartDelay);
      deployment.Launch(placer);
      disrupted_at = Now();
    } else {
      deployment.RunFor(kRestartDelay);
    }
    if (!ended_at) {
      for (int i = 0; i < kWorkers; ++i) {
        if (deployment.worker(i).Fail(TaskOf(id, 0))) ended_at = Now();
      }
      if (!ended_at) return Verdict::kCannotRun;
    }
    Time counts_from = std::max(disrupted_at + kCalm, *ended_at + kRunAgain);
    const Milliseconds watch =
        kill + 1 < kKills ? kBetweenKills - kRestartDelay : kAfterLastKill;
    deployment.WaitUntil(watch, [&] {
      if (deployment.RunningTasksOf(id) == kTasks) counts_from = Now();
      longest = std::max(longest, Now() - counts_from);
      return false;
    });
  }
  record->Line("the failed task wasn't running for up to " +
               std::to_string(longest.count()) +
               " ms on end, each time from 6 s after its end and 4 s after a "
               "disruption");
  return longest >= kIdleLimit ? Verdict::kBroken : Verdict::kHeld;
}

// A gang may run on two workers that are busy for long, and on ten others that
// are idle soon.
Verdict RunGangBesideIdleWorkers(bool trouble, Record* record) {
  constexpr int kBusy = 16;
  constexpr int kOthers = 10;
  constexpr int kGangs = 3;
  constexpr int kMembers = 4;
  constexpr Milliseconds kLong{20'000};
  constexpr Milliseconds kShort{5'000};
  constexpr Milliseconds kSettle{1'000};
  constexpr Milliseconds kEnd{8'000};
  Deployment deployment(
      {.machines = 2, .workers = kBusy + kOthers, .workers_of_kind_a = kBusy},
      record);
  deployment.Publish({.routes = {"bulk", "gangs"}, .keys = {"key-1"}});
  std::vector<std::string> gangs(kGangs);
  int next_gang = 1'000;
  for (std::string& gang : gangs) gang = IdOf(next_gang++);
  std::set<std::string> allowed = {"i-0", "i-1"};
  for (int i = kBusy; i < kBusy + kOthers; ++i) {
    allowed.insert("i-" + std::to_string(i));
  }
  deployment.SetPolicy([&](const std::string& job, const std::string& worker) {
    return std::find(gangs.begin(), gangs.end(), job) == gangs.end() ||
           allowed.contains(worker);
  });
  if (!deployment.Start()) return Verdict::kCannotRun;
  const auto submit = [&](const std::string& route, const std::string& id,
                          const std::string& body) {
    return deployment
        .Call(0, {.method = "POST", .path = PathOf(route, id), .body = body})
        .ok();
  };
  const auto bulk = [&](int number, int cpu, Milliseconds time,
                        const std::string& kind) {
    const std::string ms = std::to_string(time.count());
    return submit("bulk", IdOf(number),
                  R"({"specification":")" + ms +
                      R"(","steps":[{"count":1,"cpu":)" + std::to_string(cpu) +
                      R"(,"task-memory-mb":10,"requirements":")" + kind +
                      R"(","estimated-duration-ms":)" + ms + "}]}");
  };
  bool is_accepted = true;
  for (int i = 1; i <= kBusy && trouble; ++i) {
    is_accepted = is_accepted && bulk(i, 3'000, kLong, "a");
  }
  for (int i = 1; i <= kOthers; ++i) {
    is_accepted = is_accepted && bulk(100 + i, 4'000, kShort, "b");
  }
  deployment.RunFor(kSettle);
  deployment.Publish({.routes = {"bulk", "gangs"},
                      .keys = {"key-1"},
                      .decision_ms = 300,
                      .worker_ms = 4.4});
  deployment.RunFor(kSettle);
  for (const std::string& gang : gangs) {
    is_accepted =
        is_accepted &&
        submit("gangs", gang,
               R"({"specification":"1000","steps":[{"count":)" +
                   std::to_string(kMembers) +
                   R"(,"cpu":2000,"task-memory-mb":10,"gang-scheduled":true,)"
                   R"("estimated-duration-ms":1000}]})");
  }
  if (!is_accepted) return Verdict::kCannotRun;
  deployment.RunFor(kFinish);
  const Verdict verdict = JudgeIdleJobs(&deployment, gangs, kMembers, record);
  deployment.RunFor(kEnd);
  return verdict;
}

}  // namespace

Verdict RunCase(const std::string& name, bool trouble, Record* record) {
  const std::map<std::string, std::function<Verdict(bool, Record*)>> cases = {
      {"gang-beside-idle-workers", &RunGangBesideIdleWorkers},
      {"repeated-takeovers", &RunRepeatedTakeovers},
      {"removed-route", &RunRemovedRoute},
      {"withdrawn-key", &RunWithdrawnKey},
      {"early-cancel", &RunEarlyCancel}};
  const auto found = cases.find(name);
  if (found == cases.end()) return Verdict::kCannotRun;
  return found->second(trouble, record);
}

}  // namespace quetzal::review
