// Tests with seeded random splits, losses of power and restarts of workers that
// what a term timer shows never lets a task run twice.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "quetzal/cell/testing/fake_fleet.h"

namespace quetzal {
namespace {

using testing::FakeFleet;
using testing::FakeWorker;

constexpr int kSeeds = 400;
constexpr int kJobs = 3;
constexpr Milliseconds kTick{10};
// TTL of the leader key's lease.
constexpr Milliseconds kLeaderKeyTtl{1'250};
constexpr Milliseconds kUntilAllEnded{26'000};

// Which placers reach a worker.
struct Reach {
  bool by_former = true;
  bool by_successor = true;
};

class TimedSplit {
 public:
  explicit TimedSplit(uint64_t seed)
      : random_(seed), fleet_(static_cast<int>(3 + seed % 7)) {
    fleet_.Recover();
    for (int i = 0; i < kJobs; ++i) {
      jobs_.push_back(FakeFleet::MakeJob("j" + std::to_string(i),
                                         {FakeFleet::MakeStep(3)}));
      AddJob(jobs_.back());
      fleet_.Run(kTick * Uniform(1, 100));
    }
  }

  // False if a task ran twice, or doesn't run in the end.
  bool Run() {
    renewed_at_ = fleet_.now();
    fleet_.store_up_ = false;
    ChangeReach(100);
    // The former placer acts alone until its successor is elected. It may lose
    // power before.
    const Time elected_at =
        renewed_at_ + kLeaderKeyTtl +
        kTick * (Chance(50) ? Uniform(0, 100) : Uniform(0, 1'200));
    former_ends_at_ = Chance(50) ? renewed_at_ + kTick * Uniform(0, 1'000)
                                 : renewed_at_ + kUntilAllEnded;
    while (fleet_.now() < elected_at) RunFormerAlone();
    const int successors = Uniform(1, 3);
    for (int i = 0; i < successors; ++i) {
      TakeOver();
      const bool is_last = i + 1 == successors;
      RunBoth(is_last ? kUntilAllEnded : kTick * Uniform(0, 1'000));
      if (fleet_.ran_twice_) return false;
      if (is_last) break;
      // This one is killed, and the next one elected later.
      renewed_at_ = fleet_.now() - kTick * Uniform(0, 25);
      RunFormerFor(kLeaderKeyTtl + kTick * Uniform(0, 1'000));
    }
    for (auto& [id, worker] : fleet_.workers_) {
      worker.unresponsive = false;
      fleet_.cell()->OnWorkerEntry(worker.entry, fleet_.now());
    }
    fleet_.Run(Milliseconds(10'000));
    return !fleet_.ran_twice_ && fleet_.running() == size_t{kJobs} * 3;
  }
  const FakeFleet& fleet() const { return fleet_; }

 private:
  bool Chance(int percent) { return Uniform(0, 99) < percent; }
  int Uniform(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }

  void AddJob(const AcceptedJob& job) {
    fleet_.cell()->OnJob(job, Revision{1}, std::nullopt, fleet_.now());
  }

  void ChangeReach(int percent) {
    for (auto& [id, worker] : fleet_.workers_) {
      if (!Chance(percent)) continue;
      // The former placer ends its term at a worker that both reach.
      const bool by_former = Chance(60);
      reach_[id] = {.by_former = by_former,
                    .by_successor = Chance(by_former ? 10 : 90)};
    }
  }

  // Only workers without runs, so that no run ends by a restart.
  void RestartSome() {
    for (auto& [id, worker] : fleet_.workers_) {
      if (worker.run_count() > 0 || Uniform(0, 2'000) > 0) continue;
      worker.Restart();
      if (!fleet_.unlisted_.contains(id)) {
        fleet_.cell()->OnWorkerEntry(worker.entry, fleet_.now());
      }
    }
  }

  void SetReach(bool of_former) {
    for (auto& [id, worker] : fleet_.workers_) {
      const Reach& reach = reach_[id];
      worker.unresponsive = !(of_former ? reach.by_former : reach.by_successor);
    }
  }

  bool MayFormerAct(Cell* former) {
    if (has_former_resigned_ || fleet_.now() >= former_ends_at_) return false;
    const Milliseconds without_lease =
        fleet_.now() - first_renewal() - kLeadershipValidity;
    return former->MaySendOrders(without_lease, fleet_.now());
  }
  // The former placer's last one.
  Time first_renewal() {
    if (!first_renewal_) first_renewal_ = renewed_at_;
    return *first_renewal_;
  }

  void RunFormerAlone() {
    RestartSome();
    SetReach(/*of_former=*/true);
    fleet_.orders_halted_ = !MayFormerAct(fleet_.cell());
    fleet_.cell()->OnLeadership(fleet_.now() <
                                first_renewal() + kLeadershipValidity);
    fleet_.Run(kTick);
  }

  void TakeOver() {
    if (!former_) fleet_.SwapCell(&former_);
    fleet_.orders_halted_ = false;
    fleet_.store_up_ = true;
    ++term_;
    // Some workers that the successor can't reach don't reach the store either.
    ChangeReach(40);
    fleet_.unlisted_.clear();
    for (const auto& [id, reach] : reach_) {
      if (!reach.by_successor && Chance(70)) fleet_.unlisted_.insert(id);
    }
    // The removal of the leader key has a revision too.
    fleet_.StartTerm(Fence{static_cast<uint64_t>(testing::kFence) +
                           2 * static_cast<uint64_t>(term_)},
                     testing::kRunFloor + kRunsPerTerm * term_);
    for (const AcceptedJob& job : jobs_) AddJob(job);
    fleet_.cell()->OnJobsListed(fleet_.now());
    has_timer_ended_ = false;
  }

  void RunBoth(Milliseconds span) {
    const Time until = fleet_.now() + span;
    while (fleet_.now() < until) {
      RestartSome();
      if (Chance(1)) ChangeReach(5);
      const bool has_ended =
          fleet_.now() >= renewed_at_ + TermTimerDuration(CellSettings{});
      if (has_ended && !has_timer_ended_) {
        has_timer_ended_ = true;
        fleet_.cell()->OnFormerTermTimerEnded(fleet_.now());
      }
      SetReach(/*of_former=*/false);
      fleet_.Run(kTick);
      LetFormerAct();
    }
  }

  void RunFormerFor(Milliseconds span) {
    const Time until = fleet_.now() + span;
    fleet_.orders_halted_ = true;
    while (fleet_.now() < until) {
      fleet_.Run(kTick);
      LetFormerAct();
    }
    fleet_.orders_halted_ = false;
  }

  void LetFormerAct() {
    if (!MayFormerAct(former_.get())) return;
    SetReach(/*of_former=*/true);
    const int resignations = fleet_.resignations_;
    fleet_.SwapCell(&former_);
    fleet_.cell()->OnLeadership(/*is_certain=*/false);
    fleet_.cell()->Decide(fleet_.now());
    for (const CellAction& action : fleet_.cell()->TakeActions()) {
      fleet_.Serve(action);
    }
    fleet_.SwapCell(&former_);
    has_former_resigned_ = fleet_.resignations_ > resignations;
  }

  std::mt19937_64 random_;
  FakeFleet fleet_;
  std::vector<AcceptedJob> jobs_;
  std::unique_ptr<Cell> former_;
  std::map<WorkerId, Reach> reach_;
  // Newest renewal of the placer before the present one.
  Time renewed_at_;
  std::optional<Time> first_renewal_;
  Time former_ends_at_;
  bool has_former_resigned_ = false;
  bool has_timer_ended_ = false;
  int64_t term_ = 0;
};

class TermTimerSplitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermTimerSplitTest);
  CPPUNIT_TEST(TimersThatEndedLetNoTaskRunTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TimersThatEndedLetNoTaskRunTwice() {
    int broken = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      TimedSplit split(seed);
      if (split.Run()) continue;
      ++broken;
      std::cerr << "seed " << seed << ": ran twice " << split.fleet().ran_twice_
                << ", running " << split.fleet().running() << " on "
                << split.fleet().workers_.size() << " workers\n";
    }
    CPPUNIT_ASSERT_EQUAL(0, broken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermTimerSplitTest);

}  // namespace
}  // namespace quetzal
