#include "quetzal/refusal/refusal.h"

#include <algorithm>
#include <array>
#include <string>

namespace quetzal {
namespace {

struct ReasonInfo {
  Refusal reason;
  std::string_view code;
  int http_status;
  std::string_view remedy;
};

constexpr auto kTable = std::to_array<ReasonInfo>({
    {Refusal::kMissingKey, "missing_key", 401,
     "send the team's key as 'Authorization: Bearer KEY'"},
    {Refusal::kUnknownKey, "unknown_key", 401,
     "the key was never granted or is revoked; ask an operator for a new one"},
    {Refusal::kKeyOfOtherTeam, "key_of_other_team", 403,
     "the key belongs to another team than the queue; use a queue of your own "
     "team or one open to all"},
    {Refusal::kUnknownQueue, "unknown_queue", 404,
     "no queue of this name is in force; check the spelling or have an "
     "operator apply its record"},
    {Refusal::kUnknownTeam, "unknown_team", 403,
     "the key's team has no record; have an operator apply one"},
    {Refusal::kNoRecords, "no_records", 503,
     "this entry has no records yet; send again, the balancer will pick "
     "another entry"},
    {Refusal::kRecordsStale, "records_stale", 503,
     "this failure domain is cut off and the key may be revoked; send to "
     "another domain, or let an operator set when_cut to serve"},
    {Refusal::kBadRequest, "bad_request", 400,
     "correct the field named in the detail"},
    {Refusal::kTooLarge, "too_large", 413,
     "send a smaller body; the detail names the bound"},
    {Refusal::kNeverFits, "never_fits", 422,
     "no worker is large enough; ask for no more than the detail names"},
    {Refusal::kOverTeamLimit, "over_team_limit", 422,
     "the work alone is above the team's upper limit; make it smaller or have "
     "the limit raised"},
    {Refusal::kQueueFull, "queue_full", 429,
     "send again after the time in Retry-After"},
    {Refusal::kDeadlinePassed, "deadline_passed", 504,
     "allow a longer deadline or send again when load is lower"},
    {Refusal::kNoPlacer, "no_placer", 503,
     "no placer of this failure domain answers; send again after Retry-After"},
    {Refusal::kPlatformDown, "platform_down", 503,
     "the platform's key-value service can't keep the job; submit again "
     "after Retry-After"},
    {Refusal::kDraining, "draining", 503,
     "this entry is shutting down; send again, the balancer will pick another"},
    {Refusal::kWorkerLost, "worker_lost", 502,
     "the worker was lost while the work may have run; check its effect "
     "before sending again"},
    {Refusal::kWorkFailed, "work_failed", 502,
     "the work ran and failed; see its answer"},
    {Refusal::kRetriesSpent, "retries_spent", 503,
     "tries kept being refused by workers; send again after Retry-After"},
    {Refusal::kCancelled, "cancelled", 409,
     "the work was cancelled by its caller"},
    {Refusal::kUnknownJob, "unknown_job", 404,
     "no job of your team has this id in this failure domain"},
    {Refusal::kDuplicateKey, "duplicate_key", 409,
     "another request uses this request key with other content; choose a new "
     "key"},
    {Refusal::kRecordConflict, "record_conflict", 409,
     "another operator changed the record; get it again and reapply"},
});

const ReasonInfo& Find(Refusal reason) {
  const auto* const found = std::find_if(
      kTable.begin(), kTable.end(),
      [&](const ReasonInfo& info) { return info.reason == reason; });
  return found == kTable.end() ? kTable.front() : *found;
}

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "quetzal.refusal"; }
  std::string message(int value) const override {
    return std::string(Remedy(static_cast<Refusal>(value)));
  }
};

}  // namespace

std::string_view Code(Refusal reason) { return Find(reason).code; }
std::string_view Remedy(Refusal reason) { return Find(reason).remedy; }
int HttpStatus(Refusal reason) { return Find(reason).http_status; }

std::optional<Refusal> RefusalFromCode(std::string_view code) {
  for (const ReasonInfo& info : kTable) {
    if (info.code == code) return info.reason;
  }
  return std::nullopt;
}

std::vector<Refusal> AllRefusals() {
  std::vector<Refusal> reasons;
  reasons.reserve(kTable.size());
  for (const ReasonInfo& info : kTable) reasons.push_back(info.reason);
  return reasons;
}

const std::error_category& RefusalCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Refusal reason) {
  return {static_cast<int>(reason), RefusalCategory()};
}

}  // namespace quetzal
