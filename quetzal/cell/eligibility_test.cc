// Tests that tasks start only on workers of their queue's service with the
// label that they require.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;

class EligibilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EligibilityTest);
  CPPUNIT_TEST(AnEntryWithoutIncarnationAttractsNoTasks);
  CPPUNIT_TEST(AnEntryOfAnIncarnationThatHasntAnsweredAttractsNoTasks);
  CPPUNIT_TEST(AnAnswerWithoutIncarnationConfirmsNoEntry);
  CPPUNIT_TEST(WorkersWithoutIncarnationsGetTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The entry may be another writer's, with another service and other labels.
  void AnEntryWithoutIncarnationAttractsNoTasks() {
    FakeFleet fleet(1);
    FakeWorker& worker = fleet.workers_.at(WorkerId("w-0"));
    fleet.Recover();
    WorkerEntry other = worker.entry;
    other.incarnation = Incarnation{0};
    other.labels = {"a"};
    fleet.cell()->OnWorkerEntry(other, fleet.now());
    AddJobThatRequires("a", &fleet);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    worker.entry.labels = {"a"};
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void AnEntryOfAnIncarnationThatHasntAnsweredAttractsNoTasks() {
    FakeFleet fleet(1);
    fleet.Recover();
    WorkerEntry next = fleet.workers_.at(WorkerId("w-0")).entry;
    next.incarnation = Incarnation{2};
    next.labels = {"a"};
    fleet.cell()->OnWorkerEntry(next, fleet.now());
    AddJobThatRequires("a", &fleet);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
  }

  void AnAnswerWithoutIncarnationConfirmsNoEntry() {
    FakeFleet fleet(1);
    FakeWorker& worker = fleet.workers_.at(WorkerId("w-0"));
    worker.entry.incarnation = Incarnation{0};
    WorkerEntry listed = worker.entry;
    listed.incarnation = Incarnation{1};
    listed.labels = {"a"};
    fleet.cell()->OnWorkerEntry(listed, fleet.now());
    fleet.Recover();
    AddJobThatRequires("a", &fleet);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
  }

  void WorkersWithoutIncarnationsGetTasks() {
    FakeFleet fleet(1);
    FakeWorker& worker = fleet.workers_.at(WorkerId("w-0"));
    worker.entry.incarnation = Incarnation{0};
    worker.entry.labels = {"a"};
    fleet.cell()->OnWorkerEntry(worker.entry, fleet.now());
    fleet.Recover();
    AddJobThatRequires("a", &fleet);
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

 private:
  static void AddJobThatRequires(const std::string& label, FakeFleet* fleet) {
    StepSpec step = FakeFleet::MakeStep(1);
    step.required_label = label;
    fleet->cell()->OnJob(FakeFleet::MakeJob("j", {step}), Revision{1},
                         std::nullopt, fleet->now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EligibilityTest);

}  // namespace
}  // namespace quetzal
