#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;

class LateStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateStartTest);
  CPPUNIT_TEST(AStartThatARestartedWorkerExecutesUnseenDoesntRunTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The worker's clock began anew, so the order's lease lasts in full, while
  // the placer can't reach the worker.
  void AStartThatARestartedWorkerExecutesUnseenDoesntRunTwice() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.hold_starts_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    fleet.hold_starts_ = false;
    const StartAction start = fleet.held_starts_.at(0);
    FakeWorker& worker = fleet.workers_.at(start.worker.id);
    worker.unresponsive = true;
    fleet.cell()->OnStartAnswer(start.worker.id, start.order, {}, fleet.now());
    fleet.Run(Milliseconds(3'000));
    worker.Restart();
    worker.unresponsive = false;
    fleet.DeliverHeldStarts();
    worker.unresponsive = true;
    fleet.Run(Milliseconds(6'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartTest);

}  // namespace
}  // namespace quetzal
