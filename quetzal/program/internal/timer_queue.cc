#include "quetzal/program/internal/timer_queue.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::program_internal {
TimerQueue& TimerQueue::Instance() {
  // Never destroyed: timers may be added until the process ends.
  static auto* const queue = new TimerQueue;
  return *queue;
}

TimerQueue::TimerQueue() {
  static GSourceFuncs functions = {
      .prepare = &Prepare, .check = &Check, .dispatch = &Dispatch};
  g_source_attach(g_source_new(&functions, sizeof(GSource)), nullptr);
}

void TimerQueue::Add(Time at, std::function<void()> function) {
  timers_.emplace(at, std::move(function));
}

gboolean TimerQueue::Prepare(GSource* /*source*/, gint* timeout) {
  const TimerQueue& queue = Instance();
  *timeout = -1;
  if (queue.timers_.empty()) return FALSE;
  const Milliseconds left = queue.timers_.begin()->first - Now();
  *timeout = static_cast<gint>(std::clamp<int64_t>(left.count(), 0, G_MAXINT));
  return *timeout == 0 ? TRUE : FALSE;
}

gboolean TimerQueue::Check(GSource* /*source*/) {
  return Instance().IsDue() ? TRUE : FALSE;
}

gboolean TimerQueue::Dispatch(GSource* /*source*/, GSourceFunc /*callback*/,
                              gpointer /*data*/) {
  Instance().RunDue();
  return G_SOURCE_CONTINUE;
}

bool TimerQueue::IsDue() const {
  return !timers_.empty() && timers_.begin()->first <= Now();
}

// Timers added by these functions run in the next iteration at the earliest, so
// that other sources aren't starved.
void TimerQueue::RunDue() {
  std::multimap<Time, std::function<void()>> due;
  const auto end = timers_.upper_bound(Now());
  while (timers_.begin() != end) {
    due.insert(due.end(), timers_.extract(timers_.begin()));
  }
  for (auto& [at, function] : due) {
    // Destroys the function and its captures as soon as it has run.
    const std::function<void()> once = std::move(function);
    once();
  }
}

}  // namespace quetzal::program_internal
