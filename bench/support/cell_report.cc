#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "bench/support/virtual_cell.h"

namespace quetzal::bench {
namespace {

// How a job's worth depends on its work relative to its class's mean, and the
// share of it that a late end earns, from the platform's specification.
constexpr double kFixedWorth = 0.3;
constexpr double kWorthPerRelativeWork = 0.7;
constexpr double kMaxRelativeWorth = 4;
constexpr double kLateShare = 0.2;
constexpr size_t kLargestDivisor = 5;
constexpr int kLateObjectiveFactor = 3;

double Ratio(double numerator, double denominator) {
  return denominator > 0 ? numerator / denominator : 0;
}

Milliseconds Quantile(std::vector<Milliseconds> values, double fraction) {
  if (values.empty()) return Milliseconds(0);
  const auto at =
      static_cast<size_t>(fraction * static_cast<double>(values.size()));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace

// In millicores times milliseconds.
double VirtualCell::TotalWork(const JobModel& model) {
  double work = 0;
  for (size_t i = 0; i < model.work.size(); ++i) {
    const auto cpu =
        static_cast<double>(model.job.spec.steps[i].demand.cpu_milli);
    for (const Milliseconds each : model.work[i]) {
      work += cpu * static_cast<double>(each.count());
    }
  }
  return work;
}

double VirtualCell::MeanWork(const JobClass& job_class) const {
  double sum = 0;
  double count = 0;
  for (const auto& [id, model] : job_models_) {
    if (model.job_class != &job_class) continue;
    sum += TotalWork(model);
    ++count;
  }
  return Ratio(sum, count);
}

CellReport VirtualCell::Report() const {
  CellReport report{.queries = queries_,
                    .advice_seconds = advice_seconds_,
                    .wasted_core_seconds = wasted_core_seconds_,
                    .starts = starts_};
  double total_earned = 0;
  double total_attainable = 0;
  for (const JobClass& job_class : deployment_.classes) {
    ClassReport row{.name = job_class.name};
    double earned = 0;
    double attainable = 0;
    const double mean_work = MeanWork(job_class);
    std::vector<Milliseconds> waits;
    std::vector<std::pair<double, bool>> by_work;  // work, and whether in time
    for (const JobId& id : arrival_order_) {
      const JobModel& model = job_models_.at(id);
      if (model.job_class != &job_class || !model.within_weight) continue;
      ++row.asked;
      const double worth =
          job_class.worth *
          std::min(kMaxRelativeWorth,
                   kFixedWorth + kWorthPerRelativeWork *
                                     Ratio(TotalWork(model), mean_work));
      attainable += worth;
      Time last = model.arrived;
      for (const auto& [task, at] : model.first_starts) {
        if (task.step == 0) last = std::max(last, at);
      }
      waits.push_back(last - model.arrived);
      by_work.emplace_back(TotalWork(model), false);
      if (!model.completed) continue;
      const Milliseconds took = *model.completed - model.arrived;
      if (took <= model.objective) {
        by_work.back().second = true;
        ++row.in_time;
        earned += worth;
      } else if (took <= model.objective * kLateObjectiveFactor) {
        ++row.late;
        earned += worth * kLateShare;
      }
    }
    row.credit = Ratio(earned, attainable);
    row.in_time_share = Ratio(row.in_time, row.asked);
    std::sort(by_work.begin(), by_work.end(), std::greater<>());
    by_work.resize(by_work.size() / kLargestDivisor);
    const auto largest_in_time =
        std::count_if(by_work.begin(), by_work.end(),
                      [](const auto& each) { return each.second; });
    row.largest_in_time_share = Ratio(static_cast<double>(largest_in_time),
                                      static_cast<double>(by_work.size()));
    row.wait_p50 = Quantile(waits, 0.5);
    row.wait_p95 = Quantile(waits, 0.95);
    total_earned += earned;
    total_attainable += attainable;
    report.classes.push_back(row);
  }
  report.credit = Ratio(total_earned, total_attainable);
  constexpr double kMilliInCore = 1'000;
  constexpr double kMsInSecond = 1'000;
  report.busy_share =
      Ratio(useful_core_seconds_ + wasted_core_seconds_,
            static_cast<double>(deployment_.worker_capacity.cpu_milli) /
                kMilliInCore * deployment_.workers *
                static_cast<double>(deployment_.length.count()) / kMsInSecond);
  return report;
}

}  // namespace quetzal::bench
