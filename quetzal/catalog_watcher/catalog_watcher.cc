#include "quetzal/catalog_watcher/catalog_watcher.h"

#include <utility>

namespace quetzal {
namespace {

constexpr int64_t kNeverConfirmed = -1;

const char* NameOf(StoreWatcherCall call) {
  return call == StoreWatcherCall::kListing ? "listing" : "watch";
}

}  // namespace

CatalogWatcher::CatalogWatcher(CatalogWatcherDependencies dependencies,
                               CurrentCatalog* catalogs,
                               std::function<void()> on_update)
    : dependencies_(std::move(dependencies)),
      catalogs_(catalogs),
      on_update_(std::move(on_update)),
      watcher_(
          dependencies_.store, dependencies_.key, StoreWatcherTiming{},
          StoreWatcherHandlers{
              .on_put = [this](const StoreItem& item) { OnItem(item); },
              .on_removed = [](const std::string&) {},
              .on_answer =
                  [this](StoreWatcherCall call, StoreOutcome outcome,
                         size_t items) { OnAnswer(call, outcome, items); }},
          dependencies_.after) {}

int64_t CatalogWatcher::AgeMs() const {
  const auto age = catalogs_->AgeAt(dependencies_.clock());
  return age ? age->count() : kNeverConfirmed;
}

void CatalogWatcher::OnAnswer(StoreWatcherCall call, StoreOutcome outcome,
                              size_t items) {
  last_call_ = call;
  last_items_ = items;
  age_ms_before_ = AgeMs();
  const bool is_confirmed = outcome == StoreOutcome::kDone;
  SetConfirmed(is_confirmed || outcome == StoreOutcome::kCompacted);
  if (is_confirmed) {
    catalogs_->Confirm(dependencies_.clock());
  } else {
    dependencies_.metrics->Count("quetzal_configuration_calls_failed_total",
                                 {{"call", NameOf(call)}});
  }
}

void CatalogWatcher::SetConfirmed(bool is_confirmed) {
  if (std::exchange(is_confirmed_, is_confirmed) == is_confirmed) return;
  dependencies_.log->Line(
      is_confirmed ? "configuration_confirmed" : "configuration_unconfirmed",
      {{"call", NameOf(last_call_)}, {"copy_age_ms", age_ms_before_}});
}

void CatalogWatcher::OnItem(const StoreItem& item) {
  if (item.key != dependencies_.key) return;
  auto catalog = dependencies_.decode(item.value);
  if (!catalog) {
    dependencies_.log->Line("configuration_unreadable",
                            {{"problems", Describe(catalog.error())}});
    return;
  }
  const int64_t version = catalog.value()->version();
  if (!catalogs_->UpdateIfNewer(std::move(catalog.value()))) return;
  dependencies_.log->Line(
      "configuration_in_force",
      {{"version", version},
       {"revision", static_cast<int64_t>(item.revision)},
       {"call", NameOf(last_call_)},
       {"versions_in_answer", static_cast<int64_t>(last_items_)},
       {"copy_age_ms", age_ms_before_}});
  dependencies_.metrics->Set("quetzal_configuration_version", {},
                             static_cast<double>(version));
  on_update_();
}

}  // namespace quetzal
