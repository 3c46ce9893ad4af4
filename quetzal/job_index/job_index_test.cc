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

StoreItem RecordItem(const std::string& id, JobState state) {
  return {.key = JobKey(JobId(id)),
          .value = EncodeJobRecord(QueueId("quotes"), state)};
}

StoreItem AcceptanceItem(const std::string& id) {
  return RecordItem(id, JobState::kQueued);
}

// As earlier versions stored accepted jobs and their progress.
StoreItem FormerAcceptanceItem(const std::string& id) {
  return {.key = JobKey(JobId(id)), .value = EncodeJob(MakeJob(id))};
}

StoreItem FormerProgressItem(const std::string& id, JobState state) {
  JobProgress progress = InitialProgress(MakeJob(id).spec);
  progress.state = state;
  return {.key = "cell/progress/" + id, .value = EncodeProgress(progress)};
}

class JobIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobIndexTest);
  CPPUNIT_TEST(ReportsAJobOnceItIsAccepted);
  CPPUNIT_TEST(CountsJobsThatHaveNotStarted);
  CPPUNIT_TEST(CancellingAnEndedJobKeepsItsState);
  CPPUNIT_TEST(AnEndedJobIsReadFromItsOwnKey);
  CPPUNIT_TEST(ReadsWhatAnEarlierVersionStored);
  CPPUNIT_TEST(RequestsAndProgressAreIgnored);
  CPPUNIT_TEST(AnUndecodableValueChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsAJobOnceItIsAccepted() {
    JobIndex index;
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
    CPPUNIT_ASSERT(index.OnPut(AcceptanceItem("a")));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kQueued);
    CPPUNIT_ASSERT(index.OnPut(RecordItem("a", JobState::kRunning)));
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
    index.OnPut(RecordItem("a", JobState::kRunning));
    index.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, index.PendingCount(QueueId("quotes")));
    index.OnRemoved(JobKey(JobId("c")));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, index.PendingCount(QueueId("quotes")));
  }

  void CancellingAnEndedJobKeepsItsState() {
    JobIndex index;
    index.OnPut(AcceptanceItem("a"));
    index.OnPut(RecordItem("a", JobState::kCompleted));
    index.OnPut({.key = CancelKey(JobId("a"))});
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kCompleted);
    index.OnPut(AcceptanceItem("b"));
    index.OnPut({.key = CancelKey(JobId("b"))});
    CPPUNIT_ASSERT(index.StateOf(JobId("b")) == JobState::kCancelled);
  }

  void AnEndedJobIsReadFromItsOwnKey() {
    JobIndex index;
    index.OnPut(AcceptanceItem("a"));
    index.OnPut(RecordItem("a", JobState::kRunning));
    index.OnPut(RecordItem("a", JobState::kFailed));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, index.PendingCount(QueueId("quotes")));
  }

  void ReadsWhatAnEarlierVersionStored() {
    JobIndex index;
    CPPUNIT_ASSERT(index.OnPut(FormerProgressItem("a", JobState::kRunning)));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
    CPPUNIT_ASSERT(index.OnPut(FormerAcceptanceItem("a")));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kRunning);
    index.OnPut(RecordItem("a", JobState::kFailed));
    // An older update of another key may arrive later.
    index.OnPut(FormerProgressItem("a", JobState::kRunning));
    CPPUNIT_ASSERT(index.StateOf(JobId("a")) == JobState::kFailed);
  }

  void RequestsAndProgressAreIgnored() {
    JobIndex index;
    CPPUNIT_ASSERT(index.OnPut({.key = RequestKey(JobId("a"))}));
    CPPUNIT_ASSERT(index.OnPut({.key = ProgressKey(JobId("a"))}));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
  }

  void AnUndecodableValueChangesNothing() {
    JobIndex index;
    CPPUNIT_ASSERT(!index.OnPut({.key = JobKey(JobId("a")), .value = "?"}));
    CPPUNIT_ASSERT(!index.OnPut({.key = "cell/progress/a", .value = "[]"}));
    CPPUNIT_ASSERT(!index.StateOf(JobId("a")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIndexTest);

}  // namespace
}  // namespace quetzal
