// Stand-in for workers: one process runs several, each on its own port.
// For tests and the demo only.
//
//   GET  /log           what ran, one JSON object a line
//   GET  /stats         running tasks, capacity and use of each worker
//   POST /leave?worker=NAME, POST /fail?worker=NAME&on=0|1
#include <glog/logging.h>

#include <fstream>
#include <map>
#include <memory>
#include <utility>

#include "quetzal/http/http.h"
#include "quetzal/program/program.h"
#include "quetzal/rpc/rpc.h"
#include "standins/worker/worker_model.h"

namespace quetzal::standin {
namespace {

constexpr Milliseconds kTickInterval{2};

struct HostedWorker {
  WorkerModelSettings model;
  std::string address;
};

struct HostSettings {
  std::string http_address;
  std::vector<HostedWorker> workers;
};

nlohmann::json ToJson(const WorkerEvent& event) {
  static const std::map<WorkerEvent::Kind, std::string> names = {
      {WorkerEvent::Kind::kStarted, "started"},
      {WorkerEvent::Kind::kEnded, "ended"},
      {WorkerEvent::Kind::kRefused, "refused"}};
  return {{"kind", names.at(event.kind)},
          {"at_ms", event.at.time_since_epoch().count()},
          {"worker", event.worker.text()},
          {"attempt", event.attempt},
          {"work", event.work},
          {"team", event.team},
          {"request_key", event.request_key},
          {"class", event.work_class},
          {"idempotent", event.idempotent},
          {"cpu_milli", event.size.cpu_milli},
          {"memory_mib", event.size.memory_mib},
          {"slots", event.size.slots},
          {"in_use_cpu_milli", event.in_use.cpu_milli},
          {"in_use_memory_mib", event.in_use.memory_mib},
          {"in_use_slots", event.in_use.slots},
          {"outcome", wire::Outcome_Name(event.outcome)},
          {"reason", event.reason}};
}

// One worker and its listening socket.
class WorkerServer {
 public:
  WorkerServer(const HostedWorker& settings, std::string* log)
      : settings_(settings), model_(settings.model, Now()), log_(log) {}

  bool Listen() {
    auto server = ContractServer::Listen(
        settings_.address,
        {.on_open = [](PeerId) {},
         .on_message =
             [this](PeerId peer, const wire::PlacerToWorker& message) {
               model_.OnMessage(static_cast<uint64_t>(peer), message, Now());
               Flush();
             },
         .on_close =
             [this](PeerId peer) {
               model_.OnPeerClosed(static_cast<uint64_t>(peer));
             }});
    if (!server) {
      LOG(ERROR) << settings_.address << ": " << server.error().message();
      return false;
    }
    server_ = std::move(server.value());
    return true;
  }

  void Tick() {
    model_.OnTick(Now());
    Flush();
  }
  void Flush() {
    for (const WorkerOutput& output : model_.TakeOutputs()) {
      server_->Send(PeerId{output.peer}, output.message);
    }
    for (const WorkerEvent& event : model_.TakeEvents()) {
      *log_ += ToJson(event).dump() + "\n";
    }
  }
  WorkerModel* model() { return &model_; }
  const HostedWorker& settings() const { return settings_; }

 private:
  HostedWorker settings_;
  WorkerModel model_;
  std::string* log_;
  std::unique_ptr<ContractServer> server_;
};

class WorkerHost : public Service {
 public:
  explicit WorkerHost(HostSettings settings) : settings_(std::move(settings)) {}

  bool Start() {
    for (const HostedWorker& worker : settings_.workers) {
      auto hosted = std::make_unique<WorkerServer>(worker, &log_);
      if (!hosted->Listen()) return false;
      workers_[worker.model.id.text()] = std::move(hosted);
    }
    server_ =
        ListenForHttp(settings_.http_address, {},
                      {.on_request =
                           [this](HttpCallId call, const HttpRequest& request) {
                             server_->Reply(call, Serve(request));
                           },
                       .on_disconnect = [](HttpCallId) {}});
    if (!server_) return false;
    RunEvery(kTickInterval, [this] {
      for (const auto& [name, worker] : workers_) worker->Tick();
    });
    return true;
  }

  void BeginShutdown() override { Quit(kExitDone); }

 private:
  HttpResponse Serve(const HttpRequest& request) {
    if (request.path == "/log") {
      return {.body = log_, .content_type = "application/x-ndjson"};
    }
    if (request.path == "/stats") return {.body = Stats().dump()};
    const auto name = request.query.find("worker");
    const auto worker = name == request.query.end()
                            ? workers_.end()
                            : workers_.find(name->second);
    if (worker == workers_.end()) return {.status = 404, .body = "{}"};
    if (request.path == "/leave") worker->second->model()->Leave();
    if (request.path == "/fail") {
      const auto on = request.query.find("on");
      worker->second->model()->FailEverything(on == request.query.end() ||
                                              on->second != "0");
    }
    worker->second->Flush();
    return {.body = "{}"};
  }

  nlohmann::json Stats() {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, worker] : workers_) {
      const Resources& capacity = worker->settings().model.capacity;
      const Resources& in_use = worker->model()->in_use();
      list.push_back({{"worker", name},
                      {"running", worker->model()->running()},
                      {"cpu_milli", capacity.cpu_milli},
                      {"in_use_cpu_milli", in_use.cpu_milli},
                      {"memory_mib", capacity.memory_mib},
                      {"in_use_memory_mib", in_use.memory_mib}});
    }
    return {{"workers", list}};
  }

  HostSettings settings_;
  std::map<std::string, std::unique_ptr<WorkerServer>> workers_;
  std::unique_ptr<HttpServer> server_;
  std::string log_;
};

HostSettings ReadSettings(const nlohmann::json& json, Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  HostSettings settings;
  settings.http_address = reader.Text("http_address");
  for (ObjectReader& each : reader.Objects("workers")) {
    HostedWorker worker;
    worker.model.id = WorkerId(each.Text("name"));
    worker.model.rack = RackId(each.Text("rack"));
    worker.model.capacity = each.Amounts("capacity");
    worker.model.incarnation =
        static_cast<uint64_t>(Now().time_since_epoch().count());
    worker.model.usage_every =
        Milliseconds(each.Integer("usage_every_ms", {.default_value = 2'000}));
    worker.address = each.Text("address");
    each.ReportUnknownFields();
    settings.workers.push_back(std::move(worker));
  }
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace
}  // namespace quetzal::standin

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "standin-worker",
       .purpose = "Stand-in for platform workers",
       .start = quetzal::StartWith<quetzal::standin::WorkerHost>(
           &quetzal::standin::ReadSettings)},
      argc, argv);
}
