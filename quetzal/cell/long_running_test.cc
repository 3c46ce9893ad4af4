#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::kRunFloor;
using testing::Task;

constexpr int kAtWork = 100;

class LongRunningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongRunningTest);
  CPPUNIT_TEST(ATaskIsStartedAgainHoweverItEnds);
  CPPUNIT_TEST(EndsAreAcknowledgedWithoutAWriteForEach);
  CPPUNIT_TEST(ALaterTermUsesHigherRunNumbers);
  CPPUNIT_TEST(ATakeoverKeepsWhatRuns);
  CPPUNIT_TEST(ACancelEndsTheJob);
  CPPUNIT_TEST(ATaskThatServedDoesNotDiscreditItsWorker);
  CPPUNIT_TEST(ACrashingTaskIsNotStartedInATightLoop);
  CPPUNIT_TEST(AStartThatWasListedGoesOnWithoutItsAnswer);
  CPPUNIT_TEST(AStartThatWasNotListedIsStoppedWithoutItsAnswer);
  CPPUNIT_TEST(AGangRestartsWhole);
  CPPUNIT_TEST(BestEffortWorkYieldsToServingTasksBesideIt);
  CPPUNIT_TEST(BestEffortWorkAvoidsServingTasks);
  CPPUNIT_TEST(AFencedPaceOrderEndsTheTerm);
  CPPUNIT_TEST(APaceOrderWithoutEffectIsRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  static StepSpec MakeLongRunningStep(int count) {
    StepSpec step = FakeFleet::MakeStep(count);
    step.long_running = true;
    step.latency_target = Milliseconds(100);
    return step;
  }

  static void Submit(FakeFleet* fleet, const std::string& id,
                     const StepSpec& step) {
    fleet->cell()->OnJob(FakeFleet::MakeJob(id, {step}), Revision{1},
                         std::nullopt, fleet->now());
  }

  static void SetPercent(FakeFleet* fleet, int percent) {
    for (auto& [id, worker] : fleet->workers_) worker.fixed_percent = percent;
  }

  void ATaskIsStartedAgainHoweverItEnds() {
    FakeFleet fleet(2);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "a", MakeLongRunningStep(2));
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    // More often than a task may fail otherwise.
    for (const TaskOutcome how :
         {TaskOutcome::kFailed, TaskOutcome::kFailed, TaskOutcome::kFailed,
          TaskOutcome::kDone, TaskOutcome::kStopped,
          TaskOutcome::kLeaseExpired}) {
      fleet.Run(Milliseconds(5'000));
      fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), how);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
      fleet.Run(Milliseconds(1'500));
      CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    }
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
    CPPUNIT_ASSERT_EQUAL(size_t{2 + 6}, fleet.starts_.size());
  }

  void EndsAreAcknowledgedWithoutAWriteForEach() {
    FakeFleet fleet(1);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "a", MakeLongRunningStep(1));
    fleet.Run(Milliseconds(50));
    const uint64_t stored_version = fleet.stored_.at(JobId("a")).version;
    for (int i = 0; i < 5; ++i) {
      fleet.Run(Milliseconds(5'000));
      FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
      worker.End(Task("a", 0, 0), TaskOutcome::kFailed);
      fleet.Run(Milliseconds(2'500));
      CPPUNIT_ASSERT(worker.ended.empty());
    }
    CPPUNIT_ASSERT_EQUAL(stored_version, fleet.stored_.at(JobId("a")).version);
  }

  // Workers refuse runs that are not higher than one that ended there.
  void ALaterTermUsesHigherRunNumbers() {
    FakeFleet fleet(1);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    const AcceptedJob job = FakeFleet::MakeJob("a", {MakeLongRunningStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    int64_t highest = 0;
    int64_t floor = kRunFloor;
    for (int term = 0; term < 3; ++term) {
      fleet.Run(Milliseconds(50));
      for (int i = 0; i < 40; ++i) {
        fleet.Run(Milliseconds(4'000));
        FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
        CPPUNIT_ASSERT(worker.running.at(Task("a", 0, 0)) > highest);
        highest = worker.running.at(Task("a", 0, 0));
        worker.End(Task("a", 0, 0), TaskOutcome::kFailed);
        fleet.Run(Milliseconds(1'500));
      }
      floor += 16;
      fleet.StartTerm(Fence{static_cast<uint64_t>(20 + term)}, floor);
      auto progress =
          DecodeProgress(job.spec, fleet.stored_.at(JobId("a")).value);
      CPPUNIT_ASSERT(progress);
      fleet.cell()->OnJob(job, Revision{1}, progress.value(), fleet.now());
      fleet.Recover();
    }
  }

  void ATakeoverKeepsWhatRuns() {
    FakeFleet fleet(2);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    const AcceptedJob job = FakeFleet::MakeJob("a", {MakeLongRunningStep(4)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    fleet.StartTerm(Fence{9}, 2 * kRunFloor);
    auto progress =
        DecodeProgress(job.spec, fleet.stored_.at(JobId("a")).value);
    CPPUNIT_ASSERT(progress);
    fleet.cell()->OnJob(job, Revision{1}, progress.value(), fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ACancelEndsTheJob() {
    FakeFleet fleet(2);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "a", MakeLongRunningStep(3));
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCancelled);
  }

  void ATaskThatServedDoesNotDiscreditItsWorker() {
    FakeFleet fleet(1);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "a", MakeLongRunningStep(4));
    for (int i = 0; i < 4; ++i) {
      fleet.Run(Milliseconds(4'000));
      CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
      fleet.WorkerOf(Task("a", 0, i))
          .End(Task("a", 0, i), TaskOutcome::kFailed);
    }
    fleet.Run(Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
  }

  void ACrashingTaskIsNotStartedInATightLoop() {
    FakeFleet fleet(4);
    fleet.Recover();
    Submit(&fleet, "a", MakeLongRunningStep(1));
    for (int i = 0; i < 1'000; ++i) {
      fleet.Run(Milliseconds(20));
      for (const TaskId& task : fleet.RunningTasks()) {
        fleet.WorkerOf(task).End(task, TaskOutcome::kFailed);
      }
    }
    CPPUNIT_ASSERT(fleet.starts_.size() >= 5);
    CPPUNIT_ASSERT(fleet.starts_.size() <= 25);
  }

  void AStartThatWasListedGoesOnWithoutItsAnswer() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    Submit(&fleet, "a", MakeLongRunningStep(1));
    fleet.Run(Milliseconds(1'500));
    ReportUnknown(&fleet);
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AStartThatWasNotListedIsStoppedWithoutItsAnswer() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    fleet.start_outcome_ = OrderOutcome::kUnknown;  // it never arrives
    Submit(&fleet, "a", MakeLongRunningStep(1));
    fleet.Run(Milliseconds(1'000));
    ReportUnknown(&fleet);
    fleet.lose_start_answers_ = false;
    fleet.start_outcome_ = OrderOutcome::kDone;
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void AGangRestartsWhole() {
    FakeFleet fleet(2);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    StepSpec gang = MakeLongRunningStep(4);
    gang.gang = true;
    Submit(&fleet, "a", gang);
    for (const TaskOutcome how : {TaskOutcome::kFailed, TaskOutcome::kDone}) {
      fleet.Run(Milliseconds(5'000));
      CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
      fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), how);
    }
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{3 * 4}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
  }

  void BestEffortWorkYieldsToServingTasksBesideIt() {
    FakeFleet fleet(1);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "serving", MakeLongRunningStep(1));
    StepSpec best_effort = FakeFleet::MakeStep(2);
    best_effort.best_effort = true;
    Submit(&fleet, "fill", best_effort);
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.running());
    FakeWorker& worker = fleet.workers_.begin()->second;
    worker.response_tails[Task("serving", 0, 0)] = Milliseconds(150);
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(0, worker.paces.at(Task("fill", 0, 0)));
    CPPUNIT_ASSERT_EQUAL(0, worker.paces.at(Task("fill", 0, 1)));
    // The serving task itself is never slowed down.
    CPPUNIT_ASSERT(!worker.paces.contains(Task("serving", 0, 0)));
    fleet.cell()->OnCancel(JobId("serving"), fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(kAtWork, worker.paces.at(Task("fill", 0, 0)));
  }

  void BestEffortWorkAvoidsServingTasks() {
    FakeFleet fleet(2);
    fleet.Recover();
    SetPercent(&fleet, kAtWork);
    Submit(&fleet, "serving", MakeLongRunningStep(1));
    fleet.Run(Milliseconds(100));
    StepSpec best_effort = FakeFleet::MakeStep(3, 500);
    best_effort.best_effort = true;
    Submit(&fleet, "fill", best_effort);
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         fleet.WorkerOf(Task("serving", 0, 0)).running.size());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
  }

  // Another placer leads, and this one must not pace its tasks.
  void AFencedPaceOrderEndsTheTerm() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.pace_outcome_ = OrderOutcome::kFenced;
    DisturbServingTask(&fleet);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.resignations_ > 0);
    CPPUNIT_ASSERT(fleet.workers_.begin()->second.paces.empty());
  }

  void APaceOrderWithoutEffectIsRepeated() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.pace_outcome_ = OrderOutcome::kUnknown;
    DisturbServingTask(&fleet);
    fleet.Run(Milliseconds(1'000));
    fleet.pace_outcome_ = OrderOutcome::kDone;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(
        0, fleet.workers_.begin()->second.paces.at(Task("fill", 0, 0)));
  }

 private:
  // Starts a serving task and a best-effort one, which keeps it above its
  // target.
  static void DisturbServingTask(FakeFleet* fleet) {
    SetPercent(fleet, kAtWork);
    Submit(fleet, "serving", MakeLongRunningStep(1));
    StepSpec best_effort = FakeFleet::MakeStep(1);
    best_effort.best_effort = true;
    Submit(fleet, "fill", best_effort);
    fleet->Run(Milliseconds(100));
    fleet->WorkerOf(Task("serving", 0, 0))
        .response_tails[Task("serving", 0, 0)] = Milliseconds(150);
  }

  // Tells the cell that the last start got no answer.
  static void ReportUnknown(FakeFleet* fleet) {
    const StartAction& start = fleet->starts_.back();
    fleet->cell()->OnStartAnswer(start.worker.id, start.order,
                                 {.outcome = OrderOutcome::kUnknown},
                                 fleet->now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTest);

}  // namespace
}  // namespace quetzal
