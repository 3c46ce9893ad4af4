// Strong types for identifiers and time, used by all other libraries.
//
// An id of one kind can't be passed where another is expected, and two points
// in time can't be added:
//
//   const WorkerId worker("w-17");
//   const Time deadline = now + Milliseconds(250);
#ifndef QUETZAL_IDS_IDS_H_
#define QUETZAL_IDS_IDS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace quetzal {

// An identifier, compared and hashed as its text. `Tag` is never defined; it
// makes each kind of identifier a distinct type.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

using WorkerId = Id<struct WorkerTag>;
using EntryId = Id<struct EntryTag>;
using PlacerId = Id<struct PlacerTag>;
using TeamId = Id<struct TeamTag>;
using QueueId = Id<struct QueueTag>;
using WorkId = Id<struct WorkTag>;
using JobId = Id<struct JobTag>;
using AttemptId = Id<struct AttemptTag>;
using RackId = Id<struct RackTag>;
using FailureDomainId = Id<struct FailureDomainTag>;

// Generation of a contract or of the placer's leadership; a higher one replaces
// a lower one.
enum class Epoch : uint64_t {};

// Position in the platform's history of writes.
enum class Revision : uint64_t {};

using Milliseconds = std::chrono::milliseconds;
// A point on this process's monotonic clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

}  // namespace quetzal

template <typename Tag>
struct std::hash<quetzal::Id<Tag>> {
  size_t operator()(const quetzal::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.text());
  }
};

#endif  // QUETZAL_IDS_IDS_H_
