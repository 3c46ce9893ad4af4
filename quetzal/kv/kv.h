// Calls to the platform's key-value service as typed messages, so that the
// placer's core can make them without depending on a transport.
//
//   outbox.emplace_back(KvCall{.id = 7, .kind = KvCall::Kind::kPut, .key = key,
//                              .value = text, .expected = Revision{0}});
//   core.OnKvAnswer({.id = 7, .kind = KvAnswer::Kind::kDone, ...}, now);
#ifndef QUETZAL_KV_KV_H_
#define QUETZAL_KV_KV_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

// Key prefixes of each kind of value.
inline constexpr std::string_view kRecordPrefix = "shared/records/";
inline constexpr std::string_view kAllotmentPrefix = "shared/allotments/";
// Contains records and allotments, so that one watch covers both.
inline constexpr std::string_view kSharedPrefix = "shared/";
inline constexpr std::string_view kLeaderPrefix = "seats/";
inline constexpr std::string_view kJobPrefix = "jobs/";

// State of the platform's service, as seen by this process.
enum class PlatformHealth {
  kReachable,
  // Refuses connections or answers 503. Assumed to be down for all processes,
  // so that no record changes.
  kDown,
  kUnreachable,  // no answer: records may be changing unseen
};

struct KvCall {
  enum class Kind { kGet, kList, kPut, kDelete, kKeepAlive };
  uint64_t id = 0;  // echoed in the answer
  Kind kind = Kind::kGet;
  std::string key;  // a prefix for kList
  std::string value;
  // Compare-and-swap: the revision the key must have; 0: it must not exist.
  std::optional<Revision> expected;
  Milliseconds lease{0};  // above 0: TTL of the key, renewed by kKeepAlive
};

struct KvItem {
  std::string key;
  std::string value;
  Revision revision{0};  // of the write that gave this value
};

struct KvAnswer {
  enum class Kind {
    kDone,
    kConflict,  // the key's revision was not the expected one
    kMissing,   // no such key
    kNoAnswer,  // down, slow or answer lost: a write may have been applied
  };
  uint64_t id = 0;
  Kind kind = Kind::kNoAnswer;
  Revision revision{0};  // of the key written, or of the one in conflict
  // Revision of the whole service when it answered; set for kGet and kList.
  Revision store_revision{0};
  std::vector<KvItem> items;
};

// One change seen by a watch.
struct KvChange {
  KvItem item;
  bool deleted = false;
};

// Percent-encodes text for use in a URL.
std::string EscapeForUrl(const std::string& text);
// Path and query of the HTTP request for a call.
std::string RequestTarget(const KvCall& call);

}  // namespace quetzal

#endif  // QUETZAL_KV_KV_H_
