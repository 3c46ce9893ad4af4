#include "quetzal/record_store/record_store.h"

#include <algorithm>
#include <set>

namespace quetzal {
namespace {

constexpr size_t kMaxLogSize = 1024;
// Reported age of a revision that was never confirmed.
constexpr Milliseconds kNeverConfirmed{0xffffffffU};

}  // namespace

ApplyResult RecordStore::Apply(const wire::RecordUpdate& update, Time now) {
  const Time confirmed = now - Milliseconds(update.confirmed_ago_ms());
  if (IsOlder(update.revision(), revision_)) return ApplyResult::kBehind;
  if (update.revision() == revision_) {
    Confirm(confirmed);
    return ApplyResult::kConfirmed;
  }
  if (update.base() > revision_) return ApplyResult::kGap;
  const bool is_full = update.base() == 0;
  std::set<std::string> updated_paths;
  for (const wire::RecordChange& change : update.changes()) {
    updated_paths.insert(change.path());
    if (is_full || !IsOlder(change.revision(), revision_)) ApplyChange(change);
  }
  if (is_full) {
    std::vector<std::string> removed_paths;
    for (const auto& [path, change] : changes_) {
      if (!updated_paths.contains(path)) removed_paths.push_back(path);
    }
    for (const std::string& path : removed_paths) Erase(path);
    log_.clear();
    log_base_ = update.revision();
  }
  revision_ = update.revision();
  Confirm(confirmed);
  return ApplyResult::kApplied;
}

bool RecordStore::IsOlder(uint64_t revision, uint64_t held) const {
  return settings_.checks_revisions && revision < held;
}

void RecordStore::Confirm(Time at) {
  if (!confirmed_at_ || *confirmed_at_ < at) confirmed_at_ = at;
}

void RecordStore::ApplyChange(const wire::RecordChange& change) {
  const auto known = changes_.find(change.path());
  const bool is_not_newer =
      known != changes_.end() &&
      (known->second.revision() == change.revision() ||
       IsOlder(change.revision(), known->second.revision()));
  if (is_not_newer) return;
  AppendToLog(change);
  if (change.withdrawn()) {
    Erase(change.path());
    return;
  }
  changes_[change.path()] = change;
  const Checked<Record> record = ParseRecord(change.value());
  if (!record || RecordPath(record.value()) != change.path()) {
    ++unreadable_;
    return;
  }
  const auto before = records_.find(change.path());
  if (before != records_.end()) {
    if (const auto* const key = std::get_if<KeyRecord>(&before->second)) {
      path_of_digest_.erase(key->digest);
    }
  }
  if (const auto* const key = std::get_if<KeyRecord>(&record.value())) {
    path_of_digest_[key->digest] = change.path();
  }
  records_.insert_or_assign(change.path(), record.value());
}

void RecordStore::Erase(const std::string& path) {
  changes_.erase(path);
  const auto found = records_.find(path);
  if (found == records_.end()) return;
  if (const auto* const key = std::get_if<KeyRecord>(&found->second)) {
    path_of_digest_.erase(key->digest);
  }
  records_.erase(found);
}

void RecordStore::AppendToLog(const wire::RecordChange& change) {
  log_.push_back(change);
  if (log_.size() <= kMaxLogSize) return;
  log_base_ = log_.front().revision();
  log_.pop_front();
}

wire::RecordUpdate RecordStore::UpdateSince(Revision revision, Time now) const {
  const auto since = static_cast<uint64_t>(revision);
  wire::RecordUpdate update;
  update.set_revision(revision_);
  update.set_confirmed_ago_ms(static_cast<uint32_t>(ConfirmedAgo(now).count()));
  if (since >= log_base_ && since > 0) {
    update.set_base(since);
    for (const wire::RecordChange& change : log_) {
      if (change.revision() > since) *update.add_changes() = change;
    }
    return update;
  }
  for (const auto& [path, change] : changes_) *update.add_changes() = change;
  return update;
}

Milliseconds RecordStore::ConfirmedAgo(Time now) const {
  if (!confirmed_at_) return kNeverConfirmed;
  return std::min(std::max(now - *confirmed_at_, Milliseconds(0)),
                  kNeverConfirmed);
}

const TeamRecord* RecordStore::Team(const TeamId& name) const {
  const auto found = records_.find("team/" + name.text());
  return found == records_.end() ? nullptr
                                 : std::get_if<TeamRecord>(&found->second);
}

const QueueRecord* RecordStore::Queue(const QueueId& name) const {
  const auto found = records_.find("queue/" + name.text());
  return found == records_.end() ? nullptr
                                 : std::get_if<QueueRecord>(&found->second);
}

const KeyRecord* RecordStore::KeyByDigest(const std::string& digest) const {
  const auto path = path_of_digest_.find(digest);
  if (path == path_of_digest_.end()) return nullptr;
  const auto found = records_.find(path->second);
  return found == records_.end() ? nullptr
                                 : std::get_if<KeyRecord>(&found->second);
}

std::vector<const TeamRecord*> RecordStore::Teams() const {
  std::vector<const TeamRecord*> teams;
  for (const auto& [path, record] : records_) {
    if (const auto* const team = std::get_if<TeamRecord>(&record)) {
      teams.push_back(team);
    }
  }
  return teams;
}

}  // namespace quetzal
