#include "tests/support/cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace quetzal::testing {
namespace {

constexpr int kOk = 200;
constexpr int kStartSeconds = 20;
constexpr std::chrono::milliseconds kPollInterval{20};

// Below the range that the kernel uses for outgoing connections, which could
// otherwise take a port before its process listens.
constexpr uint16_t kMinPort = 10'000;
constexpr uint16_t kMaxPort = 30'000;

// Test programs that run in parallel start at different ports.
uint16_t FirstPort() {
  constexpr int kPortsPerProgram = 500;
  constexpr int kPrograms = (kMaxPort - kMinPort) / kPortsPerProgram;
  return static_cast<uint16_t>(kMinPort +
                               getpid() % kPrograms * kPortsPerProgram);
}

bool IsFree(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

// Waits until `condition` holds; false after `seconds`.
template <typename Condition>
bool WaitFor(int seconds, const Condition& condition) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::string DomainName(int index) {
  return std::string(1, static_cast<char>('a' + index));
}

pid_t Spawn(const std::vector<std::string>& words, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return failed == 0 ? pid : 0;
}

}  // namespace

std::string FreeAddress() {
  static uint16_t next = FirstPort();
  while (true) {
    next = next >= kMaxPort ? kMinPort : static_cast<uint16_t>(next + 1);
    if (IsFree(next)) return "127.0.0.1:" + std::to_string(next);
  }
}

Cluster::Cluster(ClusterSettings settings) : settings_(std::move(settings)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quetzal-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  const std::string platform = FreeAddress();
  AddProcess("platform", "standins/platform/standin-platform", platform,
             {{"address", platform}});
  for (int i = 0; i < settings_.domains; ++i) AddDomain(DomainName(i));
}

Cluster::~Cluster() {
  for (auto& [name, process] : processes_) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGCONT);
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

void Cluster::AddProcess(const std::string& name, const std::string& program,
                         const std::string& http_address,
                         const nlohmann::json& settings) {
  Process& process = processes_[name];
  process.program = settings_.binaries + "/" + program;
  process.settings_file = folder_ + "/" + name + ".json";
  process.http_address = http_address;
  std::ofstream(process.settings_file) << settings.dump(2);
}

void Cluster::AddDomain(const std::string& domain) {
  constexpr int kWorkersPerRack = 8;
  nlohmann::json workers = nlohmann::json::array();
  for (int i = 0; i < settings_.workers_per_domain; ++i) {
    const std::string name = "worker-" + domain + "-" + std::to_string(i + 1);
    const std::string address = FreeAddress();
    const std::string rack =
        "rack-" + domain + "-" + std::to_string(i / kWorkersPerRack + 1);
    const nlohmann::json capacity = {{"cpu_milli", settings_.cpu_milli},
                                     {"memory_mib", settings_.memory_mib},
                                     {"slots", settings_.slots}};
    workers.push_back({{"name", name},
                       {"rack", rack},
                       {"address", address},
                       {"capacity", capacity},
                       {"usage_every_ms", 500}});
    nlohmann::json vm = capacity;
    vm.update({{"name", name},
               {"role", "worker"},
               {"state", "live"},
               {"domain", domain},
               {"rack", rack},
               {"contract_address", address}});
    vms_.push_back(vm);
  }
  const std::string workers_http = FreeAddress();
  AddProcess("workers-" + domain, "standins/worker/standin-worker",
             workers_http,
             {{"http_address", workers_http}, {"workers", workers}});
  nlohmann::json domains = nlohmann::json::array();
  for (const std::string& each : Domains()) domains.push_back({{"name", each}});
  for (int i = 0; i < settings_.vms_per_domain; ++i) {
    const std::string suffix = domain + "-" + std::to_string(i + 1);
    const std::string placer_address = FreeAddress();
    const std::string placer_http = FreeAddress();
    AddProcess("placer-" + suffix, "programs/placer/quetzal-placer",
               placer_http,
               {{"name", "placer-" + suffix},
                {"failure_domain", domain},
                {"failure_domains", domains},
                {"listen_address", placer_address},
                {"http_address", placer_http},
                {"platform_address", PlatformAddress()},
                {"platform_timeout_ms", 500},
                {"contract",
                 {{"ttl_ms", settings_.contract_ttl_ms},
                  {"renew_every_ms", settings_.contract_renew_ms},
                  {"task_lease_ms", settings_.task_lease_ms}}},
                {"seat",
                 {{"lease_ms", settings_.election_lease_ms},
                  {"renew_every_ms", settings_.election_lease_ms / 3},
                  {"fallback_after_ms", settings_.fallback_after_ms}}}});
    const std::string entry_http = FreeAddress();
    AddProcess("entry-" + suffix, "programs/entry/quetzal-entry", entry_http,
               {{"name", "entry-" + suffix},
                {"failure_domain", domain},
                {"http_address", entry_http},
                {"platform_address", PlatformAddress()},
                {"platform_timeout_ms", 500},
                {"freshness_ms", settings_.freshness_ms},
                {"drain_grace_ms", 300}});
    vms_.push_back({{"name", "placer-" + suffix},
                    {"role", "entry"},
                    {"state", "live"},
                    {"domain", domain},
                    {"placer_address", placer_address},
                    {"http_address", entry_http}});
  }
}

bool Cluster::Launch(const std::string& name) {
  Process& process = processes_[name];
  process.pid = Spawn({process.program, "--settings", process.settings_file},
                      folder_ + "/" + name + ".log");
  return process.pid != 0;
}

bool Cluster::WaitHttp(const std::string& name, int seconds) const {
  const bool up =
      WaitFor(seconds, [&] { return Get(name, "/healthz").answered(); });
  if (!up) std::cerr << name << " did not come up; see " << folder_ << "\n";
  return up;
}

void Cluster::PublishVms() { Post("platform", "/v1/vms", {{"vms", vms_}}); }

bool Cluster::Start() {
  if (!Launch("platform") || !WaitHttp("platform", kStartSeconds)) return false;
  PublishVms();
  for (const auto& [name, process] : processes_) {
    if (name != "platform" && !Launch(name)) return false;
  }
  for (const auto& [name, process] : processes_) {
    if (!WaitHttp(name, kStartSeconds)) return false;
  }
  for (const std::string& domain : Domains()) {
    if (!WaitActive(domain, kStartSeconds)) return false;
  }
  return true;
}

void Cluster::Signal(const std::string& name, int signal) {
  Process& process = processes_.at(name);
  if (process.pid == 0) return;
  kill(process.pid, signal);
  if (signal != SIGKILL) return;
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

std::optional<int> Cluster::WaitExit(const std::string& name, int seconds) {
  Process& process = processes_.at(name);
  int status = 0;
  const bool ended = WaitFor(seconds, [&] {
    return waitpid(process.pid, &status, WNOHANG) == process.pid;
  });
  if (!ended) return std::nullopt;
  process.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Cluster::Restart(const std::string& name) {
  Signal(name, SIGKILL);
  return Launch(name) && WaitHttp(name, kStartSeconds);
}

pid_t Cluster::PidOf(const std::string& name) const {
  return processes_.at(name).pid;
}

bool Cluster::Apply(const nlohmann::json& records) {
  const std::string file = folder_ + "/records.json";
  std::ofstream(file) << records.dump();
  return RunCtl({"--platform", PlatformAddress(), "--wait", "apply", file}) ==
         ctl::kDone;
}

bool Cluster::Withdraw(const std::string& path) {
  return RunCtl({"--platform", PlatformAddress(), "--wait", "withdraw",
                 path}) == ctl::kDone;
}

int Cluster::RunCtl(const std::vector<std::string>& arguments) {
  std::vector<std::string> words = {settings_.binaries +
                                    "/programs/ctl/quetzalctl"};
  words.insert(words.end(), arguments.begin(), arguments.end());
  const pid_t pid = Spawn(words, folder_ + "/quetzalctl.log");
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string Cluster::HttpAddress(const std::string& name) const {
  return processes_.at(name).http_address;
}

ctl::Exchange Cluster::Get(const std::string& name, const std::string& path,
                           const std::string& key) const {
  ctl::FetchOptions options{.timeout_seconds = 2};
  if (!key.empty()) options.bearer = key;
  return ctl::Fetch("GET", "http://" + HttpAddress(name) + path, options);
}

ctl::Exchange Cluster::Post(const std::string& name, const std::string& path,
                            const nlohmann::json& body, const std::string& key,
                            int timeout_seconds) const {
  ctl::FetchOptions options{.body = body.dump(),
                            .timeout_seconds = timeout_seconds};
  if (!key.empty()) options.bearer = key;
  return ctl::Fetch("POST", "http://" + HttpAddress(name) + path, options);
}

void Cluster::SetFaults(const nlohmann::json& faults) const {
  Post("platform", "/v1/faults", faults);
}

void Cluster::SetVmState(const std::string& name, const std::string& state) {
  for (auto& vm : vms_) {
    if (vm["name"] == name) vm["state"] = state;
  }
  PublishVms();
}

std::string Cluster::ActivePlacer(const std::string& domain) const {
  for (const std::string& name : Placers(domain)) {
    if (processes_.at(name).pid == 0) continue;
    const ctl::Exchange status = Get(name, "/v1/status");
    if (status.status == kOk && status.json.value("active", false)) return name;
  }
  return "";
}

bool Cluster::WaitActive(const std::string& domain, int seconds,
                         const std::string& other_than) const {
  const bool active = WaitFor(seconds, [&] {
    const std::string name = ActivePlacer(domain);
    return !name.empty() && name != other_than &&
           Get(name, "/v1/status").json.value("accounted", false);
  });
  if (!active) {
    std::cerr << "domain " << domain
              << " has no active placer with all workers accounted for; see "
              << folder_ << "\n";
  }
  return active;
}

std::vector<LogLine> Cluster::WorkerLog(const std::string& domain) const {
  std::vector<LogLine> lines;
  std::istringstream text(Get("workers-" + domain, "/log").body);
  for (std::string line; std::getline(text, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

std::vector<std::string> Cluster::Domains() const {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(settings_.domains));
  for (int i = 0; i < settings_.domains; ++i) names.push_back(DomainName(i));
  return names;
}

std::vector<std::string> Cluster::Entries(const std::string& domain) const {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(settings_.vms_per_domain));
  for (int i = 0; i < settings_.vms_per_domain; ++i) {
    names.push_back("entry-" + domain + "-" + std::to_string(i + 1));
  }
  return names;
}

std::vector<std::string> Cluster::Placers(const std::string& domain) const {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(settings_.vms_per_domain));
  for (int i = 0; i < settings_.vms_per_domain; ++i) {
    names.push_back("placer-" + domain + "-" + std::to_string(i + 1));
  }
  return names;
}

}  // namespace quetzal::testing
