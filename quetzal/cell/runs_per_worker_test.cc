// Tests that no worker gets more runs of a step than the step allows, whatever
// is known about earlier runs there.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

// A step of which at most one task may run on one worker.
StepSpec MakeSpreadStep(int count) {
  StepSpec step = FakeFleet::MakeStep(count);
  step.max_per_worker = 1;
  return step;
}

class RunsPerWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunsPerWorkerTest);
  CPPUNIT_TEST(ARunWhoseStartIsUnderWayCountsWhileConnectionsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ARunWhoseStartIsUnderWayCountsWhileConnectionsAreRefused() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {MakeSpreadStep(3)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.hold_starts_ = true;
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.held_starts_.size());
    fleet.hold_starts_ = false;
    const StartAction late = fleet.held_starts_.at(0);
    fleet.held_starts_.erase(fleet.held_starts_.begin());
    fleet.DeliverHeldStarts();

    FakeWorker& cut_off = fleet.workers_.at(late.worker.id);
    cut_off.refuses_connections = true;
    fleet.Run(Milliseconds(300));
    FakeWorker& other = fleet.WorkerOf(Task("a", 0, 1));
    other.End(Task("a", 0, 1), TaskOutcome::kDone);
    fleet.Run(Milliseconds(100));
    cut_off.refuses_connections = false;
    fleet.Run(Milliseconds(1'000));
    fleet.held_starts_ = {late};
    fleet.DeliverHeldStarts();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, cut_off.running.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunsPerWorkerTest);

}  // namespace
}  // namespace quetzal
