// quetzal-cell-placer: decides where tasks run. One on each entry VM; the one
// that holds the seat acts, the others wait for it.
#include <glog/logging.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "platform/adapter.h"
#include "programs/cell_placer/term.h"
#include "programs/cell_settings/cell_settings.h"
#include "quetzal/http/http.h"
#include "quetzal/leader_election/leader_election.h"
#include "quetzal/program/program.h"

namespace quetzal {
namespace {

// Runs of successive terms are told apart by it; a term that goes on beyond it
// sees the runs that it must stay above on the workers.
constexpr int64_t kRunsInTerm = 16;
// The longest that a confirmed majority may be old: see Cell::HasMajority.
constexpr Milliseconds kConfirmedWithin{2'400};
// A process that stood still longer must hear from store or workers first.
constexpr Milliseconds kFreezeTolerance{300};
// Machines with less processor than is ample for a placer leave the seat to
// others at first.
constexpr double kAmpleCores = 0.5;
constexpr double kHandicapMsPerMissingCore = 600;
constexpr Milliseconds kResignTimeout{800};
// Of the descriptors: starts come in clumps, each on a connection of its own,
// and a new connection to a far worker costs a round trip. The rest is for
// connections that can't be told to be idle, and for files.
constexpr int64_t kPercentForWorkers = 75;
constexpr int64_t kPercent = 100;
constexpr int64_t kLeastIdleConnections = 256;

// By how much the suspended time of this machine grew; the steady clock
// doesn't count it.
Milliseconds SuspendedTime() {
  timespec boot{};
  timespec steady{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  clock_gettime(CLOCK_MONOTONIC, &steady);
  return Milliseconds((boot.tv_sec - steady.tv_sec) * 1'000 +
                      (boot.tv_nsec - steady.tv_nsec) / 1'000'000);
}

class CellPlacer : public Service {
 public:
  explicit CellPlacer(CellProgramSettings settings)
      : settings_(std::move(settings)),
        log_("placer@" + settings_.machine,
             {.lines_per_second = settings_.log_lines_per_second}),
        http_client_(HttpClient::Create(
            {.max_idle_connections = static_cast<int>(std::max(
                 kLeastIdleConnections, settings_.file_descriptors *
                                            kPercentForWorkers / kPercent))})),
        store_(platform::MakeStoreClient(settings_.store_address,
                                         http_client_.get())),
        workers_(platform::MakeWorkerClient(http_client_.get(), {})),
        advice_(
            store_.get(), &RunAfter,
            [this](const std::vector<HelperId>& advisers) {
              if (term_) term_->SetAdvisers(advisers);
            },
            &log_) {}

  bool Start() {
    log_.Line("start", {{"store", settings_.store_address}});
    metrics_server_ = ListenForHttp(
        settings_.placer_metrics_address(), {},
        {.on_request =
             [this](HttpCallId call, const HttpRequest&) {
               metrics_.Set("quetzal_leads", {}, term_ ? 1 : 0);
               metrics_server_->Reply(call, {.body = metrics_.Render(),
                                             .content_type = "text/plain"});
             },
         .on_disconnect = [](HttpCallId) {}});
    if (!metrics_server_) return false;
    suspended_ = SuspendedTime();
    const double missing =
        std::max(0.0, kAmpleCores - settings_.processor_share);
    leadership_ = std::make_unique<LeaderElection>(
        store_.get(),
        LeaderElectionSettings{
            .self = UniqueProcessName(settings_.machine),
            .election_delay = Milliseconds(
                static_cast<int64_t>(missing * kHandicapMsPerMissingCore))},
        LeaderElectionHandlers{
            .on_elected = [this](Fence fence,
                                 int64_t term) { BeginTerm(fence, term); },
            .on_fence_raised =
                [this](Fence fence) {
                  if (term_) term_->RaiseFence(fence);
                },
            .on_lost = [this](const std::string&) { EndTerm(); }},
        &RunAfter, &Now, &log_);
    leadership_->Start();
    return true;
  }

  void BeginShutdown() override {
    if (std::exchange(stopping_, true)) return;
    log_.Line("stop_asked",
              {{"leads", leadership_->is_leader() ? "yes" : "no"}});
    term_.reset();
    RunAfter(kResignTimeout, [] { Quit(kExitDone); });
    leadership_->Resign([this] {
      log_.Line("stop", {});
      Quit(kExitDone);
    });
  }

 private:
  void BeginTerm(Fence fence, int64_t term) {
    TermParts parts{
        .store = store_.get(),
        .workers = workers_.get(),
        .advice = &advice_,
        .log = &log_,
        .metrics = &metrics_,
        .may_order = [this](const Cell& cell) { return MayOrder(cell); },
        .on_deposed =
            [this](const std::string& reason) {
              leadership_->StepDown(reason);
            }};
    advice_.Start();
    term_ = std::make_unique<Term>(parts, settings_.cell, fence,
                                   term * kRunsInTerm);
    term_->Start();
  }

  // Not within a call of the term: it is destroyed.
  void EndTerm() {
    RunAfter(Milliseconds(0), [this] {
      if (!leadership_->is_leader()) term_.reset();
    });
  }

  bool MayOrder(const Cell& cell) {
    if (!leadership_->is_leader()) return false;
    const Milliseconds suspended = SuspendedTime();
    if (suspended - suspended_ > kFreezeTolerance) {
      log_.Line("was_suspended", {{"ms", (suspended - suspended_).count()}});
      suspended_ = suspended;
      leadership_->StepDown("this machine was suspended");
      return false;
    }
    suspended_ = suspended;
    return leadership_->HasValidLease(Now()) ||
           cell.HasMajority(kConfirmedWithin, Now());
  }

  CellProgramSettings settings_;
  EventLog log_;
  Metrics metrics_;
  std::unique_ptr<HttpClient> http_client_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<WorkerClient> workers_;
  AdvicePool advice_;  // its links outlast terms
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<LeaderElection> leadership_;
  std::unique_ptr<Term> term_;
  Milliseconds suspended_{0};
  bool stopping_ = false;
};

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "quetzal-cell-placer",
       .purpose = "Decides where the tasks of jobs run.",
       .settings_variable = quetzal::platform::kSettingsVariable,
       .start = quetzal::StartWith<quetzal::CellPlacer>(
           &quetzal::ReadCellProgramSettings)},
      argc, argv);
}
