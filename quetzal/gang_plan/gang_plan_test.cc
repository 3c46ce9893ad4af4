#include "quetzal/gang_plan/gang_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

Resources Cores(int64_t cores) { return {.cpu_milli = cores * 1'000}; }

int MembersOf(const GangPlan& plan) {
  int members = 0;
  for (const GangPlan::Assignment& a : plan.assignments) members += a.members;
  return members;
}

class GangPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangPlanTest);
  CPPUNIT_TEST(StartsAtOnceIfCapacityIsFree);
  CPPUNIT_TEST(WaitsForTheEarliestCapacityForAllMembers);
  CPPUNIT_TEST(FindsNoPlanForInsufficientCapacity);
  CPPUNIT_TEST(ChecksEveryResource);
  CPPUNIT_TEST(RespectsTheMaximumPerWorker);
  CPPUNIT_TEST(NegativeCapacityCountsAsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsAtOnceIfCapacityIsFree() {
    const auto plan =
        PlanGang(Cores(4), 5, {{.free = Cores(9)}, {.free = Cores(13)}});
    CPPUNIT_ASSERT(plan);
    CPPUNIT_ASSERT(plan->starts_in == Milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(5, MembersOf(*plan));
    // The worker with more free capacity is filled first.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->assignments[0].candidate);
    CPPUNIT_ASSERT_EQUAL(3, plan->assignments[0].members);
  }

  void WaitsForTheEarliestCapacityForAllMembers() {
    const std::vector<GangCandidate> candidates = {
        {.free = Cores(2),
         .frees = {{Milliseconds(900), Cores(4)},
                   {Milliseconds(3'000), Cores(8)}}},
        {.free = Cores(4), .frees = {{Milliseconds(1'500), Cores(4)}}}};
    const auto plan = PlanGang(Cores(4), 3, candidates);
    CPPUNIT_ASSERT(plan);
    CPPUNIT_ASSERT(plan->starts_in == Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(3, MembersOf(*plan));
  }

  void FindsNoPlanForInsufficientCapacity() {
    CPPUNIT_ASSERT(!PlanGang(Cores(4), 2, {{.free = Cores(7)}}));
    CPPUNIT_ASSERT(!PlanGang(Cores(4), 1, {}));
  }

  void ChecksEveryResource() {
    const Resources member = {.cpu_milli = 1'000, .memory_mib = 1'000};
    CPPUNIT_ASSERT(!PlanGang(
        member, 2, {{.free = {.cpu_milli = 8'000, .memory_mib = 1'500}}}));
  }

  void RespectsTheMaximumPerWorker() {
    const std::vector<GangCandidate> candidates = {
        {.free = Cores(16), .max_members = 1},
        {.free = Cores(16), .max_members = 1}};
    CPPUNIT_ASSERT(!PlanGang(Cores(1), 3, candidates));
    CPPUNIT_ASSERT(PlanGang(Cores(1), 2, candidates));
  }

  void NegativeCapacityCountsAsNone() {
    const std::vector<GangCandidate> candidates = {
        {.free = Cores(-4), .frees = {{Milliseconds(100), Cores(8)}}}};
    const auto plan = PlanGang(Cores(4), 1, candidates);
    CPPUNIT_ASSERT(plan);
    CPPUNIT_ASSERT(plan->starts_in == Milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangPlanTest);

}  // namespace
}  // namespace quetzal
