#include "quetzal/cell/cell.h"

#include <utility>

#include "quetzal/cell/internal/accounting.h"
#include "quetzal/cell/internal/advice_queries.h"
#include "quetzal/cell/internal/jobs.h"
#include "quetzal/cell/internal/orders.h"
#include "quetzal/cell/internal/pace_orders.h"
#include "quetzal/cell/internal/placement.h"
#include "quetzal/cell/internal/reservations.h"
#include "quetzal/cell/internal/state.h"
#include "quetzal/cell/internal/workers.h"

namespace quetzal {

namespace {

// Limit for a suspension of this machine that its clock doesn't show.
constexpr Milliseconds kSuspensionMargin{300};

// How long before a term timer runs out its placer sent its last renewal.
Milliseconds TimeShownByTermTimer(const CellSettings& settings) {
  return cell::Stretch(kLeadershipValidity) + MaxLeaseLifetime(settings) +
         kSuspensionMargin;
}

void QueueWrite(cell::State* state, cell::Job* job) {
  if (std::exchange(job->dirty, true)) return;
  state->dirty_jobs.push_back(job->accepted.id);
}

// Reported ends can't be evaluated without the configuration of their queues.
void MarkRecoveredIfReady(cell::State* state, Time now) {
  if (state->recovered || !state->jobs_listed || !state->catalog ||
      !state->roster.is_loaded()) {
    return;
  }
  state->recovered = true;
  state->log->ImportantLine(
      "jobs_recovered", {{"jobs", static_cast<int64_t>(state->jobs.size())},
                         {"version", state->catalog->version()},
                         {"after_ms", (now - state->term_started_at).count()}});
  cell::AdoptFormerRuns(state, now);
}

}  // namespace

Milliseconds MaxLeaseLifetime(const CellSettings& settings) {
  return cell::Stretch(settings.max_lease) + cell::kLeaseExpiryMargin;
}

Milliseconds TermTimerDuration(const CellSettings& settings) {
  return cell::Stretch(TimeShownByTermTimer(settings));
}

struct Cell::Parts {
  cell::State state;
};

Cell::Cell(CellSettings settings, Fence fence, int64_t run_floor, Time now,
           EventLog* log, Metrics* metrics)
    : parts_(std::make_unique<Parts>()) {
  cell::State& state = parts_->state;
  state.settings = settings;
  state.leader_fence = fence;
  state.fence = fence;
  state.run_floor = run_floor;
  state.roster = Roster(run_floor / kRunsPerTerm, fence);
  state.term_started_at = now;
  state.log = log;
  state.metrics = metrics;
}

Cell::~Cell() = default;

void Cell::OnCatalog(std::shared_ptr<const Catalog> catalog, Time now) {
  cell::State& state = parts_->state;
  state.catalog = std::move(catalog);
  for (auto& [id, job] : state.jobs) {
    const Queue* const queue = state.catalog->FindQueue(job->accepted.queue);
    if (queue != nullptr) cell::SetQueueConfig(job.get(), *queue);
  }
  MarkRecoveredIfReady(&state, now);
}

void Cell::OnWorkerEntry(const WorkerEntry& entry, Time now) {
  cell::UpdateEntry(&parts_->state, entry, now);
}

void Cell::OnWorkerEntryRemoved(const WorkerId& id, Time now) {
  cell::RemoveEntry(&parts_->state, id, now);
}

void Cell::OnWorkersListed(Time now) {
  parts_->state.workers_listed = true;
  parts_->state.workers_listed_at = now;
}

void Cell::OnRoster(const std::optional<StoredRoster>& roster, Time now) {
  cell::LoadRoster(&parts_->state, roster, now);
  MarkRecoveredIfReady(&parts_->state, now);
}

std::optional<std::string> Cell::TakeRosterWrite(Time now) {
  return cell::TakeRosterWrite(&parts_->state, now);
}

void Cell::OnRosterWritten(bool stored) {
  cell::ApplyRosterWriteResult(&parts_->state, stored);
}

void Cell::OnJob(const AcceptedJob& job, Revision created,
                 const std::optional<JobProgress>& progress, Time now) {
  cell::AddJob(&parts_->state, job, created, progress, now);
  cell::AttachOrphans(&parts_->state, job.id, now);
  if (parts_->state.early_cancels.erase(job.id) > 0) OnCancel(job.id, now);
}

void Cell::OnEndedJob(const JobId& id, Time now) {
  cell::State& state = parts_->state;
  if (state.jobs.contains(id)) return;
  state.finished_in_former_terms.emplace_back(id, now);
}

void Cell::OnCancel(const JobId& id, Time now) {
  cell::Job* const job = parts_->state.FindJob(id);
  if (job != nullptr) {
    cell::CancelJob(&parts_->state, job, now);
  } else {
    parts_->state.early_cancels.insert(id);
  }
}

void Cell::OnJobsListed(Time now) {
  parts_->state.jobs_listed = true;
  MarkRecoveredIfReady(&parts_->state, now);
}

void Cell::OnLeadership(bool is_certain) {
  parts_->state.leadership_is_certain = is_certain;
}

void Cell::OnFenceRaised(Fence fence) {
  cell::State& state = parts_->state;
  state.leader_fence = fence;
  state.fence = fence;
  state.may_go_on_without_lease = false;
  state.roster.SetFence(fence);
  state.roster_changed = true;
}

void Cell::OnFormerTermTimerEnded(Time now) {
  cell::State& state = parts_->state;
  state.former_renewal_before = now - TimeShownByTermTimer(state.settings);
  state.log->ImportantLine(
      "former_term_timer_ended",
      {{"after_ms", (now - state.term_started_at).count()}});
}

void Cell::OnPollAnswer(const WorkerId& id, const PollRequest& request,
                        Time sent, const PollAnswer& answer, Time now) {
  cell::Worker* const worker = parts_->state.FindWorker(id);
  if (worker == nullptr) return;
  cell::ApplyPollAnswer(&parts_->state, worker, request, sent, answer, now);
}

void Cell::OnStartAnswer(const WorkerId& id, const StartOrder& order,
                         const OrderAnswer& answer, Time now) {
  cell::Worker* const worker = parts_->state.FindWorker(id);
  if (worker == nullptr) return;
  cell::ApplyStartAnswer(&parts_->state, worker, order, answer, now);
}

void Cell::OnStopAnswer(const WorkerId& id, const StopOrder& order,
                        const OrderAnswer& answer, Time now) {
  cell::Worker* const worker = parts_->state.FindWorker(id);
  if (worker == nullptr) return;
  cell::ApplyStopAnswer(&parts_->state, worker, order, answer, now);
}

void Cell::OnPaceAnswer(const WorkerId& id, const PaceOrder& order,
                        const OrderAnswer& answer) {
  cell::Worker* const worker = parts_->state.FindWorker(id);
  if (worker == nullptr) return;
  cell::ApplyPaceAnswer(&parts_->state, worker, order, answer);
}

void Cell::OnHelpers(const std::vector<HelperId>& helpers) {
  parts_->state.helpers.SetHelpers(helpers);
}

void Cell::OnAdvice(const HelperId& helper, const AdviceQuery& query,
                    const AdviceAnswer& answer, Time now) {
  cell::ApplyAdvice(&parts_->state, helper, query, answer, now);
}

void Cell::OnProgressStored(const JobId& id, uint64_t version) {
  cell::Job* const job = parts_->state.FindJob(id);
  if (job == nullptr) return;
  job->stored_version = std::max(job->stored_version, version);
  job->write_in_flight = false;
  if (job->version > job->stored_version) QueueWrite(&parts_->state, job);
  parts_->state.newly_stored = true;
}

void Cell::OnProgressWriteFailed(const JobId& id) {
  cell::Job* const job = parts_->state.FindJob(id);
  if (job == nullptr) return;
  job->write_in_flight = false;
  QueueWrite(&parts_->state, job);
}

void Cell::Decide(Time now) {
  cell::State& state = parts_->state;
  cell::MaintainWorkers(&state, now);
  if (!state.recovered) return;
  cell::SendPaceOrders(&state, now);
  cell::UpdateUsableWorkers(&state, now);
  const std::vector<cell::WaitingStep> order =
      cell::WaitingStepsInOrder(state, now);
  cell::PlanReservations(&state, order, now);
  for (const cell::WaitingStep& step : order) {
    cell::PlaceStep(&state, step, now);
    cell::RequestAdvice(&state, step, now);
  }
}

std::vector<CellAction> Cell::TakeActions() {
  return std::exchange(parts_->state.actions, {});
}

std::vector<ProgressWrite> Cell::TakeProgressWrites(size_t max_count) {
  cell::State& state = parts_->state;
  std::vector<ProgressWrite> writes;
  while (!state.dirty_jobs.empty() && writes.size() < max_count) {
    const JobId id = state.dirty_jobs.front();
    state.dirty_jobs.pop_front();
    cell::Job* const job = state.FindJob(id);
    if (job == nullptr) continue;
    job->dirty = false;
    job->write_in_flight = true;
    ProgressWrite write{
        .job = id,
        .version = job->version,
        .final = IsFinal(job->state),
        .state = job->state,
        .record = EncodeJobRecord(job->accepted.queue, job->state)};
    write.value = write.final ? write.record : EncodeProgress(ProgressOf(*job));
    writes.push_back(std::move(write));
  }
  return writes;
}

bool Cell::has_progress_writes() const {
  return !parts_->state.dirty_jobs.empty();
}

std::vector<JobId> Cell::TakeExpiredJobs(size_t max_count, Time now) {
  cell::State& state = parts_->state;
  std::vector<JobId> expired;
  while (!state.finished_in_former_terms.empty() &&
         expired.size() < max_count) {
    const auto& [id, seen] = state.finished_in_former_terms.front();
    if (now - seen < state.settings.finished_job_retention) break;
    state.early_cancels.erase(id);
    expired.push_back(id);
    state.finished_in_former_terms.pop_front();
  }
  while (!state.finished.empty() && expired.size() < max_count) {
    const JobId id = state.finished.front();
    cell::Job* const job = state.FindJob(id);
    if (job != nullptr) {
      if (now - job->finished_at < state.settings.finished_job_retention) break;
      if (job->active_runs > 0 || job->dirty || job->write_in_flight) break;
    }
    state.finished.pop_front();
    state.early_cancels.erase(id);
    state.jobs.erase(id);
    expired.push_back(id);
  }
  return expired;
}

bool Cell::HasMajority(Milliseconds age, Time now) const {
  return cell::HasMajority(parts_->state, age, now);
}

bool Cell::MaySendOrders(Milliseconds without_lease, Time now) {
  return cell::MaySendOrders(&parts_->state, without_lease, now);
}

bool Cell::is_fence_raised() const {
  return parts_->state.fence != parts_->state.leader_fence;
}

bool Cell::have_former_leases_expired() const {
  return parts_->state.all_workers_accounted;
}

size_t Cell::waiting_tasks() const {
  size_t tasks = 0;
  for (const cell::Job* const job : parts_->state.waiting) {
    for (const cell::Step& step : job->steps) {
      if (cell::HasWaitingTasks(step)) {
        tasks += static_cast<size_t>(cell::CountTasksToStart(step));
      }
    }
  }
  return tasks;
}

}  // namespace quetzal
