#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::kRunFloor;
using testing::Task;

// Tests that a job outlives its queue's removal from the configuration.
class RemovedQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemovedQueueTest);
  CPPUNIT_TEST(ATaskOfARemovedQueueHasAllAttemptsAfterATakeover);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ATaskOfARemovedQueueHasAllAttemptsAfterATakeover() {
    FakeFleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.StartTerm(Fence{8}, 2 * kRunFloor,
                    FakeFleet::Configuration::kNotLoaded);
    fleet.cell()->OnCatalog(
        std::make_shared<const Catalog>(
            2, std::vector<Queue>{}, std::vector<ServiceConfig>{},
            std::vector{Team{.name = TeamId("t")}}, CatalogLimits{}),
        fleet.now());
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kFailed);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") != JobState::kFailed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovedQueueTest);

}  // namespace
}  // namespace quetzal
