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
  CPPUNIT_TEST(ADecisionSearchesForALimitedNumberOfSteps);
  CPPUNIT_TEST(AllWaitingStepsAreSearchedForInTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnreachedWorkersAreCountedOnceForAllWaitingSteps() {
    constexpr double kMaxFactor = 4;
    CPPUNIT_ASSERT_LESS(kMaxFactor * CpuSecondsPerDecision(/*reached=*/true),
                        CpuSecondsPerDecision(/*reached=*/false));
  }

  void ADecisionSearchesForALimitedNumberOfSteps() {
    FakeFleet fleet(2, kAdvice);
    FillAndAddJobs(&fleet);
    const uint64_t before = Searches(fleet);
    fleet.Run(Milliseconds(10));
    CPPUNIT_ASSERT(Searches(fleet) > before);
    CPPUNIT_ASSERT_LESSEQUAL(uint64_t{kMaxSearchesPerDecision},
                             Searches(fleet) - before);
  }

  void AllWaitingStepsAreSearchedForInTurn() {
    FakeFleet fleet(2, kAdvice);
    FillAndAddJobs(&fleet);
    for (const TaskId& task : fleet.RunningTasks()) {
      fleet.WorkerOf(task).End(task, TaskOutcome::kDone);
    }
    for (int i = 0; i < kWaitingJobs; ++i) {
      fleet.Run(Milliseconds(100));
      for (const TaskId& task : fleet.RunningTasks()) {
        fleet.WorkerOf(task).End(task, TaskOutcome::kDone);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.cell()->waiting_tasks());
  }

 private:
  static constexpr int kMaxSearchesPerDecision = 50;
  static constexpr AdviceConfig kAdvice{
      .per_call_ms = 1, .per_worker_ms = 0.1, .validity = Milliseconds(2'500)};

  static uint64_t Searches(const FakeFleet& fleet) {
    return fleet.metrics().Counter("quetzal_advice_searches_total");
  }
  static void AddJobs(FakeFleet* fleet, int count) {
    for (int i = 0; i < count; ++i) {
      fleet->cell()->OnJob(
          FakeFleet::MakeJob("w" + std::to_string(i), {FakeFleet::MakeStep(1)}),
          Revision{2}, std::nullopt, fleet->now());
    }
  }
  // All capacity is in use, so the jobs wait, and no query is sent for them.
  static void FillAndAddJobs(FakeFleet* fleet) {
    fleet->Recover();
    fleet->cell()->OnJob(FakeFleet::MakeJob("fill", {FakeFleet::MakeStep(8)}),
                         Revision{1}, std::nullopt, fleet->now());
    fleet->Run(Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet->running());
    AddJobs(fleet, kWaitingJobs);
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
