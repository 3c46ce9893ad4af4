// Bounds on trying again: a budget that is a share of recent new work, a delay
// that grows with each try, and how long to wait for an answer before a second
// try of what is harmless to do twice.
//
//   RetryBudget budget;
//   budget.OnNewWork();
//   if (budget.TrySpend()) queue_again(BackoffDelay(tries));
//
//   AdaptiveTimeout patience;
//   patience.Observe(how_long_the_answer_took);
//   after(patience.timeout(), try_again);
#ifndef QUETZAL_RETRY_RETRY_H_
#define QUETZAL_RETRY_RETRY_H_

#include <algorithm>
#include <cstdint>

#include "quetzal/ids/ids.h"

namespace quetzal {

class RetryBudget {
 public:
  // Earns a part of a retry.
  void OnNewWork() { tokens_ = std::min(kMost, tokens_ + kEarned); }
  // Takes one retry; false if none is left.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kMost = 100;
  static constexpr double kEarned = 0.2;

  double tokens_ = kMost;
};

// Delay before try number `tries`, doubling from `first` to `most`.
inline Milliseconds BackoffDelay(int tries, Milliseconds first,
                                 Milliseconds most) {
  constexpr int kMostDoublings = 20;
  const int doublings = std::clamp(tries - 1, 0, kMostDoublings);
  return std::min(most, first * (int64_t{1} << doublings));
}

// Follows the slowest of recent answers, so that a service that turned slow is
// not asked again and again before its first answer comes, while an answer that
// is lost is missed soon.
class AdaptiveTimeout {
 public:
  // `took`: of any answer, also of one that came after patience was over.
  void Observe(Milliseconds took) {
    const auto ms = static_cast<double>(took.count());
    slowest_ms_ = std::max(ms, slowest_ms_ + kForgetting * (ms - slowest_ms_));
  }
  Milliseconds timeout() const {
    return std::clamp(Milliseconds(static_cast<int64_t>(kFactor * slowest_ms_)),
                      kLeast, kMost);
  }

 private:
  static constexpr double kFactor = 3;              // of ordinary variation
  static constexpr double kForgetting = 0.1;        // per answer
  static constexpr double kSlowestAtFirstMs = 100;  // a far region's round trip
  static constexpr Milliseconds kLeast{250};
  // Beyond it a caller, who waits 3 s in all, gains nothing from a second try.
  static constexpr Milliseconds kMost{1'600};

  double slowest_ms_ = kSlowestAtFirstMs;
};

}  // namespace quetzal

#endif  // QUETZAL_RETRY_RETRY_H_
