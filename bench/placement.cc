// Measures one placement with three ways of finding a worker, at several fleet
// sizes, and the whole core with queued work.
//
//   scan    examines every worker (the production ledger)
//   order   orders workers by free processors, and examines a few from the
//           first that has enough
//   alpha   maintains, for each distinct size, the set of workers that it fits
//           on (like the alpha memories of the Rete algorithm)
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <set>

#include "bench/support/http_load.h"
#include "bench/support/virtual_domain.h"
#include "quetzal/ledger/ledger.h"

namespace quetzal::bench {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int64_t kWorkerCpuMilli = 16'000;
constexpr int64_t kWorkerMemoryMib = 32'768;

double MicrosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

std::vector<Resources> Sizes() {
  std::vector<Resources> sizes;
  for (const int64_t cpu : {250, 500, 1'000, 2'000, 3'000, 4'000}) {
    sizes.push_back({.cpu_milli = cpu, .memory_mib = cpu * 2});
  }
  return sizes;
}

// Free capacity by worker, which the indexes read and update.
struct Fleet {
  explicit Fleet(int workers)
      : free(static_cast<size_t>(workers),
             {.cpu_milli = kWorkerCpuMilli, .memory_mib = kWorkerMemoryMib}) {}
  std::vector<Resources> free;
};

class OrderedIndex {
 public:
  explicit OrderedIndex(Fleet* fleet) : fleet_(fleet) {
    for (size_t i = 0; i < fleet->free.size(); ++i) Insert(i);
  }
  std::optional<size_t> Pick(const Resources& size) const {
    constexpr int kMaxExamined = 16;
    int examined = 0;
    for (auto it = order_.lower_bound({size.cpu_milli, 0}); it != order_.end();
         ++it) {
      if (size.FitsIn(fleet_->free[it->second])) return it->second;
      if (++examined == kMaxExamined) break;
    }
    return std::nullopt;
  }
  void Update(size_t worker, const Resources& free) {
    order_.erase({fleet_->free[worker].cpu_milli, worker});
    fleet_->free[worker] = free;
    Insert(worker);
  }

 private:
  void Insert(size_t worker) {
    order_.emplace(fleet_->free[worker].cpu_milli, worker);
  }
  Fleet* fleet_;
  std::set<std::pair<int64_t, size_t>> order_;
};

class AlphaMemories {
 public:
  AlphaMemories(Fleet* fleet, const std::vector<Resources>& sizes)
      : fleet_(fleet) {
    for (const Resources& size : sizes) {
      memories_.push_back({size, {}});
      for (size_t i = 0; i < fleet->free.size(); ++i) {
        memories_.back().fitting.emplace(fleet->free[i].cpu_milli, i);
      }
    }
  }
  std::optional<size_t> Pick(const Resources& size) const {
    for (const Memory& memory : memories_) {
      if (!(memory.size == size)) continue;
      if (memory.fitting.empty()) return std::nullopt;
      return memory.fitting.begin()->second;
    }
    return std::nullopt;
  }
  void Update(size_t worker, const Resources& free) {
    for (Memory& memory : memories_) {
      memory.fitting.erase({fleet_->free[worker].cpu_milli, worker});
      if (memory.size.FitsIn(free)) {
        memory.fitting.emplace(free.cpu_milli, worker);
      }
    }
    fleet_->free[worker] = free;
  }

 private:
  struct Memory {
    Resources size;
    std::set<std::pair<int64_t, size_t>> fitting;
  };
  Fleet* fleet_;
  std::vector<Memory> memories_;
};

// Places work, and ends random work when nothing fits or more than eight pieces
// a worker are placed. Returns the time of each pick with its update, in
// microseconds.
template <typename Index>
std::vector<double> MeasureIndex(Fleet* fleet, Index* index, int picks) {
  std::mt19937_64 random(20261204);
  const std::vector<Resources> sizes = Sizes();
  std::vector<std::pair<size_t, Resources>> placed;
  std::vector<double> durations;
  for (int i = 0; i < picks; ++i) {
    const Resources& size = sizes[random() % sizes.size()];
    const Clock::time_point start = Clock::now();
    const std::optional<size_t> worker = index->Pick(size);
    if (worker) index->Update(*worker, fleet->free[*worker] - size);
    durations.push_back(MicrosecondsSince(start));
    if (worker) placed.emplace_back(*worker, size);
    const bool overfull = !worker || placed.size() > fleet->free.size() * 8;
    if (!overfull || placed.empty()) continue;
    const size_t ended = random() % placed.size();
    const auto [from, freed] = placed[ended];
    index->Update(from, fleet->free[from] + freed);
    placed[ended] = placed.back();
    placed.pop_back();
  }
  return durations;
}

std::vector<double> MeasureScan(int workers, int picks) {
  std::mt19937_64 random(20261204);
  Ledger ledger;
  for (int i = 0; i < workers; ++i) {
    const WorkerId worker("w" + std::to_string(i));
    ledger.SetWorker({.id = worker,
                      .rack = RackId("r" + std::to_string(i / 8)),
                      .capacity = {.cpu_milli = kWorkerCpuMilli,
                                   .memory_mib = kWorkerMemoryMib}});
    ledger.SetOpen(worker, true);
  }
  const std::vector<Resources> sizes = Sizes();
  std::vector<AttemptId> placed;
  std::vector<double> durations;
  for (int i = 0; i < picks; ++i) {
    const Resources& size = sizes[random() % sizes.size()];
    const AttemptId attempt("a" + std::to_string(i));
    const Clock::time_point start = Clock::now();
    const auto worker = ledger.Pick({.size = size});
    if (worker) {
      ledger.Charge(attempt,
                    {.worker = *worker, .team = TeamId("t"), .size = size});
    }
    durations.push_back(MicrosecondsSince(start));
    if (worker) placed.push_back(attempt);
    const bool overfull =
        !worker || placed.size() > static_cast<size_t>(workers) * 8;
    if (!overfull || placed.empty()) continue;
    const size_t ended = random() % placed.size();
    ledger.Release(placed[ended]);
    placed[ended] = placed.back();
    placed.pop_back();
  }
  return durations;
}

void PrintRow(const std::string& name, int workers,
              const std::vector<double>& durations) {
  std::printf("%-8s %7d %10.2f %10.2f\n", name.c_str(), workers,
              Quantile(durations, 0.5), Quantile(durations, 0.99));
}

// Measures the whole core: the time from submitting a request until the core
// has sent its start, while `queued` batch tasks wait.
void MeasureCore(int workers, int queued) {
  constexpr int kDecisions = 2'000;
  PlacerSettings placer;
  // Long enough that no renewal falls into the measurement.
  placer.contract.renewal_interval = Milliseconds(3'600'000);
  placer.contract.ttl = Milliseconds(7'200'000);
  placer.contract.task_lease = Milliseconds(7'200'000);
  VirtualDomain domain({.workers = workers,
                        .capacity = {.cpu_milli = kWorkerCpuMilli,
                                     .memory_mib = kWorkerMemoryMib,
                                     .slots = 64}},
                       placer, {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}});
  const char* const teams[] = {"a", "b", "c", "d"};
  constexpr uint32_t kTasks = 500;
  for (int i = 0; i < queued / static_cast<int>(kTasks); ++i) {
    domain.Submit(
        {.team = teams[i % 4],
         .work_class = wire::WORK_CLASS_BATCH,
         .tasks = kTasks,
         .size = {.cpu_milli = kWorkerCpuMilli, .memory_mib = kWorkerMemoryMib},
         .run = Milliseconds(3'600'000)});
    domain.RunUntil(domain.now() + Milliseconds(100));
  }
  domain.RunUntil(domain.now() + Milliseconds(2'000));
  std::vector<double> durations;
  const Clock::time_point all = Clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    const Clock::time_point start = Clock::now();
    domain.Submit(
        {.team = teams[i % 4], .size = {.slots = 1}, .run = Milliseconds(1)});
    durations.push_back(MicrosecondsSince(start));
    if (i % 32 == 31) domain.RunUntil(domain.now() + Milliseconds(1));
  }
  const double rate = kDecisions / (MicrosecondsSince(all) / 1e6);
  std::printf("%7d %8d %8zu %12.0f %10.1f %10.1f\n", workers, queued,
              domain.Status().waiting, rate, Quantile(durations, 0.5),
              Quantile(durations, 0.99));
  std::fflush(stdout);
}

int Run(int picks) {
  std::printf("one pick and its charge, microseconds, seed 20261204\n");
  std::printf("%-8s %7s %10s %10s\n", "way", "workers", "p50", "p99");
  for (const int workers : {17, 360, 5'400}) {
    PrintRow("scan", workers, MeasureScan(workers, picks));
    Fleet ordered(workers);
    OrderedIndex order(&ordered);
    PrintRow("order", workers, MeasureIndex(&ordered, &order, picks));
    Fleet indexed(workers);
    AlphaMemories alpha(&indexed, Sizes());
    PrintRow("alpha", workers, MeasureIndex(&indexed, &alpha, picks));
  }
  std::printf("\nthe whole core, a request placed while tasks wait\n");
  std::printf("%7s %8s %8s %12s %10s %10s\n", "workers", "queued", "waiting",
              "decisions/s", "p50 us", "p99 us");
  for (const int workers : {17, 360, 5'400}) {
    for (const int queued : {1'000, 10'000, 100'000}) {
      MeasureCore(workers, queued);
    }
  }
  return 0;
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Time of placement decisions", ' ', "0.1.0");
  TCLAP::ValueArg<int> picks("n", "picks", "picks a row", false, 20'000, "N",
                             line);
  line.parse(argc, argv);
  return quetzal::bench::Run(picks.getValue());
}
