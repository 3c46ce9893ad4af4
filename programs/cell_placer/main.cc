// quetzal-cell-placer: decides on which workers tasks run. One process runs on
// each entry VM; the elected leader is active, the others are standbys.
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
#include "quetzal/term_timer/term_timer.h"
#include "quetzal/turn_profile/turn_profile.h"

namespace quetzal {
namespace {

// After a longer suspension of the machine the placer steps down.
constexpr Milliseconds kMaxSuspension{300};
// A machine with fewer cores delays its campaign in proportion to what it
// lacks, so that a better equipped one is elected.
constexpr double kSufficientCores = 0.5;
constexpr double kElectionDelayMsPerMissingCore = 600;
constexpr Milliseconds kResignTimeout{800};
// A fifth of the leader key's lease, in which neither its renewal is sent nor
// any timeout fires.
constexpr Milliseconds kSlowTurn{250};
// A raised fence is renewed once this much of the lease was left all the time
// for a while.
constexpr Milliseconds kHealthyLeaseLeft{600};
constexpr Milliseconds kFenceRenewalDelay{2'000};
// Share of the file descriptors for idle connections to workers: starts come
// in bursts, each on its own connection, and a new connection to a distant
// worker costs a round trip. The rest is for connections that aren't known to
// be idle, and for files.
constexpr int64_t kPercentForIdleConnections = 75;
constexpr int64_t kPercent = 100;
constexpr int64_t kMinIdleConnections = 256;

// How long this machine has been suspended since it was started; the steady
// clock doesn't count that time.
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
            {.max_idle_connections = static_cast<int>(
                 std::max(kMinIdleConnections, settings_.file_descriptors *
                                                   kPercentForIdleConnections /
                                                   kPercent))})),
        store_(platform::MakeStoreClient(settings_.store_address,
                                         http_client_.get())),
        workers_(platform::MakeWorkerClient(http_client_.get(), {})),
        advice_(
            store_.get(), &RunAfter,
            [this](const std::vector<HelperId>& helpers) {
              if (term_) term_->SetHelpers(helpers);
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
    OnSlowTurn(kSlowTurn, [this] {
      const TurnProfile& turn = TurnProfile::Instance();
      metrics_.Count("quetzal_slow_turns_total");
      log_.ImportantLine("slow_turn", {{"ms", turn.TurnDuration().count()},
                                       {"leads", term_ ? "yes" : "no"},
                                       {"sections", turn.Describe()}});
    });
    suspended_ = SuspendedTime();
    const double missing_cores =
        std::max(0.0, kSufficientCores - settings_.processor_share);
    election_ = std::make_unique<LeaderElection>(
        store_.get(),
        LeaderElectionSettings{
            .self = UniqueProcessName(settings_.machine),
            .election_delay = Milliseconds(static_cast<int64_t>(
                missing_cores * kElectionDelayMsPerMissingCore))},
        LeaderElectionHandlers{
            .on_elected = [this](Fence fence,
                                 int64_t term) { BeginTerm(fence, term); },
            .on_fence_raised =
                [this](Fence fence) {
                  if (term_) term_->RaiseFence(fence);
                },
            .on_lost = [this](const std::string&) { EndTerm(); }},
        &RunAfter, &NowWithSuspensions, &log_);
    term_timer_ = std::make_unique<TermTimer>(
        store_.get(),
        TermTimerSettings{.duration = TermTimerDuration(settings_.cell),
                          .validity = kLeadershipValidity},
        &RunAfter, &NowWithSuspensions, &log_);
    election_->Start();
    return true;
  }

  void BeginShutdown() override {
    if (std::exchange(stopping_, true)) return;
    log_.Line("stop_asked", {{"leads", election_->is_leader() ? "yes" : "no"}});
    term_.reset();
    RunAfter(kResignTimeout, [] { Quit(kExitDone); });
    election_->Resign([this] {
      log_.Line("stop", {});
      Quit(kExitDone);
    });
  }

 private:
  void BeginTerm(Fence fence, int64_t term) {
    TermDependencies dependencies{
        .store = store_.get(),
        .workers = workers_.get(),
        .advice = &advice_,
        .log = &log_,
        .metrics = &metrics_,
        .may_send_orders = [this](Cell* cell) { return MaySendOrders(cell); },
        .leadership_is_certain =
            [this] {
              return election_->is_leader() &&
                     TimeWithoutLease() < Milliseconds(0);
            },
        .on_leadership_lost =
            [this](const std::string& reason) { election_->StepDown(reason); }};
    advice_.Start();
    term_ = std::make_unique<Term>(dependencies, settings_.cell, fence, term);
    term_->Start();
    term_timer_->Begin(term);
  }

  // Deferred, as the term may be on the call stack and is destroyed here.
  void EndTerm() {
    RunAfter(Milliseconds(0), [this] {
      if (election_->is_leader()) return;
      term_.reset();
      term_timer_->End();
    });
  }

  // Negative while both the leader key's lease and the term timer are renewed.
  Milliseconds TimeWithoutLease() const {
    const Time now = NowWithSuspensions();
    return std::max(election_->TimeWithoutLease(now),
                    term_timer_->TimeWithoutRenewal(now));
  }

  bool MaySendOrders(Cell* cell) {
    if (!election_->is_leader()) return false;
    const Milliseconds suspended = SuspendedTime();
    if (suspended - suspended_ > kMaxSuspension) {
      log_.Line("was_suspended", {{"ms", (suspended - suspended_).count()}});
      suspended_ = suspended;
      election_->StepDown("this machine was suspended");
      return false;
    }
    suspended_ = suspended;
    const Milliseconds without_lease = TimeWithoutLease();
    const bool may_send = cell->MaySendOrders(without_lease, Now());
    RenewFenceIfRaised(*cell, without_lease);
    if (std::exchange(may_send_, may_send) && !may_send) {
      log_.ImportantLine("orders_halted",
                         {{"without_lease_ms", without_lease.count()}});
    }
    return may_send;
  }

  // Once the lease is renewed without delays again.
  void RenewFenceIfRaised(const Cell& cell, Milliseconds without_lease) {
    const bool is_due =
        cell.is_fence_raised() && without_lease < -kHealthyLeaseLeft;
    if (!is_due) {
      fence_renewal_due_at_ = Now() + kFenceRenewalDelay;
    } else if (Now() >= fence_renewal_due_at_) {
      fence_renewal_due_at_ = Now() + kFenceRenewalDelay;
      election_->RenewFence();
    }
  }

  CellProgramSettings settings_;
  EventLog log_;
  Metrics metrics_;
  std::unique_ptr<HttpClient> http_client_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<WorkerClient> workers_;
  AdvicePool advice_;  // keeps its connections from term to term
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<LeaderElection> election_;
  std::unique_ptr<TermTimer> term_timer_;
  std::unique_ptr<Term> term_;
  Milliseconds suspended_{0};
  Time fence_renewal_due_at_;
  bool may_send_ = false;  // by the last check of lease and majority
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
