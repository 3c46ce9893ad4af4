// Runs the whole system on local stand-ins: two failure domains, records,
// requests and jobs of every kind. Checks that every request and job is
// accounted for.
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <set>
#include <thread>

#include "bench/support/http_load.h"
#include "quetzal/record/record.h"
#include "tests/support/cluster.h"

namespace quetzal::bench {
namespace {

using testing::Cluster;

constexpr char kLidarKey[] = "demo-key-lidar";
constexpr char kVaultKey[] = "demo-key-vault";
constexpr size_t kRequests = 600;
constexpr double kRate = 200;
constexpr int kJobSeconds = 60;
constexpr std::chrono::milliseconds kPollInterval{100};

struct Job {
  std::string name;
  std::string key;
  nlohmann::json body;
  std::string entry;
  std::string id;
  std::string state;
};

nlohmann::json Records() {
  const nlohmann::json limit = {
      {"cpu_milli", 100'000}, {"memory_mib", 200'000}, {"slots", 100}};
  return nlohmann::json::array({{{"schema", "v2"},
                                 {"kind", "team"},
                                 {"name", "lidar"},
                                 {"share", 2},
                                 {"limit", limit}},
                                {{"schema", "v1"},
                                 {"kind", "team"},
                                 {"name", "vault"},
                                 {"share", 1},
                                 {"limit_cpu_milli", 60'000},
                                 {"limit_memory_mib", 120'000},
                                 {"limit_slots", 60}},
                                {{"schema", "v2"},
                                 {"kind", "key"},
                                 {"name", "lidar-1"},
                                 {"team", "lidar"},
                                 {"digest", KeyDigest(kLidarKey)}},
                                {{"schema", "v1"},
                                 {"kind", "key"},
                                 {"name", "vault-1"},
                                 {"team", "vault"},
                                 {"digest", KeyDigest(kVaultKey)}},
                                {{"schema", "v2"},
                                 {"kind", "queue"},
                                 {"name", "photo-checks"},
                                 {"team", "lidar"},
                                 {"when_cut", "refuse"}},
                                {{"schema", "v1"},
                                 {"kind", "queue"},
                                 {"name", "surveys"},
                                 {"team", "vault"}},
                                {{"schema", "v2"},
                                 {"kind", "queue"},
                                 {"name", "open-day"},
                                 {"team", "lidar"},
                                 {"open", true},
                                 {"when_cut", "serve"}}});
}

LoadRequest MakeRequest(size_t index) {
  static constexpr const char* kQueues[] = {"photo-checks", "surveys",
                                            "open-day"};
  constexpr size_t kQueueCount = 3;
  constexpr size_t kBadKeyEvery = 50;
  LoadRequest request;
  request.label = kQueues[index % kQueueCount];
  request.key = index % kQueueCount == 0   ? kLidarKey
                : index % kQueueCount == 1 ? kVaultKey
                                           : "";
  if (index % kBadKeyEvery == 0) request.key = "revoked-or-wrong";
  request.body =
      nlohmann::json({{"queue", request.label},
                      {"idempotent", index % 2 == 0},
                      {"payload", "run_ms=10 n=" + std::to_string(index)}})
          .dump();
  return request;
}

std::vector<Job> MakeJobs() {
  const nlohmann::json size = {{"cpu_milli", 1'000}, {"memory_mib", 512}};
  return {
      {"batch",
       kVaultKey,
       {{"queue", "surveys"},
        {"kind", "batch"},
        {"tasks", 40},
        {"idempotent", true},
        {"size", size},
        {"payload", "run_ms=200"}}},
      {"gang",
       kLidarKey,
       {{"queue", "photo-checks"},
        {"kind", "gang"},
        {"tasks", 6},
        {"idempotent", true},
        {"size", size},
        {"payload", "run_ms=500"}}},
      {"service",
       kLidarKey,
       {{"queue", "photo-checks"},
        {"kind", "service"},
        {"tasks", 4},
        {"size", size},
        {"payload", "run_ms=-1"}}},
      {"too large",
       kVaultKey,
       {{"queue", "surveys"},
        {"kind", "batch"},
        {"tasks", 1},
        {"size", {{"cpu_milli", 50'000}, {"memory_mib", 512}}}}},
  };
}

class Demo {
 public:
  Demo(const std::string& binaries, bool keep)
      : cluster_({.binaries = binaries, .domains = 2}), keep_(keep) {}

  int Run() {
    std::cout << "starting 2 failure domains: 4 entries, 4 placers, 8 workers, "
                 "1 platform\n";
    if (!cluster_.Start()) return 1;
    std::cout << "writing records with quetzalctl, waiting until in force\n";
    if (!cluster_.Apply(Records())) return 1;
    SubmitJobs();
    RunRequests();
    PollJobs();
    Print();
    if (keep_) KeepRunning();
    return CheckAccounting() ? 0 : 1;
  }

 private:
  std::vector<std::string> Entries() const {
    std::vector<std::string> names;
    for (const std::string& domain : cluster_.Domains()) {
      for (const std::string& entry : cluster_.Entries(domain)) {
        names.push_back(entry);
      }
    }
    return names;
  }

  void SubmitJobs() {
    const std::vector<std::string> entries = Entries();
    jobs_ = MakeJobs();
    for (size_t i = 0; i < jobs_.size(); ++i) {
      Job& job = jobs_[i];
      job.entry = entries[i % entries.size()];
      const ctl::Exchange reply =
          cluster_.Post(job.entry, "/v1/jobs", job.body, job.key);
      job.id = reply.json.value("job", "");
      job.state = reply.json.value("state", reply.json.value("error", "?"));
      std::cout << "job '" << job.name << "': " << reply.body << "\n";
    }
  }

  void RunRequests() {
    LoadSettings settings;
    for (const std::string& entry : Entries()) {
      settings.addresses.push_back(cluster_.HttpAddress(entry));
    }
    settings.rate = kRate;
    settings.count = kRequests;
    settings.make = MakeRequest;
    settings.on_progress = [](size_t answered) {
      constexpr size_t kReportEvery = 100;
      if (answered % kReportEvery != 0) return;
      std::cout << "requests settled: " << answered << " of " << kRequests
                << "\n";
    };
    load_ = RunLoad(settings);
  }

  void PollJobs() {
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(kJobSeconds);
    bool all_finished = false;
    while (!all_finished && std::chrono::steady_clock::now() < until) {
      all_finished = true;
      for (Job& job : jobs_) {
        if (job.id.empty()) continue;
        const ctl::Exchange reply =
            cluster_.Get(job.entry, "/v1/jobs/" + job.id, job.key);
        job.state = reply.json.value("state", "?");
        const bool serves =
            job.name == "service" &&
            reply.json.value("running", 0) == reply.json.value("tasks", -1);
        if (serves) job.state = "serving";
        all_finished =
            all_finished && (job.state == "done" || job.state == "serving");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Counts the requests that the workers' logs show as started; returns whether
  // each started once.
  bool EachRanOnce(size_t* ran) const {
    std::multiset<std::string> started;
    for (const std::string& domain : cluster_.Domains()) {
      for (const auto& line : cluster_.WorkerLog(domain)) {
        if (line["kind"] != "started") continue;
        if (line["class"] == 0) started.insert(line["work"]);
      }
    }
    *ran = started.size();
    return std::set<std::string>(started.begin(), started.end()).size() ==
           started.size();
  }

  void Print() const {
    std::printf("\n%-14s %8s %10s %10s\n", "queue", "answers", "p50 ms",
                "p99 ms");
    for (const auto& [queue, samples] : load_.latencies) {
      std::printf("%-14s %8zu %10.2f %10.2f\n", queue.c_str(), samples.size(),
                  Quantile(samples, 0.5), Quantile(samples, 0.99));
    }
    std::printf("\n%-24s %8s\n", "refused by reason", "count");
    for (const auto& [reason, count] : load_.refusals) {
      std::printf("%-24s %8zu\n", reason.c_str(), count);
    }
    std::printf("\n%-14s %s\n", "job", "state");
    for (const Job& job : jobs_) {
      std::printf("%-14s %s\n", job.name.c_str(), job.state.c_str());
    }
    std::printf("\n%-8s %10s %12s %s\n", "domain", "packing", "waiting",
                "charged cpu by team");
    for (const std::string& domain : cluster_.Domains()) {
      const std::string placer = cluster_.ActivePlacer(domain);
      if (placer.empty()) continue;
      const nlohmann::json status = cluster_.Get(placer, "/v1/status").json;
      std::string teams;
      for (const auto& [team, used] : status["usage"].items()) {
        teams += team + "=" + std::to_string(used.value("cpu_milli", 0)) + "m ";
      }
      std::printf("%-8s %9.1f%% %12d %s\n", domain.c_str(),
                  status.value("packing", 0.0) * 100,
                  status.value("waiting", 0), teams.c_str());
    }
  }

  bool CheckAccounting() const {
    size_t ran = 0;
    const bool once = EachRanOnce(&ran);
    const bool all = load_.answered + load_.Refused() == load_.sent;
    bool jobs = true;
    for (const Job& job : jobs_) {
      jobs = jobs && (job.state == "done" || job.state == "serving" ||
                      job.state == "never_fits");
    }
    std::printf(
        "\nrequests: %zu sent, %zu answered, %zu refused, %zu wrong answers; "
        "workers started %zu\n",
        load_.sent, load_.answered, load_.Refused(), load_.wrong, ran);
    const bool good =
        once && all && jobs && load_.wrong == 0 && ran == load_.answered;
    std::cout << (good ? "every piece of work is accounted for\n"
                       : "NOT every piece of work is accounted for\n");
    return good;
  }

  void KeepRunning() const {
    const std::string entry = cluster_.HttpAddress("entry-a-1");
    std::cout << "\nThe system stays up; end it with Ctrl-C. To try:\n"
              << "  curl -s -H 'Authorization: Bearer " << kLidarKey
              << "' -d '{\"queue\":\"photo-checks\",\"payload\":\"hello\"}' "
              << "http://" << entry << "/v1/requests\n"
              << "  curl -s http://" << entry << "/metrics\n"
              << "  build/programs/ctl/quetzalctl --platform "
              << cluster_.PlatformAddress() << " get\n"
              << "  QUETZAL_KEY=" << kLidarKey
              << " build/programs/ctl/quetzalctl --entry " << entry
              << " status " << jobs_.front().id << "\n"
              << std::flush;
    while (true) std::this_thread::sleep_for(std::chrono::hours(1));
  }

  Cluster cluster_;
  bool keep_;
  LoadResult load_;
  std::vector<Job> jobs_;
};

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Runs the whole system on embedded stand-ins", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> build("b", "build", "build folder", false,
                                     "build", "FOLDER", line);
  TCLAP::SwitchArg keep("k", "keep", "leave the system up", line);
  line.parse(argc, argv);
  return quetzal::bench::Demo(build.getValue(), keep.getValue()).Run();
}
