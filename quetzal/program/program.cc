#include "quetzal/program/program.h"

#include <glib-unix.h>
#include <glib.h>
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

#include "quetzal/program/internal/timer_queue.h"

namespace quetzal {
namespace {

constexpr char kVersion[] = "0.1.0";

struct Loop {
  GMainLoop* loop = nullptr;
  int exit_code = kExitDone;
};

Loop& TheLoop() {
  static Loop loop;
  return loop;
}

gboolean CallAndKeep(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

void Free(gpointer data) { delete static_cast<std::function<void()>*>(data); }

gboolean OnSignal(gpointer data) {
  static_cast<Service*>(data)->BeginShutdown();
  return G_SOURCE_CONTINUE;
}

struct Reloading {
  const ProgramDescription* facts;
  std::string file;
  Service* service;
};

gboolean OnHangUp(gpointer data) {
  const auto& reloading = *static_cast<Reloading*>(data);
  Problems problems;
  const std::string text = ReadFile(reloading.file, &problems);
  nlohmann::json json = nlohmann::json::object();
  if (problems.empty()) json = ParseObject(text, "settings", &problems);
  if (problems.empty()) reloading.facts->start(json, true, &problems);
  if (problems.empty()) {
    reloading.service->OnSettingsReloaded(json);
  } else {
    LOG(ERROR) << "the new settings are not used: " << Describe(problems);
  }
  return G_SOURCE_CONTINUE;
}

// gRPC's threads may still be closing calls. They must not meet libraries whose
// static data was destroyed, so the process ends without doing that.
[[noreturn]] void EndProcess(int exit_code) {
  google::FlushLogFiles(google::INFO);
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}

int RunService(const ProgramDescription& facts, const std::string& file,
               const nlohmann::json& json) {
  Problems problems;
  TheLoop().loop = g_main_loop_new(nullptr, FALSE);
  std::unique_ptr<Service> service = facts.start(json, false, &problems);
  if (!service) {
    std::cerr << Describe(problems);
    return kExitFailed;
  }
  g_unix_signal_add(SIGTERM, &OnSignal, service.get());
  g_unix_signal_add(SIGINT, &OnSignal, service.get());
  Reloading reloading{&facts, file, service.get()};
  g_unix_signal_add(SIGHUP, &OnHangUp, &reloading);
  g_main_loop_run(TheLoop().loop);
  service.reset();
  EndProcess(TheLoop().exit_code);
}

}  // namespace

Time Now() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::steady_clock::now());
}

void RunEvery(Milliseconds period, std::function<void()> function) {
  auto* const owned = new std::function<void()>(std::move(function));
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(period.count()),
                     &CallAndKeep, owned, &Free);
}

void RunAfter(Milliseconds delay, std::function<void()> function) {
  program_internal::TimerQueue::Instance().Add(Now() + delay,
                                               std::move(function));
}

std::string UniqueProcessName(const std::string& name) {
  std::random_device random;
  std::uniform_int_distribution<uint32_t> digits(0, 0xffffffU);
  return name + "@" + std::to_string(digits(random));
}

void Quit(int exit_code) {
  TheLoop().exit_code = exit_code;
  g_main_loop_quit(TheLoop().loop);
}

int RunProgram(const ProgramDescription& facts, int argc, char** argv) {
  std::string file;
  bool only_check = false;
  try {
    TCLAP::CmdLine line(facts.purpose, ' ', kVersion);
    const char* const named =
        facts.settings_variable.empty()
            ? nullptr
            : std::getenv(facts.settings_variable.c_str());
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "JSON settings file", named == nullptr,
        named == nullptr ? "" : named, "FILE", line);
    TCLAP::SwitchArg check("", "check-settings",
                           "only check the settings, then exit", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    file = settings.getValue();
    only_check = check.getValue();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << facts.name << ": " << error.error() << " " << error.argId()
              << "; see --help\n";
    return kExitUsage;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  google::InstallFailureSignalHandler();
  Problems problems;
  const std::string text = ReadFile(file, &problems);
  nlohmann::json json = nlohmann::json::object();
  if (problems.empty()) json = ParseObject(text, "settings", &problems);
  if (problems.empty()) facts.start(json, true, &problems);
  if (!problems.empty()) {
    std::cerr << Describe(problems);
    return kExitUsage;
  }
  if (only_check) {
    std::cout << "settings are valid\n";
    return kExitDone;
  }
  return RunService(facts, file, json);
}

}  // namespace quetzal
