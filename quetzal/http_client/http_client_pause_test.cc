#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "quetzal/http_client/http_client.h"
#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal {
namespace {

using testing::Listener;

constexpr gint64 kMaxTestUs = 10'000'000;

// Receives the requests of `count` connections, and answers them together.
class BatchServer {
 public:
  explicit BatchServer(int count)
      : listener_(count), thread_([this, count] { Serve(count); }) {}
  ~BatchServer() { thread_.join(); }
  BatchServer(const BatchServer&) = delete;
  BatchServer& operator=(const BatchServer&) = delete;

  std::string url() const { return listener_.url(); }
  bool has_received_all() const { return has_received_all_; }
  void Answer() { may_answer_.set_value(); }

 private:
  void Serve(int count) {
    std::vector<int> connections;
    connections.reserve(static_cast<size_t>(count));
    std::array<char, 4'096> request;
    for (int i = 0; i < count; ++i) {
      connections.push_back(accept(listener_.descriptor(), nullptr, nullptr));
    }
    for (const int connection : connections) {
      recv(connection, request.data(), request.size(), 0);
    }
    has_received_all_ = true;
    may_answer_.get_future().wait();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (const int connection : connections) {
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    for (const int connection : connections) {
      // Until the client closes the connection.
      while (recv(connection, request.data(), request.size(), 0) > 0) {
      }
      close(connection);
    }
  }

  Listener listener_;
  std::atomic<bool> has_received_all_ = false;
  std::promise<void> may_answer_;
  std::thread thread_;
};

class HttpClientPauseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientPauseTest);
  CPPUNIT_TEST(AnswersThatArriveDuringAPauseAreRead);
  CPPUNIT_TEST(ARequestIsntSentAfterItsLimit);
  CPPUNIT_TEST(BusyTurnsDontExtendALimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // More requests than are handled in a turn of the loop.
  void AnswersThatArriveDuringAPauseAreRead() {
    constexpr int kRequests = 200;
    constexpr Milliseconds kTimeout{2'000};
    constexpr Milliseconds kPause{3'000};
    BatchServer server(kRequests);
    const auto client = HttpClient::Create({.max_idle_connections = kRequests});
    int answered = 0;
    int failed = 0;
    for (int i = 0; i < kRequests; ++i) {
      client->Send({.method = "POST", .url = server.url(), .timeout = kTimeout},
                   [&](const HttpClientResult& result) {
                     ++(result.ok() ? answered : failed);
                   });
    }
    const gint64 until = g_get_monotonic_time() + kMaxTestUs;
    while (!server.has_received_all() && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    server.Answer();
    std::this_thread::sleep_for(kPause);
    while (answered + failed < kRequests && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    CPPUNIT_ASSERT_EQUAL(0, failed);
    CPPUNIT_ASSERT_EQUAL(kRequests, answered);
  }

  // The connection is established during the pause.
  void ARequestIsntSentAfterItsLimit() {
    const Listener listener(/*backlog=*/10);
    const auto client = HttpClient::Create({});
    std::optional<HttpClientResult> result;
    client->Send({.method = "POST",
                  .url = listener.url(),
                  .timeout = Milliseconds(1'000)},
                 [&](const HttpClientResult& given) { result = given; });
    g_main_context_iteration(nullptr, FALSE);
    std::this_thread::sleep_for(Milliseconds(2'000));
    const gint64 until = g_get_monotonic_time() + kMaxTestUs;
    while (!result && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(result->kind == HttpClientResult::Kind::kNotSent);
  }

  void BusyTurnsDontExtendALimit() {
    constexpr Milliseconds kTimeout{1'000};
    constexpr Milliseconds kTurn{200};
    const Listener listener(/*backlog=*/10);  // answers nothing
    const auto client = HttpClient::Create({});
    std::optional<HttpClientResult> result;
    client->Send({.method = "POST", .url = listener.url(), .timeout = kTimeout},
                 [&](const HttpClientResult& given) { result = given; });
    for (int i = 0; i < 2 * kTimeout / kTurn && !result; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      std::this_thread::sleep_for(kTurn);
    }
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(result->kind == HttpClientResult::Kind::kNoAnswer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientPauseTest);

}  // namespace
}  // namespace quetzal
