#include "worker.h"

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
// `hold-max-ms` of the sites.
constexpr int64_t kMaxLeaseMs = 6'000;
constexpr Milliseconds kLeaseCheckInterval{50};
constexpr size_t kMaxEndsInAnswer = 500;
constexpr int64_t kMicrosecondsInMillisecond = 1'000;
constexpr int64_t kAllPercent = 100;
constexpr int64_t kCoreMilli = 1'000;
// Of a task without a set length, until it is at work.
constexpr Milliseconds kStartup{200};

Json Refusal(const char* reason, int* status) {
  *status = kConflict;
  return {{"reason", reason}};
}

}  // namespace

Worker::Worker(std::string id, std::string kind, Observer observer)
    : id_(std::move(id)),
      kind_(std::move(kind)),
      observer_(std::move(observer)),
      began_(Now()),
      born_ms_(g_get_real_time() / kMicrosecondsInMillisecond) {}

bool Worker::Listen(int port) {
  address_ = "127.0.0.1:" + std::to_string(port);
  server_ = ListenForHttp(
      address_, {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  if (!server_) return false;
  RunEvery(kLeaseCheckInterval, [this] { CheckLease(); });
  return true;
}

void Worker::Vanish() {
  server_.reset();
  running_.clear();
  waiting_polls_.clear();
  observer_({.worker = id_, .what = "lost for good"});
}

int64_t Worker::ClockMs() const { return (Now() - began_).count() + 1; }

Json Worker::Entry() const {
  return {{"service", "desk"},
          {"address", address_},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-remaining-ms", 0},
          {"capacity",
           {{"cpu", kCoreMilli * kMaxTasks},
            {"task-memory-mb", 4'096},
            {"gpu", 0}}},
          {"labels", {kind_, "r1"}},
          {"born", born_ms_},
          {"sequence", ClockMs()}};
}

bool Worker::Fail(const std::string& task) {
  const auto found = running_.find(task);
  if (found == running_.end()) return false;
  End(task, found->second.serial, "failed");
  return true;
}

int Worker::RunningTasksOf(const std::string& job) const {
  return static_cast<int>(std::count_if(
      running_.begin(), running_.end(),
      [&](const auto& run) { return run.first.starts_with(job + "."); }));
}

void Worker::ExtendLease(int64_t until_ms) {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until_ms, ClockMs() + kMaxLeaseMs));
}

void Worker::CheckLease() {
  if (ClockMs() <= lease_until_ms_) return;
  const auto expired = running_;
  for (const auto& [task, run] : expired) End(task, run.serial, "lapsed");
}

bool Worker::IsFenced(const Json& order) {
  const uint64_t fence = order.value("fencing-token", uint64_t{0});
  if (fence < highest_fence_) return true;
  highest_fence_ = fence;
  return false;
}

void Worker::OnRequest(HttpCallId call, const HttpRequest& request) {
  CheckLease();
  const auto instance = request.headers.find("x-expected-instance");
  if (instance != request.headers.end() && instance->second != id_) {
    server_->Reply(call, {.status = kOtherInstance, .body = "{}"});
    return;
  }
  const Json order = Json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    server_->Reply(call, {.status = kBadRequest, .body = "{}"});
    return;
  }
  if (request.path == "/hold") {
    Poll(call, order);
    return;
  }
  const bool is_start = request.path == "/run-start";
  int status = kOk;
  Json body = Json::object();
  if (is_start) {
    body = Start(order, &status);
  } else if (request.path == "/run-stop") {
    body = Stop(order, &status);
  } else if (request.path != "/pace") {
    status = kNotFound;
  }
  body["clock-ms"] = ClockMs();
  observer_({.worker = id_,
             .what = is_start ? "start" : "stop",
             .task = order.value("task", ""),
             .run = order.value("run", int64_t{0}),
             .has_ticket = order.contains("ticket"),
             .status = status,
             .answer = body.dump()});
  server_->Reply(call, {.status = status, .body = body.dump()});
}

Json Worker::Start(const Json& order, int* status) {
  if (IsFenced(order)) return Refusal("fence", status);
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    return Json::object();
  }
  const int64_t until = order.at("deadline-ms").get<int64_t>();
  if (highest_ended_run_[task] >= number) {
    ExtendLease(until);
    return Refusal("old", status);
  }
  if (until < ClockMs()) return Refusal("late", status);
  if (order.value("ticket", "") != "t-" + id_) {
    return Refusal("ticket", status);
  }
  ExtendLease(until);
  const uint64_t serial = next_serial_++;
  const Milliseconds length(static_cast<int64_t>(
      g_ascii_strtoull(order.value("specification", "").c_str(), nullptr, 10)));
  running_[task] = {number, serial, Now(), length};
  if (length.count() > 0) {
    RunAfter(length, [this, task, serial] { End(task, serial, "done"); });
  }
  return Json::object();
}

Json Worker::Stop(const Json& order, int* status) {
  if (IsFenced(order)) return Refusal("fence", status);
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  int64_t& highest = highest_ended_run_[task];
  highest = std::max(highest, number);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number <= number) {
    End(task, found->second.serial, "stopped");
  }
  return Json::object();
}

void Worker::End(const std::string& task, uint64_t serial,
                 const std::string& how) {
  const auto found = running_.find(task);
  if (found == running_.end() || found->second.serial != serial) return;
  const int64_t number = found->second.number;
  running_.erase(found);
  int64_t& highest = highest_ended_run_[task];
  highest = std::max(highest, number);
  ended_.push_back(Json::array({next_end_++, task, number, how, ""}));
  observer_({.worker = id_, .what = how, .task = task, .run = number});
  for (const HttpCallId call : std::exchange(waiting_polls_, {})) {
    AnswerPoll(call);
  }
}

void Worker::Poll(HttpCallId call, const Json& order) {
  if (IsFenced(order)) {
    server_->Reply(
        call,
        {.status = kConflict,
         .body = Json{{"reason", "fence"}, {"clock-ms", ClockMs()}}.dump()});
    return;
  }
  ExtendLease(order.value("deadline-ms", int64_t{0}));
  const int64_t last_seen = order.value("last-seen", int64_t{0});
  while (!ended_.empty() && ended_.front().at(0).get<int64_t>() <= last_seen) {
    ended_.pop_front();
  }
  const Milliseconds wait(order.value("wait-ms", int64_t{0}));
  if (!ended_.empty() || wait.count() == 0) {
    AnswerPoll(call);
    return;
  }
  waiting_polls_.push_back(call);
  RunAfter(wait, [this, call] {
    if (std::erase(waiting_polls_, call) > 0) AnswerPoll(call);
  });
}

void Worker::AnswerPoll(HttpCallId call) {
  if (!server_) return;
  Json running = Json::array();
  for (const auto& [task, run] : running_) {
    const Milliseconds length = run.length.count() > 0 ? run.length : kStartup;
    const int64_t percent =
        std::min(kAllPercent,
                 (Now() - run.began).count() * kAllPercent / length.count());
    running.push_back(Json::array({task, run.number, "", percent, 0}));
  }
  Json ended = Json::array();
  for (const Json& row : ended_) {
    if (ended.size() < kMaxEndsInAnswer) ended.push_back(row);
  }
  server_->Reply(call, {.body = Json{{"clock-ms", ClockMs()},
                                     {"born", born_ms_},
                                     {"running", std::move(running)},
                                     {"finished", std::move(ended)}}
                                    .dump()});
}

}  // namespace quetzal::review
