#include "quetzal/tombstone_remover/tombstone_remover.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

constexpr Milliseconds kRetention{30'000};
constexpr Milliseconds kInterval{2'000};

class TombstoneRemoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TombstoneRemoverTest);
  CPPUNIT_TEST(ATombstoneIsKeptForTheRetentionTime);
  CPPUNIT_TEST(ATombstoneThatIsWrittenAgainIsKeptAnew);
  CPPUNIT_TEST(ALateRemovalLeavesATombstoneThatWasWrittenAgain);
  CPPUNIT_TEST(ARemovalThatFailedIsRepeated);
  CPPUNIT_TEST(AFormerPlacerRemovesNothing);
  CPPUNIT_TEST(ChangedRecordsDontKeepOthersFromRemoval);
  CPPUNIT_TEST(ManyAreRemovedInSeveralRounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    remover_.SetFence(
        Fence{static_cast<uint64_t>(Write(LeaderKey(), "placer"))});
    remover_.Start();
  }

  void ATombstoneIsKeptForTheRetentionTime() {
    Cancel("a");
    clock_.Advance(kRetention - Milliseconds(10));
    CPPUNIT_ASSERT(IsStored("a"));
    clock_.Advance(kInterval * 2);
    CPPUNIT_ASSERT(!IsStored("a"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, remover_.size());
  }

  // Guards against cancels that are answered 410 because of a tombstone that is
  // removed a moment later, while a submission is under way.
  void ATombstoneThatIsWrittenAgainIsKeptAnew() {
    Cancel("a");
    clock_.Advance(kRetention - Milliseconds(10));
    Cancel("a");
    clock_.Advance(kRetention - Milliseconds(10));
    CPPUNIT_ASSERT(IsStored("a"));
    clock_.Advance(kInterval * 2);
    CPPUNIT_ASSERT(!IsStored("a"));
  }

  void ALateRemovalLeavesATombstoneThatWasWrittenAgain() {
    Cancel("a");
    clock_.Advance(kRetention - kInterval);
    store_.HoldNextTransaction();
    clock_.Advance(kInterval * 2);
    CPPUNIT_ASSERT(IsStored("a"));
    Cancel("a");
    store_.ExecuteHeldTransactions();
    CPPUNIT_ASSERT(IsStored("a"));
  }

  void ARemovalThatFailedIsRepeated() {
    for (const bool is_applied : {true, false}) {
      Cancel("a");
      Cancel("b");
      clock_.Advance(kRetention - kInterval);
      store_.FailNextTransaction(StoreOutcome::kUnknown, is_applied);
      clock_.Advance(kInterval * 4);
      CPPUNIT_ASSERT(!IsStored("a"));
      CPPUNIT_ASSERT(!IsStored("b"));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, remover_.size());
    }
  }

  void AFormerPlacerRemovesNothing() {
    Cancel("a");
    Write(LeaderKey(), "successor");
    clock_.Advance(kRetention + kInterval * 2);
    CPPUNIT_ASSERT(IsStored("a"));
  }

  void ChangedRecordsDontKeepOthersFromRemoval() {
    Cancel("a");
    Cancel("b");
    // The placer doesn't learn of this change in time.
    Write(JobKey(JobId("a")), EncodeTombstone(QueueId("q")));
    clock_.Advance(kRetention + kInterval * 3);
    CPPUNIT_ASSERT(IsStored("a"));
    CPPUNIT_ASSERT(!IsStored("b"));
  }

  void ManyAreRemovedInSeveralRounds() {
    constexpr int kTombstones = 1'000;
    constexpr size_t kMaxTransactionsPerRound = 20;
    for (int i = 0; i < kTombstones; ++i) Cancel("t" + std::to_string(i));
    clock_.Advance(kRetention - kInterval);
    const size_t before = store_.transactions();
    clock_.Advance(kInterval);
    CPPUNIT_ASSERT(store_.transactions() - before <= kMaxTransactionsPerRound);
    clock_.Advance(kInterval * 8);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, remover_.size());
    CPPUNIT_ASSERT(!IsStored("t0"));
    CPPUNIT_ASSERT(!IsStored("t999"));
  }

 private:
  Revision Write(const std::string& key, const std::string& value) {
    store_.Apply({.puts = {{.key = key, .value = value}}},
                 [](const TransactionAnswer&) {});
    return store_.Find(key)->revision;
  }
  void Cancel(const std::string& id) {
    const JobId job(id);
    remover_.OnTombstone(job,
                         Write(JobKey(job), EncodeTombstone(QueueId("q"))));
  }
  bool IsStored(const std::string& id) const {
    return store_.Find(JobKey(JobId(id))) != nullptr;
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
  TombstoneRemover remover_{&store_,
                            {.retention = kRetention, .interval = kInterval},
                            clock_.Timer(),
                            [this] { return clock_.now(); },
                            &log_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TombstoneRemoverTest);

}  // namespace
}  // namespace quetzal
