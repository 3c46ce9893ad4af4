// quetzal-job-entry: takes callers' jobs on an entry VM, stores them, and
// answers for the state of any job.
#include <glog/logging.h>

#include <utility>

#include "platform/adapter.h"
#include "programs/cell_settings/cell_settings.h"
#include "programs/job_entry/job_api.h"
#include "quetzal/advice_pool/advice_pool.h"
#include "quetzal/http/http.h"
#include "quetzal/http_client/http_client.h"
#include "quetzal/program/program.h"

namespace quetzal {
namespace {

// The balancer takes a machine out after two looks a second apart; calls come
// until then.
constexpr Milliseconds kServeAfterTerm{3'000};
constexpr Milliseconds kDrainCheck{50};
// Before SIGKILL, for the last answers to leave.
constexpr Milliseconds kExitMargin{500};
// Between two watches of all jobs: what it adds to a caller's wait is small
// beside the interval at which states are asked for, and each call costs.
constexpr Milliseconds kJobsPause{90};
// Of a watch, before it is checked by a listing; as many entries would list
// at once, later than the placer does.
constexpr Milliseconds kSilence{900};
constexpr Milliseconds kProbeEvery{100};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

HttpResponse Plain(int status, std::string body) {
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
        intake_(store_.get(), &RunAfter, &Now, &log_, &metrics_),
        api_(&catalogs_, &book_, &intake_, store_.get(), &RunAfter, &log_,
             &metrics_) {}

  bool Start() {
    log_.Line("start", {{"store", settings_.store_address}});
    callers_ = Serve(settings_.callers_address,
                     [this](HttpCallId call, const HttpRequest& request) {
                       OnCall(call, request);
                     });
    readiness_ = Serve(settings_.readiness_address, [this](HttpCallId call,
                                                           const HttpRequest&) {
      readiness_->Reply(call, IsReady() ? Plain(kOk, "ready\n")
                                        : Plain(kUnavailable, "not ready\n"));
    });
    metrics_server_ = Serve(
        settings_.entry_metrics_address(),
        [this](HttpCallId call, const HttpRequest& request) {
          metrics_server_->Reply(call, request.path == "/metrics"
                                           ? Plain(kOk, metrics_.Render())
                                           : Plain(kNotFound, "/metrics\n"));
        });
    if (!callers_ || !readiness_ || !metrics_server_) return false;
    intake_.SetUnresponsiveHandler([this] {
      if (!std::exchange(probing_, true)) Probe();
    });
    FollowConfiguration();
    FollowJobs();
    return settings_.advice_address.empty() || helper_.Start();
  }

  void BeginShutdown() override {
    if (std::exchange(stopping_, true)) return;
    log_.Line("stop_asked",
              {{"open_calls", static_cast<int64_t>(callers_->open_calls())}});
    stop_asked_ = Now();
    helper_.Withdraw();
    RunEvery(kDrainCheck, [this] { QuitWhenIdle(); });
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
    const Time came = Now();
    const std::string method = request.method;
    api_.Serve(request, [this, call, came, method](HttpResponse reply) {
      if (stopping_) reply.close = true;
      metrics_.Observe("quetzal_call_ms", {{"method", method}},
                       static_cast<double>((Now() - came).count()));
      callers_->Reply(call, reply);
    });
  }

  bool IsReady() const {
    return !stopping_ && catalogs_.current() && jobs_ && jobs_->is_listed() &&
           store_reached_;
  }

  void SetStoreReached(bool reached) {
    if (std::exchange(store_reached_, reached) == reached) return;
    api_.SetStoreReached(reached);
    log_.Line(reached ? "store_reached" : "store_lost",
              {{"open_jobs", static_cast<int64_t>(intake_.open_jobs())}});
  }

  // Commits go unanswered: new jobs are refused until the store answers a read.
  void Probe() {
    SetStoreReached(false);
    store_->Read(LeaderKey(), [this](const ReadAnswer& answer) {
      if (answer.outcome == StoreOutcome::kDone ||
          answer.outcome == StoreOutcome::kMissing) {
        probing_ = false;
        SetStoreReached(true);
      } else {
        RunAfter(kProbeEvery, [this] { Probe(); });
      }
    });
  }

  void FollowConfiguration() {
    configuration_ = std::make_unique<StoreWatcher>(
        store_.get(), platform::kConfigurationKey, StoreWatcherTiming{},
        StoreWatcherHandlers{
            .on_put = [this](const StoreItem& item) { Configure(item); },
            .on_removed = [](const std::string&) {}},
        &RunAfter);
    configuration_->Start();
  }

  void Configure(const StoreItem& item) {
    if (item.key != platform::kConfigurationKey) return;
    auto catalog = platform::DecodeConfiguration(item.value);
    if (!catalog) {
      log_.Line("configuration_unreadable",
                {{"problems", Describe(catalog.error())}});
      return;
    }
    const int64_t version = catalog.value()->version();
    if (catalogs_.UpdateIfNewer(catalog.value())) {
      log_.Line("configuration_in_force",
                {{"version", version},
                 {"revision", static_cast<int64_t>(item.revision)}});
    }
  }

  void FollowJobs() {
    jobs_ = std::make_unique<StoreWatcher>(
        store_.get(), CellPrefix(),
        StoreWatcherTiming{.pause = kJobsPause,
                           .relist_after_silence = kSilence},
        StoreWatcherHandlers{
            .on_put =
                [this](const StoreItem& item) {
                  if (!book_.OnPut(item)) {
                    log_.Line("value_unreadable", {{"key", item.key}});
                  }
                },
            .on_removed =
                [this](const std::string& key) { book_.OnRemoved(key); },
            .on_listed =
                [this] {
                  log_.Line("jobs_listed",
                            {{"jobs", static_cast<int64_t>(book_.size())}});
                },
            .on_reachable = [this](bool reached) { SetStoreReached(reached); }},
        &RunAfter);
    jobs_->Start();
  }

  void QuitWhenIdle() {
    const Milliseconds since = Now() - stop_asked_;
    const bool idle = callers_->open_calls() == 0;
    if (since < kServeAfterTerm) return;
    if (!idle && since < settings_.grace - kExitMargin) return;
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
  JobIndex book_;
  JobIntake intake_;
  JobApi api_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<StoreWatcher> configuration_;
  std::unique_ptr<StoreWatcher> jobs_;
  bool store_reached_ = false;
  bool probing_ = false;
  bool stopping_ = false;
  Time stop_asked_;
};

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "quetzal-job-entry",
       .purpose = "Takes callers' jobs and answers for their state.",
       .settings_variable = quetzal::platform::kSettingsVariable,
       .start = quetzal::StartWith<quetzal::JobEntry>(
           &quetzal::ReadCellProgramSettings)},
      argc, argv);
}
