#include "programs/cell_settings/cell_settings.h"

#include <glib.h>

#include <algorithm>

namespace quetzal {
namespace {

constexpr int kEntryMetricsPort = 0;
constexpr int kHelperPort = 1;
constexpr int kPlacerMetricsPort = 2;
constexpr int64_t kMaxPort = 65'535;

std::string AddressOf(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

// Reads a decimal number that the platform writes as text; `unit` only appears
// in the reported problem. Reports a problem and returns 1 unless the number is
// above 0.
double ReadDecimal(
    ObjectReader* reader, const char* field, const char* unit,
    const std::optional<std::string>& default_value = std::nullopt) {
  const std::string text = reader->Text(field, default_value);
  gchar* end = nullptr;
  const double number = g_ascii_strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number > 0)) {
    reader->Report(
        field, "'" + text + "'",
        std::string(unit) + " as a decimal number above 0, in quotes");
    return 1;
  }
  return number;
}

Milliseconds ReadSeconds(ObjectReader* reader, const char* field) {
  constexpr double kMillisecondsInSecond = 1'000;
  return Milliseconds(static_cast<int64_t>(
      ReadDecimal(reader, field, "seconds") * kMillisecondsInSecond));
}

Milliseconds ReadMilliseconds(ObjectReader* reader, const char* field) {
  return Milliseconds(reader->Integer(field, {.min = 1}));
}

}  // namespace

std::string CellProgramSettings::entry_metrics_address() const {
  return AddressOf(ip, first_internal_port + kEntryMetricsPort);
}

std::string CellProgramSettings::helper_address() const {
  return AddressOf(ip, first_internal_port + kHelperPort);
}

std::string CellProgramSettings::placer_metrics_address() const {
  return AddressOf(ip, first_internal_port + kPlacerMetricsPort);
}

CellProgramSettings ReadCellProgramSettings(const nlohmann::json& json,
                                            Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  CellProgramSettings settings;
  settings.machine = reader.Text("machine");
  settings.ip = reader.Text("ip");
  settings.store_address = reader.Text("store_address");
  settings.advice_address = reader.Text("advice_address", "");
  settings.callers_address = reader.Text("callers_address", "");
  settings.readiness_address = reader.Text("readiness_address", "");
  settings.first_internal_port = static_cast<int>(
      reader.Integer("first_internal_port", {.min = 1, .max = kMaxPort}));
  settings.processor_share =
      ReadDecimal(&reader, "processor_share", "cores", "1");
  settings.file_descriptors =
      reader.Integer("file_descriptors", {.min = 64, .default_value = 1'024});
  settings.shutdown_grace = ReadSeconds(&reader, "grace_s");
  settings.configuration_apply_bound = Milliseconds(reader.Integer(
      "configuration_apply_ms", {.min = 1'000, .default_value = 3'000}));
  settings.cell.max_lease = ReadMilliseconds(&reader, "most_lease_ms");
  // Settings of earlier versions may hold it; it has no effect.
  reader.Integer("worker_beat_ms", {.min = 1, .default_value = 1'500});
  settings.cell.finished_job_retention =
      std::max(ReadSeconds(&reader, "keep_finished_s"), kMinRecordRetention);
  settings.log_lines_per_second =
      reader.Integer("log_lines_per_second", {.min = 1, .default_value = 100});
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace quetzal
