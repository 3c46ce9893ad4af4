#include "quetzal/roster/roster.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace quetzal {
namespace {

using Json = nlohmann::json;

// Workers join and leave in groups; one write covers all changes within this
// time.
constexpr Milliseconds kMinWriteInterval{200};

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
  return loaded_ && !pending_write_ && now >= next_write_at_;
}

std::optional<std::string> Roster::BeginWrite(const RosterEntries& wanted,
                                              Time now) {
  if (!CanWrite(now) || wanted == stored_) return std::nullopt;
  pending_write_ = wanted;
  next_write_at_ = now + kMinWriteInterval;
  // Entries that this write drops may be gone from the store before the answer
  // arrives.
  std::erase_if(stored_, [&](const auto& entry) {
    const auto found = wanted.find(entry.first);
    return found == wanted.end() || found->second != entry.second;
  });
  return EncodeRoster(wanted);
}

void Roster::OnStored() {
  if (!pending_write_) return;
  stored_ = std::move(*pending_write_);
  pending_write_.reset();
}

void Roster::OnStoreFailed() { pending_write_.reset(); }

}  // namespace quetzal
