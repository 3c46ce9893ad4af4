// Why work, a record or a call was refused, and what the caller can do.
//
// Each reason has a stable code for programs, a remedy for people and an HTTP
// status, and converts to a `std::error_code`:
//
//   return make_error_code(Refusal::kQueueFull);
#ifndef QUETZAL_REFUSAL_REFUSAL_H_
#define QUETZAL_REFUSAL_REFUSAL_H_

#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

namespace quetzal {

enum class Refusal {
  kMissingKey = 1,
  kUnknownKey,
  kKeyOfOtherTeam,
  kUnknownQueue,
  kUnknownTeam,
  kNoRecords,
  kRecordsStale,
  kBadRequest,
  kTooLarge,
  kNeverFits,
  kOverTeamLimit,
  kQueueFull,
  kDeadlinePassed,
  kNoPlacer,
  kPlatformDown,
  kDraining,
  kWorkerLost,
  kWorkFailed,
  kRetriesSpent,
  kCancelled,
  kUnknownJob,
  kDuplicateKey,
  kRecordConflict,
};

// Stable lower-case code, such as "queue_full"; never changes once released.
std::string_view Code(Refusal reason);
// One sentence that tells the caller what to do.
std::string_view Remedy(Refusal reason);
// Status of the HTTP response that carries this refusal.
int HttpStatus(Refusal reason);
// The reason with this code; nullopt if there is none.
std::optional<Refusal> RefusalFromCode(std::string_view code);
// Every reason, for counters that exist before they are first used.
std::vector<Refusal> AllRefusals();

const std::error_category& RefusalCategory();
std::error_code make_error_code(Refusal reason);  // NOLINT: name fixed by std

}  // namespace quetzal

template <>
struct std::is_error_code_enum<quetzal::Refusal> : std::true_type {};

#endif  // QUETZAL_REFUSAL_REFUSAL_H_
