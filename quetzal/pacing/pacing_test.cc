#include "quetzal/pacing/pacing.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Milliseconds kTarget{100};

std::vector<ServingTask> Serving(int tail_ms) {
  return {{.tail = Milliseconds(10), .target = kTarget},
          {.tail = Milliseconds(tail_ms), .target = kTarget}};
}

class PacingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTest);
  CPPUNIT_TEST(WithoutServingTasksTheWorkGoesOnInFull);
  CPPUNIT_TEST(ATaskOverItsTargetIsUndisturbedAfterAFewReports);
  CPPUNIT_TEST(ThePaceSettlesBelowTheTarget);
  CPPUNIT_TEST(AnUnknownPaceIsSetLow);
  CPPUNIT_TEST(AServingTaskWithoutATargetNeverLowersThePace);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutServingTasksTheWorkGoesOnInFull() {
    CPPUNIT_ASSERT_EQUAL(kFullPace, NextPace(5, {}));
    CPPUNIT_ASSERT_EQUAL(kFullPace, NextPace(std::nullopt, {}));
  }

  void ATaskOverItsTargetIsUndisturbedAfterAFewReports() {
    int pace = kFullPace;
    for (int report = 0; report < 3; ++report) {
      pace = NextPace(pace, Serving(150));
    }
    CPPUNIT_ASSERT_EQUAL(0, pace);
  }

  // The response times grow with the pace, little or much.
  void ThePaceSettlesBelowTheTarget() {
    for (const int harm_ms : {40, 120, 400}) {
      int pace = kFullPace;
      int over_target = 0;
      int64_t work = 0;
      for (int report = 0; report < 100; ++report) {
        const int tail = 40 + harm_ms * pace / kFullPace;
        if (report >= 10 && tail > kTarget.count()) ++over_target;
        pace = NextPace(pace, Serving(tail));
        work += pace;
      }
      CPPUNIT_ASSERT_EQUAL(0, over_target);
      CPPUNIT_ASSERT(work > 0);
    }
  }

  void AnUnknownPaceIsSetLow() {
    CPPUNIT_ASSERT(NextPace(std::nullopt, Serving(10)) < kFullPace);
  }

  void AServingTaskWithoutATargetNeverLowersThePace() {
    CPPUNIT_ASSERT_EQUAL(kFullPace,
                         NextPace(kFullPace, {{.tail = Milliseconds(10'000)}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacingTest);

}  // namespace
}  // namespace quetzal
