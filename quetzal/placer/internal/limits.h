// The domain's parts of the teams' upper limits, kept in step with the
// platform's service.
#ifndef QUETZAL_PLACER_INTERNAL_LIMITS_H_
#define QUETZAL_PLACER_INTERNAL_LIMITS_H_

#include <optional>
#include <unordered_map>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

class Limits {
 public:
  explicit Limits(State* state) : state_(state) {}

  // Reads every part anew; until then nothing is spent. An unfenced term, made
  // without the platform, spends by what was last seen.
  void BeginTerm(bool fenced, Time now);
  void EndTerm();
  // True once the parts may be spent.
  bool ready() const { return ready_; }

  void OnChange(const KvChange& change);
  // True if the answer belonged to one of this part's calls.
  bool OnKvAnswer(const KvAnswer& answer);
  // Writes the divisions that demand asks for. Demand must have been noted.
  void Tick(Time now);
  // True when demand is to be noted before the next `Tick`.
  bool DemandDue(Time now) const;

 private:
  void List(Time now);
  void Store(const KvItem& item);
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
