#include "quetzal/job_book/job_book.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

AcceptedJob AJob(const std::string& id) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = QueueId("quotes");
  job.spec.steps.push_back({.count = 2});
  return job;
}

StoreItem Acceptance(const std::string& id) {
  return {.key = JobKey(JobId(id)), .value = EncodeJob(AJob(id))};
}

StoreItem Progress(const std::string& id, JobState state) {
  JobProgress progress = FreshProgress(AJob(id).spec);
  progress.state = state;
  return {.key = ProgressKey(JobId(id)), .value = EncodeProgress(progress)};
}

class JobBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobBookTest);
  CPPUNIT_TEST(KnowsAJobOnceItIsAccepted);
  CPPUNIT_TEST(CountsWhatHasNotBegun);
  CPPUNIT_TEST(ACancelledJobThatEndedBeforeStaysCompleted);
  CPPUNIT_TEST(AnEndedJobIsKnownByItsOwnKey);
  CPPUNIT_TEST(AValueOfAnotherWriterChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KnowsAJobOnceItIsAccepted() {
    JobBook book;
    CPPUNIT_ASSERT(book.Learn(Progress("a", JobState::kRunning)));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
    CPPUNIT_ASSERT(book.Learn(Acceptance("a")));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kRunning);
    book.Forget(JobKey(JobId("a")));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
  }

  void CountsWhatHasNotBegun() {
    JobBook book;
    book.Learn(Acceptance("a"));
    book.Learn(Acceptance("b"));
    book.Learn(Acceptance("c"));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, book.PendingOf(QueueId("quotes")));
    book.Learn(Progress("a", JobState::kRunning));
    book.Learn({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, book.PendingOf(QueueId("quotes")));
    book.Forget(JobKey(JobId("c")));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, book.PendingOf(QueueId("quotes")));
  }

  void ACancelledJobThatEndedBeforeStaysCompleted() {
    JobBook book;
    book.Learn(Acceptance("a"));
    book.Learn(Progress("a", JobState::kCompleted));
    book.Learn({.key = CancelKey(JobId("a"))});
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kCompleted);
    book.Learn(Acceptance("b"));
    book.Learn({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT(book.StateOf(JobId("b")) == JobState::kCancelled);
  }

  void AnEndedJobIsKnownByItsOwnKey() {
    JobBook book;
    book.Learn(Acceptance("a"));
    book.Learn(Progress("a", JobState::kRunning));
    book.Learn({.key = JobKey(JobId("a")),
                .value = EncodeEnded(QueueId("quotes"), JobState::kFailed)});
    book.Forget(ProgressKey(JobId("a")));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kFailed);
    // Older news of another key may come later.
    book.Learn(Progress("a", JobState::kRunning));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kFailed);
  }

  void AValueOfAnotherWriterChangesNothing() {
    JobBook book;
    CPPUNIT_ASSERT(!book.Learn({.key = JobKey(JobId("a")), .value = "?"}));
    CPPUNIT_ASSERT(
        !book.Learn({.key = ProgressKey(JobId("a")), .value = "[]"}));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobBookTest);

}  // namespace
}  // namespace quetzal
