// The settings file that quetzal-cell-placer and quetzal-job-entry share.
//
//   Problems problems;
//   const auto settings = ReadCellProgramSettings(json, &problems);
//
// docs/CONFIGURATION.md lists every field.
#ifndef PROGRAMS_CELL_SETTINGS_CELL_SETTINGS_H_
#define PROGRAMS_CELL_SETTINGS_CELL_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "quetzal/cell/cell.h"
#include "quetzal/ids/ids.h"
#include "quetzal/job_intake/job_intake.h"
#include "quetzal/settings/settings.h"
#include "quetzal/store/store.h"

namespace quetzal {

// The record of an ended job, or the tombstone of a cancelled one, keeps writes
// of earlier submissions of its id from being carried out after it.
inline constexpr Milliseconds kMinRecordRetention =
    kMaxSubmissionTime + kMaxCallDelay;

struct CellProgramSettings {
  std::string machine;
  std::string ip;
  std::string store_address;
  std::string advice_address;
  std::string callers_address;
  std::string readiness_address;
  int first_internal_port = 0;
  double processor_share = 1;
  int64_t file_descriptors = 0;        // limit of each process of the machine
  Milliseconds shutdown_grace{6'000};  // from SIGTERM to SIGKILL
  // In which a confirmed configuration must be in force.
  Milliseconds configuration_apply_bound{3'000};
  CellSettings cell;
  int64_t log_lines_per_second = 0;

  // The machine's internal services, on successive ports from
  // `first_internal_port`.
  std::string entry_metrics_address() const;
  std::string helper_address() const;
  std::string placer_metrics_address() const;
};

CellProgramSettings ReadCellProgramSettings(const nlohmann::json& json,
                                            Problems* problems);

}  // namespace quetzal

#endif  // PROGRAMS_CELL_SETTINGS_CELL_SETTINGS_H_
