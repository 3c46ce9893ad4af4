// A small deployment on loopback: the project's programs as separate processes,
// one entry and one placer a machine, and stand-ins for the platform, the
// workers and the clients in this process.
//
//   Deployment deployment({.machines = 2, .workers = 4}, &record);
//   deployment.Publish({.routes = {"quotes"}, .keys = {"key-1"}});
//   if (!deployment.Start()) return kCannotRun;
//   deployment.Call(0, {.method = "POST", .path = "/quotes/00a1"});
#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quetzal/http/http.h"
#include "quetzal/http_client/http_client.h"
#include "record.h"
#include "relay.h"
#include "standins/users_platform/store_front.h"
#include "worker.h"

namespace quetzal::review {

struct DeploymentSize {
  int machines = 2;
  int workers = 4;
  // The first ones are of kind "a", the others of kind "b".
  int workers_of_kind_a = 0;
};

// Whether the worker may run tasks of the job.
using Policy =
    std::function<bool(const std::string& job, const std::string& worker)>;

// What the operator writes. All routes lead to the same service, and their
// policy needs advice.
struct Configuration {
  std::vector<std::string> routes;  // also the names of their prefixes
  std::vector<std::string> keys;    // of the only tenant
  // How long a call for advice takes, and more for each worker that it names.
  double decision_ms = 3;
  double worker_ms = 0.1;
};

struct ClientCall {
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string key = "key-1";
  // The client leaves without an answer after this time, before its deadline.
  Milliseconds leaves_after{3'000};
};

class Deployment {
 public:
  Deployment(DeploymentSize size, Record* record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts everything. True once all entries are ready and a placer leads.
  bool Start();
  // Writes the next version of the configuration.
  void Publish(const Configuration& configuration);
  // Without a policy each worker may run each job. To be set once, before jobs.
  void SetPolicy(Policy policy) { policy_ = std::move(policy); }
  void SetStoreRule(int machine, Relay::Rule rule);
  // Index of the machine whose placer leads; -1 if none does.
  int Leader();
  // Of a process: "entry-N" or "placer-N" of machine N.
  bool Launch(const std::string& name);
  void Kill(const std::string& name);

  // Sends a client's call to the machine's entry; `done` gets the answer.
  void Send(int machine, const ClientCall& call, HttpClient::Callback done);
  // The same, and waits for the answer.
  HttpClientResult Call(int machine, const ClientCall& call);
  // The job's state as the entry reports it, or the status of its answer.
  std::string StateOf(int machine, const std::string& route,
                      const std::string& id);
  // Runs this process's stand-ins for that long, or until the condition holds.
  void RunFor(Milliseconds time);
  bool WaitUntil(Milliseconds limit, const std::function<bool()>& condition);

  Worker& worker(int index) { return *workers_[static_cast<size_t>(index)]; }
  // How many tasks of the job the workers run now.
  int RunningTasksOf(const std::string& job) const;
  int RunningTasks() const;
  // How many tasks all workers have room for.
  int Room() const;
  // Starts of the job's tasks that workers have accepted, and those that they
  // have refused.
  int AcceptedStarts(const std::string& job) const;
  int RefusedStarts(const std::string& job) const;
  // When a worker last accepted a start of the job's tasks.
  Time LastStart(const std::string& job) const;
  bool IsDone(const std::string& task) const { return done_.contains(task); }

 private:
  struct Process {
    std::string program;
    std::string settings;
    pid_t pid = 0;
  };
  struct Starts {
    int accepted = 0;
    int refused = 0;
    Time last_accepted;
  };

  bool StartPlatform();
  bool StartWorker(int index);
  void WriteHeartbeats();
  void Advise(int machine, HttpCallId call, const HttpRequest& request);
  void OnWorkerEvent(const WorkerEvent& event);
  std::string WriteSettings(int machine);
  bool IsReady(int machine);
  HttpClientResult Fetch(const HttpClientRequest& request);
  int PortOf(int machine, int offset) const;

  DeploymentSize size_;
  Record* record_;
  std::string folder_;
  int first_port_;
  int version_ = 0;
  std::unique_ptr<HttpClient> client_;
  standin::StoreFront store_;
  // One a machine: the service handles one call of each machine at a time.
  std::vector<std::unique_ptr<HttpServer>> advice_;
  std::vector<Time> advice_free_at_;
  Configuration configuration_;
  Policy policy_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, Time> heartbeat_at_;          // the newest, by worker
  std::vector<std::unique_ptr<Relay>> store_relays_;  // one a machine
  std::map<std::string, Process> processes_;
  std::map<std::string, Starts> starts_;  // by job
  std::set<std::string> done_;            // tasks
};

}  // namespace quetzal::review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_
