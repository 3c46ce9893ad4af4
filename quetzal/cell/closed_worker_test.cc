// Tests that a takeover waits only for the runs that the former placer stored
// for workers that it couldn't reach or that drained.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

constexpr Milliseconds kUntilClosed{4'000};
constexpr Milliseconds kShortly{500};
constexpr Milliseconds kUntilLeasesExpired{10'000};

class ClosedWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClosedWorkerTest);
  CPPUNIT_TEST(ASilentWorkerDelaysOnlyItsOwnTasks);
  CPPUNIT_TEST(AWorkerThatDrainsDelaysOnlyItsOwnTasks);
  CPPUNIT_TEST(AnIdleSilentWorkerDelaysNothing);
  CPPUNIT_TEST(AWorkerThatIsBackGetsNoTasksBeforeItIsOpenInTheStore);
  CPPUNIT_TEST(AWorkerThatIsBackIsAccountedForAgain);
  CPPUNIT_TEST(ATaskOfASilentWorkerThatRunsElsewhereGoesOn);
  CPPUNIT_TEST(AGangOfASilentWorkerThatRunsElsewhereGoesOn);
  CPPUNIT_TEST(RunsOfASilentWorkerCountAgainstTheTeamsLimit);
  CPPUNIT_TEST(RunsOfASilentWorkerAreAdoptedWhenItIsBack);
  CPPUNIT_TEST(ClosedWorkersCountForTheMajority);
  CPPUNIT_TEST(ALaterTakeoverKnowsTheRunsToo);
  CPPUNIT_TEST(AListOfAnOlderTermIsNotReliedOn);
  CPPUNIT_TEST(ATaskWhoseEndIsNotStoredWaitsForItsWorker);
  CPPUNIT_TEST(RunsOfACancelledJobCountAgainstTheTeamsLimit);
  CPPUNIT_TEST(AReportedRunOfAnEndedJobCountsAgainstTheTeamsLimit);
  CPPUNIT_TEST(OnePollWithoutAnswerClosesNoWorker);
  CPPUNIT_TEST(AStopThatPrecededTheFirstListIsRepeated);
  CPPUNIT_TEST(AMemberOfABrokenGangThatIsListedLaterIsStopped);
  CPPUNIT_TEST(AnAdoptedGangIsStartedAgainAfterAStaleListEndedItsFormerRun);
  CPPUNIT_TEST(ARunThatWasListedOnceHasNotStalled);
  CPPUNIT_TEST(ListedRunsOfTwoRunsOfAGangAreAttached);
  CPPUNIT_TEST(AWorkerThatWasCutOffDuringAnOutageOfTheStoreGetsTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ASilentWorkerDelaysOnlyItsOwnTasks() {
    FakeFleet fleet(3);
    FakeWorker& silent = StartAndSilence(&fleet);
    TakeOver(&fleet);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "a"));
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT(silent.running.empty());
  }

  void AWorkerThatDrainsDelaysOnlyItsOwnTasks() {
    FakeFleet fleet(3);
    fleet.Recover();
    AddJob(&fleet, "a");
    fleet.Run(kShortly);
    FakeWorker& leaving = fleet.WorkerOf(Task("a", 0, 0));
    leaving.entry.draining = true;
    fleet.cell()->OnWorkerEntry(leaving.entry, fleet.now());
    fleet.Run(kShortly);
    leaving.unresponsive = true;
    TakeOver(&fleet);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void AnIdleSilentWorkerDelaysNothing() {
    FakeFleet fleet(3);
    fleet.Recover();
    AddJob(&fleet, "a");
    fleet.Run(kShortly);
    FakeWorker* idle = nullptr;
    for (auto& [id, worker] : fleet.workers_) {
      if (worker.running.empty()) idle = &worker;
    }
    idle->unresponsive = true;
    fleet.Run(kUntilClosed);
    TakeOver(&fleet);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    CPPUNIT_ASSERT(fleet.roster_.contains(idle->entry.id));
  }

  void AWorkerThatIsBackGetsNoTasksBeforeItIsOpenInTheStore() {
    FakeFleet fleet(1);
    FakeWorker& worker = StartAndSilence(&fleet);
    fleet.roster_writes_succeed_ = false;
    worker.unresponsive = false;
    AddJob(&fleet, "b");
    fleet.Run(kUntilClosed);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, StartsOf(fleet, "b"));
    fleet.roster_writes_succeed_ = true;
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "b"));
  }

  void AWorkerThatIsBackIsAccountedForAgain() {
    FakeFleet fleet(3);
    FakeWorker& worker = StartAndSilence(&fleet);
    worker.unresponsive = false;
    fleet.Run(kUntilClosed);
    for (auto& [id, other] : fleet.workers_) {
      other.entry.draining = &other != &worker;
      fleet.cell()->OnWorkerEntry(other.entry, fleet.now());
    }
    AddJob(&fleet, "c");
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(worker.running.contains(Task("c", 0, 0)));
    worker.unresponsive = true;
    for (auto& [id, other] : fleet.workers_) other.entry.draining = false;
    fleet.StartTerm(Fence{9}, 32);
    AddJob(&fleet, "a");
    AddJob(&fleet, "c");
    fleet.Recover();
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, StartsOf(fleet, "c"));
  }

  // Its leases expired and the task was started elsewhere, but the store still
  // holds the list of before.
  void ATaskOfASilentWorkerThatRunsElsewhereGoesOn() {
    FakeFleet fleet(3);
    StartAndSilence(&fleet);
    fleet.roster_writes_succeed_ = false;
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("a", 0, 0)));
    TakeOver(&fleet);
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void AGangOfASilentWorkerThatRunsElsewhereGoesOn() {
    FakeFleet fleet(3);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(2);
    gang.gang = true;
    const AcceptedJob job = FakeFleet::MakeJob("g", {gang});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(kShortly);
    fleet.WorkerOf(Task("g", 0, 0)).unresponsive = true;
    fleet.Run(kUntilClosed);
    fleet.roster_writes_succeed_ = false;
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    const int stops = fleet.stops_;
    const size_t starts = fleet.starts_.size();
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(stops, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(starts, fleet.starts_.size());
  }

  void RunsOfASilentWorkerCountAgainstTheTeamsLimit() {
    FakeFleet fleet(3);
    fleet.SetLimit({.cpu_milli = 1'000});
    StartAndSilence(&fleet);
    TakeOver(&fleet);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, StartsOf(fleet, "b"));
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  void RunsOfASilentWorkerAreAdoptedWhenItIsBack() {
    FakeFleet fleet(3);
    FakeWorker& worker = StartAndSilence(&fleet);
    TakeOver(&fleet);
    fleet.Run(kShortly);
    worker.unresponsive = false;
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT(worker.running.contains(Task("a", 0, 0)));
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  // They may obey the former placer again, which counts them too.
  void ClosedWorkersCountForTheMajority() {
    FakeFleet fleet(8);
    for (auto& [id, worker] : fleet.workers_) {
      if (id >= WorkerId("w-5")) continue;
      fleet.roster_[id] = {worker.entry.address, worker.entry.capacity};
      if (id < WorkerId("w-2")) continue;
      fleet.roster_[id].runs.emplace();
      worker.unresponsive = true;
    }
    fleet.roster_term_ = 1;
    fleet.StartTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(
        !fleet.cell()->HasMajority(Milliseconds(2'400), fleet.now()));
  }

  void ALaterTakeoverKnowsTheRunsToo() {
    FakeFleet fleet(3);
    StartAndSilence(&fleet);
    TakeOver(&fleet);
    fleet.Run(kShortly);
    fleet.StartTerm(Fence{11}, 48);
    AddJob(&fleet, "a");
    AddJob(&fleet, "b");
    AddJob(&fleet, "c");
    fleet.Recover();
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("c", 0, 0)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "a"));
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  // A placer of an earlier version led in between and assigned tasks to the
  // worker.
  void AListOfAnOlderTermIsNotReliedOn() {
    FakeFleet fleet(3);
    FakeWorker& worker = StartAndSilence(&fleet);
    worker.running[Task("b", 0, 0)] = 33;
    fleet.StartTerm(Fence{11}, 48);
    AddJob(&fleet, "a");
    AddJob(&fleet, "b");
    fleet.Recover();
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
  }

  // The placer ended after it had stored the roster, before the task's end.
  void ATaskWhoseEndIsNotStoredWaitsForItsWorker() {
    FakeFleet fleet(3);
    fleet.Recover();
    AddJob(&fleet, "a");
    fleet.Run(kShortly);
    FakeWorker& leaving = fleet.WorkerOf(Task("a", 0, 0));
    fleet.store_up_ = false;
    leaving.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(kShortly);
    leaving.entry.draining = true;
    fleet.cell()->OnWorkerEntry(leaving.entry, fleet.now());
    fleet.Run(kShortly);
    StoreRosterOnly(&fleet);
    CPPUNIT_ASSERT(fleet.roster_.at(leaving.entry.id).runs.has_value());
    leaving.unresponsive = true;
    fleet.store_up_ = true;
    TakeOver(&fleet);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "a"));
    leaving.unresponsive = false;
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "a"));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  // The placer can't stop its run, which goes on while its lease lasts.
  void RunsOfACancelledJobCountAgainstTheTeamsLimit() {
    FakeFleet fleet(3);
    fleet.SetLimit({.cpu_milli = 1'000});
    const FakeWorker& silent = StartAndSilence(&fleet);
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCancelled);
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnEndedJob(JobId("a"), fleet.now());
    AddJob(&fleet, "b");
    fleet.Recover();
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, silent.running.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, StartsOf(fleet, "b"));
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, StartsOf(fleet, "b"));
  }

  // It is stopped once it is certain that its job isn't just unknown yet.
  void AReportedRunOfAnEndedJobCountsAgainstTheTeamsLimit() {
    FakeFleet fleet(3);
    fleet.SetLimit({.cpu_milli = 1'000});
    FakeWorker& worker = StartAndSilence(&fleet);
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Run(kShortly);
    worker.unresponsive = false;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnEndedJob(JobId("a"), fleet.now());
    AddJob(&fleet, "b");
    fleet.Recover();
    for (int i = 0; i < 100; ++i) {
      fleet.Run(Milliseconds(50));
      CPPUNIT_ASSERT(fleet.running() <= 1);
    }
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
  }

  // The poll before it waited at the worker.
  void OnePollWithoutAnswerClosesNoWorker() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.Run(kShortly);
    FakeWorker& worker = fleet.workers_.begin()->second;
    const PollRequest request{.fence = testing::kFence,
                              .lease_until = WorkerTime{worker.clock_ms},
                              .wait = CellSettings{}.poll_wait};
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(10));
    const Time sent = fleet.now();
    fleet.Run(request.wait);
    fleet.cell()->OnPollAnswer(worker.entry.id, request, sent,
                               {.outcome = OrderOutcome::kDone,
                                .clock = WorkerTime{worker.clock_ms},
                                .incarnation = worker.entry.incarnation},
                               fleet.now());
    const Time lost = fleet.now();
    constexpr Milliseconds kPollTimeout{1'900};
    fleet.Run(kPollTimeout);
    fleet.cell()->OnPollAnswer(worker.entry.id, request, lost, {}, fleet.now());
    fleet.hold_polls_ = false;
    fleet.roster_writes_succeed_ = false;
    AddJob(&fleet, "a");
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("a", 0, 0)));
  }

  void AMemberOfABrokenGangThatIsListedLaterIsStopped() {
    FakeFleet fleet(3);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(2, 3'000);
    gang.gang = true;
    const AcceptedJob job = FakeFleet::MakeJob("g", {gang});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(kShortly);
    FakeWorker& restarted = fleet.WorkerOf(Task("g", 0, 0));
    FakeWorker& later = fleet.WorkerOf(Task("g", 0, 1));
    later.unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(kShortly);
    restarted.Restart();
    fleet.Run(kShortly);
    later.unresponsive = false;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
  }

  // Its answer arrives after the first list, which tells the incarnation.
  void AStopThatPrecededTheFirstListIsRepeated() {
    constexpr int kDelays = 40;  // in one of them a poll and the stop are due
    for (int i = 0; i < kDelays; ++i) {
      FakeFleet fleet(1);
      fleet.SetLimit({.cpu_milli = 1'000});
      FakeWorker& worker = StartAndSilence(&fleet);
      TakeOver(&fleet);
      fleet.Run(Milliseconds(200) + i * Milliseconds(10));
      worker.Restart();
      fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
      worker.unresponsive = false;
      fleet.cell()->OnCancel(JobId("a"), fleet.now());
      fleet.Run(Milliseconds(3'000));
      CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    }
  }

  // The worker of the stale list answers before those of the present run.
  void AnAdoptedGangIsStartedAgainAfterAStaleListEndedItsFormerRun() {
    FakeFleet fleet(3);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(2);
    gang.demand.cpu_milli = 3'000;
    gang.gang = true;
    const AcceptedJob job = FakeFleet::MakeJob("g", {gang});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(kShortly);
    FakeWorker& stale = fleet.WorkerOf(Task("g", 0, 0));
    stale.unresponsive = true;
    fleet.Run(kUntilClosed);
    fleet.roster_writes_succeed_ = false;
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT(stale.running.empty());

    for (auto& [id, worker] : fleet.workers_) {
      worker.unresponsive = &worker != &stale;
    }
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(kShortly);
    for (auto& [id, worker] : fleet.workers_) worker.unresponsive = false;
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    const size_t starts = fleet.starts_.size();
    fleet.WorkerOf(Task("g", 0, 0)).End(Task("g", 0, 0), TaskOutcome::kFailed);
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(starts + 2, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
  }

  // Its worker did no work while it was silent.
  void ARunThatWasListedOnceHasNotStalled() {
    FakeFleet fleet(3);
    for (auto& [id, worker] : fleet.workers_) worker.fixed_percent = 0;
    FakeWorker& worker = StartAndSilence(&fleet);
    for (auto& [id, other] : fleet.workers_) {
      if (&other != &worker) other.fixed_percent.reset();
    }
    TakeOver(&fleet);
    fleet.Run(Milliseconds(1'600));
    worker.unresponsive = false;
    fleet.Run(Milliseconds(300));
    worker.fixed_percent.reset();
    fleet.Run(kShortly);
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT(worker.running.contains(Task("a", 0, 0)));
  }

  void ListedRunsOfTwoRunsOfAGangAreAttached() {
    FakeFleet fleet(3);
    for (const auto& [id, worker] : fleet.workers_) {
      fleet.roster_[id] = {worker.entry.address, worker.entry.capacity};
    }
    FakeWorker& silent = fleet.workers_.begin()->second;
    silent.unresponsive = true;
    fleet.roster_[silent.entry.id].runs = {
        {Task("g", 0, 0), 17}, {Task("g", 0, 1), 18}, {Task("g", 0, 2), 17}};
    fleet.roster_term_ = 1;
    fleet.StartTerm(Fence{9}, 32);
    fleet.Recover();
    StepSpec gang = FakeFleet::MakeStep(3);
    gang.gang = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("g", {gang}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.running());
  }

  void AWorkerThatWasCutOffDuringAnOutageOfTheStoreGetsTasks() {
    FakeFleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(5)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(kShortly);
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    fleet.roster_writes_succeed_ = false;
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    worker.unresponsive = true;
    fleet.Run(kUntilClosed);
    worker.unresponsive = false;
    fleet.Run(kShortly);
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(kShortly);
    CPPUNIT_ASSERT(worker.running.contains(Task("a", 0, 4)));
  }

 private:
  static void AddJob(FakeFleet* fleet, const std::string& id) {
    fleet->cell()->OnJob(FakeFleet::MakeJob(id, {FakeFleet::MakeStep(1)}),
                         Revision{1}, std::nullopt, fleet->now());
  }

  // Runs job "a", whose worker then answers nothing for so long that the store
  // knows of it.
  static FakeWorker& StartAndSilence(FakeFleet* fleet) {
    fleet->Recover();
    AddJob(fleet, "a");
    fleet->Run(kShortly);
    FakeWorker& worker = fleet->WorkerOf(Task("a", 0, 0));
    worker.unresponsive = true;
    fleet->Run(kUntilClosed);
    CPPUNIT_ASSERT(fleet->roster_.at(worker.entry.id).runs.has_value());
    return worker;
  }

  // The store carries out a write of the roster, but none of progress yet.
  static void StoreRosterOnly(FakeFleet* fleet) {
    const auto text = fleet->cell()->TakeRosterWrite(fleet->now());
    CPPUNIT_ASSERT(text.has_value());
    const auto stored = DecodeRoster(*text);
    fleet->StoreRoster(*stored);
    fleet->cell()->OnRosterWritten(true);
  }

  // Job "b" was accepted before the takeover as well.
  static void TakeOver(FakeFleet* fleet) {
    fleet->roster_writes_succeed_ = true;
    fleet->StartTerm(Fence{9}, 32);
    AddJob(fleet, "a");
    AddJob(fleet, "b");
    fleet->Recover();
  }

  static size_t StartsOf(const FakeFleet& fleet, const std::string& job) {
    return static_cast<size_t>(std::count_if(
        fleet.starts_.begin(), fleet.starts_.end(),
        [&](const auto& start) { return start.order.task.job == JobId(job); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClosedWorkerTest);

}  // namespace
}  // namespace quetzal
