// Compares the round trip through entry, placer and worker with direct calls to
// the worker stand-in, in one run, and sends higher open-loop rates to find the
// highest that the system sustains without losses.
#include <glib.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>

#include "bench/support/http_load.h"
#include "quetzal/record/record.h"
#include "quetzal/rpc/rpc.h"
#include "tests/support/cluster.h"

namespace quetzal::bench {
namespace {

using testing::Cluster;
using Clock = std::chrono::steady_clock;

constexpr char kKey[] = "bench-key";
constexpr double kComparedRate = 500;
constexpr double kPeakRatePerDomain = 40;
constexpr double kHigherRates[] = {1'000, 2'000, 3'000, 4'000, 5'000};
constexpr int kIntervalSeconds = 8;

nlohmann::json Records() {
  return nlohmann::json::array({{{"schema", "v2"},
                                 {"kind", "team"},
                                 {"name", "bench"},
                                 {"limit",
                                  {{"cpu_milli", 10'000'000},
                                   {"memory_mib", 10'000'000},
                                   {"slots", 100'000}}}},
                                {{"schema", "v1"},
                                 {"kind", "key"},
                                 {"name", "bench"},
                                 {"team", "bench"},
                                 {"digest", KeyDigest(kKey)}},
                                {{"schema", "v2"},
                                 {"kind", "queue"},
                                 {"name", "quotes"},
                                 {"team", "bench"},
                                 {"depth", 100'000}}});
}

LoadResult Load(const Cluster& cluster, double rate, int seconds) {
  LoadSettings settings;
  for (const std::string& entry : cluster.Entries("a")) {
    settings.addresses.push_back(cluster.HttpAddress(entry));
  }
  settings.rate = rate;
  settings.count = static_cast<size_t>(rate * seconds);
  settings.make = [](size_t index) {
    return LoadRequest{.body = R"({"queue":"quotes","payload":"run_ms=0 n=)" +
                               std::to_string(index) + "\"}",
                       .key = kKey,
                       .label = "quotes"};
  };
  return RunLoad(settings);
}

// Calls one worker over its contract, as the placer does, at a given rate.
class DirectCalls {
 public:
  DirectCalls(const std::string& address, double rate, int seconds)
      : rate_(rate), count_(static_cast<size_t>(rate * seconds)) {
    link_ = ContractLink::Open(
        address, {.on_link =
                      [this](bool up) {
                        if (up) Grant(0);
                      },
                  .on_message =
                      [this](const wire::WorkerToPlacer& message) {
                        OnMessage(message);
                      }});
  }

  std::vector<double> Run() {
    loop_ = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop_);
    g_main_loop_unref(loop_);
    return latencies_;
  }

 private:
  void Grant(uint64_t stamp) {
    wire::PlacerToWorker message;
    message.set_epoch(kEpoch);
    wire::Grant* const grant = message.mutable_grant();
    grant->set_epoch(kEpoch);
    grant->set_holder("bench");
    grant->set_ttl_ms(600'000);
    grant->set_task_lease_ms(600'000);
    grant->set_fenced(true);
    grant->set_echoed_stamp_ms(stamp);
    link_->Send(message);
  }

  void OnMessage(const wire::WorkerToPlacer& message) {
    if (message.has_granted()) {
      if (std::exchange(leased_, true)) return;
      Grant(message.granted().stamp_ms());
      start_ = Clock::now();
      g_timeout_add(1, &DirectCalls::OnTick, this);
    } else if (message.has_ended()) {
      const auto sent = sent_at_.extract(message.ended().attempt_id());
      if (!sent) return;
      latencies_.push_back(std::chrono::duration<double, std::milli>(
                               Clock::now() - sent.mapped())
                               .count());
      wire::PlacerToWorker acknowledge;
      acknowledge.set_epoch(kEpoch);
      acknowledge.mutable_acknowledge()->add_attempt_ids(
          message.ended().attempt_id());
      link_->Send(acknowledge);
      if (latencies_.size() == count_) g_main_loop_quit(loop_);
    }
  }

  static gboolean OnTick(gpointer data) {
    return static_cast<DirectCalls*>(data)->SendDue() ? G_SOURCE_CONTINUE
                                                      : G_SOURCE_REMOVE;
  }

  bool SendDue() {
    const double elapsed =
        std::chrono::duration<double>(Clock::now() - start_).count();
    const auto due = std::min(count_, static_cast<size_t>(elapsed * rate_));
    for (; sent_ < due; ++sent_) {
      const std::string id = "bench." + std::to_string(sent_);
      // Latency counts from sending instead of the due time, because the main
      // loop's timer is coarser than the sleeps of `RunLoad`.
      sent_at_[id] = Clock::now();
      wire::PlacerToWorker message;
      message.set_epoch(kEpoch);
      message.mutable_start()->set_attempt_id(id);
      message.mutable_start()->mutable_work()->set_work_id(id);
      message.mutable_start()->mutable_work()->set_payload("run_ms=0");
      link_->Send(message);
    }
    return sent_ < count_;
  }

  static constexpr uint64_t kEpoch = uint64_t{1} << 40;

  double rate_;
  size_t count_;
  std::unique_ptr<ContractLink> link_;
  GMainLoop* loop_ = nullptr;
  bool leased_ = false;
  size_t sent_ = 0;
  Clock::time_point start_;
  std::map<std::string, Clock::time_point> sent_at_;
  std::vector<double> latencies_;
};

std::string WorkerAddress(const Cluster& cluster) {
  const nlohmann::json vms = cluster.Get("platform", "/v1/vms").json;
  for (const auto& vm : vms["vms"]) {
    if (vm["role"] == "worker") return vm["contract_address"];
  }
  return "";
}

int64_t ResidentKib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::atoll(line.c_str() + 6);
  }
  return 0;
}

double CpuSeconds(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  constexpr int kUserTimeField = 14;
  constexpr int kSystemTimeField = 15;
  for (int i = 1; i <= kSystemTimeField && stat >> word; ++i) {
    if (i >= kUserTimeField) ticks += std::atof(word.c_str());
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Processor time of the machine in ticks. The hypervisor gave `stolen` to other
// VMs, which adds noise to a run.
struct MachineTime {
  double total = 0;
  double stolen = 0;
};

MachineTime MachineTimeNow() {
  std::ifstream stat("/proc/stat");
  std::string word;
  stat >> word;  // "cpu"
  constexpr int kColumnCount = 8;
  constexpr int kStealColumn = 7;
  MachineTime time;
  for (int i = 0; i < kColumnCount; ++i) {
    double ticks = 0;
    stat >> ticks;
    time.total += ticks;
    if (i == kStealColumn) time.stolen = ticks;
  }
  return time;
}

struct Percentiles {
  double p50 = 0;
  double p99 = 0;
};

Percentiles ComputePercentiles(const std::vector<double>& latencies) {
  return {Quantile(latencies, 0.5), Quantile(latencies, 0.99)};
}

// Measures the processor time of processes since its construction.
class CpuMeter {
 public:
  explicit CpuMeter(std::vector<pid_t> pids)
      : pids_(std::move(pids)), before_(Sum()) {}
  double Microseconds() const { return (Sum() - before_) * 1e6; }

 private:
  double Sum() const {
    double sum = 0;
    for (const pid_t pid : pids_) sum += CpuSeconds(pid);
    return sum;
  }
  std::vector<pid_t> pids_;
  double before_;
};

Percentiles RunRate(const Cluster& cluster, double rate) {
  const CpuMeter placer({cluster.PidOf(cluster.ActivePlacer("a"))});
  const CpuMeter entries(
      {cluster.PidOf("entry-a-1"), cluster.PidOf("entry-a-2")});
  const MachineTime before = MachineTimeNow();
  const LoadResult result = Load(cluster, rate, kIntervalSeconds);
  const MachineTime after = MachineTimeNow();
  const double stolen =
      100 * (after.stolen - before.stolen) / (after.total - before.total);
  const auto sent = static_cast<double>(result.sent);
  const auto found = result.latencies.find("quotes");
  const Percentiles percentiles = ComputePercentiles(
      found == result.latencies.end() ? std::vector<double>() : found->second);
  std::printf(
      "%8.0f %8.0f %8zu %10zu %8zu %8zu %8.2f %8.2f %10.0f %10.0f %8.1f\n",
      rate, sent / result.seconds, result.sent, result.answered,
      result.Refused(), result.wrong, percentiles.p50, percentiles.p99,
      entries.Microseconds() / sent, placer.Microseconds() / sent, stolen);
  for (const auto& [reason, count] : result.refusals) {
    std::printf("%18s refused: %s\n", std::to_string(count).c_str(),
                reason.c_str());
  }
  std::fflush(stdout);
  return percentiles;
}

void PrintResident(const Cluster& cluster) {
  for (const std::string& name :
       {cluster.ActivePlacer("a"), std::string("entry-a-1")}) {
    std::printf("resident %s: %.1f MB\n", name.c_str(),
                static_cast<double>(ResidentKib(cluster.PidOf(name))) / 1024);
  }
}

// Prints memory use over time at a steady rate. Memory for what is retained for
// a while levels off.
void Soak(const Cluster& cluster, int intervals) {
  for (int i = 0; i < intervals; ++i) {
    RunRate(cluster, kComparedRate);
    PrintResident(cluster);
  }
}

int Run(const std::string& binaries, int workers, int soak_intervals) {
  Cluster cluster({.binaries = binaries,
                   .vms_per_domain = 2,
                   .workers_per_domain = workers,
                   .slots = 64,
                   .contract_ttl_ms = 10'000,
                   .contract_renew_ms = 3'000,
                   .task_lease_ms = 30'000});
  if (!cluster.Start() || !cluster.Apply(Records())) return 1;
  Load(cluster, 100, 1);  // warms up connections and caches
  PrintResident(cluster);
  std::printf("%8s %8s %8s %10s %8s %8s %8s %8s %10s %10s %8s\n", "rate/s",
              "held/s", "sent", "answered", "refused", "wrong", "p50 ms",
              "p99 ms", "entry us", "placer us", "stolen %");
  RunRate(cluster, kPeakRatePerDomain);
  const Percentiles through_system = RunRate(cluster, kComparedRate);
  if (soak_intervals > 0) {
    Soak(cluster, soak_intervals);
    return 0;
  }
  for (const double rate : kHigherRates) RunRate(cluster, rate);
  PrintResident(cluster);
  const Percentiles direct = ComputePercentiles(
      DirectCalls(WorkerAddress(cluster), kComparedRate, kIntervalSeconds)
          .Run());
  std::printf(
      "direct to the worker at %.0f/s: p50 %.2f ms, p99 %.2f ms\n"
      "added by the system: p50 %.2f ms, p99 %.2f ms\n",
      kComparedRate, direct.p50, direct.p99, through_system.p50 - direct.p50,
      through_system.p99 - direct.p99);
  return 0;
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Round trip against a direct call", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> build("b", "build", "build folder", false,
                                     "build", "FOLDER", line);
  TCLAP::ValueArg<int> workers("w", "workers", "workers", false, 8, "N", line);
  TCLAP::ValueArg<int> soak("", "soak",
                            "pieces of 8 seconds at 500 requests a second, "
                            "instead of higher rates",
                            false, 0, "N", line);
  line.parse(argc, argv);
  return quetzal::bench::Run(build.getValue(), workers.getValue(),
                             soak.getValue());
}
