#include "quetzal/http_client/http_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <chrono>
#include <optional>

#include "quetzal/http/http.h"
#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal {
namespace {

using testing::SlowServer;
using testing::UnresponsivePort;

constexpr gint64 kTimeoutUs = 10'000'000;

bool RunUntil(const std::function<bool()>& condition) {
  const gint64 until = g_get_monotonic_time() + kTimeoutUs;
  while (!condition() && g_get_monotonic_time() < until) {
    g_main_context_iteration(nullptr, FALSE);
  }
  return condition();
}

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(SendsMethodBodyAndHeaders);
  CPPUNIT_TEST(ConcurrentRequestsAreEachAnsweredOnce);
  CPPUNIT_TEST(RefusedWhenNothingListens);
  CPPUNIT_TEST(AnUnreachableAddressDoesntCountAsRefusal);
  CPPUNIT_TEST(TimesOutWithoutResponse);
  CPPUNIT_TEST(DestroyedWithRequestsPending);
  CPPUNIT_TEST(SendsFromWithinACallback);
  CPPUNIT_TEST(TimeoutFiresDespiteOtherTraffic);
  CPPUNIT_TEST(ConnectionAttemptsThatTimedOutHarmNoLaterRequest);
  CPPUNIT_TEST(ASlowResponseIsReadToItsEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = ListenForHttp(
        "127.0.0.1:0", {},
        {.on_request =
             [this](HttpCallId call, const HttpRequest& request) {
               if (request.path == "/silent") return;
               const auto named = request.headers.find("x-name");
               server_->Reply(
                   call,
                   {.body =
                        request.method + " " + request.body + " " +
                        (named == request.headers.end() ? "" : named->second),
                    .close = request.path == "/close"});
             },
         .on_disconnect = [](HttpCallId) {}});
    client_ = HttpClient::Create({});
  }

  void SendsMethodBodyAndHeaders() {
    CPPUNIT_ASSERT_EQUAL(std::string("GET  n"), BodyOf("GET", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("POST {} n"), BodyOf("POST", "{}"));
    CPPUNIT_ASSERT_EQUAL(std::string("POST  n"), BodyOf("POST", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE  n"), BodyOf("DELETE", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("GET  n"), BodyOf("GET", ""));
  }

  void TimeoutFiresDespiteOtherTraffic() {
    std::optional<HttpClientResult> unanswered;
    client_->Send({.url = Url("/silent"), .timeout = Milliseconds(200)},
                  [&](const HttpClientResult& answer) { unanswered = answer; });
    int answered = 0;
    std::function<void()> send_again = [&] {
      client_->Send({.url = Url("/x")}, [&](const HttpClientResult&) {
        ++answered;
        if (!unanswered) send_again();
      });
    };
    send_again();
    CPPUNIT_ASSERT(RunUntil([&] { return unanswered.has_value(); }));
    CPPUNIT_ASSERT(unanswered->kind == HttpClientResult::Kind::kNoAnswer);
    CPPUNIT_ASSERT(answered > 0);
  }

  // libcurl closes the sockets of attempts without calling back, and their
  // descriptors' numbers are reused.
  void ConnectionAttemptsThatTimedOutHarmNoLaterRequest() {
    const UnresponsivePort unresponsive;
    constexpr int kRounds = 5;
    constexpr int kCalls = 20;
    for (int round = 0; round < kRounds; ++round) {
      int finished = 0;
      int answered = 0;
      for (int i = 0; i < kCalls; ++i) {
        client_->Send(
            {.url = unresponsive.url(), .timeout = Milliseconds(100)},
            [&](const HttpClientResult& answer) {
              ++finished;
              CPPUNIT_ASSERT(answer.kind == HttpClientResult::Kind::kNotSent);
              client_->Send(
                  {.url = Url("/close"), .timeout = Milliseconds(1'000)},
                  [&](const HttpClientResult& second) {
                    ++finished;
                    if (second.ok()) ++answered;
                  });
            });
      }
      CPPUNIT_ASSERT(RunUntil([&] { return finished == 2 * kCalls; }));
      CPPUNIT_ASSERT_EQUAL(kCalls, answered);
    }
  }

  void ASlowResponseIsReadToItsEnd() {
    constexpr int kBytes = 30;
    const SlowServer server(kBytes, kBytes, std::chrono::milliseconds(100));
    const HttpClientResult answer =
        Answer({.url = server.url(),
                .timeout = Milliseconds(8'000),
                .stall_timeout = Milliseconds(2'000)});
    CPPUNIT_ASSERT(answer.ok());
    CPPUNIT_ASSERT_EQUAL(size_t{kBytes}, answer.body.size());
    client_.reset();
  }

  void ConcurrentRequestsAreEachAnsweredOnce() {
    constexpr int kCalls = 300;
    int answered = 0;
    for (int i = 0; i < kCalls; ++i) {
      client_->Send({.url = Url(i % 3 == 0 ? "/close" : "/")},
                    [&](const HttpClientResult& answer) {
                      if (answer.ok()) ++answered;
                    });
    }
    CPPUNIT_ASSERT(RunUntil([&] { return answered == kCalls; }));
  }

  void RefusedWhenNothingListens() {
    const std::string url = Url("/");
    server_.reset();
    const HttpClientResult answer = Answer({.url = url});
    CPPUNIT_ASSERT(answer.kind == HttpClientResult::Kind::kConnectionRefused);
  }

  // TCP has no connections to multicast addresses.
  void AnUnreachableAddressDoesntCountAsRefusal() {
    const HttpClientResult answer = Answer({.url = "http://224.0.0.1:9/"});
    CPPUNIT_ASSERT(answer.kind == HttpClientResult::Kind::kNotSent);
  }

  void TimesOutWithoutResponse() {
    const HttpClientResult answer =
        Answer({.url = Url("/silent"), .timeout = Milliseconds(100)});
    CPPUNIT_ASSERT(answer.kind == HttpClientResult::Kind::kNoAnswer);
  }

  void DestroyedWithRequestsPending() {
    client_->Send({.url = Url("/silent")}, [](const HttpClientResult&) {
      CPPUNIT_FAIL("a callback ran after the client was destroyed");
    });
    g_main_context_iteration(nullptr, FALSE);
    client_.reset();
  }

  void SendsFromWithinACallback() {
    int answered = 0;
    std::function<void(const HttpClientResult&)> next =
        [&](const HttpClientResult&) {
          if (++answered < 50) {
            client_->Send({.method = answered % 2 == 0 ? "DELETE" : "GET",
                           .url = Url("/")},
                          next);
          }
        };
    client_->Send({.url = Url("/")}, next);
    CPPUNIT_ASSERT(RunUntil([&] { return answered == 50; }));
  }

 private:
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(server_->port()) + path;
  }
  HttpClientResult Answer(const HttpClientRequest& call) {
    std::optional<HttpClientResult> result;
    client_->Send(call,
                  [&](const HttpClientResult& answer) { result = answer; });
    CPPUNIT_ASSERT(RunUntil([&] { return result.has_value(); }));
    return *result;
  }
  std::string BodyOf(const std::string& method, const std::string& body) {
    return Answer({.method = method,
                   .url = Url("/"),
                   .headers = {"X-Name: n"},
                   .body = body})
        .body;
  }

  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace quetzal
