// TCP servers on the loopback interface for tests of HTTP clients.
//
//   SlowServer server(/*bytes=*/2, /*announced=*/30, milliseconds(10));
//   client->Send({.url = server.url()}, ...);
//
//   UnresponsivePort port;
//   client->Send({.url = port.url()}, ...);
#ifndef QUETZAL_HTTP_CLIENT_TESTING_LOOPBACK_SERVERS_H_
#define QUETZAL_HTTP_CLIENT_TESTING_LOOPBACK_SERVERS_H_

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <string>
#include <thread>

namespace quetzal::testing {

// A raw TCP listener on the loopback interface.
class Listener {
 public:
  explicit Listener(int backlog)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    CPPUNIT_ASSERT_EQUAL(0, bind(descriptor_, address(), size));
    CPPUNIT_ASSERT_EQUAL(0, listen(descriptor_, backlog));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(descriptor_, address(), &size));
  }
  ~Listener() { close(descriptor_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int descriptor() const { return descriptor_; }
  sockaddr* address() { return reinterpret_cast<sockaddr*>(&address_); }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ntohs(address_.sin_port)) + "/";
  }

 private:
  int descriptor_;
  sockaddr_in address_{};
};

// Fills a listener's queue of connections, so that it answers no more
// connection attempts.
class QueueFiller {
 public:
  // Must have a backlog of 0.
  explicit QueueFiller(Listener* listener) {
    for (int& filler : fillers_) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const int result =
          connect(filler, listener->address(), sizeof(sockaddr_in));
      CPPUNIT_ASSERT(result == 0 || errno == EINPROGRESS);
    }
  }
  ~QueueFiller() {
    for (const int filler : fillers_) close(filler);
  }
  QueueFiller(const QueueFiller&) = delete;
  QueueFiller& operator=(const QueueFiller&) = delete;

 private:
  std::array<int, 4> fillers_{};
};

// A port that answers no connection attempt.
class UnresponsivePort {
 public:
  std::string url() const { return listener_.url(); }

 private:
  Listener listener_{/*backlog=*/0};
  QueueFiller filler_{&listener_};
};

// Answers one request with `bytes` of body, one each `interval`, but announces
// `announced`.
class SlowServer {
 public:
  SlowServer(int bytes, int announced, std::chrono::milliseconds interval)
      : thread_([this, bytes, announced, interval] {
          Serve(bytes, announced, interval);
        }) {}
  ~SlowServer() { thread_.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string url() const { return listener_.url(); }

 private:
  void Serve(int bytes, int announced,
             std::chrono::milliseconds interval) const {
    const int connection = accept(listener_.descriptor(), nullptr, nullptr);
    std::array<char, 4'096> request;
    if (recv(connection, request.data(), request.size(), 0) <= 0) return;
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) +
        "\r\n\r\n";
    send(connection, head.data(), head.size(), MSG_NOSIGNAL);
    for (int i = 0; i < bytes; ++i) {
      std::this_thread::sleep_for(interval);
      send(connection, "x", 1, MSG_NOSIGNAL);
    }
    // Until the client closes the connection.
    while (recv(connection, request.data(), request.size(), 0) > 0) {
    }
    close(connection);
  }

  Listener listener_{/*backlog=*/1};
  std::thread thread_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_HTTP_CLIENT_TESTING_LOOPBACK_SERVERS_H_
