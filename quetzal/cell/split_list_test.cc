// Tests that a placer and its successor can't both go on with workers that the
// other can't reach, and that tasks of workers that can't be reached start
// again in the end.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::Task;

constexpr Milliseconds kMaxMajorityAge{2'400};
// In which a placer whose lease ends soon asks the workers to confirm it.
constexpr Milliseconds kLastMoments{300};
// The last lease that a former placer extended may begin when it stops.
constexpr Milliseconds kUntilLeasesExpired{10'000};

class SplitListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SplitListTest);
  CPPUNIT_TEST(AMajorityOfTheRestOfTheListDoesntExpireLeases);
  CPPUNIT_TEST(TasksOfASplitStartAgainOnceTheFormerPlacerMustHaveStopped);
  CPPUNIT_TEST(ASecondSuccessorCountsTheFirstPlacersOwnWorkers);
  CPPUNIT_TEST(TasksStartAgainAlthoughAllWorkersLeftTheList);
  CPPUNIT_TEST(TasksStartAgainAfterAnUnreadableRosterWithoutAMajority);
  CPPUNIT_TEST(WorkersThatLeftTheListCountWhileTheStoreHasThem);
  CPPUNIT_TEST(WorkersOfAWriteWithoutAnswerCount);
  CPPUNIT_TEST(AMajorityGoesOnWithoutALeaseForALimitedTime);
  CPPUNIT_TEST(APlacerThatNoMajorityConfirmsInTimeStops);
  CPPUNIT_TEST(WorkersAreAskedToConfirmThePlacerBesideTheirPolls);
  CPPUNIT_TEST(APlacerThatMayHaveASuccessorLetsNoLeasesExpire);
  CPPUNIT_TEST(APlacerThatMayHaveASuccessorLetsNoFormerLeasesExpire);
  CPPUNIT_TEST(TasksGoOnAfterAShortHalt);
  CPPUNIT_TEST(TasksStartAgainAfterALongHalt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The former placer and three of its five workers are cut off from the store,
  // so that the workers leave the list, and from the successor.
  void AMajorityOfTheRestOfTheListDoesntExpireLeases() {
    FakeFleet fleet(5);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(12)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    for (const auto& [id, worker] : fleet.workers_) {
      if (!worker.running.empty()) fleet.unlisted_.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.unlisted_.size());
    fleet.StartTerm(Fence{9}, 32);
    for (const WorkerId& id : fleet.unlisted_) {
      fleet.workers_.at(id).unresponsive = true;
    }
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    for (int i = 0; i < 1'500; ++i) {
      fleet.Run(Milliseconds(10));
      // The former placer's polls reach them.
      for (const WorkerId& id : fleet.unlisted_) {
        FakeWorker& worker = fleet.workers_.at(id);
        worker.ExtendLease(WorkerTime{worker.clock_ms + 6'000});
      }
    }
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void TasksOfASplitStartAgainOnceTheFormerPlacerMustHaveStopped() {
    FakeFleet fleet(5);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(12)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    for (const auto& [id, worker] : fleet.workers_) {
      if (!worker.running.empty()) fleet.unlisted_.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.unlisted_.size());
    const Time stop = fleet.now() + kMaxTimeWithoutLease;
    TakeOverWithoutUnlisted(&fleet, job);
    while (fleet.now() < stop) {
      fleet.Run(Milliseconds(10));
      // The former placer's polls reach them.
      for (const WorkerId& id : fleet.unlisted_) {
        FakeWorker& worker = fleet.workers_.at(id);
        worker.ExtendLease(WorkerTime{worker.clock_ms + 6'000});
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{12}, fleet.starts_.size());
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    // The two other workers are full.
    CPPUNIT_ASSERT_EQUAL(size_t{20}, fleet.starts_.size());
    for (const WorkerId& id : fleet.unlisted_) {
      CPPUNIT_ASSERT(!fleet.roster_.contains(id));
    }
  }

  // The first successor has added workers. Half of its roster obey the second
  // one, but most of the first placer's own workers still obey that.
  void ASecondSuccessorCountsTheFirstPlacersOwnWorkers() {
    FakeFleet fleet(8);
    fleet.Recover();
    const AcceptedJob job =
        FakeFleet::MakeJob("a", {FakeFleet::MakeStep(5, 4'000)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    for (const auto& [id, worker] : fleet.workers_) {
      if (!worker.running.empty()) fleet.unlisted_.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.unlisted_.size());
    const Time stop = fleet.now() + kMaxTimeWithoutLease;
    AddWorkers(&fleet, {"w-8", "w-9"});
    TakeOverWithoutUnlisted(&fleet, job);
    RunWithFormerPlacer(&fleet, fleet.now() + Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(size_t{10}, fleet.roster_.size());
    fleet.StartTerm(Fence{11}, 48);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    RunWithFormerPlacer(&fleet, stop);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.starts_.size());
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.former_placers_.empty());
  }

  void TasksStartAgainAlthoughAllWorkersLeftTheList() {
    FakeFleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    for (const auto& [id, worker] : fleet.workers_) fleet.unlisted_.insert(id);
    FakeWorker added = fleet.workers_.at(WorkerId("w-0"));
    added.entry.id = WorkerId("w-9");
    added.entry.address = "10.0.0.9:1";
    added.running.clear();
    fleet.workers_[added.entry.id] = added;
    TakeOverWithoutUnlisted(&fleet, job);
    // Accepted in this term: no former placer can have started it.
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(1)}),
                        Revision{9}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.IsRunning(Task("b", 0, 0)));
    fleet.Run(kMaxTimeWithoutLease);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT(fleet.IsRunning(Task("a", 0, 0)));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.roster_.size());
  }

  void TasksStartAgainAfterAnUnreadableRosterWithoutAMajority() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(5)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    for (auto& [id, worker] : fleet.workers_) {
      worker.unresponsive = !worker.running.empty();
    }
    fleet.is_roster_readable_ = false;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(kMaxTimeWithoutLease);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.starts_.size());
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{9}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  // A successor reads the stored roster, whatever this placer's list contains.
  void WorkersThatLeftTheListCountWhileTheStoreHasThem() {
    FakeFleet fleet(5);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.cell()->HasMajority(kMaxMajorityAge, fleet.now()));
    fleet.roster_writes_succeed_ = false;
    Remove(&fleet, {"w-2", "w-3", "w-4"});
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.cell()->HasMajority(kMaxMajorityAge, fleet.now()));
    fleet.roster_writes_succeed_ = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.roster_.size());
    CPPUNIT_ASSERT(fleet.cell()->HasMajority(kMaxMajorityAge, fleet.now()));
  }

  // The store may have carried it out.
  void WorkersOfAWriteWithoutAnswerCount() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    fleet.roster_writes_succeed_ = false;
    const FakeWorker first = fleet.workers_.at(WorkerId("w-0"));
    for (const char* name : {"w-2", "w-3", "w-4"}) {
      FakeWorker added = first;
      added.entry.id = WorkerId(name);
      added.entry.address = std::string(name) + ":1";
      fleet.workers_[added.entry.id] = added;
      fleet.cell()->OnWorkerEntry(added.entry, fleet.now());
    }
    fleet.Run(Milliseconds(1'000));
    Remove(&fleet, {"w-2", "w-3", "w-4"});
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(!fleet.cell()->HasMajority(kMaxMajorityAge, fleet.now()));
  }

  void AMajorityGoesOnWithoutALeaseForALimitedTime() {
    constexpr Milliseconds kLongOutage{14'000};
    constexpr Milliseconds kMoment{1};
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    const auto may_send_orders = [&fleet](Milliseconds without_lease) {
      return fleet.cell()->MaySendOrders(without_lease, fleet.now());
    };
    CPPUNIT_ASSERT(may_send_orders(-kLastMoments));
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT(may_send_orders(-kMoment));
    CPPUNIT_ASSERT(may_send_orders(Milliseconds(0)));
    CPPUNIT_ASSERT(may_send_orders(kLongOutage));
    CPPUNIT_ASSERT(may_send_orders(kMaxTimeWithoutLease - kMoment));
    CPPUNIT_ASSERT(!may_send_orders(kMaxTimeWithoutLease));
    fleet.workers_.at(WorkerId("w-0")).unresponsive = true;
    fleet.workers_.at(WorkerId("w-1")).unresponsive = true;
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(!may_send_orders(Milliseconds(0)));
    CPPUNIT_ASSERT(may_send_orders(-kMoment));
  }

  // A successor takes the absence of the higher fence for a sign that this
  // placer stopped.
  void APlacerThatNoMajorityConfirmsInTimeStops() {
    constexpr Milliseconds kMoment{1};
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    const auto may_send_orders = [&fleet](Milliseconds without_lease) {
      return fleet.cell()->MaySendOrders(without_lease, fleet.now());
    };
    for (auto& [id, worker] : fleet.workers_) {
      worker.unresponsive = id != WorkerId("w-0");
    }
    CPPUNIT_ASSERT(may_send_orders(-kLastMoments));
    fleet.Run(kLastMoments);
    CPPUNIT_ASSERT(may_send_orders(-kMoment));
    CPPUNIT_ASSERT(!may_send_orders(Milliseconds(0)));
    for (auto& [id, worker] : fleet.workers_) worker.unresponsive = false;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!may_send_orders(Milliseconds(500)));
    // The store renewed its lease after all.
    CPPUNIT_ASSERT(may_send_orders(-kMoment));
    CPPUNIT_ASSERT(may_send_orders(kMoment));
  }

  // Their polls may wait for longer than the lease lasts.
  void WorkersAreAskedToConfirmThePlacerBesideTheirPolls() {
    constexpr Milliseconds kMoment{1};
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(50));
    fleet.cell()->MaySendOrders(-kLastMoments, fleet.now());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.held_polls_.size());
    fleet.hold_polls_ = false;
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT(fleet.cell()->MaySendOrders(-kMoment, fleet.now()));
    CPPUNIT_ASSERT(fleet.cell()->MaySendOrders(kMoment, fleet.now()));
    fleet.AnswerHeldPolls();
    CPPUNIT_ASSERT(fleet.cell()->MaySendOrders(kMoment, fleet.now()));
    CPPUNIT_ASSERT_EQUAL(0, fleet.resignations_);
  }

  // The successor, which reaches the worker, may extend them.
  void APlacerThatMayHaveASuccessorLetsNoLeasesExpire() {
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    fleet.Run(kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    // The store renewed its lease after all, so no other placer was elected.
    fleet.cell()->OnLeadership(/*is_certain=*/true);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void APlacerThatMayHaveASuccessorLetsNoFormerLeasesExpire() {
    FakeFleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    fleet.WorkerOf(Task("a", 0, 0)).unresponsive = true;
    fleet.StartTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.cell()->OnLeadership(/*is_certain=*/false);
    fleet.Run(kMaxTimeWithoutLease + kUntilLeasesExpired);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.cell()->OnLeadership(/*is_certain=*/true);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void TasksGoOnAfterAShortHalt() { HaltFor(Milliseconds(4'000), 4); }

  // Their leases ended meanwhile.
  void TasksStartAgainAfterALongHalt() { HaltFor(Milliseconds(7'000), 8); }

 private:
  using FakeWorker = testing::FakeWorker;

  // The placer may send no orders for a while; the store was down meanwhile.
  static void HaltFor(Milliseconds time, size_t expected_starts) {
    FakeFleet fleet(3);
    fleet.Recover();
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(4)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    fleet.orders_halted_ = true;
    fleet.store_up_ = false;
    fleet.Run(time);
    fleet.orders_halted_ = false;
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(expected_starts, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  // The successor can't reach the workers that left the list.
  static void TakeOverWithoutUnlisted(FakeFleet* fleet,
                                      const AcceptedJob& job) {
    fleet->StartTerm(Fence{9}, 32);
    for (const WorkerId& id : fleet->unlisted_) {
      fleet->workers_.at(id).unresponsive = true;
    }
    fleet->cell()->OnJob(job, Revision{1}, std::nullopt, fleet->now());
    fleet->Recover();
  }

  static void AddWorkers(FakeFleet* fleet,
                         const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      FakeWorker added;
      added.entry = fleet->workers_.begin()->second.entry;
      added.entry.id = WorkerId(name);
      added.entry.address = name + ":1";
      fleet->workers_[added.entry.id] = added;
    }
  }

  // The former placer's polls reach the workers that left the list.
  static void RunWithFormerPlacer(FakeFleet* fleet, Time until) {
    while (fleet->now() < until) {
      fleet->Run(Milliseconds(10));
      for (const WorkerId& id : fleet->unlisted_) {
        FakeWorker& worker = fleet->workers_.at(id);
        worker.ExtendLease(WorkerTime{worker.clock_ms + 6'000});
      }
    }
  }

  // The workers answer nothing from now on and leave the list.
  static void Remove(FakeFleet* fleet, const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      fleet->workers_.at(WorkerId(name)).unresponsive = true;
      fleet->cell()->OnWorkerEntryRemoved(WorkerId(name), fleet->now());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SplitListTest);

}  // namespace
}  // namespace quetzal
