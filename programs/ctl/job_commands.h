// Commands of submitters: submit a job, ask for its state, cancel it.
#ifndef PROGRAMS_CTL_JOB_COMMANDS_H_
#define PROGRAMS_CTL_JOB_COMMANDS_H_

#include <optional>
#include <string>

namespace quetzal::ctl {

struct JobOptions {
  std::string entry;  // "IP:port"
  std::optional<std::string> key;
  bool wait = false;  // until the job has ended
  int wait_seconds = 0;
};

// Each returns the program's exit code and prints the entry's answer.
int Submit(const JobOptions& options, const std::string& file);
int JobStatus(const JobOptions& options, const std::string& job);
int CancelJob(const JobOptions& options, const std::string& job);

}  // namespace quetzal::ctl

#endif  // PROGRAMS_CTL_JOB_COMMANDS_H_
