#include "programs/cell_placer/term.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "platform/adapter.h"
#include "quetzal/program/program.h"

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
constexpr Milliseconds kRemovalInterval{2'000};
// For each job: of its progress and its request conditions and either two puts
// or two removals; of its record a put.
constexpr size_t kMaxEntriesPerJob = 4;
// Minimum time between two flushes: each commit has a cost, and many tasks end
// within this time.
constexpr Milliseconds kMinFlushInterval{20};
// Sustains the rate at which tasks end over the round trip to a distant store.
constexpr int kMaxTransactionsInFlight = 6;
// Four removals for each job, and the condition on the leader key.
constexpr size_t kMaxExpiredPerTransaction = (kMaxTransactionEntries - 1) / 4;

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
           int64_t run_floor)
    : dependencies_(std::move(dependencies)),
      cell_(settings, fence, run_floor, Now(), dependencies_.log,
            dependencies_.metrics),
      fence_(fence) {}

Term::~Term() = default;

void Term::Defer(Milliseconds delay, std::function<void()> step) {
  RunAfter(delay, lifetime_.Guard(std::move(step)));
}

void Term::Start() {
  SetHelpers(dependencies_.advice->reachable_helpers());
  WatchConfiguration();
  WatchWorkers();
  WatchCell();
  ReadRoster();
  Defer(kMaxDecisionInterval, [this] { DecidePeriodically(); });
  Defer(kRemovalInterval, [this] { RemoveExpired(); });
}

void Term::SetHelpers(const std::vector<HelperId>& helpers) {
  cell_.OnHelpers(helpers);
  ScheduleDecision();
}

void Term::RaiseFence(Fence fence) {
  fence_ = fence;
  cell_.OnFenceRaised(fence);
}

void Term::WatchConfiguration() {
  configuration_watcher_ = std::make_unique<StoreWatcher>(
      dependencies_.store, platform::kConfigurationKey, StoreWatcherTiming{},
      StoreWatcherHandlers{
          .on_put =
              [this](const StoreItem& item) {
                auto catalog = platform::DecodeConfiguration(item.value);
                if (!catalog) {
                  dependencies_.log->Line(
                      "configuration_unreadable",
                      {{"problems", Describe(catalog.error())}});
                  return;
                }
                if (!catalogs_.UpdateIfNewer(catalog.value())) return;
                dependencies_.log->Line(
                    "configuration_in_force",
                    {{"version", catalog.value()->version()}});
                cell_.OnCatalog(catalog.value(), Now());
                ScheduleDecision();
              },
          .on_removed = [](const std::string&) {}},
      &RunAfter);
  configuration_watcher_->Start();
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
                [this](const std::string& key) { OnCellRemoved(key); },
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
        RosterEntries entries;
        if (!a.items.empty()) {
          roster_revision_ = a.items[0].revision;
          auto decoded = DecodeRoster(a.items[0].value);
          // Probably written by another version. Its workers are unknown, so
          // the term begins with an empty roster.
          if (!decoded) {
            dependencies_.log->Line("roster_unreadable", {});
          }
          entries = std::move(decoded).value_or(RosterEntries{});
        }
        cell_.OnRoster(entries, Now());
        ScheduleDecision();
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
      request_revisions_[id] = item.revision;
      if (IsListed()) {
        AddRequest(id, item);
      } else {
        listed_requests_[id] = item;
      }
      break;
    case CellKeyKind::kProgress: {
      Revision& recorded = progress_revisions_[id];
      if (item.revision > recorded) recorded = item.revision;
      if (!IsListed()) listed_progress_[id] = item.value;
      break;
    }
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

void Term::OnCellRemoved(const std::string& key) {
  const CellKey parsed = ParseCellKey(key);
  if (parsed.kind == CellKeyKind::kProgress) {
    progress_revisions_.erase(JobId(parsed.name));
  } else if (parsed.kind == CellKeyKind::kRequest) {
    request_revisions_.erase(JobId(parsed.name));
  } else if (parsed.kind == CellKeyKind::kJob) {
    running_records_.erase(JobId(parsed.name));
  }
}

bool Term::IsListed() const {
  return record_watcher_ && record_watcher_->is_listed() && work_watcher_ &&
         work_watcher_->is_listed();
}

void Term::AddRecord(const JobId& id, const StoreItem& item) {
  const std::optional<JobState> state = DecodeState(item.value);
  if (state && IsFinal(*state)) {
    // Ended, in this term or an earlier one.
    running_records_.erase(id);
    cell_.OnEndedJob(id, Now());
  } else if (state) {
    running_records_.insert(id);
  } else if (HoldsRequest(item.value)) {
    AddRequest(id, item);
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
    if (!dependencies_.may_send_orders(cell_)) return;
    cell_.Decide(Now());
    for (const CellAction& action : cell_.TakeActions()) {
      Execute(action);
    }
    WriteRoster();
    FlushWrites();
  });
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
            cell_.OnAdvice(helper, query, answer, Now());
            ScheduleDecision();
          }));
}

void Term::FlushWrites() {
  if (flush_pending_ || !cell_.has_progress_writes()) return;
  const Time now = Now();
  if (now < next_flush_) {
    flush_pending_ = true;
    Defer(next_flush_ - now, [this] {
      flush_pending_ = false;
      FlushWrites();
    });
    return;
  }
  next_flush_ = now + kMinFlushInterval;
  while (cell_.has_progress_writes() &&
         writes_in_flight_ < kMaxTransactionsInFlight) {
    CommitWrites();
  }
}

void Term::CommitWrites() {
  Transaction transaction;
  transaction.conditions.push_back(
      {LeaderKey(), Revision{static_cast<uint64_t>(fence_)}});
  std::vector<ProgressWrite> writes;
  while (transaction.size() + kMaxEntriesPerJob <= kMaxTransactionEntries) {
    std::vector<ProgressWrite> next = cell_.TakeProgressWrites(1);
    if (next.empty()) break;
    AddWrite(next[0], &transaction);
    writes.push_back(std::move(next[0]));
  }
  if (writes.empty()) return;
  ++writes_in_flight_;
  const Time sent = Now();
  auto handled = std::make_shared<bool>(false);
  dependencies_.store->Apply(
      transaction,
      lifetime_.Guard<TransactionAnswer>([this, writes, sent,
                                          handled](const TransactionAnswer& a) {
        const Milliseconds latency = Now() - sent;
        dependencies_.metrics->Observe("quetzal_store_commit_ms",
                                       {{"what", "progress"}},
                                       static_cast<double>(latency.count()));
        if (a.outcome != StoreOutcome::kUnknown) {
          write_timeout_.Observe(latency);
        }
        if (!std::exchange(*handled, true)) OnWritten(writes, a);
      }));
  Defer(write_timeout_.timeout(), [this, writes, handled] {
    if (!std::exchange(*handled, true)) OnWritten(writes, TransactionAnswer{});
  });
}

void Term::AddWrite(const ProgressWrite& write,
                    Transaction* transaction) const {
  const std::string key = ProgressKey(write.job);
  const auto found = progress_revisions_.find(write.job);
  const Revision revision =
      found == progress_revisions_.end() ? kAbsent : found->second;
  transaction->conditions.push_back({key, revision});
  const auto request = request_revisions_.find(write.job);
  if (write.final) {
    transaction->puts.push_back(
        {.key = JobKey(write.job), .value = write.record});
    if (request != request_revisions_.end()) {
      transaction->removes.push_back(RequestKey(write.job));
    }
    if (revision != kAbsent) transaction->removes.push_back(key);
    return;
  }
  transaction->puts.push_back({.key = key, .value = write.value});
  // An earlier version stored the request in the record.
  if (request == request_revisions_.end()) return;
  // Fails if this commit is carried out late, after the job's end.
  if (revision == kAbsent) {
    transaction->conditions.push_back({RequestKey(write.job), request->second});
  }
  if (write.state == JobState::kRunning &&
      !running_records_.contains(write.job)) {
    transaction->puts.push_back(
        {.key = JobKey(write.job), .value = write.record});
  }
}

void Term::OnWritten(const std::vector<ProgressWrite>& writes,
                     const TransactionAnswer& answer) {
  --writes_in_flight_;
  if (answer.outcome == StoreOutcome::kDone) {
    for (const ProgressWrite& write : writes) {
      if (write.final) {
        progress_revisions_.erase(write.job);
        request_revisions_.erase(write.job);
        running_records_.erase(write.job);
      } else {
        progress_revisions_[write.job] = answer.revision;
        if (write.state == JobState::kRunning) {
          running_records_.insert(write.job);
        }
      }
      cell_.OnProgressStored(write.job, write.version);
    }
    ScheduleDecision();
    return;
  }
  dependencies_.metrics->Count("quetzal_progress_retries_total");
  if (answer.outcome == StoreOutcome::kConflict) {
    UpdateRevisions(writes, answer.current);
  }
  // A retry is safe: if the first commit took effect, the condition of the
  // second one fails, and the conflict returns the current revision.
  const bool may_be_done = answer.outcome == StoreOutcome::kUnknown;
  ++writes_in_flight_;
  Defer(may_be_done ? Milliseconds(0) : kRetryDelay,
        [this, writes] { ReportFailedWrites(writes); });
}

// A key that the store doesn't return is absent.
void Term::UpdateRevisions(const std::vector<ProgressWrite>& writes,
                           const std::vector<StoreItem>& current) {
  for (const ProgressWrite& write : writes) {
    const std::string key = ProgressKey(write.job);
    const auto found =
        std::find_if(current.begin(), current.end(),
                     [&](const StoreItem& item) { return item.key == key; });
    if (found == current.end() || found->revision == kAbsent) {
      progress_revisions_.erase(write.job);
    } else {
      progress_revisions_[write.job] = found->revision;
    }
  }
}

void Term::ReportFailedWrites(const std::vector<ProgressWrite>& writes) {
  --writes_in_flight_;
  for (const ProgressWrite& write : writes) {
    cell_.OnProgressWriteFailed(write.job);
  }
  FlushWrites();
}

void Term::RemoveExpired() {
  const std::vector<JobId> expired =
      cell_.TakeExpiredJobs(kMaxExpiredPerTransaction, Now());
  if (!expired.empty()) {
    Transaction transaction;
    transaction.conditions.push_back(
        {LeaderKey(), Revision{static_cast<uint64_t>(fence_)}});
    for (const JobId& id : expired) {
      transaction.removes.push_back(JobKey(id));
      transaction.removes.push_back(RequestKey(id));
      transaction.removes.push_back(ProgressKey(id));
      transaction.removes.push_back(CancelKey(id));
    }
    dependencies_.store->Apply(
        transaction, lifetime_.Guard<TransactionAnswer>(
                         [this](const TransactionAnswer& answer) {
                           // The next term removes what is left.
                           if (answer.outcome != StoreOutcome::kDone) {
                             dependencies_.log->Line("removal_failed", {});
                           }
                         }));
  }
  Defer(expired.empty() ? kRemovalInterval : kRetryDelay,
        [this] { RemoveExpired(); });
}

}  // namespace quetzal
