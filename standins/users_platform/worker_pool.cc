#include "standins/users_platform/worker_pool.h"

#include <glib.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::standin {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr size_t kMaxTasks = 4;  // at a time, whatever their size
constexpr int64_t kTaskCpuMilli = 1'000;
constexpr Milliseconds kLeaseCheckInterval{100};
// The platform's `hold-max-ms`.
constexpr int64_t kMaxLeaseMs = 3'000;

Json MakeRefusal(const char* reason, int* status) {
  *status = kConflict;
  return {{"reason", reason}};
}

}  // namespace

PoolWorker::PoolWorker(std::string id, Judgement* judgement)
    : id_(std::move(id)),
      judgement_(judgement),
      started_at_ms_(g_get_real_time() / 1'000) {}

bool PoolWorker::Listen(int port, int link_port) {
  server_ = ListenForHttp(
      "127.0.0.1:" + std::to_string(port), {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  if (!server_) return false;
  address_ = "127.0.0.1:" + std::to_string(link_port);
  RunEvery(kLeaseCheckInterval, [this] { CheckLease(); });
  return true;
}

void PoolWorker::Crash() {
  server_.reset();
  pending_polls_.clear();
  for (const auto& [task, run] : std::exchange(running_, {})) {
    --judgement_->running[task];
  }
  // Nobody can take note of these ends any more.
  for (const std::string& task : std::exchange(unacknowledged_done_, {})) {
    judgement_->done.erase(task);
  }
}

void PoolWorker::ExtendLease(int64_t until_ms) {
  lease_expires_at_ms_ = std::max(lease_expires_at_ms_,
                                  std::min(until_ms, ClockMs() + kMaxLeaseMs));
}

void PoolWorker::CheckLease() {
  if (ClockMs() <= lease_expires_at_ms_) return;
  for (const std::string& task : std::exchange(unacknowledged_done_, {})) {
    judgement_->done.erase(task);
  }
  const auto expired = running_;
  for (const auto& [task, run] : expired) End(task, run.serial, "lapsed");
}

int64_t PoolWorker::ClockMs() const {
  return g_get_real_time() / 1'000 - started_at_ms_ + 1;
}

Json PoolWorker::Entry() const {
  return {{"service", "desk"},
          {"address", address_},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-remaining-ms", 0},
          {"capacity",
           {{"cpu", kTaskCpuMilli * static_cast<int64_t>(kMaxTasks)},
            {"task-memory-mb", 4'096},
            {"gpu", 0}}},
          {"labels", {"k", "r1"}},
          {"born", started_at_ms_},
          {"sequence", ClockMs()}};
}

void PoolWorker::OnRequest(HttpCallId call, const HttpRequest& request) {
  CheckLease();
  const Json order = Json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    server_->Reply(call, {.status = kBadRequest});
    return;
  }
  if (request.path == "/hold") {
    judgement_->polled.insert(id_);
    Poll(call, order);
    return;
  }
  int status = kOk;
  Json body = Json::object();
  if (request.path == "/run-start") {
    body = Start(order, &status);
  } else if (request.path == "/run-stop") {
    body = Stop(order, &status);
  } else {
    status = kNotFound;
  }
  body["clock-ms"] = ClockMs();
  server_->Reply(call, {.status = status, .body = body.dump()});
}

bool PoolWorker::IsFenced(const Json& order) {
  const uint64_t fence = order.value("fencing-token", uint64_t{0});
  if (fence < highest_fence_) {
    ++judgement_->fenced;
    return true;
  }
  highest_fence_ = fence;
  return false;
}

Json PoolWorker::Start(const Json& order, int* status) {
  if (IsFenced(order)) return MakeRefusal("fence", status);
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    return Json::object();
  }
  if (highest_ended_run_[task] >= number) return MakeRefusal("old", status);
  const int64_t until = order.at("deadline-ms").get<int64_t>();
  if (until < ClockMs()) return MakeRefusal("late", status);
  if (order.value("ticket", "") != "t-" + id_) {
    return MakeRefusal("ticket", status);
  }
  ExtendLease(until);
  const auto count = [&](const char* rule, bool is_broken, int* counter) {
    if (!is_broken) return;
    ++*counter;
    LOG(ERROR) << rule << ": " << task << " run " << number << " on " << id_
               << " born " << started_at_ms_ << " by fence " << highest_fence_;
  };
  count("started twice", ++judgement_->running[task] > 1,
        &judgement_->started_twice);
  count("started after end", judgement_->done.contains(task),
        &judgement_->started_after_end);
  judgement_->started.insert(task);
  const uint64_t serial = next_serial_++;
  running_[task] = {number, serial};
  count("over capacity", running_.size() > kMaxTasks,
        &judgement_->over_capacity);
  const std::string specification = order.value("specification", "");
  const auto run_ms = static_cast<int64_t>(
      g_ascii_strtoull(specification.c_str(), nullptr, 10));
  const bool fails = specification.find("fail") != std::string::npos;
  RunAfter(Milliseconds(run_ms), [this, task, serial, fails] {
    End(task, serial, fails ? "failed" : "done");
  });
  return Json::object();
}

Json PoolWorker::Stop(const Json& order, int* status) {
  if (IsFenced(order)) return MakeRefusal("fence", status);
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

void PoolWorker::End(const std::string& task, uint64_t serial,
                     const std::string& outcome) {
  const auto found = running_.find(task);
  if (found == running_.end() || found->second.serial != serial) return;
  const int64_t number = found->second.number;
  running_.erase(found);
  --judgement_->running[task];
  if (outcome == "done" && judgement_->done.insert(task).second) {
    unacknowledged_done_.insert(task);
  }
  int64_t& highest = highest_ended_run_[task];
  highest = std::max(highest, number);
  ended_.push_back(
      Json::array({next_end_number_++, task, number, outcome, ""}));
  for (const HttpCallId call : std::exchange(pending_polls_, {})) {
    AnswerPoll(call);
  }
}

void PoolWorker::Poll(HttpCallId call, const Json& order) {
  if (IsFenced(order)) {
    server_->Reply(
        call,
        {.status = kConflict,
         .body = Json{{"reason", "fence"}, {"clock-ms", ClockMs()}}.dump()});
    return;
  }
  ExtendLease(order.value("deadline-ms", int64_t{0}));
  const int64_t acknowledged = order.value("last-seen", int64_t{0});
  while (!ended_.empty() &&
         ended_.front().at(0).get<int64_t>() <= acknowledged) {
    unacknowledged_done_.erase(ended_.front().at(1).get<std::string>());
    ended_.pop_front();
  }
  const Milliseconds wait(order.value("wait-ms", int64_t{0}));
  if (!ended_.empty() || wait.count() == 0) {
    AnswerPoll(call);
    return;
  }
  pending_polls_.push_back(call);
  RunAfter(wait, [this, call] {
    const auto found =
        std::find(pending_polls_.begin(), pending_polls_.end(), call);
    if (found == pending_polls_.end()) return;
    pending_polls_.erase(found);
    AnswerPoll(call);
  });
}

void PoolWorker::AnswerPoll(HttpCallId call) {
  Json running = Json::array();
  for (const auto& [task, run] : running_) {
    running.push_back(Json::array({task, run.number, "", 0}));
  }
  server_->Reply(call, {.body = Json{{"clock-ms", ClockMs()},
                                     {"born", started_at_ms_},
                                     {"running", std::move(running)},
                                     {"finished", ended_}}
                                    .dump()});
}

}  // namespace quetzal::standin
