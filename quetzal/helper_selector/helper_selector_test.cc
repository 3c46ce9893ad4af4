#include "quetzal/helper_selector/helper_selector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace quetzal {
namespace {

constexpr double kShort = 6;
constexpr double kLong = 600;
constexpr Time kStart{Milliseconds(1'000'000)};

class HelperSelectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HelperSelectorTest);
  CPPUNIT_TEST(ShortCallsNeverWaitBehindLongOnes);
  CPPUNIT_TEST(SkipsHelpersBusyWithLongCalls);
  CPPUNIT_TEST(SkipsHelpersAfterATimeout);
  CPPUNIT_TEST(BackoffGrowsUntilAReply);
  CPPUNIT_TEST(IgnoresBackoffIfMostHelpersTimeOut);
  CPPUNIT_TEST(TimeoutCoversTheCallDuration);
  CPPUNIT_TEST(AReplyFreesAHelperAtTheSameMoment);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int i = 0; i < 6; ++i) {
      helpers_.emplace_back("vm-" + std::to_string(i));
    }
    selector_.SetHelpers(helpers_);
  }

  void ShortCallsNeverWaitBehindLongOnes() {
    while (const HelperId* const helper = selector_.Choose(kLong, kStart)) {
      selector_.OnSent(*helper, kLong, kStart);
    }
    CPPUNIT_ASSERT(selector_.Choose(kShort, kStart) != nullptr);
  }

  void SkipsHelpersBusyWithLongCalls() {
    int sent = 0;
    while (const HelperId* const helper = selector_.Choose(kLong, kStart)) {
      selector_.OnSent(*helper, kLong, kStart);
      ++sent;
    }
    CPPUNIT_ASSERT_EQUAL(4, sent);
    CPPUNIT_ASSERT(selector_.Choose(kLong, kStart + Milliseconds(100)) ==
                   nullptr);
    CPPUNIT_ASSERT(selector_.Choose(kLong, kStart + Milliseconds(600)) !=
                   nullptr);
  }

  // Calls to two of six helpers are lost.
  void SkipsHelpersAfterATimeout() {
    for (const int unreachable : {0, 1}) {
      selector_.OnSent(helpers_[unreachable], kShort, kStart);
      selector_.OnTimeout(helpers_[unreachable], kStart + Milliseconds(500));
    }
    const Time soon = kStart + Milliseconds(600);
    std::set<HelperId> chosen;
    for (int i = 0; i < 20; ++i) {
      const HelperId* const helper = selector_.Choose(kShort, soon);
      if (helper == nullptr) break;
      chosen.insert(*helper);
      selector_.OnSent(*helper, kShort, soon);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, chosen.size());
    CPPUNIT_ASSERT(!chosen.contains(helpers_[0]));
    CPPUNIT_ASSERT(!chosen.contains(helpers_[1]));
    const Time later = kStart + Milliseconds(2'000);
    CPPUNIT_ASSERT(selector_.Choose(kShort, later) != nullptr);
    CPPUNIT_ASSERT(*selector_.Choose(kShort, later) == helpers_[0]);
  }

  void BackoffGrowsUntilAReply() {
    Time now = kStart;
    for (int i = 0; i < 5; ++i) {
      selector_.OnSent(helpers_[0], kShort, now);
      selector_.OnTimeout(helpers_[0], now);
      now += Milliseconds(4'000);
    }
    CPPUNIT_ASSERT(*selector_.Choose(kShort, now) == helpers_[0]);
    selector_.OnSent(helpers_[0], kShort, now);
    selector_.OnReply(helpers_[0]);
    now += Milliseconds(100);
    selector_.OnSent(helpers_[0], kShort, now);
    selector_.OnTimeout(helpers_[0], now);
    CPPUNIT_ASSERT(*selector_.Choose(kShort, now) != helpers_[0]);
    CPPUNIT_ASSERT(*selector_.Choose(kShort, now + Milliseconds(1'000)) ==
                   helpers_[0]);
  }

  void IgnoresBackoffIfMostHelpersTimeOut() {
    for (const HelperId& each : helpers_) {
      selector_.OnSent(each, kShort, kStart);
      selector_.OnTimeout(each, kStart);
    }
    CPPUNIT_ASSERT(selector_.Choose(kShort, kStart + Milliseconds(50)) !=
                   nullptr);
  }

  void TimeoutCoversTheCallDuration() {
    CPPUNIT_ASSERT(selector_.OnSent(helpers_[0], kLong, kStart) >
                   Milliseconds(900));
    CPPUNIT_ASSERT(selector_.OnSent(helpers_[1], kShort, kStart) <
                   Milliseconds(600));
  }

  void AReplyFreesAHelperAtTheSameMoment() {
    HelperSelector selector;
    selector.SetHelpers({helpers_[0]});
    // Takes no time, so that only the number of calls in flight is used up.
    while (selector.Choose(0, kStart) != nullptr) {
      selector.OnSent(helpers_[0], 0, kStart);
    }
    CPPUNIT_ASSERT(selector.Choose(0, kStart) == nullptr);
    selector.OnReply(helpers_[0]);
    CPPUNIT_ASSERT(selector.Choose(0, kStart) != nullptr);
  }

 private:
  std::vector<HelperId> helpers_;
  HelperSelector selector_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HelperSelectorTest);

}  // namespace
}  // namespace quetzal
