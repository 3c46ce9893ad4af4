// Randomized soak of the cell: the shipped programs as processes on this
// machine, the stand-in for the users' platform, and faults from outside:
// signals to processes, an outage of the store, and proxies that make machines'
// links to the store slow, silent or one way, or reset them. What workers and
// callers see is checked while it runs; afterwards, every accepted job must
// end.
//
//   cell_soak --seed 7 --seconds 30
//
// The same seed draws the same series of faults and jobs.
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
constexpr int kOk = 200;
constexpr int kBusy = 429;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kEndSeconds = 60;  // for all accepted jobs, once all is healed
constexpr int kTriesOfCaller = 4;
constexpr gint64 kSecondUs = 1'000'000;

enum class Fate {
  kAccepted,
  kRefused,  // each try was rejected: it must never run
  kUnsure,   // some try had no answer
};

struct SentJob {
  std::string id;
  Fate fate = Fate::kRefused;
  bool cancelled = false;
};

class Soak {
 public:
  explicit Soak(uint64_t seed)
      : random_(seed), cluster_(kMachines, LinkKind::kThroughProxies) {}

  // Returns the number of broken promises.
  int Run(int seconds) {
    for (int i = 0; i < kMachines; ++i) {
      proxies_.push_back(std::make_unique<LoopbackProxy>(
          cluster_.StoreLinkPort(i), cluster_.StorePort()));
      if (!proxies_.back()->is_listening()) return Broken("no port", "proxy");
    }
    if (!cluster_.Start()) return Broken("the cell doesn't start", "");
    const gint64 until = g_get_monotonic_time() + seconds * kSecondUs;
    while (g_get_monotonic_time() < until) {
      HealWhatIsDue();
      if (Chance(kFaultShare)) Strike();
      Submit();
      if (Chance(kCancelShare)) CancelOne();
      CheckWorkers();
      g_usleep(static_cast<gulong>(Draw(10'000, 60'000)));
    }
    HealAll();
    ExpectEnds();
    CheckWorkers();
    CheckRefused();
    std::printf("jobs %zu, faults %d, broken promises %d\n", jobs_.size(),
                faults_, broken_);
    return broken_;
  }

 private:
  static constexpr double kFaultShare = 0.12;
  static constexpr double kCancelShare = 0.05;

  int Broken(const std::string& what, const std::string& detail) {
    std::printf("BROKEN: %s %s\n", what.c_str(), detail.c_str());
    return ++broken_;
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  int Draw(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  void Later(int ms, std::function<void()> heal) {
    constexpr gint64 kMsUs = 1'000;
    due_.emplace(g_get_monotonic_time() + ms * kMsUs, std::move(heal));
  }
  void HealWhatIsDue() {
    while (!due_.empty() && due_.begin()->first <= g_get_monotonic_time()) {
      const std::function<void()> heal = due_.begin()->second;
      due_.erase(due_.begin());
      heal();
    }
  }
  void HealAll() {
    for (const auto& [at, heal] : due_) heal();
    due_.clear();
  }

  void Strike() {
    ++faults_;
    const int machine = Draw(0, kMachines - 1);
    const std::string name =
        (Chance(0.6) ? "placer-" : "entry-") + std::to_string(machine);
    constexpr int kKinds = 6;
    switch (Draw(0, kKinds - 1)) {
      case 0:
        EndProcess(name, SIGKILL);
        break;
      case 1:
        EndProcess(name, SIGTERM);
        break;
      case 2:
        Freeze(name);
        break;
      case 3:
        SpoilLink(machine);
        break;
      case 4:
        std::printf("reset of machine %d's link\n", machine);
        proxies_[static_cast<size_t>(machine)]->ResetAll();
        break;
      case 5:
        StopStore();
        break;
    }
  }
  void EndProcess(const std::string& name, int signal) {
    // A stopped process doesn't take SIGTERM, and each is down once at a time.
    if (!away_.insert(name).second) return;
    std::printf("signal %d to %s\n", signal, name.c_str());
    cluster_.Kill(name, signal);
    Later(Draw(50, 2'500), [this, name] {
      away_.erase(name);
      if (!cluster_.Launch(name)) Broken("can't be launched:", name);
    });
  }
  void Freeze(const std::string& name) {
    if (!away_.insert(name).second) return;
    std::printf("%s stands still\n", name.c_str());
    cluster_.Kill(name, SIGSTOP);
    Later(Draw(300, 4'000), [this, name] {
      away_.erase(name);
      cluster_.Kill(name, SIGCONT);
    });
  }
  void SpoilLink(int machine) {
    LoopbackProxy* const proxy = proxies_[static_cast<size_t>(machine)].get();
    const auto fault =
        static_cast<LinkFault>(Draw(static_cast<int>(LinkFault::kSlow),
                                    static_cast<int>(LinkFault::kNoAnswers)));
    std::printf("fault %d of machine %d's link\n", static_cast<int>(fault),
                machine);
    proxy->SetFault(fault);
    Later(Draw(300, 4'000), [proxy] { proxy->SetFault(LinkFault::kNone); });
  }
  void StopStore() {
    if (!away_.insert("store").second) return;
    std::printf("the store is down\n");
    cluster_.SetStoreDown(true);
    Later(Draw(300, 3'000), [this] {
      away_.erase("store");
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
  // As a caller does: the same id again, at another entry, after a failure.
  void Submit() {
    char id[17];
    std::snprintf(id, sizeof(id), "%016zx", jobs_.size() + 1);
    SentJob job{.id = id};
    const std::string body = DrawBody();
    for (int i = 0; i < kTriesOfCaller; ++i) {
      const int machine = Draw(0, kMachines - 1);
      if (away_.contains("entry-" + std::to_string(machine))) continue;
      const HttpClientResult answer = cluster_.Submit(machine, job.id, body);
      if (answer.ok()) {
        job.fate = Fate::kAccepted;
        break;
      }
      const bool is_refusal =
          answer.kind == HttpClientResult::Kind::kConnectionRefused ||
          answer.status == kUnavailable || answer.status == kBusy;
      if (!is_refusal) job.fate = Fate::kUnsure;
    }
    jobs_.push_back(job);
  }
  void CancelOne() {
    if (jobs_.empty()) return;
    SentJob& job =
        jobs_[static_cast<size_t>(Draw(0, static_cast<int>(jobs_.size()) - 1))];
    if (job.fate != Fate::kAccepted) return;
    const int machine = Draw(0, kMachines - 1);
    if (away_.contains("entry-" + std::to_string(machine))) return;
    const HttpClientResult answer =
        cluster_.Call(machine, "DELETE", "/quotes/" + job.id);
    // Without an answer it may be cancelled or not; either end is right.
    job.cancelled = true;
    if (answer.kind == HttpClientResult::Kind::kAnswered &&
        answer.status == kGone) {
      Broken("an accepted job isn't known:", job.id);
    }
  }

  void CheckWorkers() {
    const nlohmann::json judgement = cluster_.Judgement();
    for (const char* const rule :
         {"started_twice", "started_after_end", "over_capacity"}) {
      const int seen = judgement.value(rule, -1);
      if (seen != seen_[rule]) Broken(rule, std::to_string(seen));
      seen_[rule] = seen;
    }
  }
  void ExpectEnds() {
    for (int i = 0; i < kMachines; ++i) {
      if (!cluster_.WaitReady(i, kEndSeconds)) {
        Broken("not ready after all was healed:", std::to_string(i));
      }
    }
    for (const SentJob& job : jobs_) {
      if (job.fate != Fate::kAccepted) continue;
      const bool ends = cluster_.WaitFor(kEndSeconds, [&] {
        const std::string state = cluster_.StateOf(0, job.id);
        return state == "completed" || (job.cancelled && state == "cancelled");
      });
      if (!ends) {
        Broken("an accepted job doesn't end:",
               job.id + " is '" + cluster_.StateOf(0, job.id) + "'");
      }
    }
  }
  void CheckRefused() {
    const std::set<std::string> started = cluster_.StartedJobs();
    for (const SentJob& job : jobs_) {
      if (job.fate == Fate::kRefused && started.contains(job.id)) {
        Broken("a job that every entry refused has run:", job.id);
      }
    }
  }

  std::mt19937_64 random_;
  CellCluster cluster_;
  std::vector<std::unique_ptr<LoopbackProxy>> proxies_;
  std::multimap<gint64, std::function<void()>> due_;  // by monotonic time
  std::set<std::string> away_;
  std::vector<SentJob> jobs_;
  std::map<std::string, int> seen_;
  int faults_ = 0;
  int broken_ = 0;
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
