#include "quetzal/waiting_order/waiting_order.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kNow{Milliseconds(1'000'000)};

class WaitingOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingOrderTest);
  CPPUNIT_TEST(UrgentShortWorkGoesFirstUntilLongWorkIsShortOfTime);
  CPPUNIT_TEST(StaleWorkGoesLast);
  CPPUNIT_TEST(ATeamsExcessYieldsToOthersButNotToStaleWork);
  CPPUNIT_TEST(AnAllowanceFillsWithTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UrgentShortWorkGoesFirstUntilLongWorkIsShortOfTime() {
    const Standing quick{.slack = Milliseconds(900), .since = kNow};
    Standing digest{.priority = 2, .slack = Milliseconds(15'000)};
    CPPUNIT_ASSERT(GoesBefore(quick, digest));
    digest.slack = Milliseconds(300);
    CPPUNIT_ASSERT(GoesBefore(digest, quick));
  }

  void StaleWorkGoesLast() {
    CPPUNIT_ASSERT(ProspectOf(Milliseconds(100), Milliseconds(400),
                              Milliseconds(500)) == Prospect::kInTime);
    CPPUNIT_ASSERT(ProspectOf(Milliseconds(200), Milliseconds(400),
                              Milliseconds(500)) == Prospect::kLate);
    CPPUNIT_ASSERT(ProspectOf(Milliseconds(1'200), Milliseconds(400),
                              Milliseconds(500)) == Prospect::kStale);
    const Standing fresh{.priority = 2};
    const Standing late{.prospect = Prospect::kLate};
    const Standing stale{.prospect = Prospect::kStale};
    CPPUNIT_ASSERT(GoesBefore(fresh, late));
    CPPUNIT_ASSERT(GoesBefore(late, stale));
  }

  void ATeamsExcessYieldsToOthersButNotToStaleWork() {
    const Standing excess{.beyond_share = true};
    const Standing late{.prospect = Prospect::kLate, .priority = 2};
    const Standing stale{.prospect = Prospect::kStale};
    CPPUNIT_ASSERT(GoesBefore(late, excess));
    CPPUNIT_ASSERT(GoesBefore(excess, stale));
  }

  void AnAllowanceFillsWithTime() {
    ArrivalAllowance allowance;
    int taken = 0;
    // Ten times its weight for a second, then at its weight.
    for (int i = 0; i < 100; ++i) {
      if (allowance.Take(10, kNow + Milliseconds(10 * i))) ++taken;
    }
    CPPUNIT_ASSERT(taken >= 24 && taken <= 25);
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(allowance.Take(10, kNow + Milliseconds(1'100 + 100 * i)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingOrderTest);

}  // namespace
}  // namespace quetzal
