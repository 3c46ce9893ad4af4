#include "quetzal/roster/roster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace quetzal {
namespace {

using Json = nlohmann::json;

// Workers join and leave in groups; one write covers all changes within this
// time.
constexpr Milliseconds kMinWriteInterval{200};
// Position of a closed entry's runs in its row.
constexpr size_t kRunsColumn = 5;

Json EncodeRuns(const std::vector<RosterRun>& runs) {
  Json rows = Json::array();
  for (const RosterRun& run : runs) {
    rows.push_back({run.task.job.text(), run.task.occurrence, run.task.step,
                    run.task.index, run.number});
  }
  return rows;
}

std::vector<RosterRun> DecodeRuns(const Json& rows) {
  std::vector<RosterRun> runs;
  for (const Json& row : rows) {
    runs.push_back({.task = {.job = JobId(row.at(0).get<std::string>()),
                             .occurrence = row.at(1).get<int64_t>(),
                             .step = row.at(2).get<int>(),
                             .index = row.at(3).get<int>()},
                    .number = row.at(4).get<int64_t>()});
  }
  return runs;
}

std::vector<WorkerId> WorkersOf(const RosterEntries& entries) {
  std::vector<WorkerId> workers;
  workers.reserve(entries.size());
  for (const auto& [id, entry] : entries) workers.push_back(id);
  return workers;
}

// True if no run needs to be accounted for differently.
bool IsSameAssignment(const RosterEntry& a, const RosterEntry& b) {
  return a.address == b.address && a.capacity == b.capacity && a.runs == b.runs;
}

Json EncodeFormerPlacers(const std::vector<FormerPlacer>& placers) {
  Json rows = Json::array();
  for (const FormerPlacer& placer : placers) {
    Json workers = Json::array();
    for (const WorkerId& id : placer.workers) workers.push_back(id.text());
    rows.push_back(
        {placer.term, placer.leases_end_in.count(), std::move(workers)});
  }
  return rows;
}

std::vector<FormerPlacer> DecodeFormerPlacers(const Json& rows) {
  std::vector<FormerPlacer> placers;
  for (const Json& row : rows) {
    FormerPlacer& placer = placers.emplace_back();
    placer.term = row.at(0).get<TermNumber>();
    placer.leases_end_in = Milliseconds(row.at(1).get<int64_t>());
    for (const Json& id : row.at(2)) {
      placer.workers.emplace_back(id.get<std::string>());
    }
  }
  return placers;
}

}  // namespace

std::string EncodeRoster(const StoredRoster& roster) {
  Json rows = Json::array();
  for (const auto& [id, entry] : roster.entries) {
    Json row = {id.text(), entry.address, entry.capacity.cpu_milli,
                entry.capacity.memory_mib, entry.capacity.accelerators};
    if (entry.runs) row.push_back(EncodeRuns(*entry.runs));
    rows.push_back(std::move(row));
  }
  Json json = {{"workers", std::move(rows)}};
  if (roster.term) json["term"] = *roster.term;
  if (roster.fence) json["fence"] = static_cast<uint64_t>(*roster.fence);
  if (!roster.former_placers.empty()) {
    json["former_placers"] = EncodeFormerPlacers(roster.former_placers);
  }
  // Apart from the rows, whose columns earlier versions know.
  for (const auto& [id, entry] : roster.entries) {
    if (entry.incarnation == Incarnation{0}) continue;
    json["incarnations"][id.text()] = static_cast<int64_t>(entry.incarnation);
  }
  return json.dump();
}

std::optional<StoredRoster> DecodeRoster(const std::string& text) {
  StoredRoster roster;
  try {
    const Json json = Json::parse(text);
    // Absent in rosters of earlier versions, as are runs.
    if (json.contains("term")) roster.term = json["term"].get<TermNumber>();
    if (json.contains("fence")) {
      roster.fence = Fence{json["fence"].get<uint64_t>()};
    }
    if (json.contains("former_placers")) {
      roster.former_placers = DecodeFormerPlacers(json["former_placers"]);
    }
    const Json incarnations = json.value("incarnations", Json::object());
    for (const Json& row : json.at("workers")) {
      RosterEntry& entry =
          roster.entries[WorkerId(row.at(0).get<std::string>())];
      entry.address = row.at(1).get<std::string>();
      entry.capacity = {.cpu_milli = row.at(2).get<int64_t>(),
                        .memory_mib = row.at(3).get<int64_t>(),
                        .accelerators = row.at(4).get<int64_t>()};
      entry.incarnation = Incarnation{
          incarnations.value(row.at(0).get<std::string>(), int64_t{0})};
      if (row.size() <= kRunsColumn) continue;
      if (!row.at(kRunsColumn).is_array()) return std::nullopt;
      entry.runs = DecodeRuns(row.at(kRunsColumn));
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return roster;
}

void Roster::Load(StoredRoster stored) {
  stored_ = std::move(stored.entries);
  possible_workers_ = {WorkersOf(stored_)};
  loaded_ = true;
  if (stored.term == term_ - 1) return;
  for (auto& [id, entry] : stored_) entry.runs.reset();
}

bool Roster::IsOpen(const WorkerId& id, const std::string& address) const {
  const auto found = stored_.find(id);
  return found != stored_.end() && found->second.address == address &&
         !found->second.runs;
}

bool Roster::HasIncarnation(const WorkerId& id, Incarnation incarnation) const {
  const auto found = stored_.find(id);
  return found != stored_.end() && found->second.incarnation == incarnation;
}

void Roster::SetFence(Fence fence) {
  fence_ = fence;
  is_own_ = false;
}

bool Roster::CanWrite(Time now) const {
  return loaded_ && !pending_write_ && now >= next_write_at_;
}

std::optional<std::string> Roster::BeginWrite(
    const RosterEntries& wanted, Time now,
    const std::vector<FormerPlacer>& former_placers) {
  const bool is_stored =
      is_own_ && wanted == stored_ && former_placers == written_placers_;
  if (!CanWrite(now) || is_stored) return std::nullopt;
  pending_write_ = wanted;
  written_placers_ = former_placers;
  written_fence_ = fence_;
  possible_workers_.insert(WorkersOf(wanted));
  next_write_at_ = now + kMinWriteInterval;
  // Entries that this write drops or changes may be gone from the store before
  // the answer arrives.
  std::erase_if(stored_, [&](const auto& entry) {
    const auto found = wanted.find(entry.first);
    return found == wanted.end() ||
           !IsSameAssignment(found->second, entry.second);
  });
  for (auto& [id, entry] : stored_) {
    const Incarnation incarnation = wanted.at(id).incarnation;
    if (entry.incarnation != incarnation) entry.incarnation = Incarnation{0};
  }
  return EncodeRoster({.entries = wanted,
                       .term = term_,
                       .fence = fence_,
                       .former_placers = former_placers});
}

void Roster::OnStored() {
  if (!pending_write_) return;
  is_own_ = written_fence_ == fence_;
  stored_ = std::move(*pending_write_);
  pending_write_.reset();
  possible_workers_ = {WorkersOf(stored_)};
}

void Roster::OnStoreFailed() {
  is_own_ = false;
  pending_write_.reset();
}

}  // namespace quetzal
