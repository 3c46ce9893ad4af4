#include "quetzal/roster/roster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace quetzal {
namespace {

constexpr Time kStart{Milliseconds(1'000)};
constexpr Milliseconds kAfterWriteInterval{10'000};
constexpr TermNumber kTerm = 5;
constexpr Fence kFence{71};

RosterEntry EntryAt(const std::string& address) {
  return {.address = address, .capacity = {.cpu_milli = 4'000}};
}

RosterEntry ClosedEntryAt(const std::string& address) {
  RosterEntry entry = EntryAt(address);
  entry.runs = {
      {.task = {.job = JobId("j"), .step = 1, .index = 2}, .number = 17}};
  return entry;
}

class RosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(AnEncodedRosterDecodes);
  CPPUNIT_TEST(RejectsMalformedTexts);
  CPPUNIT_TEST(DecodesRowsWithoutRuns);
  CPPUNIT_TEST(ClosedEntriesOfAnOlderTermAreOpened);
  CPPUNIT_TEST(ANewTermWritesTheRosterOnceMore);
  CPPUNIT_TEST(ContainsOnlyStoredWorkers);
  CPPUNIT_TEST(AClosedWorkerIsNotOpenOnceItsWriteBegins);
  CPPUNIT_TEST(AReopenedWorkerIsOpenOnlyOnceStored);
  CPPUNIT_TEST(ADroppedWorkerIsNotContainedOnceItsWriteBegins);
  CPPUNIT_TEST(AFailedWriteKeepsOnlyWorkersOfBothRosters);
  CPPUNIT_TEST(AFailedWriteThatDropsAWorkerIsRepeated);
  CPPUNIT_TEST(WritesNothingBeforeLoad);
  CPPUNIT_TEST(CombinesChangesInOneWrite);
  CPPUNIT_TEST(AWriteWithoutAnswerMayBeStored);
  CPPUNIT_TEST(FormerPlacersAreStoredWithTheRoster);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnEncodedRosterDecodes() {
    const RosterEntries entries = {
        {WorkerId("a"),
         {"10.0.0.1:1",
          {.cpu_milli = 16'000, .memory_mib = 32, .accelerators = 2}}},
        {WorkerId("b"), EntryAt("10.0.0.2:1")},
        {WorkerId("c"), ClosedEntryAt("10.0.0.3:1")},
        {WorkerId("d"), {.address = "x", .runs = std::vector<RosterRun>{}}}};
    for (const std::optional<TermNumber> term :
         {std::optional<TermNumber>(kTerm), std::optional<TermNumber>()}) {
      const auto decoded =
          DecodeRoster(EncodeRoster({.entries = entries, .term = term}));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->entries == entries);
      CPPUNIT_ASSERT(decoded->term == term);
    }
  }

  void FormerPlacersAreStoredWithTheRoster() {
    const std::vector<FormerPlacer> placers = {
        {.term = 3,
         .workers = {WorkerId("a"), WorkerId("b")},
         .leases_end_in = Milliseconds(20'000)},
        {.term = 2, .leases_end_in = Milliseconds(20'000)}};
    Roster roster(kTerm, kFence);
    roster.Load({});
    const auto text = roster.BeginWrite({}, kStart, placers);
    CPPUNIT_ASSERT(text.has_value());
    CPPUNIT_ASSERT(DecodeRoster(*text)->former_placers == placers);
    roster.OnStored();
    CPPUNIT_ASSERT(
        !roster.BeginWrite({}, kStart + kAfterWriteInterval, placers));
    std::vector<FormerPlacer> later = placers;
    later[0].leases_end_in -= kAfterWriteInterval;
    CPPUNIT_ASSERT(roster.BeginWrite({}, kStart + kAfterWriteInterval, later));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.BeginWrite({}, kStart + 2 * kAfterWriteInterval));
  }

  void RejectsMalformedTexts() {
    for (const char* text :
         {"", "{}", "[]", R"({"workers":[["a"]]})",
          R"({"workers":[[1,"x",0,0,0]]})", R"({"workers":[],"term":"x"})",
          R"({"workers":[],"former_placers":3})",
          R"({"workers":[],"former_placers":[[1,"x",[]]]})",
          R"({"workers":[],"former_placers":[[1,2,[3]]]})",
          R"({"workers":[["a","x",0,0,0,null]]})",
          R"({"workers":[["a","x",0,0,0,{}]]})",
          R"({"workers":[["a","x",0,0,0,[["j",0,1]]]]})",
          R"({"workers":[["a","x",0,0,0,"j"]]})"}) {
      CPPUNIT_ASSERT(!DecodeRoster(text));
    }
  }

  void DecodesRowsWithoutRuns() {
    const auto roster = DecodeRoster(R"({"workers":[["a","x",4000,0,0]]})");
    CPPUNIT_ASSERT(roster.has_value());
    CPPUNIT_ASSERT(!roster->term);
    CPPUNIT_ASSERT(roster->entries.at(WorkerId("a")) == EntryAt("x"));
  }

  // An earlier version may have led in between: it keeps closed entries in the
  // store, and assigns tasks to their workers.
  void ClosedEntriesOfAnOlderTermAreOpened() {
    const RosterEntries closed = {{WorkerId("a"), ClosedEntryAt("x")}};
    for (const std::optional<TermNumber> term :
         {std::optional<TermNumber>(kTerm - 2), std::optional<TermNumber>()}) {
      Roster roster(kTerm, kFence);
      roster.Load({.entries = closed, .term = term});
      CPPUNIT_ASSERT(!roster.stored().at(WorkerId("a")).runs);
    }
    Roster roster(kTerm, kFence);
    roster.Load({.entries = closed, .term = kTerm - 1});
    CPPUNIT_ASSERT(roster.stored() == closed);
  }

  void ANewTermWritesTheRosterOnceMore() {
    const RosterEntries entries = {{WorkerId("a"), EntryAt("x")}};
    Roster roster(kTerm, kFence);
    roster.Load({.entries = entries, .term = kTerm - 1});
    CPPUNIT_ASSERT(roster.BeginWrite(entries, kStart));
    CPPUNIT_ASSERT(roster.IsOpen(WorkerId("a"), "x"));
    roster.OnStored();
    CPPUNIT_ASSERT(!roster.BeginWrite(entries, kStart + kAfterWriteInterval));
  }

  void AClosedWorkerIsNotOpenOnceItsWriteBegins() {
    Roster roster(kTerm, kFence);
    roster.Load({.entries = {{WorkerId("a"), EntryAt("x")}}});
    CPPUNIT_ASSERT(
        roster.BeginWrite({{WorkerId("a"), ClosedEntryAt("x")}}, kStart));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
  }

  void AReopenedWorkerIsOpenOnlyOnceStored() {
    Roster roster(kTerm, kFence);
    roster.Load(
        {.entries = {{WorkerId("a"), ClosedEntryAt("x")}}, .term = kTerm - 1});
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    const RosterEntries open = {{WorkerId("a"), EntryAt("x")}};
    CPPUNIT_ASSERT(roster.BeginWrite(open, kStart));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.BeginWrite(open, kStart + kAfterWriteInterval));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.IsOpen(WorkerId("a"), "x"));
  }

  void ContainsOnlyStoredWorkers() {
    Roster roster(kTerm, kFence);
    roster.Load({});
    const RosterEntries wanted = {{WorkerId("a"), EntryAt("x")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.IsOpen(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "y"));
    CPPUNIT_ASSERT(!roster.BeginWrite(wanted, kStart + kAfterWriteInterval));
  }

  void ADroppedWorkerIsNotContainedOnceItsWriteBegins() {
    Roster roster(kTerm, kFence);
    roster.Load({.entries = {{WorkerId("a"), EntryAt("x")},
                             {WorkerId("b"), EntryAt("y")}},
                 .term = kTerm - 1});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("b"), EntryAt("y")}}, kStart));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.IsOpen(WorkerId("b"), "y"));
  }

  void AFailedWriteKeepsOnlyWorkersOfBothRosters() {
    Roster roster(kTerm, kFence);
    roster.Load({.entries = {{WorkerId("a"), EntryAt("x")},
                             {WorkerId("b"), EntryAt("y")}}});
    const RosterEntries wanted = {{WorkerId("b"), EntryAt("y")},
                                  {WorkerId("c"), EntryAt("z")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("a"), "x"));
    CPPUNIT_ASSERT(roster.IsOpen(WorkerId("b"), "y"));
    CPPUNIT_ASSERT(!roster.IsOpen(WorkerId("c"), "z"));
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart + kAfterWriteInterval));
  }

  void AFailedWriteThatDropsAWorkerIsRepeated() {
    Roster roster(kTerm, kFence);
    roster.Load({});
    CPPUNIT_ASSERT(roster.BeginWrite(
        {{WorkerId("a"), EntryAt("x")}, {WorkerId("b"), EntryAt("y")}},
        kStart));
    roster.OnStored();
    const RosterEntries wanted = {{WorkerId("a"), EntryAt("x")}};
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart + kAfterWriteInterval));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(roster.BeginWrite(wanted, kStart + 2 * kAfterWriteInterval));
    roster.OnStored();
    CPPUNIT_ASSERT(
        !roster.BeginWrite(wanted, kStart + 3 * kAfterWriteInterval));
  }

  void WritesNothingBeforeLoad() {
    Roster roster(kTerm, kFence);
    CPPUNIT_ASSERT(!roster.BeginWrite({{WorkerId("a"), EntryAt("x")}}, kStart));
  }

  void CombinesChangesInOneWrite() {
    Roster roster(kTerm, kFence);
    roster.Load({});
    CPPUNIT_ASSERT(roster.BeginWrite({{WorkerId("a"), EntryAt("x")}}, kStart));
    const RosterEntries more = {{WorkerId("a"), EntryAt("x")},
                                {WorkerId("b"), EntryAt("y")}};
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + kAfterWriteInterval));
    roster.OnStored();
    CPPUNIT_ASSERT(!roster.BeginWrite(more, kStart + Milliseconds(1)));
    CPPUNIT_ASSERT(roster.BeginWrite(more, kStart + kAfterWriteInterval));
  }

  void AWriteWithoutAnswerMayBeStored() {
    using Workers = std::vector<WorkerId>;
    using PossibleWorkers = std::set<Workers>;
    const WorkerId a("a");
    const WorkerId b("b");
    const WorkerId c("c");
    Roster roster(kTerm, kFence);
    CPPUNIT_ASSERT(roster.possible_workers().empty());
    roster.Load({.entries = {{a, EntryAt("x")}, {b, ClosedEntryAt("y")}},
                 .term = kTerm - 1});
    CPPUNIT_ASSERT(roster.possible_workers() ==
                   (PossibleWorkers{Workers{a, b}}));
    CPPUNIT_ASSERT(
        roster.BeginWrite({{b, EntryAt("y")}, {c, EntryAt("z")}}, kStart));
    CPPUNIT_ASSERT(roster.possible_workers() ==
                   (PossibleWorkers{Workers{a, b}, Workers{b, c}}));
    roster.OnStoreFailed();
    CPPUNIT_ASSERT(
        roster.BeginWrite({{b, EntryAt("y")}}, kStart + kAfterWriteInterval));
    CPPUNIT_ASSERT(roster.possible_workers() ==
                   (PossibleWorkers{Workers{a, b}, Workers{b, c}, Workers{b}}));
    roster.OnStored();
    CPPUNIT_ASSERT(roster.possible_workers() == (PossibleWorkers{Workers{b}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

}  // namespace
}  // namespace quetzal
