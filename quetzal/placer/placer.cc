#include "quetzal/placer/placer.h"

#include <algorithm>
#include <utility>

#include "quetzal/placer/internal/jobs.h"
#include "quetzal/placer/internal/limits.h"
#include "quetzal/placer/internal/placement.h"
#include "quetzal/placer/internal/requests.h"
#include "quetzal/placer/internal/state.h"
#include "quetzal/placer/internal/workers.h"

namespace quetzal {
namespace {

using placer_internal::Jobs;
using placer_internal::Limits;
using placer_internal::Placement;
using placer_internal::Requests;
using placer_internal::State;
using placer_internal::Workers;

constexpr Milliseconds kHelloInterval{2'000};
// A gap of this length between events means that the process was paused and
// that state which depends on time may be stale.
constexpr Milliseconds kPauseThreshold{300};

}  // namespace

class PlacerCore::Impl {
 public:
  Impl(PlacerSettings settings, RecordStore* records, Metrics* metrics)
      : state_(std::move(settings), records, metrics),
        records_(records),
        limits_(&state_),
        jobs_(&state_),
        requests_(&state_),
        workers_(&state_, &requests_, &jobs_),
        placement_(&state_, jobs_.gangs()),
        election_(state_.settings.election) {}

  void OnTick(Time now) {
    HandlePause(now);
    TickElection(now);
    ApplyTermChange(now);
    if (InTerm()) {
      workers_.Tick(now);
      jobs_.Tick(now);
      requests_.Tick(now);
      if (limits_.IsDemandUpdateDue(now)) placement_.UpdateDemand();
      limits_.Tick(now);
      placement_.PreemptForUrgentWork(now);
      election_.OnMajority(state_.contracts.HasMajority(now), now);
    }
    if (now - hello_at_ >= kHelloInterval) SendHellos(now);
    Advance(now);
  }

  void OnWorkers(const std::vector<ListedWorker>& listed, Time now) {
    workers_.OnListed(listed, now);
    if (InTerm()) state_.RefreshAccounting(now);
    Advance(now);
  }

  void OnWorkerLink(const WorkerId& worker, bool up, Time now) {
    workers_.OnLink(worker, up, now);
    Advance(now);
  }

  void OnWorkerMessage(const WorkerId& worker,
                       const wire::WorkerToPlacer& message, Time now) {
    HandlePause(now);
    if (!InTerm()) return;
    workers_.OnMessage(worker, message, now);
    if (const auto epoch = workers_.TakeEpochSeen()) {
      election_.OnEpochSeen(*epoch);
    }
    if (workers_.superseded()) election_.OnSuperseded(now);
    Advance(now);
  }

  void OnEntryLink(const EntryId& entry, bool up, Time now) {
    if (up) {
      state_.entries.insert(entry);
      state_.entry_disconnected_at.erase(entry);
      state_.Send(entry, Hello(now));
    } else {
      state_.entries.erase(entry);
      state_.entry_disconnected_at[entry] = now;
    }
  }

  void OnEntryMessage(const EntryId& entry, const wire::EntryToPlacer& message,
                      Time now) {
    HandlePause(now);
    switch (message.kind_case()) {
      case wire::EntryToPlacer::kHello:
        OnEntryHello(entry, message.hello(), now);
        return;
      case wire::EntryToPlacer::kRecords:
        if (records_->Apply(message.records(), now) == ApplyResult::kApplied) {
          OnRecordsChanged(now);
        }
        return;
      default:
        break;
    }
    // Nothing is lost: entries resubmit pending work once a placer is active.
    if (!InTerm()) return;
    OnWorkMessage(entry, message, now);
    Advance(now);
  }

  void OnKvAnswer(const KvAnswer& answer, Time now) {
    if (election_call_ && election_call_->first == answer.id) {
      const ElectionCall::Kind kind = election_call_->second;
      election_call_.reset();
      election_.OnAnswer(ToElectionAnswer(kind, answer), now);
    } else if (!limits_.OnKvAnswer(answer)) {
      jobs_.OnKvAnswer(answer, now);
      if (jobs_.superseded()) election_.OnSuperseded(now);
    }
    ApplyTermChange(now);
    Advance(now);
  }

  void OnAllotmentChange(const KvChange& change, Time now) {
    limits_.OnChange(change);
    Advance(now);
  }

  void OnRecordsChanged(Time now) {
    state_.placement_due = true;
    Advance(now);
  }

  void BeginShutdown(Time now) {
    if (InTerm()) {
      for (const WorkerId& worker : state_.contracts.Workers()) {
        wire::PlacerToWorker message;
        message.mutable_release();
        state_.Send(worker, std::move(message));
      }
    }
    shutting_down_ = true;
    election_.BeginRelease();
    TickElection(now);
    ApplyTermChange(now);
  }

  bool ShutdownDone() const { return shutting_down_ && !election_call_; }

  std::vector<PlacerEffect> TakeEffects() {
    return std::exchange(state_.outbox, {});
  }

  PlacerStatus Status(Time now) const {
    PlacerStatus status;
    status.in_term = InTerm();
    status.active = MayDecide(now);
    status.epoch = state_.contracts.epoch();
    status.workers = state_.contracts.size();
    for (const WorkerId& worker : state_.contracts.Workers()) {
      if (state_.contracts.Reached(worker)) ++status.workers_reached;
    }
    status.waiting = state_.queue.size();
    status.attempts = state_.attempts.size();
    status.jobs = jobs_.size();
    status.all_workers_accounted = state_.all_workers_accounted;
    status.allocation_ratio = state_.ledger.TotalCharged().DominantShare(
        state_.ledger.TotalCapacity());
    return status;
  }

  std::map<TeamId, Resources> Usage() const { return state_.ledger.Usage(); }

 private:
  bool InTerm() const { return state_.contracts.in_term(); }

  // True while this placer may decide for the domain.
  bool MayDecide(Time now) const {
    return InTerm() && state_.contracts.HasMajority(now);
  }

  // After a pause, recomputes what depends on time before any message is
  // handled.
  void HandlePause(Time now) {
    if (now - last_event_ >= kPauseThreshold && InTerm()) {
      state_.RefreshAccounting(now);
      for (const WorkerId& worker : state_.contracts.Workers()) {
        state_.ledger.SetOpen(worker, state_.contracts.MayStart(worker, now));
      }
    }
    last_event_ = now;
  }

  void OnWorkMessage(const EntryId& entry, const wire::EntryToPlacer& message,
                     Time now) {
    switch (message.kind_case()) {
      case wire::EntryToPlacer::kSubmit:
        requests_.OnSubmit(entry, message.submit(), now);
        break;
      case wire::EntryToPlacer::kCancel:
        requests_.OnCancel(entry, WorkId(message.cancel().work_id()), now);
        break;
      case wire::EntryToPlacer::kSettleReceived:
        for (const std::string& id : message.settle_received().work_ids()) {
          requests_.OnSettleReceived(entry, WorkId(id));
        }
        break;
      case wire::EntryToPlacer::kSubmitJob:
        jobs_.OnSubmit(entry, message.submit_job(), now);
        break;
      case wire::EntryToPlacer::kQueryJob:
        jobs_.OnQuery(entry, message.query_job());
        break;
      case wire::EntryToPlacer::kCancelJob:
        jobs_.OnCancel(entry, message.cancel_job(), now);
        break;
      default:
        break;
    }
  }

  void OnEntryHello(const EntryId& entry, const wire::EntryHello& hello,
                    Time now) {
    if (hello.record_revision() >=
        static_cast<uint64_t>(records_->revision())) {
      return;
    }
    wire::PlacerToEntry reply;
    *reply.mutable_records() =
        records_->UpdateSince(Revision{hello.record_revision()}, now);
    state_.Send(entry, std::move(reply));
  }

  wire::PlacerToEntry Hello(Time now) const {
    wire::PlacerToEntry message;
    wire::PlacerHello* const hello = message.mutable_hello();
    hello->set_placer(state_.settings.self.text());
    hello->set_active(MayDecide(now));
    hello->set_epoch(static_cast<uint64_t>(state_.contracts.epoch()));
    hello->set_record_revision(static_cast<uint64_t>(records_->revision()));
    hello->set_confirmed_ago_ms(
        static_cast<uint32_t>(records_->ConfirmedAgo(now).count()));
    return message;
  }

  void SendHellos(Time now) {
    hello_at_ = now;
    announced_active_ = MayDecide(now);
    for (const EntryId& entry : state_.entries) state_.Send(entry, Hello(now));
  }

  // ---- election and terms ----

  void TickElection(Time now) {
    const std::optional<ElectionCall> call = election_.Tick(now);
    if (!call) return;
    const std::string key =
        std::string(kLeaderPrefix) + state_.settings.domain.text();
    KvCall kv{.key = key};
    switch (call->kind) {
      case ElectionCall::Kind::kRead:
        kv.kind = KvCall::Kind::kGet;
        break;
      case ElectionCall::Kind::kAcquire:
        kv.kind = KvCall::Kind::kPut;
        kv.value = state_.settings.self.text();
        kv.expected = Revision{0};
        kv.lease = state_.settings.election.lease;
        break;
      case ElectionCall::Kind::kRenew:
        kv.kind = KvCall::Kind::kKeepAlive;
        kv.expected = call->revision;
        break;
      case ElectionCall::Kind::kRelease:
        kv.kind = KvCall::Kind::kDelete;
        kv.expected = call->revision;
        break;
    }
    election_call_ = std::pair(state_.Call(std::move(kv)), call->kind);
  }

  ElectionAnswer ToElectionAnswer(ElectionCall::Kind kind,
                                  const KvAnswer& answer) const {
    if (answer.kind == KvAnswer::Kind::kNoAnswer) return {};
    const bool done = answer.kind == KvAnswer::Kind::kDone;
    switch (kind) {
      case ElectionCall::Kind::kRead:
        if (!done || answer.items.empty()) {
          return {.kind = ElectionAnswer::Kind::kVacant};
        }
        // The answer to an earlier attempt to acquire the key may have been
        // lost.
        if (answer.items.front().value == state_.settings.self.text()) {
          return {.kind = ElectionAnswer::Kind::kAcquired,
                  .revision = answer.items.front().revision};
        }
        return {.kind = ElectionAnswer::Kind::kHeldByOther};
      case ElectionCall::Kind::kAcquire:
        if (done) {
          return {.kind = ElectionAnswer::Kind::kAcquired,
                  .revision = answer.revision};
        }
        return {.kind = ElectionAnswer::Kind::kHeldByOther};
      case ElectionCall::Kind::kRenew:
        return {.kind = done ? ElectionAnswer::Kind::kRenewed
                             : ElectionAnswer::Kind::kLost};
      case ElectionCall::Kind::kRelease:
        break;
    }
    return {.kind = ElectionAnswer::Kind::kLost};
  }

  void ApplyTermChange(Time now) {
    if (election_.term() == term_) return;
    if (term_) EndTerm();
    term_ = election_.term();
    if (term_) BeginTerm(now);
    SendHellos(now);
  }

  void EndTerm() {
    state_.contracts.EndTerm();
    state_.Clear();
    jobs_.Clear();
    limits_.EndTerm();
    work_resumed_ = false;
    state_.metrics->Count("quetzal_terms_ended_total");
  }

  void BeginTerm(Time now) {
    state_.term_began = now;
    state_.contracts.BeginTerm(term_->epoch, term_->fenced);
    workers_.BeginTerm();
    state_.RefreshAccounting(now);
    limits_.BeginTerm(term_->fenced, now);
    jobs_.Load(now);
    workers_.Tick(now);
    state_.metrics->Count("quetzal_terms_begun_total",
                          {{"fenced", term_->fenced ? "yes" : "no"}});
  }

  // ---- progress after each event ----

  void Advance(Time now) {
    ApplyTermChange(now);
    if (MayDecide(now) != announced_active_) SendHellos(now);
    if (!InTerm()) return;
    if (state_.all_workers_accounted) requests_.ResolveAwaiting(now);
    if (state_.all_workers_accounted && jobs_.loaded() && !work_resumed_) {
      work_resumed_ = true;
      jobs_.QueueUnfinishedTasks(now);
      state_.placement_due = true;
    }
    if (state_.placement_due && limits_.ready()) placement_.StartWork(now);
  }

  State state_;
  RecordStore* records_;
  Limits limits_;
  Jobs jobs_;
  Requests requests_;
  Workers workers_;
  Placement placement_;
  DomainElection election_;
  std::optional<PlacerTerm> term_;
  std::optional<std::pair<uint64_t, ElectionCall::Kind>> election_call_;
  bool work_resumed_ = false;
  bool shutting_down_ = false;
  Time hello_at_;
  bool announced_active_ = false;
  Time last_event_;
};

PlacerCore::PlacerCore(PlacerSettings settings, RecordStore* records,
                       Metrics* metrics)
    : impl_(std::make_unique<Impl>(std::move(settings), records, metrics)) {}
PlacerCore::~PlacerCore() = default;

void PlacerCore::OnTick(Time now) { impl_->OnTick(now); }
void PlacerCore::OnWorkers(const std::vector<ListedWorker>& listed, Time now) {
  impl_->OnWorkers(listed, now);
}
void PlacerCore::OnWorkerLink(const WorkerId& worker, bool up, Time now) {
  impl_->OnWorkerLink(worker, up, now);
}
void PlacerCore::OnWorkerMessage(const WorkerId& worker,
                                 const wire::WorkerToPlacer& message,
                                 Time now) {
  impl_->OnWorkerMessage(worker, message, now);
}
void PlacerCore::OnEntryLink(const EntryId& entry, bool up, Time now) {
  impl_->OnEntryLink(entry, up, now);
}
void PlacerCore::OnEntryMessage(const EntryId& entry,
                                const wire::EntryToPlacer& message, Time now) {
  impl_->OnEntryMessage(entry, message, now);
}
void PlacerCore::OnKvAnswer(const KvAnswer& answer, Time now) {
  impl_->OnKvAnswer(answer, now);
}
void PlacerCore::OnAllotmentChange(const KvChange& change, Time now) {
  impl_->OnAllotmentChange(change, now);
}
void PlacerCore::OnRecordsChanged(Time now) { impl_->OnRecordsChanged(now); }
void PlacerCore::BeginShutdown(Time now) { impl_->BeginShutdown(now); }
bool PlacerCore::ShutdownDone() const { return impl_->ShutdownDone(); }
std::vector<PlacerEffect> PlacerCore::TakeEffects() {
  return impl_->TakeEffects();
}
PlacerStatus PlacerCore::Status(Time now) const { return impl_->Status(now); }
std::map<TeamId, Resources> PlacerCore::Usage() const { return impl_->Usage(); }

}  // namespace quetzal
