// quetzalctl: records for operators, jobs for submitters.
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "programs/ctl/client.h"
#include "programs/ctl/job_commands.h"
#include "programs/ctl/record_commands.h"

namespace quetzal::ctl {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr int kDefaultWaitSeconds = 17;
constexpr char kPurpose[] =
    "Operators: validate FILE..., diff FILE..., apply FILE..., get "
    "[KIND/NAME...], withdraw KIND/NAME..., key NAME TEAM. Submitters: submit "
    "FILE, status JOB, cancel JOB. The team's key is read from the "
    "environment variable QUETZAL_KEY. Exit codes: 0 done, 1 failed, 2 wrong "
    "command line or file, 3 another operator changed the record, 4 not in "
    "force or not ended within the timeout, 5 refused.";

struct CommandLine {
  std::string command;
  std::vector<std::string> operands;
  RecordOptions records;
  JobOptions jobs;
};

CommandLine Parse(int argc, char** argv) {
  TCLAP::CmdLine line(kPurpose, ' ', kVersion);
  TCLAP::ValueArg<std::string> platform("p", "platform",
                                        "address of the platform's service",
                                        false, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> entry("e", "entry", "address of an entry", false,
                                     "", "IP:PORT", line);
  TCLAP::SwitchArg wait("w", "wait",
                        "wait until in force at every entry, or until the job "
                        "has ended",
                        line);
  TCLAP::ValueArg<int> seconds("t", "timeout", "how long to wait, in seconds",
                               false, kDefaultWaitSeconds, "SECONDS", line);
  TCLAP::ValueArg<int64_t> expected(
      "x", "expect", "fail unless the record is at this revision", false, -1,
      "REVISION", line);
  TCLAP::UnlabeledValueArg<std::string> command("command", "what to do", true,
                                                "", "COMMAND", line);
  TCLAP::UnlabeledMultiArg<std::string> operands(
      "operands", "files, records or jobs", false, "OPERAND", line);
  line.setExceptionHandling(false);
  line.parse(argc, argv);
  CommandLine parsed;
  parsed.command = command.getValue();
  parsed.operands = operands.getValue();
  parsed.records = {.platform = platform.getValue(),
                    .wait = wait.getValue(),
                    .wait_seconds = seconds.getValue()};
  if (expected.getValue() >= 0) {
    parsed.records.expected =
        Revision{static_cast<uint64_t>(expected.getValue())};
  }
  parsed.jobs = {.entry = entry.getValue(),
                 .wait = wait.getValue(),
                 .wait_seconds = seconds.getValue()};
  if (const char* const key = std::getenv("QUETZAL_KEY")) parsed.jobs.key = key;
  return parsed;
}

int BadUsage(const std::string& text) {
  std::cerr << "quetzalctl: " << text << "; see --help\n";
  return kUsage;
}

int RunRecordCommand(const CommandLine& line) {
  const bool needs_operand = line.command != "get";
  if (needs_operand && line.operands.empty()) {
    return BadUsage(line.command + " needs an operand");
  }
  if (line.command == "validate") return Validate(line.operands);
  if (line.command == "key") {
    if (line.operands.size() != 2) return BadUsage("key needs NAME and TEAM");
    return MakeKey(line.operands[0], line.operands[1]);
  }
  if (line.records.platform.empty()) {
    return BadUsage(line.command + " needs --platform");
  }
  if (line.command == "diff") return Diff(line.records, line.operands);
  if (line.command == "apply") return Apply(line.records, line.operands);
  if (line.command == "get") return GetRecords(line.records, line.operands);
  return Withdraw(line.records, line.operands);
}

int RunJobCommand(const CommandLine& line) {
  if (line.operands.size() != 1) {
    return BadUsage(line.command + " needs one operand");
  }
  if (line.jobs.entry.empty()) return BadUsage(line.command + " needs --entry");
  if (line.command == "submit") return Submit(line.jobs, line.operands[0]);
  if (line.command == "status") return JobStatus(line.jobs, line.operands[0]);
  return CancelJob(line.jobs, line.operands[0]);
}

int Run(const CommandLine& line) {
  const std::string& command = line.command;
  const bool is_record_command = command == "validate" || command == "diff" ||
                                 command == "apply" || command == "get" ||
                                 command == "withdraw" || command == "key";
  if (is_record_command) return RunRecordCommand(line);
  const bool is_job_command =
      command == "submit" || command == "status" || command == "cancel";
  if (is_job_command) return RunJobCommand(line);
  return BadUsage("unknown command '" + command + "'");
}

}  // namespace
}  // namespace quetzal::ctl

int main(int argc, char** argv) {
  try {
    return quetzal::ctl::Run(quetzal::ctl::Parse(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "quetzalctl: " << error.error() << " " << error.argId()
              << "; see --help\n";
    return quetzal::ctl::kUsage;
  }
}
