// The scripted cases of the second review. Each returns whether its rule held.
#ifndef REVIEW_STANDINS_2_CASES_H_
#define REVIEW_STANDINS_2_CASES_H_

#include <string>

#include "record.h"

namespace quetzal::review {

enum class Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// Without `trouble` the case does the same, but for the disruption.
Verdict RunCase(const std::string& name, bool trouble, Record* record);

}  // namespace quetzal::review

#endif  // REVIEW_STANDINS_2_CASES_H_
