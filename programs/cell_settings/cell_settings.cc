#include "programs/cell_settings/cell_settings.h"

#include <glib.h>

namespace quetzal {
namespace {

constexpr int kEntryMetricsPort = 0;
constexpr int kHelperPort = 1;
constexpr int kPlacerMetricsPort = 2;
constexpr int64_t kMostPort = 65'535;

std::string AddressOf(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

// A decimal number as text, as the platform writes it.
double ReadShare(ObjectReader* reader) {
  const std::string text = reader->Text("processor_share", "1");
  gchar* end = nullptr;
  const double share = g_ascii_strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(share > 0)) {
    reader->Report("processor_share", "'" + text + "'",
                   "cores as a decimal number above 0, in quotes");
    return 1;
  }
  return share;
}

Milliseconds Duration(ObjectReader* reader, const char* field) {
  return Milliseconds(reader->Integer(field, {.least = 1}));
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
      reader.Integer("first_internal_port", {.least = 1, .most = kMostPort}));
  settings.processor_share = ReadShare(&reader);
  settings.grace = Duration(&reader, "grace_ms");
  settings.cell.most_lease = Duration(&reader, "most_lease_ms");
  settings.cell.gang_timeout = Duration(&reader, "gang_timeout_ms");
  settings.cell.stop_timeout = Duration(&reader, "stop_timeout_ms");
  settings.cell.keep_finished = Duration(&reader, "keep_finished_ms");
  settings.log_lines_per_second =
      reader.Integer("log_lines_per_second", {.least = 1, .fallback = 100});
  reader.Finish();
  return settings;
}

}  // namespace quetzal
