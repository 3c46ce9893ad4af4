#include <ctime>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::kRunFloor;

constexpr int kWaitingJobs = 300;

// Tests that what waits doesn't make decisions last long.
class DecisionCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionCostTest);
  CPPUNIT_TEST(UnreachedWorkersAreCountedOnceForAllWaitingSteps);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnreachedWorkersAreCountedOnceForAllWaitingSteps() {
    constexpr double kMaxFactor = 4;
    CPPUNIT_ASSERT_LESS(kMaxFactor * CpuSecondsPerDecision(/*reached=*/true),
                        CpuSecondsPerDecision(/*reached=*/false));
  }

 private:
  static void AddJobs(FakeFleet* fleet, int count) {
    for (int i = 0; i < count; ++i) {
      fleet->cell()->OnJob(
          FakeFleet::MakeJob("w" + std::to_string(i), {FakeFleet::MakeStep(1)}),
          Revision{2}, std::nullopt, fleet->now());
    }
  }
  // Of a placer after a takeover, while jobs of its own term wait for their
  // team's limit.
  static double CpuSecondsPerDecision(bool reached) {
    constexpr int kWorkers = 400;
    constexpr int kDecisions = 50;
    FakeFleet fleet(kWorkers);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{kWorkers}, fleet.roster_.size());
    for (auto& [id, worker] : fleet.workers_) worker.unresponsive = !reached;
    fleet.StartTerm(Fence{9}, 2 * kRunFloor);
    fleet.SetLimit({.cpu_milli = 1});
    fleet.Recover();
    AddJobs(&fleet, kWaitingJobs);
    const std::clock_t began = std::clock();
    for (int i = 0; i < kDecisions; ++i) {
      fleet.cell()->Decide(fleet.now());
      fleet.cell()->TakeActions();
    }
    return static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionCostTest);

}  // namespace
}  // namespace quetzal
