// Tests with orders of a former placer that workers execute late.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;

class LateTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateTakeoverTest);
  CPPUNIT_TEST(AFormerPlacersStartThatARestartedWorkerExecutesDoesntRunTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The worker has forgotten all fencing tokens, and the new placer can't reach
  // it.
  void AFormerPlacersStartThatARestartedWorkerExecutesDoesntRunTwice() {
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.hold_starts_ = true;
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    fleet.hold_starts_ = false;
    FakeWorker& worker = fleet.workers_.at(fleet.held_starts_.at(0).worker.id);
    worker.unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(6'000));
    worker.Restart();
    worker.unresponsive = false;
    fleet.DeliverHeldStarts();
    worker.unresponsive = true;
    fleet.Run(Milliseconds(6'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateTakeoverTest);

}  // namespace
}  // namespace quetzal
