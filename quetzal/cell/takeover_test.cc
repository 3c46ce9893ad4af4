// Tests how a new placer takes over the tasks that run, and that it copes with
// events in any order.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(ANewPlacerAdoptsRunningTasks);
  CPPUNIT_TEST(ANewPlacerWaitsForAnUnreachableWorker);
  CPPUNIT_TEST(ANewPlacerPollsAWorkerMissingFromTheList);
  CPPUNIT_TEST(AWorkerOutsideTheStoredRosterGetsNoTasks);
  CPPUNIT_TEST(ANewPlacerAppliesNoEndsBeforeTheConfigurationIsLoaded);
  CPPUNIT_TEST(ARunOfAnUnknownJobIsNeitherStoppedNorStartedAgain);
  CPPUNIT_TEST(AnEndOfAnUnknownJobIsNotLost);
  CPPUNIT_TEST(FailuresReportedInAnyOrderCountOnceEach);
  CPPUNIT_TEST(AppliesACancelThatArrivesBeforeItsJob);
  CPPUNIT_TEST(AFormerJobsCancelDoesntHoldForALaterJobOfItsId);
  CPPUNIT_TEST(AFormerPlacerDoesntStartJobsOfItsSuccessor);
  CPPUNIT_TEST(AStartThatOurOwnHigherFenceRejectedIsRepeated);
  CPPUNIT_TEST(EntriesThatNeverAnsweredHoldUpNoTakeover);
  CPPUNIT_TEST(WithoutAReadableRosterAllListedWorkersCount);
  CPPUNIT_TEST(AFormerPlacerWithAMinorityDoesntGoOn);
  CPPUNIT_TEST(NewWorkersDontMakeAMajority);
  CPPUNIT_TEST(ASilentListedWorkerLeavesTheRoster);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewPlacerAdoptsRunningTasks() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(2)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ANewPlacerWaitsForAnUnreachableWorker() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    // Accepted in this term: no former placer can have started it.
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{9}, std::nullopt, fleet.now());
    fleet.Run(CellSettings{}.max_lease);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         fleet.starts_[1].order.task.job.text());
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
  }

  // A worker that still runs drops off the list if its heartbeats are lost.
  void ANewPlacerPollsAWorkerMissingFromTheList() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job =
        FakeFleet::MakeJob("a", {FakeFleet::MakeStep(2, 3'000)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& unlisted = fleet.WorkerOf(Task("a", 0, 0));
    fleet.unlisted_ = {unlisted.entry.id};
    unlisted.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  void AWorkerOutsideTheStoredRosterGetsNoTasks() {
    FakeFleet fleet(2);
    fleet.roster_writes_succeed_ = false;
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    fleet.roster_writes_succeed_ = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  // The queue allows two attempts; without the configuration it would be one.
  void ANewPlacerAppliesNoEndsBeforeTheConfigurationIsLoaded() {
    FakeFleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.StartTerm(Fence{9}, 32, FakeFleet::Configuration::kNotLoaded);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kFailed);
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") != JobState::kFailed);
    fleet.Configure();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  void ARunOfAnUnknownJobIsNeitherStoppedNorStartedAgain() {
    FakeFleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(4)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.StartTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{9}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!fleet.over_capacity_);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
  }

  void AnEndOfAnUnknownJobIsNotLost() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.StartTerm(Fence{9}, 32);
    fleet.store_up_ = true;
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void FailuresReportedInAnyOrderCountOnceEach() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    std::vector<FakeWorker*> workers;
    for (auto& [id, worker] : fleet.workers_) workers.push_back(&worker);
    // The worker that answers first reports the failure of the second run.
    for (FakeWorker* const worker : workers) {
      worker->running.clear();
      worker->ended.clear();
    }
    workers[0]->ended = {{1, Task("a", 0, 0), 18, TaskOutcome::kFailed, ""}};
    workers[1]->ended = {{1, Task("a", 0, 0), 17, TaskOutcome::kFailed, ""}};
    workers[1]->unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(1'000));
    // Reported again, as it isn't acknowledged while the store is down.
    workers[1]->unresponsive = false;
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AppliesACancelThatArrivesBeforeItsJob() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCancelled);
  }

  // Guards against a job that is cancelled without cause: what is left of the
  // first job with that id was removed from the store.
  void AFormerJobsCancelDoesntHoldForALaterJobOfItsId() {
    FakeFleet fleet(1);
    fleet.cell()->OnEndedJob(JobId("a"), fleet.now());
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Recover();
    const std::vector<JobId> expired = fleet.cell()->TakeExpiredJobs(
        10, fleet.now() + CellSettings{}.finished_job_retention);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, expired.size());
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  // Its lease of the leader key has ended, but workers obey it until they learn
  // of the successor.
  void AFormerPlacerDoesntStartJobsOfItsSuccessor() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(4)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{2}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
    // The store renewed its lease after all, so no other placer was elected.
    fleet.cell()->OnLeadership(/*is_certain=*/true);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.starts_.size());
  }

  void AStartThatOurOwnHigherFenceRejectedIsRepeated() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.hold_starts_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    const StartAction start = fleet.starts_.at(0);
    fleet.hold_starts_ = false;
    fleet.cell()->OnFenceRaised(Fence{9});
    fleet.cell()->OnStartAnswer(start.worker.id, start.order,
                                {OrderOutcome::kFenced, {}}, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, fleet.resignations_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  void EntriesThatNeverAnsweredHoldUpNoTakeover() {
    FakeFleet fleet(6);
    for (int i = 1; i < 6; ++i) {
      fleet.workers_.at(WorkerId("w-" + std::to_string(i))).unresponsive = true;
    }
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{2}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT(fleet.cell()->HasMajority(Milliseconds(2'000), fleet.now()));
  }

  void WithoutAReadableRosterAllListedWorkersCount() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.is_roster_readable_ = false;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // The leases of the others have expired there, not their fences.
  void AFormerPlacerWithAMinorityDoesntGoOn() {
    FakeFleet fleet(5);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(20)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    int reachable = 1;
    for (auto& [id, worker] : fleet.workers_) {
      worker.unresponsive = reachable-- <= 0;
    }
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(
        !fleet.cell()->HasMajority(Milliseconds(2'400), fleet.now()));
  }

  // Three of the former placer's five workers may still obey it.
  void NewWorkersDontMakeAMajority() {
    FakeFleet fleet(8);
    for (auto& [id, worker] : fleet.workers_) {
      if (id >= WorkerId("w-5")) continue;
      fleet.roster_[id] = {worker.entry.address, worker.entry.capacity};
      worker.unresponsive = id >= WorkerId("w-2");
    }
    fleet.StartTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(
        !fleet.cell()->HasMajority(Milliseconds(2'400), fleet.now()));
  }

  void ASilentListedWorkerLeavesTheRoster() {
    FakeFleet fleet(3);
    for (const auto& [id, worker] : fleet.workers_) {
      fleet.roster_[id] = {worker.entry.address, worker.entry.capacity};
    }
    fleet.workers_.at(WorkerId("w-2")).unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.roster_.contains(WorkerId("w-2")));
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(!fleet.roster_.contains(WorkerId("w-2")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

}  // namespace
}  // namespace quetzal
