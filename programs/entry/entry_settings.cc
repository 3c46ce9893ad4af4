#include "programs/entry/entry_settings.h"

#include "quetzal/program/program.h"

namespace quetzal {
namespace {

constexpr Milliseconds kPlatformTimeout{1'500};
// Covers two waits of a watch: with less, records would count as stale in
// normal operation.
constexpr int64_t kMinFreshnessMs = 9'000;

}  // namespace

EntryProgramSettings ReadEntryProgramSettings(const nlohmann::json& json,
                                              Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  EntryProgramSettings settings;
  settings.vm = ReadEntryVmSettings(&reader, kPlatformTimeout);
  settings.drain_grace = Milliseconds(
      reader.Integer("drain_grace_ms", {.min = 0, .default_value = 3'000}));
  settings.http.max_body_bytes = static_cast<size_t>(reader.Integer(
      "most_body_bytes",
      {.min = 1024, .max = 16 * 1024 * 1024, .default_value = 256 * 1024}));
  settings.http.read_timeout = Milliseconds(
      reader.Integer("read_time_ms", {.min = 100, .default_value = 30'000}));
  settings.entry.self = EntryId(UniqueProcessName(settings.vm.name));
  settings.entry.freshness = Milliseconds(reader.Integer(
      "freshness_ms", {.min = kMinFreshnessMs, .default_value = 12'000}));
  settings.entry.max_pending = static_cast<size_t>(
      reader.Integer("most_pending", {.min = 1, .default_value = 20'000}));
  for (ObjectReader& each : reader.Objects("placers")) {
    settings.placers.push_back(
        {PlacerId(each.Text("name")), each.Text("address")});
    each.ReportUnknownFields();
  }
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace quetzal
