// Randomized soak of the cell: the shipped programs as processes on this
// machine, the stand-in for the users' platform, and injected faults: signals
// to processes, outages of the store, workers that crash or whose heartbeats
// are lost, and proxies that delay, block in one or both directions, reset or
// refuse machines' links to the store and placers' links to single workers. The
// soak checks what workers and callers see while it runs, also on workers that
// can't be reached; afterwards, every accepted job must end. Some clients leave
// their submission early and cancel the job: once that is answered 410, it must
// never run.
//
//   cell_soak --seed 7 --seconds 30
//
// A seed determines the series of faults and jobs.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "tests/soak/loopback_proxy.h"
#include "tests/support/cell_cluster.h"

namespace quetzal::testing {
namespace {

constexpr int kMachines = 3;
constexpr int kWorkers = CellCluster::kWorkers;
constexpr int kMaxStoreLinkFaultMs = 4'000;
constexpr int kMaxWorkerFaultMs = 8'000;
constexpr int kOk = 200;
constexpr int kBusy = 429;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
// For each accepted job, after all faults end.
constexpr int kMaxEndSeconds = 60;
constexpr int kMaxSubmitAttempts = 4;
// In which a configuration must be in force at entries that can reach the
// store; other entries may not deny what it added.
constexpr gint64 kApplyUs = 3'000'000;
constexpr int kApplySeconds = 3;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr gint64 kUsPerSecond = 1'000'000;

enum class Fate {
  kAccepted,
  kRefused,  // every attempt was rejected: the job must never run
  kUnknown,  // some attempt had no definite answer
};

struct SentJob {
  std::string id;
  Fate fate = Fate::kRefused;
  bool cancelled = false;
};

class Soak {
 public:
  explicit Soak(uint64_t seed)
      : random_(seed),
        client_random_(seed),
        cluster_(kMachines, LinkKind::kThroughProxies) {}

  // Returns the number of violated guarantees.
  int Run(int seconds) {
    for (int i = 0; i < kMachines; ++i) {
      store_links_.push_back(std::make_unique<LoopbackProxy>(
          cluster_.StoreLinkPort(i), cluster_.StorePort()));
    }
    for (int i = 0; i < kWorkers; ++i) {
      worker_links_.push_back(std::make_unique<LoopbackProxy>(
          cluster_.WorkerLinkPort(i), cluster_.WorkerPort(i)));
    }
    for (const auto* const links : {&store_links_, &worker_links_}) {
      for (const auto& link : *links) {
        if (!link->is_listening()) return ReportViolation("no port", "proxy");
      }
    }
    if (!cluster_.Start()) return ReportViolation("the cell doesn't start", "");
    const gint64 until = g_get_monotonic_time() + seconds * kUsPerSecond;
    for (int i = 0; g_get_monotonic_time() < until; ++i) {
      only_workers_ = i / kStretchRounds % 2 == 1;
      RunDueHeals();
      if (Chance(kFaultProbability)) InjectFault();
      Submit();
      if (Chance(kCancelProbability)) CancelOne();
      LeaveAndCancel();
      CheckWorkers();
      if (Chance(kPublishProbability)) Publish();
      CheckConfiguration();
      g_usleep(static_cast<gulong>(Draw(10'000, 60'000)));
    }
    HealAll();
    CheckAcceptedJobsEnd();
    CheckNewestConfiguration();
    CheckWorkers();
    CheckRefusedNeverRan();
    CheckCancelledNeverRan();
    std::printf(
        "jobs %zu, faults %d, cancelled before acceptance %zu of %d early "
        "cancels, broken promises %d\n",
        jobs_.size(), faults_, gone_.size(), early_cancels_, violations_);
    return violations_;
  }

 private:
  using Links = std::vector<std::unique_ptr<LoopbackProxy>>;
  static constexpr double kFaultProbability = 0.18;
  // Every other stretch has faults of workers only, while a placer is active.
  static constexpr int kStretchRounds = 80;
  static constexpr double kCancelProbability = 0.05;
  static constexpr double kPublishProbability = 0.1;
  static constexpr int kRoundsPerEarlyCancel = 2;
  static constexpr int kFirstEarlyId = 0x1000'0000;
  static constexpr int kMaxEarlyLeaveMs = 6;
  static constexpr Milliseconds kEarlyCancelTimeout{1'000};

  int ReportViolation(const std::string& what, const std::string& detail) {
    std::printf("BROKEN: %s %s\n", what.c_str(), detail.c_str());
    return ++violations_;
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  int Draw(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  void ScheduleHeal(int ms, std::function<void()> heal) {
    constexpr gint64 kUsPerMs = 1'000;
    heals_.emplace(g_get_monotonic_time() + ms * kUsPerMs, std::move(heal));
  }
  void RunDueHeals() {
    while (!heals_.empty() && heals_.begin()->first <= g_get_monotonic_time()) {
      const std::function<void()> heal = heals_.begin()->second;
      heals_.erase(heals_.begin());
      heal();
    }
  }
  void HealAll() {
    for (const auto& [at, heal] : heals_) heal();
    heals_.clear();
  }

  void InjectFault() {
    constexpr int kKinds = 9;
    constexpr int kFirstWorkerKind = 6;
    const int kind = Draw(0, kKinds - 1);
    const bool is_worker_fault = kind >= kFirstWorkerKind && kind != kKinds - 1;
    if (only_workers_ && !is_worker_fault) return;
    ++faults_;
    const int machine = Draw(0, kMachines - 1);
    const std::string name =
        (Chance(0.6) ? "placer-" : "entry-") + std::to_string(machine);
    const int worker = Draw(0, kWorkers - 1);
    switch (kind) {
      case 0:
        EndProcess(name, SIGKILL);
        break;
      case 1:
        EndProcess(name, SIGTERM);
        break;
      case 2:
        Suspend(name);
        break;
      case 3:
        DegradeLink("machine", machine, store_links_, kMaxStoreLinkFaultMs);
        break;
      case 4:
        std::printf("reset of machine %d's link\n", machine);
        store_links_[static_cast<size_t>(machine)]->ResetAll();
        break;
      case 5:
        StopStore();
        break;
      case 6:
        DegradeLink("worker", worker, worker_links_, kMaxWorkerFaultMs);
        break;
      case 7:
        CrashWorker(worker);
        break;
      case 8:
        SilenceWorkersAroundHandover();
        break;
    }
  }
  void EndProcess(const std::string& name, int signal) {
    // Skips processes that are down, and suspended ones, as these don't handle
    // SIGTERM.
    if (!unavailable_.insert(name).second) return;
    std::printf("signal %d to %s\n", signal, name.c_str());
    cluster_.Signal(name, signal);
    ScheduleHeal(Draw(50, 2'500), [this, name] {
      unavailable_.erase(name);
      if (!cluster_.Launch(name)) ReportViolation("can't be launched:", name);
    });
  }
  void Suspend(const std::string& name) {
    if (!unavailable_.insert(name).second) return;
    std::printf("%s stands still\n", name.c_str());
    cluster_.Signal(name, SIGSTOP);
    ScheduleHeal(Draw(300, 4'000), [this, name] {
      unavailable_.erase(name);
      cluster_.Signal(name, SIGCONT);
    });
  }
  void DegradeLink(const std::string& whose, int index, const Links& links,
                   int max_ms) {
    const std::string name = "link of " + whose + " " + std::to_string(index);
    if (!unavailable_.insert(name).second) return;
    LoopbackProxy* const link = links[static_cast<size_t>(index)].get();
    const auto fault =
        static_cast<LinkFault>(Draw(static_cast<int>(LinkFault::kSlow),
                                    static_cast<int>(LinkFault::kRefused)));
    // Calls whose answers are held back have been executed when their
    // connections are reset.
    const int held_ms = fault >= LinkFault::kReset ? Draw(0, 200) : 0;
    std::printf("fault %d of %s\n", static_cast<int>(fault), name.c_str());
    if (held_ms > 0) link->SetFault(LinkFault::kRepliesBlocked);
    ScheduleHeal(held_ms, [link, fault] { link->SetFault(fault); });
    ScheduleHeal(held_ms + Draw(300, max_ms), [this, name, link] {
      unavailable_.erase(name);
      link->SetFault(LinkFault::kNone);
    });
  }
  void InjectWorkerFault(const std::string& request) {
    std::printf("%s\n", request.c_str());
    cluster_.InjectWorkerFault(request);
  }
  void CrashWorker(int worker) {
    const std::string name = "worker-" + std::to_string(worker);
    if (!unavailable_.insert(name).second) return;
    const int down_ms = Draw(1, 1'500);
    const int silent_ms = down_ms + Draw(0, 4'000);
    const int late_ms = silent_ms + Draw(0, 1'500);
    InjectWorkerFault("/crash?worker=" + std::to_string(worker) +
                      "&down-ms=" + std::to_string(down_ms) +
                      "&silent-ms=" + std::to_string(silent_ms) +
                      "&late-ms=" + std::to_string(late_ms));
    ScheduleHeal(late_ms, [this, name] { unavailable_.erase(name); });
  }
  // Loses heartbeats of some workers, and ends the active placer meanwhile.
  void SilenceWorkersAroundHandover() {
    for (int i = Draw(1, 3); i > 0; --i) {
      InjectWorkerFault(
          "/silence?worker=" + std::to_string(Draw(0, kWorkers - 1)) +
          "&silent-ms=" + std::to_string(Draw(500, kMaxWorkerFaultMs)));
    }
    const int signal = Chance(0.5) ? SIGKILL : SIGTERM;
    ScheduleHeal(Draw(0, 5'000), [this, signal] {
      // A suspended placer wouldn't tell whether it is active.
      const auto placer = unavailable_.lower_bound("placer-");
      const bool any_down =
          placer != unavailable_.end() && placer->starts_with("placer-");
      const int active = any_down ? -1 : cluster_.Leader();
      if (active < 0) return;
      EndProcess("placer-" + std::to_string(active), signal);
    });
  }
  void StopStore() {
    if (!unavailable_.insert("store").second) return;
    std::printf("the store is down\n");
    cluster_.SetStoreDown(true);
    ScheduleHeal(Draw(300, 3'000), [this] {
      unavailable_.erase("store");
      cluster_.SetStoreDown(false);
    });
  }

  std::string DrawBody() {
    const int run_ms = Draw(20, 700);
    const std::string step =
        R"("cpu":1000,"task-memory-mb":10,"estimated-duration-ms":)" +
        std::to_string(run_ms);
    std::string steps = "{\"count\":" + std::to_string(Draw(1, 4)) + "," +
                        (Chance(0.3) ? "\"saves-progress\":true," : "") + step +
                        "}";
    if (Chance(0.5)) steps += R"(,{"count":1,"after":[0],)" + step + "}";
    return "{\"specification\":\"" + std::to_string(run_ms) + "\",\"steps\":[" +
           steps + "]}";
  }
  // Submits a job as callers do: after a failure, with the same id at another
  // entry.
  void Submit() {
    char id[17];
    std::snprintf(id, sizeof(id), "%016zx", jobs_.size() + 1);
    SentJob job{.id = id};
    const std::string body = DrawBody();
    for (int i = 0; i < kMaxSubmitAttempts; ++i) {
      const int machine = Draw(0, kMachines - 1);
      if (unavailable_.contains("entry-" + std::to_string(machine))) continue;
      const HttpClientResult answer = cluster_.Submit(machine, job.id, body);
      if (answer.ok()) {
        job.fate = Fate::kAccepted;
        break;
      }
      const bool is_refusal =
          answer.kind == HttpClientResult::Kind::kConnectionRefused ||
          answer.status == kUnavailable || answer.status == kBusy;
      if (!is_refusal) job.fate = Fate::kUnknown;
    }
    jobs_.push_back(job);
  }
  void CancelOne() {
    if (jobs_.empty()) return;
    SentJob& job =
        jobs_[static_cast<size_t>(Draw(0, static_cast<int>(jobs_.size()) - 1))];
    if (job.fate != Fate::kAccepted) return;
    const int machine = Draw(0, kMachines - 1);
    if (unavailable_.contains("entry-" + std::to_string(machine))) return;
    const HttpClientResult answer =
        cluster_.Call(machine, "DELETE", "/quotes/" + job.id);
    // Without an answer the job may be cancelled or not, so that either end is
    // correct.
    job.cancelled = true;
    if (answer.kind == HttpClientResult::Kind::kAnswered &&
        answer.status == kGone) {
      ReportViolation("an accepted job isn't known:", job.id);
    }
  }

  // Leaves a submission early and cancels the job at any entry, also at one
  // that can't be reached. Some such clients submit the job once more
  // afterwards.
  void LeaveAndCancel() {
    const auto draw = [this](int from, int to) {
      return std::uniform_int_distribution<int>(from, to)(client_random_);
    };
    if (draw(0, kRoundsPerEarlyCancel) != 0) return;
    ++early_cancels_;
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", kFirstEarlyId + early_cancels_);
    const std::string path = std::string("/quotes/") + id;
    const std::string body =
        R"({"specification":"50","steps":[{"count":1,"cpu":1000,)"
        R"("task-memory-mb":10,"estimated-duration-ms":50}]})";
    cluster_.Call(draw(0, kMachines - 1), "POST", path, body, CellCluster::kKey,
                  Milliseconds(draw(1, kMaxEarlyLeaveMs)));
    const HttpClientResult answer =
        cluster_.Call(draw(0, kMachines - 1), "DELETE", path, "",
                      CellCluster::kKey, kEarlyCancelTimeout);
    if (answer.status != kGone) return;
    gone_.insert(id);
    if (draw(0, 1) == 0) return;
    const HttpClientResult again =
        cluster_.Call(draw(0, kMachines - 1), "POST", path, body,
                      CellCluster::kKey, kEarlyCancelTimeout);
    if (again.ok()) ReportViolation("a cancelled job is accepted:", id);
  }

  void CheckWorkers() {
    const nlohmann::json judgement = cluster_.StandinReport();
    if (!judgement.is_object()) {
      ReportViolation("the stand-in doesn't answer", "");
      return;
    }
    for (const char* const rule :
         {"started_twice", "started_after_end", "over_capacity"}) {
      const int count = judgement.value(rule, -1);
      if (count != last_counts_[rule]) {
        ReportViolation(rule, std::to_string(count));
      }
      last_counts_[rule] = count;
    }
  }
  void Publish() {
    const int version = cluster_.PublishConfiguration();
    published_[version] = g_get_monotonic_time();
  }
  // Asks an entry for the newest queue that it must know.
  void CheckConfiguration() {
    int due = 0;
    for (const auto& [version, at] : published_) {
      if (at + kApplyUs < g_get_monotonic_time()) due = version;
    }
    const int machine = Draw(0, kMachines - 1);
    if (due == 0 || unavailable_.contains("entry-" + std::to_string(machine))) {
      return;
    }
    const int status = cluster_.StatusOfAddedQueue(machine, due);
    if (status == kNotFound || status == kUnauthorized) {
      ReportViolation("an entry denies a confirmed queue:",
                      "machine " + std::to_string(machine) + ", version " +
                          std::to_string(due));
    }
  }
  void CheckNewestConfiguration() {
    const int version = cluster_.PublishConfiguration();
    for (int i = 0; i < kMachines; ++i) {
      if (!cluster_.WaitFor(kApplySeconds, [&] {
            return cluster_.StatusOfAddedQueue(i, version) == kOk;
          })) {
        ReportViolation("the newest configuration isn't in force:",
                        std::to_string(i));
      }
    }
  }
  void CheckAcceptedJobsEnd() {
    for (int i = 0; i < kMachines; ++i) {
      if (!cluster_.WaitReady(i, kMaxEndSeconds)) {
        ReportViolation("not ready after all was healed:", std::to_string(i));
      }
    }
    for (const SentJob& job : jobs_) {
      if (job.fate != Fate::kAccepted) continue;
      const bool ends = cluster_.WaitFor(kMaxEndSeconds, [&] {
        const std::string state = cluster_.StateOf(0, job.id);
        return state == "completed" || (job.cancelled && state == "cancelled");
      });
      if (!ends) {
        ReportViolation("an accepted job doesn't end:",
                        job.id + " is '" + cluster_.StateOf(0, job.id) + "'");
      }
    }
  }
  void CheckRefusedNeverRan() {
    const std::set<std::string> started = cluster_.StartedJobs();
    for (const SentJob& job : jobs_) {
      if (job.fate == Fate::kRefused && started.contains(job.id)) {
        ReportViolation("a job that every entry refused has run:", job.id);
      }
    }
  }

  // A job that was accepted before its cancel is answered 200, not 410.
  void CheckCancelledNeverRan() {
    const std::set<std::string> started = cluster_.StartedJobs();
    for (const std::string& id : gone_) {
      if (started.contains(id)) {
        ReportViolation("a job whose cancel was answered 410 has run:", id);
      }
    }
  }

  std::mt19937_64 random_;
  // Apart, so that the series of faults and jobs doesn't depend on it.
  std::mt19937_64 client_random_;
  CellCluster cluster_;
  Links store_links_;
  Links worker_links_;
  // By monotonic time in microseconds.
  std::multimap<gint64, std::function<void()>> heals_;
  // Processes that are down or suspended, links and workers with faults, and
  // "store" during an outage.
  std::set<std::string> unavailable_;
  std::vector<SentJob> jobs_;
  int early_cancels_ = 0;
  // Whose cancel was answered 410.
  std::set<std::string> gone_;
  std::map<std::string, int> last_counts_;
  // When versions of the configuration were confirmed, in microseconds.
  std::map<int, gint64> published_;
  bool only_workers_ = false;
  int faults_ = 0;
  int violations_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Randomized soak of the cell's processes.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "of faults and jobs", false, 1,
                                 "number", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "with faults", false, 30,
                               "number", command);
  command.parse(argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Soak soak(seed.getValue());
  return soak.Run(seconds.getValue()) == 0 ? 0 : 1;
}

}  // namespace
}  // namespace quetzal::testing

int main(int argc, char** argv) { return quetzal::testing::Main(argc, argv); }
