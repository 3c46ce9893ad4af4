// Runs one scripted case of the review.
//
//   review-case CASE PROGRAMS RECORD
//
// PROGRAMS is the folder with the programs of the deploy file's build, RECORD
// the file to write. With TROUBLE=0 in the environment nothing is disrupted.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.
#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "quetzal/program/program.h"
#include "review/driver/case_cluster.h"
#include "review/driver/case_worker.h"

namespace quetzal::review {
namespace {

using Json = nlohmann::json;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr Milliseconds kStartLimit{20'000};
constexpr Milliseconds kHeartbeatInterval{1'500};
// An entry is removed after three heartbeat intervals of silence.
constexpr Milliseconds kEntryLifetime = 3 * kHeartbeatInterval;
constexpr Milliseconds kTick{10};
constexpr char kJob[] = "00000000000000a1";
constexpr Milliseconds kShortDuration{200};  // of the tasks of other jobs
constexpr char kConfigurationKey[] = "op/config";

std::string IdOfOtherJob(int number) {
  constexpr int kFirst = 10;
  return "00000000000000" + std::to_string(kFirst + number);
}

class Case {
 public:
  Case(const std::string& programs, int machines, int workers,
       int added_workers, const std::string& record)
      : record_(record),
        cluster_(programs, machines),
        began_at_(Now()),
        initial_workers_(static_cast<size_t>(workers)) {
    observer_.record = [this](const std::string& line) { Record(line); };
    observer_.on_run_begins = [this](const std::string& task,
                                     const std::string& worker) {
      OnRunBegins(task, worker);
    };
    observer_.on_run_ended = [this](const std::string& task,
                                    const std::string& worker) {
      OnRunEnded(task, worker);
    };
    observer_.duration_of = [this](const std::string& task) {
      return task.starts_with(kJob) ? duration_ : kShortDuration;
    };
    observer_.gang_of = [this](const std::string&) { return gang_; };
    observer_.withholds_start = [](const std::string&, const std::string&) {
      return false;
    };
    workers += added_workers;
    const int first_port = FreePorts(workers);
    for (int i = 0; i < workers; ++i) {
      const std::string number = std::to_string(i);
      workers_.push_back(std::make_unique<CaseWorker>(
          CaseWorkerSettings{.id = "i-" + number,
                             .rack = "r1-" + number,
                             .port = first_port + i},
          &observer_));
      heartbeat_at_[workers_.back().get()] = Now();
    }
  }

  // Starts the platform and the product, and waits until all workers are
  // polled.
  bool Start() {
    if (!cluster_.StartStore()) return false;
    for (size_t i = 0; i < initial_workers_; ++i) {
      if (!workers_[i]->Begin()) return false;
    }
    cluster_.store()->Put(kConfigurationKey, Configuration());
    RunEvery(kTick, [this] { Tick(); });
    if (!cluster_.StartMachines()) return false;
    for (int i = 0; i < cluster_.machines(); ++i) {
      if (!CaseCluster::WaitFor(kStartLimit,
                                [&] { return cluster_.IsReady(i); })) {
        return false;
      }
    }
    return CaseCluster::WaitFor(kStartLimit, [this] {
      for (size_t i = 0; i < initial_workers_; ++i) {
        if (workers_[i]->polls() < 3) return false;
      }
      return true;
    });
  }

  void Record(const std::string& line) {
    record_ << (Now() - began_at_).count() << " ms  " << line << std::endl;
  }
  void ReportBreak(const std::string& line) {
    Record("BROKEN: " + line);
    ++breaks_;
  }
  void Wait(Milliseconds time) {
    CaseCluster::WaitFor(time, [] { return false; });
  }
  // Submits a job; true if it was accepted.
  bool Submit(const std::string& body, const std::string& id = kJob) {
    const HttpClientResult answer =
        cluster_.Call(0, "POST", "/quotes/" + id, body);
    Record("POST " + body + " -> " + std::to_string(answer.status));
    return answer.ok();
  }
  std::string State() {
    const HttpClientResult answer =
        cluster_.Call(1, "GET", std::string("/quotes/") + kJob, "");
    const Json json = Json::parse(answer.body, nullptr, false);
    std::string state = json.is_object() ? json.value("state", "") : "";
    if (state != shown_state_) Record("GET -> " + answer.body);
    shown_state_ = state;
    return state;
  }
  void SetDuration(Milliseconds duration) { duration_ = duration; }
  void SetGang(std::vector<std::string> gang) { gang_ = std::move(gang); }
  WorkerObserver* observer() { return &observer_; }
  CaseWorker* worker(size_t index) { return workers_[index].get(); }
  size_t workers() const { return workers_.size(); }
  // The time of the worker's next heartbeat.
  void SetNextHeartbeat(CaseWorker* worker, Time at) {
    heartbeat_at_[worker] = at;
  }
  int Finish() {
    if (cluster_.HasLostProcess()) ReportBreak("a process ended by itself");
    Record(breaks_ > 0 ? "result: the rule was broken"
                       : "result: the rule held");
    return breaks_ > 0 ? kBroken : kHeld;
  }
  int runs_begun() const { return runs_begun_; }
  bool is_running() const { return !running_on_.empty(); }
  CaseCluster* cluster() { return &cluster_; }

 private:
  static std::string Configuration() {
    const Json queue = {{"name", "quotes"},     {"host", "desk.example"},
                        {"prefix", "/quotes/"}, {"service", "desk"},
                        {"priority", 0},        {"max-attempts", 2},
                        {"slack-factor", 2.0},  {"target-latency-ms", 1'000},
                        {"public", false}};
    return Json{
        {"version", 3},
        {"routes", {queue}},
        {"services", {{{"name", "desk"}, {"enforces-capacity", false}}}},
        {"limits", {{"max-body-bytes", 65'536}}},
        {"tenants",
         {{{"name", "buyers"}, {"api-keys", {"key-1"}}, {"weight", 100}}}}}
        .dump();
  }

  void Tick() {
    for (const auto& worker : workers_) {
      if (worker->is_up() && Now() >= heartbeat_at_[worker.get()]) {
        cluster_.store()->Put("servers/" + worker->id(), worker->Entry());
        written_at_[worker.get()] = Now();
        is_listed_[worker.get()] = true;
        heartbeat_at_[worker.get()] = Now() + kHeartbeatInterval;
      }
      if (is_listed_[worker.get()] &&
          Now() - written_at_[worker.get()] >= kEntryLifetime) {
        cluster_.store()->Remove("servers/" + worker->id());
        is_listed_[worker.get()] = false;
        Record("store: the entry of " + worker->id() + " is removed");
      }
    }
    RunGang();
  }

  // The members work from the moment when all are present, and end together.
  void RunGang() {
    if (gang_.empty()) return;
    const bool are_all_present = std::all_of(
        gang_.begin(), gang_.end(),
        [this](const auto& task) { return running_on_.contains(task); });
    if (are_all_present) works_together_ = true;
    for (const auto& worker : workers_) {
      for (const std::string& task : gang_) {
        if (are_all_present) {
          worker->BeginWork(task);
        } else if (works_together_) {
          worker->EndRun(task, "done");
        }
      }
    }
  }

  void OnRunBegins(const std::string& task, const std::string& worker) {
    ++runs_begun_;
    auto& workers = running_on_[task];
    if (!workers.empty()) {
      ReportBreak("TWICE: " + task + " begins on " + worker +
                  " while it runs on " + workers.front());
    }
    workers.push_back(worker);
  }
  void OnRunEnded(const std::string& task, const std::string& worker) {
    auto& workers = running_on_[task];
    std::erase(workers, worker);
    if (workers.empty()) running_on_.erase(task);
  }

  std::ofstream record_;
  WorkerObserver observer_;
  std::vector<std::unique_ptr<CaseWorker>> workers_;
  CaseCluster cluster_;
  Time began_at_;
  size_t initial_workers_;  // the others may be added
  std::map<CaseWorker*, Time> heartbeat_at_;
  std::map<CaseWorker*, Time> written_at_;
  std::map<CaseWorker*, bool> is_listed_;
  std::map<std::string, std::vector<std::string>> running_on_;
  std::vector<std::string> gang_;
  bool works_together_ = false;
  Milliseconds duration_{1'000};
  std::string shown_state_;
  int runs_begun_ = 0;
  int breaks_ = 0;
};

Json SingleTaskJob(Milliseconds duration) {
  const Json step = {{"count", 1},
                     {"cpu", 4'500},
                     {"task-memory-mb", 1'000},
                     {"estimated-duration-ms", duration.count()},
                     {"affinity", "r1-0"}};
  return {{"specification", "x"}, {"steps", {step}}};
}

void WaitUntil(Time at) {
  CaseCluster::WaitFor(at - Now(), [] { return false; });
}

// A start gets no answer and is executed late; meanwhile its worker crashes, is
// taken for gone and starts again under its id.
int RunLateStart(Case* test, bool has_trouble) {
  constexpr Milliseconds kTaskDuration{12'000};
  // After the victim's poll that the job is timed by.
  constexpr Milliseconds kSubmitDelay{400};
  constexpr Milliseconds kCrashDelay{1'950};
  constexpr Milliseconds kLastHeartbeatBeforeCrash{1'480};
  constexpr Milliseconds kDown{5'900};
  constexpr Milliseconds kLateExecution{9'000};  // after the order
  constexpr Milliseconds kEndLimit{60'000};
  // With the one that is withheld, less than 0.055 of the starts.
  constexpr int kOtherJobs = 20;
  CaseWorker* const victim = test->worker(0);
  test->SetDuration(kTaskDuration);
  for (int i = 0; i < kOtherJobs; ++i) {
    const Json step = {{"count", 1},
                       {"cpu", 1'000},
                       {"task-memory-mb", 100},
                       {"estimated-duration-ms", kShortDuration.count()},
                       {"affinity", "r1-" + std::to_string(1 + i % 7)}};
    if (!test->Submit(Json{{"specification", "y"}, {"steps", {step}}}.dump(),
                      IdOfOtherJob(i))) {
      return kCannotRun;
    }
  }
  bool is_withheld = false;
  Time ordered_at{};
  test->observer()->withholds_start = [&](const std::string&,
                                          const std::string& worker) {
    if (!has_trouble || is_withheld || worker != victim->id()) return false;
    is_withheld = true;
    ordered_at = Now();
    return true;
  };
  const int polls = victim->polls();
  if (!CaseCluster::WaitFor(kStartLimit,
                            [&] { return victim->polls() > polls; })) {
    return kCannotRun;
  }
  const Time polled_at = victim->last_poll_at();
  const Time crash_at = polled_at + kCrashDelay;
  if (has_trouble) {
    test->SetNextHeartbeat(victim, crash_at - kLastHeartbeatBeforeCrash);
  }
  WaitUntil(polled_at + kSubmitDelay);
  if (!test->Submit(SingleTaskJob(kTaskDuration).dump())) return kCannotRun;
  if (has_trouble) {
    WaitUntil(crash_at);
    if (!is_withheld) return kCannotRun;
    victim->Crash();
    WaitUntil(crash_at + kDown);
    if (!victim->Begin()) return kCannotRun;
    test->SetNextHeartbeat(victim, Now());
    WaitUntil(ordered_at + kLateExecution);
    victim->ExecuteLate(victim->withheld_order());
  }
  if (!CaseCluster::WaitFor(kEndLimit,
                            [&] { return test->State() == "completed"; })) {
    test->ReportBreak("LOST: the job isn't completed");
  }
  return test->Finish();
}

// All machines lose power for a while, and one worker is lost for good
// meanwhile. `finish_s` after the last call of a client, no job may have
// nothing running for 3 s.
int RunPowerLoss(Case* test, bool has_trouble) {
  constexpr Milliseconds kTaskDuration{3'000};
  constexpr Milliseconds kBeforePowerLoss{1'000};
  constexpr Milliseconds kBeforeCrash{1'000};
  constexpr Milliseconds kWithoutPower{9'500};
  constexpr Milliseconds kFinish{14'000};
  constexpr Milliseconds kIdle{3'000};
  constexpr Milliseconds kEndLimit{60'000};
  test->SetDuration(kTaskDuration);
  Json step = {{"count", 1},
               {"cpu", 4'500},
               {"task-memory-mb", 1'000},
               {"estimated-duration-ms", kTaskDuration.count()},
               {"affinity", "r1-0"}};
  Json next_step = step;
  next_step["after"] = {0};
  if (!test->Submit(
          Json{{"specification", "x"}, {"steps", {step, next_step}}}.dump())) {
    return kCannotRun;
  }
  const Time traffic_ended_at = Now();
  if (has_trouble) {
    test->Wait(kBeforePowerLoss);
    test->Record("all machines lose power");
    test->cluster()->CutPower();
    test->Wait(kBeforeCrash);
    test->worker(3)->Crash();
    test->Wait(kWithoutPower - kBeforeCrash);
    test->Record("all machines are back");
    if (!test->cluster()->StartMachines()) return kCannotRun;
    WaitUntil(traffic_ended_at + kFinish);
    test->Record("finish_s after the end of the traffic");
    if (!CaseCluster::WaitFor(kIdle, [&] { return test->is_running(); }) &&
        test->State() != "completed") {
      test->ReportBreak("LOST: the job had nothing running for 3 s");
    }
  }
  if (!CaseCluster::WaitFor(kEndLimit,
                            [&] { return test->State() == "completed"; })) {
    test->ReportBreak("LOST: the job isn't completed");
  }
  return test->Finish();
}

// A start of a placer that is killed gets no answer. Its worker crashes, starts
// again under its id, and executes it while the new placer can't reach it.
int RunLateTakeover(Case* test, bool has_trouble) {
  constexpr Milliseconds kTaskDuration{20'000};
  constexpr Milliseconds kFromOrderToCrash{200};
  constexpr Milliseconds kDown{5'900};
  constexpr Milliseconds kCut{5'500};
  constexpr Milliseconds kLateExecution{7'000};  // after the order
  constexpr Milliseconds kEndLimit{60'000};
  CaseWorker* const victim = test->worker(0);
  test->SetDuration(kTaskDuration);
  Time ordered_at{};
  test->observer()->withholds_start = [&](const std::string& task,
                                          const std::string& worker) {
    if (!has_trouble || ordered_at != Time{} || worker != victim->id() ||
        !task.starts_with(kJob)) {
      return false;
    }
    ordered_at = Now();
    return true;
  };
  const int leader = test->cluster()->Leader();
  if (leader < 0 || !test->Submit(SingleTaskJob(kTaskDuration).dump())) {
    return kCannotRun;
  }
  if (has_trouble) {
    if (!CaseCluster::WaitFor(kStartLimit,
                              [&] { return ordered_at != Time{}; })) {
      return kCannotRun;
    }
    WaitUntil(ordered_at + kFromOrderToCrash);
    const Time crash_at = Now();
    victim->Crash();
    test->Record("the placer of machine " + std::to_string(leader) +
                 " is killed");
    test->cluster()->KillPlacer(leader);
    WaitUntil(crash_at + kDown);
    if (!victim->Begin()) return kCannotRun;
    test->Record("worker " + victim->id() + " is cut off from all machines");
    victim->SetCut([](uint64_t) { return true; });
    test->SetNextHeartbeat(victim, Now());
    WaitUntil(ordered_at + kLateExecution);
    victim->ExecuteLate(victim->withheld_order());
    WaitUntil(crash_at + kDown + kCut);
    test->Record("the cut ends");
    victim->SetCut(nullptr);
  }
  if (!CaseCluster::WaitFor(kEndLimit,
                            [&] { return test->State() == "completed"; })) {
    test->ReportBreak("LOST: the job isn't completed");
  }
  return test->Finish();
}

// A region is cut off with the leading placer and five of eight workers. In the
// other one two workers are added, and the next placer is killed.
int RunSplit(Case* test, bool has_trouble) {
  constexpr Milliseconds kTaskDuration{18'000};
  constexpr size_t kWorkersOfRegion = 5;
  constexpr size_t kFirstAdded = 8;
  constexpr Milliseconds kUntilAdded{300};
  constexpr Milliseconds kUntilKilled{1'200};
  constexpr Milliseconds kSplit{15'000};
  constexpr Milliseconds kEndLimit{60'000};
  test->SetDuration(kTaskDuration);
  const int leader = test->cluster()->Leader();
  if (leader < 0 || !test->Submit(SingleTaskJob(kTaskDuration).dump())) {
    return kCannotRun;
  }
  if (!CaseCluster::WaitFor(kStartLimit,
                            [&] { return test->worker(0)->is_busy(); })) {
    return kCannotRun;
  }
  test->Wait(Milliseconds(2'000));
  if (has_trouble) {
    const uint64_t fence = test->worker(0)->highest_fence();
    const Time split_at = Now();
    test->Record("the region of machine " + std::to_string(leader) +
                 " is cut off, with workers i-0 to i-4");
    test->cluster()->SetStoreCut(leader, true);
    for (size_t i = 0; i < kFirstAdded; ++i) {
      const bool is_in_region = i < kWorkersOfRegion;
      test->worker(i)->SetCut([fence, is_in_region](uint64_t caller) {
        return is_in_region ? caller > fence : caller <= fence;
      });
      if (is_in_region) test->SetNextHeartbeat(test->worker(i), Now() + kSplit);
    }
    int next = -1;
    if (!CaseCluster::WaitFor(kStartLimit, [&] {
          next = test->cluster()->Leader(leader);
          return next >= 0;
        })) {
      return kCannotRun;
    }
    test->Record("the placer of machine " + std::to_string(next) + " leads");
    test->Wait(kUntilAdded);
    for (size_t i = kFirstAdded; i < test->workers(); ++i) {
      if (!test->worker(i)->Begin()) return kCannotRun;
      test->worker(i)->SetCut(
          [fence](uint64_t caller) { return caller <= fence; });
      test->SetNextHeartbeat(test->worker(i), Now());
    }
    test->Wait(kUntilKilled);
    test->Record("the placer of machine " + std::to_string(next) +
                 " is killed");
    test->cluster()->KillPlacer(next);
    WaitUntil(split_at + kSplit);
    test->Record("the split ends");
    test->cluster()->SetStoreCut(leader, false);
    for (size_t i = 0; i < test->workers(); ++i) {
      test->worker(i)->SetCut(nullptr);
    }
  }
  if (!CaseCluster::WaitFor(kEndLimit,
                            [&] { return test->State() == "completed"; })) {
    test->ReportBreak("LOST: the job isn't completed");
  }
  return test->Finish();
}

// A gang whose tasks request nothing, so that the fields are omitted.
int RunSizelessGang(Case* test, bool has_trouble) {
  constexpr Milliseconds kTaskDuration{800};
  constexpr Milliseconds kStartLimitOfRule{3'000};
  constexpr Milliseconds kObserved{20'000};
  test->SetDuration(kTaskDuration);
  const std::string prefix = std::string(kJob) + ".0.0.";
  test->SetGang({prefix + "0", prefix + "1"});
  Json step = {{"count", 2},
               {"gang-scheduled", true},
               {"estimated-duration-ms", kTaskDuration.count()}};
  if (!has_trouble) {
    step["cpu"] = 500;
    step["task-memory-mb"] = 100;
  }
  if (!test->Submit(Json{{"specification", "x"}, {"steps", {step}}}.dump())) {
    return kCannotRun;
  }
  if (!CaseCluster::WaitFor(kObserved,
                            [&] { return test->State() == "completed"; }) &&
      test->runs_begun() == 0) {
    test->ReportBreak(
        "LOST: nothing ran within " + std::to_string(kObserved.count()) +
        " ms; " + std::to_string(kStartLimitOfRule.count()) + " are allowed");
  }
  return test->Finish();
}

int Run(const std::string& name, const std::string& programs,
        const std::string& record, bool has_trouble) {
  constexpr int kMachines = 3;
  constexpr int kWorkers = 8;
  constexpr int kAddedWorkers = 2;
  Case test(programs, kMachines, kWorkers, kAddedWorkers, record);
  test.Record("case " + name + (has_trouble ? "" : ", without the disruption"));
  if (!test.Start()) {
    test.Record("can't run: the product or a stand-in doesn't start");
    return kCannotRun;
  }
  test.Record("all workers are polled");
  if (name == "late-start") return RunLateStart(&test, has_trouble);
  if (name == "late-takeover") return RunLateTakeover(&test, has_trouble);
  if (name == "split") return RunSplit(&test, has_trouble);
  if (name == "power-loss") return RunPowerLoss(&test, has_trouble);
  if (name == "sizeless-gang") return RunSizelessGang(&test, has_trouble);
  return kCannotRun;
}

}  // namespace
}  // namespace quetzal::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review-case CASE PROGRAMS RECORD\n";
    return quetzal::review::kCannotRun;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  return quetzal::review::Run(argv[1], argv[2], argv[3], has_trouble);
}
