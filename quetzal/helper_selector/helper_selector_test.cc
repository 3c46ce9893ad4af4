#include "quetzal/helper_selector/helper_selector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace quetzal {
namespace {

constexpr double kShort = 6;
constexpr double kLong = 600;
constexpr Time kStart{Milliseconds(1'000'000)};

class AdvisersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdvisersTest);
  CPPUNIT_TEST(ShortCallsNeverWaitBehindLongOnes);
  CPPUNIT_TEST(NobodyIsAskedWhoIsBusyForLong);
  CPPUNIT_TEST(ASilentAdviserIsPassedOverForAWhile);
  CPPUNIT_TEST(RestsGrowUntilItAnswers);
  CPPUNIT_TEST(NoneRestsIfMostAreSilent);
  CPPUNIT_TEST(WaitsForALongCallToBeServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int i = 0; i < 6; ++i) {
      order_.emplace_back("vm-" + std::to_string(i));
    }
    advisers_.SetHelpers(order_);
  }

  void ShortCallsNeverWaitBehindLongOnes() {
    while (const HelperId* const adviser = advisers_.Choose(kLong, kStart)) {
      advisers_.OnSent(*adviser, kLong, kStart);
    }
    CPPUNIT_ASSERT(advisers_.Choose(kShort, kStart) != nullptr);
  }

  void NobodyIsAskedWhoIsBusyForLong() {
    int asked = 0;
    while (const HelperId* const adviser = advisers_.Choose(kLong, kStart)) {
      advisers_.OnSent(*adviser, kLong, kStart);
      ++asked;
    }
    CPPUNIT_ASSERT_EQUAL(4, asked);
    CPPUNIT_ASSERT(advisers_.Choose(kLong, kStart + Milliseconds(100)) ==
                   nullptr);
    CPPUNIT_ASSERT(advisers_.Choose(kLong, kStart + Milliseconds(600)) !=
                   nullptr);
  }

  // Two of six machines are cut off in silence.
  void ASilentAdviserIsPassedOverForAWhile() {
    for (const int cut : {0, 1}) {
      advisers_.OnSent(order_[cut], kShort, kStart);
      advisers_.OnTimeout(order_[cut], kStart + Milliseconds(500));
    }
    const Time soon = kStart + Milliseconds(600);
    std::set<HelperId> chosen;
    for (int i = 0; i < 20; ++i) {
      const HelperId* const adviser = advisers_.Choose(kShort, soon);
      if (adviser == nullptr) break;
      chosen.insert(*adviser);
      advisers_.OnSent(*adviser, kShort, soon);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, chosen.size());
    CPPUNIT_ASSERT(!chosen.contains(order_[0]));
    CPPUNIT_ASSERT(!chosen.contains(order_[1]));
    const Time later = kStart + Milliseconds(2'000);
    CPPUNIT_ASSERT(advisers_.Choose(kShort, later) != nullptr);
    CPPUNIT_ASSERT(*advisers_.Choose(kShort, later) == order_[0]);
  }

  void RestsGrowUntilItAnswers() {
    Time now = kStart;
    for (int i = 0; i < 5; ++i) {
      advisers_.OnSent(order_[0], kShort, now);
      advisers_.OnTimeout(order_[0], now);
      now += Milliseconds(4'000);
    }
    CPPUNIT_ASSERT(*advisers_.Choose(kShort, now) == order_[0]);
    advisers_.OnSent(order_[0], kShort, now);
    advisers_.OnReply(order_[0]);
    now += Milliseconds(100);
    advisers_.OnSent(order_[0], kShort, now);
    advisers_.OnTimeout(order_[0], now);
    CPPUNIT_ASSERT(*advisers_.Choose(kShort, now) != order_[0]);
    CPPUNIT_ASSERT(*advisers_.Choose(kShort, now + Milliseconds(1'000)) ==
                   order_[0]);
  }

  void NoneRestsIfMostAreSilent() {
    for (const HelperId& each : order_) {
      advisers_.OnSent(each, kShort, kStart);
      advisers_.OnTimeout(each, kStart);
    }
    CPPUNIT_ASSERT(advisers_.Choose(kShort, kStart + Milliseconds(50)) !=
                   nullptr);
  }

  void WaitsForALongCallToBeServed() {
    CPPUNIT_ASSERT(advisers_.OnSent(order_[0], kLong, kStart) >
                   Milliseconds(900));
    CPPUNIT_ASSERT(advisers_.OnSent(order_[1], kShort, kStart) <
                   Milliseconds(600));
  }

 private:
  std::vector<HelperId> order_;
  HelperSelector advisers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdvisersTest);

}  // namespace
}  // namespace quetzal
