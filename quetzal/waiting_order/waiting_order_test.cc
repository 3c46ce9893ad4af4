#include "quetzal/waiting_order/waiting_order.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kNow{Milliseconds(1'000'000)};

class WaitingOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingOrderTest);
  CPPUNIT_TEST(ShortUrgentWorkGoesFirstUntilLongWorkHasLessSlack);
  CPPUNIT_TEST(StaleWorkGoesLast);
  CPPUNIT_TEST(WorkAboveTheRateGoesAfterOtherButBeforeStaleWork);
  CPPUNIT_TEST(TheArrivalRateLimiterRefillsWithTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShortUrgentWorkGoesFirstUntilLongWorkHasLessSlack() {
    const PlacementRank quick{.slack = Milliseconds(900), .since = kNow};
    PlacementRank long_work{.priority = 2, .slack = Milliseconds(15'000)};
    CPPUNIT_ASSERT(Precedes(quick, long_work));
    long_work.slack = Milliseconds(300);
    CPPUNIT_ASSERT(Precedes(long_work, quick));
  }

  void StaleWorkGoesLast() {
    CPPUNIT_ASSERT(ExpectedTimeliness(Milliseconds(100), Milliseconds(400),
                                      Milliseconds(500)) ==
                   Timeliness::kInTime);
    CPPUNIT_ASSERT(ExpectedTimeliness(Milliseconds(200), Milliseconds(400),
                                      Milliseconds(500)) == Timeliness::kLate);
    CPPUNIT_ASSERT(ExpectedTimeliness(Milliseconds(1'200), Milliseconds(400),
                                      Milliseconds(500)) == Timeliness::kStale);
    const PlacementRank fresh{.priority = 2};
    const PlacementRank late{.timeliness = Timeliness::kLate};
    const PlacementRank stale{.timeliness = Timeliness::kStale};
    CPPUNIT_ASSERT(Precedes(fresh, late));
    CPPUNIT_ASSERT(Precedes(late, stale));
  }

  void WorkAboveTheRateGoesAfterOtherButBeforeStaleWork() {
    const PlacementRank excess{.above_rate = true};
    const PlacementRank late{.timeliness = Timeliness::kLate, .priority = 2};
    const PlacementRank stale{.timeliness = Timeliness::kStale};
    CPPUNIT_ASSERT(Precedes(late, excess));
    CPPUNIT_ASSERT(Precedes(excess, stale));
  }

  void TheArrivalRateLimiterRefillsWithTime() {
    ArrivalRateLimiter limiter;
    int taken = 0;
    // Ten times its weight for a second, then at its weight.
    for (int i = 0; i < 100; ++i) {
      if (limiter.TryAdmit(10, kNow + Milliseconds(10 * i))) ++taken;
    }
    CPPUNIT_ASSERT(taken >= 24 && taken <= 25);
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(
          limiter.TryAdmit(10, kNow + Milliseconds(1'100 + 100 * i)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingOrderTest);

}  // namespace
}  // namespace quetzal
