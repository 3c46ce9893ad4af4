// The parts that all programs of the project share: command line, settings
// file, logs, main loop and signals.
//
//   int main(int argc, char** argv) {
//     return quetzal::RunProgram(
//         {.name = "quetzal-entry",
//          .purpose = "...",
//          .start = quetzal::StartWith<quetzal::EntryService>(
//              &quetzal::ReadEntryProgramSettings)},
//         argc, argv);
//   }
//
// Exit codes: 0 done, 1 failed while running, 2 wrong command line or settings.
#ifndef QUETZAL_PROGRAM_PROGRAM_H_
#define QUETZAL_PROGRAM_PROGRAM_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "quetzal/ids/ids.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

// The current time of the monotonic clock that all programs use.
Time Now();
// The time of a monotonic clock that goes on while the machine is suspended,
// for ages of what others may change meanwhile. Not comparable with `Now()`.
Time NowWithSuspensions();
// Calls `function` every `period` until the program ends.
void RunEvery(Milliseconds period, std::function<void()> function);
// Calls `function` once after a delay.
void RunAfter(Milliseconds delay, std::function<void()> function);
// Calls `handler` after each turn of the main loop, the time for which it runs
// callbacks without looking for new events, that lasted `threshold` or longer.
// `TurnProfile` tells what the turn was spent on. Replaces an earlier handler.
void OnSlowTurn(Milliseconds threshold, std::function<void()> handler);
// A name that in practice differs for each start of a process: "name@" and
// random digits.
std::string UniqueProcessName(const std::string& name);
// Ends the main loop; the program returns with this exit code.
void Quit(int exit_code);

// A running program, which owns its sockets and state.
class Service {
 public:
  virtual ~Service() = default;
  // Called on SIGTERM or SIGINT: finishes what is in progress, then calls
  // `Quit`.
  virtual void BeginShutdown() = 0;
  // Called on SIGHUP with the settings file's new content, if that is valid.
  virtual void OnSettingsReloaded(const nlohmann::json& /*json*/) {}
};

struct ProgramDescription {
  std::string name;
  std::string purpose;
  // Environment variable with the path of the settings file, used if the
  // command line gives none. If empty, the command line must give one.
  std::string settings_variable;
  // Reads the settings and, unless `only_check`, returns the started service.
  // Problems end the program before anything starts.
  std::function<std::unique_ptr<Service>(const nlohmann::json& json,
                                         bool only_check, Problems* problems)>
      start;
};

// Returns a `ProgramDescription::start` for a service that is constructed from
// the settings that `read` returns. The service's `Start()` returns false if it
// can't run.
template <typename StartedService, typename Settings>
auto StartWith(Settings (*read)(const nlohmann::json& json,
                                Problems* problems)) {
  return [read](const nlohmann::json& json, bool only_check,
                Problems* problems) -> std::unique_ptr<Service> {
    Settings settings = read(json, problems);
    if (only_check || !problems->empty()) return nullptr;
    auto service = std::make_unique<StartedService>(std::move(settings));
    if (!service->Start()) return nullptr;
    return service;
  };
}

// Parses the command line ("--settings FILE", "--check-settings", "--help",
// "--version"), starts the service and runs the main loop.
int RunProgram(const ProgramDescription& description, int argc, char** argv);

}  // namespace quetzal

#endif  // QUETZAL_PROGRAM_PROGRAM_H_
