// Policy under load: the shipped policy against the plainest version (first
// come, first served; first worker that fits; no shares, no learning), on the
// users' mixes, in one run.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "bench/support/http_load.h"
#include "bench/support/virtual_domain.h"

namespace quetzal::bench {
namespace {

constexpr double kMinute = 60'000;

struct Mix {
  std::string name;
  Resources capacity;
  std::map<std::string, int> shares;
  double request_part;  // of the processors offered
  double request_ms;    // mean run time of a request
  double batch_ms;      // of a batch task
  Resources batch_size;
  uint32_t gang_tasks;
  bool flood;  // one team sends three times its part
  bool failing_worker;
};

struct Result {
  std::map<std::string, std::vector<double>> waits;
  std::vector<double> packing;
  std::vector<double> distance;  // from share, a sample a team
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
          .request_part = 0.4,
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
          .request_part = 0.15,
          .request_ms = 300,
          .batch_ms = 10'000,
          .batch_size = {.cpu_milli = 3'000, .memory_mib = 7'000},
          .gang_tasks = 8};
}

// Draws arrivals for one run; the same for both policies.
class Arrivals {
 public:
  Arrivals(const Mix& mix, double load, int workers, uint64_t seed)
      : mix_(mix), random_(seed) {
    const double cpu =
        static_cast<double>(mix.capacity.cpu_milli) * workers / 1'000 * load;
    constexpr double kRequestCpu = 1.0;
    constexpr double kGangPart = 0.15;
    requests_per_ms_ = cpu * mix.request_part / (kRequestCpu * mix.request_ms);
    const double batch_cpu =
        static_cast<double>(mix.batch_size.cpu_milli) / 1'000;
    const double rest = cpu * (1 - mix.request_part);
    batch_per_ms_ =
        rest * (1 - kGangPart) / (batch_cpu * mix.batch_ms * kTasks);
    gang_per_ms_ =
        rest * kGangPart / (batch_cpu * mix.batch_ms * mix.gang_tasks);
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

  // Log-normal, so that declared or mean run times say little about one.
  Milliseconds Draw(double mean) {
    constexpr double kSigma = 1.0;
    std::lognormal_distribution<double> run(
        std::log(mean) - kSigma * kSigma / 2, kSigma);
    return Milliseconds(std::max<int64_t>(1, std::llround(run(random_))));
  }

  std::string PickTeam() {
    constexpr int kFloodPart = 2;
    if (mix_.flood && random_() % kFloodPart == 0) return teams_.back();
    return teams_[random_() % teams_.size()];
  }

  const Mix& mix_;
  std::mt19937_64 random_;
  double requests_per_ms_ = 0;
  double batch_per_ms_ = 0;
  double gang_per_ms_ = 0;
  std::vector<std::string> teams_;
};

struct Claim {
  double used = 0;    // dominant share of the fleet
  double wanted = 0;  // running and waiting
  double weight = 1;
  double fair = 0;
};

// Divides `total` by weights among teams, none getting more than it wants; what
// one leaves goes to the others.
void DivideFairly(double total, std::vector<Claim>* claims) {
  constexpr double kNothing = 1e-9;
  while (total > kNothing) {
    double weights = 0;
    for (const Claim& claim : *claims) {
      if (claim.wanted - claim.fair > kNothing) weights += claim.weight;
    }
    if (weights == 0) return;
    double given = 0;
    for (Claim& claim : *claims) {
      const double more =
          std::min(claim.wanted - claim.fair, total * claim.weight / weights);
      if (more <= kNothing) continue;
      claim.fair += more;
      given += more;
    }
    total -= given;
  }
}

// Distance of each team's part of what runs from its fair part: by weight, as
// far as it has work for it.
void SampleShares(const VirtualDomain& domain, const Mix& mix, Result* result) {
  const Resources total = domain.TotalCapacity();
  const std::map<TeamId, Resources> usage = domain.Usage();
  const std::map<std::string, Resources> demand = domain.Demand();
  std::vector<Claim> claims;
  double sum = 0;
  for (const auto& [team, share] : mix.shares) {
    Claim claim{.weight = static_cast<double>(share)};
    const auto used = usage.find(TeamId(team));
    if (used != usage.end()) claim.used = used->second.DominantShare(total);
    const auto wanted = demand.find(team);
    if (wanted != demand.end()) {
      claim.wanted = wanted->second.DominantShare(total);
    }
    claim.wanted = std::max(claim.wanted, claim.used);
    sum += claim.used;
    claims.push_back(claim);
  }
  DivideFairly(sum, &claims);
  for (const Claim& claim : claims) {
    result->distance.push_back(std::abs(claim.used - claim.fair) / sum);
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
  const Time end = start + Milliseconds(std::llround(minutes * kMinute));
  double next = arrivals.NextGap();
  Time sampled = start;
  constexpr Milliseconds kSampleEvery{1'000};
  while (true) {
    const Time at = start + Milliseconds(std::llround(next));
    if (at >= end) break;
    domain.RunUntil(at);
    domain.Submit(arrivals.Next());
    next += arrivals.NextGap();
    if (at - sampled < kSampleEvery) continue;
    sampled = at;
    const PlacerStatus status = domain.Status();
    if (status.waiting == 0) continue;
    result.packing.push_back(status.allocation_ratio);
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
              100 * Mean(result.packing), Mean(result.distance),
              Quantile(result.distance, 1.0),
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
