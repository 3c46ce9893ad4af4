// Parses operators' records: teams, keys and queues, of all schema versions.
//
//   const Checked<Record> record = ParseRecord(text);
//   if (record) {
//     std::visit([](const auto& each) { Use(each); }, record.value());
//   }
//
// Versions v1 and v2 of a kind are parsed into the same type, so that a change
// of schema can roll out record by record.
#ifndef QUETZAL_RECORD_RECORD_H_
#define QUETZAL_RECORD_RECORD_H_

#include <string>
#include <variant>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

// A team's share of a full fleet, and its upper limit in the whole fleet.
struct TeamRecord {
  TeamId name;
  int64_t share = 1;
  Resources limit;
};

// A key issued to a team, of which only a digest is stored. Withdrawing the
// record revokes the key.
struct KeyRecord {
  std::string name;
  TeamId team;
  std::string digest;  // "sha256:" and 64 hexadecimal digits
};

// What an entry does with work that a key authorizes while its failure domain
// is partitioned from the platform: the key may have been revoked unseen.
enum class PartitionPolicy { kServe, kRefuse };

// A queue that work is submitted to. The work is charged to `team`; other teams
// may submit only if `open`.
struct QueueRecord {
  QueueId name;
  TeamId team;
  bool open = false;
  PartitionPolicy when_cut = PartitionPolicy::kRefuse;
  int64_t depth = 0;  // max pieces of work waiting in one failure domain
};

using Record = std::variant<TeamRecord, KeyRecord, QueueRecord>;

// Parses one record of any known kind and version.
Checked<Record> ParseRecord(const std::string& text);
// "kind/name", the record's path under the platform's record prefix.
std::string RecordPath(const Record& record);
// The digest that is stored for a key.
std::string KeyDigest(const std::string& key);

}  // namespace quetzal

#endif  // QUETZAL_RECORD_RECORD_H_
