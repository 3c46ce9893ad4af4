#include "quetzal/turn_profile/turn_profile.h"

#include <algorithm>
#include <utility>

namespace quetzal {

TurnProfile& TurnProfile::Instance() {
  static auto* const profile = new TurnProfile;
  return *profile;
}

TurnProfile::Section::Section(const char* name)
    : name_(name),
      outer_(std::exchange(Instance().current_, this)),
      began_(Clock::now()) {}

TurnProfile::Section::~Section() {
  TurnProfile& profile = Instance();
  const Clock::duration time = Clock::now() - began_;
  profile.Add(name_, time - inner_);
  if (outer_ != nullptr) outer_->inner_ += time;
  profile.current_ = outer_;
}

void TurnProfile::BeginTurn() {
  totals_.clear();
  began_ = Clock::now();
}

Milliseconds TurnProfile::TurnDuration() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - began_);
}

void TurnProfile::Add(const char* name, Clock::duration time) {
  const auto found =
      std::find_if(totals_.begin(), totals_.end(),
                   [name](const Total& each) { return each.name == name; });
  Total& total = found == totals_.end()
                     ? totals_.emplace_back(Total{.name = name})
                     : *found;
  total.time += time;
  ++total.entries;
}

std::string TurnProfile::Describe() const {
  std::vector<Total> totals = totals_;
  std::sort(totals.begin(), totals.end(),
            [](const Total& a, const Total& b) { return a.time > b.time; });
  std::string text;
  for (const Total& each : totals) {
    const auto ms = std::chrono::duration_cast<Milliseconds>(each.time);
    if (ms.count() == 0) break;
    if (!text.empty()) text += ", ";
    text += std::string(each.name) + " " + std::to_string(ms.count()) +
            " ms in " + std::to_string(each.entries);
  }
  return text;
}

}  // namespace quetzal
