// Injects every fault at every step, against the production decision cores in
// virtual time. Prints the matrix. A combination passes only if its fault was
// injected, no guarantee was violated and all work ended after the fault
// healed.
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
constexpr Milliseconds kJobQueryTime{2'000};

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(NothingBreaksWithoutFaults);
  CPPUNIT_TEST(EveryFaultAtEveryStep);
  CPPUNIT_TEST(PairsOfFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingBreaksWithoutFaults() {
    const CombinationResult result = RunCombination({}, 1);
    CPPUNIT_ASSERT_MESSAGE(result.Describe(), result.Clean());
  }

  void EveryFaultAtEveryStep() {
    std::ostringstream failures;
    size_t passed = 0;
    size_t not_applicable = 0;
    size_t not_injected = 0;
    std::cout << "\nstep x fault (. passed, - not applicable, o not struck, "
                 "X failed)\n";
    for (const Step& step : AllSteps()) {
      std::cout << step.name << std::string(14 - step.name.size(), ' ');
      for (const Fault& fault : AllFaults()) {
        if (!IsApplicable(step, fault)) {
          ++not_applicable;
          std::cout << '-';
          continue;
        }
        const CombinationResult result = RunCombination({{step, fault}}, 7);
        if (result.injected_count == 0) {
          ++not_injected;
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
              << ", not struck " << not_injected << '\n';
    CPPUNIT_ASSERT_MESSAGE(failures.str(), failures.str().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, not_injected);
  }

  void PairsOfFaults() {
    const char* const chosen = std::getenv("QUETZAL_PAIRS");
    const int pairs = chosen == nullptr ? 250 : std::atoi(chosen);
    std::ostringstream failures;
    size_t runs_with_fault = 0;
    for (int seed = 1; seed <= pairs; ++seed) {
      const std::vector<PlannedFault> planned_faults = RandomFaults(seed);
      const CombinationResult result = RunCombination(planned_faults, seed);
      if (result.injected_count > 0) ++runs_with_fault;
      if (result.Clean()) continue;
      failures << "seed " << seed << ": ";
      for (const PlannedFault& planned : planned_faults) {
        failures << planned.step.name << " x " << planned.fault.name << ", ";
      }
      failures << result.Describe();
    }
    std::cout << "\npairs with a strike: " << runs_with_fault << " of " << pairs
              << '\n';
    CPPUNIT_ASSERT_MESSAGE(failures.str(), failures.str().empty());
  }

 private:
  struct CombinationResult {
    size_t injected_count = 0;
    std::vector<Violation> violations;
    std::vector<std::string> unfinished;
    bool Clean() const { return violations.empty() && unfinished.empty(); }
    std::string Describe() const {
      std::ostringstream text;
      text << injected_count << " strikes\n";
      for (const Violation& violation : violations) {
        text << "  " << NameOf(violation.guarantee) << ": " << violation.what
             << '\n';
      }
      for (const std::string& work : unfinished) text << "  " << work << '\n';
      return text.str();
    }
  };

  static CombinationResult RunCombination(
      const std::vector<PlannedFault>& planned_faults, int seed) {
    World world(ShortLeaseSettings(), static_cast<uint64_t>(seed));
    ApplyInitialRecords(&world);
    world.Run(kWarmUp);
    FaultInjector injector(&world, planned_faults, static_cast<uint64_t>(seed));
    ScheduleWorkload(&world);
    world.Run(kWorkloadTime + kAfterWorkload);
    world.RefreshJobStates();
    world.Run(kJobQueryTime);
    return {.injected_count = injector.injected_count(),
            .violations = Check(world),
            .unfinished = UnfinishedWork(world)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace quetzal::testing
