// Tests that an acknowledgement that was sent to a worker's former incarnation
// and is executed late loses no ends of the present one.
#include <string>
#include <utility>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::Task;

class LateAcknowledgementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateAcknowledgementTest);
  CPPUNIT_TEST(AnAcknowledgementOfAFormerIncarnationLosesNoEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnAcknowledgementOfAFormerIncarnationLosesNoEnds() {
    FakeFleet fleet(1);
    fleet.Recover();
    FakeWorker& worker = fleet.workers_.begin()->second;
    RunTask(&fleet, "a");
    worker.End(Task("a", 0, 0), TaskOutcome::kDone);
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, worker.acknowledged_end);
    // The poll gets no answer, and the worker restarts.
    fleet.hold_polls_ = true;
    fleet.Run(Milliseconds(20));
    fleet.hold_polls_ = false;
    const auto [late, sent] = std::exchange(fleet.held_polls_, {}).at(0);
    worker.Restart();
    fleet.cell()->OnPollAnswer(worker.entry.id, late.request, sent, {},
                               fleet.now());
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(500));
    RunTask(&fleet, "b");
    worker.End(Task("b", 0, 0), TaskOutcome::kDone);
    std::erase_if(worker.ended, [&late = late](const EndedTask& ended) {
      return ended.number <= late.request.acknowledged_end;
    });
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.StoredState("b") == JobState::kCompleted);
  }

 private:
  static void RunTask(FakeFleet* fleet, const std::string& job) {
    fleet->cell()->OnJob(FakeFleet::MakeJob(job, {FakeFleet::MakeStep(1)}),
                         Revision{1}, std::nullopt, fleet->now());
    fleet->Run(Milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateAcknowledgementTest);

}  // namespace
}  // namespace quetzal
