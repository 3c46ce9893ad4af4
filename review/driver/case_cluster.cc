#include "review/driver/case_cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::review {
namespace {

// Offsets in a machine's block of ports.
constexpr int kPortsPerMachine = 8;
constexpr int kCallersPort = 0;
constexpr int kReadinessPort = 1;
constexpr int kInternalPort = 2;
constexpr int kPlacerMetricsPort = kInternalPort + 2;
constexpr int kStoreLinkPort = 6;
constexpr Milliseconds kForwardTimeout{40'000};  // a watch may wait for 30 s
constexpr gulong kLoopPauseUs = 1'000;
constexpr Milliseconds kCallTimeout{4'000};
constexpr Milliseconds kRestartDelay{3'500};

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

bool IsFree(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

}  // namespace

int FreePorts(int count) {
  constexpr int kFirst = 20'000;
  constexpr int kLast = 30'000;
  static int next = kFirst + static_cast<int>(getpid()) * 53 % (kLast - kFirst);
  for (int tries = 0; tries < kLast - kFirst; ++tries) {
    if (next + count > kLast) next = kFirst;
    int free = 0;
    while (free < count && IsFree(next + free)) ++free;
    if (free == count) return std::exchange(next, next + count);
    next += free + 1;
  }
  return 0;
}

CaseCluster::CaseCluster(std::string programs, int machines)
    : programs_(std::move(programs)), client_(HttpClient::Create({})) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quetzal-review-XXXXXX")
          .string();
  folder_ = mkdtemp(pattern.data());
  store_port_ = FreePorts(1);
  for (int i = 0; i < machines; ++i) {
    const int first = FreePorts(kPortsPerMachine);
    const std::string name = "vm-" + std::to_string(i);
    const nlohmann::json settings = {
        {"machine", name},
        {"ip", "127.0.0.1"},
        {"store_address", Address(first + kStoreLinkPort)},
        {"advice_address", ""},
        {"callers_address", Address(first + kCallersPort)},
        {"readiness_address", Address(first + kReadinessPort)},
        {"first_internal_port", first + kInternalPort},
        {"processor_share", "0.25"},
        {"file_descriptors", 4'200},
        {"grace_s", "6"},
        {"configuration_apply_ms", 3'000},
        {"most_lease_ms", 6'000},
        {"keep_finished_s", "120"}};
    machines_.push_back(
        {.first_port = first, .settings = folder_ + "/" + name + ".json"});
    std::ofstream(machines_.back().settings) << settings.dump(2);
  }
}

CaseCluster::~CaseCluster() {
  CutPower();
  std::filesystem::remove_all(folder_);
}

void CaseCluster::CutPower() {
  for (const Process& process : processes_) {
    if (process.pid != 0) kill(process.pid, SIGKILL);
  }
  for (const Process& process : processes_) {
    if (process.pid != 0) waitpid(process.pid, nullptr, 0);
  }
  processes_.clear();
}

bool CaseCluster::StartStore() {
  if (!store_.Listen(Address(store_port_))) return false;
  for (size_t i = 0; i < machines_.size(); ++i) {
    if (!ListenForStoreCalls(i)) return false;
  }
  return true;
}

bool CaseCluster::ListenForStoreCalls(size_t machine) {
  machines_[machine].store_link = ListenForHttp(
      Address(machines_[machine].first_port + kStoreLinkPort), {},
      {.on_request =
           [this, machine](HttpCallId call, const HttpRequest& request) {
             ForwardToStore(machine, call, request);
           },
       .on_disconnect = [](HttpCallId) {}});
  return machines_[machine].store_link != nullptr;
}

void CaseCluster::ForwardToStore(size_t machine, HttpCallId call,
                                 const HttpRequest& request) {
  if (machines_[machine].is_cut_from_store) return;
  std::string url = "http://" + Address(store_port_) + request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    gchar* const escaped = g_uri_escape_string(value.c_str(), "/", FALSE);
    url += separator + name + "=" + escaped;
    g_free(escaped);
    separator = '&';
  }
  client_->Send({.method = request.method,
                 .url = url,
                 .body = request.body,
                 .timeout = kForwardTimeout},
                [this, machine, call](const HttpClientResult& answer) {
                  const Machine& caller = machines_[machine];
                  if (caller.is_cut_from_store ||
                      answer.kind != HttpClientResult::Kind::kAnswered) {
                    return;
                  }
                  caller.store_link->Reply(
                      call, {.status = answer.status, .body = answer.body});
                });
}

void CaseCluster::SetStoreCut(int machine, bool is_cut) {
  machines_[static_cast<size_t>(machine)].is_cut_from_store = is_cut;
}

int CaseCluster::Leader(int except) {
  for (size_t i = 0; i < machines_.size(); ++i) {
    if (static_cast<int>(i) == except) continue;
    const HttpClientResult answer =
        Send({.url = "http://" +
                     Address(machines_[i].first_port + kPlacerMetricsPort) +
                     "/metrics"});
    if (answer.body.find("quetzal_leads 1") != std::string::npos) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

void CaseCluster::KillPlacer(int machine) {
  const std::string name = "placer-" + std::to_string(machine);
  for (Process& process : processes_) {
    if (process.name != name || process.pid == 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
  }
  RunAfter(kRestartDelay, [this, machine, name] {
    Launch("cell_placer/quetzal-cell-placer", name,
           machines_[static_cast<size_t>(machine)].settings);
  });
}

bool CaseCluster::Launch(const std::string& program, const std::string& name,
                         const std::string& settings) {
  const std::string path = programs_ + "/" + program;
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid < 0) return false;
  if (pid == 0) {
    // Also if the case is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("QUETZALBARROW_NODE_FILE", settings.c_str(), 1);
    execl(path.c_str(), path.c_str(), nullptr);
    _exit(127);
  }
  processes_.push_back({pid, name});
  return true;
}

bool CaseCluster::StartMachines() {
  for (size_t i = 0; i < machines_.size(); ++i) {
    const std::string number = std::to_string(i);
    if (!Launch("job_entry/quetzal-job-entry", "entry-" + number,
                machines_[i].settings) ||
        !Launch("cell_placer/quetzal-cell-placer", "placer-" + number,
                machines_[i].settings)) {
      return false;
    }
  }
  return true;
}

bool CaseCluster::WaitFor(Milliseconds time,
                          const std::function<bool()>& condition) {
  const Time until = Now() + time;
  while (!condition()) {
    if (Now() >= until) return false;
    if (g_main_context_iteration(nullptr, FALSE) == FALSE) {
      g_usleep(kLoopPauseUs);
    }
  }
  return true;
}

HttpClientResult CaseCluster::Send(const HttpClientRequest& request) {
  std::optional<HttpClientResult> result;
  client_->Send(request,
                [&](const HttpClientResult& answer) { result = answer; });
  while (!result) g_main_context_iteration(nullptr, TRUE);
  return *result;
}

bool CaseCluster::IsReady(int machine) {
  const int port =
      machines_[static_cast<size_t>(machine)].first_port + kReadinessPort;
  return Send({.url = "http://" + Address(port) + "/readiness"}).ok();
}

HttpClientResult CaseCluster::Call(int machine, const std::string& method,
                                   const std::string& path,
                                   const std::string& body) {
  const int port =
      machines_[static_cast<size_t>(machine)].first_port + kCallersPort;
  return Send(
      {.method = method,
       .url = "http://" + Address(port) + path,
       .headers = {"Host: desk.example", "X-Key: key-1", "X-Deadline-Ms: 3000"},
       .body = body,
       .timeout = kCallTimeout});
}

bool CaseCluster::HasLostProcess() {
  bool has_lost = false;
  for (Process& process : processes_) {
    if (process.pid == 0) continue;
    if (waitpid(process.pid, nullptr, WNOHANG) != process.pid) continue;
    process.pid = 0;
    has_lost = true;
  }
  return has_lost;
}

}  // namespace quetzal::review
