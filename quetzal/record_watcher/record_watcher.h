// Keeps a record store up to date with the platform: lists all records once,
// then watches for changes, and lists again when the history was compacted.
//
//   RecordWatcher watcher({}, platform, &records, handlers);
//   watcher.Start();
//
// A confirmation dates from when its call was sent, so an answer that was left
// unread while the process was paused doesn't make the records look fresh.
#ifndef QUETZAL_RECORD_WATCHER_RECORD_WATCHER_H_
#define QUETZAL_RECORD_WATCHER_RECORD_WATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"
#include "quetzal/platform_client/platform_client.h"
#include "quetzal/record_store/record_store.h"

namespace quetzal {

struct RecordWatcherSettings {
  std::string prefix{kSharedPrefix};
  Milliseconds watch_wait{4'000};
  Milliseconds retry_after{500};  // after a call without an answer
};

struct RecordWatcherHandlers {
  std::function<Time()> now;
  // Runs a function after a delay.
  std::function<void(Milliseconds delay, std::function<void()>)> after;
  // The record store applied an update.
  std::function<void()> on_records;
  // Changes under the prefix that are not records.
  std::function<void(const KvChange& change)> on_other;
  std::function<void(PlatformHealth health)> on_health;
};

class RecordWatcher {
 public:
  // `platform` and `records` must outlive the watcher and its calls.
  RecordWatcher(RecordWatcherSettings settings, PlatformClient* platform,
                RecordStore* records, RecordWatcherHandlers handlers);

  void Start() { List(); }

 private:
  void List();
  void Watch();
  void OnListed(const KvAnswer& answer, Time sent);
  void OnWatched(const KvWatchAnswer& answer, Time sent);
  void Apply(wire::RecordUpdate update, Time sent);
  void AddChange(const KvChange& change, wire::RecordUpdate* update);

  RecordWatcherSettings settings_;
  PlatformClient* platform_;
  RecordStore* records_;
  RecordWatcherHandlers handlers_;
  uint64_t synced_revision_ = 0;  // all changes up to it were received
};

}  // namespace quetzal

#endif  // QUETZAL_RECORD_WATCHER_RECORD_WATCHER_H_
