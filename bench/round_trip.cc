// Round trip through entry, placer and worker against calling the worker
// stand-in directly, in one run; then the highest open-loop rate that is held
// with nothing lost.
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
constexpr int kSeconds = 8;

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
                                 {"digest", DigestOf(kKey)}},
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

// Calls one worker over its contract, as the placer does, at the same rate.
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
      const auto due = due_.extract(message.ended().attempt_id());
      if (!due) return;
      latencies_.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - due.mapped())
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
      due_[id] = start_ + std::chrono::duration_cast<Clock::duration>(
                              std::chrono::duration<double>(
                                  static_cast<double>(sent_) / rate_));
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
  std::map<std::string, Clock::time_point> due_;
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
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  for (int i = 1; i <= kSystemTime && stat >> word; ++i) {
    if (i >= kUserTime) ticks += std::atof(word.c_str());
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int Run(const std::string& binaries, int workers) {
  Cluster cluster({.binaries = binaries,
                   .vms_per_domain = 2,
                   .workers_per_domain = workers,
                   .slots = 64,
                   .contract_ttl_ms = 10'000,
                   .contract_renew_ms = 3'000,
                   .task_lease_ms = 30'000});
  if (!cluster.Start() || !cluster.Apply(Records())) return 1;
  const std::string placer = cluster.ActivePlacer("a");
  Load(cluster, 100, 1);  // connections and caches
  std::printf("%8s %8s %10s %8s %8s %8s %8s %10s %10s\n", "rate/s", "sent",
              "answered", "refused", "wrong", "p50 ms", "p99 ms", "entry us",
              "placer us");
  double p50 = 0;
  double p99 = 0;
  for (const double rate :
       {kComparedRate, 1'000.0, 2'000.0, 3'000.0, 4'000.0, 5'000.0}) {
    const double placer_before = CpuSeconds(cluster.PidOf(placer));
    const double entry_before = CpuSeconds(cluster.PidOf("entry-a-1")) +
                                CpuSeconds(cluster.PidOf("entry-a-2"));
    const LoadResult result = Load(cluster, rate, kSeconds);
    const double placer_us =
        (CpuSeconds(cluster.PidOf(placer)) - placer_before) * 1e6 /
        static_cast<double>(result.sent);
    const double entry_us =
        (CpuSeconds(cluster.PidOf("entry-a-1")) +
         CpuSeconds(cluster.PidOf("entry-a-2")) - entry_before) *
        1e6 / static_cast<double>(result.sent);
    const auto& samples = result.latencies.at("quotes");
    std::printf("%8.0f %8zu %10zu %8zu %8zu %8.2f %8.2f %10.0f %10.0f\n", rate,
                result.sent, result.answered, result.Refused(), result.wrong,
                Quantile(samples, 0.5), Quantile(samples, 0.99), entry_us,
                placer_us);
    for (const auto& [reason, count] : result.refusals) {
      std::printf("%18s refused: %s\n", std::to_string(count).c_str(),
                  reason.c_str());
    }
    std::fflush(stdout);
    if (rate == kComparedRate) {
      p50 = Quantile(samples, 0.5);
      p99 = Quantile(samples, 0.99);
    }
  }
  for (const std::string& name : {placer, std::string("entry-a-1")}) {
    std::cout << "resident " << name << ": " << ResidentKib(cluster.PidOf(name))
              << " KiB" << std::endl;
  }
  const std::vector<double> direct =
      DirectCalls(WorkerAddress(cluster), kComparedRate, kSeconds).Run();
  std::printf(
      "direct to the worker at %.0f/s: p50 %.2f ms, p99 %.2f ms\n"
      "added by the system: p50 %.2f ms, p99 %.2f ms\n",
      kComparedRate, Quantile(direct, 0.5), Quantile(direct, 0.99),
      p50 - Quantile(direct, 0.5), p99 - Quantile(direct, 0.99));
  return 0;
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Round trip against a direct call", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> build("b", "build", "build folder", false,
                                     "build", "FOLDER", line);
  TCLAP::ValueArg<int> workers("w", "workers", "workers", false, 8, "N", line);
  line.parse(argc, argv);
  return quetzal::bench::Run(build.getValue(), workers.getValue());
}
