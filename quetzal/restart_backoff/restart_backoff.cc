#include "quetzal/restart_backoff/restart_backoff.h"

#include <algorithm>

namespace quetzal {
namespace {

// A run that lasted longer is restarted without a delay.
constexpr Milliseconds kShortRun{3'000};
constexpr Milliseconds kInitialDelay{100};
// The platform expects a task to run again within seconds of its end.
constexpr Milliseconds kMaxDelay{1'600};

}  // namespace

void RestartBackoff::OnEnded(Time now) {
  if (now - started_at_ >= kShortRun) {
    consecutive_short_runs_ = 0;
    not_before_ = now;
    return;
  }
  // The first short run may be due to its worker.
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(consecutive_short_runs_++, kMaxDoublings);
  if (doublings == 0) return;
  not_before_ = now + std::min(kMaxDelay,
                               kInitialDelay * (int64_t{1} << (doublings - 1)));
}

}  // namespace quetzal
