#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;

class QueuedJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueuedJobTest);
  CPPUNIT_TEST(AnOrderWithoutEffectLeavesTheJobQueued);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnOrderWithoutEffectLeavesTheJobQueued() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.hold_starts_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kQueued);
    fleet.DeliverHeldStarts();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueuedJobTest);

}  // namespace
}  // namespace quetzal
