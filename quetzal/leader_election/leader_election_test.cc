#include "quetzal/leader_election/leader_election.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

struct Candidate {
  Candidate(const std::string& name, testing::VirtualClock* clock,
            testing::MemoryStore* store, EventLog* log)
      : leadership(
            store, LeaderElectionSettings{.self = name},
            LeaderElectionHandlers{
                .on_elected =
                    [this](Fence fence, int64_t term) {
                      fences.push_back(fence);
                      terms.push_back(term);
                    },
                .on_fence_raised =
                    [this](Fence fence) { raised.push_back(fence); },
                .on_lost = [this](const std::string&) { ++lost; }},
            clock->Timer(), [clock] { return clock->now(); }, log) {}

  std::vector<Fence> fences;
  std::vector<int64_t> terms;
  std::vector<Fence> raised;
  int lost = 0;
  LeaderElection leadership;
};

class LeadershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadershipTest);
  CPPUNIT_TEST(OneOfManyLeads);
  CPPUNIT_TEST(AnotherTakesOverWithAHigherFenceAndTheNextTerm);
  CPPUNIT_TEST(ASeatGivenBackIsTakenAtOnce);
  CPPUNIT_TEST(AnUnansweredTakingIsReadBack);
  CPPUNIT_TEST(ASeatThatLapsedInAnOutageIsHeldAnew);
  CPPUNIT_TEST(ALeaderThatAnotherReplacedIsNotSure);
  CPPUNIT_TEST(ALeaderWithoutTheStoreIsSureOnlyForItsLease);
  CPPUNIT_TEST(ASeatOutlivesRenewalsWithoutAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneOfManyLeads() {
    Candidate a("a", &clock_, &store_, &log_);
    Candidate b("b", &clock_, &store_, &log_);
    a.leadership.Start();
    b.leadership.Start();
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(a.leadership.is_leader() != b.leadership.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.fences.size() + b.fences.size());
  }

  void AnotherTakesOverWithAHigherFenceAndTheNextTerm() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    Candidate b("b", &clock_, &store_, &log_);
    b.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(!b.leadership.is_leader());
    a.leadership.StepDown("test");
    clock_.Advance(Milliseconds(200));
    CPPUNIT_ASSERT(b.leadership.is_leader());
    CPPUNIT_ASSERT(b.fences.at(0) > a.fences.at(0));
    CPPUNIT_ASSERT_EQUAL(a.terms.at(0) + 1, b.terms.at(0));
  }

  void ASeatGivenBackIsTakenAtOnce() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    Candidate b("b", &clock_, &store_, &log_);
    b.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    bool done = false;
    a.leadership.Resign([&] { done = true; });
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(!a.leadership.is_leader());
    CPPUNIT_ASSERT(b.leadership.is_leader());
  }

  void AnUnansweredTakingIsReadBack() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.leadership.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.fences.size());
  }

  void ASeatThatLapsedInAnOutageIsHeldAnew() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    const LeaseId lease = store_.Find(LeaderKey())->lease;
    store_.SetDown(true);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(a.leadership.is_leader());
    store_.ExpireLease(lease);
    store_.SetDown(false);
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(a.leadership.is_leader());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, a.raised.size());
    CPPUNIT_ASSERT(a.raised[0] > a.fences[0]);
    CPPUNIT_ASSERT_EQUAL(0, a.lost);
    CPPUNIT_ASSERT(a.leadership.HasValidLease(clock_.now()));
  }

  void ALeaderThatAnotherReplacedIsNotSure() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    store_.ExpireLease(store_.Find(LeaderKey())->lease);
    // Another placer's term, which was over soon.
    const Revision term = store_.Find(TermKey())->revision;
    store_.Apply({.conditions = {{TermKey(), term}},
                  .puts = {{.key = TermKey(), .value = "5"},
                           {.key = LeaderKey(), .value = "b"}}},
                 [](const TransactionAnswer&) {});
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(!a.leadership.is_leader());
    CPPUNIT_ASSERT_EQUAL(1, a.lost);
  }

  void ALeaderWithoutTheStoreIsSureOnlyForItsLease() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(a.leadership.HasValidLease(clock_.now()));
    store_.SetDown(true);
    clock_.Advance(LeaderElectionSettings{}.lease_ttl);
    CPPUNIT_ASSERT(!a.leadership.HasValidLease(clock_.now()));
  }

  // The store loses answers; each takes its caller longer to miss than the
  // seat's lease lasts.
  void ASeatOutlivesRenewalsWithoutAnswers() {
    Candidate a("a", &clock_, &store_, &log_);
    a.leadership.Start();
    clock_.Advance(Milliseconds(1'000));
    for (int i = 0; i < 10; ++i) {
      store_.DropRenewals(3);
      clock_.Advance(Milliseconds(1'010));
      CPPUNIT_ASSERT(a.leadership.HasValidLease(clock_.now()));
    }
    CPPUNIT_ASSERT_EQUAL(0, a.lost);
  }

 private:
  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);

}  // namespace
}  // namespace quetzal
