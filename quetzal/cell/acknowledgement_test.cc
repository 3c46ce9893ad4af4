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
  CPPUNIT_TEST(TasksWhoseEndsAreNotListedYetDontRunAgain);
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

  // Without the store nothing is acknowledged, so the worker has more ends than
  // fit into an answer.
  void TasksWhoseEndsAreNotListedYetDontRunAgain() {
    constexpr int kTasks = 60;
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(kTasks)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.store_up_ = false;
    FakeWorker& worker = fleet.workers_.begin()->second;
    std::set<TaskId> done;
    for (int i = 0; i < kTasks; ++i) {
      // Meanwhile the store is back, and the ends are stored.
      fleet.store_up_ = i > kTasks / 2;
      fleet.Run(Milliseconds(500));
      while (!worker.running.empty()) {
        const TaskId task = worker.running.begin()->first;
        CPPUNIT_ASSERT_MESSAGE("started again", done.insert(task).second);
        worker.End(task, TaskOutcome::kDone);
      }
    }
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgementTest);

}  // namespace
}  // namespace quetzal
