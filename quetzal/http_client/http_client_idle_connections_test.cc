#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/http_client/http_client.h"

namespace quetzal {
namespace {

// Calls of `poll`, with which libcurl looks whether an idle connection is
// alive.
std::atomic<int> polls = 0;

}  // namespace
}  // namespace quetzal

// Replaces the C library's function in this program.
extern "C" int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  ++quetzal::polls;
  timespec timeout{.tv_sec = timeout_ms / 1'000,
                   .tv_nsec = timeout_ms % 1'000 * 1'000'000L};
  return static_cast<int>(syscall(SYS_ppoll, descriptors, count,
                                  timeout_ms < 0 ? nullptr : &timeout, nullptr,
                                  0));
}

namespace quetzal {
namespace {

constexpr int kHosts = 40;
constexpr int kConnectionsPerHost = 10;
constexpr int kConnections = kHosts * kConnectionsPerHost;
constexpr gint64 kMaxTestUs = 20'000'000;

// Listens at all loopback addresses; answers requests in `AnswerAll` only.
class MultiHostServer {
 public:
  MultiHostServer() : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, bind(descriptor_, generic, size));
    CPPUNIT_ASSERT_EQUAL(0, listen(descriptor_, kConnections));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(descriptor_, generic, &size));
    port_ = ntohs(address.sin_port);
  }
  ~MultiHostServer() {
    for (const Connection& each : connections_) close(each.descriptor);
    close(descriptor_);
  }
  MultiHostServer(const MultiHostServer&) = delete;
  MultiHostServer& operator=(const MultiHostServer&) = delete;

  std::string UrlOf(int host) const {
    return "http://127.0.0." + std::to_string(host + 1) + ":" +
           std::to_string(port_) + "/";
  }
  void AcceptAll() {
    while (connections_.size() < static_cast<size_t>(kConnections)) {
      sockaddr_in local{};
      socklen_t size = sizeof(local);
      const int descriptor = accept(descriptor_, nullptr, nullptr);
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
      constexpr uint32_t kLastByte = 0xffU;
      const uint32_t host = (ntohl(local.sin_addr.s_addr) & kLastByte) - 1;
      connections_.push_back({descriptor, static_cast<int>(host)});
    }
  }
  // Reads what was sent and answers each request.
  void AnswerAll() {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 4'096> request;
    for (const Connection& each : connections_) {
      if (recv(each.descriptor, request.data(), request.size(), MSG_DONTWAIT) >
          0) {
        send(each.descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
    }
  }
  void CloseEverySecondHost() {
    std::erase_if(connections_, [](const Connection& each) {
      if (each.host % 2 == 0) return false;
      close(each.descriptor);
      return true;
    });
  }

 private:
  struct Connection {
    int descriptor = -1;
    int host = 0;
  };

  int descriptor_;
  int port_ = 0;
  std::vector<Connection> connections_;
};

class HttpClientIdleConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientIdleConnectionsTest);
  CPPUNIT_TEST(ClosedIdleConnectionsCostInProportionToTheirNumber);
  CPPUNIT_TEST_SUITE_END();

 public:
  // As when many workers leave at once, to which hundreds of connections are
  // kept.
  void ClosedIdleConnectionsCostInProportionToTheirNumber() {
    constexpr int kMaxPollsPerConnection = 10;
    MultiHostServer server;
    for (int i = 0; i < kConnections; ++i) Send(server.UrlOf(i % kHosts));
    server.AcceptAll();
    WaitForAnswers(&server, kConnections);
    server.CloseEverySecondHost();
    // libcurl looks at its idle connections once a second.
    g_usleep(1'100'000);
    polls = 0;
    for (int host = 0; host < kHosts; host += 2) Send(server.UrlOf(host));
    WaitForAnswers(&server, kConnections + kHosts / 2);
    CPPUNIT_ASSERT_LESS(kMaxPollsPerConnection * kConnections, polls.load());
  }

 private:
  void Send(const std::string& url) {
    client_->Send({.method = "POST", .url = url, .timeout = kTimeout},
                  [this](const HttpClientResult& result) {
                    ++(result.ok() ? answered_ : failed_);
                  });
    g_main_context_iteration(nullptr, FALSE);
  }
  void WaitForAnswers(MultiHostServer* server, int count) {
    const gint64 until = g_get_monotonic_time() + kMaxTestUs;
    while (answered_ + failed_ < count && g_get_monotonic_time() < until) {
      server->AnswerAll();
      for (int i = 0; i < kHosts; ++i) {
        g_main_context_iteration(nullptr, FALSE);
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, failed_);
    CPPUNIT_ASSERT_EQUAL(count, answered_);
  }

  static constexpr Milliseconds kTimeout{15'000};
  static constexpr int kMaxIdleConnections = 6'144;
  int answered_ = 0;
  int failed_ = 0;
  std::unique_ptr<HttpClient> client_ =
      HttpClient::Create({.max_idle_connections = kMaxIdleConnections});
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientIdleConnectionsTest);

}  // namespace
}  // namespace quetzal
