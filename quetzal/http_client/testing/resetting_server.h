// A server that loses the answer to one request: it reads the request
// completely and then resets the connection.
//
//   ResettingServer server({.answered = 1, .then = AfterReset::kRefuses});
//   client->Send({.url = server.url()}, ...);  // answered
//   client->Send({.url = server.url()}, ...);  // reset
#ifndef QUETZAL_HTTP_CLIENT_TESTING_RESETTING_SERVER_H_
#define QUETZAL_HTTP_CLIENT_TESTING_RESETTING_SERVER_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "quetzal/http_client/testing/loopback_servers.h"

namespace quetzal::testing {

enum class AfterReset {
  kAnswers,         // later requests, with `kLaterStatus`
  kRefuses,         // nothing listens any more
  kIsUnresponsive,  // answers no connection attempt
};

class ResettingServer {
 public:
  static constexpr int kLaterStatus = 412;

  struct Settings {
    int answered = 1;  // requests before the one that is reset
    AfterReset then = AfterReset::kAnswers;
  };

  explicit ResettingServer(Settings settings)
      : settings_(settings),
        listener_(std::make_unique<Listener>(
            settings.then == AfterReset::kIsUnresponsive ? 0 : kBacklog)),
        url_(listener_->url()),
        thread_([this] { Serve(); }) {}
  ~ResettingServer() {
    is_ending_ = true;
    thread_.join();
    for (const auto& [connection, request] : requests_) close(connection);
  }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  const std::string& url() const { return url_; }
  // Requests that were read completely.
  int received() const { return received_; }
  // Connections.
  int accepted() const { return accepted_; }
  // Returns once all idle connections are closed.
  void CloseConnections(bool with_reset) {
    closing_ = with_reset ? Closing::kReset : Closing::kNormal;
    while (closing_ != Closing::kNone) std::this_thread::yield();
  }

 private:
  static constexpr int kBacklog = 8;
  static constexpr int kPollTimeoutMs = 10;
  enum class Closing { kNone, kNormal, kReset };

  void Serve() {
    while (!is_ending_) {
      CloseIfAsked();
      std::vector<pollfd> sockets;
      for (const auto& [connection, request] : requests_) {
        sockets.push_back({.fd = connection, .events = POLLIN});
      }
      const bool accepts = listener_ && !filler_;
      if (accepts) {
        sockets.push_back({.fd = listener_->descriptor(), .events = POLLIN});
      }
      if (poll(sockets.data(), sockets.size(), kPollTimeoutMs) <= 0) continue;
      if (accepts && sockets.back().revents != 0) {
        requests_[accept(listener_->descriptor(), nullptr, nullptr)];
        ++accepted_;
      }
      if (accepts) sockets.pop_back();
      for (const pollfd& socket : sockets) {
        if (socket.revents != 0) OnReadable(socket.fd);
      }
    }
  }

  void OnReadable(int connection) {
    std::array<char, 4'096> data;
    const ssize_t count = recv(connection, data.data(), data.size(), 0);
    if (count <= 0) {
      Close(connection);
      return;
    }
    std::string& request = requests_[connection];
    request.append(data.data(), static_cast<size_t>(count));
    if (!IsComplete(request)) return;
    request.clear();
    const int number = ++received_;
    if (number == settings_.answered + 1) {
      StopListening();
      Reset(connection);
      return;
    }
    const int status = number <= settings_.answered ? 200 : kLaterStatus;
    const std::string response = "HTTP/1.1 " + std::to_string(status) +
                                 " -\r\nContent-Length: 0\r\n\r\n";
    send(connection, response.data(), response.size(), MSG_NOSIGNAL);
  }

  static bool IsComplete(const std::string& request) {
    const std::string end_of_head = "\r\n\r\n";
    const std::string length_header = "Content-Length: ";
    const size_t end = request.find(end_of_head);
    if (end == std::string::npos) return false;
    const size_t header = request.find(length_header);
    const size_t body_size =
        header < end ? std::stoul(request.substr(header + length_header.size()))
                     : 0;
    return request.size() >= end + end_of_head.size() + body_size;
  }

  void StopListening() {
    if (settings_.then == AfterReset::kRefuses) listener_.reset();
    if (settings_.then == AfterReset::kIsUnresponsive) {
      filler_ = std::make_unique<QueueFiller>(listener_.get());
    }
  }

  void CloseIfAsked() {
    if (closing_ == Closing::kNone) return;
    while (!requests_.empty()) {
      const int connection = requests_.begin()->first;
      if (closing_ == Closing::kReset) {
        Reset(connection);
      } else {
        Close(connection);
      }
    }
    closing_ = Closing::kNone;
  }

  void Reset(int connection) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close(connection);
  }

  void Close(int connection) {
    close(connection);
    requests_.erase(connection);
  }

  const Settings settings_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<QueueFiller> filler_;
  const std::string url_;
  std::map<int, std::string> requests_;  // as read so far, by connection
  std::atomic<int> received_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<bool> is_ending_ = false;
  std::atomic<Closing> closing_ = Closing::kNone;
  std::thread thread_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_HTTP_CLIENT_TESTING_RESETTING_SERVER_H_
