#include "quetzal/roster/roster.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace quetzal {
namespace {

using Json = nlohmann::json;

// Workers come and go in groups: one write for those of a moment.
constexpr Milliseconds kWriteGap{200};

}  // namespace

std::string EncodeRoster(const RosterEntries& entries) {
  Json rows = Json::array();
  for (const auto& [id, entry] : entries) {
    rows.push_back({id.text(), entry.address, entry.capacity.cpu_milli,
                    entry.capacity.memory_mib, entry.capacity.accelerators});
  }
  return Json{{"workers", std::move(rows)}}.dump();
}

std::optional<RosterEntries> DecodeRoster(const std::string& text) {
  RosterEntries entries;
  try {
    const Json json = Json::parse(text);
    for (const Json& row : json.at("workers")) {
      RosterEntry& entry = entries[WorkerId(row.at(0).get<std::string>())];
      entry.address = row.at(1).get<std::string>();
      entry.capacity = {.cpu_milli = row.at(2).get<int64_t>(),
                        .memory_mib = row.at(3).get<int64_t>(),
                        .accelerators = row.at(4).get<int64_t>()};
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return entries;
}

void Roster::Load(RosterEntries stored) {
  stored_ = std::move(stored);
  loaded_ = true;
}

bool Roster::Contains(const WorkerId& id, const std::string& address) const {
  const auto found = stored_.find(id);
  return found != stored_.end() && found->second.address == address;
}

bool Roster::CanWrite(Time now) const {
  return loaded_ && !writing_ && now >= next_write_;
}

std::optional<std::string> Roster::BeginWrite(const RosterEntries& wanted,
                                              Time now) {
  if (!CanWrite(now) || wanted == stored_) return std::nullopt;
  writing_ = wanted;
  next_write_ = now + kWriteGap;
  // What this write drops may be gone from the store before its answer comes.
  std::erase_if(stored_, [&](const auto& entry) {
    const auto found = wanted.find(entry.first);
    return found == wanted.end() || found->second != entry.second;
  });
  return EncodeRoster(wanted);
}

void Roster::OnStored() {
  if (!writing_) return;
  stored_ = std::move(*writing_);
  writing_.reset();
}

void Roster::OnStoreFailed() { writing_.reset(); }

}  // namespace quetzal
