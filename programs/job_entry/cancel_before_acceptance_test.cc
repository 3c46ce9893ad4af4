// Guards against cancelled jobs that are accepted and run afterwards: a cancel
// is answered while the submission of its job is under way, at this or another
// entry, or in the store.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "programs/job_entry/job_api.h"
#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/store_link.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

constexpr char kId[] = "5c0e7a21d94b36f8";
constexpr char kJobBody[] =
    R"({"specification":"x","steps":[{"count":1,"cpu":1}]})";
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kGatewayTimeout = 504;
constexpr Milliseconds kMaxConfigurationAge{60'000};
// Longer than a client waits.
constexpr Milliseconds kUntilAnswered{4'000};

using Reply = std::shared_ptr<std::optional<HttpResponse>>;

int StatusOf(const Reply& reply) {
  CPPUNIT_ASSERT(reply->has_value());
  return (*reply)->status;
}

// What an entry's process consists of, without its sockets.
class TestEntry {
 public:
  TestEntry(testing::VirtualClock* clock, Store* store)
      : clock_(clock),
        link_(store, clock->Timer()),
        intake_(
            &link_, clock->Timer(), [clock] { return clock->now(); }, &log_,
            &metrics_),
        api_(
            &catalogs_, &job_index_, &intake_, &link_, clock->Timer(),
            [clock] { return clock->now(); }, &log_, &metrics_,
            kMaxConfigurationAge),
        watcher_(
            &link_, CellPrefix(), StoreWatcherTiming{},
            StoreWatcherHandlers{.on_put =
                                     [this](const StoreItem& item) {
                                       CPPUNIT_ASSERT(job_index_.OnPut(item));
                                     },
                                 .on_removed =
                                     [this](const std::string& key) {
                                       job_index_.OnRemoved(key);
                                     }},
            clock->Timer()) {
    Queue queue{.name = QueueId("q"), .host = "h", .prefix = "/p/"};
    queue.is_public = true;
    catalogs_.UpdateIfNewer(std::make_shared<const Catalog>(
        1, std::vector{queue}, std::vector<ServiceConfig>{},
        std::vector<Team>{}, CatalogLimits{}));
    api_.SetStoreReachable(true);
  }

  void WatchJobs() { watcher_.Start(); }
  // Ends the process: its callers get no answer, and it sends nothing any more.
  void Kill() {
    *is_alive_ = false;
    link_.SetFault(testing::StoreLink::Fault::kUnanswered);
  }

  Reply Call(const std::string& method, const std::string& path,
             const std::string& body = "") {
    catalogs_.Confirm(clock_->now());
    auto reply = std::make_shared<std::optional<HttpResponse>>();
    api_.Serve({.method = method,
                .path = path,
                .headers = {{"host", "h"}, {"x-deadline-ms", "3000"}},
                .body = body},
               [reply, is_alive = is_alive_](const HttpResponse& given) {
                 if (*is_alive) *reply = given;
               });
    return reply;
  }
  Reply Submit(const std::string& id = kId) {
    return Call("POST", "/p/" + id, kJobBody);
  }
  Reply Cancel(const std::string& id = kId) {
    return Call("DELETE", "/p/" + id);
  }
  Reply ReadState(const std::string& id = kId) {
    return Call("GET", "/p/" + id);
  }

  int64_t PendingCount() const { return job_index_.PendingCount(QueueId("q")); }

 private:
  testing::VirtualClock* clock_;
  testing::StoreLink link_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  CurrentCatalog catalogs_;
  JobIndex job_index_;
  JobIntake intake_;
  JobApi api_;
  StoreWatcher watcher_;
};

// Entries that share a store, and what their callers were answered.
class RandomHistory {
 public:
  RandomHistory() {
    for (size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(NewEntry(/*watches_jobs=*/i == 0));
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      clock_.Advance(Milliseconds(PickFrom(kPausesMs)));
    }
    store_.SetDown(false);
    clock_.Advance(kUntilAnswered);
    store_.ExecuteHeldTransactions();
    clock_.Advance(kUntilAnswered);
  }

  // The properties that hold for every order of events.
  void Check() const {
    for (const auto& [id, calls] : calls_) {
      const JobId job(id);
      const StoreItem* const record = store_.Find(JobKey(job));
      const bool is_accepted = record != nullptr && !IsTombstone(record->value);
      const bool may_run = store_.Find(RequestKey(job)) != nullptr &&
                           store_.Find(CancelKey(job)) == nullptr;
      if (HasAnswer(calls.cancels, {kOk, kGone})) RC_ASSERT(!may_run);
      if (HasAnswer(calls.submissions, {kOk})) RC_ASSERT(is_accepted);
      if (HasAnswer(calls.submissions, {kGone})) {
        RC_ASSERT(!calls.cancels.empty());
        RC_ASSERT(!may_run);
      }
      if (calls.cancels.empty()) RC_ASSERT(is_accepted == may_run);
    }
  }

 private:
  static constexpr size_t kEntries = 3;
  static constexpr std::array<int, 9> kPausesMs = {0, 0,  0,   1,    2,
                                                   5, 40, 300, 1'000};
  static constexpr std::array<const char*, 3> kIds = {
      "00000000000000b1", "00000000000000b2", "00000000000000b3"};

  template <typename Value, size_t kSize>
  static Value PickFrom(const std::array<Value, kSize>& values) {
    return values[*rc::gen::inRange<size_t>(0, kSize)];
  }

  struct Calls {
    std::vector<Reply> submissions;
    std::vector<Reply> cancels;
  };

  static bool HasAnswer(const std::vector<Reply>& replies,
                        const std::vector<int>& statuses) {
    return std::any_of(replies.begin(), replies.end(), [&](const Reply& reply) {
      return reply->has_value() &&
             std::find(statuses.begin(), statuses.end(), (*reply)->status) !=
                 statuses.end();
    });
  }

  std::unique_ptr<TestEntry> NewEntry(bool watches_jobs) {
    auto entry = std::make_unique<TestEntry>(&clock_, &store_);
    if (watches_jobs) entry->WatchJobs();
    return entry;
  }

  void Step() {
    const std::string id = PickFrom(kIds);
    std::unique_ptr<TestEntry>& entry =
        entries_[*rc::gen::inRange<size_t>(0, kEntries)];
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
      case 2:
      case 3:
        calls_[id].submissions.push_back(entry->Submit(id));
        return;
      case 4:
      case 5:
        calls_[id].cancels.push_back(entry->Cancel(id));
        return;
      case 6:
        entry->Kill();
        killed_.push_back(std::move(entry));
        entry = NewEntry(*rc::gen::arbitrary<bool>());
        return;
      case 7:
        store_.HoldNextTransaction();
        return;
      case 8:
        store_.FailNextTransaction(StoreOutcome::kUnknown,
                                   *rc::gen::arbitrary<bool>());
        return;
      case 9:
        store_.DropNextAnswer(*rc::gen::arbitrary<bool>());
        return;
      case 10:
        store_.ExecuteHeldTransactions();
        return;
      default:
        store_.SetDown(*rc::gen::inRange(0, 4) == 0);
        return;
    }
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  std::vector<std::unique_ptr<TestEntry>> entries_;
  std::vector<std::unique_ptr<TestEntry>> killed_;
  std::map<std::string, Calls> calls_;
};

class CancelBeforeAcceptanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelBeforeAcceptanceTest);
  CPPUNIT_TEST(ACancelAtAnotherEntryHoldsAgainstALateWrite);
  CPPUNIT_TEST(ACancelAtTheSubmissionsEntryHoldsAgainstALateWrite);
  CPPUNIT_TEST(ACancelHoldsAgainstTheRetriesOfALostWrite);
  CPPUNIT_TEST(ACancelHoldsAgainstAnEntryThatStartedLater);
  CPPUNIT_TEST(ACancelledIdIsNotShownAndNotAcceptedLater);
  CPPUNIT_TEST(AnAcceptanceBetweenACancelsReadAndWriteIsCancelled);
  CPPUNIT_TEST(ACancelWithoutAnAnswerIsTriedAgain);
  CPPUNIT_TEST(AnUnreachableStoreLeavesACancelUnanswered);
  CPPUNIT_TEST(OtherJobsOfTheBatchAreAccepted);
  CPPUNIT_TEST(ARepeatedCancelWritesTheTombstoneAgain);
  CPPUNIT_TEST(CancelsHoldInRandomHistories);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ACancelAtAnotherEntryHoldsAgainstALateWrite() {
    CheckCancelHoldsAgainstLateWrite(&first_, &second_);
  }

  void ACancelAtTheSubmissionsEntryHoldsAgainstALateWrite() {
    CheckCancelHoldsAgainstLateWrite(&first_, &first_);
  }

  void ACancelHoldsAgainstTheRetriesOfALostWrite() {
    store_.DropNextAnswer(/*is_applied=*/false);
    const Reply submitted = first_.Submit();
    const Reply cancelled = second_.Cancel();
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(submitted));
    CheckNothingToRun();
  }

  // The entry that sent the late write was killed; its successor knows neither
  // of the submission nor of the cancel.
  void ACancelHoldsAgainstAnEntryThatStartedLater() {
    store_.HoldNextTransaction();
    TestEntry killed(&clock_, &store_);
    killed.Submit();
    killed.Kill();
    const Reply cancelled = second_.Cancel();
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
    store_.ExecuteHeldTransactions();
    CheckNothingToRun();
    TestEntry restarted(&clock_, &store_);
    const Reply again = restarted.Submit();
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(again));
    CheckNothingToRun();
  }

  // No client submitted the job successfully, so none may see it.
  void ACancelledIdIsNotShownAndNotAcceptedLater() {
    first_.WatchJobs();
    second_.Cancel();
    clock_.Advance(kUntilAnswered);
    for (TestEntry* const entry : {&first_, &second_}) {
      const Reply state = entry->ReadState();
      const Reply submitted = entry->Submit();
      const Reply cancelled = entry->Cancel();
      clock_.Advance(kUntilAnswered);
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(state));
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(submitted));
      CPPUNIT_ASSERT(!(*submitted)->retry_after);
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, first_.PendingCount());
    CheckNothingToRun();
  }

  void AnAcceptanceBetweenACancelsReadAndWriteIsCancelled() {
    const Reply cancelled = second_.Cancel();
    // The read was carried out, and is answered 1 ms later.
    const Reply submitted = first_.Submit();
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kOk, StatusOf(submitted));
    CPPUNIT_ASSERT_EQUAL(kOk, StatusOf(cancelled));
    CPPUNIT_ASSERT(store_.Find(CancelKey(JobId(kId))) != nullptr);
  }

  void ACancelWithoutAnAnswerIsTriedAgain() {
    for (const bool is_applied : {true, false}) {
      const std::string id = is_applied ? kId : "00000000000000aa";
      store_.FailNextTransaction(StoreOutcome::kUnknown, is_applied);
      const Reply cancelled = second_.Cancel(id);
      clock_.Advance(kUntilAnswered);
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
      const Reply submitted = first_.Submit(id);
      clock_.Advance(kUntilAnswered);
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(submitted));
    }
  }

  void AnUnreachableStoreLeavesACancelUnanswered() {
    const Reply cancelled = second_.Cancel();
    store_.SetDown(true);
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout, StatusOf(cancelled));
  }

  void OtherJobsOfTheBatchAreAccepted() {
    const Reply cancelled = second_.Cancel();
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
    // Uses up the transactions in flight, so that the next jobs share one.
    for (const char* const id : {"00000000000000a1", "00000000000000a2",
                                 "00000000000000a3", "00000000000000a4"}) {
      first_.Submit(id);
    }
    const Reply refused = first_.Submit();
    const Reply accepted = first_.Submit("00000000000000a5");
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(refused));
    CPPUNIT_ASSERT_EQUAL(kOk, StatusOf(accepted));
  }

  // The tombstone that the first cancel left may be removed at any time.
  void ARepeatedCancelWritesTheTombstoneAgain() {
    first_.WatchJobs();
    Revision written{0};
    for (TestEntry* const entry : {&first_, &second_, &first_}) {
      const Reply cancelled = entry->Cancel();
      clock_.Advance(kUntilAnswered);
      CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
      const StoreItem* const record = store_.Find(JobKey(JobId(kId)));
      CPPUNIT_ASSERT(record->revision > written);
      written = record->revision;
    }
  }

  void CancelsHoldInRandomHistories() {
    setenv("RC_PARAMS", "seed=20261206 max_success=2000", 0);
    const bool holds = rc::check([] {
      constexpr int kMaxSteps = 40;
      RandomHistory history;
      history.Run(*rc::gen::inRange(1, kMaxSteps));
      history.Check();
    });
    CPPUNIT_ASSERT(holds);
  }

 private:
  void CheckCancelHoldsAgainstLateWrite(TestEntry* submitted_at,
                                        TestEntry* cancelled_at) {
    store_.HoldNextTransaction();
    const Reply submitted = submitted_at->Submit();
    const Reply cancelled = cancelled_at->Cancel();
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(cancelled));
    store_.ExecuteHeldTransactions();
    clock_.Advance(kUntilAnswered);
    CPPUNIT_ASSERT_EQUAL(kGone, StatusOf(submitted));
    CheckNothingToRun();
  }

  void CheckNothingToRun() {
    CPPUNIT_ASSERT(store_.Find(RequestKey(JobId(kId))) == nullptr);
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  TestEntry first_{&clock_, &store_};
  TestEntry second_{&clock_, &store_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancelBeforeAcceptanceTest);

}  // namespace
}  // namespace quetzal
