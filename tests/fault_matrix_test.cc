// Every fault at every step, on the shipped decision cores in virtual time.
// Prints the matrix; a cell passes only if its fault struck, no promise was
// broken and all work ended after the fault healed.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "tests/support/checker.h"
#include "tests/support/faults.h"
#include "tests/support/scenario.h"

namespace quetzal::testing {
namespace {

constexpr Milliseconds kWarmUp{3'000};
constexpr Milliseconds kAfterWorkload{36'000};
constexpr Milliseconds kBeforeLook{2'000};

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(NothingBreaksWithoutFaults);
  CPPUNIT_TEST(EveryFaultAtEveryStep);
  CPPUNIT_TEST(PairsOfFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingBreaksWithoutFaults() {
    const CellResult result = RunCell({}, 1);
    CPPUNIT_ASSERT_MESSAGE(result.Describe(), result.Clean());
  }

  void EveryFaultAtEveryStep() {
    std::ostringstream failures;
    size_t passed = 0;
    size_t not_applicable = 0;
    size_t not_struck = 0;
    std::cout << "\nstep x fault (. passed, - not applicable, o not struck, "
                 "X failed)\n";
    for (const Step& step : AllSteps()) {
      std::cout << step.name << std::string(14 - step.name.size(), ' ');
      for (const Fault& fault : AllFaults()) {
        if (!Applies(step, fault)) {
          ++not_applicable;
          std::cout << '-';
          continue;
        }
        const CellResult result = RunCell({{step, fault}}, 7);
        if (result.strikes == 0) {
          ++not_struck;
          std::cout << 'o';
        } else if (result.Clean()) {
          ++passed;
          std::cout << '.';
        } else {
          std::cout << 'X';
          failures << step.name << " x " << fault.name << ": "
                   << result.Describe();
        }
        std::cout << std::flush;
      }
      std::cout << '\n';
    }
    std::cout << "faults, by column:";
    for (const Fault& fault : AllFaults()) {
      std::cout << ' ' << fault.name << ';';
    }
    std::cout << "\npassed " << passed << ", not applicable " << not_applicable
              << ", not struck " << not_struck << '\n';
    CPPUNIT_ASSERT_MESSAGE(failures.str(), failures.str().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, not_struck);
  }

  void PairsOfFaults() {
    const char* const chosen = std::getenv("QUETZAL_PAIRS");
    const int pairs = chosen == nullptr ? 250 : std::atoi(chosen);
    std::ostringstream failures;
    size_t struck = 0;
    for (int seed = 1; seed <= pairs; ++seed) {
      const std::vector<Strike> strikes = RandomStrikes(seed);
      const CellResult result = RunCell(strikes, seed);
      if (result.strikes > 0) ++struck;
      if (result.Clean()) continue;
      failures << "seed " << seed << ": ";
      for (const Strike& strike : strikes) {
        failures << strike.step.name << " x " << strike.fault.name << ", ";
      }
      failures << result.Describe();
    }
    std::cout << "\npairs with a strike: " << struck << " of " << pairs << '\n';
    CPPUNIT_ASSERT_MESSAGE(failures.str(), failures.str().empty());
  }

 private:
  struct CellResult {
    size_t strikes = 0;
    std::vector<Violation> violations;
    std::vector<std::string> unfinished;
    bool Clean() const { return violations.empty() && unfinished.empty(); }
    std::string Describe() const {
      std::ostringstream text;
      text << strikes << " strikes\n";
      for (const Violation& violation : violations) {
        text << "  " << NameOf(violation.promise) << ": " << violation.what
             << '\n';
      }
      for (const std::string& left : unfinished) text << "  " << left << '\n';
      return text.str();
    }
  };

  static CellResult RunCell(const std::vector<Strike>& strikes, int seed) {
    World world(QuickWorld(), static_cast<uint64_t>(seed));
    ApplyFirstRecords(&world);
    world.Run(kWarmUp);
    Striker striker(&world, strikes, static_cast<uint64_t>(seed));
    ScheduleWorkload(&world);
    world.Run(kWorkloadTime + kAfterWorkload);
    world.AskJobs();
    world.Run(kBeforeLook);
    return {.strikes = striker.strikes(),
            .violations = Check(world),
            .unfinished = Unfinished(world)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace quetzal::testing
