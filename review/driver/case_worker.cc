#include "review/driver/case_worker.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::review {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;
constexpr int64_t kHoldMaxMs = 6'000;  // the bound `hold-max-ms`
constexpr int64_t kMaxWaitMs = 2'000;
constexpr Milliseconds kLeaseCheckInterval{20};
constexpr int kDonePercent = 100;
constexpr int64_t kCpuMilli = 16'000;
constexpr int64_t kMemoryMb = 32'000;
constexpr int64_t kMicrosecondsInMillisecond = 1'000;

Json Refusal(const char* reason, int* status) {
  *status = kConflict;
  return {{"reason", reason}};
}

}  // namespace

CaseWorker::CaseWorker(CaseWorkerSettings settings,
                       const WorkerObserver* observer)
    : settings_(std::move(settings)), observer_(observer) {}

bool CaseWorker::Begin() {
  server_ = ListenForHttp(
      "127.0.0.1:" + std::to_string(settings_.port), {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  if (!server_) return false;
  born_ms_ = g_get_real_time() / kMicrosecondsInMillisecond;
  began_at_ = Now();
  highest_fence_ = 0;
  next_end_ = 1;
  lease_until_ms_ = 0;
  polls_ = 0;
  highest_ended_run_.clear();
  ends_.clear();
  if (life_++ == 0) {
    RunEvery(kLeaseCheckInterval, [this] { CheckLease(); });
  }
  Record("begins its life " + std::to_string(life_));
  return true;
}

void CaseWorker::Crash() {
  Record("crashes");
  server_.reset();
  waiting_polls_.clear();
  for (const auto& [task, run] : std::exchange(runs_, {})) {
    Record("loses " + task + " run " + std::to_string(run.number));
    observer_->on_run_ended(task, settings_.id);
  }
}

void CaseWorker::ExecuteLate(const Json& order) {
  if (!is_up()) {
    Record("is down: the withheld order is lost");
    return;
  }
  int status = kOk;
  const Json body = Start(order, &status);
  Record("executes the withheld order: " + std::to_string(status) + " " +
         body.dump());
}

void CaseWorker::SetCut(std::function<bool(uint64_t fence)> is_cut_from) {
  is_cut_from_ = std::move(is_cut_from);
}

bool CaseWorker::IsCutFrom(uint64_t fence) const {
  return is_cut_from_ && is_cut_from_(fence);
}

void CaseWorker::BeginWork(const std::string& task) {
  const auto found = runs_.find(task);
  if (found == runs_.end() || found->second.is_working) return;
  found->second.is_working = true;
  found->second.works_since = Now();
  const uint64_t serial = found->second.serial;
  RunAfter(observer_->duration_of(task), [this, task, serial] {
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.serial == serial) {
      EndRun(task, "done");
    }
  });
}

void CaseWorker::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  const int64_t number = found->second.number;
  runs_.erase(found);
  int64_t& highest = highest_ended_run_[task];
  highest = std::max(highest, number);
  ends_.push_back(Json::array({next_end_++, task, number, how, ""}));
  Record("ends " + task + " run " + std::to_string(number) + ": " + how);
  observer_->on_run_ended(task, settings_.id);
  for (const WaitingPoll& poll : std::exchange(waiting_polls_, {})) {
    AnswerPoll(poll);
  }
}

std::string CaseWorker::Entry() const {
  return Json{{"service", "desk"},
              {"address", "127.0.0.1:" + std::to_string(settings_.port)},
              {"zone", "a"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold-remaining-ms", 0},
              {"capacity",
               {{"cpu", kCpuMilli}, {"task-memory-mb", kMemoryMb}, {"gpu", 0}}},
              {"labels", {"a", settings_.rack}},
              {"born", born_ms_},
              {"sequence", ClockMs()}}
      .dump();
}

void CaseWorker::OnRequest(HttpCallId call, const HttpRequest& request) {
  CheckLease();
  const auto expected = request.headers.find("x-expected-instance");
  if (expected != request.headers.end() && expected->second != settings_.id) {
    server_->Reply(call, {.status = kOtherInstance, .body = "{}"});
    return;
  }
  const Json order = Json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    server_->Reply(call, {.status = kBadRequest, .body = "{}"});
    return;
  }
  if (IsCutFrom(order.value("fencing-token", uint64_t{0}))) return;
  if (request.path == "/hold") {
    Poll(call, order);
    return;
  }
  int status = kOk;
  Json body = Json::object();
  if (request.path == "/run-start") {
    const std::string task = order.at("task").get<std::string>();
    if (observer_->withholds_start(task, settings_.id)) {
      Record("start of " + task + " run " + order.at("run").dump() +
             ": withheld by the network, no answer");
      withheld_order_ = order;
      return;
    }
    body = Start(order, &status);
  } else if (request.path == "/run-stop") {
    body = Stop(order, &status);
  } else if (request.path != "/pace") {
    status = kNotFound;
  }
  Record(request.path + " " + order.value("task", "") + " run " +
         std::to_string(order.value("run", int64_t{0})) + ": " +
         std::to_string(status) + " " + body.dump());
  body["clock-ms"] = ClockMs();
  server_->Reply(call, {.status = status, .body = body.dump()});
}

bool CaseWorker::IsFenced(const Json& order) {
  const uint64_t fence = order.value("fencing-token", uint64_t{0});
  if (fence < highest_fence_) return true;
  highest_fence_ = fence;
  return false;
}

Json CaseWorker::Start(const Json& order, int* status) {
  if (IsFenced(order)) return Refusal("fence", status);
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.number == number) {
    return Json::object();
  }
  const int64_t until = order.at("deadline-ms").get<int64_t>();
  if (highest_ended_run_[task] >= number) {
    ExtendLease(until);
    return Refusal("old", status);
  }
  if (until < ClockMs()) return Refusal("late", status);
  ExtendLease(until);
  observer_->on_run_begins(task, settings_.id);
  runs_[task] = {.number = number, .serial = next_serial_++};
  Record("runs " + task + " run " + std::to_string(number));
  const std::vector<std::string> gang = observer_->gang_of(task);
  if (gang.empty()) BeginWork(task);
  return Json::object();
}

Json CaseWorker::Stop(const Json& order, int* status) {
  if (IsFenced(order)) return Refusal("fence", status);
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  int64_t& highest = highest_ended_run_[task];
  highest = std::max(highest, number);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.number <= number) {
    EndRun(task, "stopped");
  }
  return Json::object();
}

void CaseWorker::Poll(HttpCallId call, const Json& order) {
  ++polls_;
  last_poll_at_ = Now();
  if (IsFenced(order)) {
    Json body = {{"reason", "fence"}, {"clock-ms", ClockMs()}};
    server_->Reply(call, {.status = kConflict, .body = body.dump()});
    return;
  }
  ExtendLease(order.value("deadline-ms", int64_t{0}));
  const int64_t acknowledged = order.value("last-seen", int64_t{0});
  while (!ends_.empty() && ends_.front().at(0).get<int64_t>() <= acknowledged) {
    ends_.pop_front();
  }
  const WaitingPoll poll{call, order.value("fencing-token", uint64_t{0})};
  const int64_t wait_ms =
      std::min(kMaxWaitMs, order.value("wait-ms", int64_t{0}));
  if (!ends_.empty() || wait_ms == 0) {
    AnswerPoll(poll);
    return;
  }
  waiting_polls_.push_back(poll);
  RunAfter(Milliseconds(wait_ms), [this, poll, life = life_] {
    if (life != life_) return;
    const auto found = std::find_if(
        waiting_polls_.begin(), waiting_polls_.end(),
        [&](const WaitingPoll& each) { return each.call == poll.call; });
    if (found == waiting_polls_.end()) return;
    waiting_polls_.erase(found);
    AnswerPoll(poll);
  });
}

void CaseWorker::AnswerPoll(const WaitingPoll& poll) {
  if (!is_up() || IsCutFrom(poll.fence)) return;
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back(
        Json::array({task, run.number, "", Percent(task, run), 0}));
  }
  const Json body = {{"clock-ms", ClockMs()},
                     {"born", born_ms_},
                     {"running", running},
                     {"finished", ends_}};
  server_->Reply(poll.call, {.body = body.dump()});
}

void CaseWorker::ExtendLease(int64_t until_ms) {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until_ms, ClockMs() + kHoldMaxMs));
}

void CaseWorker::CheckLease() {
  if (!is_up() || ClockMs() <= lease_until_ms_) return;
  std::vector<std::string> tasks;
  for (const auto& [task, run] : runs_) tasks.push_back(task);
  for (const std::string& task : tasks) EndRun(task, "lapsed");
}

int CaseWorker::Percent(const std::string& task, const Run& run) const {
  if (!run.is_working) return 0;
  const auto percent = kDonePercent * (Now() - run.works_since).count() /
                       observer_->duration_of(task).count();
  return static_cast<int>(std::min<int64_t>(kDonePercent, percent));
}

int64_t CaseWorker::ClockMs() const { return (Now() - began_at_).count() + 1; }

void CaseWorker::Record(const std::string& line) const {
  observer_->record("worker " + settings_.id + " life " +
                    std::to_string(life_) + ": " + line);
}

}  // namespace quetzal::review
