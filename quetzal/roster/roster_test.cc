#include "quetzal/roster/roster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kStart{Milliseconds(1'000)};
constexpr Milliseconds kLongAfter{10'000};

RosterEntry At(const std::string& address) {
  return {.address = address, .capacity = {.cpu_milli = 4'000}};
}

class RosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(WhatIsStoredReadsBack);
  CPPUNIT_TEST(OtherTextsAreNoRoster);
  CPPUNIT_TEST(CoversOnlyWhatIsStored);
  CPPUNIT_TEST(AWorkerThatIsDroppedIsNotCoveredFromThenOn);
  CPPUNIT_TEST(AWriteThatMayHaveFailedCoversOnlyWhatBothName);
  CPPUNIT_TEST(WritesNothingBeforeItWasLoaded);
  CPPUNIT_TEST(WritesOnceForManyChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhatIsStoredReadsBack() {
    const RosterEntries entries = {
        {WorkerId("a"),
         {"10.0.0.1:1",
          {.cpu_milli = 16'000, .memory_mib = 32, .accelerators = 2}}},
        {WorkerId("b"), At("10.0.0.2:1")}};
    CPPUNIT_ASSERT(DecodeRoster(EncodeRoster(entries)) == entries);
  }

  void OtherTextsAreNoRoster() {
    for (const char* text : {"", "{}", "[]", R"({"workers":[["a"]]})",
                             R"({"workers":[[1,"x",0,0,0]]})"}) {
      CPPUNIT_ASSERT(!DecodeRoster(text));
    }
  }

  void CoversOnlyWhatIsStored() {
    Roster roster;
    roster.Load({});
    const RosterEntries wanted = {{WorkerId("a"), At("x")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "y"));
    CPPUNIT_ASSERT(!roster.BeginWrite(wanted, kStart + kLongAfter));
  }

  void AWorkerThatIsDroppedIsNotCoveredFromThenOn() {
    Roster roster;
    roster.Load({{WorkerId("a"), At("x")}, {WorkerId("b"), At("y")}});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("b"), At("y")}}, kStart));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.Contains(WorkerId("b"), "y"));
  }

  void AWriteThatMayHaveFailedCoversOnlyWhatBothName() {
    Roster roster;
    roster.Load({{WorkerId("a"), At("x")}, {WorkerId("b"), At("y")}});
    const RosterEntries wanted = {{WorkerId("b"), At("y")},
                                  {WorkerId("c"), At("z")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.Contains(WorkerId("b"), "y"));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("c"), "z"));
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart + kLongAfter));
  }

  void WritesNothingBeforeItWasLoaded() {
    Roster roster;
    CPPUNIT_ASSERT(!roster.BeginWrite({{WorkerId("a"), At("x")}}, kStart));
  }

  void WritesOnceForManyChanges() {
    Roster roster;
    roster.Load({});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("a"), At("x")}}, kStart));
    const RosterEntries more = {{WorkerId("a"), At("x")},
                                {WorkerId("b"), At("y")}};
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + kLongAfter));
    roster.OnStored();
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + Milliseconds(1)));
    CPPUNIT_ASSERT(roster.BeginWrite(more, kStart + kLongAfter));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

}  // namespace
}  // namespace quetzal
