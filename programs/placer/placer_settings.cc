#include "programs/placer/placer_settings.h"

#include <algorithm>

#include "quetzal/program/program.h"

namespace quetzal {
namespace {

constexpr Milliseconds kPlatformTimeout{1'000};

ContractTimes ReadContract(ObjectReader reader) {
  ContractTimes times;
  times.ttl = Milliseconds(
      reader.Integer("ttl_ms", {.least = 200, .fallback = times.ttl.count()}));
  times.renew_every = Milliseconds(reader.Integer(
      "renew_every_ms", {.least = 50, .fallback = times.renew_every.count()}));
  times.task_lease = Milliseconds(reader.Integer(
      "task_lease_ms", {.least = 500, .fallback = times.task_lease.count()}));
  if (times.renew_every * 2 > times.ttl) {
    reader.Report("renew_every_ms", "too long for ttl_ms",
                  "at most half of ttl_ms");
  }
  if (times.ttl > times.task_lease) {
    reader.Report("task_lease_ms", "shorter than ttl_ms", "at least ttl_ms");
  }
  reader.Finish();
  return times;
}

SeatTimes ReadSeat(ObjectReader reader) {
  SeatTimes times;
  times.lease = Milliseconds(reader.Integer(
      "lease_ms", {.least = 200, .fallback = times.lease.count()}));
  times.renew_every = Milliseconds(reader.Integer(
      "renew_every_ms", {.least = 50, .fallback = times.renew_every.count()}));
  times.fallback_after = Milliseconds(
      reader.Integer("fallback_after_ms",
                     {.least = 200, .fallback = times.fallback_after.count()}));
  if (times.renew_every * 2 > times.lease) {
    reader.Report("renew_every_ms", "too long for lease_ms",
                  "at most half of lease_ms");
  }
  reader.Finish();
  return times;
}

}  // namespace

PlacerProgramSettings ReadPlacerProgramSettings(const nlohmann::json& json,
                                                Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  PlacerProgramSettings settings;
  settings.vm = ReadEntryVmSettings(&reader, kPlatformTimeout);
  settings.listen_address = reader.Text("listen_address");
  settings.placer.self = PlacerId(NameOfThisStart(settings.vm.name));
  settings.placer.domain = settings.vm.domain;
  for (ObjectReader& each : reader.Objects("failure_domains")) {
    settings.placer.domains.emplace_back(each.Text("name"));
    each.Finish();
  }
  settings.placer.contract = ReadContract(reader.Object("contract"));
  settings.placer.seat = ReadSeat(reader.Object("seat"));
  settings.placer.gang_patience =
      Milliseconds(reader.Integer("gang_patience_ms", {.fallback = 1'000}));
  settings.placer.urgent_patience =
      Milliseconds(reader.Integer("urgent_patience_ms", {.fallback = 500}));
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
  reader.Finish();
  return settings;
}

}  // namespace quetzal
