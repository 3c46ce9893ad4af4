// Runs generated loads through the production core of the cell in virtual time
// and prints the results that callers would see. A seed determines the report.
//
//   cell_policy [--seed 1] [--load calm|burst|flood|storm|surge|all]
//   [--size today|grown|large|all]
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>
#include <map>

#include "bench/support/virtual_cell.h"

namespace quetzal::bench {
namespace {

constexpr Milliseconds kDrainTime{25'000};

std::vector<Burst> MakeBursts(const std::string& load) {
  if (load == "burst") {
    return {{.job_class = "quick",
             .from = Milliseconds(6'000),
             .to = Milliseconds(10'000),
             .factor = 2.3},
            {.job_class = "heavy",
             .from = Milliseconds(20'000),
             .to = Milliseconds(24'000),
             .factor = 1.7}};
  }
  if (load == "flood") {
    return {{.from = Milliseconds(6'000),
             .to = Milliseconds(14'000),
             .factor = 8,
             .team = "t1"},
            {.job_class = "quick",
             .from = Milliseconds(8'000),
             .to = Milliseconds(12'000),
             .factor = 2.3}};
  }
  if (load == "surge") {
    return {
        {.from = Milliseconds(6'000), .to = Milliseconds(12'000), .factor = 4}};
  }
  if (load == "storm") {
    return {{.from = Milliseconds(4'000),
             .to = Milliseconds(12'000),
             .factor = 4,
             .team = "t1"},
            {.job_class = "quick",
             .from = Milliseconds(5'000),
             .to = Milliseconds(9'000),
             .factor = 2.3},
            {.job_class = "heavy",
             .from = Milliseconds(19'000),
             .to = Milliseconds(23'000),
             .factor = 1.7}};
  }
  return {};
}

Deployment DeploymentOf(const std::string& size) {
  if (size == "today") return TodaysDeployment();
  return size == "grown" ? GrownDeployment() : LargeDeployment();
}

void RunAndPrint(const std::string& size, const std::string& load,
                 uint64_t seed) {
  Deployment deployment = DeploymentOf(size);
  deployment.bursts = MakeBursts(load);
  if (load == "storm") {
    deployment.adviser_cut = {
        .share = 0.35, .from = Milliseconds(1'000), .to = Milliseconds(13'000)};
  }
  const auto began = std::chrono::steady_clock::now();
  VirtualCell cell(deployment, seed);
  cell.Run(kDrainTime);
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  const CellReport report = cell.Report();
  std::printf(
      "%-5s %-5s credit %.3f  busy %.2f  waste %.0f core-s  starts %lld  "
      "advice %lld calls %.0f s  over capacity %d  (%.1f s)\n",
      size.c_str(), load.c_str(), report.credit, report.busy_share,
      report.wasted_core_seconds, static_cast<long long>(report.starts),
      static_cast<long long>(report.queries), report.advice_seconds,
      cell.over_capacity(), took.count());
  for (const ClassReport& row : report.classes) {
    std::printf(
        "      %-6s asked %5d  in time %5d  late %5d  credit %.3f  in time "
        "%.2f, largest fifth %.2f  wait p50 %5lld  p95 %6lld ms\n",
        row.name.c_str(), row.asked, row.in_time, row.late, row.credit,
        row.in_time_share, row.largest_in_time_share,
        static_cast<long long>(row.wait_p50.count()),
        static_cast<long long>(row.wait_p95.count()));
  }
  std::fflush(stdout);
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Replays loads through the core of the cell.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "of the jobs", false, 1, "number",
                                 command);
  TCLAP::ValueArg<std::string> load("", "load",
                                    "calm, burst, flood, storm, surge or all",
                                    false, "all", "load", command);
  TCLAP::ValueArg<std::string> size("", "size", "today, grown, large or all",
                                    false, "all", "size", command);
  command.parse(argc, argv);
  for (const std::string each_size : {"today", "grown", "large"}) {
    if (size.getValue() != "all" && size.getValue() != each_size) continue;
    for (const std::string each :
         {"calm", "burst", "flood", "storm", "surge"}) {
      if (load.getValue() != "all" && load.getValue() != each) continue;
      RunAndPrint(each_size, each, seed.getValue());
    }
  }
  return 0;
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) { return quetzal::bench::Run(argc, argv); }
