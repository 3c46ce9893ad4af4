// The product's programs as separate processes, with settings like those of a
// small deployment, and the platform's store. All addresses are loopback
// addresses with free ports; all files are in a temporary folder.
#ifndef REVIEW_DRIVER_CASE_CLUSTER_H_
#define REVIEW_DRIVER_CASE_CLUSTER_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/http/http.h"
#include "quetzal/http_client/http_client.h"
#include "standins/users_platform/store_front.h"

namespace quetzal::review {

// A number of free ports in a row.
int FreePorts(int count);

class CaseCluster {
 public:
  // `programs`: the folder with the programs of the deploy file's build.
  CaseCluster(std::string programs, int machines);
  // Ends all processes that it started.
  ~CaseCluster();
  CaseCluster(const CaseCluster&) = delete;
  CaseCluster& operator=(const CaseCluster&) = delete;

  bool StartStore();
  bool StartMachines();
  // A machine whose placer leads, other than `except`; -1 if there is none.
  int Leader(int except = -1);
  // Ends the machine's placer, and starts it again after a while.
  void KillPlacer(int machine);
  // While it is cut, the machine's calls to the store get no answer.
  void SetStoreCut(int machine, bool is_cut);
  // All processes of the machines end at once.
  void CutPower();
  // Runs the main loop until the condition holds; false after the time.
  static bool WaitFor(Milliseconds time,
                      const std::function<bool()>& condition);
  bool IsReady(int machine);
  // A caller's request to a machine.
  HttpClientResult Call(int machine, const std::string& method,
                        const std::string& path, const std::string& body);
  standin::StoreFront* store() { return &store_; }
  // True if a process has ended by itself.
  bool HasLostProcess();
  int machines() const { return static_cast<int>(machines_.size()); }

 private:
  struct Machine {
    int first_port = 0;
    std::string settings;
    std::unique_ptr<HttpServer> store_link;
    bool is_cut_from_store = false;
  };
  struct Process {
    pid_t pid = 0;
    std::string name;
  };

  HttpClientResult Send(const HttpClientRequest& request);
  bool ListenForStoreCalls(size_t machine);
  void ForwardToStore(size_t machine, HttpCallId call,
                      const HttpRequest& request);
  bool Launch(const std::string& program, const std::string& name,
              const std::string& settings);

  std::string programs_;
  std::string folder_;
  int store_port_ = 0;
  standin::StoreFront store_;
  std::unique_ptr<HttpClient> client_;
  std::vector<Machine> machines_;
  std::vector<Process> processes_;
};

}  // namespace quetzal::review

#endif  // REVIEW_DRIVER_CASE_CLUSTER_H_
