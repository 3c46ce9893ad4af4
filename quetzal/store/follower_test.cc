#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "quetzal/store/store.h"
#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

class StoreWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreWatcherTest);
  CPPUNIT_TEST(ReportsExistingKeysAndChanges);
  CPPUNIT_TEST(ListsAgainAfterACompaction);
  CPPUNIT_TEST(ResumesAfterAnOutage);
  CPPUNIT_TEST(AStalledWatchIsCheckedByAListing);
  CPPUNIT_TEST(AnIdleWatchIsCheckedRarely);
  CPPUNIT_TEST(AnAnswerWithoutEventsSkipsNoChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsExistingKeysAndChanges() {
    Put("a/1", "x");
    Start();
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(listed_);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), values_["a/1"]);
    Put("a/2", "y");
    Put("b/1", "z");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), values_["a/2"]);
    CPPUNIT_ASSERT(!values_.contains("b/1"));
    Remove("a/1");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(!values_.contains("a/1"));
  }

  void ListsAgainAfterACompaction() {
    Put("a/1", "x");
    Put("a/2", "x");
    Start();
    clock_.Advance(Milliseconds(100));
    // The keys change while the store is down, and then the history is dropped.
    store_.SetDown(true);
    clock_.Advance(Milliseconds(500));
    store_.SetDown(false);
    Put("a/1", "y");
    Remove("a/2");
    store_.Compact();
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), values_["a/1"]);
    CPPUNIT_ASSERT(!values_.contains("a/2"));
  }

  void ResumesAfterAnOutage() {
    Start();
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(is_reachable_);
    store_.SetDown(true);
    Put("a/0", "lost");
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(!is_reachable_);
    store_.SetDown(false);
    Put("a/1", "x");
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(is_reachable_);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), values_["a/1"]);
  }

  // Guards against a copy that goes stale because watches report nothing for
  // seconds, as they do while the store compacts its history.
  void AStalledWatchIsCheckedByAListing() {
    Put("a/0", "x");
    Start({.relist_after_silence = Milliseconds(300)});
    clock_.Advance(Milliseconds(100));
    store_.SetWatchesStalled(true);
    for (int i = 1; i <= 4; ++i) {
      Put("a/" + std::to_string(i), "x");
      Remove("a/" + std::to_string(i - 1));
      clock_.Advance(Milliseconds(700));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, values_.size());
      CPPUNIT_ASSERT(values_.contains("a/" + std::to_string(i)));
    }
    store_.SetWatchesStalled(false);
    Put("a/9", "y");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, values_.size());
  }

  void AnIdleWatchIsCheckedRarely() {
    Start({.relist_after_silence = Milliseconds(300)});
    const size_t initial_listings = store_.listings();
    clock_.Advance(Milliseconds(60'000));
    CPPUNIT_ASSERT(store_.listings() - initial_listings <= 13);
  }

  // A watch whose wait ends while the store's watches are stalled returns a
  // revision past changes that it doesn't report.
  void AnAnswerWithoutEventsSkipsNoChange() {
    Start();
    clock_.Advance(Milliseconds(100));
    store_.SetWatchesStalled(true);
    Put("a/1", "x");
    store_.EndWatchesWithoutEvents();
    clock_.Advance(Milliseconds(5));
    store_.SetWatchesStalled(false);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), values_["a/1"]);
  }

 private:
  void Start(StoreWatcherTiming timing = {}) {
    watcher_ = std::make_unique<StoreWatcher>(
        &store_, "a/", timing,
        StoreWatcherHandlers{
            .on_put =
                [this](const StoreItem& item) {
                  values_[item.key] = item.value;
                },
            .on_removed =
                [this](const std::string& key) { values_.erase(key); },
            .on_listed = [this] { listed_ = true; },
            .on_reachable =
                [this](bool is_reachable) { is_reachable_ = is_reachable; }},
        clock_.Timer());
    watcher_->Start();
  }
  void Put(const std::string& key, const std::string& value) {
    store_.Apply({.puts = {{.key = key, .value = value}}},
                 [](const TransactionAnswer&) {});
  }
  void Remove(const std::string& key) {
    store_.Apply({.removes = {key}}, [](const TransactionAnswer&) {});
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  std::unique_ptr<StoreWatcher> watcher_;
  std::map<std::string, std::string> values_;
  bool listed_ = false;
  bool is_reachable_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatcherTest);

}  // namespace
}  // namespace quetzal
