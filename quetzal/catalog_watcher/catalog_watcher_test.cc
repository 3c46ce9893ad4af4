#include "quetzal/catalog_watcher/catalog_watcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/store_link.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

constexpr char kKey[] = "op/config";
// In which a confirmed change must be in force.
constexpr Milliseconds kApplyBound{3'000};
constexpr int kDeadConnections = 20;
constexpr Milliseconds kStep{50};  // between two checks of the age
// How long the store's watches report nothing as it compacts its history.
constexpr Milliseconds kWatchStall{1'000};

class CatalogWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogWatcherTest);
  CPPUNIT_TEST(FollowsChanges);
  CPPUNIT_TEST(VersionsMissedInAnOutageDontDelayTheNewest);
  CPPUNIT_TEST(AnAnswerWithoutEventsSkipsNoVersion);
  CPPUNIT_TEST(DeadConnectionsDelayAVersionByLessThanItsBound);
  CPPUNIT_TEST(ACompactionSkipsNoVersion);
  CPPUNIT_TEST(AnUnreadableVersionLeavesTheEarlierOneInForce);
  CPPUNIT_TEST(TheCopysAgeGrowsWhileCallsFail);
  CPPUNIT_TEST(ASlowStoreConfirmsTheCopyInTime);
  CPPUNIT_TEST(AShortBoundDoesntRefuseAllCallers);
  CPPUNIT_TEST(ACopyIsUsedForLessThanTheBound);
  CPPUNIT_TEST(AChangeThatAWatchMissedCountsIntoTheCopysAge);
  CPPUNIT_TEST(AnOutageCausesFewCalls);
  CPPUNIT_TEST(AnUnchangedConfigurationIsReadOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FollowsChanges() {
    Publish(1);
    watcher_.Start();
    for (int64_t version = 2; version < 20; ++version) {
      clock_.Advance(Milliseconds(400));
      Publish(version);
      clock_.Advance(Milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(version, VersionInForce());
    }
    CPPUNIT_ASSERT_EQUAL(19, updates_);
  }

  // Guards against denials by a version of before an outage.
  void VersionsMissedInAnOutageDontDelayTheNewest() {
    for (const auto fault : {testing::StoreLink::Fault::kRefused,
                             testing::StoreLink::Fault::kUnanswered}) {
      Publish(++newest_);
      if (newest_ == 1) watcher_.Start();
      clock_.Advance(Milliseconds(2'000));
      link_.SetFault(fault);
      for (int i = 0; i < 60; ++i) {
        clock_.Advance(Milliseconds(300));
        Publish(++newest_);
      }
      const int decoded_before = decoded_;
      const size_t values_before = link_.values();
      link_.SetFault(testing::StoreLink::Fault::kNone);
      clock_.Advance(Milliseconds(3'000));
      CPPUNIT_ASSERT_EQUAL(newest_, VersionInForce());
      CPPUNIT_ASSERT(decoded_ - decoded_before <= 2);
      CPPUNIT_ASSERT(link_.values() - values_before <= 2);
    }
  }

  // The store's watches report nothing for a while as it compacts; one whose
  // wait ends then returns a revision past the change.
  void AnAnswerWithoutEventsSkipsNoVersion() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    store_.SetWatchesStalled(true);
    Publish(2);
    store_.EndWatchesWithoutEvents();
    clock_.Advance(Milliseconds(5));
    store_.SetWatchesStalled(false);
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, VersionInForce());
  }

  void DeadConnectionsDelayAVersionByLessThanItsBound() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    link_.KillConnections(kDeadConnections);
    store_.SetWatchesStalled(true);
    store_.EndWatchesWithoutEvents();
    clock_.Advance(Milliseconds(30));
    store_.SetWatchesStalled(false);
    Publish(2);
    clock_.Advance(kApplyBound);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, VersionInForce());
  }

  void ACompactionSkipsNoVersion() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    store_.SetWatchesStalled(true);
    Publish(2);
    Publish(3);
    store_.Compact();
    store_.SetWatchesStalled(false);
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, VersionInForce());
  }

  void AnUnreadableVersionLeavesTheEarlierOneInForce() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    PutText("");
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, VersionInForce());
    Publish(2);
    PutText("");
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, VersionInForce());
  }

  void TheCopysAgeGrowsWhileCallsFail() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(100));
    AdvanceAndCheckAgeIsAtMost(kWatchStall + Milliseconds(600),
                               Milliseconds(10'000));
    link_.SetFault(testing::StoreLink::Fault::kUnanswered);
    clock_.Advance(Milliseconds(10'000));
    CPPUNIT_ASSERT(AgeOfCopy() >= Milliseconds(9'000));
    link_.SetFault(testing::StoreLink::Fault::kNone);
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(AgeOfCopy() <= Milliseconds(1'000));
  }

  // An entry doesn't refuse its callers because the store is slow.
  void ASlowStoreConfirmsTheCopyInTime() {
    Publish(1);
    link_.SetLatency(Milliseconds(400));
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    AdvanceAndCheckAgeIsAtMost(MaxUsableAge(kApplyBound), Milliseconds(10'000));
  }

  void AShortBoundDoesntRefuseAllCallers() {
    Publish(1);
    link_.SetLatency(Milliseconds(150));
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    AdvanceAndCheckAgeIsAtMost(MaxUsableAge(Milliseconds(1'000)),
                               Milliseconds(10'000));
  }

  void ACopyIsUsedForLessThanTheBound() {
    CPPUNIT_ASSERT(MaxUsableAge(kApplyBound) < kApplyBound);
    CPPUNIT_ASSERT(MaxUsableAge(Milliseconds(6'000)) < Milliseconds(6'000));
  }

  // Guards against an age below that of a change that the copy lacks.
  void AChangeThatAWatchMissedCountsIntoTheCopysAge() {
    Publish(++newest_);
    watcher_.Start();
    clock_.Advance(Milliseconds(3'000));
    // The change meets the watch at different points of its wait.
    for (int round = 0; round < 40; ++round) {
      clock_.Advance(Milliseconds(30 * round));
      const int64_t earlier = newest_;
      const Time stalled = clock_.now();
      store_.SetWatchesStalled(true);
      Publish(++newest_);
      AdvanceAndCheckAge(kWatchStall, stalled, earlier);
      link_.SetFault(testing::StoreLink::Fault::kRefused);
      AdvanceAndCheckAge(Milliseconds(4'000), stalled, earlier);
      store_.SetWatchesStalled(false);
      link_.SetFault(testing::StoreLink::Fault::kNone);
      clock_.Advance(Milliseconds(3'000));
      CPPUNIT_ASSERT_EQUAL(newest_, VersionInForce());
    }
  }

  void AnOutageCausesFewCalls() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(500));
    for (const auto fault : {testing::StoreLink::Fault::kRefused,
                             testing::StoreLink::Fault::kUnanswered}) {
      link_.SetFault(fault);
      const int reads = link_.reads();
      clock_.Advance(Milliseconds(10'000));
      CPPUNIT_ASSERT(link_.reads() - reads <= 70);
    }
  }

  void AnUnchangedConfigurationIsReadOnce() {
    Publish(1);
    watcher_.Start();
    clock_.Advance(Milliseconds(60'000));
    CPPUNIT_ASSERT_EQUAL(1, link_.reads());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, link_.values());
  }

 private:
  static Checked<std::shared_ptr<const Catalog>> Decode(
      const std::string& text) {
    if (text.empty()) return Problems{{"configuration", "empty", "a version"}};
    return std::make_shared<const Catalog>(
        std::stoll(text), std::vector<Queue>{}, std::vector<ServiceConfig>{},
        std::vector<Team>{}, CatalogLimits{});
  }
  void Publish(int64_t version) { PutText(std::to_string(version)); }
  void PutText(const std::string& text) {
    store_.Apply({.puts = {{.key = kKey, .value = text}}},
                 [](const TransactionAnswer&) {});
  }
  void AdvanceAndCheckAgeIsAtMost(Milliseconds bound, Milliseconds duration) {
    for (Milliseconds passed{0}; passed < duration; passed += kStep) {
      clock_.Advance(kStep);
      CPPUNIT_ASSERT(AgeOfCopy() <= bound);
    }
  }
  // While version `earlier` is in force, the copy isn't younger than the change
  // made at `changed`.
  void AdvanceAndCheckAge(Milliseconds duration, Time changed,
                          int64_t earlier) {
    for (Milliseconds passed{0}; passed < duration; passed += kStep) {
      clock_.Advance(kStep);
      if (VersionInForce() != earlier) return;
      CPPUNIT_ASSERT(AgeOfCopy() >= clock_.now() - changed);
    }
  }
  Milliseconds AgeOfCopy() const {
    return catalogs_.AgeAt(clock_.now()).value();
  }
  int64_t VersionInForce() const {
    return catalogs_.current() ? catalogs_.current()->version() : 0;
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  testing::StoreLink link_{&store_, clock_.Timer()};
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  CurrentCatalog catalogs_;
  int64_t newest_ = 0;
  int decoded_ = 0;
  int updates_ = 0;
  CatalogWatcher watcher_{{.store = &link_,
                           .key = kKey,
                           .decode =
                               [this](const std::string& text) {
                                 ++decoded_;
                                 return Decode(text);
                               },
                           .after = clock_.Timer(),
                           .clock = [this] { return clock_.now(); },
                           .log = &log_,
                           .metrics = &metrics_},
                          &catalogs_,
                          [this] { ++updates_; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogWatcherTest);

}  // namespace
}  // namespace quetzal
