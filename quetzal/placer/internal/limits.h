// Synchronizes the domain's allotments, its parts of the teams' upper limits,
// with the platform's key-value service.
#ifndef QUETZAL_PLACER_INTERNAL_LIMITS_H_
#define QUETZAL_PLACER_INTERNAL_LIMITS_H_

#include <optional>
#include <unordered_map>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Limits {
 public:
  explicit Limits(State* state) : state_(state) {}

  // Reads all allotments; until then, or until a timeout, no work is started. A
  // term that isn't fenced began without the platform and uses the allotments
  // seen last.
  void BeginTerm(bool fenced, Time now);
  void EndTerm();
  // True once work may be started against the allotments.
  bool ready() const { return ready_; }

  void OnChange(const KvChange& change);
  // Returns true if the answer belongs to a call of this object.
  bool OnKvAnswer(const KvAnswer& answer);
  // Writes the allotments that are due to change with demand. The demand must
  // have been updated before.
  void Tick(Time now);
  // True if the next `Tick` needs the current demand.
  bool IsDemandUpdateDue(Time now) const;

 private:
  void List(Time now);
  void ApplyStored(const KvItem& item);
  void OnListed(const KvAnswer& answer);
  void OnWritten(const TeamId& team, const KvAnswer& answer);

  State* state_;
  bool ready_ = false;
  bool listed_ = false;
  std::optional<uint64_t> list_call_;
  std::unordered_map<uint64_t, TeamId> writes_;
  std::unordered_map<uint64_t, TeamId> reads_;
  Time listed_at_;
  Time written_at_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_LIMITS_H_
