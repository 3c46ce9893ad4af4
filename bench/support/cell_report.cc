#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "bench/support/virtual_cell.h"

namespace quetzal::bench {
namespace {

// A job's worth by its work, and what a late end earns: the users' rules.
constexpr double kWorthOfAny = 0.3;
constexpr double kWorthByWork = 0.7;
constexpr double kMostOverMean = 4;
constexpr double kLateWorth = 0.2;
constexpr size_t kLargestIsOneIn = 5;
constexpr int kLateFactor = 3;

double Over(double part, double whole) { return whole > 0 ? part / whole : 0; }

Milliseconds Quantile(std::vector<Milliseconds> values, double part) {
  if (values.empty()) return Milliseconds(0);
  const auto at =
      static_cast<size_t>(part * static_cast<double>(values.size()));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace

// In core-milliseconds.
double VirtualCell::WorkOf(const Truth& truth) {
  double work = 0;
  for (size_t i = 0; i < truth.work.size(); ++i) {
    const auto cpu =
        static_cast<double>(truth.job.spec.steps[i].demand.cpu_milli);
    for (const Milliseconds each : truth.work[i]) {
      work += cpu * static_cast<double>(each.count());
    }
  }
  return work;
}

double VirtualCell::MeanWork(const JobClass& job_class) const {
  double sum = 0;
  double count = 0;
  for (const auto& [id, truth] : truths_) {
    if (truth.job_class != &job_class) continue;
    sum += WorkOf(truth);
    ++count;
  }
  return Over(sum, count);
}

CellReport VirtualCell::Report() const {
  CellReport report{.questions = questions_,
                    .advice_seconds = advice_seconds_,
                    .wasted_core_seconds = wasted_core_seconds_,
                    .starts = starts_};
  double earned_of_all = 0;
  double owed_of_all = 0;
  for (const JobClass& job_class : deployment_.classes) {
    ClassReport row{.name = job_class.name};
    double earned = 0;
    double owed = 0;
    const double mean_work = MeanWork(job_class);
    std::vector<Milliseconds> waits;
    std::vector<std::pair<double, bool>> by_work;  // and whether in time
    for (const JobId& id : order_) {
      const Truth& truth = truths_.at(id);
      if (truth.job_class != &job_class || !truth.is_owed) continue;
      ++row.asked;
      const double worth =
          job_class.worth *
          std::min(kMostOverMean,
                   kWorthOfAny + kWorthByWork * Over(WorkOf(truth), mean_work));
      owed += worth;
      Time last = truth.arrived;
      for (const auto& [task, at] : truth.first_starts) {
        if (task.step == 0) last = std::max(last, at);
      }
      waits.push_back(last - truth.arrived);
      by_work.emplace_back(WorkOf(truth), false);
      if (!truth.completed) continue;
      const Milliseconds took = *truth.completed - truth.arrived;
      if (took <= truth.objective) {
        by_work.back().second = true;
        ++row.in_time;
        earned += worth;
      } else if (took <= truth.objective * kLateFactor) {
        ++row.late;
        earned += worth * kLateWorth;
      }
    }
    row.credit = Over(earned, owed);
    row.in_time_share = Over(row.in_time, row.asked);
    std::sort(by_work.begin(), by_work.end(), std::greater<>());
    by_work.resize(by_work.size() / kLargestIsOneIn);
    const auto largest_in_time =
        std::count_if(by_work.begin(), by_work.end(),
                      [](const auto& each) { return each.second; });
    row.largest_in_time_share = Over(static_cast<double>(largest_in_time),
                                     static_cast<double>(by_work.size()));
    row.wait_p50 = Quantile(waits, 0.5);
    row.wait_p95 = Quantile(waits, 0.95);
    earned_of_all += earned;
    owed_of_all += owed;
    report.classes.push_back(row);
  }
  report.credit = Over(earned_of_all, owed_of_all);
  constexpr double kMilliInCore = 1'000;
  constexpr double kMsInSecond = 1'000;
  report.busy_share =
      Over(useful_core_seconds_ + wasted_core_seconds_,
           static_cast<double>(deployment_.worker_capacity.cpu_milli) /
               kMilliInCore * deployment_.workers *
               static_cast<double>(deployment_.length.count()) / kMsInSecond);
  return report;
}

}  // namespace quetzal::bench
