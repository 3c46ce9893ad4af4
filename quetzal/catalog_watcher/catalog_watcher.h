// Keeps a `CurrentCatalog` up to date with the configuration in the store.
//
//   CurrentCatalog catalogs;
//   CatalogWatcher watcher({.store = store, .key = "op/config",
//                           .decode = &platform::DecodeConfiguration,
//                           .after = &RunAfter, .clock = &Now,
//                           .log = &log, .metrics = &metrics},
//                          &catalogs, [] { ... });
//   watcher.Start();
//
// Logs each version with the call that returned it and with how long the copy
// had not been confirmed. A configuration that can't be decoded is logged and
// skipped.
#ifndef QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_
#define QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_

#include <functional>
#include <memory>
#include <string>

#include "quetzal/catalog/catalog.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/ids/ids.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/settings/settings.h"
#include "quetzal/store/store.h"

namespace quetzal {

struct CatalogWatcherDependencies {
  Store* store = nullptr;
  std::string key;  // of the configuration
  std::function<Checked<std::shared_ptr<const Catalog>>(
      const std::string& text)>
      decode;
  StoreWatcher::Timer after;
  std::function<Time()> clock;
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

  void Start() { watcher_.Start(); }

 private:
  void OnAnswer(StoreWatcherCall call, StoreOutcome outcome, size_t items);
  void OnItem(const StoreItem& item);
  void SetConfirmed(bool is_confirmed);
  int64_t AgeMs() const;

  CatalogWatcherDependencies dependencies_;
  CurrentCatalog* catalogs_;
  std::function<void()> on_update_;
  StoreWatcherCall last_call_ = StoreWatcherCall::kListing;
  size_t last_items_ = 0;      // in the last call's answer
  int64_t age_ms_before_ = 0;  // of the copy, when the last call was answered
  bool is_confirmed_ = true;   // the last call was answered
  StoreWatcher watcher_;
};

}  // namespace quetzal

#endif  // QUETZAL_CATALOG_WATCHER_CATALOG_WATCHER_H_
