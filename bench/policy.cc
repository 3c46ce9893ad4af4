// Compares the production policy under load with a plain one (first come, first
// served; first worker that fits; no shares, no observed statistics), on the
// mixes of the platform's specification, in one run.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "bench/support/http_load.h"
#include "bench/support/virtual_domain.h"

namespace quetzal::bench {
namespace {

constexpr double kMsPerMinute = 60'000;

struct Mix {
  std::string name;
  Resources capacity;
  std::map<std::string, int> shares;
  double request_share;  // of the offered load, in processors
  double request_ms;     // mean run time of a request
  double batch_ms;       // of a batch task
  Resources batch_size;
  uint32_t gang_tasks;
  bool flood;  // one team sends three times its share
  bool failing_worker;
};

struct Result {
  std::map<std::string, std::vector<double>> waits;
  std::vector<double> allocation_ratios;
  // From the fair share, a sample per team.
  std::vector<double> share_deviations;
  std::map<std::string, uint64_t> refused;
  double wasted = 0;
  double bytes_per_second = 0;
  double calls_per_second = 0;
};

Mix Yunlin() {
  return {.name = "yunlin",
          .capacity = {.cpu_milli = 16'000, .memory_mib = 65'536, .slots = 8},
          .shares = {{"head", 3},
                     {"north", 2},
                     {"central", 1},
                     {"south", 1},
                     {"grading", 1},
                     {"digest", 1}},
          .request_share = 0.4,
          .request_ms = 150,
          .batch_ms = 4'000,
          .batch_size = {.cpu_milli = 1'000, .memory_mib = 4'096},
          .gang_tasks = 4};
}

Mix Cetatea() {
  return {.name = "cetatea",
          .capacity = {.cpu_milli = 16'000, .memory_mib = 32'768, .slots = 8},
          .shares = {{"lidar", 3},
                     {"vault", 2},
                     {"fresco", 2},
                     {"tower", 1},
                     {"manor", 1},
                     {"archive", 1}},
          .request_share = 0.15,
          .request_ms = 300,
          .batch_ms = 10'000,
          .batch_size = {.cpu_milli = 3'000, .memory_mib = 7'000},
          .gang_tasks = 8};
}

// Draws the arrivals of one run. A seed gives both policies the same ones.
class Arrivals {
 public:
  Arrivals(const Mix& mix, double load, int workers, uint64_t seed)
      : mix_(mix), random_(seed) {
    const double cpu =
        static_cast<double>(mix.capacity.cpu_milli) * workers / 1'000 * load;
    constexpr double kRequestCpu = 1.0;
    constexpr double kGangShare = 0.15;
    requests_per_ms_ = cpu * mix.request_share / (kRequestCpu * mix.request_ms);
    const double batch_cpu =
        static_cast<double>(mix.batch_size.cpu_milli) / 1'000;
    const double remaining = cpu * (1 - mix.request_share);
    batch_per_ms_ =
        remaining * (1 - kGangShare) / (batch_cpu * mix.batch_ms * kTasks);
    gang_per_ms_ =
        remaining * kGangShare / (batch_cpu * mix.batch_ms * mix.gang_tasks);
    for (const auto& [team, share] : mix.shares) teams_.push_back(team);
  }

  double NextGap() {
    const double rate = requests_per_ms_ + batch_per_ms_ + gang_per_ms_;
    return std::exponential_distribution<double>(rate)(random_);
  }

  VirtualWork Next() {
    const double rate = requests_per_ms_ + batch_per_ms_ + gang_per_ms_;
    const double pick =
        std::uniform_real_distribution<double>(0, rate)(random_);
    VirtualWork work;
    work.team = PickTeam();
    if (pick < requests_per_ms_) {
      constexpr int kUrgentEvery = 5;
      work.urgent = random_() % kUrgentEvery == 0;
      work.size = {.cpu_milli = 1'000, .memory_mib = 512, .slots = 1};
      work.run = Draw(mix_.request_ms);
      return work;
    }
    const bool gang = pick >= requests_per_ms_ + batch_per_ms_;
    work.work_class = gang ? wire::WORK_CLASS_GANG : wire::WORK_CLASS_BATCH;
    work.tasks = gang ? mix_.gang_tasks : kTasks;
    work.size = mix_.batch_size;
    work.run = Draw(mix_.batch_ms);
    return work;
  }

 private:
  static constexpr uint32_t kTasks = 10;

  // Log-normal, so that declared or mean run times predict little about a
  // single run.
  Milliseconds Draw(double mean) {
    constexpr double kSigma = 1.0;
    std::lognormal_distribution<double> run(
        std::log(mean) - kSigma * kSigma / 2, kSigma);
    return Milliseconds(std::max<int64_t>(1, std::llround(run(random_))));
  }

  std::string PickTeam() {
    constexpr int kFloodEvery = 2;
    if (mix_.flood && random_() % kFloodEvery == 0) return teams_.back();
    return teams_[random_() % teams_.size()];
  }

  const Mix& mix_;
  std::mt19937_64 random_;
  double requests_per_ms_ = 0;
  double batch_per_ms_ = 0;
  double gang_per_ms_ = 0;
  std::vector<std::string> teams_;
};

struct TeamDemand {
  double used = 0;    // dominant share of the fleet
  double wanted = 0;  // share for its running and waiting work
  double weight = 1;
  double fair = 0;
};

// Weighted max-min fairness: divides `total` among teams by weight, up to each
// team's demand, and redistributes what a team leaves to the others.
void DivideFairly(double total, std::vector<TeamDemand>* demands) {
  constexpr double kEpsilon = 1e-9;
  while (total > kEpsilon) {
    double weights = 0;
    for (const TeamDemand& team_demand : *demands) {
      if (team_demand.wanted - team_demand.fair > kEpsilon) {
        weights += team_demand.weight;
      }
    }
    if (weights == 0) return;
    double allocated = 0;
    for (TeamDemand& team_demand : *demands) {
      const double addition = std::min(team_demand.wanted - team_demand.fair,
                                       total * team_demand.weight / weights);
      if (addition <= kEpsilon) continue;
      team_demand.fair += addition;
      allocated += addition;
    }
    total -= allocated;
  }
}

// Samples how far each team's share of the running work is from its fair share,
// which is by weight and limited by the team's demand.
void SampleShares(const VirtualDomain& domain, const Mix& mix, Result* result) {
  const Resources total = domain.TotalCapacity();
  const std::map<TeamId, Resources> usage = domain.Usage();
  const std::map<std::string, Resources> demand = domain.Demand();
  std::vector<TeamDemand> demands;
  double sum = 0;
  for (const auto& [team, share] : mix.shares) {
    TeamDemand team_demand{.weight = static_cast<double>(share)};
    const auto used = usage.find(TeamId(team));
    if (used != usage.end()) {
      team_demand.used = used->second.DominantShare(total);
    }
    const auto wanted = demand.find(team);
    if (wanted != demand.end()) {
      team_demand.wanted = wanted->second.DominantShare(total);
    }
    team_demand.wanted = std::max(team_demand.wanted, team_demand.used);
    sum += team_demand.used;
    demands.push_back(team_demand);
  }
  DivideFairly(sum, &demands);
  for (const TeamDemand& team_demand : demands) {
    result->share_deviations.push_back(
        std::abs(team_demand.used - team_demand.fair) / sum);
  }
}

Result Simulate(const Mix& mix, double load, int workers, double minutes,
                uint64_t seed, OrderPolicy order) {
  PlacerSettings placer;
  placer.order = order;
  placer.uses_observed_statistics = order == OrderPolicy::kFairShare;
  VirtualDomainSettings settings{.workers = workers, .capacity = mix.capacity};
  if (mix.failing_worker) settings.failing.insert(0);
  VirtualDomain domain(settings, placer, mix.shares);
  Arrivals arrivals(mix, load, workers, seed);
  Result result;
  const Time start = domain.now();
  const Time end = start + Milliseconds(std::llround(minutes * kMsPerMinute));
  double next = arrivals.NextGap();
  Time sampled = start;
  constexpr Milliseconds kSampleInterval{1'000};
  while (true) {
    const Time at = start + Milliseconds(std::llround(next));
    if (at >= end) break;
    domain.RunUntil(at);
    domain.Submit(arrivals.Next());
    next += arrivals.NextGap();
    if (at - sampled < kSampleInterval) continue;
    sampled = at;
    const PlacerStatus status = domain.Status();
    if (status.waiting == 0) continue;
    result.allocation_ratios.push_back(status.allocation_ratio);
    SampleShares(domain, mix, &result);
  }
  for (const VirtualOutcome& outcome : domain.started()) {
    result.waits[outcome.label].push_back(
        static_cast<double>(outcome.waited.count()));
  }
  result.refused = domain.refused();
  result.wasted =
      static_cast<double>(domain.wasted_ms()) /
      static_cast<double>(domain.useful_ms() + domain.wasted_ms() + 1);
  const double seconds = minutes * 60;
  result.bytes_per_second = static_cast<double>(domain.sent_bytes()) / seconds;
  result.calls_per_second =
      static_cast<double>(domain.platform_calls()) / seconds;
  return result;
}

double Mean(const std::vector<double>& samples) {
  double sum = 0;
  for (const double sample : samples) sum += sample;
  return samples.empty() ? 0 : sum / static_cast<double>(samples.size());
}

void Print(const Mix& mix, double load, const std::string& policy,
           const Result& result) {
  std::printf("%-8s %5.2f %-8s", mix.name.c_str(), load, policy.c_str());
  for (const std::string label : {"urgent", "request", "batch", "gang"}) {
    const auto found = result.waits.find(label);
    const std::vector<double> none;
    const auto& waits = found == result.waits.end() ? none : found->second;
    std::printf(" %8.0f/%-8.0f", Quantile(waits, 0.5), Quantile(waits, 0.99));
  }
  uint64_t refused = 0;
  for (const auto& [reason, count] : result.refused) refused += count;
  std::printf(" %5.1f%% %6.3f %6.3f %7llu %5.2f%% %7.0f %5.1f\n",
              100 * Mean(result.allocation_ratios),
              Mean(result.share_deviations),
              Quantile(result.share_deviations, 1.0),
              static_cast<unsigned long long>(refused), 100 * result.wasted,
              result.bytes_per_second, result.calls_per_second);
  std::fflush(stdout);
}

void Compare(const Mix& mix, double load, int workers, double minutes,
             uint64_t seed) {
  Print(mix, load, "plain",
        Simulate(mix, load, workers, minutes, seed, OrderPolicy::kFifo));
  Print(mix, load, "shipped",
        Simulate(mix, load, workers, minutes, seed, OrderPolicy::kFairShare));
}

int Run(int workers, double minutes, uint64_t seed) {
  std::printf("seed %llu, %d workers, %.1f virtual minutes; waits in ms\n",
              static_cast<unsigned long long>(seed), workers, minutes);
  std::printf("%-8s %5s %-8s %17s %17s %17s %17s %6s %6s %6s %7s %6s %7s %5s\n",
              "mix", "load", "policy", "urgent p50/p99", "request p50/p99",
              "batch p50/p99", "gang p50/p99", "pack", "dist", "max", "refused",
              "waste", "B/s", "calls");
  for (const Mix& mix : {Yunlin(), Cetatea()}) {
    for (const double load : {0.7, 0.95, 1.3}) {
      Compare(mix, load, workers, minutes, seed);
    }
    Mix flooded = mix;
    flooded.name += "+fl";
    flooded.flood = true;
    Compare(flooded, 1.3, workers, minutes, seed);
    Mix failing = mix;
    failing.name += "+bad";
    failing.failing_worker = true;
    Compare(failing, 0.7, workers, minutes, seed);
  }
  return 0;
}

}  // namespace
}  // namespace quetzal::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Shipped policy against the plainest one", ' ', "0.1.0");
  TCLAP::ValueArg<int> workers("w", "workers", "workers", false, 17, "N", line);
  TCLAP::ValueArg<double> minutes("m", "minutes", "virtual minutes a run",
                                  false, 2, "N", line);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "seed", false, 20261204, "N",
                                 line);
  line.parse(argc, argv);
  return quetzal::bench::Run(workers.getValue(), minutes.getValue(),
                             seed.getValue());
}
