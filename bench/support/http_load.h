// Open-loop HTTP load: requests are sent at their due times whether or not
// earlier ones were answered, and the result counts every one.
//
//   const LoadResult result = RunLoad(
//       {.addresses = entries, .rate = 500, .count = 5000, .make = make});
#ifndef BENCH_SUPPORT_HTTP_LOAD_H_
#define BENCH_SUPPORT_HTTP_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzal::bench {

struct LoadRequest {
  std::string path = "/v1/requests";
  std::string body;
  std::string key;    // empty: none is sent
  std::string label;  // results are grouped by label
};

struct LoadSettings {
  std::vector<std::string> addresses;  // used in rotation
  double rate = 100;                   // requests per second, evenly spaced
  size_t count = 1'000;
  int connections = 64;
  int timeout_seconds = 60;
  // Makes request number `index`.
  std::function<LoadRequest(size_t index)> make;
  // Called after each request; may be empty.
  std::function<void(size_t finished)> on_progress;
};

struct LoadResult {
  // Of answered requests (status 200 or 202), by label, in milliseconds.
  std::map<std::string, std::vector<double>> latencies;
  // Count of all other requests, by error code or "no answer".
  std::map<std::string, size_t> refusals;
  size_t sent = 0;
  size_t answered = 0;
  size_t wrong = 0;  // answers that don't begin with the request's payload
  double seconds = 0;
  size_t Refused() const;
};

LoadResult RunLoad(const LoadSettings& settings);

// Returns the value below which `fraction` (0 to 1) of the samples lie, or 0
// without samples.
double Quantile(std::vector<double> samples, double fraction);

}  // namespace quetzal::bench

#endif  // BENCH_SUPPORT_HTTP_LOAD_H_
