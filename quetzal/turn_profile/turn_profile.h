// Measures what the turns of a process's main loop are spent on, so that a slow
// turn can be explained.
//
//   TurnProfile& profile = TurnProfile::Instance();
//   profile.BeginTurn();
//   {
//     const TurnProfile::Section section("decide");
//     ...
//   }
//   const Milliseconds duration = profile.TurnDuration();
//   log.Line("slow_turn", {{"sections", profile.Describe()}});
//
// A section's time doesn't include that of sections within it. Not thread-safe:
// used on the main loop's thread only.
#ifndef QUETZAL_TURN_PROFILE_TURN_PROFILE_H_
#define QUETZAL_TURN_PROFILE_TURN_PROFILE_H_

#include <chrono>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

class TurnProfile {
 public:
  using Clock = std::chrono::steady_clock;

  // Of the process. Never destroyed.
  static TurnProfile& Instance();

  // Measures until the end of its scope; `name` must outlive the turn.
  class Section {
   public:
    explicit Section(const char* name);
    ~Section();
    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;

   private:
    const char* name_;
    Section* outer_;
    Clock::time_point began_;
    Clock::duration inner_{0};  // time of sections within this one
  };

  void BeginTurn();
  Milliseconds TurnDuration() const;
  // "decide 12 ms in 3, polls 5 ms in 120": the sections of 1 ms or more, the
  // longest first, with their numbers of entries.
  std::string Describe() const;

 private:
  struct Total {
    const char* name = nullptr;
    Clock::duration time{0};
    int entries = 0;
  };

  TurnProfile() = default;
  void Add(const char* name, Clock::duration time);

  Clock::time_point began_ = Clock::now();
  std::vector<Total> totals_;
  Section* current_ = nullptr;
};

}  // namespace quetzal

#endif  // QUETZAL_TURN_PROFILE_TURN_PROFILE_H_
