// quetzal-placer: decides on which workers the work of a failure domain runs.
// Runs on every entry VM; one placer per domain is active at a time.
#include <glog/logging.h>

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "programs/placer/placer_settings.h"
#include "quetzal/entry_vm/entry_vm.h"
#include "quetzal/http/http.h"
#include "quetzal/placer/placer.h"
#include "quetzal/platform_client/platform_client.h"
#include "quetzal/program/program.h"
#include "quetzal/record_watcher/record_watcher.h"
#include "quetzal/rpc/rpc.h"

namespace quetzal {
namespace {

constexpr Milliseconds kTickInterval{50};
constexpr Milliseconds kVmListInterval{2'000};
constexpr Milliseconds kShutdownTimeout{3'000};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

class PlacerService : public Service {
 public:
  explicit PlacerService(PlacerProgramSettings settings)
      : settings_(std::move(settings)),
        platform_(PlatformClient::CreateHttp(settings_.vm.platform, &metrics_)),
        core_(settings_.placer, &records_, &metrics_),
        record_watcher_({.prefix = std::string(kSharedPrefix)}, platform_.get(),
                        &records_, RecordHandlers()) {}

  bool Start() {
    if (!ListenForEntries()) return false;
    http_ =
        ListenForHttp(settings_.vm.http_address, {},
                      {.on_request =
                           [this](HttpCallId call, const HttpRequest& request) {
                             http_->Reply(call, Serve(request));
                           },
                       .on_disconnect = [](HttpCallId) {}});
    if (!http_) return false;
    record_watcher_.Start();
    PollVms(platform_.get(), kVmListInterval,
            [this](const std::vector<Vm>& vms) { OnVms(vms); });
    RunEvery(kTickInterval, [this] { Tick(); });
    LOG(INFO) << settings_.placer.self << " serves entries on port "
              << entries_->port();
    return true;
  }

  // Hands over the contracts and releases the leader key. Tasks continue under
  // their leases, and entries send pending work to the next placer.
  void BeginShutdown() override {
    if (shutting_down_) return;
    shutting_down_ = true;
    LOG(INFO) << settings_.placer.self
              << " shuts down and hands over its contracts";
    core_.BeginShutdown(Now());
    Flush();
    RunAfter(kShutdownTimeout, [] { Quit(kExitDone); });
  }

 private:
  RecordWatcherHandlers RecordHandlers() {
    return {.now = Now,
            .after = RunAfter,
            .on_records =
                [this] {
                  core_.OnRecordsChanged(Now());
                  Flush();
                },
            .on_other =
                [this](const KvChange& change) {
                  core_.OnAllotmentChange(change, Now());
                  Flush();
                },
            .on_health = [](PlatformHealth) {}};
  }

  bool ListenForEntries() {
    auto server = PlacerServer::Listen(
        settings_.listen_address,
        {.on_open = [](PeerId) {},
         .on_message =
             [this](PeerId peer, const wire::EntryToPlacer& message) {
               OnEntryMessage(peer, message);
               Flush();
             },
         .on_close =
             [this](PeerId peer) {
               OnEntryClosed(peer);
               Flush();
             }});
    if (!server) {
      LOG(ERROR) << settings_.listen_address << ": "
                 << server.error().message();
      return false;
    }
    entries_ = std::move(server.value());
    return true;
  }

  // An entry names itself in the first message of its stream.
  void OnEntryMessage(PeerId peer, const wire::EntryToPlacer& message) {
    const Time now = Now();
    if (message.has_hello() && !entry_of_peer_.contains(peer)) {
      const EntryId entry(message.hello().entry());
      entry_of_peer_[peer] = entry;
      peer_of_entry_[entry] = peer;
      core_.OnEntryLink(entry, true, now);
    }
    const auto entry = entry_of_peer_.find(peer);
    if (entry == entry_of_peer_.end()) return;
    core_.OnEntryMessage(entry->second, message, now);
  }

  void OnEntryClosed(PeerId peer) {
    const auto entry = entry_of_peer_.extract(peer);
    if (!entry) return;
    const auto current = peer_of_entry_.find(entry.mapped());
    // The entry may have connected again before its old stream ended.
    if (current == peer_of_entry_.end() || current->second != peer) return;
    peer_of_entry_.erase(current);
    core_.OnEntryLink(entry.mapped(), false, Now());
  }

  void OnVms(const std::vector<Vm>& vms) {
    std::vector<ListedWorker> listed;
    for (const Vm& vm : vms) {
      if (vm.role != VmRole::kWorker) continue;
      if (vm.domain != settings_.placer.domain) continue;
      const WorkerId worker(vm.name);
      listed.push_back({.id = worker,
                        .rack = vm.rack,
                        .capacity = vm.capacity,
                        .leaving = vm.state == VmState::kLeaving,
                        .gone = vm.state == VmState::kGone});
      addresses_[worker] = vm.contract_address;
    }
    core_.OnWorkers(listed, Now());
    Flush();
  }

  // Only a placer in a term is connected to workers, so that standbys put no
  // load on them.
  void UpdateWorkerLinks() {
    const bool is_in_term = core_.Status(Now()).in_term;
    if (!is_in_term) {
      if (!worker_links_.empty()) DropWorkerLinks();
      return;
    }
    for (const auto& [worker, address] : addresses_) {
      if (!worker_links_.contains(worker)) Connect(worker, address);
    }
  }

  void Connect(const WorkerId& worker, const std::string& address) {
    worker_links_[worker] = ContractLink::Open(
        address, {.on_link =
                      [this, worker](bool up) {
                        core_.OnWorkerLink(worker, up, Now());
                        Flush();
                      },
                  .on_message =
                      [this, worker](const wire::WorkerToPlacer& message) {
                        core_.OnWorkerMessage(worker, message, Now());
                        Flush();
                      }});
  }

  void DropWorkerLinks() {
    for (const auto& [worker, link] : worker_links_) {
      core_.OnWorkerLink(worker, false, Now());
    }
    worker_links_.clear();
  }

  HttpResponse Serve(const HttpRequest& request) {
    const PlacerStatus status = core_.Status(Now());
    if (request.path == "/healthz") {
      return {.status = shutting_down_ ? kUnavailable : kOk,
              .body = R"({"healthy":true})"};
    }
    if (request.path == "/metrics") return MetricsResponse(status);
    if (request.path != "/v1/status") {
      return {.status = kNotFound, .body = "{}"};
    }
    nlohmann::json usage = nlohmann::json::object();
    for (const auto& [team, used] : core_.Usage()) {
      usage[team.text()] = {{"cpu_milli", used.cpu_milli},
                            {"memory_mib", used.memory_mib},
                            {"accelerators", used.accelerators},
                            {"slots", used.slots}};
    }
    const nlohmann::json json = {
        {"name", settings_.placer.self.text()},
        {"failure_domain", settings_.placer.domain.text()},
        {"active", status.active},
        {"epoch", static_cast<uint64_t>(status.epoch)},
        {"workers", status.workers},
        {"workers_reached", status.workers_reached},
        {"accounted", status.all_workers_accounted},
        {"waiting", status.waiting},
        {"attempts", status.attempts},
        {"jobs", status.jobs},
        {"packing", status.allocation_ratio},
        {"record_revision", static_cast<uint64_t>(records_.revision())},
        {"usage", usage}};
    return {.body = json.dump()};
  }

  HttpResponse MetricsResponse(const PlacerStatus& status) {
    metrics_.Set("quetzal_active", {}, status.active ? 1 : 0);
    metrics_.Set("quetzal_waiting", {}, static_cast<double>(status.waiting));
    metrics_.Set("quetzal_attempts", {}, static_cast<double>(status.attempts));
    metrics_.Set("quetzal_packing", {}, status.allocation_ratio);
    metrics_.Set("quetzal_workers_reached", {},
                 static_cast<double>(status.workers_reached));
    return MetricsPage(&metrics_);
  }

  void Tick() {
    core_.OnTick(Now());
    UpdateWorkerLinks();
    Flush();
    if (shutting_down_ && core_.ShutdownDone()) Quit(kExitDone);
  }

  void Flush() {
    for (const PlacerEffect& effect : core_.TakeEffects()) {
      std::visit([this](const auto& each) { Execute(each); }, effect);
    }
  }
  void Execute(const SendToWorker& effect) {
    const auto link = worker_links_.find(effect.worker);
    if (link != worker_links_.end()) link->second->Send(effect.message);
  }
  void Execute(const SendToEntry& effect) {
    const auto peer = peer_of_entry_.find(effect.entry);
    if (peer != peer_of_entry_.end()) {
      entries_->Send(peer->second, effect.message);
    }
  }
  void Execute(const KvCall& call) {
    platform_->Call(call, [this](const KvAnswer& answer) {
      core_.OnKvAnswer(answer, Now());
      Flush();
    });
  }

  PlacerProgramSettings settings_;
  Metrics metrics_;
  RecordStore records_;
  std::unique_ptr<PlatformClient> platform_;
  PlacerCore core_;
  RecordWatcher record_watcher_;
  std::unique_ptr<PlacerServer> entries_;
  std::unique_ptr<HttpServer> http_;
  std::map<PeerId, EntryId> entry_of_peer_;
  std::map<EntryId, PeerId> peer_of_entry_;
  std::map<WorkerId, std::string> addresses_;
  std::map<WorkerId, std::unique_ptr<ContractLink>> worker_links_;
  bool shutting_down_ = false;
};

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "quetzal-placer",
       .purpose = "Decides where the work of a failure domain runs",
       .start = quetzal::StartWith<quetzal::PlacerService>(
           &quetzal::ReadPlacerProgramSettings)},
      argc, argv);
}
