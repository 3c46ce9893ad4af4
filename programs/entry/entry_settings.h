// The settings file of quetzal-entry; docs/CONFIGURATION.md lists its fields.
//
//   Problems problems;
//   const auto settings = ReadEntryProgramSettings(json, &problems);
#ifndef PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzal/entry_core/entry_core.h"
#include "quetzal/entry_vm/entry_vm.h"
#include "quetzal/http/http.h"
#include "quetzal/ids/ids.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

struct PlacerAddress {
  PlacerId name;
  std::string address;
};

struct EntryProgramSettings {
  EntryVmSettings vm;
  HttpLimits http;
  std::vector<PlacerAddress> placers;  // in addition to those of the VM list
  // From /healthz turning unhealthy to new work being refused.
  Milliseconds drain_grace{0};
  EntrySettings entry;
};

// Adds every problem found to `problems`; if there is one, the result is
// invalid.
EntryProgramSettings ReadEntryProgramSettings(const nlohmann::json& json,
                                              Problems* problems);

}  // namespace quetzal

#endif  // PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
