#include "quetzal/restart_backoff/restart_backoff.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kNow{Milliseconds(1'000'000)};

class RestartBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartBackoffTest);
  CPPUNIT_TEST(ATaskThatRanForAWhileRestartsAtOnce);
  CPPUNIT_TEST(ATaskThatCrashesAtStartupIsStartedEverMoreRarely);
  CPPUNIT_TEST(TheDelayStaysBelowTheTimeInWhichATaskMustRunAgain);
  CPPUNIT_TEST(ALongRunResetsTheDelay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Starts and ends the task again and again, each run `length` long, as soon
  // as it may start. Returns the number of starts within `span`.
  static int CountStarts(RestartBackoff* backoff, Milliseconds length,
                         Milliseconds span) {
    int starts = 0;
    for (Time now = kNow; now < kNow + span; now += Milliseconds(10)) {
      if (!backoff->MayStart(now)) continue;
      ++starts;
      backoff->OnStarted(now);
      now += length;
      backoff->OnEnded(now);
    }
    return starts;
  }

  void ATaskThatRanForAWhileRestartsAtOnce() {
    RestartBackoff backoff;
    for (int i = 0; i < 5; ++i) {
      backoff.OnStarted(kNow);
      backoff.OnEnded(kNow + Milliseconds(5'000));
      CPPUNIT_ASSERT(backoff.MayStart(kNow + Milliseconds(5'000)));
    }
  }

  void ATaskThatCrashesAtStartupIsStartedEverMoreRarely() {
    RestartBackoff backoff;
    const int starts =
        CountStarts(&backoff, Milliseconds(50), Milliseconds(30'000));
    CPPUNIT_ASSERT(starts <= 25);
    CPPUNIT_ASSERT(starts >= 15);
  }

  void TheDelayStaysBelowTheTimeInWhichATaskMustRunAgain() {
    RestartBackoff backoff;
    Time now = kNow;
    for (int i = 0; i < 50; ++i) {
      backoff.OnStarted(now);
      backoff.OnEnded(now);
      now += Milliseconds(2'000);
      CPPUNIT_ASSERT(backoff.MayStart(now));
    }
  }

  void ALongRunResetsTheDelay() {
    RestartBackoff backoff;
    CountStarts(&backoff, Milliseconds(50), Milliseconds(10'000));
    const Time later = kNow + Milliseconds(60'000);
    backoff.OnStarted(later);
    backoff.OnEnded(later + Milliseconds(10'000));
    CPPUNIT_ASSERT(backoff.MayStart(later + Milliseconds(10'000)));
    backoff.OnStarted(later + Milliseconds(10'000));
    backoff.OnEnded(later + Milliseconds(10'100));
    CPPUNIT_ASSERT(backoff.MayStart(later + Milliseconds(10'100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartBackoffTest);

}  // namespace
}  // namespace quetzal
