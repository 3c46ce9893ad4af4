// Runs a small system on loopback for process tests, the demo and benchmarks:
// the platform stand-in, workers, placers and entries as separate processes on
// free ports. The workers of a domain share one process.
//
//   Cluster cluster({.binaries = "build", .domains = 2});
//   if (!cluster.Start()) ...
//   const Exchange reply = cluster.Post(entry, "/v1/requests", body, key);
//   cluster.Signal("placer-a-1", SIGKILL);
//
// Signals only processes that it started. The destructor kills all of them.
#ifndef TESTS_SUPPORT_CLUSTER_H_
#define TESTS_SUPPORT_CLUSTER_H_

#include <sys/types.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "programs/ctl/client.h"

namespace quetzal::testing {

struct ClusterSettings {
  std::string binaries;  // the build folder
  int domains = 1;
  int vms_per_domain = 2;      // each runs an entry and a placer
  int workers_per_domain = 4;  // all in one process
  int cpu_milli = 16'000;
  int memory_mib = 32'768;
  int slots = 8;
  int contract_ttl_ms = 2'000;
  int contract_renew_ms = 500;
  int task_lease_ms = 4'000;
  int election_lease_ms = 1'500;
  int freshness_ms = 10'000;
  int fallback_after_ms = 2'000;
};

// One JSON line of a worker stand-in's log.
using LogLine = nlohmann::json;

class Cluster {
 public:
  explicit Cluster(ClusterSettings settings);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts all processes and waits until every domain has an active placer that
  // has accounted for its workers. On a timeout prints the reason on standard
  // error and returns false.
  bool Start();

  // Names such as "platform", "workers-a", "placer-a-1", "entry-b-2".
  void Signal(const std::string& name, int signal);
  // Waits for a process to exit. Returns its exit code, or nullopt on timeout.
  std::optional<int> WaitExit(const std::string& name, int seconds);
  // Kills a process and starts it again with the same settings.
  bool Restart(const std::string& name);

  // Writes records with quetzalctl and waits until they are in force.
  bool Apply(const nlohmann::json& records);
  bool Withdraw(const std::string& path);
  // Runs quetzalctl and returns its exit code.
  int RunCtl(const std::vector<std::string>& arguments);

  std::string HttpAddress(const std::string& name) const;
  std::string PlatformAddress() const { return HttpAddress("platform"); }
  ctl::Exchange Get(const std::string& name, const std::string& path,
                    const std::string& key = "") const;
  ctl::Exchange Post(const std::string& name, const std::string& path,
                     const nlohmann::json& body, const std::string& key = "",
                     int timeout_seconds = 30) const;
  void SetFaults(const nlohmann::json& faults) const;
  // Sets the state of a VM in the platform's list.
  void SetVmState(const std::string& name, const std::string& state);

  // The placer of a domain whose status says active; empty if none.
  std::string ActivePlacer(const std::string& domain) const;
  bool WaitActive(const std::string& domain, int seconds,
                  const std::string& other_than = "") const;
  // The log of the workers of a domain.
  std::vector<LogLine> WorkerLog(const std::string& domain) const;
  std::vector<std::string> Domains() const;
  std::vector<std::string> Entries(const std::string& domain) const;
  std::vector<std::string> Placers(const std::string& domain) const;
  const std::string& folder() const { return folder_; }
  pid_t PidOf(const std::string& name) const;

 private:
  struct Process {
    std::string program;
    std::string settings_file;
    std::string http_address;
    pid_t pid = 0;
  };

  void AddProcess(const std::string& name, const std::string& program,
                  const std::string& http_address,
                  const nlohmann::json& settings);
  void AddDomain(const std::string& domain);
  bool Launch(const std::string& name);
  bool WaitHttp(const std::string& name, int seconds) const;
  void PublishVms();

  ClusterSettings settings_;
  std::string folder_;
  std::map<std::string, Process> processes_;
  nlohmann::json vms_ = nlohmann::json::array();
};

// Returns a free loopback address "127.0.0.1:port".
std::string FreeAddress();

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_CLUSTER_H_
