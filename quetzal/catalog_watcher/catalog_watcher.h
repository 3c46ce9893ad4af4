// Keeps a `CurrentCatalog` up to date with the configuration in the store.
//
//   CurrentCatalog catalogs;
//   CatalogWatcher watcher({.store = store, .key = "op/config",
//                           .decode = &platform::DecodeConfiguration,
//                           .after = &RunAfter, .clock = &NowWithSuspensions,
//                           .log = &log, .metrics = &metrics},
//                          &catalogs, [] { ... });
//   watcher.Start();
//
// Reads the configuration, then watches it. Of several versions in one answer
// only the newest is decoded, and after a call that failed the watch isn't
// resumed but the configuration is read again: however many versions were
// missed, one is transferred and decoded. A call without an answer in time is
// overtaken by another one, so that a dead connection delays changes by little.
//
// Logs each version with the call that returned it and with how long the copy
// had not been confirmed. A configuration that can't be decoded is logged and
// skipped.
#ifndef QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_
#define QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/catalog/catalog.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/ids/ids.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/settings/settings.h"
#include "quetzal/store/store.h"

namespace quetzal {

// The age up to which a copy may be used if a change must be in force
// `apply_bound` after it was confirmed. At least the age that copies reach
// while the store answers within 200 ms, however short the bound: otherwise
// every caller would be refused.
Milliseconds MaxUsableAge(Milliseconds apply_bound);

struct CatalogWatcherDependencies {
  Store* store = nullptr;
  std::string key;  // of the configuration
  std::function<Checked<std::shared_ptr<const Catalog>>(
      const std::string& text)>
      decode;
  StoreWatcher::Timer after;
  std::function<Time()> clock;  // also of the copy's age
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

class CatalogWatcher {
 public:
  // `on_update` is called after a newer version is in `catalogs`.
  CatalogWatcher(CatalogWatcherDependencies dependencies,
                 CurrentCatalog* catalogs, std::function<void()> on_update);
  CatalogWatcher(const CatalogWatcher&) = delete;
  CatalogWatcher& operator=(const CatalogWatcher&) = delete;

  void Start() { Read(); }

 private:
  enum class CallKind { kRead, kWatch };
  struct Call {
    CallKind kind = CallKind::kRead;
    uint64_t number = 0;
    Time sent;
  };

  void Read();
  // Replaces a call that had no answer in time.
  void Overtake(const Call& overdue);
  void Watch();
  // Numbers a call, which a read overtakes unless it ends within
  // `overdue_after`.
  Call BeginCall(CallKind kind, Milliseconds overdue_after);
  void OnRead(const Call& call, const ReadAnswer& answer);
  void OnWatch(const Call& call, const WatchAnswer& answer);
  // The time at which the copy was the newest one if `watch` ended without
  // events.
  Time ConfirmedWithoutEvents(const Call& watch) const;
  // The copy was the newest one at `time`.
  void OnConfirmed(const Call& call, Time time);
  void OnFailed(const Call& call);
  // Replaces the current catalog by the newest item that can be decoded.
  // `items` are in the order of their revisions.
  void Update(const Call& call, const std::vector<StoreItem>& items);
  // False if `item`, one of `items` in its answer, can't be decoded.
  bool UpdateFrom(const Call& call, const StoreItem& item, size_t items);
  void SetConfirmed(const Call& call, bool is_confirmed);
  // A later call has taken this one's place, as it had no answer in time.
  bool IsOvertaken(const Call& call) const {
    return call.number != newest_call_;
  }
  void ScheduleAfter(Milliseconds delay, void (CatalogWatcher::*step)());
  int64_t AgeMs() const;
  static const char* NameOf(const Call& call);

  CatalogWatcherDependencies dependencies_;
  CurrentCatalog* catalogs_;
  std::function<void()> on_update_;
  uint64_t newest_call_ = 0;
  Revision item_revision_{0};   // of the newest item returned
  Revision watch_position_{0};  // all changes up to this one were returned
  bool is_confirmed_ = true;    // the last call was answered in time
  Lifetime lifetime_;
};

}  // namespace quetzal

#endif  // QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_
