#include "quetzal/job_intake/job_intake.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

AcceptedJob MakeJob(const std::string& id) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = QueueId("q");
  job.spec.steps.push_back({.count = 1});
  return job;
}

class JobIntakeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobIntakeTest);
  CPPUNIT_TEST(AcceptsOnceStored);
  CPPUNIT_TEST(ManyJobsShareTransactions);
  CPPUNIT_TEST(AJobSubmittedTwiceIsWrittenOnce);
  CPPUNIT_TEST(AJobAcceptedElsewhereDoesNotBlockItsBatch);
  CPPUNIT_TEST(ALostAnswerIsResolvedByARetry);
  CPPUNIT_TEST(ARefusedJobIsNotAccepted);
  CPPUNIT_TEST(ARefusalAfterALostAnswerIsUnknown);
  CPPUNIT_TEST(AMissingAnswerIsRetriedSoon);
  CPPUNIT_TEST(AnUnresponsiveStoreIsReportedBeforeTheDeadline);
  CPPUNIT_TEST(ASuspendedSubmissionIsNotSentAgain);
  CPPUNIT_TEST(ASubmissionIsSentForALimitedTime);
  CPPUNIT_TEST(WhatEveryEntryFollowsIsSmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsOnceStored() {
    const auto outcome = Submit("a");
    CPPUNIT_ASSERT(!*outcome);
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("a"))) != nullptr);
  }

  // Guards against teams that submit many times their usual rate: each entry
  // receives each change of the cell's records, also one with a slow link.
  void WhatEveryEntryFollowsIsSmall() {
    constexpr size_t kJobs = 400;
    constexpr size_t kLargestSpecification = 4'000;
    constexpr size_t kMaxRecordBytes = 100;
    for (size_t i = 0; i < kJobs; ++i) {
      Submit("j" + std::to_string(i), std::string(kLargestSpecification, 'x'));
    }
    clock_.Advance(Milliseconds(1'000));
    size_t bytes = 0;
    size_t records = 0;
    store_.Range(CellPrefix(), "", [&](const ReadAnswer& answer) {
      records = answer.items.size();
      for (const StoreItem& item : answer.items) bytes += item.value.size();
    });
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(kJobs, records);
    CPPUNIT_ASSERT(bytes <= kJobs * kMaxRecordBytes);
    const StoreItem* const request = store_.Find(RequestKey(JobId("j0")));
    CPPUNIT_ASSERT(request != nullptr);
    const auto job = DecodeJob(JobId("j0"), request->value);
    CPPUNIT_ASSERT(job);
    CPPUNIT_ASSERT_EQUAL(kLargestSpecification,
                         job.value().spec.specification.size());
  }

  void ManyJobsShareTransactions() {
    constexpr size_t kJobs = 100;
    std::vector<std::shared_ptr<std::optional<IntakeOutcome>>> outcomes(kJobs);
    for (size_t i = 0; i < kJobs; ++i) {
      outcomes[i] = Submit("j" + std::to_string(i));
    }
    clock_.Advance(Milliseconds(50));
    for (const auto& outcome : outcomes) {
      CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
    }
    CPPUNIT_ASSERT(store_.transactions() <= 12);
  }

  void AJobSubmittedTwiceIsWrittenOnce() {
    const auto first = Submit("a");
    const auto second = Submit("a");
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**first == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(**second == IntakeOutcome::kAccepted);
    const auto third = Submit("a");
    clock_.Advance(Milliseconds(10));
    CPPUNIT_ASSERT(**third == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, store_.transactions());
  }

  void AJobAcceptedElsewhereDoesNotBlockItsBatch() {
    store_.Apply({.puts = {{.key = JobKey(JobId("b")), .value = "{}"}}},
                 [](const TransactionAnswer&) {});
    // Uses up the transactions in flight, so that the next jobs share one.
    for (int i = 0; i < 4; ++i) Submit("x" + std::to_string(i));
    const auto a = Submit("a");
    const auto b = Submit("b");
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT(**a == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(**b == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"),
                         store_.Find(JobKey(JobId("b")))->value);
  }

  void ALostAnswerIsResolvedByARetry() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    const auto done = Submit("a");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(**done == IntakeOutcome::kAccepted);
    store_.FailNextTransaction(StoreOutcome::kUnknown, false);
    const auto again = Submit("b");
    clock_.Advance(Milliseconds(100));
    CPPUNIT_ASSERT(**again == IntakeOutcome::kAccepted);
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("b"))) != nullptr);
  }

  void ARefusedJobIsNotAccepted() {
    store_.SetDown(true);
    const auto outcome = Submit("a");
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kNotAccepted);
    store_.SetDown(false);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId("a"))) == nullptr);
  }

  void ARefusalAfterALostAnswerIsUnknown() {
    store_.FailNextTransaction(StoreOutcome::kUnknown, true);
    const auto outcome = Submit("a");
    store_.SetDown(true);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kUnknown);
  }

  // Guards against lost answers that use up the caller's time: callers wait 3 s
  // in all, so an attempt must not use up half of that.
  void AMissingAnswerIsRetriedSoon() {
    for (const bool is_done : {true, false}) {
      const std::string id = is_done ? "done" : "not done";
      store_.DropNextAnswer(is_done);
      store_.DropNextAnswer(is_done);
      const auto outcome = Submit(id);
      clock_.Advance(Milliseconds(1'000));
      CPPUNIT_ASSERT(outcome->has_value());
      CPPUNIT_ASSERT(**outcome == IntakeOutcome::kAccepted);
      CPPUNIT_ASSERT(store_.Find(JobKey(JobId(id))) != nullptr);
    }
  }

  // Guards against replies that report an unresponsive store only at the
  // caller's deadline of 3 s: other entries may reach the store when this one
  // can't.
  void AnUnresponsiveStoreIsReportedBeforeTheDeadline() {
    bool is_reported = false;
    intake_.SetUnresponsiveHandler([&] { is_reported = true; });
    for (int i = 0; i < 10; ++i) store_.DropNextAnswer(false);
    const auto outcome = Submit("a");
    clock_.Advance(Milliseconds(1'000));
    CPPUNIT_ASSERT(outcome->has_value());
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kUnknown);
    CPPUNIT_ASSERT(is_reported);
  }

  // Guards against jobs that are accepted after a suspension of any length,
  // when the records that would keep them from it may have been removed.
  void ASuspendedSubmissionIsNotSentAgain() {
    for (const bool is_sent : {true, false}) {
      const std::string id = is_sent ? "sent" : "queued";
      if (is_sent) {
        store_.DropNextAnswer(/*is_applied=*/false);
      } else {
        // Uses up the transactions in flight.
        for (int i = 0; i < 4; ++i) Submit("x" + std::to_string(i));
      }
      const auto outcome = Submit(id);
      suspended_ += Milliseconds(300'000);
      clock_.Advance(Milliseconds(3'000));
      CPPUNIT_ASSERT(outcome->has_value());
      CPPUNIT_ASSERT(**outcome == (is_sent ? IntakeOutcome::kUnknown
                                           : IntakeOutcome::kNotAccepted));
      CPPUNIT_ASSERT(store_.Find(JobKey(JobId(id))) == nullptr);
    }
  }

  // Only the transactions of one job are lost, so that the store isn't taken
  // for unresponsive. Its caller would wait for a day.
  void ASubmissionIsSentForALimitedTime() {
    constexpr Milliseconds kDay{86'400'000};
    store_.LoseTransactionsOf(JobKey(JobId("a")));
    const auto outcome = Submit("a", "", kDay);
    const Time end = start_ + kMaxSubmissionTime + Milliseconds(2'000);
    for (int i = 0; clock_.now() < end; ++i) {
      Submit("other " + std::to_string(i));
      clock_.Advance(Milliseconds(100));
    }
    CPPUNIT_ASSERT(outcome->has_value());
    CPPUNIT_ASSERT(**outcome == IntakeOutcome::kUnknown);
    const size_t sent = store_.lost_transactions();
    clock_.Advance(kDay);
    CPPUNIT_ASSERT_EQUAL(sent, store_.lost_transactions());
  }

 private:
  // Loses the transactions that write a certain key.
  class LossyStore : public testing::MemoryStore {
   public:
    using MemoryStore::MemoryStore;
    void LoseTransactionsOf(const std::string& key) { lost_key_ = key; }
    size_t lost_transactions() const { return lost_transactions_; }

    void Apply(const Transaction& transaction,
               std::function<void(const TransactionAnswer&)> done) override {
      for (const StorePut& put : transaction.puts) {
        if (put.key != lost_key_) continue;
        ++lost_transactions_;
        return;
      }
      MemoryStore::Apply(transaction, std::move(done));
    }

   private:
    std::string lost_key_;
    size_t lost_transactions_ = 0;
  };

  std::shared_ptr<std::optional<IntakeOutcome>> Submit(
      const std::string& id, const std::string& specification = "",
      Milliseconds wait = Milliseconds(2'000)) {
    auto outcome = std::make_shared<std::optional<IntakeOutcome>>();
    AcceptedJob job = MakeJob(id);
    if (!specification.empty()) job.spec.specification = specification;
    intake_.Submit(job, Now() + wait,
                   [outcome](IntakeOutcome given) { *outcome = given; });
    return outcome;
  }

  Time Now() const { return clock_.now() + suspended_; }

  testing::VirtualClock clock_;
  const Time start_ = clock_.now();
  Milliseconds suspended_{0};
  LossyStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  JobIntake intake_{&store_, clock_.Timer(), [this] { return Now(); }, &log_,
                    &metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIntakeTest);

}  // namespace
}  // namespace quetzal
