#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::review {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr Milliseconds kStartLimit{15'000};
// `heartbeat-interval-ms` of the sites. An entry is removed after three of them
// without a heartbeat.
constexpr Milliseconds kHeartbeatInterval{1'500};
constexpr Milliseconds kHeartbeatCheck{500};
// Refused starts of a job that the record shows.
constexpr int kMaxRecordedRefusals = 3;

// Offsets in a machine's block of ports. The block before the first machine's
// has the ports of the platform.
constexpr int kPortsPerMachine = 8;
constexpr int kCallersPort = 0;
constexpr int kReadinessPort = 1;
constexpr int kInternalPort = 2;
constexpr int kPlacerMetricsPort = 4;
constexpr int kStoreRelayPort = 6;
constexpr int kAdvicePort = 7;
constexpr int kStorePort = 0;

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

bool IsFree(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

// The first of `count` consecutive free ports, below the range that the kernel
// uses for outgoing connections.
int FreePorts(int count) {
  constexpr int kFirst = 20'000;
  constexpr int kLast = 31'000;
  const int span = kLast - kFirst - count;
  const int start = static_cast<int>(getpid()) * 67 % span;
  for (int i = 0; i < span; ++i) {
    const int first = kFirst + (start + i) % span;
    int free = 0;
    while (free < count && IsFree(first + free)) ++free;
    if (free == count) return first;
  }
  return kFirst;
}

Json RouteNamed(const std::string& name, const Configuration& configuration) {
  return {{"name", name},
          {"host", "desk.example"},
          {"prefix", "/" + name + "/"},
          {"kind", "non_idempotent"},
          {"timeout-ms", 3'000},
          {"service", "desk"},
          {"priority", 0},
          {"max-attempts", 2},
          {"slack-factor", 2.0},
          {"target-latency-ms", 1'000},
          {"recommendation",
           {{"decision-ms", configuration.decision_ms},
            {"period-ms", configuration.worker_ms},
            {"validity-ms", 2'500}}},
          {"public", false}};
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

Deployment::Deployment(DeploymentSize size, Record* record)
    : size_(size),
      record_(record),
      first_port_(
          FreePorts((size.machines + 1) * kPortsPerMachine + 2 * size.workers)),
      client_(HttpClient::Create({})) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quetzal-review-XXXXXX")
          .string();
  folder_ = mkdtemp(pattern.data());
}

Deployment::~Deployment() {
  for (const auto& [name, process] : processes_) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

int Deployment::PortOf(int machine, int offset) const {
  return first_port_ + (machine + 1) * kPortsPerMachine + offset;
}

bool Deployment::Start() {
  if (!StartPlatform()) return false;
  for (int i = 0; i < size_.workers; ++i) {
    if (!StartWorker(i)) return false;
  }
  WriteHeartbeats();
  RunEvery(kHeartbeatCheck, [this] { WriteHeartbeats(); });
  for (int i = 0; i < size_.machines; ++i) {
    const std::string settings = WriteSettings(i);
    const std::string number = std::to_string(i);
    processes_["entry-" + number] = {
        "target/programs/job_entry/quetzal-job-entry", settings};
    processes_["placer-" + number] = {
        "target/programs/cell_placer/quetzal-cell-placer", settings};
  }
  for (const auto& [name, process] : processes_) {
    if (!Launch(name)) return false;
  }
  return WaitUntil(kStartLimit, [this] {
    for (int i = 0; i < size_.machines; ++i) {
      if (!IsReady(i)) return false;
    }
    return Leader() >= 0;
  });
}

bool Deployment::StartPlatform() {
  if (!store_.Listen(Address(first_port_ + kStorePort))) return false;
  for (int i = 0; i < size_.machines; ++i) {
    advice_.push_back(ListenForHttp(
        Address(PortOf(i, kAdvicePort)), {},
        {.on_request = [this, i](HttpCallId call,
                                 const HttpRequest& r) { Advise(i, call, r); },
         .on_disconnect = [](HttpCallId) {}}));
    if (!advice_.back()) return false;
    advice_free_at_.push_back(Now());
  }
  for (int i = 0; i < size_.machines; ++i) {
    store_relays_.push_back(std::make_unique<Relay>(
        client_.get(), Address(first_port_ + kStorePort)));
    if (!store_relays_.back()->Listen(Address(PortOf(i, kStoreRelayPort)))) {
      return false;
    }
  }
  return true;
}

bool Deployment::StartWorker(int index) {
  auto worker = std::make_unique<Worker>(
      "i-" + std::to_string(index), index < size_.workers_of_kind_a ? "a" : "b",
      [this](const WorkerEvent& event) { OnWorkerEvent(event); });
  if (!worker->Listen(PortOf(size_.machines, index))) return false;
  workers_.push_back(std::move(worker));
  return true;
}

void Deployment::WriteHeartbeats() {
  for (const auto& worker : workers_) {
    const std::string key = "servers/" + worker->id();
    const auto last = heartbeat_at_.find(key);
    const Milliseconds age =
        last == heartbeat_at_.end() ? kHeartbeatInterval : Now() - last->second;
    if (worker->is_lost()) {
      if (age >= 3 * kHeartbeatInterval) store_.Remove(key);
    } else if (age >= kHeartbeatInterval) {
      heartbeat_at_[key] = Now();
      store_.Put(key, worker->Entry().dump());
    }
  }
}

void Deployment::Advise(int machine, HttpCallId call,
                        const HttpRequest& request) {
  Json allowed = Json::array();
  size_t named = 0;
  const Json query = Json::parse(request.body, nullptr, false);
  if (query.is_object()) {
    const std::string job = JobOf(query.value("step", ""));
    std::string asked;
    for (const Json& worker : query.value("workers", Json::array())) {
      const std::string id = worker.get<std::string>();
      asked += " " + id;
      ++named;
      if (policy_ && !policy_(job, id)) continue;
      allowed.push_back(Json::array({id, "t-" + id}));
    }
    if (policy_) {
      record_->Line("advice for " + job + ":" + asked + " -> " +
                    std::to_string(allowed.size()) + " allowed");
    }
  }
  const std::string body =
      Json{{"allowed", std::move(allowed)}, {"validity-ms", 2'500}}.dump();
  Time& free_at = advice_free_at_[static_cast<size_t>(machine)];
  free_at = std::max(free_at, Now()) +
            Milliseconds(static_cast<int64_t>(configuration_.decision_ms +
                                              configuration_.worker_ms *
                                                  static_cast<double>(named)));
  RunAfter(free_at - Now(), [this, machine, call, body] {
    advice_[static_cast<size_t>(machine)]->Reply(call, {.body = body});
  });
}

void Deployment::OnWorkerEvent(const WorkerEvent& event) {
  std::string text = event.worker + ": " + event.what + " " + event.task +
                     " run " + std::to_string(event.run);
  if (event.what != "start") {
    if (event.what == "done") done_.insert(event.task);
    record_->Line(text);
    return;
  }
  text += std::string(event.has_ticket ? ", with" : ", without") +
          " a ticket -> " + std::to_string(event.status) + " " + event.answer;
  Starts& starts = starts_[JobOf(event.task)];
  if (event.status == kOk) {
    ++starts.accepted;
    starts.last_accepted = Now();
    record_->Line(text);
  } else if (++starts.refused <= kMaxRecordedRefusals) {
    record_->Line(text);
  }
}

void Deployment::Publish(const Configuration& configuration) {
  configuration_ = configuration;
  Json routes = Json::array();
  for (const std::string& name : configuration.routes) {
    routes.push_back(RouteNamed(name, configuration));
  }
  ++version_;
  store_.Put(
      "op/config",
      Json{{"version", version_},
           {"routes", std::move(routes)},
           {"services", {{{"name", "desk"}, {"enforces-capacity", false}}}},
           {"limits", {{"max-body-bytes", 262'144}}},
           {"tenants",
            {{{"name", "buyers"},
              {"api-keys", configuration.keys},
              {"weight", 100}}}}}
          .dump());
  std::string text = "configuration " + std::to_string(version_) + ": routes";
  for (const std::string& name : configuration.routes) text += " " + name;
  text += "; keys";
  for (const std::string& key : configuration.keys) text += " " + key;
  record_->Line(text);
}

void Deployment::SetStoreRule(int machine, Relay::Rule rule) {
  store_relays_[static_cast<size_t>(machine)]->SetRule(std::move(rule));
}

std::string Deployment::WriteSettings(int machine) {
  const std::string name = "vm-" + std::to_string(machine);
  std::string file = folder_ + "/" + name + ".json";
  const Json settings = {
      {"machine", name},
      {"ip", "127.0.0.1"},
      {"store_address", Address(PortOf(machine, kStoreRelayPort))},
      {"advice_address", Address(PortOf(machine, kAdvicePort))},
      {"callers_address", Address(PortOf(machine, kCallersPort))},
      {"readiness_address", Address(PortOf(machine, kReadinessPort))},
      {"first_internal_port", PortOf(machine, kInternalPort)},
      {"processor_share", "1"},
      {"file_descriptors", 4'200},
      {"grace_s", "6"},
      {"configuration_apply_ms", 3'000},
      {"most_lease_ms", 6'000},
      {"keep_finished_s", "120"}};
  std::ofstream(file) << settings.dump(2);
  return file;
}

bool Deployment::Launch(const std::string& name) {
  Process& process = processes_.at(name);
  record_->Line("start of " + name);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string setting = "QUETZALBARROW_NODE_FILE=" + process.settings;
  char* const environment[] = {setting.data(), nullptr};
  char* const arguments[] = {process.program.data(), nullptr};
  const int error = posix_spawn(&process.pid, process.program.c_str(), &actions,
                                nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) process.pid = 0;
  return error == 0;
}

void Deployment::Kill(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid == 0) return;
  record_->Line("SIGKILL to " + name);
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

bool Deployment::IsReady(int machine) {
  return Fetch({.url = "http://" + Address(PortOf(machine, kReadinessPort)) +
                       "/readiness"})
      .ok();
}

int Deployment::Leader() {
  for (int i = 0; i < size_.machines; ++i) {
    const HttpClientResult answer =
        Fetch({.url = "http://" + Address(PortOf(i, kPlacerMetricsPort)) +
                      "/metrics"});
    if (answer.body.find("quetzal_leads 1") != std::string::npos) return i;
  }
  return -1;
}

HttpClientResult Deployment::Fetch(const HttpClientRequest& request) {
  auto result = std::make_shared<std::optional<HttpClientResult>>();
  client_->Send(request, [result](const HttpClientResult& r) { *result = r; });
  while (!*result) g_main_context_iteration(nullptr, TRUE);
  return **result;
}

void Deployment::Send(int machine, const ClientCall& call,
                      HttpClient::Callback done) {
  const std::string text = call.method + " " + call.path + " at vm-" +
                           std::to_string(machine) + " by " + call.key;
  client_->Send(
      {.method = call.method,
       .url = "http://" + Address(PortOf(machine, kCallersPort)) + call.path,
       .headers = {"Host: desk.example", "X-Key: " + call.key,
                   "X-Deadline-Ms: 3000"},
       .body = call.body,
       .timeout = call.leaves_after},
      [this, text, done = std::move(done)](const HttpClientResult& answer) {
        record_->Line(text + " -> " +
                      (answer.kind == HttpClientResult::Kind::kAnswered
                           ? std::to_string(answer.status) + " " + answer.body
                           : "no answer"));
        done(answer);
      });
}

HttpClientResult Deployment::Call(int machine, const ClientCall& call) {
  auto result = std::make_shared<std::optional<HttpClientResult>>();
  Send(machine, call, [result](const HttpClientResult& r) { *result = r; });
  while (!*result) g_main_context_iteration(nullptr, TRUE);
  return **result;
}

std::string Deployment::StateOf(int machine, const std::string& route,
                                const std::string& id) {
  const HttpClientResult answer =
      Call(machine, {.path = "/" + route + "/" + id});
  const Json body = Json::parse(answer.body, nullptr, false);
  if (answer.ok() && body.is_object()) return body.value("state", "");
  return std::to_string(answer.status);
}

void Deployment::RunFor(Milliseconds time) {
  WaitUntil(time, [] { return false; });
}

bool Deployment::WaitUntil(Milliseconds limit,
                           const std::function<bool()>& condition) {
  constexpr Milliseconds kCheckInterval{20};
  const Time end = Now() + limit;
  while (Now() < end) {
    if (condition()) return true;
    auto is_over = std::make_shared<bool>(false);
    RunAfter(std::min(kCheckInterval, end - Now()),
             [is_over] { *is_over = true; });
    while (!*is_over) g_main_context_iteration(nullptr, TRUE);
  }
  return condition();
}

int Deployment::RunningTasksOf(const std::string& job) const {
  int running = 0;
  for (const auto& worker : workers_) running += worker->RunningTasksOf(job);
  return running;
}

int Deployment::RunningTasks() const {
  int running = 0;
  for (const auto& worker : workers_) running += worker->RunningTasks();
  return running;
}

int Deployment::Room() const { return size_.workers * Worker::kMaxTasks; }

int Deployment::AcceptedStarts(const std::string& job) const {
  const auto found = starts_.find(job);
  return found == starts_.end() ? 0 : found->second.accepted;
}

int Deployment::RefusedStarts(const std::string& job) const {
  const auto found = starts_.find(job);
  return found == starts_.end() ? 0 : found->second.refused;
}

Time Deployment::LastStart(const std::string& job) const {
  const auto found = starts_.find(job);
  return found == starts_.end() ? Time() : found->second.last_accepted;
}

}  // namespace quetzal::review
