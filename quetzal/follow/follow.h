// Keeps a record store in step with the platform: one list, then watches,
// and a list again whenever history was compacted or a gap shows.
//
//   Follower follower({.prefix = kSharedPrefix}, platform, &records, handlers);
//   follower.Start();
//
// A confirmation counts from when its call was sent, so an answer that lay
// unread in a paused process confirms nothing new.
#ifndef QUETZAL_FOLLOW_FOLLOW_H_
#define QUETZAL_FOLLOW_FOLLOW_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"
#include "quetzal/platform/platform.h"
#include "quetzal/record_store/record_store.h"

namespace quetzal {

struct FollowSettings {
  std::string prefix{kSharedPrefix};
  Milliseconds watch_wait{4'000};
  Milliseconds retry_after{500};  // after a call without an answer
};

struct FollowHandlers {
  std::function<Time()> now;
  // Runs a function after a delay.
  std::function<void(Milliseconds delay, std::function<void()>)> after;
  std::function<void()> on_records;
  // Changes under the prefix that are not records.
  std::function<void(const KvChange& change)> on_other;
  std::function<void(PlatformHealth health)> on_health;
};

class Follower {
 public:
  // `platform` and `records` must outlive the follower and its calls.
  Follower(FollowSettings settings, Platform* platform, RecordStore* records,
           FollowHandlers handlers);

  void Start() { List(); }

 private:
  void List();
  void Watch();
  void OnListed(const KvAnswer& answer, Time sent);
  void OnWatched(const WatchAnswer& answer, Time sent);
  void Apply(wire::RecordUpdate update, Time sent);
  void AddChange(const KvChange& change, wire::RecordUpdate* update);

  FollowSettings settings_;
  Platform* platform_;
  RecordStore* records_;
  FollowHandlers handlers_;
  uint64_t followed_ = 0;  // this follower's own place in history
};

}  // namespace quetzal

#endif  // QUETZAL_FOLLOW_FOLLOW_H_
