// All one-time timers of a process behind one source of the main loop, which
// looks at each of its sources in every round.
#ifndef QUETZAL_PROGRAM_INTERNAL_TIMER_QUEUE_H_
#define QUETZAL_PROGRAM_INTERNAL_TIMER_QUEUE_H_

#include <glib.h>

#include <functional>
#include <map>

#include "quetzal/ids/ids.h"

namespace quetzal::program_internal {

// Of the default main context; used on its thread only.
class TimerQueue {
 public:
  static TimerQueue& Instance();

  void Add(Time at, std::function<void()> function);

 private:
  TimerQueue();
  // Asked in each round rather than told: telling the loop of an earlier time
  // wakes it with a call to the kernel.
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
