#include "quetzal/metrics/metrics.h"

// clang-format off
#include <sstream>  // Boost's quantile header uses it without including it.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
// clang-format on

namespace quetzal {
namespace acc = boost::accumulators;

namespace {

constexpr double kMedian = 0.5;
constexpr double kPercentile99 = 0.99;

std::string SeriesName(const std::string& name, const Labels& labels) {
  if (labels.empty()) return name;
  std::string text = name + "{";
  for (const auto& [key, value] : labels) {
    if (text.back() != '{') text += ',';
    text += key;
    text += "=\"";
    for (const char c : value) {
      if (c == '"' || c == '\\') text += '\\';
      text += c == '\n' ? ' ' : c;
    }
    text += '"';
  }
  return text + "}";
}

// Turns "name{labels}" into "name_suffix{labels}".
std::string WithSuffix(const std::string& series, const std::string& suffix) {
  const size_t brace = series.find('{');
  if (brace == std::string::npos) return series + suffix;
  return series.substr(0, brace) + suffix + series.substr(brace);
}

}  // namespace

struct Metrics::Distribution {
  using Accumulators =
      acc::accumulator_set<double,
                           acc::stats<acc::tag::count, acc::tag::mean,
                                      acc::tag::extended_p_square_quantile>>;
  Distribution()
      : accumulators(acc::extended_p_square_probabilities = std::vector<double>{
                         0.25, kMedian, 0.75, 0.9, kPercentile99, 0.999}) {}
  Accumulators accumulators;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const Labels& labels,
                    uint64_t amount) {
  counters_[SeriesName(name, labels)] += amount;
}

void Metrics::Set(const std::string& name, const Labels& labels, double value) {
  gauges_[SeriesName(name, labels)] = value;
}

void Metrics::Observe(const std::string& name, const Labels& labels,
                      double sample) {
  auto& distribution = distributions_[SeriesName(name, labels)];
  if (!distribution) distribution = std::make_unique<Distribution>();
  distribution->accumulators(sample);
}

uint64_t Metrics::Counter(const std::string& name, const Labels& labels) const {
  const auto found = counters_.find(SeriesName(name, labels));
  return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  std::ostringstream out;
  for (const auto& [series, value] : counters_) {
    out << series << ' ' << value << '\n';
  }
  for (const auto& [series, value] : gauges_) {
    out << series << ' ' << value << '\n';
  }
  for (const auto& [series, distribution] : distributions_) {
    const auto& accumulators = distribution->accumulators;
    out << WithSuffix(series, "_count") << ' ' << acc::count(accumulators)
        << '\n'
        << WithSuffix(series, "_mean") << ' ' << acc::mean(accumulators) << '\n'
        << WithSuffix(series, "_p50") << ' '
        << acc::quantile(accumulators, acc::quantile_probability = kMedian)
        << '\n'
        << WithSuffix(series, "_p99") << ' '
        << acc::quantile(accumulators,
                         acc::quantile_probability = kPercentile99)
        << '\n';
  }
  return out.str();
}

}  // namespace quetzal
