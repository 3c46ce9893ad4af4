#include "quetzal/pacing/pacing.h"

#include <algorithm>

namespace quetzal {
namespace {

// Fractions of the target: above the first the pace falls, above the second it
// stays.
constexpr double kFallAbove = 0.85;
constexpr double kHoldAbove = 0.6;
constexpr int kFallDivisor = 2;
constexpr int kFallDivisorOverTarget = 4;
constexpr int kRiseStep = 10;  // percent
// A lower pace does hardly any work, but still disturbs.
constexpr int kMinPace = 5;  // percent
constexpr int kInitialPaceIfUnknown = 25;

double WorstRatio(const std::vector<ServingTask>& serving) {
  double worst = 0;
  for (const ServingTask& task : serving) {
    if (task.target.count() <= 0) continue;
    worst = std::max(worst, static_cast<double>(task.tail.count()) /
                                static_cast<double>(task.target.count()));
  }
  return worst;
}

}  // namespace

int NextPace(std::optional<int> current,
             const std::vector<ServingTask>& serving) {
  if (serving.empty()) return kFullPace;
  if (!current) return kInitialPaceIfUnknown;
  const double ratio = WorstRatio(serving);
  if (ratio > kFallAbove) {
    const int pace =
        *current / (ratio > 1 ? kFallDivisorOverTarget : kFallDivisor);
    return pace < kMinPace ? 0 : pace;
  }
  if (ratio > kHoldAbove) return *current;
  return std::min(kFullPace, *current + kRiseStep);
}

}  // namespace quetzal
