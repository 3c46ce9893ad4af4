#include <algorithm>
#include <utility>

#include "quetzal/store/store.h"

namespace quetzal {

StoreWatcher::StoreWatcher(Store* store, std::string prefix,
                           StoreWatcherTiming timing,
                           StoreWatcherHandlers handlers, Timer after)
    : store_(store),
      prefix_(std::move(prefix)),
      timing_(timing),
      handlers_(std::move(handlers)),
      after_(std::move(after)) {}

StoreWatcher::~StoreWatcher() = default;

void StoreWatcher::Start() { Relist(); }

void StoreWatcher::Relist() { ListPage(std::make_shared<Listing>(), ""); }

void StoreWatcher::ListPage(const SharedListing& listing,
                            const std::string& after) {
  store_->Range(
      prefix_, after,
      lifetime_.Guard<ReadAnswer>([this, listing](const ReadAnswer& answer) {
        if (IsCurrent(*listing)) OnPage(listing, answer);
      }));
}

bool StoreWatcher::IsCurrent(const Listing& listing) const {
  return listing.watch_number == 0 ||
         (is_watching_ && listing.watch_number == watch_number_);
}

void StoreWatcher::OnPage(const SharedListing& listing,
                          const ReadAnswer& answer) {
  if (answer.outcome != StoreOutcome::kDone) {
    // The watch that it checks tells whether the store can be reached.
    if (listing->watch_number != 0) return;
    SetReachable(false);
    ScheduleAfter(timing_.retry, &StoreWatcher::Relist);
    return;
  }
  SetReachable(true);
  // Pages aren't a snapshot; the watch reports changes since the first one.
  if (listing->first_page_revision == Revision{0}) {
    listing->first_page_revision = answer.store_revision;
  }
  for (const StoreItem& item : answer.items) {
    listing->keys[item.key] = item.revision;
    if (UpdateItem(item)) listing->found_changes = true;
  }
  if (answer.has_more && !answer.items.empty()) {
    ListPage(listing, answer.items.back().key);
    return;
  }
  FinishListing(listing.get());
}

void StoreWatcher::FinishListing(Listing* listing) {
  std::vector<std::string> removed;
  for (const auto& [key, revision] : revisions_) {
    if (!listing->keys.contains(key)) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    revisions_.erase(key);
    handlers_.on_removed(key);
  }
  revision_ = std::max(revision_, listing->first_page_revision);
  if (listing->watch_number != 0) {
    const bool missed_changes = listing->found_changes || !removed.empty();
    check_delay_ = missed_changes ? timing_.relist_after_silence
                                  : std::min(check_delay_ * 2, kMaxRelistDelay);
    ScheduleCheck(watch_number_);
    return;
  }
  revision_ = listing->first_page_revision;
  check_delay_ = timing_.relist_after_silence;
  if (!std::exchange(listed_, true) && handlers_.on_listed) {
    handlers_.on_listed();
  }
  Watch();
}

void StoreWatcher::Watch() {
  ++watch_number_;
  is_watching_ = true;
  store_->Watch(prefix_, revision_, timing_.watch_wait,
                lifetime_.Guard<WatchAnswer>(
                    [this](const WatchAnswer& answer) { OnWatch(answer); }));
  ScheduleCheck(watch_number_);
}

void StoreWatcher::ScheduleCheck(uint64_t watch) {
  if (timing_.relist_after_silence.count() == 0) return;
  after_(check_delay_, lifetime_.Guard([this, watch] {
    if (!is_watching_ || watch != watch_number_) return;
    auto listing = std::make_shared<Listing>();
    listing->watch_number = watch;
    ListPage(listing, "");
  }));
}

void StoreWatcher::OnWatch(const WatchAnswer& answer) {
  is_watching_ = false;
  if (!answer.events.empty()) check_delay_ = timing_.relist_after_silence;
  if (answer.outcome == StoreOutcome::kCompacted) {
    Relist();
    return;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    SetReachable(false);
    ScheduleAfter(timing_.retry, &StoreWatcher::Watch);
    return;
  }
  SetReachable(true);
  for (const StoreEvent& event : answer.events) {
    if (!event.deleted) {
      UpdateItem(event.item);
      continue;
    }
    const auto it = revisions_.find(event.item.key);
    // A listing has seen the key after it was created again; this removal is
    // older.
    if (it == revisions_.end() || it->second > event.item.revision) continue;
    revisions_.erase(it);
    handlers_.on_removed(event.item.key);
  }
  // Without events the store's revision may be past a change that it didn't
  // report, as watches miss changes while it compacts its history.
  if (!answer.events.empty()) {
    revision_ = std::max(revision_, answer.events.back().item.revision);
  }
  ScheduleAfter(timing_.pause, &StoreWatcher::Watch);
}

bool StoreWatcher::UpdateItem(const StoreItem& item) {
  Revision& recorded = revisions_[item.key];
  if (item.revision <= recorded) return false;
  recorded = item.revision;
  handlers_.on_put(item);
  return true;
}

void StoreWatcher::ScheduleAfter(Milliseconds delay,
                                 void (StoreWatcher::*step)()) {
  after_(delay, lifetime_.Guard([this, step] { (this->*step)(); }));
}

void StoreWatcher::SetReachable(bool is_reachable) {
  if (std::exchange(is_reachable_, is_reachable) != is_reachable &&
      handlers_.on_reachable) {
    handlers_.on_reachable(is_reachable);
  }
}

}  // namespace quetzal
