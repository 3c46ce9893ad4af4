// A worker of the users' platform, as the pages describe it: one id, several
// lives. Between the placers and the worker stands a network that can withhold
// a start and deliver it seconds later.
#ifndef REVIEW_DRIVER_CASE_WORKER_H_
#define REVIEW_DRIVER_CASE_WORKER_H_

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

// What workers tell the case about their runs.
struct WorkerObserver {
  std::function<void(const std::string& line)> record;
  // Called before the run begins.
  std::function<void(const std::string& task, const std::string& worker)>
      on_run_begins;
  std::function<void(const std::string& task, const std::string& worker)>
      on_run_ended;
  // How long a run of the task takes.
  std::function<Milliseconds(const std::string& task)> duration_of;
  // All tasks of the task's gang; empty if it belongs to none.
  std::function<std::vector<std::string>(const std::string& task)> gang_of;
  // Whether a run of the task is present on any worker.
  std::function<bool(const std::string& task)> is_present;
  // True if the network withholds the start from its worker.
  std::function<bool(const std::string& task, const std::string& worker)>
      withholds_start;
};

struct CaseWorkerSettings {
  std::string id;
  std::string rack;
  int port = 0;
};

class CaseWorker {
 public:
  CaseWorker(CaseWorkerSettings settings, const WorkerObserver* observer);

  // Begins a life: it knows of nothing before. False if it can't listen.
  bool Begin();
  // Ends the life: runs and connections are gone.
  void Crash();
  bool is_up() const { return server_ != nullptr; }
  // Executes an order that the network withheld, on the present life.
  void ExecuteLate(const nlohmann::json& order);
  // While it is cut off from the callers with such a fencing token, their calls
  // get no answer and aren't executed.
  void SetCut(std::function<bool(uint64_t fence)> is_cut_from);
  // Begins the work of a gang's member once the others are present.
  void BeginWork(const std::string& task);
  void EndRun(const std::string& task, const std::string& how);

  std::string Entry() const;
  const std::string& id() const { return settings_.id; }
  bool is_busy() const { return !runs_.empty(); }
  // Of all orders that this life has executed.
  uint64_t highest_fence() const { return highest_fence_; }
  // Of this life.
  int polls() const { return polls_; }
  Time last_poll_at() const { return last_poll_at_; }
  const nlohmann::json& withheld_order() const { return withheld_order_; }

 private:
  struct Run {
    int64_t number = 0;
    uint64_t serial = 0;  // distinguishes it from later runs of the task
    Time works_since{};
    bool is_working = false;
  };

  void OnRequest(HttpCallId call, const HttpRequest& request);
  nlohmann::json Start(const nlohmann::json& order, int* status);
  nlohmann::json Stop(const nlohmann::json& order, int* status);
  void Poll(HttpCallId call, const nlohmann::json& order);
  struct WaitingPoll {
    HttpCallId call{};
    uint64_t fence = 0;
  };
  void AnswerPoll(const WaitingPoll& poll);
  bool IsCutFrom(uint64_t fence) const;
  bool IsFenced(const nlohmann::json& order);
  void ExtendLease(int64_t until_ms);
  void CheckLease();
  int Percent(const std::string& task, const Run& run) const;
  int64_t ClockMs() const;
  void Record(const std::string& line) const;

  CaseWorkerSettings settings_;
  const WorkerObserver* observer_;
  std::unique_ptr<HttpServer> server_;
  int life_ = 0;
  int64_t born_ms_ = 0;
  Time began_at_{};
  std::function<bool(uint64_t fence)> is_cut_from_;
  uint64_t highest_fence_ = 0;
  uint64_t next_serial_ = 1;
  int64_t next_end_ = 1;
  int64_t lease_until_ms_ = 0;
  int polls_ = 0;
  Time last_poll_at_{};
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> highest_ended_run_;
  std::deque<nlohmann::json> ends_;
  std::vector<WaitingPoll> waiting_polls_;
  nlohmann::json withheld_order_;
};

}  // namespace quetzal::review

#endif  // REVIEW_DRIVER_CASE_WORKER_H_
