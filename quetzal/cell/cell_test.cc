#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::kRunFloor;
using testing::Task;

class CellTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellTest);
  CPPUNIT_TEST(RunsAJobOfStepsToItsEnd);
  CPPUNIT_TEST(NeverExceedsAWorkersCapacity);
  CPPUNIT_TEST(KeepsATeamWithinItsLimit);
  CPPUNIT_TEST(FailsAJobAfterItsAttempts);
  CPPUNIT_TEST(AGangStartsWholeOrNotAtAll);
  CPPUNIT_TEST(AGangsFailureCountsInAnyOrderOfReports);
  CPPUNIT_TEST(AStartWithoutAnAnswerIsStoppedBeforeTheNext);
  CPPUNIT_TEST(AcknowledgesEndsOnlyOnceStored);
  CPPUNIT_TEST(
      TasksOfAnUnreachableWorkerStartElsewhereOnlyAfterTheLeaseExpires);
  CPPUNIT_TEST(OnlyAllowedWorkersAreUsed);
  CPPUNIT_TEST(HasOneWritePerJobInFlight);
  CPPUNIT_TEST(ADrainingWorkerGetsNoNewTasks);
  CPPUNIT_TEST(ANewRunIsNotConsideredStalled);
  CPPUNIT_TEST(ARunThatTakesLongerThanEstimatedGoesOn);
  CPPUNIT_TEST(AStalledRunStartsElsewhere);
  CPPUNIT_TEST(AWorkerThatLeavesAStartUnansweredGetsNoMore);
  CPPUNIT_TEST(ALostAnswerToAStartKeepsTheWorkerInUse);
  CPPUNIT_TEST(AGangWithoutAmountsStartsOnAnyNumberOfWorkers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAJobOfStepsToItsEnd() {
    FakeFleet fleet(2);
    fleet.Recover();
    StepSpec second = FakeFleet::MakeStep(1);
    second.after = {0};
    fleet.cell()->OnJob(
        FakeFleet::MakeJob("a", {FakeFleet::MakeStep(2), second}), Revision{1},
        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), TaskOutcome::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("a", 1, 0)).End(Task("a", 1, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(kRunFloor + 1, fleet.starts_[0].order.run);
  }

  void NeverExceedsAWorkersCapacity() {
    FakeFleet fleet(3);
    fleet.Recover();
    for (int i = 0; i < 10; ++i) {
      fleet.cell()->OnJob(
          FakeFleet::MakeJob("j" + std::to_string(i), {FakeFleet::MakeStep(3)}),
          Revision{1}, std::nullopt, fleet.now());
    }
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{12}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
    // A new placer counts the running tasks before it starts others.
    fleet.StartTerm(Fence{9}, 32);
    for (int i = 0; i < 10; ++i) {
      fleet.cell()->OnJob(
          FakeFleet::MakeJob("j" + std::to_string(i), {FakeFleet::MakeStep(3)}),
          Revision{1}, std::nullopt, fleet.now());
    }
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{12}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
  }

  void KeepsATeamWithinItsLimit() {
    FakeFleet fleet(3);
    fleet.SetLimit({.cpu_milli = 5'000});
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(10)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.running());
  }

  void FailsAJobAfterItsAttempts() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    for (int i = 0; i < 2; ++i) {
      fleet.Run(Milliseconds(5'000));
      fleet.WorkerOf(Task("a", 0, 0))
          .End(Task("a", 0, 0), TaskOutcome::kFailed);
    }
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // The sum of what fits on each worker is beyond an int.
  void AGangWithoutAmountsStartsOnAnyNumberOfWorkers() {
    for (int workers = 1; workers <= 8; ++workers) {
      FakeFleet fleet(workers);
      fleet.Recover();
      StepSpec gang = FakeFleet::MakeStep(2);
      gang.demand = {};
      gang.gang = true;
      fleet.cell()->OnJob(FakeFleet::MakeJob("a", {gang}), Revision{1},
                          std::nullopt, fleet.now());
      fleet.Run(Milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    }
  }

  void AGangStartsWholeOrNotAtAll() {
    FakeFleet fleet(2);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(8);
    gang.gang = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {gang}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("b", 0, 0)).End(Task("b", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.running());
    fleet.WorkerOf(Task("a", 0, 3)).End(Task("a", 0, 3), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  void AGangsFailureCountsInAnyOrderOfReports() {
    FakeFleet fleet(2);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(8);
    gang.gang = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {gang}), Revision{1},
                        std::nullopt, fleet.now());
    for (int round = 0; round < 2; ++round) {
      fleet.Run(Milliseconds(5'000));
      CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.running());
      // Members that ended because another failed are reported before it.
      std::vector<FakeWorker*> workers;
      for (auto& [id, worker] : fleet.workers_) workers.push_back(&worker);
      for (FakeWorker* const worker : workers) {
        const auto running = worker->running;
        for (const auto& [task, run] : running) {
          const bool fails =
              worker == workers[1] && task == running.begin()->first;
          worker->End(task, fails ? TaskOutcome::kFailed
                                  : TaskOutcome::kGangMemberEnded);
        }
      }
      workers[1]->unresponsive = true;
      fleet.Run(Milliseconds(900));
      workers[1]->unresponsive = false;
    }
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{16}, fleet.starts_.size());
  }

  void AStartWithoutAnAnswerIsStoppedBeforeTheNext() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.start_outcome_ = OrderOutcome::kUnknown;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(10));
    fleet.start_outcome_ = OrderOutcome::kDone;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[1].order.run > fleet.starts_[0].order.run);
  }

  void AcknowledgesEndsOnlyOnceStored() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.store_up_ = false;
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, worker.acknowledged_end);
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, worker.acknowledged_end);
  }

  void TasksOfAnUnreachableWorkerStartElsewhereOnlyAfterTheLeaseExpires() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.Run(CellSettings{}.max_lease);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void OnlyAllowedWorkersAreUsed() {
    FakeFleet fleet(4, AdviceConfig{.per_call_ms = 10,
                                    .per_worker_ms = 1,
                                    .validity = Milliseconds(2'500)});
    fleet.denied_ = {WorkerId("w-0"), WorkerId("w-2")};
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(8)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.starts_.size());
    for (const StartAction& start : fleet.starts_) {
      CPPUNIT_ASSERT(!fleet.denied_.contains(start.worker.id));
      CPPUNIT_ASSERT_EQUAL(std::string("p"), start.order.ticket);
    }
  }

  void HasOneWritePerJobInFlight() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.store_up_ = false;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(2)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    const auto first = fleet.cell()->TakeProgressWrites(10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.size());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.cell()->TakeProgressWrites(10).empty());
    fleet.cell()->OnProgressWriteFailed(JobId("a"));
    const auto second = fleet.cell()->TakeProgressWrites(10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, second.size());
    CPPUNIT_ASSERT(second[0].version > first[0].version);
  }

  void ANewRunIsNotConsideredStalled() {
    FakeFleet fleet(1);
    fleet.Recover();
    // All run lists of the first second report zero percent.
    for (auto& [id, worker] : fleet.workers_) worker.fixed_percent = 0;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ARunThatTakesLongerThanEstimatedGoesOn() {
    FakeFleet fleet(1);
    fleet.Recover();
    for (auto& [id, worker] : fleet.workers_) worker.fixed_percent = 100;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void AStalledRunStartsElsewhere() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(4)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& stalled = fleet.WorkerOf(Task("a", 0, 0));
    stalled.fixed_percent = 7;
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT(stalled.running.empty());
    CPPUNIT_ASSERT(&fleet.WorkerOf(Task("a", 0, 0)) != &stalled);
    CPPUNIT_ASSERT(fleet.stops_ >= 1);
  }

  void ADrainingWorkerGetsNoNewTasks() {
    FakeFleet fleet(2);
    WorkerEntry draining = fleet.workers_.begin()->second.entry;
    draining.draining = true;
    fleet.Recover();
    fleet.cell()->OnWorkerEntry(draining, fleet.now());
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(8)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    for (const StartAction& start : fleet.starts_) {
      CPPUNIT_ASSERT(start.worker.id != draining.id);
    }
  }

  // Replays a worker that becomes unreachable under load: its last poll was
  // answered a moment ago, and it has most capacity free, as nothing starts
  // there.
  void AWorkerThatLeavesAStartUnansweredGetsNoMore() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    fleet.hold_polls_ = true;
    for (int i = 0; i < 4; ++i) {
      fleet.cell()->OnJob(
          FakeFleet::MakeJob("a" + std::to_string(i), {FakeFleet::MakeStep(1)}),
          Revision{1}, std::nullopt, fleet.now());
      fleet.Run(Milliseconds(400));
    }
    // One start at each of the two workers.
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    const StartAction first = fleet.starts_.front();
    fleet.cell()->OnStartAnswer(first.worker.id, first.order,
                                {.outcome = OrderOutcome::kUnknown},
                                fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.size() > 2);
  }

  // Replays a flood during which some answers to orders are lost: their workers
  // are healthy, and their capacity is needed.
  void ALostAnswerToAStartKeepsTheWorkerInUse() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    for (size_t i = 0; i < 3; ++i) {
      fleet.cell()->OnJob(
          FakeFleet::MakeJob("a" + std::to_string(i), {FakeFleet::MakeStep(1)}),
          Revision{1}, std::nullopt, fleet.now());
      fleet.Run(Milliseconds(400));
      CPPUNIT_ASSERT_EQUAL(i + 1, fleet.starts_.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellTest);

}  // namespace
}  // namespace quetzal
