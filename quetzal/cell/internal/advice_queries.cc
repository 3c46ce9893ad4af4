#include "quetzal/cell/internal/advice_queries.h"

#include <algorithm>
#include <cmath>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {
namespace {

// Until a queue's answers taught better.
constexpr double kAllowedShareAtFirst = 0.5;
constexpr double kShareSmoothing = 0.2;
constexpr double kLeastAllowedShare = 0.1;
// Room named beyond what is needed, since it may be taken meanwhile.
constexpr double kSpare = 1.3;
constexpr size_t kMostNamed = 100;  // the platform's bound
constexpr Milliseconds kAskAgainAfterFailure{100};
// No worker that might serve has room: tasks end all the time, but the search
// is costly with many steps waiting.
constexpr Milliseconds kAskAgainWithoutRoom{40};
// Permits this close to their end are renewed with the next question.
constexpr Milliseconds kRenewWithin{300};

// Gangs choose among so many times the room that they need: most of it is in
// use when they come.
constexpr double kGangChoice = 4;
// The way to the service and back through a far adviser.
constexpr Milliseconds kAskAhead{250};

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

// Until when permits should hold that are asked for now.
Time NeededUntil(const Step& step, Time now) {
  if (!step.gathering) return now + kRenewWithin;
  return std::max(now, step.gathering->starts) + kRenewWithin;
}

// A gang that gathers room has its permits renewed just before it may start.
bool IsTooEarly(const Step& step, const AdviceConfig& terms, Time now) {
  if (!step.gathering) return false;
  const auto call = Milliseconds(static_cast<int64_t>(
      terms.per_call_ms +
      terms.per_worker_ms *
          static_cast<double>(step.gathering->workers.size())));
  return step.gathering->starts - now > call + kAskAhead;
}

bool IsGatheringOn(const Step& step, const Worker& worker) {
  return step.gathering &&
         std::find(step.gathering->workers.begin(),
                   step.gathering->workers.end(),
                   worker.slot) != step.gathering->workers.end();
}

// Tasks of the step that the worker is expected to take if it may; 0: it isn't
// worth naming. Gangs name workers for the room that they will have, as they
// choose among them later.
double ExpectedOn(const Worker& worker, const Step& step, double share,
                  Time now) {
  const auto cap = [&](int fits) {
    const int most = step.spec->max_per_worker;
    return static_cast<double>(most > 0 ? std::min(fits, most) : fits);
  };
  const int fits = FitsOn(worker, step, now);
  const auto permit = step.permits.find(worker.slot);
  const bool is_known = permit != step.permits.end() &&
                        permit->second.incarnation == worker.incarnation;
  if (!is_known) {
    return share * cap(step.spec->gang ? FitsOnEmpty(worker, step) : fits);
  }
  if (!permit->second.allowed) return 0;
  if (permit->second.expires > NeededUntil(step, now)) return 0;
  if (step.gathering && !IsGatheringOn(step, worker)) return 0;
  return cap(step.gathering ? FitsOnEmpty(worker, step) : fits);
}

// Workers whose permit is unknown or about to end.
std::vector<Named> WorthNaming(const State& state, const Job& job,
                               const Step& step, Time now) {
  const double share = ShareOf(state, job.terms.name);
  // Known to be enough: what is left is to renew permits.
  const bool only_known = step.gathering.has_value();
  std::vector<Named> named;
  for (const Worker* const worker : state.usable) {
    const bool is_known = step.permits.contains(worker->slot);
    if (only_known && !is_known) continue;
    const double expected = ExpectedOn(*worker, step, share, now);
    if (expected <= 0 || !MayServe(job, step, *worker)) continue;
    // Long calls are for much room at once, so the emptiest go first; others
    // fill what is left over elsewhere.
    double score = static_cast<double>(worker->Free().cpu_milli);
    if (step.spec->gang || step.spec->best_effort) score = -score;
    named.push_back({worker, expected, is_known ? kKnownFirst : score});
  }
  const size_t most = std::min(named.size(), kMostNamed);
  std::partial_sort(
      named.begin(), named.begin() + static_cast<std::ptrdiff_t>(most),
      named.end(),
      [](const Named& a, const Named& b) { return a.score < b.score; });
  named.resize(most);
  return named;
}

}  // namespace

void AskForStep(State* state, const WaitingStep& waiting, Time now) {
  Job& job = *waiting.job;
  Step& step = job.steps[static_cast<size_t>(waiting.index)];
  if (!job.terms.advice || step.question_in_flight) return;
  if (now < step.next_question || state->advisers.empty()) return;
  const AdviceConfig& terms = *job.terms.advice;
  // Before the costly search: most steps wait for a free adviser.
  if (state->advisers.Choose(terms.per_call_ms, now) == nullptr) return;
  if (IsTooEarly(step, terms, now)) return;
  if (WithinTeamLimit(*state, job, step) <= 0) return;
  const std::vector<Named> named = WorthNaming(*state, job, step, now);
  if (named.empty()) {
    step.next_question = now + kAskAgainWithoutRoom;
    return;
  }
  AdviceQuery question{.job = job.accepted.id, .step = waiting.index};
  const double needed =
      TasksToStart(step) * (step.spec->gang ? kGangChoice : kSpare);
  double expected = 0;
  for (const Named& each : named) {
    if (expected >= needed || question.workers.size() >= kMostNamed) break;
    question.workers.push_back(each.worker->entry.id);
    expected += each.expected;
  }
  const double call_ms =
      terms.per_call_ms +
      terms.per_worker_ms * static_cast<double>(question.workers.size());
  const HelperId* const adviser = state->advisers.Choose(call_ms, now);
  if (adviser == nullptr) return;
  const HelperId chosen = *adviser;
  const Milliseconds timeout = state->advisers.OnSent(chosen, call_ms, now);
  step.question_in_flight = true;
  state->metrics->Count("quetzal_advice_asked_total",
                        {{"queue", job.terms.name.text()}});
  state->actions.emplace_back(RequestAdviceAction{chosen, question, timeout});
}

void ApplyAdvice(State* state, const HelperId& adviser,
                 const AdviceQuery& question, const AdviceAnswer& answer,
                 Time now) {
  if (answer.kind == AdviceAnswer::Kind::kNoAnswer) {
    state->advisers.OnTimeout(adviser, now);
  } else {
    state->advisers.OnReply(adviser);
  }
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
