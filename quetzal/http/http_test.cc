// Tests the server against connections that close early, idle, send slowly,
// arrive in large numbers or send oversized bodies. The server runs on the main
// loop, its callers on another thread.
#include "quetzal/http/http.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <future>
#include <thread>
#include <vector>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPollInterval{10};
constexpr seconds kTimeout{10};

// A caller's side of one connection, with blocking reads.
class Connection {
 public:
  explicit Connection(int port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const timeval timeout{.tv_sec = kTimeout.count(), .tv_usec = 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const int failed =
        connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    CPPUNIT_ASSERT_EQUAL(0, failed);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // False once the server has closed the connection.
  bool Send(const std::string& text) const {
    const auto size = static_cast<ssize_t>(text.size());
    return send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == size;
  }
  // Reads until `end` was received or the server closed the connection.
  std::string ReadUntil(const std::string& end) const {
    constexpr size_t kChunkBytes = 4096;
    std::string text;
    while (text.find(end) == std::string::npos) {
      char chunk[kChunkBytes];
      const ssize_t size = recv(socket_, chunk, sizeof(chunk), 0);
      if (size <= 0) break;
      text.append(chunk, static_cast<size_t>(size));
    }
    return text;
  }
  // True if the server closed the connection within the timeout.
  bool WaitClosed() const {
    char byte = 0;
    const ssize_t size = recv(socket_, &byte, 1, 0);
    return size == 0 || (size < 0 && errno == ECONNRESET);
  }
  void Reset() {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    Close();
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }

 private:
  int socket_;
};

std::string PostRequest(const std::string& body) {
  return "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

size_t OpenDescriptors() {
  const std::filesystem::directory_iterator all("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(ClosedConnectionsLeaveNothingOpen);
  CPPUNIT_TEST(DeferredRepliesReachTheirOwnCallers);
  CPPUNIT_TEST(OneConnectionCarriesManyCalls);
  CPPUNIT_TEST(OversizedBodyIsRejectedWithoutBuffering);
  CPPUNIT_TEST(SlowRequestIsCutOffWithoutDelayingOthers);
  CPPUNIT_TEST(IdleConnectionIsClosed);
  CPPUNIT_TEST(RecoversFromFloodOfIdleConnections);
  CPPUNIT_TEST(ResetIsReportedAsDisconnect);
  CPPUNIT_TEST(DestroyedWithCallsOpen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    deferred_.clear();
    disconnects_ = 0;
    defers_replies_ = false;
  }

  void ClosedConnectionsLeaveNothingOpen() {
    constexpr int kConnections = 300;
    constexpr size_t kSpare = 8;
    Serve({}, [this] {
      const size_t before = OpenDescriptors();
      for (int i = 0; i < kConnections; ++i) {
        const Connection connection(port_);
        connection.Send(PostRequest("a"));
        CPPUNIT_ASSERT(connection.ReadUntil("echo a").ends_with("echo a"));
      }
      CPPUNIT_ASSERT(
          Eventually([&] { return OpenDescriptors() <= before + kSpare; }));
    });
  }

  void DeferredRepliesReachTheirOwnCallers() {
    defers_replies_ = true;
    Serve({}, [this] {
      const Connection first(port_);
      first.Send(PostRequest("first"));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return deferred_.size() == 1; }));
      const Connection second(port_);
      second.Send(PostRequest("second"));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return deferred_.size() == 2; }));
      RunOnLoop([this] {
        for (auto at = deferred_.rbegin(); at != deferred_.rend(); ++at) {
          server_->Reply(at->call, {.body = "late " + at->body});
        }
      });
      CPPUNIT_ASSERT(first.ReadUntil("late first").ends_with("late first"));
      CPPUNIT_ASSERT(second.ReadUntil("late second").ends_with("late second"));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return server_->open_calls() == 0; }));
    });
  }

  void OneConnectionCarriesManyCalls() {
    Serve({}, [this] {
      const Connection connection(port_);
      for (int i = 0; i < 20; ++i) {
        const std::string body = "n" + std::to_string(i) + ";";
        CPPUNIT_ASSERT(connection.Send(PostRequest(body)));
        CPPUNIT_ASSERT(connection.ReadUntil("echo " + body).ends_with(body));
      }
    });
  }

  void OversizedBodyIsRejectedWithoutBuffering() {
    Serve({.max_body_bytes = 1024}, [this] {
      const Connection announced(port_);
      announced.Send(PostRequest(std::string(5'000, 'x')));
      CPPUNIT_ASSERT(
          announced.ReadUntil("at most").starts_with("HTTP/1.1 413"));
      const Connection chunked(port_);
      chunked.Send(
          "POST /echo HTTP/1.1\r\nHost: x\r\n"
          "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
          std::string(5'000, 'x') + "\r\n0\r\n\r\n");
      CPPUNIT_ASSERT(chunked.ReadUntil("at most").starts_with("HTTP/1.1 413"));
      const Connection endless(port_);
      endless.Send(
          "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n"
          "\r\n");
      while (endless.Send(std::string(65'536, 'x'))) continue;
      CPPUNIT_ASSERT_EQUAL(0, calls_);
    });
  }

  void SlowRequestIsCutOffWithoutDelayingOthers() {
    Serve({.read_timeout = Milliseconds(500)}, [this] {
      const Connection slow(port_);
      const std::string request = PostRequest(std::string(1'000, 'x'));
      size_t sent = 0;
      while (sent < request.size() && slow.Send(request.substr(sent, 1))) {
        ++sent;
        std::this_thread::sleep_for(kPollInterval * 5);
        const Connection quick(port_);
        quick.Send(PostRequest("q"));
        CPPUNIT_ASSERT(quick.ReadUntil("echo q").ends_with("echo q"));
      }
      CPPUNIT_ASSERT(sent < request.size());
    });
  }

  void IdleConnectionIsClosed() {
    Serve({.read_timeout = Milliseconds(300)}, [this] {
      const Connection unused(port_);
      const Connection used(port_);
      used.Send(PostRequest("a"));
      CPPUNIT_ASSERT(used.ReadUntil("echo a").ends_with("echo a"));
      CPPUNIT_ASSERT(unused.WaitClosed());
      CPPUNIT_ASSERT(used.WaitClosed());
    });
  }

  void RecoversFromFloodOfIdleConnections() {
    constexpr size_t kFlood = 60;
    Serve({.read_timeout = Milliseconds(500), .max_connections = 20}, [this] {
      std::vector<std::unique_ptr<Connection>> flood;
      for (size_t i = 0; i < kFlood; ++i) {
        flood.push_back(std::make_unique<Connection>(port_));
      }
      CPPUNIT_ASSERT(Eventually([this] {
        const Connection caller(port_);
        caller.Send(PostRequest("a"));
        return caller.ReadUntil("echo a").ends_with("echo a");
      }));
    });
  }

  void ResetIsReportedAsDisconnect() {
    defers_replies_ = true;
    Serve({}, [this] {
      Connection caller(port_);
      caller.Send(PostRequest("a"));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return deferred_.size() == 1; }));
      caller.Reset();
      CPPUNIT_ASSERT(EventuallyOnLoop([this] { return disconnects_ == 1; }));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return server_->open_calls() == 0; }));
      RunOnLoop([this] { server_->Reply(deferred_[0].call, {}); });
    });
  }

  void DestroyedWithCallsOpen() {
    defers_replies_ = true;
    std::unique_ptr<Connection> caller;
    Serve({}, [&] {
      caller = std::make_unique<Connection>(port_);
      caller->Send(PostRequest("a"));
      CPPUNIT_ASSERT(
          EventuallyOnLoop([this] { return deferred_.size() == 1; }));
    });
    CPPUNIT_ASSERT(caller->WaitClosed());
    CPPUNIT_ASSERT_EQUAL(0, disconnects_);
  }

 private:
  struct DeferredCall {
    HttpCallId call;
    std::string body;
  };

  void OnRequest(HttpCallId call, const HttpRequest& request) {
    ++calls_;
    if (defers_replies_) {
      deferred_.push_back({call, request.body});
    } else {
      server_->Reply(call, {.body = "echo " + request.body});
    }
  }

  // Runs the server on this thread and `callers` on another.
  void Serve(HttpLimits limits, const std::function<void()>& callers) {
    calls_ = 0;
    auto server = HttpServer::Listen(
        "127.0.0.1:0", limits,
        {.on_request = [this](HttpCallId call,
                              const HttpRequest& r) { OnRequest(call, r); },
         .on_disconnect = [this](HttpCallId) { ++disconnects_; }});
    CPPUNIT_ASSERT(server.has_value());
    server_ = std::move(server.value());
    port_ = server_->port();
    GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
    std::exception_ptr failure;
    std::thread thread([&] {
      try {
        callers();
      } catch (...) {
        failure = std::current_exception();
      }
      RunOnLoop([loop] { g_main_loop_quit(loop); });
    });
    g_main_loop_run(loop);
    thread.join();
    g_main_loop_unref(loop);
    server_.reset();
    if (failure) std::rethrow_exception(failure);
  }

  // Runs a function on the server's loop and waits for it.
  static void RunOnLoop(std::function<void()> function) {
    struct Task {
      std::function<void()> function;
      std::promise<void> done;
    } task{std::move(function), {}};
    g_idle_add_full(
        G_PRIORITY_DEFAULT,
        [](gpointer data) -> gboolean {
          auto* const each = static_cast<Task*>(data);
          each->function();
          each->done.set_value();
          return G_SOURCE_REMOVE;
        },
        &task, nullptr);
    task.done.get_future().wait();
  }

  static bool EventuallyOnLoop(const std::function<bool()>& condition) {
    return Eventually([&condition] {
      bool holds = false;
      RunOnLoop([&] { holds = condition(); });
      return holds;
    });
  }

  // True if `condition` becomes true within the timeout.
  static bool Eventually(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < until) {
      if (condition()) return true;
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  std::unique_ptr<HttpServer> server_;
  int port_ = 0;
  bool defers_replies_ = false;
  int calls_ = 0;
  int disconnects_ = 0;
  std::vector<DeferredCall> deferred_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace quetzal
