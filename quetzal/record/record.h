// Operators' records in memory: teams, keys and queues, whichever schema
// version they were written in.
//
//   const Checked<Record> record = ParseRecord(text);
//   if (record) std::visit(Visitor{...}, record.value());
//
// Versions v1 and v2 of a kind are read side by side into the same form, so a
// change of schema can roll out record by record.
#ifndef QUETZAL_RECORD_RECORD_H_
#define QUETZAL_RECORD_RECORD_H_

#include <string>
#include <variant>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

// A team's weight when the fleet is full and its upper limit fleet-wide.
struct TeamRecord {
  TeamId name;
  int64_t share = 1;
  Resources limit;
};

// A granted key, kept as a digest only. Withdrawing the record revokes it.
struct KeyRecord {
  std::string name;
  TeamId team;
  std::string digest;  // "sha256:" and 64 hexadecimal digits
};

// What an entry does with keyed work while its failure domain is cut off from
// the platform, when the key may have been revoked unseen.
enum class PartitionPolicy { kServe, kRefuse };

// Where work is sent; charged to `team`, and closed to other teams unless open.
struct QueueRecord {
  QueueId name;
  TeamId team;
  bool open = false;
  PartitionPolicy when_cut = PartitionPolicy::kRefuse;
  int64_t depth = 0;  // most pieces of work waiting in one failure domain
};

using Record = std::variant<TeamRecord, KeyRecord, QueueRecord>;

// Reads one record of any known kind and version.
Checked<Record> ParseRecord(const std::string& text);
// "kind/name", the record's path under the platform's record prefix.
std::string RecordPath(const Record& record);
// Digest under which a key is stored.
std::string KeyDigest(const std::string& key);

}  // namespace quetzal

#endif  // QUETZAL_RECORD_RECORD_H_
