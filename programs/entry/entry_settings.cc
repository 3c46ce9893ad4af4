#include "programs/entry/entry_settings.h"

#include "quetzal/program/program.h"

namespace quetzal {
namespace {

constexpr Milliseconds kPlatformTimeout{1'500};
// Two waits of the watch: less would call records stale in ordinary times.
constexpr int64_t kLeastFreshnessMs = 9'000;

}  // namespace

EntryProgramSettings ReadEntryProgramSettings(const nlohmann::json& json,
                                              Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  EntryProgramSettings settings;
  settings.vm = ReadEntryVmSettings(&reader, kPlatformTimeout);
  settings.drain_grace = Milliseconds(
      reader.Integer("drain_grace_ms", {.least = 0, .fallback = 3'000}));
  settings.http.body_bytes = static_cast<size_t>(reader.Integer(
      "most_body_bytes",
      {.least = 1024, .most = 16 * 1024 * 1024, .fallback = 256 * 1024}));
  settings.http.read_time = Milliseconds(
      reader.Integer("read_time_ms", {.least = 100, .fallback = 30'000}));
  settings.entry.self = EntryId(NameOfThisStart(settings.vm.name));
  settings.entry.freshness = Milliseconds(reader.Integer(
      "freshness_ms", {.least = kLeastFreshnessMs, .fallback = 12'000}));
  settings.entry.most_pending = static_cast<size_t>(
      reader.Integer("most_pending", {.least = 1, .fallback = 20'000}));
  for (ObjectReader& each : reader.Objects("placers")) {
    settings.placers.push_back(
        {PlacerId(each.Text("name")), each.Text("address")});
    each.Finish();
  }
  reader.Finish();
  return settings;
}

}  // namespace quetzal
