#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::kRunFloor;

class QueuedJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueuedJobTest);
  CPPUNIT_TEST(AnOrderWithoutEffectLeavesTheJobQueued);
  CPPUNIT_TEST(AnOrderToASilentWorkerLeavesTheJobQueuedAtATakeover);
  CPPUNIT_TEST(ARunThatANewPlacerFindsIsStoredAsBegun);
  CPPUNIT_TEST(ABegunJobIsStoredOnce);
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

  // The roster lists what the worker may run.
  void AnOrderToASilentWorkerLeavesTheJobQueuedAtATakeover() {
    constexpr Milliseconds kUntilClosed{4'000};
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.hold_starts_ = true;
    AddJob(&fleet);
    fleet.Run(Milliseconds(50));
    const WorkerId worker = fleet.starts_.at(0).worker.id;
    fleet.workers_.at(worker).unresponsive = true;
    fleet.Run(kUntilClosed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.roster_.at(worker).runs->size());
    TakeOver(&fleet);
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kQueued);
  }

  void ARunThatANewPlacerFindsIsStoredAsBegun() {
    FakeFleet fleet(1);
    fleet.Recover();
    AddJob(&fleet);
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    TakeOver(&fleet);
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
  }

  void ABegunJobIsStoredOnce() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.store_up_ = false;
    AddJob(&fleet);
    fleet.Run(Milliseconds(50));
    const auto writes = fleet.cell()->TakeProgressWrites(10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, writes.size());
    CPPUNIT_ASSERT(writes[0].state == JobState::kRunning);
    fleet.cell()->OnProgressStored(writes[0].job, writes[0].version);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(!fleet.cell()->has_progress_writes());
  }

 private:
  static void AddJob(FakeFleet* fleet) {
    fleet->cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                         Revision{1}, std::nullopt, fleet->now());
  }
  // By a placer that finds the job without progress.
  static void TakeOver(FakeFleet* fleet) {
    fleet->stored_.clear();
    fleet->StartTerm(Fence{8}, 2 * kRunFloor);
    AddJob(fleet);
    fleet->Recover();
    fleet->Run(Milliseconds(500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueuedJobTest);

}  // namespace
}  // namespace quetzal
