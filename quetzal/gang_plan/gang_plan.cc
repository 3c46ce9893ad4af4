#include "quetzal/gang_plan/gang_plan.h"

#include <algorithm>
#include <limits>

namespace quetzal {
namespace {

int CountFitsInto(const Resources& free, const Resources& member,
                  int max_fits) {
  const auto count = [](int64_t left, int64_t each) {
    if (each <= 0) return int64_t{std::numeric_limits<int>::max()};
    return std::max<int64_t>(0, left / each);
  };
  const int64_t fits =
      std::min({count(free.cpu_milli, member.cpu_milli),
                count(free.memory_mib, member.memory_mib),
                count(free.accelerators, member.accelerators)});
  const int64_t cap = max_fits > 0 ? max_fits : std::numeric_limits<int>::max();
  return static_cast<int>(std::min(fits, cap));
}

int CountFitsAt(const GangCandidate& candidate, const Resources& member,
                Milliseconds in) {
  Resources free = candidate.free;
  for (const FreedAmount& freed : candidate.frees) {
    if (freed.in <= in) free += freed.amount;
  }
  return CountFitsInto(free, member, candidate.max_members);
}

bool GangFits(const Resources& member, int members,
              const std::vector<GangCandidate>& candidates, Milliseconds in) {
  int64_t fits = 0;
  for (const GangCandidate& candidate : candidates) {
    fits += CountFitsAt(candidate, member, in);
    if (fits >= members) return true;
  }
  return false;
}

}  // namespace

std::optional<GangPlan> PlanGang(const Resources& member, int members,
                                 const std::vector<GangCandidate>& candidates) {
  std::vector<Milliseconds> times = {Milliseconds(0)};
  for (const GangCandidate& candidate : candidates) {
    for (const FreedAmount& freed : candidate.frees) times.push_back(freed.in);
  }
  std::sort(times.begin(), times.end());
  if (!GangFits(member, members, candidates, times.back())) return std::nullopt;
  // Free capacity only grows with time.
  const auto first =
      std::partition_point(times.begin(), times.end(), [&](Milliseconds in) {
        return !GangFits(member, members, candidates, in);
      });
  GangPlan plan{.starts_in = *first};
  struct FittingCandidate {
    size_t candidate = 0;
    int fits = 0;
  };
  std::vector<FittingCandidate> fitting;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const int fits = CountFitsAt(candidates[i], member, plan.starts_in);
    if (fits > 0) fitting.push_back({i, fits});
  }
  // Prefers workers with much free capacity, so that few are reserved.
  std::stable_sort(fitting.begin(), fitting.end(),
                   [](const FittingCandidate& a, const FittingCandidate& b) {
                     return a.fits > b.fits;
                   });
  int left = members;
  for (const FittingCandidate& each : fitting) {
    if (left == 0) break;
    const int assigned = std::min(left, each.fits);
    plan.assignments.push_back({each.candidate, assigned});
    left -= assigned;
  }
  return plan;
}

}  // namespace quetzal
