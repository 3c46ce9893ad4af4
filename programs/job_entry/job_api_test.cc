#include "programs/job_entry/job_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

constexpr char kId[] = "5c0e7a21d94b36f8";
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kAttempts = 3;
constexpr Milliseconds kMaxConfigurationAge{2'500};
constexpr char kTaskJob[] =
    R"({"specification":"x","steps":[{"count":1,"cpu":1}]})";

class JobApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobApiTest);
  CPPUNIT_TEST(ACancelThatMeetsTheStartIsStored);
  CPPUNIT_TEST(ACancelThatMeetsTheEndReportsTheEnd);
  CPPUNIT_TEST(ASecondCancelIsAnsweredLikeTheFirst);
  CPPUNIT_TEST(ACancelOfAnUnknownJobIsGone);
  CPPUNIT_TEST(AnUnconfirmedConfigurationDeniesNoRoute);
  CPPUNIT_TEST(AnUnconfirmedConfigurationDeniesNoLongerPrefix);
  CPPUNIT_TEST(AnUnconfirmedConfigurationDeniesNoKey);
  CPPUNIT_TEST(AKeyThatIsOnlySimilarIsUnknown);
  CPPUNIT_TEST(AnUnconfirmedConfigurationAcceptsNoJob);
  CPPUNIT_TEST(AnUnconfirmedConfigurationReportsStates);
  CPPUNIT_TEST(AnAcceptedJobHoldsItsQueuesServiceAndAttempts);
  CPPUNIT_TEST(PendingJobsAreCountedOnlyOnceAllAreListed);
  CPPUNIT_TEST(NoRefusalFollowsAnAttemptThatMayBeCarriedOut);
  CPPUNIT_TEST(NoRefusalComesWhileAnEarlierAttemptIsUnderWay);
  CPPUNIT_TEST(ARefusalWithoutAnEarlierAttemptIsDefinite);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Queue queue{.name = QueueId("q"),
                .host = "h",
                .prefix = "/p/",
                .service = ServiceId("s"),
                .max_attempts = kAttempts};
    queue.is_public = true;
    Queue keyed{.name = QueueId("k"), .host = "h", .prefix = "/keyed/"};
    catalogs_.UpdateIfNewer(std::make_shared<const Catalog>(
        1, std::vector{queue, keyed}, std::vector<ServiceConfig>{},
        std::vector{Team{.name = TeamId("t"), .keys = {"Key1", "Key2"}},
                    Team{.name = TeamId("without-keys")}},
        CatalogLimits{}));
    catalogs_.Confirm(clock_.now());
    api_.SetStoreReachable(true);
  }

  // Guards against denials of a route that an outage kept from the entry.
  void AnUnconfirmedConfigurationDeniesNoRoute() {
    CPPUNIT_ASSERT_EQUAL(kNotFound, Call("GET", "/added/")->value().status);
    MakeUnconfirmed();
    const auto reply = Call("GET", "/added/");
    CPPUNIT_ASSERT_EQUAL(kUnavailable, (*reply)->status);
    CPPUNIT_ASSERT((*reply)->retry_after.has_value());
  }

  void AnUnconfirmedConfigurationDeniesNoLongerPrefix() {
    const std::string path = std::string("/p/added/") + kId;
    CPPUNIT_ASSERT_EQUAL(kGone, Call("GET", path)->value().status);
    MakeUnconfirmed();
    CPPUNIT_ASSERT_EQUAL(kUnavailable, Call("GET", path)->value().status);
  }

  void AnUnconfirmedConfigurationDeniesNoKey() {
    CPPUNIT_ASSERT_EQUAL(kUnauthorized, Call("GET", "/keyed/")->value().status);
    MakeUnconfirmed();
    CPPUNIT_ASSERT_EQUAL(kUnavailable, Call("GET", "/keyed/")->value().status);
  }

  void AKeyThatIsOnlySimilarIsUnknown() {
    job_index_.OnListed();
    for (const std::string key : {"Key1", "Key2"}) {
      CPPUNIT_ASSERT_EQUAL(kOk,
                           Call("GET", "/keyed/", "", key)->value().status);
    }
    for (const std::string key : {"", "key1", "KEY1", "Key", "Key11", " Key1",
                                  "Key1 ", "Key1,Key2", "Key1Key2", "t"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          key, kUnauthorized, Call("GET", "/keyed/", "", key)->value().status);
    }
  }

  void AnUnconfirmedConfigurationAcceptsNoJob() {
    const std::string path = std::string("/p/") + kId;
    MakeUnconfirmed();
    const auto refused = Call("POST", path, kTaskJob);
    CPPUNIT_ASSERT_EQUAL(kUnavailable, (*refused)->status);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId(kId))) == nullptr);
    catalogs_.Confirm(clock_.now());
    const auto accepted = Call("POST", path, kTaskJob);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*accepted)->status);
    CPPUNIT_ASSERT(store_.Find(JobKey(JobId(kId))) != nullptr);
  }

  void AnUnconfirmedConfigurationReportsStates() {
    PutRecord(JobState::kRunning);
    MakeUnconfirmed();
    const auto reply = Call("GET", std::string("/p/") + kId);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*reply)->status);
  }

  // The queue may be removed before the job ends.
  void AnAcceptedJobHoldsItsQueuesServiceAndAttempts() {
    const auto accepted = Call("POST", std::string("/p/") + kId, kTaskJob);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*accepted)->status);
    const StoreItem* const request = store_.Find(RequestKey(JobId(kId)));
    CPPUNIT_ASSERT(request != nullptr);
    const auto job = DecodeJob(JobId(kId), request->value);
    CPPUNIT_ASSERT(job);
    CPPUNIT_ASSERT(job.value().service == ServiceId("s"));
    CPPUNIT_ASSERT_EQUAL(kAttempts, job.value().max_attempts);
  }

  // Guards against counts of 0 from an entry that was started again.
  void PendingJobsAreCountedOnlyOnceAllAreListed() {
    CPPUNIT_ASSERT_EQUAL(kUnavailable, Call("GET", "/p/")->value().status);
    job_index_.OnListed();
    CPPUNIT_ASSERT_EQUAL(kOk, Call("GET", "/p/")->value().status);
  }

  // Guards against a 503, which means that the job never runs, while an earlier
  // attempt's write may still be carried out.
  void NoRefusalFollowsAnAttemptThatMayBeCarriedOut() {
    const std::string path = std::string("/p/") + kId;
    for (int i = 0; i < 10; ++i) store_.DropNextAnswer(/*is_applied=*/false);
    const auto first = Call("POST", path, kTaskJob);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout, (*first)->status);
    store_.SetDown(true);
    const auto refused_by_store = Call("POST", path, kTaskJob);
    clock_.Advance(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout, (*refused_by_store)->status);
    api_.SetStoreReachable(false);
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout,
                         Call("POST", path, kTaskJob)->value().status);
    api_.SetStoreReachable(true);
    MakeUnconfirmed();
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout,
                         Call("POST", path, kTaskJob)->value().status);
    // A later attempt that is accepted settles it.
    store_.SetDown(false);
    for (int i = 0; i < 10; ++i) {
      store_.Apply({}, [](const TransactionAnswer&) {});
    }
    catalogs_.Confirm(clock_.now());
    const auto accepted = Call("POST", path, kTaskJob);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*accepted)->status);
    CPPUNIT_ASSERT(!intake_.MayBeAccepted(JobId(kId)));
  }

  void NoRefusalComesWhileAnEarlierAttemptIsUnderWay() {
    const std::string path = std::string("/p/") + kId;
    const auto first = Call("POST", path, kTaskJob);
    api_.SetStoreReachable(false);
    CPPUNIT_ASSERT_EQUAL(kGatewayTimeout,
                         Call("POST", path, kTaskJob)->value().status);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*first)->status);
  }

  void ARefusalWithoutAnEarlierAttemptIsDefinite() {
    store_.SetDown(true);
    for (int i = 0; i < 2; ++i) {
      const auto refused = Call("POST", std::string("/p/") + kId, kTaskJob);
      clock_.Advance(Milliseconds(3'000));
      CPPUNIT_ASSERT_EQUAL(kUnavailable, (*refused)->status);
      CPPUNIT_ASSERT((*refused)->retry_after.has_value());
    }
  }

  // The record changes between the cancel's read and its write. A response that
  // reports a cancelled job requires a stored cancel.
  void ACancelThatMeetsTheStartIsStored() {
    PutRecord(JobState::kQueued);
    const auto reply = Cancel();
    PutRecord(JobState::kRunning);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT(reply->has_value());
    CPPUNIT_ASSERT_EQUAL(kOk, (*reply)->status);
    CPPUNIT_ASSERT(store_.Find(CancelKey(JobId(kId))) != nullptr);
  }

  void ACancelThatMeetsTheEndReportsTheEnd() {
    PutRecord(JobState::kRunning);
    const auto reply = Cancel();
    PutRecord(JobState::kCompleted);
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kOk, (*reply)->status);
    CPPUNIT_ASSERT((*reply)->body.find("completed") != std::string::npos);
    CPPUNIT_ASSERT(store_.Find(CancelKey(JobId(kId))) == nullptr);
  }

  void ASecondCancelIsAnsweredLikeTheFirst() {
    PutRecord(JobState::kRunning);
    for (int i = 0; i < 2; ++i) {
      const auto reply = Cancel();
      clock_.Advance(Milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(kOk, (*reply)->status);
      CPPUNIT_ASSERT((*reply)->body.find("cancelled") != std::string::npos);
    }
  }

  void ACancelOfAnUnknownJobIsGone() {
    const auto reply = Cancel();
    clock_.Advance(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(kGone, (*reply)->status);
  }

 private:
  void PutRecord(JobState state) {
    store_.Apply({.puts = {{.key = JobKey(JobId(kId)),
                            .value = EncodeJobRecord(QueueId("q"), state)}}},
                 [](const TransactionAnswer&) {});
  }
  std::shared_ptr<std::optional<HttpResponse>> Cancel() {
    return Call("DELETE", std::string("/p/") + kId);
  }
  std::shared_ptr<std::optional<HttpResponse>> Call(
      const std::string& method, const std::string& path,
      const std::string& body = "", const std::string& key = "") {
    auto reply = std::make_shared<std::optional<HttpResponse>>();
    std::map<std::string, std::string> headers = {{"host", "h"},
                                                  {"x-deadline-ms", "3000"}};
    if (!key.empty()) headers["x-key"] = key;
    api_.Serve({.method = method,
                .path = path,
                .headers = std::move(headers),
                .body = body},
               [reply](const HttpResponse& given) { *reply = given; });
    return reply;
  }
  // As if the configuration hadn't been confirmed for longer than allowed.
  void MakeUnconfirmed() {
    const auto catalog = catalogs_.current();
    catalogs_ = CurrentCatalog();
    catalogs_.UpdateIfNewer(catalog);
    catalogs_.Confirm(clock_.now() - kMaxConfigurationAge - Milliseconds(1));
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  CurrentCatalog catalogs_;
  JobIndex job_index_;
  JobIntake intake_{&store_, clock_.Timer(), [this] { return clock_.now(); },
                    &log_, &metrics_};
  JobApi api_{&catalogs_, &job_index_,    &intake_,
              &store_,    clock_.Timer(), [this] { return clock_.now(); },
              &log_,      &metrics_,      kMaxConfigurationAge};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobApiTest);

}  // namespace
}  // namespace quetzal
