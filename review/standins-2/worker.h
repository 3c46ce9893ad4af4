// A worker as the users' pages describe it, in this process. It takes starts
// only with its ticket, and keeps fences, leases and the list of ends.
//
// A task's specification is how long it runs, in milliseconds; with 0 it runs
// until it is ended.
#ifndef REVIEW_STANDINS_2_WORKER_H_
#define REVIEW_STANDINS_2_WORKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzal/http/http.h"
#include "quetzal/ids/ids.h"

namespace quetzal::review {

// What a worker did on an order; `answer` is the order's.
struct WorkerEvent {
  std::string worker;
  std::string what;  // "start", "stop" or how a run ended
  std::string task;
  int64_t run = 0;
  bool has_ticket = false;
  int status = 0;
  std::string answer;
};

class Worker {
 public:
  using Observer = std::function<void(const WorkerEvent&)>;
  // By its entry, each task takes one core.
  static constexpr int kMaxTasks = 4;

  // `kind` is its label beside that of its rack.
  Worker(std::string id, std::string kind, Observer observer);

  bool Listen(int port);
  // It is lost for good: nothing runs and nothing is answered any more.
  void Vanish();
  bool is_lost() const { return server_ == nullptr; }
  const std::string& id() const { return id_; }
  nlohmann::json Entry() const;
  // Has a running task fail; false if the worker doesn't run it.
  bool Fail(const std::string& task);
  int RunningTasksOf(const std::string& job) const;
  int RunningTasks() const { return static_cast<int>(running_.size()); }

 private:
  struct Run {
    int64_t number = 0;
    uint64_t serial = 0;  // distinguishes a run from later ones of the task
    Time began;
    Milliseconds length{0};
  };

  void OnRequest(HttpCallId call, const HttpRequest& request);
  nlohmann::json Start(const nlohmann::json& order, int* status);
  nlohmann::json Stop(const nlohmann::json& order, int* status);
  void Poll(HttpCallId call, const nlohmann::json& order);
  void AnswerPoll(HttpCallId call);
  void End(const std::string& task, uint64_t serial, const std::string& how);
  void ExtendLease(int64_t until_ms);
  void CheckLease();
  bool IsFenced(const nlohmann::json& order);
  int64_t ClockMs() const;

  std::string id_;
  std::string kind_;
  Observer observer_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
  Time began_;
  int64_t born_ms_;
  uint64_t highest_fence_ = 0;
  uint64_t next_serial_ = 1;
  int64_t next_end_ = 1;
  int64_t lease_until_ms_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> highest_ended_run_;
  std::deque<nlohmann::json> ended_;  // not acknowledged yet
  std::vector<HttpCallId> waiting_polls_;
};

}  // namespace quetzal::review

#endif  // REVIEW_STANDINS_2_WORKER_H_
