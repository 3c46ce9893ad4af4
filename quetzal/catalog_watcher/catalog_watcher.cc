#include "quetzal/catalog_watcher/catalog_watcher.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

// How long a watch waits for a change.
constexpr Milliseconds kWatchWait{500};
// A watch may report a change this much later: watches report nothing while the
// store compacts its history.
constexpr Milliseconds kMaxWatchLag{1'000};
// Between two watches, so that one answer carries changes that come together.
constexpr Milliseconds kWatchPause{20};
constexpr Milliseconds kRetryDelay{150};  // after a call that failed
// Beyond a watch's wait, and for a read: several times the usual answer of a
// store in another region.
constexpr Milliseconds kOverdueAfter{600};
constexpr int64_t kNeverConfirmed = -1;
// Reserved, of the time in which a configuration must be in force, for what a
// request takes to arrive and for the resolution of the copy's age.
constexpr Milliseconds kAgeMargin{500};
constexpr Milliseconds kUsualAnswer{200};
// The copy's age just before a watch confirms it anew, if answers take
// `kUsualAnswer`.
constexpr Milliseconds kMaxUsualAge =
    kMaxWatchLag + kWatchPause + kWatchWait + 2 * kUsualAnswer;

}  // namespace

Milliseconds MaxUsableAge(Milliseconds apply_bound) {
  return std::max(apply_bound - kAgeMargin, kMaxUsualAge);
}

CatalogWatcher::CatalogWatcher(CatalogWatcherDependencies dependencies,
                               CurrentCatalog* catalogs,
                               std::function<void()> on_update)
    : dependencies_(std::move(dependencies)),
      catalogs_(catalogs),
      on_update_(std::move(on_update)) {}

const char* CatalogWatcher::NameOf(const Call& call) {
  return call.kind == CallKind::kRead ? "read" : "watch";
}

int64_t CatalogWatcher::AgeMs() const {
  const auto age = catalogs_->AgeAt(dependencies_.clock());
  return age ? age->count() : kNeverConfirmed;
}

CatalogWatcher::Call CatalogWatcher::BeginCall(CallKind kind,
                                               Milliseconds overdue_after) {
  const Call call{
      .kind = kind, .number = ++newest_call_, .sent = dependencies_.clock()};
  dependencies_.after(overdue_after, lifetime_.Guard([this, call] {
    if (!IsOvertaken(call)) Overtake(call);
  }));
  return call;
}

void CatalogWatcher::Read() {
  const Call call = BeginCall(CallKind::kRead, kOverdueAfter);
  dependencies_.store->Read(
      dependencies_.key,
      lifetime_.Guard<ReadAnswer>(
          [this, call](const ReadAnswer& answer) { OnRead(call, answer); }));
}

void CatalogWatcher::Overtake(const Call& overdue) {
  OnFailed(overdue);
  const Call call = BeginCall(CallKind::kRead, kOverdueAfter);
  dependencies_.store->ReadOnNewConnection(
      dependencies_.key,
      lifetime_.Guard<ReadAnswer>(
          [this, call](const ReadAnswer& answer) { OnRead(call, answer); }));
}

void CatalogWatcher::OnRead(const Call& call, const ReadAnswer& answer) {
  const bool was_answered = answer.outcome == StoreOutcome::kDone ||
                            answer.outcome == StoreOutcome::kMissing;
  if (was_answered) {
    Update(call, answer.items);
    OnConfirmed(call, call.sent);
    watch_position_ = std::max(watch_position_, answer.store_revision);
  }
  if (IsOvertaken(call)) return;
  if (!was_answered) OnFailed(call);
  // Without a revision to watch from, for instance because there is no
  // configuration yet, only another read can find one.
  if (was_answered && watch_position_ != Revision{0}) {
    Watch();
  } else {
    ScheduleAfter(kRetryDelay, &CatalogWatcher::Read);
  }
}

void CatalogWatcher::Watch() {
  const Call call = BeginCall(CallKind::kWatch, kWatchWait + kOverdueAfter);
  dependencies_.store->Watch(
      dependencies_.key, watch_position_, kWatchWait,
      lifetime_.Guard<WatchAnswer>(
          [this, call](const WatchAnswer& answer) { OnWatch(call, answer); }));
}

void CatalogWatcher::OnWatch(const Call& call, const WatchAnswer& answer) {
  const bool was_answered = answer.outcome == StoreOutcome::kDone;
  if (was_answered) {
    std::vector<StoreItem> items;
    for (const StoreEvent& event : answer.events) {
      if (!event.deleted) items.push_back(event.item);
    }
    Update(call, items);
    OnConfirmed(
        call, answer.events.empty() ? ConfirmedWithoutEvents(call) : call.sent);
  }
  if (IsOvertaken(call)) return;
  if (was_answered) {
    // Only events move the position: the store's revision may be past a change
    // that it didn't report, as watches miss changes while it compacts.
    for (const StoreEvent& event : answer.events) {
      watch_position_ = std::max(watch_position_, event.item.revision);
    }
    ScheduleAfter(kWatchPause, &CatalogWatcher::Watch);
  } else if (answer.outcome == StoreOutcome::kCompacted) {
    ScheduleAfter(kWatchPause, &CatalogWatcher::Read);
  } else {
    OnFailed(call);
    ScheduleAfter(kRetryDelay, &CatalogWatcher::Read);
  }
}

Time CatalogWatcher::ConfirmedWithoutEvents(const Call& watch) const {
  const Time wait_end = watch.sent + kWatchWait;
  // One that ended before its wait may have ended at any time since it was
  // sent.
  const Time watched_until =
      dependencies_.clock() >= wait_end ? wait_end : watch.sent;
  return watched_until - kMaxWatchLag;
}

void CatalogWatcher::OnConfirmed(const Call& call, Time time) {
  catalogs_->Confirm(time);
  SetConfirmed(call, true);
}

void CatalogWatcher::OnFailed(const Call& call) {
  dependencies_.metrics->Count("quetzal_configuration_calls_failed_total",
                               {{"call", NameOf(call)}});
  SetConfirmed(call, false);
}

void CatalogWatcher::SetConfirmed(const Call& call, bool is_confirmed) {
  if (std::exchange(is_confirmed_, is_confirmed) == is_confirmed) return;
  dependencies_.log->Line(
      is_confirmed ? "configuration_confirmed" : "configuration_unconfirmed",
      {{"call", NameOf(call)}, {"copy_age_ms", AgeMs()}});
}

void CatalogWatcher::Update(const Call& call,
                            const std::vector<StoreItem>& items) {
  for (auto item = items.rbegin(); item != items.rend(); ++item) {
    if (item->key != dependencies_.key) continue;
    if (item->revision <= item_revision_) return;
    if (UpdateFrom(call, *item, items.size())) {
      item_revision_ = item->revision;
      return;
    }
  }
}

bool CatalogWatcher::UpdateFrom(const Call& call, const StoreItem& item,
                                size_t items) {
  auto catalog = dependencies_.decode(item.value);
  if (!catalog) {
    dependencies_.log->Line("configuration_unreadable",
                            {{"problems", Describe(catalog.error())}});
    return false;
  }
  const int64_t version = catalog.value()->version();
  if (!catalogs_->UpdateIfNewer(std::move(catalog.value()))) return true;
  dependencies_.log->Line("configuration_in_force",
                          {{"version", version},
                           {"revision", static_cast<int64_t>(item.revision)},
                           {"call", NameOf(call)},
                           {"versions_in_answer", static_cast<int64_t>(items)},
                           {"copy_age_ms", AgeMs()}});
  dependencies_.metrics->Set("quetzal_configuration_version", {},
                             static_cast<double>(version));
  on_update_();
  return true;
}

void CatalogWatcher::ScheduleAfter(Milliseconds delay,
                                   void (CatalogWatcher::*step)()) {
  dependencies_.after(delay,
                      lifetime_.Guard([this, step] { (this->*step)(); }));
}

}  // namespace quetzal
