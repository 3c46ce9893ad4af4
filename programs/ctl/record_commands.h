// Commands on operators' records: validate, diff, apply, get, withdraw, key.
//
// Every write is a compare-and-swap on the platform's service. A written record
// carries a change id, which identifies the write if its answer was lost.
#ifndef PROGRAMS_CTL_RECORD_COMMANDS_H_
#define PROGRAMS_CTL_RECORD_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal::ctl {

struct RecordOptions {
  std::string platform;  // "IP:port"
  bool wait = false;     // until in force at every entry
  int wait_seconds = 0;
  std::optional<Revision> expected;  // fail unless the record is at it
};

// Each returns the program's exit code and prints what it did.
int Validate(const std::vector<std::string>& files);
int Diff(const RecordOptions& options, const std::vector<std::string>& files);
int Apply(const RecordOptions& options, const std::vector<std::string>& files);
int GetRecords(const RecordOptions& options,
               const std::vector<std::string>& paths);
int Withdraw(const RecordOptions& options,
             const std::vector<std::string>& paths);
// Makes a new key for a team: prints the key once, and its record.
int MakeKey(const std::string& name, const std::string& team);

}  // namespace quetzal::ctl

#endif  // PROGRAMS_CTL_RECORD_COMMANDS_H_
