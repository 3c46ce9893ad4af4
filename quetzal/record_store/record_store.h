// The operators' records in force in this process.
//
// Changes are applied strictly by the platform's revision and never below the
// highest revision seen, whether they come from the platform's watch or, while
// that is out, from another process:
//
//   RecordStore store;
//   if (store.Apply(update, now)) ...            // from the watch or a peer
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

// What became of an update.
enum class ApplyResult {
  kApplied,    // the store moved to a higher revision
  kConfirmed,  // nothing new; the revision held is the sender's too
  kGap,        // changes are missing before it; ask for everything
  kBehind,     // older than what is held; ignored
};

struct RecordStoreSettings {
  // Off only in proofs that show a check fail without it.
  bool checks_revisions = true;
};

class RecordStore {
 public:
  explicit RecordStore(RecordStoreSettings settings = {})
      : settings_(settings) {}
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Applies changes in order of revision. A record that can't be read is kept
  // out of force and counted, and the earlier form of it stays in force.
  ApplyResult Apply(const wire::RecordUpdate& update, Time now);

  // What a process that is complete up to `revision` lacks: the changes since,
  // or everything (base 0) once those are no longer kept.
  wire::RecordUpdate UpdateSince(Revision revision, Time now) const;

  // Complete up to this revision; 0 before the first update.
  Revision revision() const { return Revision{revision_}; }
  bool ready() const { return revision_ > 0; }
  // When the platform last confirmed that `revision()` is its newest, by this
  // process's clock.
  std::optional<Time> confirmed_at() const { return confirmed_at_; }
  Milliseconds ConfirmedAgo(Time now) const;
  // Records whose text could not be read when it arrived.
  uint64_t unreadable() const { return unreadable_; }

  const TeamRecord* Team(const TeamId& name) const;
  const QueueRecord* Queue(const QueueId& name) const;
  // The key granted under this digest; null if none or revoked.
  const KeyRecord* KeyByDigest(const std::string& digest) const;
  std::vector<const TeamRecord*> Teams() const;

 private:
  bool IsOlder(uint64_t revision, uint64_t held) const;
  void ApplyChange(const wire::RecordChange& change);
  void Erase(const std::string& path);
  void Remember(const wire::RecordChange& change);
  void Confirm(Time at);

  RecordStoreSettings settings_;
  uint64_t revision_ = 0;
  // Complete changes are kept from just after this revision.
  uint64_t log_base_ = 0;
  std::deque<wire::RecordChange> log_;
  std::optional<Time> confirmed_at_;
  uint64_t unreadable_ = 0;
  std::map<std::string, wire::RecordChange> texts_;
  std::map<std::string, Record> records_;
  std::unordered_map<std::string, std::string> path_of_digest_;
};

}  // namespace quetzal

#endif  // QUETZAL_RECORD_STORE_RECORD_STORE_H_
