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

// Every problem found is added to `problems`; the result is then of no use.
PlacerProgramSettings ReadPlacerProgramSettings(const nlohmann::json& json,
                                                Problems* problems);

}  // namespace quetzal

#endif  // PROGRAMS_PLACER_PLACER_SETTINGS_H_
