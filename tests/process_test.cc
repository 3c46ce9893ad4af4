// End-to-end tests with separate processes on loopback, with kills, freezes and
// outages. The workers' logs are checked for the guarantees.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "quetzal/record/record.h"
#include "tests/support/cluster.h"

namespace quetzal::testing {
namespace {

using ctl::Exchange;
using Clock = std::chrono::steady_clock;

constexpr char kKey[] = "field-key";
constexpr char kOtherKey[] = "archive-key";
constexpr int kAccepted = 202;

std::string Binaries() {
  const char* const folder = std::getenv("QUETZAL_BUILD");
  return folder == nullptr ? "." : folder;
}

nlohmann::json KeyRecordOf(const std::string& name, const std::string& key) {
  return {{"schema", "v1"},
          {"kind", "key"},
          {"name", name},
          {"team", "lidar"},
          {"digest", KeyDigest(key)}};
}

nlohmann::json QueueRecordOf(const std::string& name, bool open) {
  return {{"schema", "v2"},
          {"kind", "queue"},
          {"name", name},
          {"team", "lidar"},
          {"open", open},
          {"depth", 5'000},
          {"when_cut", open ? "serve" : "refuse"}};
}

nlohmann::json Records() {
  return nlohmann::json::array(
      {{{"schema", "v2"},
        {"kind", "team"},
        {"name", "lidar"},
        {"share", 2},
        {"limit",
         {{"cpu_milli", 640'000}, {"memory_mib", 1'310'720}, {"slots", 640}}}},
       KeyRecordOf("lidar-1", kKey),
       KeyRecordOf("lidar-2", kOtherKey),
       QueueRecordOf("quick", false),
       QueueRecordOf("public", true)});
}

nlohmann::json RequestBody(const std::string& queue, int run_ms,
                           bool idempotent = false) {
  return {{"queue", queue},
          {"idempotent", idempotent},
          {"payload", "run_ms=" + std::to_string(run_ms)},
          {"deadline_ms", 20'000}};
}

// Posts the same request from many concurrent callers, started `gap` apart.
std::vector<Exchange> PostAll(const Cluster& cluster,
                              const std::vector<std::string>& entries,
                              const nlohmann::json& body, int count,
                              std::chrono::milliseconds gap) {
  std::vector<Exchange> replies(static_cast<size_t>(count));
  std::vector<std::thread> callers;
  callers.reserve(replies.size());
  for (size_t i = 0; i < replies.size(); ++i) {
    callers.emplace_back([&, i] {
      replies[i] =
          cluster.Post(entries[i % entries.size()], "/v1/requests", body, kKey);
    });
    std::this_thread::sleep_for(gap);
  }
  for (std::thread& caller : callers) caller.join();
  return replies;
}

// Checks the guarantees that show in a worker log: no work runs twice at the
// same time, non-idempotent work starts once, and workers stay within capacity.
void CheckWorkerLog(const std::vector<LogLine>& log) {
  std::map<std::string, std::string> running;  // work to attempt
  std::map<std::string, int> starts;
  for (const LogLine& line : log) {
    const std::string work = line["work"];
    if (line["kind"] == "ended") running.erase(work);
    if (line["kind"] != "started") continue;
    CPPUNIT_ASSERT_MESSAGE("runs twice at the same time: " + line.dump(),
                           !running.contains(work));
    running[work] = line["attempt"];
    ++starts[work];
    const bool may_restart = line["idempotent"] == true || line["class"] == 3;
    CPPUNIT_ASSERT_MESSAGE("ran twice: " + line.dump(),
                           may_restart || starts[work] == 1);
    CPPUNIT_ASSERT_MESSAGE(
        "above capacity: " + line.dump(),
        line["in_use_slots"] <= 8 && line["in_use_cpu_milli"] <= 16'000);
  }
}

class ProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessTest);
  CPPUNIT_TEST(RequestsAndJobsAreServedFromEndToEnd);
  CPPUNIT_TEST(KilledPlacerAndEntryAreReplaced);
  CPPUNIT_TEST(ResumedPlacerIsNoLongerActive);
  CPPUNIT_TEST(OutageOfThePlatformKeepsARevokedKeyRevoked);
  CPPUNIT_TEST(UnresponsivePlatformStopsKeyedWorkButNotOpenWork);
  CPPUNIT_TEST(LostStoreAnswersAreResolvedByReadingBack);
  CPPUNIT_TEST(LeavingWorkerFinishesItsWorkAndGetsNoNewWork);
  CPPUNIT_TEST(GracefulShutdownCutsOffNoRequest);
  CPPUNIT_TEST(EntriesTerminatedTogetherExitCleanly);
  CPPUNIT_TEST(BadInputGetsAClearErrorAndAffectsNoOtherRequest);
  CPPUNIT_TEST(OperatorErrorsAreReportedByExitCodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAndJobsAreServedFromEndToEnd() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const Exchange reply = Ask(cluster, "entry-a-1", "quick", kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string("run_ms=5"),
                         reply.json.value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(401, Ask(cluster, "entry-a-1", "quick", "").status);
    CPPUNIT_ASSERT_EQUAL(401, Ask(cluster, "entry-a-2", "quick", "x").status);
    CPPUNIT_ASSERT_EQUAL(200, Ask(cluster, "entry-a-2", "public", "").status);
    const std::string job = SubmitBatch(cluster, 10);
    WaitDone(cluster, job);
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void KilledPlacerAndEntryAreReplaced() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const std::string job = SubmitBatch(cluster, 40);
    const std::string active = cluster.ActivePlacer("a");
    std::thread killer([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      cluster.Signal(active, SIGKILL);
    });
    const std::vector<Exchange> replies =
        PostAll(cluster, {"entry-a-1"}, RequestBody("quick", 100), 60,
                std::chrono::milliseconds(20));
    killer.join();
    for (const Exchange& reply : replies) {
      CPPUNIT_ASSERT_MESSAGE(reply.error, reply.answered());
      // The fate of a request in flight may be unknown, but every request gets
      // a reply.
      const bool truthful = reply.status == 200 ||
                            reply.json.value("run", "") == "unknown" ||
                            reply.json.value("run", "") == "not_run";
      CPPUNIT_ASSERT_MESSAGE(reply.body, truthful);
    }
    CPPUNIT_ASSERT(cluster.WaitActive("a", 10, active));
    CPPUNIT_ASSERT(cluster.Restart(active));
    CPPUNIT_ASSERT(cluster.Restart("entry-a-2"));
    CPPUNIT_ASSERT_EQUAL(200, AskUntilHealthy(cluster, "entry-a-2").status);
    WaitDone(cluster, job);
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void ResumedPlacerIsNoLongerActive() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const std::string frozen = cluster.ActivePlacer("a");
    const std::string job = SubmitBatch(cluster, 60);
    cluster.Signal(frozen, SIGSTOP);
    const Clock::time_point start = Clock::now();
    CPPUNIT_ASSERT(cluster.WaitActive("a", 10, frozen));
    std::cout << " takeover in "
              << std::chrono::duration<double>(Clock::now() - start).count()
              << " s ";
    const Exchange reply = cluster.Post("entry-a-1", "/v1/requests",
                                        RequestBody("quick", 5), kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    cluster.Signal(frozen, SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CPPUNIT_ASSERT(cluster.ActivePlacer("a") != frozen);
    CPPUNIT_ASSERT_EQUAL(200, Ask(cluster, "entry-a-2", "quick", kKey).status);
    WaitDone(cluster, job);
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void OutageOfThePlatformKeepsARevokedKeyRevoked() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    CPPUNIT_ASSERT(cluster.Withdraw("key/lidar-2"));
    cluster.SetFaults({{"down", true}});
    // Longer than the contract TTL, the task leases and the records' freshness.
    const auto until = Clock::now() + std::chrono::seconds(12);
    while (Clock::now() < until) {
      CPPUNIT_ASSERT_EQUAL(
          401, Ask(cluster, "entry-a-1", "quick", kOtherKey).status);
      const Exchange reply = Ask(cluster, "entry-a-2", "quick", kKey);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    const Exchange job = cluster.Post(
        "entry-a-1", "/v1/jobs",
        {{"queue", "quick"}, {"kind", "batch"}, {"tasks", 1}}, kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(job.body, 503, job.status);
    cluster.SetFaults(nlohmann::json::object());
    CPPUNIT_ASSERT(cluster.WaitActive("a", 10));
    WaitDone(cluster, SubmitBatch(cluster, 5));
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void UnresponsivePlatformStopsKeyedWorkButNotOpenWork() {
    Cluster cluster({.binaries = Binaries(), .freshness_ms = 9'000});
    StartWithRecords(&cluster);
    cluster.SetFaults({{"silent", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds(11'500));
    const Exchange keyed = Ask(cluster, "entry-a-1", "quick", kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(keyed.body, 503, keyed.status);
    CPPUNIT_ASSERT_EQUAL(std::string("records_stale"),
                         keyed.json.value("error", ""));
    const Exchange open = Ask(cluster, "entry-a-1", "public", "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(open.body, 200, open.status);
    cluster.SetFaults(nlohmann::json::object());
    CPPUNIT_ASSERT_EQUAL(200, AskUntilHealthy(cluster, "entry-a-1").status);
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void LostStoreAnswersAreResolvedByReadingBack() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    cluster.SetFaults({{"drop_answers", 1}});
    CPPUNIT_ASSERT(
        cluster.Apply(nlohmann::json::array({QueueRecordOf("late", true)})));
    CPPUNIT_ASSERT_EQUAL(200, Ask(cluster, "entry-a-2", "late", "").status);
    cluster.SetFaults({{"drop_answers", 2}});
    WaitDone(cluster, SubmitBatch(cluster, 5));
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  void LeavingWorkerFinishesItsWorkAndGetsNoNewWork() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    std::thread leave([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      cluster.Post("workers-a", "/leave?worker=worker-a-1", {{"x", 1}});
    });
    const std::vector<Exchange> replies =
        PostAll(cluster, {"entry-a-1", "entry-a-2"}, RequestBody("quick", 900),
                24, std::chrono::milliseconds(10));
    leave.join();
    for (const Exchange& reply : replies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    }
    const size_t before = StartsOn(cluster, "worker-a-1");
    CPPUNIT_ASSERT(before > 0);
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT_EQUAL(200,
                           Ask(cluster, "entry-a-1", "quick", kKey).status);
    }
    CPPUNIT_ASSERT_EQUAL(before, StartsOn(cluster, "worker-a-1"));
  }

  void GracefulShutdownCutsOffNoRequest() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const std::string active = cluster.ActivePlacer("a");
    std::thread terminator([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      cluster.Signal("entry-a-1", SIGTERM);
      cluster.Signal(active, SIGTERM);
    });
    const std::vector<Exchange> replies =
        PostAll(cluster, {"entry-a-1"}, RequestBody("quick", 1'500), 20,
                std::chrono::milliseconds(5));
    terminator.join();
    for (const Exchange& reply : replies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.error, 200, reply.status);
    }
    CPPUNIT_ASSERT(cluster.WaitExit("entry-a-1", 10) == std::optional(0));
    CPPUNIT_ASSERT(cluster.WaitExit(active, 10) == std::optional(0));
    CPPUNIT_ASSERT(cluster.WaitActive("a", 10, active));
    CPPUNIT_ASSERT_EQUAL(200, AskUntilHealthy(cluster, "entry-a-2").status);
    CheckWorkerLog(cluster.WorkerLog("a"));
  }

  // Streams that are still open at shutdown must not crash a process.
  void EntriesTerminatedTogetherExitCleanly() {
    constexpr int kRounds = 12;
    Cluster cluster({.binaries = Binaries(), .vms_per_domain = 8});
    StartWithRecords(&cluster);
    for (int round = 0; round < kRounds; ++round) {
      for (const std::string& entry : cluster.Entries("a")) {
        cluster.Signal(entry, SIGTERM);
      }
      for (const std::string& entry : cluster.Entries("a")) {
        CPPUNIT_ASSERT(cluster.WaitExit(entry, 20) == std::optional(0));
      }
      for (const std::string& entry : cluster.Entries("a")) {
        CPPUNIT_ASSERT(cluster.Restart(entry));
      }
    }
  }

  void BadInputGetsAClearErrorAndAffectsNoOtherRequest() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const std::string url =
        "http://" + cluster.HttpAddress("entry-a-1") + "/v1/requests";
    const auto status = [&](const std::string& body) {
      return ctl::Fetch("POST", url, {.body = body}).status;
    };
    CPPUNIT_ASSERT_EQUAL(400, status("{"));
    CPPUNIT_ASSERT_EQUAL(400, status("[]"));
    CPPUNIT_ASSERT_EQUAL(400, status(R"({"queue":7})"));
    CPPUNIT_ASSERT_EQUAL(400, status(R"({"queue":"public","colour":"red"})"));
    CPPUNIT_ASSERT_EQUAL(400, status(R"({"queue":"public","deadline_ms":-1})"));
    CPPUNIT_ASSERT_EQUAL(404, status(R"({"queue":"no-such"})"));
    CPPUNIT_ASSERT_EQUAL(413, status(R"({"queue":"public","payload":")" +
                                     std::string(600'000, 'x') + "\"}"));
    CPPUNIT_ASSERT_EQUAL(405, cluster.Get("entry-a-1", "/v1/requests").status);
    CPPUNIT_ASSERT_EQUAL(404, cluster.Get("entry-a-1", "/nothing").status);
    const Exchange too_large =
        cluster.Post("entry-a-1", "/v1/requests",
                     {{"queue", "public"}, {"size", {{"cpu_milli", 17'000}}}});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(too_large.body, 422, too_large.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         too_large.json.value("run", ""));
    CPPUNIT_ASSERT_EQUAL(200, Ask(cluster, "entry-a-1", "public", "").status);
    const std::string page = cluster.Get("entry-a-1", "/metrics").body;
    CPPUNIT_ASSERT(
        page.find("quetzal_refusals_total{reason=\"bad_request\"}") !=
        std::string::npos);
  }

  void OperatorErrorsAreReportedByExitCodes() {
    Cluster cluster({.binaries = Binaries()});
    StartWithRecords(&cluster);
    const std::string file = cluster.folder() + "/bad.json";
    std::ofstream(file) << R"({"schema":"v3","kind":"team","name":"x"})";
    CPPUNIT_ASSERT_EQUAL(2, cluster.RunCtl({"validate", file}));
    CPPUNIT_ASSERT_EQUAL(2, cluster.RunCtl({"no-such-command"}));
    CPPUNIT_ASSERT_EQUAL(2, cluster.RunCtl({"--colour"}));
    std::ofstream(file) << QueueRecordOf("quick", true).dump();
    const std::string platform = cluster.PlatformAddress();
    CPPUNIT_ASSERT_EQUAL(3, cluster.RunCtl({"--platform", platform, "--expect",
                                            "1", "apply", file}));
    CPPUNIT_ASSERT_EQUAL(
        0, cluster.RunCtl({"--platform", platform, "diff", file}));
    CPPUNIT_ASSERT_EQUAL(
        1, cluster.RunCtl({"--platform", platform, "withdraw", "key/none"}));
    cluster.Signal("entry-a-2", SIGSTOP);
    CPPUNIT_ASSERT_EQUAL(4, cluster.RunCtl({"--platform", platform, "--wait",
                                            "--timeout", "1", "apply", file}));
    cluster.Signal("entry-a-2", SIGCONT);
  }

 private:
  static void StartWithRecords(Cluster* cluster) {
    CPPUNIT_ASSERT(cluster->Start());
    CPPUNIT_ASSERT(cluster->Apply(Records()));
    for (const std::string& entry : cluster->Entries("a")) {
      CPPUNIT_ASSERT_EQUAL(200, AskUntilHealthy(*cluster, entry).status);
    }
  }

  static Exchange Ask(const Cluster& cluster, const std::string& entry,
                      const std::string& queue, const std::string& key) {
    return cluster.Post(entry, "/v1/requests", RequestBody(queue, 5, true),
                        key);
  }

  static Exchange AskUntilHealthy(const Cluster& cluster,
                                  const std::string& entry) {
    const auto until = Clock::now() + std::chrono::seconds(15);
    Exchange reply;
    while (reply.status != 200 && Clock::now() < until) {
      reply = Ask(cluster, entry, "quick", kKey);
    }
    return reply;
  }

  static std::string SubmitBatch(const Cluster& cluster, int tasks) {
    const Exchange reply = cluster.Post("entry-a-1", "/v1/jobs",
                                        {{"queue", "quick"},
                                         {"kind", "batch"},
                                         {"tasks", tasks},
                                         {"payload", "run_ms=150"}},
                                        kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, kAccepted, reply.status);
    return reply.json.value("job", "");
  }

  static void WaitDone(const Cluster& cluster, const std::string& job) {
    const auto until = Clock::now() + std::chrono::seconds(30);
    Exchange reply;
    while (Clock::now() < until) {
      reply = cluster.Get("entry-a-1", "/v1/jobs/" + job, kKey);
      const std::string state = reply.json.value("state", "");
      if (state == "done" || state == "failed") return;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_FAIL("job has not ended: " + reply.body);
  }

  static size_t StartsOn(const Cluster& cluster, const std::string& worker) {
    const std::vector<LogLine> log = cluster.WorkerLog("a");
    return static_cast<size_t>(
        std::count_if(log.begin(), log.end(), [&](const LogLine& line) {
          return line["kind"] == "started" && line["worker"] == worker;
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);

}  // namespace
}  // namespace quetzal::testing
