// Tests for how long a new placer waits for workers that it can't reach, by
// what the former placer's term timer and the other workers tell.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

constexpr Milliseconds kPowerLoss{9'500};
// From a takeover until the leases of an outvoted placer have ended.
constexpr Milliseconds kUntilOutvotedLeasesEnd{9'200};
constexpr Milliseconds kAMoment{1'000};
// A worker that is missing from the list may be back for some time.
constexpr Milliseconds kUntilGone{3'000};

class PowerLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PowerLossTest);
  CPPUNIT_TEST(JobsDontWaitForALostWorkerAfterAPowerLoss);
  CPPUNIT_TEST(AListedWorkerIsWaitedFor);
  CPPUNIT_TEST(WithoutTheTimerALostWorkerIsWaitedFor);
  CPPUNIT_TEST(AFormerPlacerThatWentOnIsWaitedFor);
  CPPUNIT_TEST(RestartedWorkersDontShowThatTheFormerPlacerStopped);
  CPPUNIT_TEST(ATimerThatEndsAfterTheTakeoverShortensTheWait);
  CPPUNIT_TEST(AFormerPlacerThatMayStillHaveBegunToGoOnIsWaitedFor);
  CPPUNIT_TEST(EndsOfSlowWorkersAreWaitedFor);
  CPPUNIT_TEST(ATakeoverDoesntBeginTheWaitForAnEarlierPlacerAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    StepSpec second = FakeFleet::MakeStep(1);
    second.after = {0};
    job_ = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1), second});
    fleet_.Recover();
    fleet_.cell()->OnJob(job_, Revision{1}, std::nullopt, fleet_.now());
    fleet_.Run(Milliseconds(500));
  }

  void JobsDontWaitForALostWorkerAfterAPowerLoss() {
    LosePower();
    TakeOver();
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    Recover();
    fleet_.Run(kUntilGone);
    CPPUNIT_ASSERT(fleet_.IsRunning(Task("a", 1, 0)));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet_.starts_.size());
  }

  // Its next incarnation, which has seen no fence, may execute a late start.
  void AListedWorkerIsWaitedFor() {
    LosePower();
    fleet_.unlisted_.clear();
    TakeOver();
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    Recover();
    ExpectStartAfter(kUntilOutvotedLeasesEnd);
  }

  void WithoutTheTimerALostWorkerIsWaitedFor() {
    LosePower();
    TakeOver();
    Recover();
    ExpectStartAfter(kUntilOutvotedLeasesEnd);
  }

  // The higher fence that it had is known to the workers.
  void AFormerPlacerThatWentOnIsWaitedFor() {
    fleet_.Run(kAMoment);
    fleet_.cell()->MaySendOrders(Milliseconds(-300), fleet_.now());
    fleet_.Run(Milliseconds(290));
    fleet_.cell()->MaySendOrders(Milliseconds(-10), fleet_.now());
    CPPUNIT_ASSERT(
        fleet_.cell()->MaySendOrders(Milliseconds(300), fleet_.now()));
    LosePower();
    TakeOver();
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    Recover();
    ExpectStartAfter(kUntilOutvotedLeasesEnd);
  }

  // They have forgotten which fences they knew.
  void RestartedWorkersDontShowThatTheFormerPlacerStopped() {
    LosePower();
    int restarted = 0;
    for (auto& [id, worker] : fleet_.workers_) {
      if (worker.ended.empty() && restarted++ < 5) worker.Restart();
    }
    TakeOver();
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    Recover();
    ExpectStartAfter(kUntilOutvotedLeasesEnd);
  }

  // It renewed its leadership 2 s before the takeover.
  void ATimerThatEndsAfterTheTakeoverShortensTheWait() {
    const Milliseconds end =
        TermTimerDuration(CellSettings{}) - Milliseconds(2'000);
    LosePower();
    TakeOver();
    Recover();
    fleet_.Run(end);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet_.starts_.size());
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    fleet_.Run(kAMoment);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet_.starts_.size());
  }

  // It renewed its leadership 1 s before the takeover, as far as the timer
  // shows: workers may have confirmed it after they were asked.
  void AFormerPlacerThatMayStillHaveBegunToGoOnIsWaitedFor() {
    const Milliseconds end =
        TermTimerDuration(CellSettings{}) - Milliseconds(1'000);
    LosePower();
    TakeOver();
    Recover();
    fleet_.Run(end);
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    ExpectStartAfter(kUntilOutvotedLeasesEnd - end);
  }

  // Half of the workers show that the former placer stopped. The others' ends
  // would be lost if they counted as gone.
  void EndsOfSlowWorkersAreWaitedFor() {
    LosePower();
    TakeOver();
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    fleet_.hold_polls_ = true;
    Recover();
    fleet_.Run(Milliseconds(100));
    fleet_.hold_polls_ = false;
    for (auto& [id, worker] : fleet_.workers_) {
      if (worker.ended.empty()) continue;
      // Its answer comes last.
      std::stable_partition(
          fleet_.held_polls_.begin(), fleet_.held_polls_.end(),
          [&id = id](const auto& poll) { return poll.first.worker.id != id; });
    }
    const auto slow = fleet_.held_polls_.back();
    fleet_.held_polls_.pop_back();
    fleet_.AnswerHeldPolls();
    fleet_.Run(Milliseconds(200));
    fleet_.AnswerPoll(slow.first, slow.second);
    fleet_.Run(kUntilGone);
    CPPUNIT_ASSERT(fleet_.IsRunning(Task("a", 1, 0)));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet_.starts_.size());
  }

  void ATakeoverDoesntBeginTheWaitForAnEarlierPlacerAnew() {
    constexpr Milliseconds kUntilSecondTakeover{5'000};
    LosePower();
    TakeOver();
    Recover();
    fleet_.Run(kUntilSecondTakeover);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet_.former_placers_.size());
    fleet_.StartTerm(Fence{11}, 48);
    fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
    Recover();
    ExpectStartAfter(kUntilOutvotedLeasesEnd - kUntilSecondTakeover);
  }

 private:
  // The first step's task ends meanwhile, and another worker is lost.
  void LosePower() {
    fleet_.orders_halted_ = true;
    fleet_.store_up_ = false;
    FakeWorker& worker = fleet_.WorkerOf(Task("a", 0, 0));
    for (auto& [id, other] : fleet_.workers_) {
      if (&other == &worker) continue;
      other.unresponsive = true;
      fleet_.unlisted_ = {id};
      break;
    }
    fleet_.Run(kAMoment);
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet_.Run(kPowerLoss - kAMoment);
    fleet_.orders_halted_ = false;
    fleet_.store_up_ = true;
  }

  void TakeOver() { fleet_.StartTerm(Fence{9}, 32); }
  void Recover() {
    fleet_.cell()->OnJob(job_, Revision{1}, std::nullopt, fleet_.now());
    fleet_.Recover();
  }

  void ExpectStartAfter(Milliseconds wait) {
    fleet_.Run(wait - kAMoment);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet_.starts_.size());
    fleet_.Run(2 * kAMoment);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet_.starts_.size());
  }

  FakeFleet fleet_{8};
  AcceptedJob job_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossTest);

}  // namespace
}  // namespace quetzal
