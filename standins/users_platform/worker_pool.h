// Workers of the users' platform: they accept starts, stops and polls, and
// count the orders that break a guarantee of the scheduler.
//
// A task's specification sets its run time and outcome: "RUN_MS" or
// "RUN_MS fail".
#ifndef STANDINS_USERS_PLATFORM_WORKER_POOL_H_
#define STANDINS_USERS_PLATFORM_WORKER_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "quetzal/http/http.h"
#include "quetzal/ids/ids.h"

namespace quetzal::standin {

// Tasks that ran on any worker, and counts of orders that break a guarantee.
// All workers share one instance.
struct Judgement {
  std::map<std::string, int> running;  // runs of a task, over all workers
  // Without ends that weren't acknowledged before their worker's lease expired:
  // these don't count, and the task may run again.
  std::set<std::string> done;
  std::set<std::string> started;
  std::set<std::string> polled;  // ids of workers
  int started_twice = 0;         // starts while another run of the task runs
  int started_after_end = 0;     // starts after a run of the task is done
  int over_capacity = 0;
  int fenced = 0;  // orders of a placer that has been replaced by another
};

class PoolWorker {
 public:
  PoolWorker(std::string id, Judgement* judgement);
  // Listens on `port`; the worker's entry names `link_port`.
  bool Listen(int port, int link_port);
  // Ends all runs and stops listening for good, as the process's end would.
  void Crash();
  const std::string& id() const { return id_; }
  nlohmann::json Entry() const;

 private:
  struct Run {
    int64_t number = 0;
    uint64_t serial = 0;  // distinguishes a run from later runs of the task
  };
  struct Waiting {
    HttpCallId call{};
    int64_t last_seen = 0;
  };

  void OnRequest(HttpCallId call, const HttpRequest& request);
  nlohmann::json Start(const nlohmann::json& order, int* status);
  nlohmann::json Stop(const nlohmann::json& order, int* status);
  void Poll(HttpCallId call, const nlohmann::json& order);
  void End(const std::string& task, uint64_t serial,
           const std::string& outcome);
  void AnswerPoll(HttpCallId call);
  // Ends all runs if the lease has expired.
  void CheckLease();
  void ExtendLease(int64_t until_ms);
  bool IsFenced(const nlohmann::json& order);
  int64_t ClockMs() const;

  std::string id_;
  Judgement* judgement_;
  std::unique_ptr<HttpServer> server_;
  int64_t started_at_ms_;
  std::string address_;
  uint64_t highest_fence_ = 0;
  uint64_t next_serial_ = 1;
  int64_t next_end_number_ = 1;
  int64_t lease_expires_at_ms_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> highest_ended_run_;
  std::deque<nlohmann::json> ended_;  // not acknowledged yet
  std::set<std::string>
      unacknowledged_done_;  // tasks of `ended_` that are done
  std::vector<HttpCallId> pending_polls_;
};

}  // namespace quetzal::standin

#endif  // STANDINS_USERS_PLATFORM_WORKER_POOL_H_
