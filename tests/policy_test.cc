// Placement policies under load, in virtual time: each kind of work starts
// within its bound.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/support/checker.h"
#include "tests/support/scenario.h"

namespace quetzal::testing {
namespace {

// Bound for the start of urgent work, also when the active placer dies.
constexpr Milliseconds kUrgentBound{7'100};

// Numbers of tasks; at one per 70 ms the loads last 21 and 63 seconds.
constexpr int kShortLoad = 300;
constexpr int kLongLoad = 900;

class PolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyTest);
  CPPUNIT_TEST(LargeJobDoesNotFillTheQueueForRequests);
  CPPUNIT_TEST(UrgentWorkStartsInTimeOnAFullDomain);
  CPPUNIT_TEST(UrgentWorkStartsInTimeWhenThePlacerDies);
  CPPUNIT_TEST(GangStartsAlthoughSmallerWorkKeepsArriving);
  CPPUNIT_TEST(GangOfLargeTasksStartsAmongStaggeredWork);
  CPPUNIT_TEST(GangOfManyTasksReservesCapacityAsItBecomesFree);
  CPPUNIT_TEST(GangThatCannotStartDoesNotBlockOtherReservations);
  CPPUNIT_TEST(DelayedUsageReportsLeaveNoCapacityUnused);
  CPPUNIT_TEST(WorkerThatFailsEverythingIsUsedLast);
  CPPUNIT_TEST(CancellingALargeJobEmptiesTheQueue);
  CPPUNIT_TEST(JobThatFitsNoWorkerIsRefusedImmediately);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<World>(ShortLeaseSettings(), 3);
    ApplyInitialRecords(world_.get());
    world_->Run(Milliseconds(3'000));
  }

  void LargeJobDoesNotFillTheQueueForRequests() {
    // More tasks than the queue's depth of 100 requests.
    SubmitTasks("open-q", 300, 60'000, {.cpu_milli = 3'000});
    const CallLog* const call =
        world_->Submit("entry-a-1", {.queue = "open-q"});
    world_->Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(Answered(*call));
  }

  void UrgentWorkStartsInTimeOnAFullDomain() {
    SubmitTasks("red-q", 100, 600'000, {.cpu_milli = 1'000});
    const CallLog* const call = world_->Submit("entry-a-1", Urgent());
    world_->Run(kUrgentBound);
    CPPUNIT_ASSERT(Answered(*call));
    CPPUNIT_ASSERT(Check(*world_).empty());
  }

  void UrgentWorkStartsInTimeWhenThePlacerDies() {
    world_->Kill(world_->ActivePlacer("a"));
    const CallLog* const call = world_->Submit("entry-a-1", Urgent());
    world_->Run(kUrgentBound);
    CPPUNIT_ASSERT(Answered(*call));
  }

  void GangStartsAlthoughSmallerWorkKeepsArriving() {
    for (int i = 0; i < 200; ++i) {
      world_->At(world_->now() + Milliseconds(i * 100), [this] {
        SubmitTasks("red-q", 3, 1'500, {.cpu_milli = 900}, 0);
      });
    }
    world_->Run(Milliseconds(3'000));
    // Larger than the capacity that smaller work ever leaves free at one time.
    const JobLog* const gang =
        world_->SubmitJob("entry-a-1",
                          {.queue = "red-q",
                           .key = "key-red",
                           .idempotent = true,
                           .run_ms = 500,
                           .size = {.cpu_milli = 3'500, .memory_mib = 64}},
                          wire::WORK_CLASS_GANG, 2);
    world_->Run(Milliseconds(15'000));
    world_->RefreshJobStates();
    world_->Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), gang->last_state);
  }

  // No two tasks of a worker end at the same time, so a worker never frees the
  // capacity for a task of the gang in one step.
  void GangOfLargeTasksStartsAmongStaggeredWork() {
    FillWithStaggeredWork();
    CPPUNIT_ASSERT(
        JobEndsWithin(wire::WORK_CLASS_GANG, 2, {.cpu_milli = 3'500}, 15'000));
  }

  // One task of the gang fits in the capacity that an ending task frees, but
  // the whole gang never does.
  void GangOfManyTasksReservesCapacityAsItBecomesFree() {
    FillWithStaggeredWork();
    CPPUNIT_ASSERT(
        JobEndsWithin(wire::WORK_CLASS_GANG, 8, {.cpu_milli = 800}, 6'000));
  }

  // Lowering its team's limit keeps the first gang from ever starting. It must
  // not block the reservations of the second.
  void GangThatCannotStartDoesNotBlockOtherReservations() {
    FillWithStaggeredWork();
    const JobLog* const stuck =
        world_->SubmitJob("entry-a-1",
                          {.queue = "blue-q",
                           .key = "key-blue",
                           .idempotent = true,
                           .run_ms = 500,
                           .size = {.cpu_milli = 800, .memory_mib = 64}},
                          wire::WORK_CLASS_GANG, 7);
    world_->Run(Milliseconds(300));
    LowerBlueLimit(world_.get());
    world_->Run(Milliseconds(200));
    SubmitStream(kLongLoad);
    CPPUNIT_ASSERT(
        JobEndsWithin(wire::WORK_CLASS_GANG, 8, {.cpu_milli = 800}, 42'000));
    world_->RefreshJobStates();
    world_->Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("running"), stuck->last_state);
  }

  // Workers report usage every two seconds, and tasks end in between.
  void DelayedUsageReportsLeaveNoCapacityUnused() {
    constexpr int kSamples = 100;
    constexpr double kFullRatio = 0.9;  // four tasks of 900 of 4,000 milli-CPU
    FillWithStaggeredWork();
    double sum = 0;
    for (int i = 0; i < kSamples; ++i) {
      world_->Run(Milliseconds(100));
      sum += Status().allocation_ratio;
    }
    CPPUNIT_ASSERT(sum / kSamples > kFullRatio * 0.95);
  }

  void WorkerThatFailsEverythingIsUsedLast() {
    world_->FailEverything("worker-a-1");
    for (int i = 0; i < 150; ++i) {
      world_->At(world_->now() + Milliseconds(i * 40), [this] {
        world_->Submit("entry-a-1",
                       {.queue = "red-q", .key = "key-red", .run_ms = 30});
      });
    }
    world_->Run(Milliseconds(8'000));
    const auto failed =
        std::count_if(world_->events().begin(), world_->events().end(),
                      [](const standin::WorkerEvent& event) {
                        return event.outcome == wire::OUTCOME_FAILED;
                      });
    // Of 150. A third, 50, would fail if the worker were not avoided.
    constexpr int kMaxFailed = 15;
    CPPUNIT_ASSERT(failed > 0);
    CPPUNIT_ASSERT(failed <= kMaxFailed);
  }

  void CancellingALargeJobEmptiesTheQueue() {
    JobLog* const job =
        SubmitTasks("red-q", 2'000, 600'000, {.cpu_milli = 1'000});
    CPPUNIT_ASSERT(Status().waiting > 1'900);
    world_->CancelJob(job);
    world_->Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Status().waiting);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Status().attempts);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), job->last_state);
  }

  void JobThatFitsNoWorkerIsRefusedImmediately() {
    const JobLog* const job =
        SubmitTasks("red-q", 1, 10, {.cpu_milli = 4'001}, 200);
    CPPUNIT_ASSERT(job->refusal == std::optional<std::string>("never_fits"));
  }

 private:
  static CallSpec Urgent() {
    return {.queue = "blue-q",
            .key = "key-blue",
            .urgent = true,
            .size = {.cpu_milli = 1'000, .memory_mib = 64, .slots = 1}};
  }

  static bool Answered(const CallLog& call) {
    return call.replies.size() == 1 &&
           std::holds_alternative<AnswerReply>(call.replies.front());
  }

  // Uses a single domain, so that the team's limit exceeds the workers'
  // capacity.
  void FillWithStaggeredWork() {
    WorldSettings settings = ShortLeaseSettings();
    settings.domains = 1;
    world_ = std::make_unique<World>(settings, 3);
    ApplyInitialRecords(world_.get());
    world_->Run(Milliseconds(3'000));
    SubmitStream(kShortLoad);
    world_->Run(Milliseconds(3'000));
  }

  // Submits one task every 70 ms, which is more than the workers can run.
  void SubmitStream(int tasks) {
    for (int i = 0; i < tasks; ++i) {
      const int run_ms = 1'000 + i * 137 % 900;
      world_->At(world_->now() + Milliseconds(i * 70), [this, run_ms] {
        SubmitTasks("red-q", 1, run_ms, {.cpu_milli = 900}, 0);
      });
    }
  }

  bool JobEndsWithin(wire::WorkClass kind, uint32_t tasks,
                     const Resources& size, int64_t within_ms) {
    const JobLog* const job = world_->SubmitJob("entry-a-1",
                                                {.queue = "red-q",
                                                 .key = "key-red",
                                                 .idempotent = true,
                                                 .run_ms = 500,
                                                 .size = size},
                                                kind, tasks);
    world_->Run(Milliseconds(within_ms));
    world_->RefreshJobStates();
    world_->Run(Milliseconds(500));
    return job->last_state == "done";
  }

  JobLog* SubmitTasks(const std::string& queue, uint32_t tasks, int run_ms,
                      const Resources& size, int64_t run_after_ms = 1'500) {
    JobLog* const job = world_->SubmitJob("entry-a-1",
                                          {.queue = queue,
                                           .key = "key-red",
                                           .idempotent = true,
                                           .run_ms = run_ms,
                                           .size = size},
                                          wire::WORK_CLASS_BATCH, tasks);
    if (run_after_ms > 0) world_->Run(Milliseconds(run_after_ms));
    return job;
  }

  PlacerStatus Status() const {
    return world_->StatusOf(world_->ActivePlacer("a"));
  }

  std::unique_ptr<World> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);

}  // namespace
}  // namespace quetzal::testing
