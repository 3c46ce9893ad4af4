#include "quetzal/cell/internal/asking.h"

#include <algorithm>
#include <cmath>

#include "quetzal/cell/internal/fleet.h"

namespace quetzal::cell {
namespace {

// Until a queue's answers taught better.
constexpr double kAllowedShareAtFirst = 0.5;
constexpr double kShareSmoothing = 0.2;
constexpr double kLeastAllowedShare = 0.1;
// Room named beyond what is needed, since it may be taken meanwhile.
constexpr double kSpare = 1.3;
constexpr size_t kMostNamed = 100;  // the platform's bound
// Calls above it count as long; short ones have advisers of their own.
constexpr double kLongCallMs = 40;
// The part of the advisers that long calls may occupy.
constexpr double kLongCallShare = 0.7;
// A question on its way to a far adviser may wait there for the one before.
constexpr Milliseconds kMostQueued{60};
constexpr int kMostOpen = 8;  // of one adviser; the platform takes 32
constexpr Milliseconds kAnswerMargin{1'500};
constexpr Milliseconds kAskAgainAfterFailure{100};
// No worker that might serve has room: tasks end all the time, but the search
// is costly with many steps waiting.
constexpr Milliseconds kAskAgainWithoutRoom{40};
// Permits this close to their end are renewed with the next question.
constexpr Milliseconds kRenewWithin{300};

// Below any score by room.
constexpr double kKnownFirst = -1e9;

struct Named {
  const Worker* worker = nullptr;
  double expected = 0;  // tasks that it is expected to take
  double score = 0;     // lower is better
};

double ShareOf(const State& state, const QueueId& queue) {
  const auto found = state.allowed_share.find(queue);
  const double share =
      found == state.allowed_share.end() ? kAllowedShareAtFirst : found->second;
  return std::max(kLeastAllowedShare, share);
}

// Workers with room whose permit is unknown or about to end; of the first only
// the learned share is expected to be allowed.
std::vector<Named> WorthNaming(const State& state, const Job& job,
                               const Step& step, Time now) {
  const double share = ShareOf(state, job.terms.name);
  std::vector<Named> named;
  for (const Worker* const each : state.usable) {
    const Worker& worker = *each;
    int fits = FitsOn(worker, step);
    if (fits <= 0 || !MayServe(job, step, worker)) continue;
    if (step.spec->most_per_worker > 0) {
      fits = std::min(fits, step.spec->most_per_worker);
    }
    if (fits <= 0) continue;
    const auto permit = step.permits.find(worker.slot);
    double expected = fits * share;
    if (permit != step.permits.end() &&
        permit->second.incarnation == worker.incarnation) {
      if (!permit->second.allowed) continue;
      if (permit->second.expires > now + kRenewWithin) continue;
      expected = fits;
    }
    // Long calls are for much room at once, so the emptiest go first; others
    // fill what is left over elsewhere.
    double score = static_cast<double>(worker.Free().cpu_milli);
    if (step.spec->gang || step.spec->fills) score = -score;
    const bool is_known = expected == fits;
    named.push_back({&worker, expected, is_known ? kKnownFirst : score});
  }
  const size_t most = std::min(named.size(), kMostNamed);
  std::partial_sort(
      named.begin(), named.begin() + static_cast<std::ptrdiff_t>(most),
      named.end(),
      [](const Named& a, const Named& b) { return a.score < b.score; });
  named.resize(most);
  return named;
}

// The adviser that will be free first, if that is soon enough: what is asked
// later can be asked for what is most urgent then.
const AdviserId* FreeAdviser(const State& state, double call_ms, Time now) {
  const bool is_long = call_ms > kLongCallMs;
  const size_t count = state.advisers.size();
  const auto usable = static_cast<size_t>(
      std::max(1.0, std::floor(kLongCallShare * static_cast<double>(count))));
  const AdviserId* best = nullptr;
  Time best_free = now + kMostQueued;
  // Long calls keep to the first advisers, so that short ones never wait
  // behind them at the others.
  for (size_t at = 0; at < (is_long ? usable : count); ++at) {
    const AdviserId& adviser = state.advisers[at];
    const auto open = state.adviser_open.find(adviser);
    if (open != state.adviser_open.end() && open->second >= kMostOpen) continue;
    const auto found = state.adviser_free_at.find(adviser);
    const Time free = found == state.adviser_free_at.end()
                          ? now
                          : std::max(now, found->second);
    if (free >= best_free) continue;
    best_free = free;
    best = &adviser;
  }
  return best;
}

}  // namespace

void AskForStep(State* state, const WaitingStep& waiting, Time now) {
  Job& job = *waiting.job;
  Step& step = job.steps[static_cast<size_t>(waiting.index)];
  if (!job.terms.advice || step.question_in_flight) return;
  if (now < step.next_question || state->advisers.empty()) return;
  const AdviceTerms& terms = *job.terms.advice;
  // Before the costly search: most steps wait for a free adviser.
  if (FreeAdviser(*state, terms.call_ms, now) == nullptr) return;
  if (WithinTeamLimit(*state, job, step) <= 0) return;
  const std::vector<Named> named = WorthNaming(*state, job, step, now);
  if (named.empty()) {
    step.next_question = now + kAskAgainWithoutRoom;
    return;
  }
  AdviceQuestion question{.job = job.accepted.id, .step = waiting.index};
  const double needed = TasksToStart(step) * kSpare;
  double expected = 0;
  for (const Named& each : named) {
    if (expected >= needed || question.workers.size() >= kMostNamed) break;
    question.workers.push_back(each.worker->entry.id);
    expected += each.expected;
  }
  const double call_ms =
      terms.call_ms +
      terms.worker_ms * static_cast<double>(question.workers.size());
  const AdviserId* const adviser = FreeAdviser(*state, call_ms, now);
  if (adviser == nullptr) return;
  const auto duration = Milliseconds(static_cast<int64_t>(std::ceil(call_ms)));
  const Milliseconds timeout = duration * 2 + kAnswerMargin;
  Time& free_at = state->adviser_free_at[*adviser];
  free_at = std::max(now, free_at) + duration;
  ++state->adviser_open[*adviser];
  step.question_in_flight = true;
  state->metrics->Count("quetzal_advice_asked_total",
                        {{"queue", job.terms.name.text()}});
  state->actions.emplace_back(AskAction{*adviser, question, timeout});
}

void ApplyAdvice(State* state, const AdviserId& adviser,
                 const AdviceQuestion& question, const AdviceAnswer& answer,
                 Time now) {
  --state->adviser_open[adviser];
  Job* const job = state->FindJob(question.job);
  if (job == nullptr) return;
  Step& step = job->steps[static_cast<size_t>(question.step)];
  step.question_in_flight = false;
  if (answer.kind != AdviceAnswer::Kind::kAnswered) {
    step.next_question = now + kAskAgainAfterFailure;
    state->metrics->Count(
        "quetzal_advice_failed_total",
        {{"reason",
          answer.kind == AdviceAnswer::Kind::kBusy ? "busy" : "no_answer"}});
    return;
  }
  Milliseconds validity = answer.validity;
  if (validity.count() == 0 && job->terms.advice) {
    validity = job->terms.advice->validity;
  }
  size_t fresh = 0;
  size_t allowed = 0;
  for (const WorkerId& id : question.workers) {
    const Worker* const worker = state->FindWorker(id);
    if (worker == nullptr) continue;
    if (!step.permits.contains(worker->slot)) ++fresh;
    step.permits[worker->slot] = {.incarnation = worker->incarnation};
  }
  for (const Permit& permit : answer.permits) {
    const Worker* const worker = state->FindWorker(permit.worker);
    if (worker == nullptr) continue;
    const auto found = step.permits.find(worker->slot);
    if (found == step.permits.end()) continue;
    ++allowed;
    found->second.allowed = true;
    found->second.ticket = permit.ticket;
    found->second.expires = now + validity;
  }
  if (fresh == question.workers.size() && fresh > 0) {
    double& share =
        state->allowed_share.try_emplace(job->terms.name, kAllowedShareAtFirst)
            .first->second;
    share +=
        kShareSmoothing *
        (static_cast<double>(allowed) / static_cast<double>(fresh) - share);
  }
}

}  // namespace quetzal::cell
