#include "quetzal/run_time/run_time.h"

#include <algorithm>

namespace quetzal {
namespace {

// Weight of the newest run time in the exponential moving average.
constexpr double kRunTimeWeight = 0.1;
// Weights of the newest end in the failure rates of one and of all workers.
constexpr double kWorkerWeight = 0.25;
constexpr double kFleetWeight = 0.02;
constexpr double kOutlierFailureRate = 0.7;
constexpr double kOutlierRatio = 3.0;
constexpr int kMinSamples = 5;

}  // namespace

void RunTimeEstimator::AddSample(const QueueId& queue, Milliseconds run_time) {
  const auto sample = static_cast<double>(run_time.count());
  const auto [found, first] = mean_ms_.try_emplace(queue, sample);
  if (!first) found->second += kRunTimeWeight * (sample - found->second);
}

std::optional<Milliseconds> RunTimeEstimator::Mean(const QueueId& queue) const {
  const auto found = mean_ms_.find(queue);
  if (found == mean_ms_.end()) return std::nullopt;
  return Milliseconds(static_cast<int64_t>(found->second));
}

Milliseconds RunTimeEstimator::EstimateWait(const QueueId& queue,
                                            size_t waiting,
                                            size_t running) const {
  const std::optional<Milliseconds> mean = Mean(queue);
  if (!mean || running == 0) return Milliseconds(0);
  return *mean * static_cast<int64_t>(waiting) / static_cast<int64_t>(running);
}

void FailureRateTracker::AddOutcome(const WorkerId& worker, bool failed) {
  const double sample = failed ? 1 : 0;
  Rate& rate = rates_[worker];
  rate.failed += kWorkerWeight * (sample - rate.failed);
  ++rate.samples;
  all_.failed += kFleetWeight * (sample - all_.failed);
  ++all_.samples;
}

bool FailureRateTracker::IsOutlier(const WorkerId& worker) const {
  const auto found = rates_.find(worker);
  if (found == rates_.end() || found->second.samples < kMinSamples) {
    return false;
  }
  return found->second.failed >= kOutlierFailureRate &&
         found->second.failed >= kOutlierRatio * all_.failed;
}

void FailureRateTracker::Reset(const WorkerId& worker) { rates_.erase(worker); }

}  // namespace quetzal
