// Tests that ends of runs are acknowledged to workers exactly once they are
// stored, whatever gets lost.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

class AcknowledgementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcknowledgementTest);
  CPPUNIT_TEST(AnEndIsAcknowledgedAgainAfterALostPoll);
  CPPUNIT_TEST(AnUnstoredEndIsNotAcknowledgedAfterALapse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnEndIsAcknowledgedAgainAfterALostPoll() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    fleet.store_up_ = false;
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(50));
    // The poll that would acknowledge the end is lost.
    worker.unresponsive = true;
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(600));
    worker.unresponsive = false;
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, worker.acknowledged_end);
  }

  // Ends of long-running tasks need no write, and acknowledging a later one
  // would acknowledge it too.
  void AnUnstoredEndIsNotAcknowledgedAfterALapse() {
    FakeFleet fleet(1);
    fleet.Recover();
    StepSpec lasting = FakeFleet::MakeStep(1);
    lasting.long_running = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {lasting}), Revision{2},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    fleet.store_up_ = false;
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(50));
    worker.unresponsive = true;
    fleet.Run(Milliseconds(8'000));
    worker.unresponsive = false;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, worker.acknowledged_end);
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(worker.acknowledged_end >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgementTest);

}  // namespace
}  // namespace quetzal
