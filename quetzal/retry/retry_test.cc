#include "quetzal/retry/retry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

class PatienceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PatienceTest);
  CPPUNIT_TEST(ALostAnswerIsMissedWithinAFractionOfTheCallersWait);
  CPPUNIT_TEST(ASlowServiceIsWaitedForFromItsFirstSlowAnswer);
  CPPUNIT_TEST(AServiceThatIsFastAgainIsForgiven);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ALostAnswerIsMissedWithinAFractionOfTheCallersWait() {
    AdaptiveTimeout patience;
    for (int i = 0; i < 50; ++i) patience.Observe(Milliseconds(65));
    CPPUNIT_ASSERT(patience.timeout() <= Milliseconds(300));
  }

  void ASlowServiceIsWaitedForFromItsFirstSlowAnswer() {
    AdaptiveTimeout patience;
    patience.Observe(Milliseconds(450));
    CPPUNIT_ASSERT(patience.timeout() > Milliseconds(900));
  }

  void AServiceThatIsFastAgainIsForgiven() {
    AdaptiveTimeout patience;
    patience.Observe(Milliseconds(450));
    for (int i = 0; i < 50; ++i) patience.Observe(Milliseconds(10));
    CPPUNIT_ASSERT(patience.timeout() <= Milliseconds(300));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PatienceTest);

}  // namespace
}  // namespace quetzal
