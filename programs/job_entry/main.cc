// quetzal-job-entry: accepts callers' jobs on an entry VM, stores them, and
// reports the state of any job.
#include <glog/logging.h>

#include <utility>

#include "platform/adapter.h"
#include "programs/cell_settings/cell_settings.h"
#include "programs/job_entry/job_api.h"
#include "quetzal/advice_pool/advice_pool.h"
#include "quetzal/catalog_watcher/catalog_watcher.h"
#include "quetzal/http/http.h"
#include "quetzal/http_client/http_client.h"
#include "quetzal/program/program.h"

namespace quetzal {
namespace {

// The balancer removes a machine after two failed probes a second apart; calls
// arrive until then.
constexpr Milliseconds kServeAfterSigterm{3'000};
constexpr Milliseconds kDrainCheckInterval{50};
// Reserved before SIGKILL for sending the last replies.
constexpr Milliseconds kExitMargin{500};
// Pause between two watches of all jobs: it delays callers by little compared
// with the interval at which they ask for states, and each call of the store
// has a cost.
constexpr Milliseconds kJobWatchPause{90};
// A watch without changes for this long is verified by a listing. Longer than
// in the placer, as many entries would list at once.
constexpr Milliseconds kRelistAfterSilence{900};
constexpr Milliseconds kProbeInterval{100};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

HttpResponse PlainText(int status, std::string body) {
  return {
      .status = status, .body = std::move(body), .content_type = "text/plain"};
}

class JobEntry : public Service {
 public:
  explicit JobEntry(CellProgramSettings settings)
      : settings_(std::move(settings)),
        log_("entry@" + settings_.machine,
             {.lines_per_second = settings_.log_lines_per_second}),
        http_client_(HttpClient::Create({})),
        store_(platform::MakeStoreClient(settings_.store_address,
                                         http_client_.get())),
        advice_(platform::MakeAdviceClient(settings_.advice_address,
                                           http_client_.get())),
        helper_(settings_.helper_address(), settings_.machine, advice_.get(),
                store_.get(), &RunAfter, &log_),
        catalog_watcher_({.store = store_.get(),
                          .key = platform::kConfigurationKey,
                          .decode = &platform::DecodeConfiguration,
                          .after = &RunAfter,
                          .clock = &NowWithSuspensions,
                          .log = &log_,
                          .metrics = &metrics_},
                         &catalogs_, [] {}),
        intake_(store_.get(), &RunAfter, &NowWithSuspensions, &log_, &metrics_),
        api_(&catalogs_, &job_index_, &intake_, store_.get(), &RunAfter,
             &NowWithSuspensions, &log_, &metrics_,
             MaxUsableAge(settings_.configuration_apply_bound)) {}

  bool Start() {
    log_.Line("start", {{"store", settings_.store_address}});
    caller_server_ = Serve(settings_.callers_address,
                           [this](HttpCallId call, const HttpRequest& request) {
                             OnCall(call, request);
                           });
    readiness_server_ =
        Serve(settings_.readiness_address,
              [this](HttpCallId call, const HttpRequest&) {
                readiness_server_->Reply(
                    call, IsReady() ? PlainText(kOk, "ready\n")
                                    : PlainText(kUnavailable, "not ready\n"));
              });
    metrics_server_ =
        Serve(settings_.entry_metrics_address(),
              [this](HttpCallId call, const HttpRequest& request) {
                SetConfigurationAge();
                metrics_server_->Reply(
                    call, request.path == "/metrics"
                              ? PlainText(kOk, metrics_.Render())
                              : PlainText(kNotFound, "/metrics\n"));
              });
    if (!caller_server_ || !readiness_server_ || !metrics_server_) return false;
    intake_.SetUnresponsiveHandler([this] {
      if (!std::exchange(probing_, true)) ProbeStore();
    });
    catalog_watcher_.Start();
    WatchJobs();
    return settings_.advice_address.empty() || helper_.Start();
  }

  void BeginShutdown() override {
    if (std::exchange(stopping_, true)) return;
    log_.Line(
        "stop_asked",
        {{"open_calls", static_cast<int64_t>(caller_server_->open_calls())}});
    stop_asked_ = Now();
    helper_.Withdraw();
    RunEvery(kDrainCheckInterval, [this] { QuitWhenIdle(); });
  }

  void OnSettingsReloaded(const nlohmann::json& /*json*/) override {
    log_.Line("settings_reloaded", {});
  }

 private:
  std::unique_ptr<HttpServer> Serve(
      const std::string& address,
      std::function<void(HttpCallId, const HttpRequest&)> on_request) {
    return ListenForHttp(address, {},
                         {.on_request = std::move(on_request),
                          .on_disconnect = [](HttpCallId) {}});
  }

  void OnCall(HttpCallId call, const HttpRequest& request) {
    const Time received = Now();
    const std::string method = request.method;
    api_.Serve(request, [this, call, received, method](HttpResponse reply) {
      if (stopping_) reply.close = true;
      metrics_.Observe("quetzal_call_ms", {{"method", method}},
                       static_cast<double>((Now() - received).count()));
      caller_server_->Reply(call, reply);
    });
  }

  void SetConfigurationAge() {
    if (const auto age = catalogs_.AgeAt(NowWithSuspensions())) {
      metrics_.Set("quetzal_configuration_age_ms", {},
                   static_cast<double>(age->count()));
    }
  }

  bool IsReady() const {
    return !stopping_ && catalogs_.current() && job_watcher_ &&
           job_watcher_->is_listed() && store_reachable_;
  }

  void SetStoreReachable(bool reachable) {
    if (std::exchange(store_reachable_, reachable) == reachable) return;
    api_.SetStoreReachable(reachable);
    log_.Line(reachable ? "store_reached" : "store_lost",
              {{"open_jobs", static_cast<int64_t>(intake_.open_jobs())}});
  }

  // Called when the store leaves commits unanswered: refuses new jobs until it
  // answers a read.
  void ProbeStore() {
    SetStoreReachable(false);
    store_->Read(LeaderKey(), [this](const ReadAnswer& answer) {
      if (answer.outcome == StoreOutcome::kDone ||
          answer.outcome == StoreOutcome::kMissing) {
        probing_ = false;
        SetStoreReachable(true);
      } else {
        RunAfter(kProbeInterval, [this] { ProbeStore(); });
      }
    });
  }

  void WatchJobs() {
    job_watcher_ = std::make_unique<StoreWatcher>(
        store_.get(), CellPrefix(),
        StoreWatcherTiming{.pause = kJobWatchPause,
                           .relist_after_silence = kRelistAfterSilence},
        StoreWatcherHandlers{
            .on_put =
                [this](const StoreItem& item) {
                  if (!job_index_.OnPut(item)) {
                    log_.Line("value_unreadable", {{"key", item.key}});
                  }
                },
            .on_removed =
                [this](const std::string& key) { job_index_.OnRemoved(key); },
            .on_listed =
                [this] {
                  job_index_.OnListed();
                  log_.Line(
                      "jobs_listed",
                      {{"jobs", static_cast<int64_t>(job_index_.size())}});
                },
            .on_reachable =
                [this](bool reachable) { SetStoreReachable(reachable); }},
        &RunAfter);
    job_watcher_->Start();
  }

  void QuitWhenIdle() {
    const Milliseconds since = Now() - stop_asked_;
    const bool idle = caller_server_->open_calls() == 0;
    if (since < kServeAfterSigterm) return;
    if (!idle && since < settings_.shutdown_grace - kExitMargin) return;
    log_.Line("stop", {{"idle", idle ? "yes" : "no"}});
    Quit(kExitDone);
  }

  CellProgramSettings settings_;
  EventLog log_;
  Metrics metrics_;
  std::unique_ptr<HttpClient> http_client_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<AdviceClient> advice_;
  AdviceHelper helper_;
  CurrentCatalog catalogs_;
  CatalogWatcher catalog_watcher_;
  JobIndex job_index_;
  JobIntake intake_;
  JobApi api_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<StoreWatcher> job_watcher_;
  bool store_reachable_ = false;
  bool probing_ = false;
  bool stopping_ = false;
  Time stop_asked_;
};

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "quetzal-job-entry",
       .purpose = "Accepts callers' jobs and reports their state.",
       .settings_variable = quetzal::platform::kSettingsVariable,
       .start = quetzal::StartWith<quetzal::JobEntry>(
           &quetzal::ReadCellProgramSettings)},
      argc, argv);
}
