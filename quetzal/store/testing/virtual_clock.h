// Time and timers of a test: nothing happens until the test lets time pass.
//
//   VirtualClock clock;
//   MemoryStore store(clock.Soon());
//   clock.Pass(Milliseconds(500));
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
  void After(Milliseconds delay, std::function<void()> function) {
    due_.emplace(now_ + delay, std::move(function));
  }
  std::function<void(Milliseconds, std::function<void()>)> Timer() {
    return [this](Milliseconds delay, std::function<void()> function) {
      After(delay, std::move(function));
    };
  }
  // For answers that take a moment.
  std::function<void(std::function<void()>)> Soon() {
    return [this](std::function<void()> function) {
      After(Milliseconds(1), std::move(function));
    };
  }
  void Pass(Milliseconds span) {
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
