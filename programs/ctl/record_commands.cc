#include "programs/ctl/record_commands.h"

#include <chrono>
#include <iostream>
#include <map>
#include <thread>

#include "programs/ctl/client.h"
#include "quetzal/kv/kv.h"
#include "quetzal/record/record.h"

namespace quetzal::ctl {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kMaxAttempts = 5;
constexpr int kKeyBytes = 24;
constexpr int kChangeIdBytes = 8;
constexpr std::chrono::milliseconds kRetryDelay{200};
constexpr std::chrono::milliseconds kPollInterval{50};

struct LocalRecord {
  std::string path;
  nlohmann::json json;
};

// What the platform holds under a path.
struct StoredRecord {
  uint64_t revision = 0;  // 0: none
  nlohmann::json json;
};

bool ReadOne(const nlohmann::json& json, const std::string& file,
             std::vector<LocalRecord>* records) {
  const Checked<Record> record = ParseRecord(json.dump());
  if (!record) {
    std::cerr << file << ":\n" << Describe(record.error());
    return false;
  }
  records->push_back({RecordPath(record.value()), json});
  return true;
}

// A file holds one record or a list of them. All files are read before any
// record is written, so that an invalid file leaves nothing partially applied.
bool ReadAll(const std::vector<std::string>& files,
             std::vector<LocalRecord>* records) {
  bool valid = true;
  for (const std::string& file : files) {
    Problems problems;
    const std::string text = ReadFile(file, &problems);
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!problems.empty() || json.is_discarded()) {
      std::cerr << file << ": "
                << (problems.empty() ? "not well-formed JSON\n"
                                     : Describe(problems));
      valid = false;
      continue;
    }
    if (!json.is_array()) {
      valid = ReadOne(json, file, records) && valid;
      continue;
    }
    for (const auto& each : json) valid = ReadOne(each, file, records) && valid;
  }
  return valid;
}

std::string UrlOf(const RecordOptions& options, const KvCall& call) {
  return "http://" + options.platform + RequestTarget(call);
}

// URL of a call on one record; `expected` as in `KvCall`.
std::string RecordUrl(const RecordOptions& options, const std::string& path,
                      std::optional<Revision> expected = std::nullopt) {
  return UrlOf(options, {.key = std::string(kRecordPrefix) + path,
                         .expected = expected});
}

std::optional<StoredRecord> ReadStored(const RecordOptions& options,
                                       const std::string& path) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Exchange result = Fetch("GET", RecordUrl(options, path), {});
    if (result.status == kNotFound) return StoredRecord{};
    if (result.status == kOk && !result.json["items"].empty()) {
      const nlohmann::json& item = result.json["items"][0];
      return StoredRecord{.revision = item.value("revision", uint64_t{0}),
                          .json = nlohmann::json::parse(item.value("value", ""),
                                                        nullptr, false)};
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  std::cerr << options.platform
            << ": the platform does not answer; try again when it does\n";
  return std::nullopt;
}

// The same, but reports a missing record as an error.
std::optional<StoredRecord> ReadExisting(const RecordOptions& options,
                                         const std::string& path) {
  std::optional<StoredRecord> stored = ReadStored(options, path);
  if (!stored || stored->revision > 0) return stored;
  std::cerr << path << ": no such record\n";
  return std::nullopt;
}

nlohmann::json WithoutChangeId(nlohmann::json json) {
  if (json.is_object()) json.erase("change_id");
  return json;
}

int ReportConflict(const std::string& path) {
  std::cerr << path << ": another operator changed the record; get it again "
            << "and reapply\n";
  return kConflict;
}

// Writes one record. On success sets `revision` to the revision of the stored
// record, also if that was unchanged.
int Write(const RecordOptions& options, const LocalRecord& local,
          uint64_t* revision) {
  std::optional<StoredRecord> stored = ReadStored(options, local.path);
  if (!stored) return kFailed;
  if (options.expected &&
      static_cast<uint64_t>(*options.expected) != stored->revision) {
    return ReportConflict(local.path);
  }
  if (WithoutChangeId(stored->json) == WithoutChangeId(local.json)) {
    *revision = stored->revision;
    std::cout << local.path << " unchanged\n";
    return kDone;
  }
  nlohmann::json json = local.json;
  const std::string change_id = RandomHex(kChangeIdBytes);
  json["change_id"] = change_id;
  const uint64_t before = stored->revision;
  const std::string url = RecordUrl(options, local.path, Revision{before});
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Exchange result = Fetch("PUT", url, {.body = json.dump()});
    if (result.status == kOk) {
      *revision = result.json.value("revision", uint64_t{0});
      std::cout << local.path << " applied at revision " << *revision << "\n";
      return kDone;
    }
    // After a lost answer, or a conflict that an earlier attempt here may have
    // caused, only the stored record shows whether the write was applied.
    stored = ReadStored(options, local.path);
    if (!stored) return kFailed;
    const bool is_own_write = stored->json.is_object() &&
                              stored->json.value("change_id", "") == change_id;
    if (is_own_write) {
      *revision = stored->revision;
      std::cout << local.path << " applied at revision " << *revision
                << " (found by its change id)\n";
      return kDone;
    }
    if (stored->revision != before) return ReportConflict(local.path);
    std::this_thread::sleep_for(kRetryDelay);
  }
  std::cerr << local.path << ": the platform does not take the write; try "
            << "again when it does\n";
  return kFailed;
}

// Waits until every entry of the VM list has applied a revision.
int WaitUntilInForce(const RecordOptions& options, uint64_t revision) {
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::seconds(options.wait_seconds);
  std::map<std::string, uint64_t> behind;
  while (true) {
    behind.clear();
    const Exchange vms =
        Fetch("GET", "http://" + options.platform + "/v1/vms", {});
    for (const auto& vm : vms.json.value("vms", nlohmann::json::array())) {
      const std::string address = vm.value("http_address", "");
      if (vm.value("role", "") != "entry" || vm.value("state", "") == "gone" ||
          address.empty()) {
        continue;
      }
      const Exchange status = Fetch("GET", "http://" + address + "/v1/status",
                                    {.timeout_seconds = 1});
      const uint64_t applied =
          status.json.value("record_revision", uint64_t{0});
      if (applied < revision) behind[vm.value("name", "")] = applied;
    }
    if (vms.answered() && behind.empty()) {
      std::cout << "in force at every entry\n";
      return kDone;
    }
    if (std::chrono::steady_clock::now() >= until) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const auto& [name, applied] : behind) {
    std::cerr << name << " is at revision " << applied << ", not yet at "
              << revision << "\n";
  }
  return kTimedOut;
}

}  // namespace

int Validate(const std::vector<std::string>& files) {
  std::vector<LocalRecord> records;
  if (!ReadAll(files, &records)) return kUsage;
  for (const LocalRecord& record : records) {
    std::cout << record.path << " is valid\n";
  }
  return kDone;
}

int Diff(const RecordOptions& options, const std::vector<std::string>& files) {
  std::vector<LocalRecord> records;
  if (!ReadAll(files, &records)) return kUsage;
  for (const LocalRecord& record : records) {
    const std::optional<StoredRecord> stored = ReadStored(options, record.path);
    if (!stored) return kFailed;
    if (stored->revision == 0) {
      std::cout << record.path << " is new\n";
      continue;
    }
    const nlohmann::json changes = nlohmann::json::diff(
        WithoutChangeId(stored->json), WithoutChangeId(record.json));
    if (changes.empty()) {
      std::cout << record.path << " unchanged\n";
    } else {
      std::cout << record.path << " " << changes.dump() << "\n";
    }
  }
  return kDone;
}

int Apply(const RecordOptions& options, const std::vector<std::string>& files) {
  std::vector<LocalRecord> records;
  if (!ReadAll(files, &records)) return kUsage;
  uint64_t max_revision = 0;
  for (const LocalRecord& record : records) {
    uint64_t revision = 0;
    const int result = Write(options, record, &revision);
    if (result != kDone) return result;
    max_revision = std::max(max_revision, revision);
  }
  return options.wait ? WaitUntilInForce(options, max_revision) : kDone;
}

int GetRecords(const RecordOptions& options,
               const std::vector<std::string>& paths) {
  if (paths.empty()) {
    const Exchange all = Fetch(
        "GET",
        UrlOf(options,
              {.kind = KvCall::Kind::kList, .key = std::string(kRecordPrefix)}),
        {});
    if (all.status != kOk) {
      std::cerr << options.platform << ": the platform does not answer\n";
      return kFailed;
    }
    for (const auto& item : all.json["items"]) {
      std::cout << item.value("revision", uint64_t{0}) << " "
                << item.value("value", "") << "\n";
    }
    return kDone;
  }
  for (const std::string& path : paths) {
    const std::optional<StoredRecord> stored = ReadExisting(options, path);
    if (!stored) return kFailed;
    std::cout << stored->revision << " " << stored->json.dump() << "\n";
  }
  return kDone;
}

int Withdraw(const RecordOptions& options,
             const std::vector<std::string>& paths) {
  uint64_t max_revision = 0;
  for (const std::string& path : paths) {
    const std::optional<StoredRecord> stored = ReadExisting(options, path);
    if (!stored) return kFailed;
    const Exchange result = Fetch(
        "DELETE", RecordUrl(options, path, Revision{stored->revision}), {});
    if (result.status == kHttpConflict) return ReportConflict(path);
    const std::optional<StoredRecord> after = ReadStored(options, path);
    if (!after) return kFailed;
    if (after->revision == stored->revision) {
      std::cerr << path << ": not withdrawn; try again\n";
      return kFailed;
    }
    // If the answer was lost, the revision is unknown; it is at least the one
    // after the revision that was withdrawn.
    max_revision = std::max(
        max_revision, result.json.value("revision", stored->revision + 1));
    std::cout << path << " withdrawn\n";
  }
  return options.wait ? WaitUntilInForce(options, max_revision) : kDone;
}

int MakeKey(const std::string& name, const std::string& team) {
  const std::string key = RandomHex(kKeyBytes);
  const nlohmann::json record = {{"schema", "v2"},
                                 {"kind", "key"},
                                 {"name", name},
                                 {"team", team},
                                 {"digest", KeyDigest(key)}};
  const Checked<Record> checked = ParseRecord(record.dump());
  if (!checked) {
    std::cerr << Describe(checked.error());
    return kUsage;
  }
  std::cerr << "key (shown only now): " << key << "\n";
  std::cout << record.dump() << "\n";
  return kDone;
}

}  // namespace quetzal::ctl
