#include "quetzal/turn_profile/turn_profile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace quetzal {
namespace {

class TurnProfileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TurnProfileTest);
  CPPUNIT_TEST(ASectionDoesntIncludeThoseWithinIt);
  CPPUNIT_TEST(ATurnForgetsTheSectionsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ASectionDoesntIncludeThoseWithinIt() {
    profile_.BeginTurn();
    for (int i = 0; i < 2; ++i) {
      const TurnProfile::Section outer("outer");
      const TurnProfile::Section inner("inner");
      std::this_thread::sleep_for(Milliseconds(20));
    }
    CPPUNIT_ASSERT(profile_.TurnDuration() >= Milliseconds(40));
    const std::string sections = profile_.Describe();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, sections.find("inner "));
    CPPUNIT_ASSERT(sections.find(" in 2") != std::string::npos);
    // Less than a millisecond, as nothing else was done in it.
    CPPUNIT_ASSERT_EQUAL(std::string::npos, sections.find("outer"));
  }

  void ATurnForgetsTheSectionsBefore() {
    profile_.BeginTurn();
    {
      const TurnProfile::Section section("before");
      std::this_thread::sleep_for(Milliseconds(5));
    }
    profile_.BeginTurn();
    CPPUNIT_ASSERT_EQUAL(std::string(), profile_.Describe());
  }

 private:
  TurnProfile& profile_ = TurnProfile::Instance();
};

CPPUNIT_TEST_SUITE_REGISTRATION(TurnProfileTest);

}  // namespace
}  // namespace quetzal
