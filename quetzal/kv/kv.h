// Calls on the platform's key-value service as typed messages, so that the
// decision core can make them without knowing how they travel.
//
//   outbox.Add(KvCall{.id = 7, .kind = KvCall::Kind::kPut, .key = key,
//                     .value = text, .expected = Revision{0}});
//   core.OnKvAnswer({.id = 7, .kind = KvAnswer::Kind::kDone, ...}, now);
#ifndef QUETZAL_KV_KV_H_
#define QUETZAL_KV_KV_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

// Where each kind of value lies in the service.
inline constexpr std::string_view kRecordPrefix = "shared/records/";
inline constexpr std::string_view kAllotmentPrefix = "shared/allotments/";
// Holds records and allotments: one watch serves both.
inline constexpr std::string_view kSharedPrefix = "shared/";
inline constexpr std::string_view kLeaderPrefix = "seats/";
inline constexpr std::string_view kJobPrefix = "jobs/";

// What is known of the platform's service from this process.
enum class PlatformHealth {
  kReachable,
  kDown,         // it refuses connections or says so: nobody can change records
  kUnreachable,  // silence: records may be changing unseen
};

struct KvCall {
  enum class Kind { kGet, kList, kPut, kDelete, kKeepAlive };
  uint64_t id = 0;  // echoed in the answer
  Kind kind = Kind::kGet;
  std::string key;  // a prefix for kList
  std::string value;
  // Compare-and-swap: the revision the key must have; 0: it must not exist.
  std::optional<Revision> expected;
  Milliseconds lease{0};  // above 0: the key goes when not kept alive so long
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
    kNoAnswer,  // down, slow or the answer was lost: a write may have happened
  };
  uint64_t id = 0;
  Kind kind = Kind::kNoAnswer;
  Revision revision{0};  // of the key written, or of the one in conflict
  // Of the whole service when it answered; given for kGet and kList.
  Revision store_revision{0};
  std::vector<KvItem> items;
};

// One change seen by a watch.
struct KvChange {
  KvItem item;
  bool deleted = false;
};

// Text as part of a URL.
std::string EscapeForUrl(const std::string& text);
// Path and query of a call in the platform's HTTP form.
std::string RequestTarget(const KvCall& call);

}  // namespace quetzal

#endif  // QUETZAL_KV_KV_H_
