#include "quetzal/program/internal/timer_queue.h"

#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::program_internal {
namespace {

constexpr gint64 kNever = -1;

gboolean Unused(gpointer /*data*/) { return G_SOURCE_CONTINUE; }

gint64 MicrosecondsOf(Time time) {
  // The steady clock and GLib's monotonic one are the same.
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

TimerQueue& TimerQueue::Instance() {
  // Never destroyed: timers may be added until the process ends.
  static auto* const queue = new TimerQueue;
  return *queue;
}

TimerQueue::TimerQueue() {
  static GSourceFuncs functions = {.dispatch = &Dispatch};
  source_ = g_source_new(&functions, sizeof(GSource));
  g_source_set_callback(source_, &Unused, this, nullptr);
  g_source_attach(source_, nullptr);
}

void TimerQueue::Add(Time at, std::function<void()> function) {
  const auto added = timers_.emplace(at, std::move(function));
  if (added == timers_.begin()) SetReadyTime();
}

gboolean TimerQueue::Dispatch(GSource* /*source*/, GSourceFunc /*callback*/,
                              gpointer data) {
  static_cast<TimerQueue*>(data)->RunDue();
  return G_SOURCE_CONTINUE;
}

// Timers that are added meanwhile wait for the next round, so that other
// sources get their turn.
void TimerQueue::RunDue() {
  std::multimap<Time, std::function<void()>> due;
  const auto end = timers_.upper_bound(Now());
  while (timers_.begin() != end) {
    due.insert(due.end(), timers_.extract(timers_.begin()));
  }
  SetReadyTime();
  for (auto& [at, function] : due) {
    // Frees what it holds as soon as it has run.
    const std::function<void()> once = std::move(function);
    once();
  }
}

void TimerQueue::SetReadyTime() {
  g_source_set_ready_time(
      source_,
      timers_.empty() ? kNever : MicrosecondsOf(timers_.begin()->first));
}

}  // namespace quetzal::program_internal
