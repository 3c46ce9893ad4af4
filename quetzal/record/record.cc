#include "quetzal/record/record.h"

#include <glib.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace quetzal {
namespace {

constexpr int64_t kMaxShare = 1'000'000;
constexpr int64_t kDefaultDepth = 1'000;
constexpr int64_t kMaxDepth = 1'000'000;
constexpr size_t kMaxNameLength = 100;
constexpr size_t kDigestHexLength = 64;

bool IsNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

std::string ReadName(ObjectReader* reader, const std::string& field) {
  std::string name = reader->Text(field);
  const bool well_formed =
      name.size() <= kMaxNameLength &&
      std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!well_formed) {
    reader->Report(field, "not a name",
                   "at most 100 letters, digits, '-', '_' and '.'");
  }
  return name;
}

TeamRecord ReadTeam(ObjectReader* reader, bool first_version) {
  TeamRecord team;
  team.name = TeamId(ReadName(reader, "name"));
  team.share = reader->Integer(
      "share", {.min = 1, .max = kMaxShare, .default_value = 1});
  if (!first_version) {
    team.limit = reader->Amounts("limit");
    return team;
  }
  team.limit.cpu_milli = reader->Integer("limit_cpu_milli", {.min = 0});
  team.limit.memory_mib = reader->Integer("limit_memory_mib", {.min = 0});
  team.limit.accelerators =
      reader->Integer("limit_accelerators", {.default_value = 0});
  team.limit.slots = reader->Integer("limit_slots", {.default_value = 0});
  return team;
}

KeyRecord ReadKey(ObjectReader* reader) {
  KeyRecord key;
  key.name = ReadName(reader, "name");
  key.team = TeamId(ReadName(reader, "team"));
  key.digest = reader->Text("digest");
  const std::string prefix = "sha256:";
  const bool well_formed =
      key.digest.starts_with(prefix) &&
      key.digest.size() == prefix.size() + kDigestHexLength;
  if (!well_formed) {
    reader->Report("digest", "not a digest",
                   "'sha256:' and 64 hexadecimal digits, as printed by "
                   "'quetzalctl key'");
  }
  return key;
}

QueueRecord ReadQueue(ObjectReader* reader, bool first_version) {
  QueueRecord queue;
  queue.name = QueueId(ReadName(reader, "name"));
  queue.team = TeamId(ReadName(reader, "team"));
  queue.open = reader->Flag("open", false);
  queue.depth = reader->Integer(
      "depth", {.min = 1, .max = kMaxDepth, .default_value = kDefaultDepth});
  if (first_version) return queue;
  const std::string when_cut =
      reader->Choice("when_cut", {"serve", "refuse"}, "refuse");
  queue.when_cut =
      when_cut == "serve" ? PartitionPolicy::kServe : PartitionPolicy::kRefuse;
  return queue;
}

Record ReadKind(ObjectReader* reader, const std::string& kind,
                bool first_version) {
  if (kind == "team") return ReadTeam(reader, first_version);
  if (kind == "key") return ReadKey(reader);
  return ReadQueue(reader, first_version);
}

struct PathVisitor {
  std::string operator()(const TeamRecord& team) const {
    return "team/" + team.name.text();
  }
  std::string operator()(const KeyRecord& key) const {
    return "key/" + key.name;
  }
  std::string operator()(const QueueRecord& queue) const {
    return "queue/" + queue.name.text();
  }
};

}  // namespace

Checked<Record> ParseRecord(const std::string& text) {
  Problems problems;
  const nlohmann::json json = ParseObject(text, "record", &problems);
  if (!problems.empty()) return problems;
  ObjectReader reader(json, "record", &problems);
  const std::string schema = reader.Choice("schema", {"v1", "v2"});
  const std::string kind = reader.Choice("kind", {"team", "key", "queue"});
  if (!problems.empty()) return problems;
  Record record = ReadKind(&reader, kind, schema == "v1");
  // Set by quetzalctl to recognize its own write when the answer was lost.
  reader.Text("change_id", "");
  reader.ReportUnknownFields();
  if (!problems.empty()) return problems;
  return record;
}

std::string RecordPath(const Record& record) {
  return std::visit(PathVisitor(), record);
}

std::string KeyDigest(const std::string& key) {
  gchar* const digest = g_compute_checksum_for_string(
      G_CHECKSUM_SHA256, key.c_str(), static_cast<gssize>(key.size()));
  std::string text = std::string("sha256:") + digest;
  g_free(digest);
  return text;
}

}  // namespace quetzal
