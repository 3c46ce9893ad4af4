#include "programs/ctl/job_commands.h"

#include <chrono>
#include <iostream>
#include <thread>

#include "programs/ctl/client.h"
#include "quetzal/kv/kv.h"
#include "quetzal/settings/settings.h"

namespace quetzal::ctl {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kSubmitTimeoutSeconds = 30;
constexpr std::chrono::milliseconds kPollInterval{200};

int Print(const JobOptions& options, const Exchange& result) {
  if (!result.answered()) {
    std::cerr << options.entry << ": no answer (" << result.error
              << "); whether a submitted job was accepted is not known\n";
    return kFailed;
  }
  const bool accepted = result.status == kOk || result.status == kAccepted;
  (accepted ? std::cout : std::cerr) << result.body << "\n";
  return accepted ? kDone : kRefused;
}

std::string JobUrl(const JobOptions& options, const std::string& job) {
  return "http://" + options.entry + "/v1/jobs/" + EscapeForUrl(job);
}

int WaitUntilEnded(const JobOptions& options, const std::string& job) {
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::seconds(options.wait_seconds);
  while (std::chrono::steady_clock::now() < until) {
    const Exchange result =
        Fetch("GET", JobUrl(options, job), {.bearer = options.key});
    const std::string state = result.json.value("state", "running");
    if (result.status == kOk && state != "running") {
      std::cout << result.body << "\n";
      return state == "done" ? kDone : kFailed;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << job << " is not over yet; ask again with 'status'\n";
  return kTimedOut;
}

}  // namespace

int Submit(const JobOptions& options, const std::string& file) {
  Problems problems;
  const std::string body = ReadFile(file, &problems);
  if (!problems.empty()) {
    std::cerr << Describe(problems);
    return kUsage;
  }
  const Exchange result = Fetch("POST", "http://" + options.entry + "/v1/jobs",
                                {.body = body,
                                 .bearer = options.key,
                                 .timeout_seconds = kSubmitTimeoutSeconds});
  const int code = Print(options, result);
  if (code != kDone || !options.wait) return code;
  return WaitUntilEnded(options, result.json.value("job", ""));
}

int JobStatus(const JobOptions& options, const std::string& job) {
  if (options.wait) return WaitUntilEnded(options, job);
  return Print(options,
               Fetch("GET", JobUrl(options, job), {.bearer = options.key}));
}

int CancelJob(const JobOptions& options, const std::string& job) {
  return Print(options,
               Fetch("DELETE", JobUrl(options, job), {.bearer = options.key}));
}

}  // namespace quetzal::ctl
