// Virtual time: functions that run at their time, in the order of times and
// then of their adding.
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
  // A time that has passed counts as now.
  void At(Time when, std::function<void()> function) {
    events_.push({std::max(when, now_), next_order_++, std::move(function)});
  }
  // Runs what is due by `until`, what is added meanwhile included.
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
