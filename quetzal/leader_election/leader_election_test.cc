#include "quetzal/leader_election/leader_election.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

struct Candidate {
  Candidate(const std::string& name, testing::VirtualClock* clock,
            testing::MemoryStore* store, EventLog* log,
            Milliseconds election_delay = Milliseconds(0))
      : election(
            store,
            LeaderElectionSettings{.self = name,
                                   .election_delay = election_delay},
            LeaderElectionHandlers{
                .on_elected =
                    [this](Fence fence, int64_t term) {
                      fences.push_back(fence);
                      terms.push_back(term);
                    },
                .on_fence_raised =
                    [this](Fence fence) { raised_fences.push_back(fence); },
                .on_lost = [this](const std::string&) { ++lost_terms; }},
            clock->Timer(), [clock] { return clock->now(); }, log) {}

  std::vector<Fence> fences;
  std::vector<int64_t> terms;
  std::vector<Fence> raised_fences;
  int lost_terms = 0;
  LeaderElection election;
};

class LeaderElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderElectionTest);
  CPPUNIT_TEST(ElectsExactlyOneLeader);
  CPPUNIT_TEST(TakeoverRaisesTheFenceAndTheTerm);
  CPPUNIT_TEST(AStandbyTakesOverAtOnceAfterAResignation);
  CPPUNIT_TEST(AnUnansweredAcquisitionIsVerifiedByARead);
  CPPUNIT_TEST(ALeaseThatExpiredInAnOutageIsReacquired);
  CPPUNIT_TEST(ALeaseWithoutTheLeaderKeyIsNotValid);
  CPPUNIT_TEST(ALeaderKeyThatIsWrittenLateIsAdopted);
  CPPUNIT_TEST(AFenceRenewedBeforeTheLeaseEndedMakesNoLeaseValid);
  CPPUNIT_TEST(ATermAfterAFailedReacquisitionHasAValidLease);
  CPPUNIT_TEST(AReplacedLeaderStepsDown);
  CPPUNIT_TEST(TheLeaseIsValidOnlyForItsTtlWithoutTheStore);
  CPPUNIT_TEST(TheTimeWithoutALeaseBeginsAtTheEndOfTheLastValidOne);
  CPPUNIT_TEST(LeadershipSurvivesRenewalsWithoutAnswers);
  CPPUNIT_TEST(AMachineWithMoreCpuReplacesTheLeader);
  CPPUNIT_TEST(EqualMachinesKeepTheirLeader);
  CPPUNIT_TEST(AClaimAffectsNoLaterLeader);
  CPPUNIT_TEST(AnUnreadableClaimAffectsNobody);
  CPPUNIT_TEST(AFenceIsRenewedInTheSameTerm);
  CPPUNIT_TEST(ARenewedFenceIsAdoptedWithoutAnAnswer);
  CPPUNIT_TEST(AFormerLeaderRenewsNoFence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AFenceIsRenewedInTheSameTerm() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    const Fence before = a.election.fence();
    a.election.RenewFence();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.raised_fences.size());
    CPPUNIT_ASSERT(a.raised_fences[0] > before);
    CPPUNIT_ASSERT(a.election.fence() == a.raised_fences[0]);
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
    // The leader key has to be renewable, and given back, under the new one.
    bool is_resigned = false;
    a.election.Resign([&] { is_resigned = true; });
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(is_resigned);
    CPPUNIT_ASSERT(store_.Find(LeaderKey()) == nullptr);
  }

  void ARenewedFenceIsAdoptedWithoutAnAnswer() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.DropNextAnswer(/*is_applied=*/true);
    a.election.RenewFence();
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.raised_fences.size());
    CPPUNIT_ASSERT(store_.Find(LeaderKey())->revision ==
                   Revision{static_cast<uint64_t>(a.election.fence())});
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
  }

  void AFormerLeaderRenewsNoFence() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    a.election.RenewFence();
    a.election.StepDown("test");
    a.election.RenewFence();
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(a.raised_fences.empty());
    CPPUNIT_ASSERT(!a.election.is_leader());
    CPPUNIT_ASSERT(store_.Find(LeaderKey()) == nullptr);
  }

  void ElectsExactlyOneLeader() {
    Candidate a("a", &clock_, &store_, &log_);
    Candidate b("b", &clock_, &store_, &log_);
    a.election.Start();
    b.election.Start();
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(a.election.is_leader() != b.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.fences.size() + b.fences.size());
  }

  void TakeoverRaisesTheFenceAndTheTerm() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    Candidate b("b", &clock_, &store_, &log_);
    b.election.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(!b.election.is_leader());
    a.election.StepDown("test");
    clock_.Advance(Milliseconds(200));
    CPPUNIT_ASSERT(b.election.is_leader());
    CPPUNIT_ASSERT(b.fences.at(0) > a.fences.at(0));
    CPPUNIT_ASSERT_EQUAL(a.terms.at(0) + 1, b.terms.at(0));
  }

  void AStandbyTakesOverAtOnceAfterAResignation() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    Candidate b("b", &clock_, &store_, &log_);
    b.election.Start();
    clock_.Advance(Milliseconds(1'000));
    bool done = false;
    a.election.Resign([&] { done = true; });
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(!a.election.is_leader());
    CPPUNIT_ASSERT(b.election.is_leader());
  }

  void AnUnansweredAcquisitionIsVerifiedByARead() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.fences.size());
  }

  void ALeaseThatExpiredInAnOutageIsReacquired() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    const LeaseId lease = store_.Find(LeaderKey())->lease;
    store_.SetDown(true);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    store_.ExpireLease(lease);
    store_.SetDown(false);
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.raised_fences.size());
    CPPUNIT_ASSERT(a.raised_fences[0] > a.fences[0]);
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
    CPPUNIT_ASSERT(a.election.HasValidLease(clock_.now()));
  }

  // Guards against a placer that counts as the leader for certain while the
  // write of its leader key has no answer: another may be elected meanwhile.
  void ALeaseWithoutTheLeaderKeyIsNotValid() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.DropNextAnswer(/*is_applied=*/false);
    store_.ExpireLease(store_.Find(LeaderKey())->lease);
    clock_.Advance(LeaderElectionSettings{}.lease_ttl);
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT(store_.Find(LeaderKey()) == nullptr);
    CPPUNIT_ASSERT(!a.election.HasValidLease(clock_.now()));
  }

  void ALeaderKeyThatIsWrittenLateIsAdopted() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.HoldNextTransaction();
    store_.ExpireLease(store_.Find(LeaderKey())->lease);
    clock_.Advance(LeaderElectionSettings{}.lease_ttl);
    CPPUNIT_ASSERT(!a.election.HasValidLease(clock_.now()));
    store_.ExecuteHeldTransactions();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT(a.election.HasValidLease(clock_.now()));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.raised_fences.size());
  }

  // The watch shows the renewed fence, under the former lease, at any moment of
  // the reacquisition.
  void AFenceRenewedBeforeTheLeaseEndedMakesNoLeaseValid() {
    const Milliseconds ttl = LeaderElectionSettings{}.lease_ttl;
    for (Milliseconds shown_after{0}; shown_after < ttl;
         shown_after += Milliseconds(1)) {
      testing::VirtualClock clock;
      testing::MemoryStore store(clock.AfterOneMillisecond());
      Candidate a("a", &clock, &store, &log_);
      a.election.Start();
      clock.Advance(Milliseconds(1'000));
      store.SetWatchesStalled(true);
      store.DropNextAnswer(/*is_applied=*/true);
      a.election.RenewFence();
      store.DropNextAnswer(/*is_applied=*/false);
      store.ExpireLease(store.Find(LeaderKey())->lease);
      clock.Advance(shown_after);
      store.SetWatchesStalled(false);
      clock.Advance(ttl - shown_after);
      CPPUNIT_ASSERT(store.Find(LeaderKey()) == nullptr);
      CPPUNIT_ASSERT(!a.election.HasValidLease(clock.now()));
    }
  }

  void ATermAfterAFailedReacquisitionHasAValidLease() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.FailNextTransaction(StoreOutcome::kUnknown, /*is_applied=*/false);
    store_.ExpireLease(store_.Find(LeaderKey())->lease);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT_EQUAL(1, a.lost_terms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, a.fences.size());
    CPPUNIT_ASSERT(a.election.HasValidLease(clock_.now()));
  }

  void AReplacedLeaderStepsDown() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.ExpireLease(store_.Find(LeaderKey())->lease);
    // Another placer is elected meanwhile.
    const Revision term = store_.Find(TermKey())->revision;
    store_.Apply({.conditions = {{TermKey(), term}},
                  .puts = {{.key = TermKey(), .value = "5"},
                           {.key = LeaderKey(), .value = "b"}}},
                 [](const TransactionAnswer&) {});
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(!a.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(1, a.lost_terms);
  }

  void TheLeaseIsValidOnlyForItsTtlWithoutTheStore() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.election.HasValidLease(clock_.now()));
    store_.SetDown(true);
    clock_.Advance(LeaderElectionSettings{}.lease_ttl);
    CPPUNIT_ASSERT(!a.election.HasValidLease(clock_.now()));
  }

  void TheTimeWithoutALeaseBeginsAtTheEndOfTheLastValidOne() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.election.TimeWithoutLease(clock_.now()) < Milliseconds(0));
    store_.SetDown(true);
    while (a.election.HasValidLease(clock_.now())) {
      clock_.Advance(Milliseconds(1));
    }
    CPPUNIT_ASSERT(a.election.TimeWithoutLease(clock_.now()) ==
                   Milliseconds(0));
    constexpr Milliseconds kOutage{14'000};
    clock_.Advance(kOutage);
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT(a.election.TimeWithoutLease(clock_.now()) == kOutage);
    store_.SetDown(false);
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT(a.election.TimeWithoutLease(clock_.now()) < Milliseconds(0));
  }

  // Guards against a lease that expires because a renewal waits for the
  // previous one: a lost answer takes longer to time out than the lease lasts.
  void LeadershipSurvivesRenewalsWithoutAnswers() {
    Candidate a("a", &clock_, &store_, &log_);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    for (int i = 0; i < 10; ++i) {
      store_.DropRenewals(3);
      clock_.Advance(Milliseconds(1'010));
      CPPUNIT_ASSERT(a.election.HasValidLease(clock_.now()));
    }
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
  }

  // Replays an unstable store that refused the better equipped placers during
  // an election: the one that won can't keep up with its work.
  void AMachineWithMoreCpuReplacesTheLeader() {
    Candidate weak("weak", &clock_, &store_, &log_, kWeakDelay);
    weak.election.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(weak.election.is_leader());
    Candidate strong("strong", &clock_, &store_, &log_);
    Candidate other("other", &clock_, &store_, &log_, kWeakDelay);
    strong.election.Start();
    other.election.Start();
    int leaderless_ms = 0;
    for (int ms = 0; ms < 5'000; ++ms) {
      clock_.Advance(Milliseconds(1));
      const int leaders = (weak.election.is_leader() ? 1 : 0) +
                          (strong.election.is_leader() ? 1 : 0) +
                          (other.election.is_leader() ? 1 : 0);
      CPPUNIT_ASSERT(leaders <= 1);
      if (leaders == 0) ++leaderless_ms;
    }
    CPPUNIT_ASSERT(strong.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(1, weak.lost_terms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, other.fences.size());
    CPPUNIT_ASSERT(strong.fences.at(0) > weak.fences.at(0));
    CPPUNIT_ASSERT(leaderless_ms < 500);
  }

  void EqualMachinesKeepTheirLeader() {
    Candidate a("a", &clock_, &store_, &log_, kWeakDelay);
    Candidate b("b", &clock_, &store_, &log_, kWeakDelay);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    b.election.Start();
    clock_.Advance(Milliseconds(20'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
  }

  void AClaimAffectsNoLaterLeader() {
    Candidate a("a", &clock_, &store_, &log_, kWeakDelay);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    const auto former = static_cast<uint64_t>(a.fences.at(0)) - 1;
    store_.Apply(
        {.puts = {{.key = ClaimKey(), .value = std::to_string(former)}}},
        [](const TransactionAnswer&) {});
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(a.election.is_leader());
    CPPUNIT_ASSERT_EQUAL(0, a.lost_terms);
  }

  void AnUnreadableClaimAffectsNobody() {
    Candidate a("a", &clock_, &store_, &log_, kWeakDelay);
    a.election.Start();
    clock_.Advance(Milliseconds(1'000));
    for (const char* const text : {"", "?", "-1", "99999999999999999999"}) {
      store_.Apply({.puts = {{.key = ClaimKey(), .value = text}}},
                   [](const TransactionAnswer&) {});
      clock_.Advance(Milliseconds(500));
    }
    CPPUNIT_ASSERT(a.election.is_leader());
    // Nor does the removal of a claim make the leader key vacant.
    store_.Apply({.removes = {ClaimKey()}}, [](const TransactionAnswer&) {});
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.fences.size());
  }

 private:
  static constexpr Milliseconds kWeakDelay{228};

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderElectionTest);

}  // namespace
}  // namespace quetzal
