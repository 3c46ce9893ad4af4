// A cell on one machine: the stand-in for the users' platform, and an entry and
// a placer for each of some machines, as separate processes.
//
//   CellCluster cluster(3);
//   cluster.Start();
//   cluster.Submit(0, "00000000000000a1", body);
//   cluster.Kill("placer-1", SIGKILL);
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

// How machines reach the store: directly, or at a port of their own where the
// test has something listen that passes it on.
enum class LinkKind { kDirect, kThroughProxies };

class CellCluster {
 public:
  explicit CellCluster(int machines, LinkKind links = LinkKind::kDirect);
  ~CellCluster();

  // True once every entry is ready and a placer leads.
  bool Start();
  bool Launch(const std::string& name);
  // Sends a signal and, if it ends the process, waits for that. Returns the
  // exit code of a process that ended by itself.
  std::optional<int> Kill(const std::string& name, int signal);

  HttpClientResult Call(int machine, const std::string& method,
                        const std::string& path, const std::string& body = "",
                        const std::string& key = "key-1");
  HttpClientResult Submit(int machine, const std::string& id,
                          const std::string& body);
  // Of the state that an entry tells; empty if it tells none.
  std::string StateOf(int machine, const std::string& id);
  bool WaitForState(int machine, const std::string& id,
                    const std::string& state, int seconds);
  bool WaitReady(int machine, int seconds);
  bool WaitFor(int seconds, const std::function<bool()>& condition);
  nlohmann::json Judgement();
  // Ids of jobs of which some task was started.
  std::set<std::string> StartedJobs();
  int StorePort() const;
  int StoreLinkPort(int machine) const;
  void SetStoreDown(bool down);
  // Machine whose placer leads; -1 if none says so.
  int Leader();

 private:
  struct Process {
    std::string program;
    std::string settings;
    GPid pid = 0;
  };

  HttpClientResult Send(const HttpClientRequest& call);
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
