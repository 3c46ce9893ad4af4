// Which machine asks the advice service next. The service answers one call at a
// time for each machine that asks, and calls take from a few to a thousand
// milliseconds.
//
//   HelperSelector advisers;
//   advisers.SetHelpers({HelperId("vm-1"), HelperId("vm-2")});
//   if (const HelperId* adviser = advisers.Choose(call_ms, now)) {
//     const Milliseconds patience = advisers.OnSent(*adviser, call_ms, now);
//   }
//   advisers.OnReply(adviser);  // or OnTimeout(adviser, now)
//
// The load that it answers: short calls of urgent work beside long calls of
// wide work, at a rate near what all machines together can ask; and a part of
// the machines cut off in silence, so that each call through them is lost and
// missed only after its patience.
#ifndef QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_
#define QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_

#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

// A machine that may ask for advice.
using HelperId = Id<struct HelperTag>;

class HelperSelector {
 public:
  void SetHelpers(std::vector<HelperId> advisers);
  bool empty() const { return order_.empty(); }

  // The one that would serve a call of this length soonest; null if none would
  // soon: what is asked later can be asked for what is most urgent then.
  const HelperId* Choose(double call_ms, Time now) const;
  // Returns how long to wait for the answer.
  Milliseconds OnSent(const HelperId& adviser, double call_ms, Time now);
  void OnReply(const HelperId& adviser);
  // No answer within the patience: it is passed over for a while.
  void OnTimeout(const HelperId& adviser, Time now);

 private:
  struct Adviser {
    Time free_at;      // when it will have served all that it was asked
    int open = 0;      // calls not answered
    int silences = 0;  // in a row
    Time rests_until;
  };

  bool DoMostRest(Time now) const;

  std::vector<HelperId> order_;
  std::unordered_map<HelperId, Adviser> advisers_;
};

}  // namespace quetzal

#endif  // QUETZAL_HELPER_SELECTOR_HELPER_SELECTOR_H_
