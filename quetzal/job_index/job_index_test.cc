#include "quetzal/job_index/job_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

AcceptedJob MakeJob(const std::string& id) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = QueueId("quotes");
  job.spec.steps.push_back({.count = 2});
  return job;
}

StoreItem AcceptanceItem(const std::string& id) {
  return {.key = JobKey(JobId(id)), .value = EncodeJob(MakeJob(id))};
}

StoreItem ProgressItem(const std::string& id, JobState state) {
  JobProgress progress = InitialProgress(MakeJob(id).spec);
  progress.state = state;
  return {.key = ProgressKey(JobId(id)), .value = EncodeProgress(progress)};
}

class JobIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobIndexTest);
  CPPUNIT_TEST(ReportsAJobOnceItIsAccepted);
  CPPUNIT_TEST(CountsJobsThatHaveNotStarted);
  CPPUNIT_TEST(CancellingAnEndedJobKeepsItsState);
  CPPUNIT_TEST(AnEndedJobIsReadFromItsOwnKey);
  CPPUNIT_TEST(AnUndecodableValueChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsAJobOnceItIsAccepted() {
    JobIndex index;
    CPPUNIT_ASSERT(index.OnPut(ProgressItem("a", JobState::kRunning)));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
    CPPUNIT_ASSERT(index.OnPut(AcceptanceItem("a")));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kRunning);
    index.OnRemoved(JobKey(JobId("a")));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
  }

  void CountsJobsThatHaveNotStarted() {
    JobIndex index;
    index.OnPut(AcceptanceItem("a"));
    index.OnPut(AcceptanceItem("b"));
    index.OnPut(AcceptanceItem("c"));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, index.PendingCount(QueueId("quotes")));
    index.OnPut(ProgressItem("a", JobState::kRunning));
    index.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, index.PendingCount(QueueId("quotes")));
    index.OnRemoved(JobKey(JobId("c")));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, index.PendingCount(QueueId("quotes")));
  }

  void CancellingAnEndedJobKeepsItsState() {
    JobIndex index;
    index.OnPut(AcceptanceItem("a"));
    index.OnPut(ProgressItem("a", JobState::kCompleted));
    index.OnPut({.key = CancelKey(JobId("a"))});
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kCompleted);
    index.OnPut(AcceptanceItem("b"));
    index.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT(index.StateOf(JobId("b")) == JobState::kCancelled);
  }

  void AnEndedJobIsReadFromItsOwnKey() {
    JobIndex index;
    index.OnPut(AcceptanceItem("a"));
    index.OnPut(ProgressItem("a", JobState::kRunning));
    index.OnPut(
        {.key = JobKey(JobId("a")),
         .value = EncodeEndedJob(QueueId("quotes"), JobState::kFailed)});
    index.OnRemoved(ProgressKey(JobId("a")));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kFailed);
    // An older update of another key may arrive later.
    index.OnPut(ProgressItem("a", JobState::kRunning));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kFailed);
  }

  void AnUndecodableValueChangesNothing() {
    JobIndex index;
    CPPUNIT_ASSERT(!index.OnPut({.key = JobKey(JobId("a")), .value = "?"}));
    CPPUNIT_ASSERT(
        !index.OnPut({.key = ProgressKey(JobId("a")), .value = "[]"}));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIndexTest);

}  // namespace
}  // namespace quetzal
