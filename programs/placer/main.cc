// quetzal-placer: decides where the work of a failure domain runs. Runs on
// every entry VM; one of a domain is active at a time.
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

constexpr Milliseconds kTick{50};
constexpr Milliseconds kVmListEvery{2'000};
constexpr Milliseconds kShutdownPatience{3'000};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

class PlacerService : public Service {
 public:
  explicit PlacerService(PlacerProgramSettings settings)
      : settings_(std::move(settings)),
        platform_(PlatformClient::CreateHttp(settings_.vm.platform, &metrics_)),
        core_(settings_.placer, &records_, &metrics_),
        follower_({.prefix = std::string(kSharedPrefix)}, platform_.get(),
                  &records_, FollowHandlersOf()) {}

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
    follower_.Start();
    PollVms(platform_.get(), kVmListEvery,
            [this](const std::vector<Vm>& vms) { OnVms(vms); });
    RunEvery(kTick, [this] { Tick(); });
    LOG(INFO) << settings_.placer.self << " serves entries on port "
              << entries_->port();
    return true;
  }

  // Contracts are handed over and the seat given back; tasks go on under
  // their leases and entries send pending work to the next placer.
  void BeginShutdown() override {
    if (leaving_) return;
    leaving_ = true;
    LOG(INFO) << settings_.placer.self << " hands over";
    core_.BeginShutdown(Now());
    Flush();
    RunAfter(kShutdownPatience, [] { Quit(kExitDone); });
  }

 private:
  RecordWatcherHandlers FollowHandlersOf() {
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

  // Only the active placer keeps links: a standby costs the workers nothing.
  void FollowLinks() {
    const bool wanted = core_.Status(Now()).in_term;
    if (!wanted) {
      if (!links_.empty()) DropLinks();
      return;
    }
    for (const auto& [worker, address] : addresses_) {
      if (!links_.contains(worker)) Connect(worker, address);
    }
  }

  void Connect(const WorkerId& worker, const std::string& address) {
    links_[worker] = ContractLink::Open(
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

  void DropLinks() {
    for (const auto& [worker, link] : links_) {
      core_.OnWorkerLink(worker, false, Now());
    }
    links_.clear();
  }

  HttpResponse Serve(const HttpRequest& request) {
    const PlacerStatus status = core_.Status(Now());
    if (request.path == "/healthz") {
      return {.status = leaving_ ? kUnavailable : kOk,
              .body = R"({"healthy":true})"};
    }
    if (request.path == "/metrics") return Page(status);
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

  HttpResponse Page(const PlacerStatus& status) {
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
    FollowLinks();
    Flush();
    if (leaving_ && core_.ShutdownDone()) Quit(kExitDone);
  }

  void Flush() {
    for (const PlacerEffect& effect : core_.TakeEffects()) {
      std::visit([this](const auto& each) { CarryOut(each); }, effect);
    }
  }
  void CarryOut(const SendToWorker& effect) {
    const auto link = links_.find(effect.worker);
    if (link != links_.end()) link->second->Send(effect.message);
  }
  void CarryOut(const SendToEntry& effect) {
    const auto peer = peer_of_entry_.find(effect.entry);
    if (peer != peer_of_entry_.end()) {
      entries_->Send(peer->second, effect.message);
    }
  }
  void CarryOut(const KvCall& call) {
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
  RecordWatcher follower_;
  std::unique_ptr<PlacerServer> entries_;
  std::unique_ptr<HttpServer> http_;
  std::map<PeerId, EntryId> entry_of_peer_;
  std::map<EntryId, PeerId> peer_of_entry_;
  std::map<WorkerId, std::string> addresses_;
  std::map<WorkerId, std::unique_ptr<ContractLink>> links_;
  bool leaving_ = false;
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
