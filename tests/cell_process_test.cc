#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "tests/support/cell_cluster.h"

namespace quetzal::testing {
namespace {

constexpr int kMachines = 3;
// In which a configuration must be in force.
constexpr int kApplySeconds = 3;
// More than the stand-in keeps of the routes that versions add.
constexpr int kVersionsThatRemoveARoute = 45;
constexpr int kWaitSeconds = 40;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;

std::string IdOf(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", number);
  return text;
}

// A job of two tasks and a third that follows them, `run_ms` each.
std::string JobBody(int run_ms) {
  const std::string step =
      R"("cpu":1000,"task-memory-mb":10,"estimated-duration-ms":)" +
      std::to_string(run_ms);
  return R"({"specification":")" + std::to_string(run_ms) +
         R"(","steps":[{"count":2,)" + step + R"(},{"count":1,"after":[0],)" +
         step + "}]}";
}

class CellProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellProcessTest);
  CPPUNIT_TEST(JobsCompleteAtAnyEntry);
  CPPUNIT_TEST(AKilledLeaderLosesAndDuplicatesNoTask);
  CPPUNIT_TEST(AResumedLeaderIsNoLongerTheLeader);
  CPPUNIT_TEST(AcceptedJobsOutliveEveryProcess);
  CPPUNIT_TEST(DuringAStoreOutageNewJobsAreRefusedAndAcceptedOnesContinue);
  CPPUNIT_TEST(AGracefulStopHandsOverLeadership);
  CPPUNIT_TEST(ACancelledJobStartsNothingMore);
  CPPUNIT_TEST(BadInputGetsAClearErrorAndAffectsNoOtherJob);
  CPPUNIT_TEST(ALongRunningJobRestartsUntilItIsCancelled);
  CPPUNIT_TEST(ARemovedRouteStaysRemovedAfterARestart);
  CPPUNIT_TEST(AResumedEntryDeniesNoAddedRoute);
  CPPUNIT_TEST(OddEntriesAmongTheWorkersDisturbNothing);
  CPPUNIT_TEST(EntriesWithoutWorkersHoldUpNoTakeover);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    cluster_ = std::make_unique<CellCluster>(kMachines);
    CPPUNIT_ASSERT(cluster_->Start());
  }
  void tearDown() override { cluster_.reset(); }

  void JobsCompleteAtAnyEntry() {
    for (int i = 0; i < 20; ++i) Submit(i);
    // Submitting the same id at another machine is idempotent.
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          kOk,
          cluster_->Submit((i + 1) % kMachines, IdOf(i), JobBody(60)).status);
    }
    ExpectAllCompleted(20);
    ExpectNoViolations(60);
  }

  void AKilledLeaderLosesAndDuplicatesNoTask() {
    int sent = 0;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 6; ++i) Submit(sent++);
      const int leader = WaitForLeader();
      cluster_->Signal("placer-" + std::to_string(leader), SIGKILL);
      for (int i = 0; i < 6; ++i) Submit(sent++);
      CPPUNIT_ASSERT(cluster_->Launch("placer-" + std::to_string(leader)));
    }
    ExpectAllCompleted(sent);
    ExpectNoViolations(3 * sent);
  }

  void AResumedLeaderIsNoLongerTheLeader() {
    for (int i = 0; i < 6; ++i) Submit(i);
    const int leader = WaitForLeader();
    const std::string name = "placer-" + std::to_string(leader);
    cluster_->Signal(name, SIGSTOP);
    for (int i = 6; i < 12; ++i) Submit(i);
    ExpectAllCompleted(12);
    cluster_->Signal(name, SIGCONT);
    for (int i = 12; i < 18; ++i) Submit(i);
    ExpectAllCompleted(18);
    ExpectNoViolations(3 * 18);
  }

  void AcceptedJobsOutliveEveryProcess() {
    for (int i = 0; i < 12; ++i) Submit(i);
    for (int i = 0; i < kMachines; ++i) {
      cluster_->Signal("entry-" + std::to_string(i), SIGKILL);
      cluster_->Signal("placer-" + std::to_string(i), SIGKILL);
    }
    for (int i = 0; i < kMachines; ++i) {
      CPPUNIT_ASSERT(cluster_->Launch("entry-" + std::to_string(i)));
      CPPUNIT_ASSERT(cluster_->Launch("placer-" + std::to_string(i)));
    }
    for (int i = 0; i < kMachines; ++i) {
      CPPUNIT_ASSERT(cluster_->WaitReady(i, kWaitSeconds));
    }
    ExpectAllCompleted(12);
    ExpectNoViolations(36);
  }

  void DuringAStoreOutageNewJobsAreRefusedAndAcceptedOnesContinue() {
    for (int i = 0; i < 6; ++i) Submit(i);
    cluster_->SetStoreDown(true);
    const HttpClientResult refused =
        cluster_->Submit(0, IdOf(100), JobBody(60));
    CPPUNIT_ASSERT_EQUAL(kUnavailable, refused.status);
    cluster_->SetStoreDown(false);
    ExpectAllCompleted(6);
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster_->StateOf(0, IdOf(100)));
    Submit(6);
    ExpectAllCompleted(7);
    ExpectNoViolations(21);
  }

  void AGracefulStopHandsOverLeadership() {
    for (int i = 0; i < 6; ++i) Submit(i);
    const std::string leader = std::to_string(WaitForLeader());
    CPPUNIT_ASSERT_EQUAL(0,
                         cluster_->Signal("placer-" + leader, SIGTERM).value());
    CPPUNIT_ASSERT_EQUAL(0,
                         cluster_->Signal("entry-" + leader, SIGTERM).value());
    CPPUNIT_ASSERT(cluster_->Launch("entry-" + leader));
    CPPUNIT_ASSERT(cluster_->WaitReady(std::stoi(leader), kWaitSeconds));
    ExpectAllCompleted(6);
    ExpectNoViolations(18);
  }

  void ACancelledJobStartsNothingMore() {
    CPPUNIT_ASSERT_EQUAL(kOk,
                         cluster_->Submit(0, IdOf(1), JobBody(1'000)).status);
    CPPUNIT_ASSERT_EQUAL(
        kOk, cluster_->Call(1, "DELETE", "/quotes/" + IdOf(1)).status);
    CPPUNIT_ASSERT(
        cluster_->WaitForState(2, IdOf(1), "cancelled", kWaitSeconds));
    Submit(0);
    ExpectAllCompleted(1);
    const nlohmann::json report = cluster_->StandinReport();
    CPPUNIT_ASSERT(report.value("started", 0) <= 3 + 2);
    CPPUNIT_ASSERT_EQUAL(
        kGone, cluster_->Call(1, "DELETE", "/quotes/" + IdOf(9)).status);
  }

  void ALongRunningJobRestartsUntilItIsCancelled() {
    const std::string path = "/quotes/" + IdOf(0);
    CPPUNIT_ASSERT_EQUAL(
        kOk, cluster_
                 ->Call(0, "POST", path,
                        R"({"specification":"150 fail","steps":[{"count":1,)"
                        R"("cpu":1000,"task-memory-mb":100,)"
                        R"("long-running":true,"miss-allowed":1}]})")
                 .status);
    // Several times as many runs as other tasks may fail.
    g_usleep(4'000'000);
    const HttpClientResult state = cluster_->Call(1, "GET", path);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"running"})"), state.body);
    CPPUNIT_ASSERT_EQUAL(kOk, cluster_->Call(2, "DELETE", path).status);
    g_usleep(1'000'000);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"),
                         cluster_->Call(0, "GET", path).body);
    const nlohmann::json report = cluster_->StandinReport();
    CPPUNIT_ASSERT_EQUAL(0, report.value("started_twice", -1));
    CPPUNIT_ASSERT_EQUAL(0, report.value("over_capacity", -1));
  }

  void BadInputGetsAClearErrorAndAffectsNoOtherJob() {
    const std::string path = "/quotes/" + IdOf(1);
    CPPUNIT_ASSERT_EQUAL(kBadRequest,
                         cluster_->Call(0, "POST", path, "{").status);
    CPPUNIT_ASSERT_EQUAL(
        kBadRequest,
        cluster_->Call(0, "POST", path, R"({"steps":[{"count":0}]})").status);
    CPPUNIT_ASSERT_EQUAL(
        kBadRequest,
        cluster_->Call(0, "POST", path, R"({"steps":[{"count":"x"}]})").status);
    const std::string nested =
        std::string(120'000, '[') + std::string(120'000, ']');
    CPPUNIT_ASSERT_EQUAL(
        kBadRequest,
        cluster_
            ->Call(0, "POST", path,
                   R"({"steps":[{"count":1,"after":[)" + nested + "]}]}")
            .status);
    CPPUNIT_ASSERT_EQUAL(
        kUnprocessable,
        cluster_
            ->Call(0, "POST", path,
                   R"({"steps":[{"count":1}],"repetitions":3,"interval-ms":9})")
            .status);
    // Steps that wait for themselves, for later ones, or for a number that a
    // narrower type would take for an earlier one.
    for (const std::string after : {"1", "2", "-1", "4294967296"}) {
      CPPUNIT_ASSERT_EQUAL(
          kBadRequest,
          cluster_
              ->Call(0, "POST", path,
                     R"({"steps":[{"count":1},{"count":1,"after":[)" + after +
                         "]}]}")
              .status);
    }
    CPPUNIT_ASSERT_EQUAL(kUnauthorized,
                         cluster_->Call(0, "GET", path, "", "wrong").status);
    CPPUNIT_ASSERT_EQUAL(kNotFound,
                         cluster_->Call(0, "GET", "/other/" + IdOf(1)).status);
    CPPUNIT_ASSERT_EQUAL(kGone, cluster_->Call(0, "GET", path).status);
    Submit(0);
    ExpectAllCompleted(1);
  }

  void ARemovedRouteStaysRemovedAfterARestart() {
    const int removed = cluster_->PublishConfiguration();
    CPPUNIT_ASSERT(cluster_->WaitFor(kApplySeconds, [&] {
      return cluster_->StatusOfAddedQueue(0, removed) == kOk;
    }));
    for (int i = 0; i < kVersionsThatRemoveARoute; ++i) {
      cluster_->PublishConfiguration();
    }
    CPPUNIT_ASSERT(cluster_->WaitFor(kApplySeconds, [&] {
      return cluster_->StatusOfAddedQueue(0, removed) == kNotFound;
    }));
    cluster_->Signal("entry-0", SIGKILL);
    CPPUNIT_ASSERT(cluster_->Launch("entry-0"));
    CPPUNIT_ASSERT(cluster_->WaitFor(kWaitSeconds, [&] {
      const int status = cluster_->StatusOfAddedQueue(0, removed);
      CPPUNIT_ASSERT(status != kOk);
      return status == kNotFound;
    }));
  }

  void AResumedEntryDeniesNoAddedRoute() {
    constexpr gulong kSuspensionUs = 3'500'000;
    cluster_->Signal("entry-0", SIGSTOP);
    const int added = cluster_->PublishConfiguration();
    g_usleep(kSuspensionUs);
    cluster_->Signal("entry-0", SIGCONT);
    CPPUNIT_ASSERT(cluster_->WaitFor(kApplySeconds, [&] {
      const int status = cluster_->StatusOfAddedQueue(0, added);
      CPPUNIT_ASSERT(status != kNotFound && status != kUnauthorized);
      return status == kOk;
    }));
  }

  // Another writer leaves them, also in place of a worker's own entry.
  void OddEntriesAmongTheWorkersDisturbNothing() {
    const int workers = 6;
    const auto are_polled = [&](int count) {
      return cluster_->WaitFor(kWaitSeconds, [&] {
        ExpectAllAreRunning();
        return cluster_->StandinReport().value("polled", 0) == count;
      });
    };
    CPPUNIT_ASSERT(are_polled(workers));
    for (int i = 0; i < 6; ++i) Submit(i);
    for (int round = 0; round < 3; ++round) {
      int number = 0;
      for (const std::string& text : OddEntries()) {
        WriteWorkerEntry("odd-" + std::to_string(number++), text);
        WriteWorkerEntry("i-" + std::to_string(number % workers), text);
      }
      for (const std::string& id :
           {std::string(), std::string("a/b"), std::string("a b"),
            std::string("a\r\nX-Odd: 1"), std::string("\xc3\xa9"),
            std::string(150, 'a')}) {
        WriteWorkerEntry(id, EntryWith("zone", "\"a\""));
      }
    }
    cluster_->AddWorker();
    CPPUNIT_ASSERT(are_polled(workers + 1));
    for (int i = 6; i < 18; ++i) Submit(i);
    ExpectAllCompleted(18);
    ExpectNoViolations(3 * 18);
    ExpectAllAreRunning();
  }

  // No one answers at their addresses.
  void EntriesWithoutWorkersHoldUpNoTakeover() {
    for (int i = 0; i < 20; ++i) {
      WriteWorkerEntry(
          "odd-" + std::to_string(i),
          EntryWith("service", i % 2 == 0 ? "\"desk\"" : "\"odd\""));
    }
    for (int i = 0; i < 6; ++i) Submit(i);
    const int leader = WaitForLeader();
    cluster_->Signal("placer-" + std::to_string(leader), SIGKILL);
    for (int i = 6; i < 12; ++i) Submit(i);
    ExpectAllCompleted(12);
    ExpectNoViolations(3 * 12);
  }

 private:
  // An entry as workers write them, with `value` in one of its fields.
  static std::string EntryWith(const std::string& field,
                               const std::string& value) {
    std::map<std::string, std::string> fields = {
        {"service", "\"desk\""},
        {"address", "\"127.0.0.1:9\""},
        {"zone", "\"a\""},
        {"state", "\"ready\""},
        {"capacity", R"({"cpu":4000,"task-memory-mb":4096,"gpu":0})"},
        {"labels", R"(["k","r1"])"},
        {"born", "1764900000000"}};
    fields[field] = value;
    std::string text;
    for (const auto& [name, member] : fields) {
      text += text.empty() ? "{\"" : ",\"";
      text.append(name).append("\":").append(member);
    }
    return text + "}";
  }
  static std::vector<std::string> OddEntries() {
    constexpr size_t kLevels = 100'000;
    const std::string deep =
        std::string(kLevels, '[') + std::string(kLevels, ']');
    std::vector<std::string> entries = {
        "",
        "{",
        "7",
        "null",
        "\xff\xfe",
        std::string(20, '\0'),
        std::string(kLevels, '['),
        deep,
        EntryWith("state", "\"odd\""),
        EntryWith("service", "7"),
        EntryWith("service", "\"\xff\""),
        EntryWith("remaining-ms", "9223372036854775807"),
        EntryWith("born", "1e300")};
    for (const char* const field :
         {"labels", "zone", "capacity", "address", "x"}) {
      entries.push_back(EntryWith(field, deep));
    }
    for (const std::string number :
         {"9223372036854775807", "18446744073709551615", "1e300", "1e400",
          "-9223372036854775808", "0.5", "\"x\"", "null"}) {
      std::string amounts = R"({"cpu":)" + number;
      amounts.append(R"(,"task-memory-mb":)").append(number).append("}");
      entries.push_back(EntryWith("capacity", amounts));
    }
    for (const std::string address :
         {"127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:99999999999",
          "127.0.0.1", "127.0.0.1:x", ":80", "127.0.0.1/x:80",
          R"(127.0.0.1\r\nX-Odd: 1:80)"}) {
      entries.push_back(EntryWith("address", "\"" + address + "\""));
    }
    return entries;
  }
  void WriteWorkerEntry(const std::string& id, const std::string& text) {
    CPPUNIT_ASSERT_MESSAGE(id, cluster_->WriteWorkerEntry(id, text));
  }
  void ExpectAllAreRunning() {
    for (int i = 0; i < kMachines; ++i) {
      for (const char* const program : {"entry-", "placer-"}) {
        const std::string name = program + std::to_string(i);
        CPPUNIT_ASSERT_MESSAGE(name, cluster_->IsRunning(name));
      }
    }
  }
  void Submit(int number) {
    const HttpClientResult answer =
        cluster_->Submit(number % kMachines, IdOf(number), JobBody(60));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, kOk, answer.status);
  }
  void ExpectAllCompleted(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      CPPUNIT_ASSERT_MESSAGE(
          IdOf(i), cluster_->WaitForState(i % kMachines, IdOf(i), "completed",
                                          kWaitSeconds));
    }
  }
  void ExpectNoViolations(int tasks) {
    const nlohmann::json report = cluster_->StandinReport();
    CPPUNIT_ASSERT_EQUAL(tasks, report.value("done", 0));
    CPPUNIT_ASSERT_EQUAL(0, report.value("started_twice", -1));
    CPPUNIT_ASSERT_EQUAL(0, report.value("started_after_end", -1));
    CPPUNIT_ASSERT_EQUAL(0, report.value("over_capacity", -1));
  }
  int WaitForLeader() {
    for (int i = 0; i < kWaitSeconds * 100; ++i) {
      const int leader = cluster_->Leader();
      if (leader >= 0) return leader;
      g_usleep(10'000);
    }
    CPPUNIT_FAIL("no placer is the leader");
    return -1;
  }

  std::unique_ptr<CellCluster> cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellProcessTest);

}  // namespace
}  // namespace quetzal::testing
