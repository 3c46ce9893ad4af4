// Event queue in virtual time. Functions run in order of their scheduled time,
// those of the same time in the order in which they were added.
//
//   EventQueue events(Time(Milliseconds(0)));
//   events.At(events.now() + Milliseconds(50), [] { ... });
//   events.RunUntil(events.now() + Milliseconds(100));
#ifndef TESTS_SUPPORT_EVENT_QUEUE_H_
#define TESTS_SUPPORT_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "quetzal/ids/ids.h"

namespace quetzal::testing {

class EventQueue {
 public:
  explicit EventQueue(Time start) : now_(start) {}

  Time now() const { return now_; }
  // A time in the past counts as now.
  void At(Time when, std::function<void()> function) {
    events_.push({std::max(when, now_), next_order_++, std::move(function)});
  }
  // Runs all functions that are due by `until`, including those that are added
  // meanwhile.
  void RunUntil(Time until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.function();
    }
    now_ = until;
  }

 private:
  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> function;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  Time now_;
  uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_EVENT_QUEUE_H_
