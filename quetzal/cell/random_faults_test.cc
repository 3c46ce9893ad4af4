// Tests with seeded random faults of workers, orders and placers that no worker
// gets more runs than allowed, and that no task runs twice at the same time.
#include <iostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;

constexpr int kSeeds = 200;
constexpr int kWorkers = 5;
constexpr int kRounds = 600;
constexpr Milliseconds kRound{50};

class RandomFaults {
 public:
  explicit RandomFaults(uint64_t seed) : random_(seed), fleet_(kWorkers) {
    fleet_.max_per_worker_ = 1;
    fleet_.Recover();
  }

  // False if a limit was broken.
  bool Run() {
    for (int round = 0; round < kRounds; ++round) {
      if (Chance(10)) AddJob();
      if (Chance(8)) fleet_.hold_starts_ = true;
      if (Chance(25)) ReleaseStarts();
      if (Chance(6)) fleet_.hold_stops_ = !fleet_.hold_stops_;
      if (Chance(1)) TakeOver();
      for (auto& [id, worker] : fleet_.workers_) Disturb(&worker);
      fleet_.Run(kRound);
      const bool is_broken =
          fleet_.over_step_limit_ || fleet_.over_capacity_ || fleet_.ran_twice_;
      if (is_broken) return false;
    }
    return true;
  }
  const FakeFleet& fleet() const { return fleet_; }

 private:
  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
  }

  void AddJob() {
    StepSpec step = FakeFleet::MakeStep(4);
    step.max_per_worker = 1;
    step.gang = Chance(30);
    jobs_.push_back(
        FakeFleet::MakeJob("j" + std::to_string(jobs_.size()), {step}));
    fleet_.cell()->OnJob(jobs_.back(), Revision{1}, std::nullopt, fleet_.now());
  }

  // Some of the starts under way are executed, none is answered.
  void ReleaseStarts() {
    fleet_.hold_starts_ = false;
    const std::vector<StartAction> starts =
        std::exchange(fleet_.held_starts_, {});
    for (const StartAction& start : starts) {
      fleet_.cell()->OnStartAnswer(start.worker.id, start.order, {},
                                   fleet_.now());
      if (Chance(70)) fleet_.ExecuteStart(start);
    }
  }

  bool HasHeldStart(const FakeWorker& worker) const {
    for (const StartAction& start : fleet_.held_starts_) {
      if (start.worker.id == worker.entry.id) return true;
    }
    return false;
  }

  void Disturb(FakeWorker* worker) {
    if (Chance(3)) worker->unresponsive = !worker->unresponsive;
    if (Chance(3)) worker->refuses_connections = !worker->refuses_connections;
    // late_start_test has the case of a start executed after a restart.
    if (Chance(1) && !HasHeldStart(*worker)) {
      worker->Restart();
      fleet_.cell()->OnWorkerEntry(worker->entry, fleet_.now());
    }
    if (Chance(10) && !worker->running.empty()) {
      worker->End(worker->running.begin()->first,
                  Chance(80) ? TaskOutcome::kDone : TaskOutcome::kFailed);
    }
  }

  void TakeOver() {
    ++term_;
    fleet_.StartTerm(Fence{static_cast<uint64_t>(testing::kFence) +
                           static_cast<uint64_t>(term_)},
                     testing::kRunFloor + 1'000 * term_);
    for (const AcceptedJob& job : jobs_) {
      fleet_.cell()->OnJob(job, Revision{1}, std::nullopt, fleet_.now());
    }
    fleet_.cell()->OnJobsListed(fleet_.now());
  }

  std::mt19937_64 random_;
  FakeFleet fleet_;
  std::vector<AcceptedJob> jobs_;
  int64_t term_ = 0;
};

class RandomFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomFaultsTest);
  CPPUNIT_TEST(FaultsBreakNoLimitOfRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultsBreakNoLimitOfRuns() {
    size_t starts = 0;
    int broken = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomFaults faults(seed);
      if (!faults.Run()) {
        ++broken;
        std::cerr << "seed " << seed << ": over step limit "
                  << faults.fleet().over_step_limit_ << ", over capacity "
                  << faults.fleet().over_capacity_ << ", ran twice "
                  << faults.fleet().ran_twice_ << "\n";
      }
      starts += faults.fleet().starts_.size();
    }
    CPPUNIT_ASSERT(starts > size_t{kSeeds} * 20);
    CPPUNIT_ASSERT_EQUAL(0, broken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomFaultsTest);

}  // namespace
}  // namespace quetzal
