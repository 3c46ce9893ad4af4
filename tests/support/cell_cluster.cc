#include "tests/support/cell_cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace quetzal::testing {
namespace {

constexpr int kStartSeconds = 20;
constexpr int kExitSeconds = 20;
constexpr gulong kPollIntervalUs = 10'000;
constexpr gint64 kSecondUs = 1'000'000;
// Offsets in a machine's block of ports. The first block of the cluster has the
// ports of the stand-in for the users' platform.
constexpr int kPortsPerMachine = 8;
constexpr int kCallersPort = 0;
constexpr int kReadinessPort = 1;
constexpr int kInternalPort = 2;
constexpr int kPlacerMetricsPort = 4;
constexpr int kStoreLinkPort = 6;
constexpr int kStorePort = 0;
constexpr int kAdvicePort = 1;
constexpr int kControlPort = 2;

bool IsFree(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
  close(descriptor);
  return free;
}

// The first of `count` consecutive free ports, below the range that the kernel
// uses for outgoing connections.
int FreePorts(int count) {
  constexpr int kFirst = 14'000;
  constexpr int kLast = 19'000;
  const int span = kLast - kFirst - count;
  const int start = static_cast<int>(getpid()) * 61 % span;
  for (int i = 0; i < span; ++i) {
    const int first = kFirst + (start + i) % span;
    int free = 0;
    while (free < count && IsFree(first + free)) ++free;
    if (free == count) return first;
  }
  return kFirst;
}

std::string BuildFolder() {
  const char* const folder = std::getenv("QUETZAL_BUILD");
  return folder == nullptr ? "build" : folder;
}

}  // namespace

std::string CellCluster::Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

CellCluster::CellCluster(int machines, LinkKind links)
    : machines_(machines), links_(links), client_(HttpClient::Create({})) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quetzal-cell-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  first_port_ = FreePorts((machines + 1) * kPortsPerMachine + 2 * kWorkers);
  processes_["platform"] = {
      BuildFolder() + "/standins/users_platform/standin-users-platform",
      WriteSettings(
          "platform",
          {{"store_address", Address(first_port_ + kStorePort)},
           {"advice_address", Address(first_port_ + kAdvicePort)},
           {"control_address", Address(first_port_ + kControlPort)},
           {"workers", kWorkers},
           {"first_worker_port", WorkerPort(0)},
           {"first_worker_link_port",
            links == LinkKind::kDirect ? WorkerPort(0) : WorkerLinkPort(0)}})};
  for (int i = 0; i < machines; ++i) AddMachine(i);
}

CellCluster::~CellCluster() {
  for (auto& [name, process] : processes_) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

std::string CellCluster::WriteSettings(const std::string& name,
                                       const nlohmann::json& settings) {
  std::string file = folder_ + "/" + name + ".json";
  std::ofstream(file) << settings.dump(2);
  return file;
}

void CellCluster::AddMachine(int index) {
  const int first = first_port_ + (index + 1) * kPortsPerMachine;
  const std::string number = std::to_string(index);
  const std::string file = WriteSettings(
      "vm-" + number, {{"machine", "vm-" + number},
                       {"ip", "127.0.0.1"},
                       {"store_address", Address(links_ == LinkKind::kDirect
                                                     ? StorePort()
                                                     : StoreLinkPort(index))},
                       {"advice_address", Address(first_port_ + kAdvicePort)},
                       {"callers_address", Address(first + kCallersPort)},
                       {"readiness_address", Address(first + kReadinessPort)},
                       {"first_internal_port", first + kInternalPort},
                       {"processor_share", "1"},
                       {"grace_s", "6"},
                       {"most_lease_ms", 3'000},
                       {"keep_finished_s", "120"}});
  processes_["entry-" + number] = {
      BuildFolder() + "/programs/job_entry/quetzal-job-entry", file};
  processes_["placer-" + number] = {
      BuildFolder() + "/programs/cell_placer/quetzal-cell-placer", file};
}

bool CellCluster::Launch(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string log = folder_ + "/" + name + ".log";
  process.pid = fork();
  if (process.pid < 0) return false;
  if (process.pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(process.program.c_str(), process.program.c_str(), "--settings",
          process.settings.c_str(), nullptr);
    _exit(127);
  }
  return true;
}

bool CellCluster::Start() {
  for (const auto& [name, process] : processes_) {
    if (!Launch(name)) return false;
  }
  for (int i = 0; i < machines_; ++i) {
    if (!WaitReady(i, kStartSeconds)) return false;
  }
  return WaitFor(kStartSeconds, [this] { return Leader() >= 0; });
}

std::optional<int> CellCluster::Signal(const std::string& name, int signal) {
  Process& process = processes_.at(name);
  if (process.pid == 0) return std::nullopt;
  kill(process.pid, signal);
  if (signal == SIGSTOP || signal == SIGCONT) return std::nullopt;
  int status = 0;
  const bool ended = WaitFor(kExitSeconds, [&] {
    return waitpid(process.pid, &status, WNOHANG) == process.pid;
  });
  if (!ended) return std::nullopt;
  process.pid = 0;
  if (!WIFEXITED(status)) return std::nullopt;
  return WEXITSTATUS(status);
}

bool CellCluster::WaitFor(int seconds, const std::function<bool()>& condition) {
  const gint64 until = g_get_monotonic_time() + seconds * kSecondUs;
  while (g_get_monotonic_time() < until) {
    if (condition()) return true;
    g_usleep(kPollIntervalUs);
  }
  return false;
}

HttpClientResult CellCluster::Send(const HttpClientRequest& call) {
  std::optional<HttpClientResult> result;
  client_->Send(call, [&](const HttpClientResult& answer) { result = answer; });
  while (!result) g_main_context_iteration(nullptr, TRUE);
  return *result;
}

HttpClientResult CellCluster::Call(int machine, const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const std::string& key,
                                   Milliseconds leaves_after) {
  const int port =
      first_port_ + (machine + 1) * kPortsPerMachine + kCallersPort;
  return Send({.method = method,
               .url = "http://" + Address(port) + path,
               .headers = {"Host: desk.example", "X-Key: " + key,
                           "X-Deadline-Ms: 3000"},
               .body = body,
               .timeout = leaves_after});
}

HttpClientResult CellCluster::Submit(int machine, const std::string& id,
                                     const std::string& body) {
  return Call(machine, "POST", "/quotes/" + id, body);
}

std::string CellCluster::StateOf(int machine, const std::string& id) {
  const HttpClientResult answer = Call(machine, "GET", "/quotes/" + id);
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() ? json.value("state", "") : "";
}

bool CellCluster::WaitForState(int machine, const std::string& id,
                               const std::string& state, int seconds) {
  return WaitFor(seconds, [&] { return StateOf(machine, id) == state; });
}

bool CellCluster::WaitReady(int machine, int seconds) {
  const int port =
      first_port_ + (machine + 1) * kPortsPerMachine + kReadinessPort;
  return WaitFor(seconds, [&] {
    return Send({.url = "http://" + Address(port) + "/readiness"}).ok();
  });
}

HttpClientResult CellCluster::Control(const std::string& method,
                                      const std::string& path) {
  return Send({.method = method,
               .url = "http://" + Address(first_port_ + kControlPort) + path,
               .timeout = kCallTimeout});
}

nlohmann::json CellCluster::StandinReport() {
  return nlohmann::json::parse(Control("GET", "/judgement").body, nullptr,
                               false);
}

std::set<std::string> CellCluster::StartedJobs() {
  const HttpClientResult answer = Control("GET", "/started");
  std::set<std::string> jobs;
  for (const nlohmann::json& task :
       nlohmann::json::parse(answer.body, nullptr, false)) {
    const std::string name = task.get<std::string>();
    jobs.insert(name.substr(0, name.find('.')));
  }
  return jobs;
}

int CellCluster::StorePort() const { return first_port_ + kStorePort; }

int CellCluster::StoreLinkPort(int machine) const {
  return first_port_ + (machine + 1) * kPortsPerMachine + kStoreLinkPort;
}

int CellCluster::WorkerPort(int worker) const {
  return first_port_ + (machines_ + 1) * kPortsPerMachine + worker;
}

int CellCluster::WorkerLinkPort(int worker) const {
  return WorkerPort(worker) + kWorkers;
}

void CellCluster::SetStoreDown(bool down) {
  Control("POST", down ? "/down" : "/up");
}

void CellCluster::InjectWorkerFault(const std::string& request) {
  Control("POST", request);
}

int CellCluster::PublishConfiguration() {
  const HttpClientResult answer = Control("POST", "/publish");
  return nlohmann::json::parse(answer.body).at("version").get<int>();
}

bool CellCluster::WriteWorkerEntry(const std::string& id,
                                   const std::string& text) {
  gchar* const escaped = g_uri_escape_string(id.c_str(), nullptr, FALSE);
  const std::string url =
      "http://" + Address(first_port_ + kControlPort) + "/entry?id=" + escaped;
  g_free(escaped);
  return Send({.method = "POST", .url = url, .body = text}).ok();
}

void CellCluster::AddWorker() {
  Send(
      {.method = "POST",
       .url = "http://" + Address(first_port_ + kControlPort) + "/add-worker"});
}

bool CellCluster::IsRunning(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid == 0) return false;
  if (waitpid(process.pid, nullptr, WNOHANG) == 0) return true;
  process.pid = 0;
  return false;
}

int CellCluster::StatusOfAddedQueue(int machine, int version) {
  const std::string name = "added-" + std::to_string(version);
  return Call(machine, "GET", "/" + name + "/", "", "key-" + name).status;
}

int CellCluster::Leader() {
  for (int i = 0; i < machines_; ++i) {
    const int port =
        first_port_ + (i + 1) * kPortsPerMachine + kPlacerMetricsPort;
    const HttpClientResult answer =
        Send({.url = "http://" + Address(port) + "/metrics"});
    if (answer.body.find("quetzal_leads 1") != std::string::npos) return i;
  }
  return -1;
}

}  // namespace quetzal::testing
