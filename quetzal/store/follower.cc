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

void StoreWatcher::Start() { ListAnew(); }

void StoreWatcher::ListAnew() { ListFrom(std::make_shared<Listing>(), ""); }

void StoreWatcher::ListFrom(const SharedListing& listing,
                            const std::string& after) {
  store_->Range(
      prefix_, after,
      lifetime_.Guard<ReadAnswer>([this, listing](const ReadAnswer& answer) {
        if (IsWanted(*listing)) OnPage(listing, answer);
      }));
}

bool StoreWatcher::IsWanted(const Listing& listing) const {
  return listing.number == 0 || (watching_ && listing.number == watch_);
}

void StoreWatcher::OnPage(const SharedListing& listing,
                          const ReadAnswer& answer) {
  if (answer.outcome != StoreOutcome::kDone) {
    // Beside a watch, that one tells whether the store answers.
    if (listing->number != 0) return;
    SetReached(false);
    Later(timing_.retry, &StoreWatcher::ListAnew);
    return;
  }
  SetReached(true);
  // Pages aren't a snapshot: changes since the first one are watched for.
  if (listing->first_page == Revision{0}) {
    listing->first_page = answer.store_revision;
  }
  for (const StoreItem& item : answer.items) {
    listing->keys[item.key] = item.revision;
    if (Learn(item)) listing->found_news = true;
  }
  if (answer.has_more && !answer.items.empty()) {
    ListFrom(listing, answer.items.back().key);
    return;
  }
  EndListing(listing.get());
}

void StoreWatcher::EndListing(Listing* listing) {
  std::vector<std::string> removed;
  for (const auto& [key, revision] : known_) {
    if (!listing->keys.contains(key)) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    known_.erase(key);
    handlers_.on_removed(key);
  }
  revision_ = std::max(revision_, listing->first_page);
  if (listing->number != 0) {
    const bool is_deaf = listing->found_news || !removed.empty();
    silence_ = is_deaf ? timing_.relist_after_silence
                       : std::min(silence_ * 2, kMostSilence);
    CheckSilence(watch_);
    return;
  }
  revision_ = listing->first_page;
  silence_ = timing_.relist_after_silence;
  if (!std::exchange(listed_, true) && handlers_.on_listed) {
    handlers_.on_listed();
  }
  Watch();
}

void StoreWatcher::Watch() {
  ++watch_;
  watching_ = true;
  store_->Watch(prefix_, revision_, timing_.watch_wait,
                lifetime_.Guard<WatchAnswer>(
                    [this](const WatchAnswer& answer) { OnWatch(answer); }));
  CheckSilence(watch_);
}

void StoreWatcher::CheckSilence(uint64_t watch) {
  if (timing_.relist_after_silence.count() == 0) return;
  after_(silence_, lifetime_.Guard([this, watch] {
    if (!watching_ || watch != watch_) return;
    auto listing = std::make_shared<Listing>();
    listing->number = watch;
    ListFrom(listing, "");
  }));
}

void StoreWatcher::OnWatch(const WatchAnswer& answer) {
  watching_ = false;
  if (!answer.events.empty()) silence_ = timing_.relist_after_silence;
  if (answer.outcome == StoreOutcome::kCompacted) {
    ListAnew();
    return;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    SetReached(false);
    Later(timing_.retry, &StoreWatcher::Watch);
    return;
  }
  SetReached(true);
  for (const StoreEvent& event : answer.events) {
    if (!event.deleted) {
      Learn(event.item);
      continue;
    }
    const auto known = known_.find(event.item.key);
    // Created again before a listing saw it: this is older news.
    if (known == known_.end() || known->second > event.item.revision) continue;
    known_.erase(known);
    handlers_.on_removed(event.item.key);
  }
  if (answer.store_revision > revision_) revision_ = answer.store_revision;
  Later(timing_.pause, &StoreWatcher::Watch);
}

bool StoreWatcher::Learn(const StoreItem& item) {
  Revision& known = known_[item.key];
  if (item.revision <= known) return false;
  known = item.revision;
  handlers_.on_put(item);
  return true;
}

void StoreWatcher::Later(Milliseconds delay, void (StoreWatcher::*step)()) {
  after_(delay, lifetime_.Guard([this, step] { (this->*step)(); }));
}

void StoreWatcher::SetReached(bool reached) {
  if (std::exchange(reached_, reached) != reached && handlers_.on_reachable) {
    handlers_.on_reachable(reached);
  }
}

}  // namespace quetzal
