// Bounds on trying again: a budget that is a share of recent new work, and a
// delay that grows with each try.
//
//   RetryBudget budget;
//   budget.OnNewWork();
//   if (budget.Spend()) queue_again(BackOff(tries));
#ifndef QUETZAL_RETRY_RETRY_H_
#define QUETZAL_RETRY_RETRY_H_

#include <algorithm>

#include "quetzal/ids/ids.h"

namespace quetzal {

class RetryBudget {
 public:
  // Earns a part of a retry.
  void OnNewWork() { tokens_ = std::min(kMost, tokens_ + kEarned); }
  // Takes one retry; false if none is left.
  bool Spend() {
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
inline Milliseconds BackOff(int tries, Milliseconds first, Milliseconds most) {
  constexpr int kMostDoublings = 20;
  const int doublings = std::clamp(tries - 1, 0, kMostDoublings);
  return std::min(most, first * (int64_t{1} << doublings));
}

}  // namespace quetzal

#endif  // QUETZAL_RETRY_RETRY_H_
