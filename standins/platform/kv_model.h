// The platform's key-value service in memory, without sockets or clocks:
// compare-and-swap, leases, and a history for watches.
//
//   KvModel kv;
//   const KvAnswer answer = kv.Apply(call, now);
//   const std::optional<std::vector<KvChange>> changes = kv.Since("a/", 5);
//
// The stand-in process and the fault matrix run this same model.
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
  // Carries out one call; never answers `kNoAnswer`.
  KvAnswer Apply(const KvCall& call, Time now);
  // Removes keys whose lease has lapsed.
  void OnTick(Time now);
  // Changes under a prefix after a revision; nothing if that part of the
  // history was compacted.
  std::optional<std::vector<KvChange>> Since(const std::string& prefix,
                                             uint64_t revision) const;
  // Forgets the history up to now.
  void Compact();
  uint64_t revision() const { return revision_; }
  uint64_t calls() const { return calls_; }

 private:
  struct Value {
    KvItem item;
    Milliseconds lease{0};
    Time lease_until;
  };

  KvAnswer Put(const KvCall& call, Time now);
  KvAnswer Delete(const KvCall& call);
  KvAnswer KeepAlive(const KvCall& call, Time now);
  bool Conflicts(const KvCall& call) const;
  uint64_t RevisionOf(const std::string& key) const;
  void Record(const KvItem& item, bool deleted);

  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;
  uint64_t calls_ = 0;
  std::map<std::string, Value> values_;
  std::deque<KvChange> history_;
};

}  // namespace quetzal::standin

#endif  // STANDINS_PLATFORM_KV_MODEL_H_
