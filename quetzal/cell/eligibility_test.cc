// Tests that tasks start only on workers of their queue's service with the
// label that they require.
#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;
using testing::kRunFloor;
using testing::Task;

constexpr char kFormerService[] = "s";
constexpr char kOtherService[] = "s-2";

std::shared_ptr<const Catalog> MakeCatalog(std::vector<Queue> queues) {
  return std::make_shared<const Catalog>(
      2, std::move(queues), std::vector<ServiceConfig>{},
      std::vector{Team{.name = TeamId("t")}}, CatalogLimits{});
}

Queue MakeQueue(const ServiceId& service) {
  return {.name = QueueId("q"), .service = service, .max_attempts = 2};
}

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

// The queue is sent to another service or removed.
class ReroutedQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReroutedQueueTest);
  CPPUNIT_TEST(AWaitingJobFollowsItsQueueToAnotherService);
  CPPUNIT_TEST(AJobOfARemovedQueueStaysAtItsService);
  CPPUNIT_TEST(AJobAheadOfTheConfigurationStartsAtTheServiceOfItsAcceptance);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The start that was refused as the queue moved isn't repeated there.
  void AWaitingJobFollowsItsQueueToAnotherService() {
    FakeFleet fleet(2);
    FakeWorker& other = fleet.workers_.at(WorkerId("w-1"));
    SetService(ServiceId(kOtherService), &other, &fleet);
    fleet.Recover();
    fleet.start_outcome_ = OrderOutcome::kNotExecuted;
    AddJob(ServiceId(kFormerService), &fleet);
    fleet.Run(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[0].worker.service ==
                   ServiceId(kFormerService));
    fleet.cell()->OnCatalog(MakeCatalog({MakeQueue(ServiceId(kOtherService))}),
                            fleet.now());
    fleet.start_outcome_ = OrderOutcome::kDone;
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[1].worker.service == ServiceId(kOtherService));
  }

  void AJobOfARemovedQueueStaysAtItsService() {
    for (const bool is_taken_over : {false, true}) {
      FakeFleet fleet(2);
      SetService(ServiceId(kOtherService), &fleet.workers_.at(WorkerId("w-1")),
                 &fleet);
      fleet.Recover();
      fleet.start_outcome_ = OrderOutcome::kNotExecuted;
      AddJob(ServiceId(kFormerService), &fleet);
      fleet.Run(Milliseconds(20));
      if (is_taken_over) {
        fleet.StartTerm(Fence{8}, 2 * kRunFloor,
                        FakeFleet::Configuration::kNotLoaded);
        AddJob(ServiceId(kFormerService), &fleet);
      }
      fleet.cell()->OnCatalog(MakeCatalog({}), fleet.now());
      fleet.Recover();
      fleet.start_outcome_ = OrderOutcome::kDone;
      fleet.Run(Milliseconds(1'000));
      CPPUNIT_ASSERT(fleet.IsRunning(Task("a", 0, 0)));
      for (const StartAction& start : fleet.starts_) {
        CPPUNIT_ASSERT(start.worker.service == ServiceId(kFormerService));
      }
    }
  }

  void AJobAheadOfTheConfigurationStartsAtTheServiceOfItsAcceptance() {
    FakeFleet fleet(2);
    SetService(ServiceId(kOtherService), &fleet.workers_.at(WorkerId("w-1")),
               &fleet);
    fleet.cell()->OnCatalog(MakeCatalog({}), fleet.now());
    fleet.Recover();
    AddJob(ServiceId(kOtherService), &fleet);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[0].worker.service == ServiceId(kOtherService));
  }

 private:
  static void SetService(const ServiceId& service, FakeWorker* worker,
                         FakeFleet* fleet) {
    worker->entry.service = service;
    fleet->cell()->OnWorkerEntry(worker->entry, fleet->now());
  }
  static void AddJob(const ServiceId& service, FakeFleet* fleet) {
    AcceptedJob job = FakeFleet::MakeJob("a", {FakeFleet::MakeStep(1)});
    job.service = service;
    fleet->cell()->OnJob(job, Revision{1}, std::nullopt, fleet->now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReroutedQueueTest);

}  // namespace
}  // namespace quetzal
