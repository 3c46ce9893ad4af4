// The operators' records in force in this process.
//
// Changes are applied strictly in order of the platform's revision, and none
// older than the highest revision held, whether they come from the platform's
// watch or, while the platform can't be reached, from another process:
//
//   RecordStore store;
//   // from the watch or a peer
//   if (store.Apply(update, now) == ApplyResult::kGap) request_all_records();
//   send(store.UpdateSince(peer_revision, now));  // what a peer is missing
#ifndef QUETZAL_RECORD_STORE_RECORD_STORE_H_
#define QUETZAL_RECORD_STORE_RECORD_STORE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/proto/wire.pb.h"
#include "quetzal/record/record.h"

namespace quetzal {

// Result of applying an update.
enum class ApplyResult {
  kApplied,    // the store moved to a higher revision
  kConfirmed,  // no change; the sender holds the same revision
  kGap,        // earlier changes are missing; request all records
  kBehind,     // older than the revision held; ignored
};

struct RecordStoreSettings {
  // Off only in tests that show that a check fails without it.
  bool checks_revisions = true;
};

class RecordStore {
 public:
  explicit RecordStore(RecordStoreSettings settings = {})
      : settings_(settings) {}
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Applies the update's changes, skipping those older than what is held. A
  // record that can't be parsed is counted and doesn't take effect; its earlier
  // version stays in force.
  ApplyResult Apply(const wire::RecordUpdate& update, Time now);

  // The update for a process that is complete up to `revision`: the changes
  // since, or all records (base 0) if those changes are no longer kept.
  wire::RecordUpdate UpdateSince(Revision revision, Time now) const;

  // Complete up to this revision; 0 before the first update.
  Revision revision() const { return Revision{revision_}; }
  bool ready() const { return revision_ > 0; }
  // When the platform last confirmed that `revision()` is its newest, by this
  // process's clock.
  std::optional<Time> confirmed_at() const { return confirmed_at_; }
  Milliseconds ConfirmedAgo(Time now) const;
  // Number of received records that couldn't be parsed.
  uint64_t unreadable() const { return unreadable_; }

  const TeamRecord* Team(const TeamId& name) const;
  const QueueRecord* Queue(const QueueId& name) const;
  // The key with this digest; null if none was issued or it was revoked.
  const KeyRecord* KeyByDigest(const std::string& digest) const;
  std::vector<const TeamRecord*> Teams() const;

 private:
  bool IsOlder(uint64_t revision, uint64_t held) const;
  void ApplyChange(const wire::RecordChange& change);
  void Erase(const std::string& path);
  void AppendToLog(const wire::RecordChange& change);
  void Confirm(Time at);

  RecordStoreSettings settings_;
  uint64_t revision_ = 0;
  // `log_` holds all changes after this revision.
  uint64_t log_base_ = 0;
  std::deque<wire::RecordChange> log_;
  std::optional<Time> confirmed_at_;
  uint64_t unreadable_ = 0;
  std::map<std::string, wire::RecordChange> changes_;
  std::map<std::string, Record> records_;
  std::unordered_map<std::string, std::string> path_of_digest_;
};

}  // namespace quetzal

#endif  // QUETZAL_RECORD_STORE_RECORD_STORE_H_
