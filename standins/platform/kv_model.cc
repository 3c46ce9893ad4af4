#include "standins/platform/kv_model.h"

#include <utility>

namespace quetzal::standin {
namespace {

constexpr size_t kMaxHistoryChanges = 10'000;

}  // namespace

KvAnswer KvModel::Apply(const KvCall& call, Time now) {
  OnTick(now);
  ++calls_;
  KvAnswer answer{.id = call.id, .kind = KvAnswer::Kind::kDone};
  switch (call.kind) {
    case KvCall::Kind::kGet: {
      const auto found = values_.find(call.key);
      if (found == values_.end()) {
        answer.kind = KvAnswer::Kind::kMissing;
      } else {
        answer.items.push_back(found->second.item);
        answer.revision = found->second.item.revision;
      }
      break;
    }
    case KvCall::Kind::kList:
      for (auto it = values_.lower_bound(call.key);
           it != values_.end() && it->first.starts_with(call.key); ++it) {
        answer.items.push_back(it->second.item);
      }
      break;
    case KvCall::Kind::kPut:
      answer = Put(call, now);
      break;
    case KvCall::Kind::kDelete:
      answer = Delete(call);
      break;
    case KvCall::Kind::kKeepAlive:
      answer = KeepAlive(call, now);
      break;
  }
  answer.id = call.id;
  answer.store_revision = Revision{revision_};
  return answer;
}

uint64_t KvModel::KeyRevision(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end()
             ? 0
             : static_cast<uint64_t>(found->second.item.revision);
}

bool KvModel::Conflicts(const KvCall& call) const {
  return call.expected &&
         static_cast<uint64_t>(*call.expected) != KeyRevision(call.key);
}

KvAnswer KvModel::Put(const KvCall& call, Time now) {
  if (Conflicts(call)) {
    return {.kind = KvAnswer::Kind::kConflict,
            .revision = Revision{KeyRevision(call.key)}};
  }
  ++revision_;
  Value& value = values_[call.key];
  value.item = {
      .key = call.key, .value = call.value, .revision = Revision{revision_}};
  value.lease_ttl = call.lease;
  value.lease_expires_at = now + call.lease;
  AppendToHistory(value.item, false);
  return {.kind = KvAnswer::Kind::kDone, .revision = Revision{revision_}};
}

KvAnswer KvModel::Delete(const KvCall& call) {
  const auto found = values_.find(call.key);
  if (found == values_.end()) return {.kind = KvAnswer::Kind::kMissing};
  if (Conflicts(call)) {
    return {.kind = KvAnswer::Kind::kConflict,
            .revision = found->second.item.revision};
  }
  KvItem item = found->second.item;
  values_.erase(found);
  item.revision = Revision{++revision_};
  AppendToHistory(item, true);
  return {.kind = KvAnswer::Kind::kDone, .revision = item.revision};
}

KvAnswer KvModel::KeepAlive(const KvCall& call, Time now) {
  const auto found = values_.find(call.key);
  if (found == values_.end()) return {.kind = KvAnswer::Kind::kMissing};
  if (Conflicts(call)) return {.kind = KvAnswer::Kind::kConflict};
  found->second.lease_expires_at = now + found->second.lease_ttl;
  return {.kind = KvAnswer::Kind::kDone,
          .revision = found->second.item.revision};
}

void KvModel::OnTick(Time now) {
  for (auto it = values_.begin(); it != values_.end();) {
    const Value& value = it->second;
    if (value.lease_ttl.count() == 0 || now < value.lease_expires_at) {
      ++it;
      continue;
    }
    KvItem item = value.item;
    item.revision = Revision{++revision_};
    it = values_.erase(it);
    AppendToHistory(item, true);
  }
}

void KvModel::AppendToHistory(const KvItem& item, bool deleted) {
  history_.push_back({.item = item, .deleted = deleted});
  if (history_.size() <= kMaxHistoryChanges) return;
  compacted_ = static_cast<uint64_t>(history_.front().item.revision);
  history_.pop_front();
}

std::optional<std::vector<KvChange>> KvModel::Since(const std::string& prefix,
                                                    uint64_t revision) const {
  if (revision < compacted_) return std::nullopt;
  std::vector<KvChange> changes;
  for (const KvChange& change : history_) {
    if (static_cast<uint64_t>(change.item.revision) <= revision) continue;
    if (change.item.key.starts_with(prefix)) changes.push_back(change);
  }
  return changes;
}

void KvModel::Compact() {
  history_.clear();
  compacted_ = revision_;
}

}  // namespace quetzal::standin
