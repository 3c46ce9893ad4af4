#include "quetzal/program/program.h"

#include <glib-unix.h>
#include <glib.h>
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <random>
#include <utility>

#include "quetzal/program/internal/timer_queue.h"
#include "quetzal/turn_profile/turn_profile.h"

namespace quetzal {
namespace {

constexpr char kVersion[] = "0.1.0";

struct Loop {
  GMainLoop* loop = nullptr;
  int exit_code = kExitDone;
};

Loop& GlobalLoop() {
  static Loop loop;
  return loop;
}

// Observes the turns of the main loop, which calls `Poll` between them.
class TurnObserver {
 public:
  static TurnObserver& Instance() {
    static auto* const observer = new TurnObserver;
    return *observer;
  }

  void Report(Milliseconds threshold, std::function<void()> handler) {
    threshold_ = threshold;
    handler_ = std::move(handler);
    TurnProfile::Instance().BeginTurn();
    g_main_context_set_poll_func(nullptr, &Poll);
  }

 private:
  static gint Poll(GPollFD* descriptors, guint count, gint timeout_ms) {
    TurnProfile& profile = TurnProfile::Instance();
    const TurnObserver& observer = Instance();
    if (profile.TurnDuration() >= observer.threshold_) observer.handler_();
    const gint ready = g_poll(descriptors, count, timeout_ms);
    profile.BeginTurn();
    return ready;
  }

  Milliseconds threshold_{0};
  std::function<void()> handler_;
};

gboolean RunPeriodic(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

void DeleteFunction(gpointer data) {
  delete static_cast<std::function<void()>*>(data);
}

gboolean OnShutdownSignal(gpointer data) {
  static_cast<Service*>(data)->BeginShutdown();
  return G_SOURCE_CONTINUE;
}

struct ReloadContext {
  const ProgramDescription* description;
  std::string file;
  Service* service;
};

gboolean OnReloadSignal(gpointer data) {
  const auto& context = *static_cast<ReloadContext*>(data);
  Problems problems;
  const std::string text = ReadFile(context.file, &problems);
  nlohmann::json json = nlohmann::json::object();
  if (problems.empty()) json = ParseObject(text, "settings", &problems);
  if (problems.empty()) context.description->start(json, true, &problems);
  if (problems.empty()) {
    context.service->OnSettingsReloaded(json);
  } else {
    LOG(ERROR) << "the new settings are not used: " << Describe(problems);
  }
  return G_SOURCE_CONTINUE;
}

// Ends the process without destroying static data, which gRPC's threads may
// still use while they close calls.
[[noreturn]] void EndProcess(int exit_code) {
  google::FlushLogFiles(google::INFO);
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}

int RunService(const ProgramDescription& description, const std::string& file,
               const nlohmann::json& json) {
  Problems problems;
  GlobalLoop().loop = g_main_loop_new(nullptr, FALSE);
  std::unique_ptr<Service> service = description.start(json, false, &problems);
  if (!service) {
    std::cerr << Describe(problems);
    return kExitFailed;
  }
  g_unix_signal_add(SIGTERM, &OnShutdownSignal, service.get());
  g_unix_signal_add(SIGINT, &OnShutdownSignal, service.get());
  ReloadContext context{&description, file, service.get()};
  g_unix_signal_add(SIGHUP, &OnReloadSignal, &context);
  g_main_loop_run(GlobalLoop().loop);
  service.reset();
  EndProcess(GlobalLoop().exit_code);
}

}  // namespace

Time Now() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::steady_clock::now());
}

Time NowWithSuspensions() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Milliseconds>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

void RunEvery(Milliseconds period, std::function<void()> function) {
  auto* const owned = new std::function<void()>(std::move(function));
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(period.count()),
                     &RunPeriodic, owned, &DeleteFunction);
}

void RunAfter(Milliseconds delay, std::function<void()> function) {
  program_internal::TimerQueue::Instance().Add(Now() + delay,
                                               std::move(function));
}

void OnSlowTurn(Milliseconds threshold, std::function<void()> handler) {
  TurnObserver::Instance().Report(threshold, std::move(handler));
}

std::string UniqueProcessName(const std::string& name) {
  std::random_device random;
  std::uniform_int_distribution<uint32_t> digits(0, 0xffffffU);
  return name + "@" + std::to_string(digits(random));
}

void Quit(int exit_code) {
  GlobalLoop().exit_code = exit_code;
  g_main_loop_quit(GlobalLoop().loop);
}

int RunProgram(const ProgramDescription& description, int argc, char** argv) {
  std::string file;
  bool only_check = false;
  try {
    TCLAP::CmdLine line(description.purpose, ' ', kVersion);
    const char* const default_file =
        description.settings_variable.empty()
            ? nullptr
            : std::getenv(description.settings_variable.c_str());
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "JSON settings file", default_file == nullptr,
        default_file == nullptr ? "" : default_file, "FILE", line);
    TCLAP::SwitchArg check("", "check-settings",
                           "only check the settings, then exit", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    file = settings.getValue();
    only_check = check.getValue();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << description.name << ": " << error.error() << " "
              << error.argId() << "; see --help\n";
    return kExitUsage;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  google::InstallFailureSignalHandler();
  Problems problems;
  const std::string text = ReadFile(file, &problems);
  nlohmann::json json = nlohmann::json::object();
  if (problems.empty()) json = ParseObject(text, "settings", &problems);
  if (problems.empty()) description.start(json, true, &problems);
  if (!problems.empty()) {
    std::cerr << Describe(problems);
    return kExitUsage;
  }
  if (only_check) {
    std::cout << "settings are valid\n";
    return kExitDone;
  }
  return RunService(description, file, json);
}

}  // namespace quetzal
