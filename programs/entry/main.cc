// quetzal-entry: accepts callers' work over HTTP, validates it and sends it to
// the failure domain's active placer. Runs on every entry VM.
#include <glog/logging.h>

#include <map>
#include <memory>
#include <utility>

#include "programs/entry/caller_api.h"
#include "programs/entry/entry_settings.h"
#include "quetzal/entry_vm/entry_vm.h"
#include "quetzal/platform_client/platform_client.h"
#include "quetzal/program/program.h"
#include "quetzal/record_watcher/record_watcher.h"
#include "quetzal/rpc/rpc.h"

namespace quetzal {
namespace {

constexpr Milliseconds kTickInterval{50};
constexpr Milliseconds kVmListInterval{5'000};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

class EntryService : public Service {
 public:
  explicit EntryService(EntryProgramSettings settings)
      : settings_(std::move(settings)),
        platform_(PlatformClient::CreateHttp(settings_.vm.platform, &metrics_)),
        core_(settings_.entry, &records_, &metrics_),
        record_watcher_({.prefix = std::string(kRecordPrefix)}, platform_.get(),
                        &records_, RecordHandlers()) {
    for (const Refusal reason : AllRefusals()) {
      metrics_.Count("quetzal_refusals_total",
                     {{"reason", std::string(Code(reason))}}, 0);
    }
  }

  bool Start() {
    server_ = ListenForHttp(
        settings_.vm.http_address, settings_.http,
        {.on_request =
             [this](HttpCallId call, const HttpRequest& request) {
               OnHttp(call, request);
               Flush();
             },
         .on_disconnect =
             [this](HttpCallId call) {
               core_.OnCallerDisconnected(CallId{static_cast<uint64_t>(call)});
               Flush();
             }});
    if (!server_) return false;
    for (const PlacerAddress& placer : settings_.placers) Connect(placer);
    record_watcher_.Start();
    PollVms(platform_.get(), kVmListInterval,
            [this](const std::vector<Vm>& vms) { OnVms(vms); });
    RunEvery(kTickInterval, [this] { Tick(); });
    LOG(INFO) << settings_.vm.name << " serves callers on port "
              << server_->port();
    return true;
  }

  // /healthz fails at once, for the balancer. Work that arrives within the
  // grace period is served, later work is refused, and the program exits when
  // nothing is pending.
  void BeginShutdown() override {
    if (shutting_down_) return;
    shutting_down_ = true;
    LOG(INFO) << settings_.vm.name << " drains, pending " << core_.pending();
    RunAfter(settings_.drain_grace, [this] { core_.BeginDrain(); });
  }

 private:
  RecordWatcherHandlers RecordHandlers() {
    return {
        .now = Now,
        .after = RunAfter,
        .on_records =
            [this] {
              LOG(INFO) << "applied records up to revision "
                        << static_cast<uint64_t>(records_.revision());
            },
        .on_other = [](const KvChange&) {},
        .on_health =
            [this](PlatformHealth health) { core_.OnPlatformHealth(health); }};
  }

  void Connect(const PlacerAddress& placer) {
    if (placer_links_.contains(placer.name)) return;
    const PlacerId name = placer.name;
    placer_links_[name] = PlacerLink::Open(
        placer.address, {.on_link =
                             [this, name](bool up) {
                               core_.OnPlacerLink(name, up, Now());
                               Flush();
                             },
                         .on_message =
                             [this, name](const wire::PlacerToEntry& message) {
                               core_.OnPlacerMessage(name, message, Now());
                               Flush();
                             }});
  }

  void OnVms(const std::vector<Vm>& vms) {
    for (const Vm& vm : vms) {
      const bool placer = vm.role == VmRole::kEntry &&
                          vm.domain == settings_.vm.domain &&
                          !vm.placer_address.empty();
      if (!placer) continue;
      if (vm.state == VmState::kGone) {
        Disconnect(PlacerId(vm.name));
      } else {
        Connect({PlacerId(vm.name), vm.placer_address});
      }
    }
  }

  void Disconnect(const PlacerId& placer) {
    if (placer_links_.erase(placer) == 0) return;
    core_.OnPlacerLink(placer, false, Now());
  }

  void OnHttp(HttpCallId call, const HttpRequest& request) {
    const std::string jobs = "/v1/jobs/";
    if (request.path == "/v1/requests") {
      if (RequireMethod(call, request, "POST")) OnRequest(call, request);
    } else if (request.path == "/v1/jobs") {
      if (RequireMethod(call, request, "POST")) OnJob(call, request);
    } else if (request.path.starts_with(jobs)) {
      const bool cancel = request.method == "DELETE";
      if (!cancel && !RequireMethod(call, request, "GET")) return;
      core_.OnJobQuery({.call = CallId{static_cast<uint64_t>(call)},
                        .key = request.bearer,
                        .job = JobId(request.path.substr(jobs.size())),
                        .cancel = cancel},
                       Now());
    } else if (request.path == "/healthz") {
      server_->Reply(call, HealthResponse());
    } else if (request.path == "/metrics") {
      server_->Reply(call, MetricsResponse());
    } else if (request.path == "/v1/status") {
      server_->Reply(call, StatusResponse());
    } else {
      server_->Reply(call, {.status = kNotFound,
                            .body = R"({"error":"not_found","run":"not_run",)"
                                    R"("remedy":"use /v1/requests, /v1/jobs, )"
                                    R"(/v1/status, /healthz or /metrics"})"});
    }
  }

  bool RequireMethod(HttpCallId call, const HttpRequest& request,
                     const std::string& method) {
    if (request.method == method) return true;
    server_->Reply(call, {.status = kMethodNotAllowed,
                          .body = R"({"error":"method_not_allowed",)"
                                  R"("run":"not_run","remedy":"use )" +
                                  method + "\"}"});
    return false;
  }

  void OnRequest(HttpCallId call, const HttpRequest& http) {
    const Checked<CallerRequest> request = ReadRequest(call, http);
    if (!request) {
      RefuseBody(call, request.error());
      return;
    }
    core_.OnRequest(request.value(), Now());
  }

  void OnJob(HttpCallId call, const HttpRequest& http) {
    const Checked<CallerJob> job = ReadJob(call, http);
    if (!job) {
      RefuseBody(call, job.error());
      return;
    }
    core_.OnJob(job.value(), Now());
  }

  void RefuseBody(HttpCallId call, const Problems& problems) {
    metrics_.Count("quetzal_refusals_total",
                   {{"reason", std::string(Code(Refusal::kBadRequest))}});
    server_->Reply(call, ToHttp(problems));
  }

  HttpResponse HealthResponse() const {
    const bool healthy = !shutting_down_ && records_.ready() &&
                         core_.active_placer().has_value();
    return {.status = healthy ? kOk : kUnavailable,
            .body = healthy ? R"({"healthy":true})" : R"({"healthy":false})"};
  }

  HttpResponse MetricsResponse() {
    metrics_.Set("quetzal_pending", {}, static_cast<double>(core_.pending()));
    metrics_.Set("quetzal_record_revision", {},
                 static_cast<double>(records_.revision()));
    return MetricsPage(&metrics_);
  }

  HttpResponse StatusResponse() const {
    const std::optional<PlacerId> placer = core_.active_placer();
    const nlohmann::json json = {
        {"name", settings_.vm.name},
        {"failure_domain", settings_.vm.domain.text()},
        {"record_revision", static_cast<uint64_t>(records_.revision())},
        {"records_confirmed_ago_ms", records_.ConfirmedAgo(Now()).count()},
        {"active_placer", placer ? placer->text() : ""},
        {"pending", core_.pending()},
        {"draining", shutting_down_}};
    return {.body = json.dump()};
  }

  void Tick() {
    core_.OnTick(Now());
    Flush();
    const bool is_drained =
        core_.draining() && core_.pending() == 0 && server_->open_calls() == 0;
    if (is_drained) Quit(kExitDone);
  }

  void Flush() {
    for (const EntryEffect& effect : core_.TakeEffects()) {
      std::visit([this](const auto& each) { Execute(each); }, effect);
    }
  }
  void Execute(const SendToPlacer& effect) {
    const auto link = placer_links_.find(effect.placer);
    if (link != placer_links_.end()) link->second->Send(effect.message);
  }
  void Execute(const RefusalReply& reply) {
    LOG(INFO) << "refused request=" << reply.request
              << " reason=" << Code(reply.reason) << " fate=" << reply.fate;
    server_->Reply(HttpCallId{static_cast<uint64_t>(reply.call)},
                   ToHttp(reply));
  }
  template <typename Reply>
  void Execute(const Reply& reply) {
    server_->Reply(HttpCallId{static_cast<uint64_t>(reply.call)},
                   ToHttp(reply));
  }

  EntryProgramSettings settings_;
  Metrics metrics_;
  RecordStore records_;
  std::unique_ptr<PlatformClient> platform_;
  EntryCore core_;
  RecordWatcher record_watcher_;
  std::unique_ptr<HttpServer> server_;
  std::map<PlacerId, std::unique_ptr<PlacerLink>> placer_links_;
  bool shutting_down_ = false;
};

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "quetzal-entry",
       .purpose = "Accepts callers' work and sends it to the active placer",
       .start = quetzal::StartWith<quetzal::EntryService>(
           &quetzal::ReadEntryProgramSettings)},
      argc, argv);
}
