// Run times and failure rates learned from what ended, since declared run
// times are far off and some workers fail everything they start.
//
//   RunTimeEstimator times;
//   times.AddSample(queue, Milliseconds(80));
//   const Milliseconds wait = times.EstimateWait(queue, waiting, running);
//
//   FailureRateTracker rates;
//   rates.AddOutcome(worker, /*failed=*/true);
//   if (rates.IsOutlier(worker)) set_aside(worker);
#ifndef QUETZAL_RUN_TIME_RUN_TIME_H_
#define QUETZAL_RUN_TIME_RUN_TIME_H_

#include <optional>
#include <unordered_map>

#include "quetzal/ids/ids.h"

namespace quetzal {

class RunTimeEstimator {
 public:
  void AddSample(const QueueId& queue, Milliseconds took);
  // Mean of recent run times; nothing before the first.
  std::optional<Milliseconds> Mean(const QueueId& queue) const;
  // Time until one more piece of work starts, with `waiting` ahead of it and
  // `running` ending one after another; zero if nothing is known.
  Milliseconds EstimateWait(const QueueId& queue, size_t waiting,
                            size_t running) const;

 private:
  std::unordered_map<QueueId, double> mean_ms_;
};

// Failures of each worker against those of all others.
class FailureRateTracker {
 public:
  void AddOutcome(const WorkerId& worker, bool failed);
  // True if the worker fails nearly everything while its peers don't. Work
  // that fails everywhere sets no worker aside.
  bool IsOutlier(const WorkerId& worker) const;
  // Starts the worker anew, to be probed with work again.
  void Reset(const WorkerId& worker);

 private:
  struct Rate {
    double failed = 0;  // decaying mean of 0 and 1
    int seen = 0;
  };

  std::unordered_map<WorkerId, Rate> rates_;
  Rate all_;
};

}  // namespace quetzal

#endif  // QUETZAL_RUN_TIME_RUN_TIME_H_
