#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "quetzal/http_client/http_client.h"
#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal {
namespace {

using testing::Listener;

constexpr gint64 kTimeoutUs = 10'000'000;

// Answers the first request of each of two connections and ignores later ones.
class OneAnswerServer {
 public:
  OneAnswerServer() : thread_([this] { Serve(); }) {}
  ~OneAnswerServer() {
    // Ends a pending `accept`.
    shutdown(listener_.descriptor(), SHUT_RDWR);
    thread_.join();
  }
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;

  std::string url() const { return listener_.url(); }

 private:
  void Serve() const {
    std::array<int, 2> connections{-1, -1};
    std::array<char, 4'096> request;
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (int& connection : connections) {
      connection = accept(listener_.descriptor(), nullptr, nullptr);
      if (recv(connection, request.data(), request.size(), 0) <= 0) break;
      send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    }
    for (const int connection : connections) {
      if (connection < 0) continue;
      // Until the client closes the connection.
      while (recv(connection, request.data(), request.size(), 0) > 0) {
      }
      close(connection);
    }
  }

  Listener listener_{/*backlog=*/2};
  std::thread thread_;
};

class HttpClientNewConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientNewConnectionTest);
  CPPUNIT_TEST(ANewConnectionAvoidsDeadOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewConnectionAvoidsDeadOnes() {
    constexpr Milliseconds kTimeout{500};
    const OneAnswerServer server;
    const std::string url = server.url();
    const bool first = Answer({.url = url}).ok();
    const bool on_new_connection =
        Answer({.url = url, .timeout = kTimeout, .on_new_connection = true})
            .ok();
    const bool on_idle_connection =
        Answer({.url = url, .timeout = kTimeout}).ok();
    // The server ends once its connections are closed.
    client_.reset();
    CPPUNIT_ASSERT(first);
    CPPUNIT_ASSERT(on_new_connection);
    CPPUNIT_ASSERT(!on_idle_connection);
  }

 private:
  HttpClientResult Answer(const HttpClientRequest& call) {
    std::optional<HttpClientResult> result;
    client_->Send(call,
                  [&](const HttpClientResult& answer) { result = answer; });
    const gint64 until = g_get_monotonic_time() + kTimeoutUs;
    while (!result && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, FALSE);
    }
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  std::unique_ptr<HttpClient> client_ = HttpClient::Create({});
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientNewConnectionTest);

}  // namespace
}  // namespace quetzal
