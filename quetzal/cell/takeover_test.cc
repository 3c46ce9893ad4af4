// What a new placer makes of what it finds, and news that come in any order.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeWorker;
using testing::Fleet;
using testing::Task;

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(ANewPlacerAdoptsWhatRuns);
  CPPUNIT_TEST(ANewPlacerWaitsForAWorkerThatItCannotReach);
  CPPUNIT_TEST(ANewPlacerAsksAWorkerThatTheListForgot);
  CPPUNIT_TEST(AWorkerThatStaysOffTheListIsGone);
  CPPUNIT_TEST(AWorkerOutsideTheStoredRosterGetsNothing);
  CPPUNIT_TEST(ANewPlacerJudgesNothingBeforeTheConfigurationCame);
  CPPUNIT_TEST(ARunOfAJobNotKnownYetIsNeitherStoppedNorDoubled);
  CPPUNIT_TEST(AnEndOfAJobNotKnownYetIsNotLost);
  CPPUNIT_TEST(FailuresToldInAnyOrderCountOnceEach);
  CPPUNIT_TEST(ACancelThatIsToldBeforeItsJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewPlacerAdoptsWhatRuns() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(2)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ANewPlacerWaitsForAWorkerThatItCannotReach() {
    Fleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.WorkerOf(Task("a", 0, 0)).silent = true;
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    // Accepted in this term: no former placer can have started it.
    fleet.cell()->OnJob(Fleet::AJob("b", {Fleet::AStep(1)}), Revision{9},
                        std::nullopt, fleet.now());
    fleet.Run(CellSettings{}.max_lease);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         fleet.starts_[1].order.task.job.text());
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
  }

  // The list may forget a worker that runs on: its heartbeats were lost.
  void ANewPlacerAsksAWorkerThatTheListForgot() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(2, 3'000)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& forgotten = fleet.WorkerOf(Task("a", 0, 0));
    fleet.unlisted_ = {forgotten.entry.id};
    forgotten.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), TaskOutcome::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  // It can't be reached either: its leases lapse before its tasks start again.
  void AWorkerThatStaysOffTheListIsGone() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& lost = fleet.WorkerOf(Task("a", 0, 0));
    lost.silent = true;
    fleet.unlisted_ = {lost.entry.id};
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    // Nothing is left of it for the next term to wait for.
    CPPUNIT_ASSERT(!fleet.roster_.contains(lost.entry.id));
  }

  void AWorkerOutsideTheStoredRosterGetsNothing() {
    Fleet fleet(2);
    fleet.stores_roster_ = false;
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    fleet.stores_roster_ = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  // Two attempts are allowed; without the configuration it would be one.
  void ANewPlacerJudgesNothingBeforeTheConfigurationCame() {
    Fleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.NewTerm(Fence{9}, 32, Fleet::Configuration::kOnTheWay);
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

  void ARunOfAJobNotKnownYetIsNeitherStoppedNorDoubled() {
    Fleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(4)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.NewTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("b", {Fleet::AStep(1)}), Revision{9},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!fleet.over_capacity_);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
  }

  void AnEndOfAJobNotKnownYetIsNotLost() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.NewTerm(Fence{9}, 32);
    fleet.store_up_ = true;
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void FailuresToldInAnyOrderCountOnceEach() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    std::vector<FakeWorker*> workers;
    for (auto& [id, worker] : fleet.workers_) workers.push_back(&worker);
    // The second run failed on the worker that is heard first.
    for (FakeWorker* const worker : workers) {
      worker->running.clear();
      worker->ended.clear();
    }
    workers[0]->ended = {{1, Task("a", 0, 0), 18, TaskOutcome::kFailed, ""}};
    workers[1]->ended = {{1, Task("a", 0, 0), 17, TaskOutcome::kFailed, ""}};
    workers[1]->silent = true;
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(1'000));
    // Told again, as it isn't acknowledged while the store is down.
    workers[1]->silent = false;
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void ACancelThatIsToldBeforeItsJob() {
    Fleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCancelled);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

}  // namespace
}  // namespace quetzal
