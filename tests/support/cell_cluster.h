// Runs a cell on loopback as separate processes: the stand-in for the users'
// platform, and an entry and a placer for each simulated machine.
//
//   CellCluster cluster(3);
//   cluster.Start();
//   cluster.Submit(0, "00000000000000a1", body);
//   cluster.Signal("placer-1", SIGKILL);
#ifndef TESTS_SUPPORT_CELL_CLUSTER_H_
#define TESTS_SUPPORT_CELL_CLUSTER_H_

#include <glib.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quetzal/http_client/http_client.h"

namespace quetzal::testing {

// How machines reach the store and the workers: directly, or through proxies
// that the test runs at `StoreLinkPort` of each machine and `WorkerLinkPort` of
// each worker.
enum class LinkKind { kDirect, kThroughProxies };

class CellCluster {
 public:
  static constexpr int kWorkers = 6;
  static constexpr char kKey[] = "key-1";
  static constexpr Milliseconds kCallTimeout{4'000};

  explicit CellCluster(int machines, LinkKind links = LinkKind::kDirect);
  ~CellCluster();

  // Starts all processes. True once every entry is ready and a placer is the
  // leader.
  bool Start();
  bool Launch(const std::string& name);
  // Sends a signal and, unless it is SIGSTOP or SIGCONT, waits for the process
  // to end. Returns the exit code if the process exited.
  std::optional<int> Signal(const std::string& name, int signal);

  // The client leaves after `leaves_after` if it has no answer then.
  HttpClientResult Call(int machine, const std::string& method,
                        const std::string& path, const std::string& body = "",
                        const std::string& key = kKey,
                        Milliseconds leaves_after = kCallTimeout);
  HttpClientResult Submit(int machine, const std::string& id,
                          const std::string& body);
  // The state of the job that the entry reports; empty if it reports none.
  std::string StateOf(int machine, const std::string& id);
  bool WaitForState(int machine, const std::string& id,
                    const std::string& state, int seconds);
  bool WaitReady(int machine, int seconds);
  bool WaitFor(int seconds, const std::function<bool()>& condition);
  // Counts of task starts, ends and violations, from the control port of the
  // stand-in for the users' platform.
  nlohmann::json StandinReport();
  // Ids of the jobs that had at least one task started.
  std::set<std::string> StartedJobs();
  int StorePort() const;
  int StoreLinkPort(int machine) const;
  // The port on which a worker listens, and the one that its entry names.
  int WorkerPort(int worker) const;
  int WorkerLinkPort(int worker) const;
  void SetStoreDown(bool down);
  // Sends a request for a fault, "/silence?..." or "/crash?...", to the
  // stand-in for the users' platform, which describes them.
  void InjectWorkerFault(const std::string& request);
  // Writes the next version of the configuration and returns its number.
  int PublishConfiguration();
  // Writes the entry of a worker, as another writer than the worker may. True
  // if the store holds it.
  bool WriteWorkerEntry(const std::string& id, const std::string& text);
  void AddWorker();
  // False if the process ended by itself.
  bool IsRunning(const std::string& name);
  // Asks an entry for a queue, by a key, that this version added: the status.
  int StatusOfAddedQueue(int machine, int version);
  // Index of the machine whose placer is the leader; -1 if none is.
  int Leader();

 private:
  struct Process {
    std::string program;
    std::string settings;
    GPid pid = 0;
  };

  HttpClientResult Send(const HttpClientRequest& call);
  // Calls the control port of the stand-in for the users' platform.
  HttpClientResult Control(const std::string& method, const std::string& path);
  void AddMachine(int index);
  std::string WriteSettings(const std::string& name,
                            const nlohmann::json& settings);
  static std::string Address(int port);

  int machines_;
  LinkKind links_;
  std::string folder_;
  int first_port_;
  std::map<std::string, Process> processes_;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_CELL_CLUSTER_H_
