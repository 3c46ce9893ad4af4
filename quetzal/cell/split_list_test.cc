#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;

class SplitListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SplitListTest);
  CPPUNIT_TEST(AMajorityOfTheRestOfTheListDoesntExpireLeases);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The former placer and three of its five workers are cut off from the store,
  // so that the workers leave the list, and from the successor.
  void AMajorityOfTheRestOfTheListDoesntExpireLeases() {
    FakeFleet fleet(5);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(12)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    for (const auto& [id, worker] : fleet.workers_) {
      if (!worker.running.empty()) fleet.unlisted_.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.unlisted_.size());
    fleet.StartTerm(Fence{9}, 32);
    for (const WorkerId& id : fleet.unlisted_) {
      fleet.workers_.at(id).unresponsive = true;
    }
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    for (int i = 0; i < 1'500; ++i) {
      fleet.Run(Milliseconds(10));
      // The former placer's polls reach them.
      for (const WorkerId& id : fleet.unlisted_) {
        FakeWorker& worker = fleet.workers_.at(id);
        worker.ExtendLease(WorkerTime{worker.clock_ms + 6'000});
      }
    }
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

 private:
  using FakeWorker = testing::FakeWorker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SplitListTest);

}  // namespace
}  // namespace quetzal
