#include "quetzal/retry/retry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

class AdaptiveTimeoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdaptiveTimeoutTest);
  CPPUNIT_TEST(LostResponseTimesOutWithinAFractionOfTheCallersWait);
  CPPUNIT_TEST(FirstSlowResponseRaisesTheTimeout);
  CPPUNIT_TEST(FastResponsesLowerTheTimeoutAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostResponseTimesOutWithinAFractionOfTheCallersWait() {
    AdaptiveTimeout adaptive;
    for (int i = 0; i < 50; ++i) adaptive.Observe(Milliseconds(65));
    CPPUNIT_ASSERT(adaptive.timeout() <= Milliseconds(300));
  }

  void FirstSlowResponseRaisesTheTimeout() {
    AdaptiveTimeout adaptive;
    adaptive.Observe(Milliseconds(450));
    CPPUNIT_ASSERT(adaptive.timeout() > Milliseconds(900));
  }

  void FastResponsesLowerTheTimeoutAgain() {
    AdaptiveTimeout adaptive;
    adaptive.Observe(Milliseconds(450));
    for (int i = 0; i < 50; ++i) adaptive.Observe(Milliseconds(10));
    CPPUNIT_ASSERT(adaptive.timeout() <= Milliseconds(300));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdaptiveTimeoutTest);

}  // namespace
}  // namespace quetzal
