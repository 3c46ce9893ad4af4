// Estimates run times and failure rates from ended work, since declared run
// times are inaccurate and some workers fail everything they start.
//
//   RunTimeEstimator times;
//   times.AddSample(queue, Milliseconds(80));
//   const Milliseconds wait = times.EstimateWait(queue, waiting, running);
//
//   FailureRateTracker rates;
//   rates.AddOutcome(worker, /*failed=*/true);
//   if (rates.IsOutlier(worker)) avoid(worker);
#ifndef QUETZAL_RUN_TIME_RUN_TIME_H_
#define QUETZAL_RUN_TIME_RUN_TIME_H_

#include <optional>
#include <unordered_map>

#include "quetzal/ids/ids.h"

namespace quetzal {

class RunTimeEstimator {
 public:
  void AddSample(const QueueId& queue, Milliseconds run_time);
  // Mean of recent run times; nothing before the first.
  std::optional<Milliseconds> Mean(const QueueId& queue) const;
  // Estimated time until one more piece of work starts, with `waiting` pieces
  // ahead of it and `running` in progress; zero if nothing runs or the
  // queue has no sample.
  Milliseconds EstimateWait(const QueueId& queue, size_t waiting,
                            size_t running) const;

 private:
  std::unordered_map<QueueId, double> mean_ms_;
};

// Compares the failure rate of each worker with that of all workers.
class FailureRateTracker {
 public:
  void AddOutcome(const WorkerId& worker, bool failed);
  // True if the worker fails nearly everything while the others don't. Work
  // that fails on all workers makes none of them an outlier.
  bool IsOutlier(const WorkerId& worker) const;
  // Forgets the worker's failures, so that it can be probed with work again.
  void Reset(const WorkerId& worker);

 private:
  struct Rate {
    double failed = 0;  // exponential moving average of 0 and 1
    int samples = 0;
  };

  std::unordered_map<WorkerId, Rate> rates_;
  Rate all_;
};

}  // namespace quetzal

#endif  // QUETZAL_RUN_TIME_RUN_TIME_H_
