// The settings file of quetzal-placer; docs/CONFIGURATION.md lists its fields.
//
//   Problems problems;
//   const auto settings = ReadPlacerProgramSettings(json, &problems);
#ifndef PROGRAMS_PLACER_PLACER_SETTINGS_H_
#define PROGRAMS_PLACER_PLACER_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "quetzal/entry_vm/entry_vm.h"
#include "quetzal/placer/placer.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

struct PlacerProgramSettings {
  EntryVmSettings vm;
  std::string listen_address;  // for entries
  PlacerSettings placer;
};

// Adds every problem found to `problems`; if there is one, the result is
// invalid.
PlacerProgramSettings ReadPlacerProgramSettings(const nlohmann::json& json,
                                                Problems* problems);

}  // namespace quetzal

#endif  // PROGRAMS_PLACER_PLACER_SETTINGS_H_
