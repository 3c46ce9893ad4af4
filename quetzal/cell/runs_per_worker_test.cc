// Tests that no worker gets more runs of a step than the step allows, whatever
// is known about earlier runs there.
#include <string>
#include <utility>
#include <vector>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

// A step of which at most one task may run on one worker.
StepSpec MakeSpreadStep(int count) {
  StepSpec step = FakeFleet::MakeStep(count);
  step.max_per_worker = 1;
  return step;
}

class RunsPerWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunsPerWorkerTest);
  CPPUNIT_TEST(ARunWhoseStartIsUnderWayCountsWhileConnectionsAreRefused);
  CPPUNIT_TEST(ARunWhoseStartHasNoAnswerCounts);
  CPPUNIT_TEST(ARunWhoseStopHasNoAnswerCounts);
  CPPUNIT_TEST(ARunOfAFormerTermCounts);
  CPPUNIT_TEST(ARunOfAJobThatArrivesLaterCounts);
  CPPUNIT_TEST(AGangIsntStartedBesideMembersOfItsFormerRun);
  CPPUNIT_TEST(AStartUnderWayAtARestartCounts);
  CPPUNIT_TEST(ALateRunBesideANewerOneOfItsTaskIsStopped);
  CPPUNIT_TEST(ALateRunBesideANewerOneOfItsTaskTakesCapacity);
  CPPUNIT_TEST(TwoLateRunsOfATaskAreStopped);
  CPPUNIT_TEST(TwoLateRunsOfATaskTakeCapacity);
  CPPUNIT_TEST(ALateRunInPlaceOfANewerOneEndsWithItsJob);
  CPPUNIT_TEST(ReportedRunsBeyondTheStepsLimitAreLogged);
  CPPUNIT_TEST(ReportedRunsBeyondTheCapacityAreLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ARunWhoseStartIsUnderWayCountsWhileConnectionsAreRefused() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {MakeSpreadStep(3)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.hold_starts_ = true;
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.held_starts_.size());
    fleet.hold_starts_ = false;
    const StartAction late = fleet.held_starts_.at(0);
    fleet.held_starts_.erase(fleet.held_starts_.begin());
    fleet.DeliverHeldStarts();

    FakeWorker& cut_off = fleet.workers_.at(late.worker.id);
    cut_off.refuses_connections = true;
    fleet.Run(Milliseconds(300));
    FakeWorker& other = fleet.WorkerOf(Task("a", 0, 1));
    other.End(Task("a", 0, 1), TaskOutcome::kDone);
    fleet.Run(Milliseconds(100));
    cut_off.refuses_connections = false;
    fleet.Run(Milliseconds(1'000));
    fleet.held_starts_ = {late};
    fleet.DeliverHeldStarts();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, cut_off.running.size());
  }

  void ARunWhoseStartHasNoAnswerCounts() {
    FakeFleet fleet(1);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    fleet.hold_stops_ = true;
    AddJob(&fleet, "a", {MakeSpreadStep(2)});
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.hold_polls_ = true;
    ReportNoAnswer(&fleet, fleet.starts_.at(0));
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.hold_polls_ = false;
    fleet.AnswerHeldPolls();
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.lose_start_answers_ = false;
    fleet.hold_stops_ = false;
    CPPUNIT_ASSERT(!fleet.over_step_limit_);
  }

  void ARunWhoseStopHasNoAnswerCounts() {
    FakeFleet fleet(1);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    AddJob(&fleet, "a", {MakeSpreadStep(2)});
    fleet.Run(Milliseconds(100));
    FakeWorker& worker = fleet.workers_.begin()->second;
    worker.fixed_percent = 50;
    fleet.hold_stops_ = true;
    fleet.Run(Milliseconds(8'000));
    CPPUNIT_ASSERT(fleet.stops_ > 0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.over_step_limit_);
  }

  void ARunOfAFormerTermCounts() {
    FakeFleet fleet(1);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    AddJob(&fleet, "a", {MakeSpreadStep(3)});
    fleet.Run(Milliseconds(100));
    fleet.StartTerm(Fence{8}, 2 * testing::kRunFloor);
    AddJob(&fleet, "a", {MakeSpreadStep(3)});
    fleet.Recover();
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_step_limit_);
  }

  void ARunOfAJobThatArrivesLaterCounts() {
    FakeFleet fleet(1);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    AddJob(&fleet, "a", {MakeSpreadStep(3)});
    fleet.Run(Milliseconds(100));
    fleet.StartTerm(Fence{8}, 2 * testing::kRunFloor);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.IsRunning(Task("a", 0, 0)));
    AddJob(&fleet, "a", {MakeSpreadStep(3)});
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  void AGangIsntStartedBesideMembersOfItsFormerRun() {
    FakeFleet fleet(2);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    StepSpec gang = MakeSpreadStep(2);
    gang.gang = true;
    AddJob(&fleet, "a", {gang});
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    fleet.hold_stops_ = true;
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kFailed);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), TaskOutcome::kStopped);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_step_limit_);
  }

  void AStartUnderWayAtARestartCounts() {
    FakeFleet fleet(1);
    fleet.max_per_worker_ = 1;
    fleet.Recover();
    fleet.hold_starts_ = true;
    AddJob(&fleet, "a", {MakeSpreadStep(2)});
    fleet.Run(Milliseconds(20));
    FakeWorker& worker = fleet.workers_.begin()->second;
    worker.Restart();
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.hold_stops_ = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.DeliverHeldStarts();
    fleet.hold_starts_ = false;
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.hold_stops_ = false;
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_step_limit_);
  }

  void ALateRunBesideANewerOneOfItsTaskIsStopped() {
    FakeFleet fleet(1);
    const StartAction late = RunLateStartBesideANewerRun(&fleet);
    fleet.Run(Milliseconds(1'000));
    FakeWorker& worker = fleet.workers_.begin()->second;
    CPPUNIT_ASSERT(worker.runs_beside.empty());
    CPPUNIT_ASSERT(worker.running.at(late.order.task) > late.order.run);
  }

  void ALateRunBesideANewerOneOfItsTaskTakesCapacity() {
    FakeFleet fleet(1);
    RunLateStartBesideANewerRun(&fleet);
    fleet.hold_stops_ = true;
    fleet.Run(Milliseconds(100));
    AddJob(&fleet, "b", {FakeFleet::MakeStep(4)});
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
  }

  // The restarted worker executes both starts before it is polled.
  void TwoLateRunsOfATaskAreStopped() {
    FakeFleet fleet(1);
    const StartAction late = ExecuteTwoStartsAfterARestart(&fleet);
    fleet.Run(Milliseconds(1'000));
    FakeWorker& worker = fleet.workers_.begin()->second;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, worker.run_count());
    CPPUNIT_ASSERT(worker.running.at(late.order.task) >
                   fleet.starts_.at(1).order.run);
  }

  void TwoLateRunsOfATaskTakeCapacity() {
    FakeFleet fleet(1);
    ExecuteTwoStartsAfterARestart(&fleet);
    fleet.hold_stops_ = true;
    fleet.Run(Milliseconds(100));
    AddJob(&fleet, "b", {FakeFleet::MakeStep(4)});
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
  }

  void ALateRunInPlaceOfANewerOneEndsWithItsJob() {
    FakeFleet fleet(1);
    const StartAction late = LoseAStart(&fleet);
    FakeWorker& worker = fleet.workers_.begin()->second;
    // The newer run is ordered, and isn't listed before the worker restarts.
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(20));
    worker.Restart();
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.held_starts_ = {late};
    fleet.DeliverHeldStarts();
    fleet.hold_polls_ = false;
    fleet.AnswerHeldPolls();
    fleet.Run(Milliseconds(300));
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.running());
  }

  void ReportedRunsBeyondTheStepsLimitAreLogged() {
    FakeFleet fleet(1);
    fleet.Recover();
    AddJob(&fleet, "a", {MakeSpreadStep(2)});
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, CountBeyond(fleet, "step"));
    fleet.workers_.begin()->second.running[Task("a", 0, 1)] = 17;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, CountBeyond(fleet, "step"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, CountBeyond(fleet, "capacity"));
  }

  void ReportedRunsBeyondTheCapacityAreLogged() {
    FakeFleet fleet(1);
    fleet.Recover();
    AddJob(&fleet, "a", {FakeFleet::MakeStep(5)});
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, CountBeyond(fleet, "capacity"));
    fleet.workers_.begin()->second.running[Task("a", 0, 4)] = 17;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, CountBeyond(fleet, "capacity"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, CountBeyond(fleet, "step"));
  }

 private:
  static uint64_t CountBeyond(const FakeFleet& fleet,
                              const std::string& limit) {
    return fleet.metrics().Counter("quetzal_runs_beyond_limits_total",
                                   {{"limit", limit}});
  }

  static void AddJob(FakeFleet* fleet, const std::string& id,
                     std::vector<StepSpec> steps) {
    fleet->cell()->OnJob(FakeFleet::MakeJob(id, std::move(steps)), Revision{1},
                         std::nullopt, fleet->now());
  }

  static void ReportNoAnswer(FakeFleet* fleet, const StartAction& start) {
    fleet->cell()->OnStartAnswer(start.worker.id, start.order, {},
                                 fleet->now());
  }

  // Returns a start that got no answer and is still under way. Its stop was
  // carried out, so the task is waiting again.
  static StartAction LoseAStart(FakeFleet* fleet) {
    fleet->Recover();
    fleet->hold_starts_ = true;
    AddJob(fleet, "a", {MakeSpreadStep(1)});
    fleet->Run(Milliseconds(20));
    StartAction late = fleet->held_starts_.at(0);
    fleet->held_starts_.clear();
    fleet->hold_starts_ = false;
    ReportNoAnswer(fleet, late);
    while (fleet->starts_.size() < 2) fleet->Run(Milliseconds(10));
    return late;
  }

  // The worker restarts and knows no more of the stop, so it carries the start
  // out beside the task's newer run, later than starts are stopped again.
  static StartAction RunLateStartBesideANewerRun(FakeFleet* fleet) {
    StartAction late = LoseAStart(fleet);
    fleet->Run(CellSettings{}.max_order_delay);
    FakeWorker& worker = fleet->workers_.begin()->second;
    worker.Restart();
    fleet->cell()->OnWorkerEntry(worker.entry, fleet->now());
    fleet->Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, worker.run_count());
    fleet->held_starts_ = {late};
    fleet->DeliverHeldStarts();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, worker.run_count());
    return late;
  }

  // The former incarnation has confirmed the stop of the first start.
  static StartAction ExecuteTwoStartsAfterARestart(FakeFleet* fleet) {
    StartAction first = LoseAStart(fleet);
    FakeWorker& worker = fleet->workers_.begin()->second;
    worker.Restart();
    fleet->cell()->OnWorkerEntry(worker.entry, fleet->now());
    fleet->held_starts_ = {fleet->starts_.at(1), first};
    fleet->DeliverHeldStarts();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, worker.run_count());
    return first;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunsPerWorkerTest);

}  // namespace
}  // namespace quetzal
