#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "quetzal/store/store.h"
#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

class FollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerTest);
  CPPUNIT_TEST(TellsWhatIsThereAndWhatChanges);
  CPPUNIT_TEST(ListsAnewAfterTheHistoryIsGone);
  CPPUNIT_TEST(GoesOnAfterAnOutage);
  CPPUNIT_TEST(ASilentWatchIsCheckedByAListing);
  CPPUNIT_TEST(AWatchWithNothingToTellIsCheckedSeldom);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsWhatIsThereAndWhatChanges() {
    Put("a/1", "x");
    Start();
    clock_.Pass(Milliseconds(100));
    CPPUNIT_ASSERT(listed_);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), seen_["a/1"]);
    Put("a/2", "y");
    Put("b/1", "z");
    clock_.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), seen_["a/2"]);
    CPPUNIT_ASSERT(!seen_.contains("b/1"));
    Remove("a/1");
    clock_.Pass(Milliseconds(100));
    CPPUNIT_ASSERT(!seen_.contains("a/1"));
  }

  void ListsAnewAfterTheHistoryIsGone() {
    Put("a/1", "x");
    Put("a/2", "x");
    Start();
    clock_.Pass(Milliseconds(100));
    // Nothing is heard while it changes, and then the history is dropped.
    store_.SetDown(true);
    clock_.Pass(Milliseconds(500));
    store_.SetDown(false);
    Put("a/1", "y");
    Remove("a/2");
    store_.Compact();
    clock_.Pass(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), seen_["a/1"]);
    CPPUNIT_ASSERT(!seen_.contains("a/2"));
  }

  void GoesOnAfterAnOutage() {
    Start();
    clock_.Pass(Milliseconds(100));
    CPPUNIT_ASSERT(reached_);
    store_.SetDown(true);
    Put("a/0", "lost");
    clock_.Pass(Milliseconds(2'000));
    CPPUNIT_ASSERT(!reached_);
    store_.SetDown(false);
    Put("a/1", "x");
    clock_.Pass(Milliseconds(1'000));
    CPPUNIT_ASSERT(reached_);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), seen_["a/1"]);
  }

  // The store compacts: for seconds, watches hear nothing of what changes.
  void ASilentWatchIsCheckedByAListing() {
    Put("a/0", "x");
    Start({.relist_after_silence = Milliseconds(300)});
    clock_.Pass(Milliseconds(100));
    store_.SetWatchesDeaf(true);
    for (int i = 1; i <= 4; ++i) {
      Put("a/" + std::to_string(i), "x");
      Remove("a/" + std::to_string(i - 1));
      clock_.Pass(Milliseconds(700));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, seen_.size());
      CPPUNIT_ASSERT(seen_.contains("a/" + std::to_string(i)));
    }
    store_.SetWatchesDeaf(false);
    Put("a/9", "y");
    clock_.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, seen_.size());
  }

  void AWatchWithNothingToTellIsCheckedSeldom() {
    Start({.relist_after_silence = Milliseconds(300)});
    const size_t at_first = store_.listings();
    clock_.Pass(Milliseconds(60'000));
    CPPUNIT_ASSERT(store_.listings() - at_first <= 13);
  }

 private:
  void Start(StoreWatcherTiming timing = {}) {
    follower_ = std::make_unique<StoreWatcher>(
        &store_, "a/", timing,
        StoreWatcherHandlers{
            .on_put =
                [this](const StoreItem& item) { seen_[item.key] = item.value; },
            .on_removed = [this](const std::string& key) { seen_.erase(key); },
            .on_listed = [this] { listed_ = true; },
            .on_reachable = [this](bool reached) { reached_ = reached; }},
        clock_.Timer());
    follower_->Start();
  }
  void Put(const std::string& key, const std::string& value) {
    store_.Apply({.puts = {{.key = key, .value = value}}},
                 [](const TransactionAnswer&) {});
  }
  void Remove(const std::string& key) {
    store_.Apply({.removes = {key}}, [](const TransactionAnswer&) {});
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.Soon()};
  std::unique_ptr<StoreWatcher> follower_;
  std::map<std::string, std::string> seen_;
  bool listed_ = false;
  bool reached_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

}  // namespace
}  // namespace quetzal
