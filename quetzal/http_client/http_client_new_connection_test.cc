#include <cppunit/extensions/HelperMacros.h>
#include <glib-unix.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quetzal/http_client/http_client.h"
#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal {
namespace {

using testing::Listener;

constexpr guint kMaxWaitMs = 10'000;
constexpr gint64 kMicrosecondsInMillisecond = 1'000;

// Answers the first request of each connection and ignores later ones. Served
// by the main loop of the client: a server's own thread may not run while that
// of a client with a time limit does.
class OneAnswerServer {
 public:
  OneAnswerServer() {
    sources_.push_back(g_unix_fd_add(listener_.descriptor(), G_IO_IN,
                                     &OneAnswerServer::OnConnection, this));
  }
  ~OneAnswerServer() {
    for (const guint source : sources_) g_source_remove(source);
    for (const int connection : connections_) close(connection);
  }
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;

  std::string url() const { return listener_.url(); }
  size_t connections() const { return connections_.size(); }

 private:
  static gboolean OnConnection(gint descriptor, GIOCondition /*condition*/,
                               gpointer self) {
    auto* const server = static_cast<OneAnswerServer*>(self);
    const int connection = accept(descriptor, nullptr, nullptr);
    if (connection < 0) return G_SOURCE_CONTINUE;
    server->connections_.push_back(connection);
    server->sources_.push_back(
        g_unix_fd_add(connection, G_IO_IN, &OneAnswerServer::OnRequest, self));
    return G_SOURCE_CONTINUE;
  }

  static gboolean OnRequest(gint connection, GIOCondition /*condition*/,
                            gpointer self) {
    std::array<char, 4'096> request;
    if (recv(connection, request.data(), request.size(), 0) <= 0) {
      return G_SOURCE_CONTINUE;
    }
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    auto* const server = static_cast<OneAnswerServer*>(self);
    if (server->answered_.insert(connection).second) {
      send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    }
    return G_SOURCE_CONTINUE;
  }

  Listener listener_{/*backlog=*/2};
  std::vector<int> connections_;
  std::set<int> answered_;
  std::vector<guint> sources_;
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
    CPPUNIT_ASSERT(first);
    CPPUNIT_ASSERT(on_new_connection);
    CPPUNIT_ASSERT(!on_idle_connection);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server.connections());
  }

 private:
  HttpClientResult Answer(const HttpClientRequest& call) {
    std::optional<HttpClientResult> result;
    client_->Send(call,
                  [&](const HttpClientResult& answer) { result = answer; });
    const guint wake_up = g_timeout_add(
        kMaxWaitMs, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
        nullptr);
    const gint64 until =
        g_get_monotonic_time() + kMaxWaitMs * kMicrosecondsInMillisecond;
    while (!result && g_get_monotonic_time() < until) {
      g_main_context_iteration(nullptr, TRUE);
    }
    g_source_remove(wake_up);
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  std::unique_ptr<HttpClient> client_ = HttpClient::Create({});
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientNewConnectionTest);

}  // namespace
}  // namespace quetzal
