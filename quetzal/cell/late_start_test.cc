// Tests with orders without an answer that workers execute late, possibly in
// their next incarnation.
#include <map>
#include <string>
#include <utility>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

AcceptedJob MakeJob(const std::string& id) {
  return FakeFleet::MakeJob(id, {FakeFleet::MakeStep(1)});
}

// Orders the job's start. It gets no answer and isn't executed yet.
StartAction OrderLateStart(FakeFleet* fleet, const std::string& job) {
  fleet->hold_starts_ = true;
  fleet->cell()->OnJob(MakeJob(job), Revision{1}, std::nullopt, fleet->now());
  fleet->Run(Milliseconds(20));
  fleet->hold_starts_ = false;
  return fleet->held_starts_.at(0);
}

void ReportNoAnswer(FakeFleet* fleet, const StartAction& start) {
  fleet->cell()->OnStartAnswer(start.worker.id, start.order, {}, fleet->now());
}

// Sends a poll to each worker, which then starts again. The polls get no
// answer.
std::map<WorkerId, PollRequest> RestartDuringPolls(FakeFleet* fleet) {
  fleet->hold_polls_ = true;
  fleet->Run(Milliseconds(20));
  std::map<WorkerId, PollRequest> polls;
  for (const auto& [action, sent] : fleet->held_polls_) {
    polls[action.worker.id] = action.request;
  }
  for (auto& [id, worker] : fleet->workers_) worker.Restart();
  return polls;
}

void ReportUnansweredPolls(FakeFleet* fleet) {
  for (const auto& [action, sent] : std::exchange(fleet->held_polls_, {})) {
    fleet->cell()->OnPollAnswer(action.worker.id, action.request, sent, {},
                                fleet->now());
  }
  fleet->hold_polls_ = false;
  for (const auto& [id, worker] : fleet->workers_) {
    fleet->cell()->OnWorkerEntry(worker.entry, fleet->now());
  }
}

class LateStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateStartTest);
  CPPUNIT_TEST(AStartThatARestartedWorkerExecutesUnseenDoesntRunTwice);
  CPPUNIT_TEST(AnUnconfirmedStartIsGivenUpInTheEnd);
  CPPUNIT_TEST(AnUnconfirmedStartOnAGoneWorkerDoesntDelayItsTask);
  CPPUNIT_TEST(AnEntryMissingForAMomentShortensNoLease);
  CPPUNIT_TEST(AnUnconfirmedStartDoesntDelayOtherTasks);
  CPPUNIT_TEST(ALateExtensionIsWaitedFor);
  CPPUNIT_TEST(ALateExtensionOnAGoneWorkerDoesntDelayItsTask);
  CPPUNIT_TEST(ALateExtensionOfAnUnseenRunIsWaitedFor);
  CPPUNIT_TEST(AStoppedStartIsStoppedAtTheNextIncarnationToo);
  CPPUNIT_TEST(AStoppedStartIsRememberedWhileItsWorkerIsNotListed);
  CPPUNIT_TEST(AnOldStoppedStartIsNotStoppedAgain);
  CPPUNIT_TEST(StartsThatAreStoppedAgainAreLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The worker's clock began anew, so the order's lease lasts in full, while
  // the placer can't reach the worker.
  void AStartThatARestartedWorkerExecutesUnseenDoesntRunTwice() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.hold_starts_ = true;
    fleet.cell()->OnJob(FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    fleet.hold_starts_ = false;
    const StartAction start = fleet.held_starts_.at(0);
    FakeWorker& worker = fleet.workers_.at(start.worker.id);
    worker.unresponsive = true;
    fleet.cell()->OnStartAnswer(start.worker.id, start.order, {}, fleet.now());
    fleet.Run(Milliseconds(3'000));
    worker.Restart();
    worker.unresponsive = false;
    fleet.DeliverHeldStarts();
    worker.unresponsive = true;
    fleet.Run(Milliseconds(6'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void AnUnconfirmedStartIsGivenUpInTheEnd() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = fleet.workers_.at(start.worker.id);
    worker.unresponsive = true;
    ReportNoAnswer(&fleet, start);
    fleet.Run(Milliseconds(11'900));
    worker.Restart();
    worker.unresponsive = false;
    fleet.DeliverHeldStarts();
    worker.unresponsive = true;
    fleet.Run(Milliseconds(6'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // A worker that is gone for good leaves the list after some heartbeats.
  void AnUnconfirmedStartOnAGoneWorkerDoesntDelayItsTask() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    fleet.workers_.at(start.worker.id).unresponsive = true;
    ReportNoAnswer(&fleet, start);
    fleet.Run(Milliseconds(4'000));
    fleet.cell()->OnWorkerEntryRemoved(start.worker.id, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void AnEntryMissingForAMomentShortensNoLease() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = fleet.workers_.at(start.worker.id);
    worker.unresponsive = true;
    ReportNoAnswer(&fleet, start);
    fleet.Run(Milliseconds(6'000));
    fleet.cell()->OnWorkerEntryRemoved(start.worker.id, fleet.now());
    fleet.Run(Milliseconds(2'000));
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AnUnconfirmedStartDoesntDelayOtherTasks() {
    FakeFleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(MakeJob("confirmed"), Revision{1}, std::nullopt,
                        fleet.now());
    fleet.Run(Milliseconds(50));
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = fleet.WorkerOf(Task("confirmed", 0, 0));
    CPPUNIT_ASSERT(worker.entry.id == start.worker.id);
    worker.unresponsive = true;
    ReportNoAnswer(&fleet, start);
    fleet.Run(Milliseconds(7'000));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[2].order.task == Task("confirmed", 0, 0));
    fleet.Run(Milliseconds(13'000));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  // The present incarnation executes a poll that was sent to the former one.
  void ALateExtensionIsWaitedFor() {
    FakeFleet fleet(2);
    fleet.Recover();
    const auto polls = RestartDuringPolls(&fleet);
    ReportUnansweredPolls(&fleet);
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnJob(MakeJob("a"), Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.unresponsive = true;
    fleet.Run(Milliseconds(5'900));
    worker.ExtendLease(polls.at(worker.entry.id).lease_until);
    fleet.Run(Milliseconds(5'000));
    worker.ExtendLease(polls.at(worker.entry.id).lease_until);
    fleet.Run(Milliseconds(6'500));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void ALateExtensionOnAGoneWorkerDoesntDelayItsTask() {
    FakeFleet fleet(2);
    fleet.Recover();
    RestartDuringPolls(&fleet);
    ReportUnansweredPolls(&fleet);
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnJob(MakeJob("a"), Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.unresponsive = true;
    fleet.Run(Milliseconds(4'000));
    fleet.cell()->OnWorkerEntryRemoved(worker.entry.id, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  // The start is answered by an incarnation that no poll has reached.
  void ALateExtensionOfAnUnseenRunIsWaitedFor() {
    FakeFleet fleet(2);
    fleet.Recover();
    const auto polls = RestartDuringPolls(&fleet);
    fleet.cell()->OnJob(MakeJob("a"), Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.unresponsive = true;
    ReportUnansweredPolls(&fleet);
    fleet.Run(Milliseconds(5'500));
    worker.ExtendLease(polls.at(worker.entry.id).lease_until);
    fleet.Run(Milliseconds(8'000));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  // The former incarnation's stop doesn't keep the next one from executing the
  // start.
  void AStoppedStartIsRememberedWhileItsWorkerIsNotListed() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = StopUnansweredStart(&fleet, start);
    worker.entry.draining = false;
    worker.unresponsive = true;
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnWorkerEntryRemoved(worker.entry.id, fleet.now());
    fleet.Run(Milliseconds(1'000));
    worker.unresponsive = false;
    worker.Restart();
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.DeliverHeldStarts();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(!fleet.ran_twice_);
  }

  void AStoppedStartIsStoppedAtTheNextIncarnationToo() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = StopUnansweredStart(&fleet, start);
    worker.entry.draining = false;
    worker.Restart();
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.DeliverHeldStarts();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    // A further incarnation may execute it as well.
    worker.Restart();
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.held_starts_ = {start};
    fleet.DeliverHeldStarts();
    CPPUNIT_ASSERT(!fleet.ran_twice_);
    // The stops leave no charge behind.
    fleet.cell()->OnJob(FakeFleet::MakeJob("b", {FakeFleet::MakeStep(7)}),
                        Revision{2}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.running());
  }

  void StartsThatAreStoppedAgainAreLimited() {
    constexpr int kStarts = 100;
    constexpr int kLimit = 64;
    FakeFleet fleet(1);
    fleet.task_size_ = {.cpu_milli = 1, .memory_mib = 1};
    FakeWorker& worker = fleet.workers_.begin()->second;
    worker.entry.capacity.memory_mib = 100 * kStarts;
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Recover();
    fleet.hold_starts_ = true;
    fleet.cell()->OnJob(
        FakeFleet::MakeJob("a", {FakeFleet::MakeStep(kStarts, 1)}), Revision{1},
        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{kStarts}, fleet.held_starts_.size());
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kStarts, fleet.stops_);
    worker.Restart();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kStarts + kLimit, fleet.stops_);
  }

  void AnOldStoppedStartIsNotStoppedAgain() {
    FakeFleet fleet(2);
    fleet.Recover();
    const StartAction start = OrderLateStart(&fleet, "a");
    FakeWorker& worker = StopUnansweredStart(&fleet, start);
    fleet.Run(Milliseconds(12'000));
    const int stops = fleet.stops_;
    worker.Restart();
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(stops, fleet.stops_);
  }

 private:
  // The worker confirms the stop, and the task starts at another one.
  static FakeWorker& StopUnansweredStart(FakeFleet* fleet,
                                         const StartAction& start) {
    FakeWorker& worker = fleet->workers_.at(start.worker.id);
    worker.entry.draining = true;
    fleet->cell()->OnWorkerEntry(worker.entry, fleet->now());
    ReportNoAnswer(fleet, start);
    fleet->Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet->starts_.size());
    CPPUNIT_ASSERT(fleet->starts_[1].worker.id != start.worker.id);
    CPPUNIT_ASSERT(!fleet->ran_twice_);
    return worker;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartTest);

}  // namespace
}  // namespace quetzal
