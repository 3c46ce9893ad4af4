// Counters, gauges and distributions, such as of waiting times, of one process.
// Rendered in the Prometheus text format.
//
//   Metrics metrics;
//   metrics.Count("quetzal_refusals_total", {{"reason", "queue_full"}});
//   metrics.Observe("quetzal_wait_ms", {{"queue", "quotes"}}, 3.5);
//   const std::string page = metrics.Render();
//
// Not thread-safe: each process uses its metrics on its main loop only.
#ifndef QUETZAL_METRICS_METRICS_H_
#define QUETZAL_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

using Labels = std::vector<std::pair<std::string, std::string>>;

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `amount` to a counter, which starts at 0.
  void Count(const std::string& name, const Labels& labels = {},
             uint64_t amount = 1);
  // Sets a gauge.
  void Set(const std::string& name, const Labels& labels, double value);
  // Adds a sample to a distribution, rendered as its count, mean, p50 and p99.
  void Observe(const std::string& name, const Labels& labels, double sample);

  // Current value of a counter; 0 if it was never counted.
  uint64_t Counter(const std::string& name, const Labels& labels = {}) const;

  std::string Render() const;

 private:
  struct Distribution;

  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace quetzal

#endif  // QUETZAL_METRICS_METRICS_H_
