// The platform's key-value service in memory, without sockets or clocks:
// compare-and-swap, leases, and a history for watches.
//
//   KvModel kv;
//   const KvAnswer answer = kv.Apply(call, now);
//   const std::optional<std::vector<KvChange>> changes = kv.Since("a/", 5);
//
// The stand-in process and the fault matrix use the same model.
#ifndef STANDINS_PLATFORM_KV_MODEL_H_
#define STANDINS_PLATFORM_KV_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"

namespace quetzal::standin {

class KvModel {
 public:
  // Executes one call; never answers `kNoAnswer`.
  KvAnswer Apply(const KvCall& call, Time now);
  // Removes keys whose lease has expired.
  void OnTick(Time now);
  // Returns the changes under a prefix after a revision, or nullopt if that
  // part of the history has been compacted.
  std::optional<std::vector<KvChange>> Since(const std::string& prefix,
                                             uint64_t revision) const;
  // Discards the history up to the current revision.
  void Compact();
  uint64_t revision() const { return revision_; }
  uint64_t calls() const { return calls_; }

 private:
  struct Value {
    KvItem item;
    Milliseconds lease_ttl{0};  // 0: no lease
    Time lease_expires_at;
  };

  KvAnswer Put(const KvCall& call, Time now);
  KvAnswer Delete(const KvCall& call);
  KvAnswer KeepAlive(const KvCall& call, Time now);
  bool Conflicts(const KvCall& call) const;
  uint64_t KeyRevision(const std::string& key) const;
  void AppendToHistory(const KvItem& item, bool deleted);

  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;
  uint64_t calls_ = 0;
  std::map<std::string, Value> values_;
  std::deque<KvChange> history_;
};

}  // namespace quetzal::standin

#endif  // STANDINS_PLATFORM_KV_MODEL_H_
