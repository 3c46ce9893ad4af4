// Delays the restarts of a long-running task that keeps ending soon after its
// starts.
//
//   RestartBackoff backoff;
//   backoff.OnStarted(now);
//   backoff.OnEnded(now);
//   if (backoff.MayStart(now)) Start(task);
//
// Intended for tasks that crash at startup, which would otherwise spend the
// placer's orders, advice and the workers' capacity on starts. A task that ends
// after it ran for a while is restarted at once, since its callers wait for it.
#ifndef QUETZAL_RESTART_BACKOFF_RESTART_BACKOFF_H_
#define QUETZAL_RESTART_BACKOFF_RESTART_BACKOFF_H_

#include "quetzal/ids/ids.h"

namespace quetzal {

class RestartBackoff {
 public:
  void OnStarted(Time now) { started_at_ = now; }
  void OnEnded(Time now);
  bool MayStart(Time now) const { return now >= not_before_; }

 private:
  Time started_at_;
  Time not_before_;
  int consecutive_short_runs_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_RESTART_BACKOFF_RESTART_BACKOFF_H_
