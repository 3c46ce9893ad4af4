#include "quetzal/roster/roster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kStart{Milliseconds(1'000)};
constexpr Milliseconds kAfterWriteInterval{10'000};

RosterEntry EntryAt(const std::string& address) {
  return {.address = address, .capacity = {.cpu_milli = 4'000}};
}

class RosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(AnEncodedRosterDecodes);
  CPPUNIT_TEST(RejectsMalformedTexts);
  CPPUNIT_TEST(ContainsOnlyStoredWorkers);
  CPPUNIT_TEST(ADroppedWorkerIsNotContainedOnceItsWriteBegins);
  CPPUNIT_TEST(AFailedWriteKeepsOnlyWorkersOfBothRosters);
  CPPUNIT_TEST(WritesNothingBeforeLoad);
  CPPUNIT_TEST(CombinesChangesInOneWrite);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnEncodedRosterDecodes() {
    const RosterEntries entries = {
        {WorkerId("a"),
         {"10.0.0.1:1",
          {.cpu_milli = 16'000, .memory_mib = 32, .accelerators = 2}}},
        {WorkerId("b"), EntryAt("10.0.0.2:1")}};
    CPPUNIT_ASSERT(DecodeRoster(EncodeRoster(entries)) == entries);
  }

  void RejectsMalformedTexts() {
    for (const char* text : {"", "{}", "[]", R"({"workers":[["a"]]})",
                             R"({"workers":[[1,"x",0,0,0]]})"}) {
      CPPUNIT_ASSERT(!DecodeRoster(text));
    }
  }

  void ContainsOnlyStoredWorkers() {
    Roster roster;
    roster.Load({});
    const RosterEntries wanted = {{WorkerId("a"), EntryAt("x")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "y"));
    CPPUNIT_ASSERT(!roster.BeginWrite(wanted, kStart + kAfterWriteInterval));
  }

  void ADroppedWorkerIsNotContainedOnceItsWriteBegins() {
    Roster roster;
    roster.Load({{WorkerId("a"), EntryAt("x")}, {WorkerId("b"), EntryAt("y")}});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("b"), EntryAt("y")}}, kStart));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.Contains(WorkerId("b"), "y"));
  }

  void AFailedWriteKeepsOnlyWorkersOfBothRosters() {
    Roster roster;
    roster.Load({{WorkerId("a"), EntryAt("x")}, {WorkerId("b"), EntryAt("y")}});
    const RosterEntries wanted = {{WorkerId("b"), EntryAt("y")},
                                  {WorkerId("c"), EntryAt("z")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.Contains(WorkerId("b"), "y"));
    CPPUNIT_ASSERT(!roster.Contains(WorkerId("c"), "z"));
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart + kAfterWriteInterval));
  }

  void WritesNothingBeforeLoad() {
    Roster roster;
    CPPUNIT_ASSERT(!roster.BeginWrite({{WorkerId("a"), EntryAt("x")}}, kStart));
  }

  void CombinesChangesInOneWrite() {
    Roster roster;
    roster.Load({});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("a"), EntryAt("x")}}, kStart));
    const RosterEntries more = {{WorkerId("a"), EntryAt("x")},
                                {WorkerId("b"), EntryAt("y")}};
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + kAfterWriteInterval));
    roster.OnStored();
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + Milliseconds(1)));
    CPPUNIT_ASSERT(roster.BeginWrite(more, kStart + kAfterWriteInterval));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

}  // namespace
}  // namespace quetzal
