#include "quetzal/job_index/job_index.h"

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
  JobProgress progress = InitialProgress(AJob(id).spec);
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
    JobIndex book;
    CPPUNIT_ASSERT(book.OnPut(Progress("a", JobState::kRunning)));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
    CPPUNIT_ASSERT(book.OnPut(Acceptance("a")));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kRunning);
    book.OnRemoved(JobKey(JobId("a")));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
  }

  void CountsWhatHasNotBegun() {
    JobIndex book;
    book.OnPut(Acceptance("a"));
    book.OnPut(Acceptance("b"));
    book.OnPut(Acceptance("c"));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, book.PendingCount(QueueId("quotes")));
    book.OnPut(Progress("a", JobState::kRunning));
    book.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, book.PendingCount(QueueId("quotes")));
    book.OnRemoved(JobKey(JobId("c")));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, book.PendingCount(QueueId("quotes")));
  }

  void ACancelledJobThatEndedBeforeStaysCompleted() {
    JobIndex book;
    book.OnPut(Acceptance("a"));
    book.OnPut(Progress("a", JobState::kCompleted));
    book.OnPut({.key = CancelKey(JobId("a"))});
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kCompleted);
    book.OnPut(Acceptance("b"));
    book.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT(book.StateOf(JobId("b")) == JobState::kCancelled);
  }

  void AnEndedJobIsKnownByItsOwnKey() {
    JobIndex book;
    book.OnPut(Acceptance("a"));
    book.OnPut(Progress("a", JobState::kRunning));
    book.OnPut({.key = JobKey(JobId("a")),
                .value = EncodeEndedJob(QueueId("quotes"), JobState::kFailed)});
    book.OnRemoved(ProgressKey(JobId("a")));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kFailed);
    // Older news of another key may come later.
    book.OnPut(Progress("a", JobState::kRunning));
    CPPUNIT_ASSERT(book.StateOf(JobId("a")) == JobState::kFailed);
  }

  void AValueOfAnotherWriterChangesNothing() {
    JobIndex book;
    CPPUNIT_ASSERT(!book.OnPut({.key = JobKey(JobId("a")), .value = "?"}));
    CPPUNIT_ASSERT(
        !book.OnPut({.key = ProgressKey(JobId("a")), .value = "[]"}));
    CPPUNIT_ASSERT(!book.StateOf(JobId("a")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobBookTest);

}  // namespace
}  // namespace quetzal
