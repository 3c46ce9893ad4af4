#include "quetzal/job_intake/job_intake.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

AcceptedJob AJob(const std::string& id) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = QueueId("q");
  job.spec.steps.push_back({.count = 1});
  return job;
}

class JobIntakeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobIntakeTest);
  CPPUNIT_TEST(AcceptsOnceStored);
  CPPUNIT_TEST(ManyJobsShareCommits);
  CPPUNIT_TEST(AJobSentTwiceIsOneJob);
  CPPUNIT_TEST(AJobAcceptedElsewhereDoesNotHoldUpItsBatch);
  CPPUNIT_TEST(ALostAnswerIsSettledByTryingAgain);
  CPPUNIT_TEST(ARefusalMeansNotAccepted);
  CPPUNIT_TEST(ARefusalAfterALostAnswerIsUnsure);
  CPPUNIT_TEST(AnAnswerThatNeverComesIsMissedSoon);
  CPPUNIT_TEST(ASilentStoreIsToldAtOnceNotAtTheDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsOnceStored() {
    const auto outcome = Submit("a");
    CPPUNIT_ASSERT(!*outcome);
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("a"))) != nullptr);
  }

  void ManyJobsShareCommits() {
    constexpr size_t kJobs = 100;
    std::vector<std::shared_ptr<std::optional<IntakeOutcome>>> outcomes(kJobs);
    for (size_t i = 0; i < kJobs; ++i) {
      outcomes[i] = Submit("j" + std::to_string(i));
    }
    clock_.Advance(Milliseconds(50));
    for (const auto& outcome : outcomes) {
      CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
    }
    CPPUNIT_ASSERT(store_.transactions() <= 12);
  }

  void AJobSentTwiceIsOneJob() {
    const auto first = Submit("a");
    const auto second = Submit("a");
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**first == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(**second == IntakeOutcome::kAccepted);
    const auto third = Submit("a");
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**third == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, store_.transactions());
  }

  void AJobAcceptedElsewhereDoesNotHoldUpItsBatch() {
    store_.Apply({.puts = {{.key = JobKey(JobId("b")), .value = "{}"}}},
                 [](const TransactionAnswer&) {});
    // Fills the commits under way, so that the next ones share one.
    for (int i = 0; i < 4; ++i) Submit("x" + std::to_string(i));
    const auto a = Submit("a");
    const auto b = Submit("b");
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT(**a == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(**b == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"),
                         store_.Find(JobKey(JobId("b")))->value);
  }

  void ALostAnswerIsSettledByTryingAgain() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    const auto done = Submit("a");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(**done == IntakeOutcome::kAccepted);
    store_.FailNextTransaction(StoreOutcome::kUnknown, false);
    const auto again = Submit("b");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(**again == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("b"))) != nullptr);
  }

  void ARefusalMeansNotAccepted() {
    store_.SetDown(true);
    const auto outcome = Submit("a");
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kNotAccepted);
    store_.SetDown(false);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("a"))) == nullptr);
  }

  void ARefusalAfterALostAnswerIsUnsure() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    const auto outcome = Submit("a");
    store_.SetDown(true);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kUnknown);
  }

  // A store that loses answers: callers wait 3 s in all, so a try must not use
  // up half of that.
  void AnAnswerThatNeverComesIsMissedSoon() {
    for (const bool is_done : {true, false}) {
      const std::string id = is_done ? "done" : "not done";
      store_.DropNextAnswer(is_done);
      store_.DropNextAnswer(is_done);
      const auto outcome = Submit(id);
      clock_.Advance(Milliseconds(1'000));
      CPPUNIT_ASSERT(outcome->has_value());
      CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
      CPPUNIT_ASSERT(store_.Find(JobKey(JobId(id))) != nullptr);
    }
  }

  // This machine is cut off: the caller has 3 s, and others reach the store.
  void ASilentStoreIsToldAtOnceNotAtTheDeadline() {
    bool told = false;
    intake_.SetUnresponsiveHandler([&] { told = true; });
    for (int i = 0; i < 10; ++i) store_.DropNextAnswer(false);
    const auto outcome = Submit("a");
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(outcome->has_value());
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kUnknown);
    CPPUNIT_ASSERT(told);
  }

 private:
  std::shared_ptr<std::optional<IntakeOutcome>> Submit(const std::string& id) {
    auto outcome = std::make_shared<std::optional<IntakeOutcome>>();
    intake_.Submit(AJob(id), clock_.now() + Milliseconds(2'000),
                   [outcome](IntakeOutcome given) { *outcome = given; });
    return outcome;
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  JobIntake intake_{&store_, clock_.Timer(), [this] { return clock_.now(); },
                    &log_, &metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIntakeTest);

}  // namespace
}  // namespace quetzal
