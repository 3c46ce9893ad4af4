#include "programs/cell_placer/term.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "platform/adapter.h"
#include "quetzal/program/program.h"

namespace quetzal {
namespace {

// Of causes that come together, such as the ends of a gang.
constexpr Milliseconds kDecideWithin{8};
constexpr Milliseconds kDecideAtLeastEvery{50};
// Between two watches: changes within it come in one answer, as each call of
// the store costs. Jobs wait for it, workers' entries hardly matter sooner.
constexpr Milliseconds kJobsPause{20};
constexpr Milliseconds kWorkerListPause{150};
// Of a watch, before it is checked by a listing: ten times the usual time
// between its answers, and little beside a quick job's objective.
constexpr Milliseconds kSilence{300};
constexpr Milliseconds kOldestArrival{60'000};
constexpr Milliseconds kRetry{100};
constexpr Milliseconds kRemoveEvery{2'000};
// One condition for the seat; for each job a condition, a put and, when it
// ended, a removal.
constexpr size_t kJobsInCommit = (kMaxTransactionEntries - 1) / 3;
// Between two commits, as each costs and many tasks end within it.
constexpr Milliseconds kCommitGap{20};
// Enough for the round trip to a far store at the rate of ends.
constexpr int kMostCommitsInFlight = 6;
constexpr size_t kExpiredInCommit = 8;  // three keys each, and the seat

// When a job that an earlier term may have known was accepted, on this
// process's clock. Times of day may differ or jump, so it is bounded.
Time ArrivalOf(const AcceptedJob& job) {
  const int64_t age_ms =
      g_get_real_time() / 1'000 - static_cast<int64_t>(job.accepted);
  const auto age =
      std::clamp(Milliseconds(age_ms), Milliseconds(0), kOldestArrival);
  return Now() - age;
}

}  // namespace

Term::Term(TermParts parts, CellSettings settings, Fence fence,
           int64_t run_floor)
    : parts_(std::move(parts)),
      cell_(settings, fence, run_floor, Now(), parts_.log, parts_.metrics),
      fence_(fence) {}

Term::~Term() = default;

void Term::Later(Milliseconds delay, std::function<void()> step) {
  RunAfter(delay, lifetime_.Guard(std::move(step)));
}

void Term::Start() {
  SetAdvisers(parts_.advice->reachable_helpers());
  FollowConfiguration();
  FollowWorkers();
  FollowCell();
  ReadRoster();
  Later(kDecideAtLeastEvery, [this] { Decide(); });
  Later(kRemoveEvery, [this] { RemoveExpired(); });
}

void Term::SetAdvisers(const std::vector<HelperId>& advisers) {
  cell_.OnHelpers(advisers);
  Wake();
}

void Term::RaiseFence(Fence fence) {
  fence_ = fence;
  cell_.OnFenceRaised(fence);
}

void Term::FollowConfiguration() {
  configuration_ = std::make_unique<StoreWatcher>(
      parts_.store, platform::kConfigurationKey, StoreWatcherTiming{},
      StoreWatcherHandlers{
          .on_put =
              [this](const StoreItem& item) {
                auto catalog = platform::DecodeConfiguration(item.value);
                if (!catalog) {
                  parts_.log->Line("configuration_unreadable",
                                   {{"problems", Describe(catalog.error())}});
                  return;
                }
                if (!catalogs_.UpdateIfNewer(catalog.value())) return;
                parts_.log->Line("configuration_in_force",
                                 {{"version", catalog.value()->version()}});
                cell_.OnCatalog(catalog.value(), Now());
                Wake();
              },
          .on_removed = [](const std::string&) {}},
      &RunAfter);
  configuration_->Start();
}

void Term::FollowWorkers() {
  const std::string prefix = platform::kWorkerPrefix;
  workers_ = std::make_unique<StoreWatcher>(
      parts_.store, prefix,
      StoreWatcherTiming{.pause = kWorkerListPause,
                         .relist_after_silence = kSilence},
      StoreWatcherHandlers{
          .on_put =
              [this, prefix](const StoreItem& item) {
                const WorkerId id(item.key.substr(prefix.size()));
                const auto entry = platform::DecodeWorkerEntry(id, item.value);
                if (!entry) {
                  parts_.log->Line("worker_entry_unreadable",
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
  workers_->Start();
}

void Term::FollowCell() {
  jobs_ = std::make_unique<StoreWatcher>(
      parts_.store, CellPrefix(),
      StoreWatcherTiming{.pause = kJobsPause, .relist_after_silence = kSilence},
      StoreWatcherHandlers{
          .on_put = [this](const StoreItem& item) { OnCellItem(item); },
          .on_removed = [this](const std::string& key) { OnCellRemoved(key); },
          .on_listed = [this] { OnCellListed(); }},
      &RunAfter);
  jobs_->Start();
}

void Term::ReadRoster() {
  parts_.store->Read(RosterKey(),
                     lifetime_.Guard<ReadAnswer>([this](const ReadAnswer& a) {
                       if (a.outcome != StoreOutcome::kDone &&
                           a.outcome != StoreOutcome::kMissing) {
                         Later(kRetry, [this] { ReadRoster(); });
                         return;
                       }
                       RosterEntries entries;
                       if (!a.items.empty()) {
                         roster_revision_ = a.items[0].revision;
                         auto decoded = DecodeRoster(a.items[0].value);
                         // Written by another version: leases that it covers
                         // can't be known.
                         if (!decoded) {
                           parts_.log->Line("roster_unreadable", {});
                         }
                         entries = std::move(decoded).value_or(RosterEntries{});
                       }
                       cell_.OnRoster(entries, Now());
                       Wake();
                     }));
}

void Term::FlushRoster() {
  const std::optional<std::string> text = cell_.TakeRosterWrite(Now());
  if (!text) return;
  const Transaction commit{
      .conditions = {{LeaderKey(), Revision{static_cast<uint64_t>(fence_)}},
                     {RosterKey(), roster_revision_}},
      .puts = {{.key = RosterKey(), .value = *text}}};
  parts_.store->Apply(commit, lifetime_.Guard<TransactionAnswer>(
                                  [this](const TransactionAnswer& answer) {
                                    OnRosterWritten(answer);
                                  }));
}

// After a lost answer the next try conflicts, which tells the revision.
void Term::OnRosterWritten(const TransactionAnswer& answer) {
  const bool stored = answer.outcome == StoreOutcome::kDone;
  if (stored) roster_revision_ = answer.revision;
  for (const StoreItem& item : answer.current) {
    if (item.key == RosterKey()) roster_revision_ = item.revision;
  }
  if (!stored) {
    parts_.metrics->Count("quetzal_roster_retries_total");
    parts_.log->Line("roster_not_stored", {});
  }
  cell_.OnRosterWritten(stored);
  Wake();
}

void Term::OnCellItem(const StoreItem& item) {
  const CellKey key = ParseCellKey(item.key);
  const JobId id(key.name);
  switch (key.kind) {
    case CellKeyKind::kJob:
      if (jobs_->is_listed()) {
        LearnJob(id, item);
      } else {
        listed_jobs_[id] = item;
      }
      break;
    case CellKeyKind::kProgress: {
      Revision& known = progress_revisions_[id];
      if (item.revision > known) known = item.revision;
      if (!jobs_->is_listed()) listed_progress_[id] = item.value;
      break;
    }
    case CellKeyKind::kCancel:
      if (jobs_->is_listed()) {
        cell_.OnCancel(id, Now());
      } else {
        listed_cancels_.insert(id);
      }
      break;
    case CellKeyKind::kLeader:
    case CellKeyKind::kHelper:
    case CellKeyKind::kOther:
      return;
  }
  Wake();
}

void Term::OnCellRemoved(const std::string& key) {
  const CellKey parsed = ParseCellKey(key);
  if (parsed.kind == CellKeyKind::kProgress) {
    progress_revisions_.erase(JobId(parsed.name));
  }
}

void Term::LearnJob(const JobId& id, const StoreItem& item) {
  if (DecodeState(item.value)) {
    // Ended, in this term or an earlier one.
    cell_.OnEndedJob(id, Now());
    return;
  }
  const auto job = DecodeJob(id, item.value);
  if (!job) {
    parts_.log->Line("job_unreadable",
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
      parts_.log->Line(
          "progress_unreadable",
          {{"job", id.text()}, {"problems", Describe(decoded.error())}});
    }
  }
  cell_.OnJob(job.value(), item.created, progress, ArrivalOf(job.value()));
}

void Term::OnCellListed() {
  for (const auto& [id, item] : listed_jobs_) LearnJob(id, item);
  for (const JobId& id : listed_cancels_) cell_.OnCancel(id, Now());
  listed_jobs_.clear();
  listed_cancels_.clear();
  listed_progress_.clear();
  cell_.OnJobsListed(Now());
  Wake();
}

void Term::Wake() {
  if (std::exchange(wake_pending_, true)) return;
  Later(kDecideWithin, [this] {
    wake_pending_ = false;
    if (!parts_.may_order(cell_)) return;
    cell_.Decide(Now());
    for (const CellAction& action : cell_.TakeActions()) {
      Act(action);
    }
    FlushRoster();
    FlushWrites();
  });
}

void Term::Decide() {
  Wake();
  Later(kDecideAtLeastEvery, [this] { Decide(); });
}

void Term::Act(const CellAction& action) {
  struct Visitor {
    Term* term;
    void operator()(const PollAction& hold) const { term->Hold(hold); }
    void operator()(const StartAction& start) const { term->StartTask(start); }
    void operator()(const StopAction& stop) const { term->StopTask(stop); }
    void operator()(const RequestAdviceAction& ask) const { term->Ask(ask); }
    void operator()(const ResignAction& resign) const {
      const std::string reason = resign.reason;
      const auto on_deposed = term->parts_.on_deposed;
      // Not from within: it ends this term.
      RunAfter(Milliseconds(0), [on_deposed, reason] { on_deposed(reason); });
    }
  };
  std::visit(Visitor{this}, action);
}

void Term::Hold(const PollAction& action) {
  const Time sent = Now();
  const WorkerId id = action.worker.id;
  const PollRequest request = action.request;
  parts_.workers->Poll(action.worker, request,
                       lifetime_.Guard<PollAnswer>(
                           [this, id, request, sent](const PollAnswer& answer) {
                             cell_.OnPollAnswer(id, request, sent, answer,
                                                Now());
                             Wake();
                           }));
}

void Term::StartTask(const StartAction& action) {
  const Time sent = Now();
  const WorkerId id = action.worker.id;
  const StartOrder order = action.order;
  parts_.workers->Start(action.worker, order,
                        lifetime_.Guard<OrderAnswer>(
                            [this, id, order, sent](const OrderAnswer& answer) {
                              parts_.metrics->Observe(
                                  "quetzal_worker_call_ms", {{"call", "start"}},
                                  static_cast<double>((Now() - sent).count()));
                              cell_.OnStartAnswer(id, order, answer, Now());
                              Wake();
                            }));
}

void Term::StopTask(const StopAction& action) {
  const WorkerId id = action.worker.id;
  const StopOrder order = action.order;
  parts_.workers->Stop(action.worker, order,
                       lifetime_.Guard<OrderAnswer>(
                           [this, id, order](const OrderAnswer& answer) {
                             cell_.OnStopAnswer(id, order, answer, Now());
                             Wake();
                           }));
}

void Term::Ask(const RequestAdviceAction& action) {
  const HelperId adviser = action.helper;
  const AdviceQuery question = action.query;
  parts_.advice->Ask(adviser, question, action.timeout,
                     lifetime_.Guard<AdviceAnswer>(
                         [this, adviser, question](const AdviceAnswer& answer) {
                           cell_.OnAdvice(adviser, question, answer, Now());
                           Wake();
                         }));
}

void Term::FlushWrites() {
  if (flush_pending_ || !cell_.has_progress_writes()) return;
  const Time now = Now();
  if (now < next_flush_) {
    flush_pending_ = true;
    Later(next_flush_ - now, [this] {
      flush_pending_ = false;
      FlushWrites();
    });
    return;
  }
  next_flush_ = now + kCommitGap;
  while (cell_.has_progress_writes() &&
         writes_in_flight_ < kMostCommitsInFlight) {
    SendWrites(cell_.TakeProgressWrites(kJobsInCommit));
  }
}

void Term::SendWrites(const std::vector<ProgressWrite>& writes) {
  if (writes.empty()) return;
  Transaction commit;
  commit.conditions.push_back(
      {LeaderKey(), Revision{static_cast<uint64_t>(fence_)}});
  for (const ProgressWrite& write : writes) AddToCommit(write, &commit);
  ++writes_in_flight_;
  const Time sent = Now();
  auto settled = std::make_shared<bool>(false);
  parts_.store->Apply(
      commit, lifetime_.Guard<TransactionAnswer>(
                  [this, writes, sent, settled](const TransactionAnswer& a) {
                    const Milliseconds took = Now() - sent;
                    parts_.metrics->Observe("quetzal_store_commit_ms",
                                            {{"what", "progress"}},
                                            static_cast<double>(took.count()));
                    if (a.outcome != StoreOutcome::kUnknown) {
                      patience_.Observe(took);
                    }
                    if (!std::exchange(*settled, true)) OnWritten(writes, a);
                  }));
  Later(patience_.timeout(), [this, writes, settled] {
    if (!std::exchange(*settled, true)) OnWritten(writes, TransactionAnswer{});
  });
}

void Term::AddToCommit(const ProgressWrite& write, Transaction* commit) const {
  const std::string key = ProgressKey(write.job);
  const auto known = progress_revisions_.find(write.job);
  const Revision revision =
      known == progress_revisions_.end() ? kAbsent : known->second;
  commit->conditions.push_back({key, revision});
  if (!write.final) {
    commit->puts.push_back({.key = key, .value = write.value});
    return;
  }
  commit->puts.push_back({.key = JobKey(write.job), .value = write.value});
  if (revision != kAbsent) commit->removes.push_back(key);
}

void Term::OnWritten(const std::vector<ProgressWrite>& writes,
                     const TransactionAnswer& answer) {
  --writes_in_flight_;
  if (answer.outcome == StoreOutcome::kDone) {
    for (const ProgressWrite& write : writes) {
      if (write.final) {
        progress_revisions_.erase(write.job);
      } else {
        progress_revisions_[write.job] = answer.revision;
      }
      cell_.OnProgressStored(write.job, write.version);
    }
    Wake();
    return;
  }
  parts_.metrics->Count("quetzal_progress_retries_total");
  if (answer.outcome == StoreOutcome::kConflict) {
    LearnRevisions(writes, answer.current);
  }
  // A second try is harmless: its condition fails if the first was carried out,
  // and the conflict tells the revision to go on from.
  const bool may_be_done = answer.outcome == StoreOutcome::kUnknown;
  ++writes_in_flight_;
  Later(may_be_done ? Milliseconds(0) : kRetry,
        [this, writes] { EndFailedWrite(writes); });
}

// A key that the store doesn't tell of is absent.
void Term::LearnRevisions(const std::vector<ProgressWrite>& writes,
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

void Term::EndFailedWrite(const std::vector<ProgressWrite>& writes) {
  --writes_in_flight_;
  for (const ProgressWrite& write : writes)
    cell_.OnProgressWriteFailed(write.job);
  FlushWrites();
}

void Term::RemoveExpired() {
  const std::vector<JobId> expired =
      cell_.TakeExpiredJobs(kExpiredInCommit, Now());
  if (!expired.empty()) {
    Transaction commit;
    commit.conditions.push_back(
        {LeaderKey(), Revision{static_cast<uint64_t>(fence_)}});
    for (const JobId& id : expired) {
      commit.removes.push_back(JobKey(id));
      commit.removes.push_back(ProgressKey(id));
      commit.removes.push_back(CancelKey(id));
    }
    parts_.store->Apply(commit,
                        lifetime_.Guard<TransactionAnswer>(
                            [this](const TransactionAnswer& answer) {
                              // The next term finds and removes what is left.
                              if (answer.outcome != StoreOutcome::kDone) {
                                parts_.log->Line("removal_failed", {});
                              }
                            }));
  }
  Later(expired.empty() ? kRemoveEvery : kRetry, [this] { RemoveExpired(); });
}

}  // namespace quetzal
