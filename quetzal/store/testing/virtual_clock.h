// Simulated time and timers for tests: time passes only in `Advance`.
//
//   VirtualClock clock;
//   MemoryStore store(clock.AfterOneMillisecond());
//   clock.Advance(Milliseconds(500));
#ifndef QUETZAL_STORE_TESTING_VIRTUAL_CLOCK_H_
#define QUETZAL_STORE_TESTING_VIRTUAL_CLOCK_H_

#include <functional>
#include <map>
#include <utility>

#include "quetzal/ids/ids.h"

namespace quetzal::testing {

class VirtualClock {
 public:
  Time now() const { return now_; }
  void ScheduleAfter(Milliseconds delay, std::function<void()> function) {
    due_.emplace(now_ + delay, std::move(function));
  }
  std::function<void(Milliseconds, std::function<void()>)> Timer() {
    return [this](Milliseconds delay, std::function<void()> function) {
      ScheduleAfter(delay, std::move(function));
    };
  }
  // Delays functions by 1 ms, to simulate the latency of a store.
  std::function<void(std::function<void()>)> AfterOneMillisecond() {
    return [this](std::function<void()> function) {
      ScheduleAfter(Milliseconds(1), std::move(function));
    };
  }
  void Advance(Milliseconds span) {
    const Time until = now_ + span;
    while (!due_.empty() && due_.begin()->first <= until) {
      now_ = due_.begin()->first;
      const std::function<void()> function = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      function();
    }
    now_ = until;
  }

 private:
  Time now_{Milliseconds(1'000'000)};
  std::multimap<Time, std::function<void()>> due_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_STORE_TESTING_VIRTUAL_CLOCK_H_
