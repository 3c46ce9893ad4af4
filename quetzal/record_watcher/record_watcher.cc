#include "quetzal/record_watcher/record_watcher.h"

#include <algorithm>
#include <utility>

namespace quetzal {

RecordWatcher::RecordWatcher(RecordWatcherSettings settings,
                             PlatformClient* platform, RecordStore* records,
                             RecordWatcherHandlers handlers)
    : settings_(std::move(settings)),
      platform_(platform),
      records_(records),
      handlers_(std::move(handlers)) {}

void RecordWatcher::List() {
  const Time sent = handlers_.now();
  platform_->Call({.kind = KvCall::Kind::kList, .key = settings_.prefix},
                  [this, sent](const KvAnswer& answer) {
                    handlers_.on_health(platform_->health());
                    OnListed(answer, sent);
                  });
}

void RecordWatcher::OnListed(const KvAnswer& answer, Time sent) {
  if (answer.kind != KvAnswer::Kind::kDone) {
    handlers_.after(settings_.retry_after, [this] { List(); });
    return;
  }
  wire::RecordUpdate update;
  update.set_base(0);
  update.set_revision(static_cast<uint64_t>(answer.store_revision));
  for (const KvItem& item : answer.items) AddChange({.item = item}, &update);
  synced_revision_ = update.revision();
  Apply(std::move(update), sent);
  Watch();
}

void RecordWatcher::Watch() {
  const Time sent = handlers_.now();
  platform_->Watch(settings_.prefix, Revision{synced_revision_},
                   settings_.watch_wait,
                   [this, sent](const KvWatchAnswer& answer) {
                     handlers_.on_health(platform_->health());
                     OnWatched(answer, sent);
                   });
}

void RecordWatcher::OnWatched(const KvWatchAnswer& answer, Time sent) {
  switch (answer.kind) {
    case KvWatchAnswer::Kind::kCompacted:
      List();
      return;
    case KvWatchAnswer::Kind::kNoAnswer:
      handlers_.after(settings_.retry_after, [this] { Watch(); });
      return;
    case KvWatchAnswer::Kind::kChanges:
      break;
  }
  wire::RecordUpdate update;
  update.set_base(synced_revision_);
  update.set_revision(
      std::max(synced_revision_, static_cast<uint64_t>(answer.store_revision)));
  for (const KvChange& change : answer.changes) AddChange(change, &update);
  synced_revision_ = update.revision();
  Apply(std::move(update), sent);
  Watch();
}

void RecordWatcher::AddChange(const KvChange& change,
                              wire::RecordUpdate* update) {
  if (!change.item.key.starts_with(kRecordPrefix)) {
    handlers_.on_other(change);
    return;
  }
  wire::RecordChange* const record = update->add_changes();
  record->set_path(change.item.key.substr(kRecordPrefix.size()));
  record->set_revision(static_cast<uint64_t>(change.item.revision));
  record->set_value(change.item.value);
  record->set_withdrawn(change.deleted);
}

void RecordWatcher::Apply(wire::RecordUpdate update, Time sent) {
  const Time now = handlers_.now();
  const auto age = std::max(now - sent, Milliseconds(0));
  update.set_confirmed_ago_ms(static_cast<uint32_t>(age.count()));
  const ApplyResult result = records_->Apply(update, now);
  if (result == ApplyResult::kApplied) handlers_.on_records();
}

}  // namespace quetzal
