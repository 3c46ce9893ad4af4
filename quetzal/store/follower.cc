#include <utility>

#include "quetzal/store/store.h"

namespace quetzal {

StoreFollower::StoreFollower(Store* store, std::string prefix,
                             FollowerTiming timing, FollowerHandlers handlers,
                             Timer after)
    : store_(store),
      prefix_(std::move(prefix)),
      timing_(timing),
      handlers_(std::move(handlers)),
      after_(std::move(after)) {}

StoreFollower::~StoreFollower() = default;

void StoreFollower::Start() { ListAnew(); }

void StoreFollower::ListAnew() {
  listing_.clear();
  first_page_revision_ = Revision{0};
  ListFrom("");
}

void StoreFollower::ListFrom(const std::string& after) {
  store_->Range(prefix_, after,
                lifetime_.Guard<ReadAnswer>(
                    [this](const ReadAnswer& answer) { OnPage(answer); }));
}

void StoreFollower::OnPage(const ReadAnswer& answer) {
  if (answer.outcome != StoreOutcome::kDone) {
    SetReached(false);
    Later(timing_.retry, &StoreFollower::ListAnew);
    return;
  }
  SetReached(true);
  // Pages aren't a snapshot: changes since the first one are watched for.
  if (first_page_revision_ == Revision{0}) {
    first_page_revision_ = answer.store_revision;
  }
  for (const StoreItem& item : answer.items) {
    listing_[item.key] = item.revision;
    Learn(item);
  }
  if (answer.has_more && !answer.items.empty()) {
    ListFrom(answer.items.back().key);
    return;
  }
  EndListing();
}

void StoreFollower::EndListing() {
  std::vector<std::string> removed;
  for (const auto& [key, revision] : known_) {
    if (!listing_.contains(key)) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    known_.erase(key);
    handlers_.on_removed(key);
  }
  listing_.clear();
  revision_ = first_page_revision_;
  if (!std::exchange(listed_, true) && handlers_.on_listed) {
    handlers_.on_listed();
  }
  Watch();
}

void StoreFollower::Watch() {
  store_->Watch(prefix_, revision_, timing_.watch_wait,
                lifetime_.Guard<WatchAnswer>(
                    [this](const WatchAnswer& answer) { OnWatch(answer); }));
}

void StoreFollower::OnWatch(const WatchAnswer& answer) {
  if (answer.outcome == StoreOutcome::kCompacted) {
    ListAnew();
    return;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    SetReached(false);
    Later(timing_.retry, &StoreFollower::Watch);
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
  Later(timing_.pause, &StoreFollower::Watch);
}

void StoreFollower::Learn(const StoreItem& item) {
  Revision& known = known_[item.key];
  if (item.revision <= known) return;
  known = item.revision;
  handlers_.on_put(item);
}

void StoreFollower::Later(Milliseconds delay, void (StoreFollower::*step)()) {
  after_(delay, lifetime_.Guard([this, step] { (this->*step)(); }));
}

void StoreFollower::SetReached(bool reached) {
  if (std::exchange(reached_, reached) != reached && handlers_.on_reached) {
    handlers_.on_reached(reached);
  }
}

}  // namespace quetzal
