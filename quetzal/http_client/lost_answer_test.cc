#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "quetzal/http_client/http_client.h"
#include "quetzal/http_client/testing/resetting_server.h"

namespace quetzal {
namespace {

using testing::AfterReset;
using testing::ResettingServer;
using Kind = HttpClientResult::Kind;

constexpr Milliseconds kTimeout{5'000};
constexpr gint64 kRunTimeoutUs = 10'000'000;

// libcurl repeats a request if the connection was reused and ended without an
// answer.
class LostAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostAnswerTest);
  CPPUNIT_TEST(ARefusedRepetitionDoesntHideTheFirstCopy);
  CPPUNIT_TEST(AnUnansweredRepetitionDoesntHideTheFirstCopy);
  CPPUNIT_TEST(ARefusedRepetitionOfAReadDoesntHideTheFirstCopy);
  CPPUNIT_TEST(OrdersAreNotSentTwice);
  CPPUNIT_TEST(OrdersAreNotSentAgainOnAnotherIdleConnection);
  CPPUNIT_TEST(ReadsAreRepeated);
  CPPUNIT_TEST(ConnectionsThatAreClosedWhileIdleFailNoOrder);
  CPPUNIT_TEST(NothingWasSentIfTheIdleConnectionWasClosedBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ARefusedRepetitionDoesntHideTheFirstCopy() {
    const ResettingServer server({.then = AfterReset::kRefuses});
    ExpectSuccess(Order(server));
    const HttpClientResult answer = Answer(Order(server));
    CPPUNIT_ASSERT_EQUAL(2, server.received());
    CPPUNIT_ASSERT(answer.kind == Kind::kNoAnswer);
  }

  void AnUnansweredRepetitionDoesntHideTheFirstCopy() {
    const ResettingServer server({.then = AfterReset::kIsUnresponsive});
    ExpectSuccess(Order(server));
    const HttpClientResult answer = Answer(Order(server));
    CPPUNIT_ASSERT_EQUAL(2, server.received());
    CPPUNIT_ASSERT(answer.kind == Kind::kNoAnswer);
  }

  void ARefusedRepetitionOfAReadDoesntHideTheFirstCopy() {
    const ResettingServer server({.then = AfterReset::kRefuses});
    ExpectSuccess(Read(server));
    const HttpClientResult answer = Answer(Read(server));
    CPPUNIT_ASSERT_EQUAL(2, server.received());
    CPPUNIT_ASSERT(answer.kind == Kind::kNoAnswer);
  }

  // The second copy of a conditional write conflicts with the first.
  void OrdersAreNotSentTwice() {
    for (const char* const method : {"POST", "DELETE"}) {
      for (const char* const body : {"", "{}"}) {
        const ResettingServer server({.then = AfterReset::kAnswers});
        ExpectSuccess(Order(server));
        const HttpClientResult answer = Answer({.method = method,
                                                .url = server.url(),
                                                .body = body,
                                                .timeout = kTimeout});
        CPPUNIT_ASSERT_EQUAL(2, server.received());
        CPPUNIT_ASSERT(answer.kind == Kind::kNoAnswer);
        // The next request isn't affected, and needs the only new connection.
        CPPUNIT_ASSERT(Answer(Order(server)).kind == Kind::kAnswered);
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
      }
    }
  }

  void OrdersAreNotSentAgainOnAnotherIdleConnection() {
    const ResettingServer server({.answered = 2, .then = AfterReset::kAnswers});
    CPPUNIT_ASSERT_EQUAL(2, SuccessesOf(2, server));
    const HttpClientResult answer = Answer(Order(server));
    CPPUNIT_ASSERT_EQUAL(3, server.received());
    CPPUNIT_ASSERT(answer.kind == Kind::kNoAnswer);
  }

  void ReadsAreRepeated() {
    const ResettingServer server({.then = AfterReset::kAnswers});
    ExpectSuccess(Read(server));
    const HttpClientResult answer = Answer(Read(server));
    CPPUNIT_ASSERT_EQUAL(3, server.received());
    CPPUNIT_ASSERT_EQUAL(ResettingServer::kLaterStatus, answer.status);
  }

  void ConnectionsThatAreClosedWhileIdleFailNoOrder() {
    constexpr int kConnections = 8;
    ResettingServer server({.answered = 4 * kConnections});
    for (const bool with_reset : {false, true}) {
      CPPUNIT_ASSERT_EQUAL(kConnections, SuccessesOf(kConnections, server));
      server.CloseConnections(with_reset);
      CPPUNIT_ASSERT_EQUAL(kConnections, SuccessesOf(kConnections, server));
    }
  }

  void NothingWasSentIfTheIdleConnectionWasClosedBefore() {
    auto server =
        std::make_unique<ResettingServer>(ResettingServer::Settings{});
    const HttpClientRequest order = Order(*server);
    ExpectSuccess(order);
    server.reset();
    CPPUNIT_ASSERT(Answer(order).kind == Kind::kConnectionRefused);
  }

 private:
  static HttpClientRequest Order(const ResettingServer& server) {
    return {.method = "POST",
            .url = server.url(),
            .body = "{}",
            .timeout = kTimeout};
  }
  static HttpClientRequest Read(const ResettingServer& server) {
    return {.url = server.url(), .timeout = kTimeout};
  }

  void ExpectSuccess(const HttpClientRequest& request) {
    const HttpClientResult answer = Answer(request);
    CPPUNIT_ASSERT_MESSAGE(answer.problem, answer.ok());
  }

  static bool RunUntil(const std::function<bool()>& condition) {
    const gint64 until = g_get_monotonic_time() + kRunTimeoutUs;
    while (!condition() && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    return condition();
  }

  HttpClientResult Answer(const HttpClientRequest& request) {
    std::optional<HttpClientResult> result;
    client_->Send(request,
                  [&](const HttpClientResult& answer) { result = answer; });
    CPPUNIT_ASSERT(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  // Of orders that are sent at the same time.
  int SuccessesOf(int orders, const ResettingServer& server) {
    int finished = 0;
    int successes = 0;
    for (int i = 0; i < orders; ++i) {
      client_->Send(Order(server), [&](const HttpClientResult& answer) {
        ++finished;
        if (answer.ok()) ++successes;
      });
    }
    CPPUNIT_ASSERT(RunUntil([&] { return finished == orders; }));
    return successes;
  }

  std::unique_ptr<HttpClient> client_ = HttpClient::Create({});
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostAnswerTest);

}  // namespace
}  // namespace quetzal
