#include "programs/placer/placer_settings.h"

#include <algorithm>

#include "quetzal/program/program.h"

namespace quetzal {
namespace {

constexpr Milliseconds kPlatformTimeout{1'000};

ContractTimes ReadContract(ObjectReader reader) {
  ContractTimes times;
  times.ttl = Milliseconds(reader.Integer(
      "ttl_ms", {.min = 200, .default_value = times.ttl.count()}));
  times.renewal_interval = Milliseconds(reader.Integer(
      "renew_every_ms",
      {.min = 50, .default_value = times.renewal_interval.count()}));
  times.task_lease = Milliseconds(
      reader.Integer("task_lease_ms",
                     {.min = 500, .default_value = times.task_lease.count()}));
  if (times.renewal_interval * 2 > times.ttl) {
    reader.Report("renew_every_ms", "too long for ttl_ms",
                  "at most half of ttl_ms");
  }
  if (times.ttl > times.task_lease) {
    reader.Report("task_lease_ms", "shorter than ttl_ms", "at least ttl_ms");
  }
  reader.ReportUnknownFields();
  return times;
}

ElectionTiming ReadElection(ObjectReader reader) {
  ElectionTiming timing;
  timing.lease = Milliseconds(reader.Integer(
      "lease_ms", {.min = 200, .default_value = timing.lease.count()}));
  timing.renewal_interval = Milliseconds(reader.Integer(
      "renew_every_ms",
      {.min = 50, .default_value = timing.renewal_interval.count()}));
  timing.fallback_after = Milliseconds(reader.Integer(
      "fallback_after_ms",
      {.min = 200, .default_value = timing.fallback_after.count()}));
  if (timing.renewal_interval * 2 > timing.lease) {
    reader.Report("renew_every_ms", "too long for lease_ms",
                  "at most half of lease_ms");
  }
  reader.ReportUnknownFields();
  return timing;
}

}  // namespace

PlacerProgramSettings ReadPlacerProgramSettings(const nlohmann::json& json,
                                                Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  PlacerProgramSettings settings;
  settings.vm = ReadEntryVmSettings(&reader, kPlatformTimeout);
  settings.listen_address = reader.Text("listen_address");
  settings.placer.self = PlacerId(UniqueProcessName(settings.vm.name));
  settings.placer.domain = settings.vm.domain;
  for (ObjectReader& each : reader.Objects("failure_domains")) {
    settings.placer.domains.emplace_back(each.Text("name"));
    each.ReportUnknownFields();
  }
  settings.placer.contract = ReadContract(reader.Object("contract"));
  settings.placer.election = ReadElection(reader.Object("seat"));
  settings.placer.gang_reservation_delay = Milliseconds(
      reader.Integer("gang_patience_ms", {.default_value = 1'000}));
  settings.placer.preemption_delay = Milliseconds(
      reader.Integer("urgent_patience_ms", {.default_value = 500}));
  const std::string division =
      reader.Choice("limit_division", {"demand", "static"}, "demand");
  settings.placer.division =
      division == "static" ? DivisionPolicy::kStatic : DivisionPolicy::kDemand;
  const auto& domains = settings.placer.domains;
  if (std::find(domains.begin(), domains.end(), settings.placer.domain) ==
      domains.end()) {
    reader.Report("failure_domains", "this failure domain is not in the list",
                  "every failure domain of the fleet, this one included");
  }
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace quetzal
