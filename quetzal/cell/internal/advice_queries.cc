#include "quetzal/cell/internal/advice_queries.h"

#include <algorithm>
#include <cmath>

#include "quetzal/cell/internal/workers.h"

namespace quetzal::cell {
namespace {

// Until the share is estimated from the answers for a queue.
constexpr double kInitialAllowedShare = 0.5;
constexpr double kShareSmoothing = 0.2;
constexpr double kMinAllowedShare = 0.1;
// A query names workers for this many times the needed capacity, since some of
// it may be taken before the answer arrives.
constexpr double kSpareFactor = 1.3;
constexpr size_t kMaxQueryWorkers = 100;  // the platform's limit
constexpr Milliseconds kRetryAfterFailure{100};
// Used when no eligible worker has free capacity: tasks end all the time, but
// the search is expensive with many waiting steps.
constexpr Milliseconds kRetryWithoutCapacity{40};
// Permits that expire within this time are renewed with the next query.
constexpr Milliseconds kRenewWithin{300};

// Gangs get permits for this many times the capacity that they need, since most
// of it is in use when they arrive.
constexpr double kGangSpareFactor = 4;
// Round trip to the service through a helper in a remote region.
constexpr Milliseconds kRenewalLead{250};

// Lower than any score that is based on free resources.
constexpr double kRenewalScore = -1e9;

struct QueryCandidate {
  const Worker* worker = nullptr;
  double expected = 0;  // number of tasks that it is expected to take
  double score = 0;     // lower is better
};

double AllowedShareOf(const State& state, const QueueId& queue) {
  const auto found = state.allowed_share.find(queue);
  const double share =
      found == state.allowed_share.end() ? kInitialAllowedShare : found->second;
  return std::max(kMinAllowedShare, share);
}

// Until when permits that are requested now should be valid.
Time PermitNeededUntil(const Step& step, Time now) {
  if (!step.reservation) return now + kRenewWithin;
  return std::max(now, step.reservation->starts_at) + kRenewWithin;
}

// The permits of a gang with reservations are renewed just before its expected
// start.
bool IsTooEarlyToRenew(const Step& step, const AdviceConfig& config, Time now) {
  if (!step.reservation) return false;
  const auto call = Milliseconds(static_cast<int64_t>(
      config.per_call_ms +
      config.per_worker_ms *
          static_cast<double>(step.reservation->workers.size())));
  return step.reservation->starts_at - now > call + kRenewalLead;
}

bool HasReservationOn(const Step& step, const Worker& worker) {
  return step.reservation &&
         std::find(step.reservation->workers.begin(),
                   step.reservation->workers.end(),
                   worker.slot) != step.reservation->workers.end();
}

// How many of the step's tasks the worker is expected to take; 0 if it should
// not be named. For gangs the worker's whole capacity counts, since they choose
// among the workers later.
double ExpectedTasksOn(const Worker& worker, const Step& step, double share,
                       Time now) {
  const auto cap = [&](int fits) {
    const int max_count = step.spec->max_per_worker;
    return static_cast<double>(max_count > 0 ? std::min(fits, max_count)
                                             : fits);
  };
  const int fits = CountFitsOn(worker, step, now);
  const auto permit = step.permits.find(worker.slot);
  const bool has_permit_state =
      permit != step.permits.end() &&
      permit->second.incarnation == worker.incarnation;
  if (!has_permit_state) {
    return share * cap(step.spec->gang ? CountFitsOnEmpty(worker, step) : fits);
  }
  if (!permit->second.allowed) return 0;
  if (permit->second.expires > PermitNeededUntil(step, now)) return 0;
  if (step.reservation && !HasReservationOn(step, worker)) return 0;
  return cap(step.reservation ? CountFitsOnEmpty(worker, step) : fits);
}

// Workers whose permit is unknown or about to expire, best first.
std::vector<QueryCandidate> SelectWorkersToQuery(const State& state,
                                                 const Job& job,
                                                 const Step& step, Time now) {
  const double share = AllowedShareOf(state, job.queue_config.name);
  // The workers with reservations are enough; only their permits need renewal.
  const bool only_renewals = step.reservation.has_value();
  std::vector<QueryCandidate> candidates;
  for (const Worker* const worker : state.usable) {
    const bool has_permit_state = step.permits.contains(worker->slot);
    if (only_renewals && !has_permit_state) continue;
    const double expected = ExpectedTasksOn(*worker, step, share, now);
    if (expected <= 0 || !IsEligible(job, step, *worker)) continue;
    // Long calls are made for much capacity at once, so gangs and best-effort
    // steps prefer the emptiest workers. Others prefer the fullest, to use up
    // the capacity that is left there.
    double score = static_cast<double>(worker->Free().cpu_milli);
    if (step.spec->gang || step.spec->best_effort) score = -score;
    candidates.push_back(
        {worker, expected, has_permit_state ? kRenewalScore : score});
  }
  const size_t max_count = std::min(candidates.size(), kMaxQueryWorkers);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(max_count),
                    candidates.end(),
                    [](const QueryCandidate& a, const QueryCandidate& b) {
                      return a.score < b.score;
                    });
  candidates.resize(max_count);
  return candidates;
}

}  // namespace

void RequestAdvice(State* state, const WaitingStep& waiting, Time now) {
  Job& job = *waiting.job;
  Step& step = job.steps[static_cast<size_t>(waiting.index)];
  if (!job.queue_config.advice || step.query_in_flight) return;
  if (now < step.next_query_at || state->helpers.empty()) return;
  const AdviceConfig& config = *job.queue_config.advice;
  // Checked before the expensive search, as most steps wait for a free helper.
  if (state->helpers.Choose(config.per_call_ms, now) == nullptr) return;
  if (IsTooEarlyToRenew(step, config, now)) return;
  if (CountWithinTeamLimit(*state, job, step) <= 0) return;
  const std::vector<QueryCandidate> candidates =
      SelectWorkersToQuery(*state, job, step, now);
  if (candidates.empty()) {
    step.next_query_at = now + kRetryWithoutCapacity;
    return;
  }
  AdviceQuery query{.job = job.accepted.id, .step = waiting.index};
  const double needed = CountTasksToStart(step) *
                        (step.spec->gang ? kGangSpareFactor : kSpareFactor);
  double expected = 0;
  for (const QueryCandidate& each : candidates) {
    if (expected >= needed || query.workers.size() >= kMaxQueryWorkers) break;
    query.workers.push_back(each.worker->entry.id);
    expected += each.expected;
  }
  const double call_ms =
      config.per_call_ms +
      config.per_worker_ms * static_cast<double>(query.workers.size());
  const HelperId* const helper = state->helpers.Choose(call_ms, now);
  if (helper == nullptr) return;
  const HelperId chosen = *helper;
  const Milliseconds timeout = state->helpers.OnSent(chosen, call_ms, now);
  step.query_in_flight = true;
  state->metrics->Count("quetzal_advice_asked_total",
                        {{"queue", job.queue_config.name.text()}});
  state->actions.emplace_back(RequestAdviceAction{chosen, query, timeout});
}

void ApplyAdvice(State* state, const HelperId& helper, const AdviceQuery& query,
                 const AdviceAnswer& answer, Time now) {
  if (answer.kind == AdviceAnswer::Kind::kNoAnswer) {
    state->helpers.OnTimeout(helper, now);
  } else {
    state->helpers.OnReply(helper);
  }
  Job* const job = state->FindJob(query.job);
  if (job == nullptr) return;
  Step& step = job->steps[static_cast<size_t>(query.step)];
  step.query_in_flight = false;
  if (answer.kind != AdviceAnswer::Kind::kAnswered) {
    step.next_query_at = now + kRetryAfterFailure;
    state->metrics->Count(
        "quetzal_advice_failed_total",
        {{"reason",
          answer.kind == AdviceAnswer::Kind::kBusy ? "busy" : "no_answer"}});
    return;
  }
  Milliseconds validity = answer.validity;
  if (validity.count() == 0 && job->queue_config.advice) {
    validity = job->queue_config.advice->validity;
  }
  size_t newly_queried = 0;
  size_t allowed = 0;
  for (const WorkerId& id : query.workers) {
    const Worker* const worker = state->FindWorker(id);
    if (worker == nullptr) continue;
    if (!step.permits.contains(worker->slot)) ++newly_queried;
    step.permits[worker->slot] = {.incarnation = worker->incarnation};
  }
  for (const Permit& permit : answer.permits) {
    const Worker* const worker = state->FindWorker(permit.worker);
    if (worker == nullptr) continue;
    const auto found = step.permits.find(worker->slot);
    if (found == step.permits.end()) continue;
    ++allowed;
    found->second.allowed = true;
    if (std::find(step.permitted_workers.begin(), step.permitted_workers.end(),
                  worker->slot) == step.permitted_workers.end()) {
      step.permitted_workers.push_back(worker->slot);
    }
    found->second.ticket = permit.ticket;
    found->second.expires = now + validity;
  }
  if (newly_queried == query.workers.size() && newly_queried > 0) {
    double& share =
        state->allowed_share
            .try_emplace(job->queue_config.name, kInitialAllowedShare)
            .first->second;
    share += kShareSmoothing * (static_cast<double>(allowed) /
                                    static_cast<double>(newly_queried) -
                                share);
  }
}

}  // namespace quetzal::cell
