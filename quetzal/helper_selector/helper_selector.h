// Selects the helper that makes the next call to the advice service. The
// service serves one call at a time for each helper, and calls take from a few
// to a thousand milliseconds.
//
//   HelperSelector selector;
//   selector.SetHelpers({HelperId("vm-1"), HelperId("vm-2")});
//   if (const HelperId* helper = selector.Choose(call_ms, now)) {
//     const Milliseconds timeout = selector.OnSent(*helper, call_ms, now);
//   }
//   selector.OnReply(helper);  // or OnTimeout(helper, now)
//
// Designed for short calls for urgent steps beside long calls that name many
// workers, at a rate near the capacity of all helpers together, while a network
// partition may drop all messages to a part of the helpers: each call to these
// is lost, which is noticed only after its timeout.
#ifndef QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_
#define QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

// A machine that can call the advice service for the placer.
using HelperId = Id<struct HelperTag>;

class HelperSelector {
 public:
  void SetHelpers(std::vector<HelperId> helpers);
  bool empty() const { return order_.empty(); }

  // The helper that would serve a call of this duration first; null if none
  // will be free soon. A call that is made later instead can be for the step
  // that is most urgent by then.
  const HelperId* Choose(double call_ms, Time now) const;
  // Returns the timeout of the call.
  Milliseconds OnSent(const HelperId& helper, double call_ms, Time now);
  void OnReply(const HelperId& helper);
  // The call timed out: skips the helper during a backoff.
  void OnTimeout(const HelperId& helper, Time now);

 private:
  struct Helper {
    Time free_at;       // when all calls in flight should be served
    int in_flight = 0;  // calls
    int consecutive_timeouts = 0;
    Time backoff_until;
  };

  bool AreMostInBackoff(Time now) const;
  const HelperId* FindFirstFree(bool is_long, Time now) const;

  std::vector<HelperId> order_;
  std::unordered_map<HelperId, Helper> helpers_;
  // For short and long calls: when no helper was free. Until a reply or another
  // moment none is, since calls only add load. Thousands of waiting steps may
  // ask in one decision.
  mutable std::array<std::optional<Time>, 2> none_free_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_
