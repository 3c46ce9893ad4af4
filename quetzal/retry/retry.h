// Limits on retries: a budget in proportion to recent new work, exponential
// backoff, and an adaptive timeout after which an idempotent request is sent
// again.
//
//   RetryBudget budget;
//   budget.OnNewWork();
//   if (budget.TrySpend()) queue_again(BackoffDelay(attempt, initial, max));
//
//   AdaptiveTimeout adaptive;
//   adaptive.Observe(response_time);
//   RunAfter(adaptive.timeout(), send_again);
#ifndef QUETZAL_RETRY_RETRY_H_
#define QUETZAL_RETRY_RETRY_H_

#include <algorithm>
#include <cstdint>

#include "quetzal/ids/ids.h"

namespace quetzal {

class RetryBudget {
 public:
  // Adds a fraction of a retry to the budget.
  void OnNewWork() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerNewWork);
  }
  // Spends one retry; false if the budget is exhausted.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 100;
  static constexpr double kTokensPerNewWork = 0.2;

  double tokens_ = kMaxTokens;
};

// Delay after attempt number `attempt`, doubling from `initial` up to `max`.
inline Milliseconds BackoffDelay(int attempt, Milliseconds initial,
                                 Milliseconds max) {
  constexpr int kMaxDoublings = 20;
  const int doublings = std::clamp(attempt - 1, 0, kMaxDoublings);
  return std::min(max, initial * (int64_t{1} << doublings));
}

// A timeout in proportion to the slowest recent response, so that a service
// that became slow isn't sent repeated requests before its first response
// arrives, while a lost response is detected soon.
class AdaptiveTimeout {
 public:
  // `took`: duration of any response, also of one that came after the timeout.
  void Observe(Milliseconds took) {
    const auto ms = static_cast<double>(took.count());
    slowest_ms_ = std::max(ms, slowest_ms_ + kDecayRate * (ms - slowest_ms_));
  }
  Milliseconds timeout() const {
    return std::clamp(
        Milliseconds(static_cast<int64_t>(kTimeoutFactor * slowest_ms_)),
        kMinTimeout, kMaxTimeout);
  }

 private:
  static constexpr double kTimeoutFactor = 3;  // allows for ordinary variation
  static constexpr double kDecayRate = 0.1;    // per response
  // Round trip to a distant region.
  static constexpr double kInitialSlowestMs = 100;
  static constexpr Milliseconds kMinTimeout{250};
  // A caller waits 3 s in total, so beyond this a second attempt is no use.
  static constexpr Milliseconds kMaxTimeout{1'600};

  double slowest_ms_ = kInitialSlowestMs;
};

}  // namespace quetzal

#endif  // QUETZAL_RETRY_RETRY_H_
