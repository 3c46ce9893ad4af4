// All one-shot timers of a process in a single source of the main loop, since
// the loop checks each of its sources in every iteration.
#ifndef QUETZAL_PROGRAM_INTERNAL_TIMER_QUEUE_H_
#define QUETZAL_PROGRAM_INTERNAL_TIMER_QUEUE_H_

#include <glib.h>

#include <functional>
#include <map>

#include "quetzal/ids/ids.h"

namespace quetzal::program_internal {

// Runs in the default main context; must be used on its thread only.
class TimerQueue {
 public:
  static TimerQueue& Instance();

  void Add(Time at, std::function<void()> function);

 private:
  TimerQueue();
  // Returns the next timer's delay in each iteration of the loop. Setting an
  // earlier time on the source instead would wake the loop with a system call.
  static gboolean Prepare(GSource* source, gint* timeout);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc callback,
                           gpointer data);
  bool IsDue() const;
  void RunDue();

  std::multimap<Time, std::function<void()>> timers_;
};

}  // namespace quetzal::program_internal

#endif  // QUETZAL_PROGRAM_INTERNAL_TIMER_QUEUE_H_
