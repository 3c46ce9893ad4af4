#include "programs/cell_placer/term.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "platform/adapter.h"
#include "quetzal/program/program.h"
#include "quetzal/term_timer/term_timer.h"
#include "quetzal/turn_profile/turn_profile.h"

namespace quetzal {
namespace {

// Delay of a decision, so that events that arrive together, such as the ends
// of a gang's tasks, share one.
constexpr Milliseconds kDecisionDelay{8};
constexpr Milliseconds kMaxDecisionInterval{50};
// Pauses between two watches: changes meanwhile come in one answer, as each
// call of the store has a cost. New jobs wait for the pause, so theirs is
// short; changes of workers' entries are less urgent.
constexpr Milliseconds kJobWatchPause{20};
constexpr Milliseconds kWorkerWatchPause{150};
// A watch without changes for this long is verified by a listing: ten times
// the usual time between its answers, and short compared with a quick job's
// latency objective.
constexpr Milliseconds kRelistAfterSilence{300};
constexpr Milliseconds kMaxJobAge{60'000};
constexpr Milliseconds kRetryDelay{100};
// Between two reads of the last term's timer while it runs.
constexpr Milliseconds kTermTimerReadInterval{100};
// When a job was accepted, possibly in an earlier term, on this process's
// clock. Wall clocks of machines differ and jump, so its age is clamped.
Time AcceptanceTime(const AcceptedJob& job) {
  const int64_t age_ms =
      g_get_real_time() / 1'000 - static_cast<int64_t>(job.accepted);
  const auto age =
      std::clamp(Milliseconds(age_ms), Milliseconds(0), kMaxJobAge);
  return Now() - age;
}

}  // namespace

Term::Term(TermDependencies dependencies, CellSettings settings, Fence fence,
           TermNumber number)
    : dependencies_(std::move(dependencies)),
      cell_(settings, fence, number * kRunsPerTerm, Now(), dependencies_.log,
            dependencies_.metrics),
      fence_(fence),
      number_(number),
      catalog_watcher_({.store = dependencies_.store,
                        .key = platform::kConfigurationKey,
                        .decode = &platform::DecodeConfiguration,
                        .after = &RunAfter,
                        .clock = &NowWithSuspensions,
                        .log = dependencies_.log,
                        .metrics = dependencies_.metrics},
                       &catalogs_,
                       [this] {
                         cell_.OnCatalog(catalogs_.current(), Now());
                         ScheduleDecision();
                       }),
      progress_writer_(&cell_, dependencies_.store, dependencies_.log,
                       dependencies_.metrics, [this] { ScheduleDecision(); }),
      tombstone_remover_(dependencies_.store,
                         {.retention = settings.finished_job_retention},
                         &RunAfter, &Now, dependencies_.log) {
  progress_writer_.SetFence(fence);
  tombstone_remover_.SetFence(fence);
}

Term::~Term() = default;

void Term::Defer(Milliseconds delay, std::function<void()> step) {
  RunAfter(delay, lifetime_.Guard(std::move(step)));
}

void Term::Start() {
  SetHelpers(dependencies_.advice->reachable_helpers());
  catalog_watcher_.Start();
  WatchWorkers();
  WatchCell();
  ReadRoster();
  ReadFormerTermTimer();
  Defer(kMaxDecisionInterval, [this] { DecidePeriodically(); });
  progress_writer_.Start();
  tombstone_remover_.Start();
}

void Term::SetHelpers(const std::vector<HelperId>& helpers) {
  cell_.OnHelpers(helpers);
  ScheduleDecision();
}

void Term::RaiseFence(Fence fence) {
  fence_ = fence;
  progress_writer_.SetFence(fence);
  tombstone_remover_.SetFence(fence);
  cell_.OnFenceRaised(fence);
}

void Term::WatchWorkers() {
  const std::string prefix = platform::kWorkerPrefix;
  worker_watcher_ = std::make_unique<StoreWatcher>(
      dependencies_.store, prefix,
      StoreWatcherTiming{.pause = kWorkerWatchPause,
                         .relist_after_silence = kRelistAfterSilence},
      StoreWatcherHandlers{
          .on_put =
              [this, prefix](const StoreItem& item) {
                const WorkerId id(item.key.substr(prefix.size()));
                const auto entry = platform::DecodeWorkerEntry(id, item.value);
                if (!entry) {
                  dependencies_.log->Line(
                      "worker_entry_unreadable",
                      {{"worker", id.text()},
                       {"problems", Describe(entry.error())}});
                  cell_.OnWorkerEntryRemoved(id, Now());
                  return;
                }
                cell_.OnWorkerEntry(entry.value(), Now());
              },
          .on_removed =
              [this, prefix](const std::string& key) {
                cell_.OnWorkerEntryRemoved(WorkerId(key.substr(prefix.size())),
                                           Now());
              },
          .on_listed = [this] { cell_.OnWorkersListed(Now()); }},
      &RunAfter);
  worker_watcher_->Start();
}

void Term::WatchCell() {
  const auto watch = [this](const std::string& prefix) {
    auto watcher = std::make_unique<StoreWatcher>(
        dependencies_.store, prefix,
        StoreWatcherTiming{.pause = kJobWatchPause,
                           .relist_after_silence = kRelistAfterSilence},
        StoreWatcherHandlers{
            .on_put = [this](const StoreItem& item) { OnCellItem(item); },
            .on_removed =
                [this](const std::string& key) {
                  progress_writer_.OnRemoved(key);
                  const CellKey removed = ParseCellKey(key);
                  if (removed.kind == CellKeyKind::kJob) {
                    tombstone_remover_.OnGone(JobId(removed.name));
                  }
                },
            .on_listed = [this] { OnListed(); }},
        &RunAfter);
    watcher->Start();
    return watcher;
  };
  record_watcher_ = watch(CellPrefix());
  work_watcher_ = watch(WorkPrefix());
}

void Term::ReadRoster() {
  dependencies_.store->Read(
      RosterKey(), lifetime_.Guard<ReadAnswer>([this](const ReadAnswer& a) {
        if (a.outcome != StoreOutcome::kDone &&
            a.outcome != StoreOutcome::kMissing) {
          Defer(kRetryDelay, [this] { ReadRoster(); });
          return;
        }
        std::optional<StoredRoster> roster = StoredRoster{};
        if (!a.items.empty()) {
          roster_revision_ = a.items[0].revision;
          // Unreadable if it was written by another version.
          roster = DecodeRoster(a.items[0].value);
          if (!roster) {
            dependencies_.log->ImportantLine("roster_unreadable", {});
          }
        }
        cell_.OnRoster(roster, Now());
        ScheduleDecision();
      }));
}

void Term::ReadFormerTermTimer() {
  if (cell_.have_former_leases_expired()) return;
  ReadTermTimer(
      dependencies_.store, number_ - 1,
      lifetime_.Guard<TermTimerState>([this](const TermTimerState& state) {
        if (state == TermTimerState::kRunning) {
          Defer(kTermTimerReadInterval, [this] { ReadFormerTermTimer(); });
        } else if (state == TermTimerState::kEnded) {
          cell_.OnFormerTermTimerEnded(Now());
          ScheduleDecision();
        }
      }));
}

void Term::WriteRoster() {
  const std::optional<std::string> text = cell_.TakeRosterWrite(Now());
  if (!text) return;
  const Transaction transaction{
      .conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}},
                     {RosterKey(), roster_revision_}},
      .puts = {{.key = RosterKey(), .value = *text}}};
  dependencies_.store->Apply(transaction,
                             lifetime_.Guard<TransactionAnswer>(
                                 [this](const TransactionAnswer& answer) {
                                   OnRosterWritten(answer);
                                 }));
}

// If an answer is lost, the next write conflicts and so returns the revision.
void Term::OnRosterWritten(const TransactionAnswer& answer) {
  const bool stored = answer.outcome == StoreOutcome::kDone;
  if (stored) roster_revision_ = answer.revision;
  for (const StoreItem& item : answer.current) {
    if (item.key == RosterKey()) roster_revision_ = item.revision;
  }
  if (!stored) {
    dependencies_.metrics->Count("quetzal_roster_retries_total");
    dependencies_.log->Line("roster_not_stored", {});
  }
  cell_.OnRosterWritten(stored);
  ScheduleDecision();
}

void Term::OnCellItem(const StoreItem& item) {
  const TurnProfile::Section section("jobs");
  progress_writer_.OnItem(item);
  const CellKey key = ParseCellKey(item.key);
  const JobId id(key.name);
  switch (key.kind) {
    case CellKeyKind::kJob:
      if (IsListed()) {
        AddRecord(id, item);
      } else {
        listed_records_[id] = item;
      }
      break;
    case CellKeyKind::kRequest:
      if (IsListed()) {
        AddRequest(id, item);
      } else {
        listed_requests_[id] = item;
      }
      break;
    case CellKeyKind::kProgress:
      if (!IsListed()) listed_progress_[id] = item.value;
      break;
    case CellKeyKind::kFormerProgress:
      if (!IsListed()) listed_progress_.try_emplace(id, item.value);
      break;
    case CellKeyKind::kCancel:
      if (IsListed()) {
        cell_.OnCancel(id, Now());
      } else {
        listed_cancellations_.insert(id);
      }
      break;
    case CellKeyKind::kLeader:
    case CellKeyKind::kHelper:
    case CellKeyKind::kOther:
      return;
  }
  ScheduleDecision();
}

bool Term::IsListed() const {
  return record_watcher_ && record_watcher_->is_listed() && work_watcher_ &&
         work_watcher_->is_listed();
}

void Term::AddRecord(const JobId& id, const StoreItem& item) {
  const std::optional<JobState> state = DecodeState(item.value);
  if (state == JobState::kCancelled && IsTombstone(item.value)) {
    tombstone_remover_.OnTombstone(id, item.revision);
  } else if (state && IsFinal(*state)) {
    // Ended, in this term or an earlier one.
    cell_.OnEndedJob(id, Now());
  } else if (HoldsRequest(item.value)) {
    AddRequest(id, item);
  } else if (!DecodeQueue(item.value)) {
    dependencies_.log->Line("record_unreadable", {{"job", id.text()}});
  }
}

void Term::AddRequest(const JobId& id, const StoreItem& item) {
  const auto job = DecodeJob(id, item.value);
  if (!job) {
    dependencies_.log->Line(
        "job_unreadable",
        {{"job", id.text()}, {"problems", Describe(job.error())}});
    return;
  }
  std::optional<JobProgress> progress;
  const auto stored = listed_progress_.find(id);
  if (stored != listed_progress_.end()) {
    auto decoded = DecodeProgress(job.value().spec, stored->second);
    if (decoded) {
      progress = std::move(decoded.value());
    } else {
      dependencies_.log->Line(
          "progress_unreadable",
          {{"job", id.text()}, {"problems", Describe(decoded.error())}});
    }
  }
  cell_.OnLeadership(dependencies_.leadership_is_certain());
  cell_.OnJob(job.value(), item.created, progress, AcceptanceTime(job.value()));
}

void Term::OnListed() {
  if (!IsListed()) return;
  for (const auto& [id, item] : listed_requests_) AddRequest(id, item);
  for (const auto& [id, item] : listed_records_) AddRecord(id, item);
  for (const JobId& id : listed_cancellations_) cell_.OnCancel(id, Now());
  listed_records_.clear();
  listed_requests_.clear();
  listed_cancellations_.clear();
  listed_progress_.clear();
  cell_.OnJobsListed(Now());
  ScheduleDecision();
}

void Term::ScheduleDecision() {
  if (std::exchange(decision_pending_, true)) return;
  Defer(kDecisionDelay, [this] {
    decision_pending_ = false;
    if (!dependencies_.may_send_orders(&cell_)) return;
    Decide();
  });
}

void Term::Decide() {
  cell_.OnLeadership(dependencies_.leadership_is_certain());
  {
    const TurnProfile::Section section("decide");
    cell_.Decide(Now());
  }
  {
    const TurnProfile::Section section("execute");
    for (const CellAction& action : cell_.TakeActions()) Execute(action);
  }
  const TurnProfile::Section section("write");
  WriteRoster();
  progress_writer_.Flush();
}

void Term::DecidePeriodically() {
  ScheduleDecision();
  Defer(kMaxDecisionInterval, [this] { DecidePeriodically(); });
}

void Term::Execute(const CellAction& action) {
  struct Visitor {
    Term* term;
    void operator()(const PollAction& poll) const { term->PollWorker(poll); }
    void operator()(const StartAction& start) const { term->StartTask(start); }
    void operator()(const StopAction& stop) const { term->StopTask(stop); }
    void operator()(const PaceAction& pace) const { term->SetPace(pace); }
    void operator()(const RequestAdviceAction& ask) const {
      term->RequestAdvice(ask);
    }
    void operator()(const ResignAction& resign) const {
      const std::string reason = resign.reason;
      const auto on_leadership_lost = term->dependencies_.on_leadership_lost;
      // Deferred, as the handler ends this term.
      RunAfter(Milliseconds(0),
               [on_leadership_lost, reason] { on_leadership_lost(reason); });
    }
  };
  std::visit(Visitor{this}, action);
}

void Term::PollWorker(const PollAction& action) {
  const Time sent = Now();
  const WorkerId id = action.worker.id;
  const PollRequest request = action.request;
  dependencies_.workers->Poll(
      action.worker, request,
      lifetime_.Guard<PollAnswer>(
          [this, id, request, sent](const PollAnswer& answer) {
            const TurnProfile::Section section("polls");
            cell_.OnPollAnswer(id, request, sent, answer, Now());
            ScheduleDecision();
          }));
}

void Term::StartTask(const StartAction& action) {
  const Time sent = Now();
  const WorkerId id = action.worker.id;
  const StartOrder order = action.order;
  dependencies_.workers->Start(
      action.worker, order,
      lifetime_.Guard<OrderAnswer>(
          [this, id, order, sent](const OrderAnswer& answer) {
            const TurnProfile::Section section("starts");
            dependencies_.metrics->Observe(
                "quetzal_worker_call_ms", {{"call", "start"}},
                static_cast<double>((Now() - sent).count()));
            cell_.OnStartAnswer(id, order, answer, Now());
            ScheduleDecision();
          }));
}

void Term::StopTask(const StopAction& action) {
  const WorkerId id = action.worker.id;
  const StopOrder order = action.order;
  dependencies_.workers->Stop(action.worker, order,
                              lifetime_.Guard<OrderAnswer>(
                                  [this, id, order](const OrderAnswer& answer) {
                                    cell_.OnStopAnswer(id, order, answer,
                                                       Now());
                                    ScheduleDecision();
                                  }));
}

void Term::SetPace(const PaceAction& action) {
  const WorkerId id = action.worker.id;
  const PaceOrder order = action.order;
  dependencies_.workers->SetPace(
      action.worker, order,
      lifetime_.Guard<OrderAnswer>(
          [this, id, order](const OrderAnswer& answer) {
            cell_.OnPaceAnswer(id, order, answer);
            ScheduleDecision();
          }));
}

void Term::RequestAdvice(const RequestAdviceAction& action) {
  const HelperId helper = action.helper;
  const AdviceQuery query = action.query;
  dependencies_.advice->Ask(
      helper, query, action.timeout,
      lifetime_.Guard<AdviceAnswer>(
          [this, helper, query](const AdviceAnswer& answer) {
            const TurnProfile::Section section("advice");
            cell_.OnAdvice(helper, query, answer, Now());
            ScheduleDecision();
          }));
}

}  // namespace quetzal
