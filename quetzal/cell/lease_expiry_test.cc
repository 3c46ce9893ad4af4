// Tests that a worker's runs aren't given up while it may still execute them.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

class LeaseExpiryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseExpiryTest);
  CPPUNIT_TEST(ARefusedConnectionDoesntEndRuns);
  CPPUNIT_TEST(ARefusedConnectionDoesntEndRunsOfAFormerTerm);
  CPPUNIT_TEST(LeasesExtendedAfterAWorkerLeftTheListAreWaitedFor);
  CPPUNIT_TEST(AWorkerMissingForLongIsConsideredGone);
  CPPUNIT_TEST(ALateEntryOfAFormerIncarnationEndsNoRuns);
  CPPUNIT_TEST(AnEntryOfAFormerIncarnationAttractsNoTasks);
  CPPUNIT_TEST(AStartThatTheNextIncarnationMayExecuteIsStoppedFirst);
  CPPUNIT_TEST(AStaleRunMayHaveRunAlready);
  CPPUNIT_TEST(AFailedCopyOfAStartDoesntEndItsRun);
  CPPUNIT_TEST(AStartThatTheNextIncarnationExecutedIsStoppedFirst);
  CPPUNIT_TEST(AnotherWorkerAtTheAddressEndsRunsAtOnce);
  CPPUNIT_TEST(AnotherWorkerAtAWrongAddressEndsNoRuns);
  CPPUNIT_TEST(ALateListOfTheFormerIncarnationEndsNoRuns);
  CPPUNIT_TEST(AnotherRunOfATaskDoesntStartItAgain);
  CPPUNIT_TEST(AWorkerThatLeftTheListIsNotPolledWithoutPause);
  CPPUNIT_TEST(LeasesThatASuccessorMayExtendDontExpire);
  CPPUNIT_TEST(FormerLeasesThatASuccessorMayExtendDontExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Whatever rejects connections on the way says nothing about the worker.
  void ARefusedConnectionDoesntEndRuns() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& cut_off = fleet.WorkerOf(Task("a", 0, 0));
    cut_off.refuses_connections = true;
    fleet.Run(Milliseconds(7'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void ARefusedConnectionDoesntEndRunsOfAFormerTerm() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& cut_off = fleet.WorkerOf(Task("a", 0, 0));
    cut_off.refuses_connections = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // Its heartbeats don't reach the store, but the polls of the former placer
  // reached it until the takeover.
  void LeasesExtendedAfterAWorkerLeftTheListAreWaitedFor() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& cut_off = fleet.WorkerOf(Task("a", 0, 0));
    fleet.unlisted_ = {cut_off.entry.id};
    fleet.cell()->OnWorkerEntryRemoved(cut_off.entry.id, fleet.now());
    fleet.Run(Milliseconds(2'000));
    cut_off.unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void AWorkerMissingForLongIsConsideredGone() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& lost = fleet.WorkerOf(Task("a", 0, 0));
    lost.unresponsive = true;
    fleet.unlisted_ = {lost.entry.id};
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(5'800));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    // The next term must not wait for it.
    CPPUNIT_ASSERT(!fleet.roster_.contains(lost.entry.id));
  }

  void ALateEntryOfAFormerIncarnationEndsNoRuns() {
    FakeFleet fleet(2);
    fleet.Recover();
    for (auto& [id, worker] : fleet.workers_) {
      worker.entry.incarnation = Incarnation{2};
      fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    }
    fleet.Run(Milliseconds(50));
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(4)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    WorkerEntry former = fleet.WorkerOf(Task("a", 0, 0)).entry;
    former.incarnation = Incarnation{1};
    fleet.cell()->OnWorkerEntry(former, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
  }

  void AnEntryOfAFormerIncarnationAttractsNoTasks() {
    FakeFleet fleet(1);
    FakeWorker& restarted = fleet.workers_.at(WorkerId("w-0"));
    fleet.Recover();
    restarted.entry.incarnation = Incarnation{2};
    fleet.Run(Milliseconds(50));
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    fleet.cell()->OnWorkerEntry(restarted.entry, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AStartThatTheNextIncarnationMayExecuteIsStoppedFirst() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.hold_starts_ = true;
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.held_starts_.size());
    fleet.hold_starts_ = false;
    FakeWorker& restarted = fleet.workers_.at(fleet.held_starts_[0].worker.id);
    restarted.Restart();
    fleet.cell()->OnWorkerEntry(restarted.entry, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.DeliverHeldStarts();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // A copy of the start was executed, and the run has ended since.
  void AStaleRunMayHaveRunAlready() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(20));
    const StartAction start = fleet.starts_.at(0);
    FakeWorker& worker = fleet.WorkerOf(start.order.task);
    worker.End(start.order.task, TaskOutcome::kDone);
    fleet.cell()->OnStartAnswer(
        worker.entry.id, start.order,
        {OrderOutcome::kStaleRun, WorkerTime{worker.clock_ms}}, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AFailedCopyOfAStartDoesntEndItsRun() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.lose_start_answers_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    const StartAction start = fleet.starts_.at(0);
    fleet.cell()->OnStartAnswer(start.worker.id, start.order,
                                {OrderOutcome::kConnectionRefused, {}},
                                fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  // The answer to the start arrives before that to a poll, which the worker
  // answered earlier.
  void AStartThatTheNextIncarnationExecutedIsStoppedFirst() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.hold_polls_ = true;
    for (auto& [id, worker] : fleet.workers_) worker.Restart();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    const StartAction start = fleet.starts_.at(0);
    fleet.cell()->OnPollAnswer(start.worker.id, {.fence = testing::kFence},
                               fleet.now(),
                               {.outcome = OrderOutcome::kDone,
                                .clock = WorkerTime{1},
                                .incarnation = Incarnation{2}},
                               fleet.now());
    fleet.hold_polls_ = false;
    for (const auto& [id, worker] : fleet.workers_) {
      fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    }
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  // Guards the fast way: no lease has to expire.
  void AnotherWorkerAtTheAddressEndsRunsAtOnce() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& replaced = fleet.WorkerOf(Task("a", 0, 0));
    replaced.running.clear();
    replaced.is_replaced = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    // A new placer doesn't wait for it either.
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{2}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
  }

  // The list names an address that isn't the worker's, or no longer.
  void AnotherWorkerAtAWrongAddressEndsNoRuns() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.entry.address = "10.0.1.1:1";
    worker.is_replaced = true;
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void ALateListOfTheFormerIncarnationEndsNoRuns() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(20));
    const Time polled_at = fleet.now();
    for (auto& [id, worker] : fleet.workers_) worker.Restart();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    const StartAction start = fleet.starts_.at(0);
    // The clock of the new incarnation began anew.
    fleet.cell()->OnPollAnswer(start.worker.id, {.fence = testing::kFence},
                               polled_at,
                               {.outcome = OrderOutcome::kDone,
                                .clock = WorkerTime{200'000},
                                .incarnation = Incarnation{1}},
                               fleet.now());
    fleet.hold_polls_ = false;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void AnotherRunOfATaskDoesntStartItAgain() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.running.at(Task("a", 0, 0)) += 5;
    fleet.Run(Milliseconds(500));
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    // Its capacity is free again.
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(4)}),
                        Revision{2}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
  }

  void AWorkerThatLeftTheListIsNotPolledWithoutPause() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.cell()->OnWorkerEntryRemoved(WorkerId("w-0"), fleet.now());
    fleet.Run(Milliseconds(3'000));
    const int polls = fleet.polls_;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.polls_ - polls <= 11);
  }
  // The placer has no valid lease of the leader key, but a majority. Another
  // one may lead that reaches the worker.
  void LeasesThatASuccessorMayExtendDontExpire() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    // Its lease of the leader key was renewed, so no other placer was elected.
    fleet.cell()->OnLeadership(/*is_certain=*/true);
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void FormerLeasesThatASuccessorMayExtendDontExpire() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    fleet.Run(Milliseconds(12'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.cell()->OnLeadership(/*is_certain=*/true);
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseExpiryTest);

}  // namespace
}  // namespace quetzal
