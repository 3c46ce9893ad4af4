#include "quetzal/http_client/internal/socket_set.h"

#include <glib.h>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace quetzal::http_client_internal {
namespace {

// The rest follow in the next round, after the loop's timers.
constexpr size_t kMaxReadyPerRound = 64;

// libcurl takes an unused connection that was reset for alive until the error
// has been read.
void ClearError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
}

}  // namespace

SocketSet::SocketSet() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  PCHECK(epoll_ >= 0) << "epoll isn't available";
}

SocketSet::~SocketSet() { close(epoll_); }

void SocketSet::SetEvents(int descriptor, uint32_t events, size_t owner) {
  Socket& socket = sockets_[descriptor];
  socket.owner = owner;
  socket.requested = events;
  if (events != 0 && events != socket.registered) {
    Register(descriptor, &socket, events);
  }
}

void SocketSet::Register(int descriptor, Socket* socket, uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  int operation = EPOLL_CTL_MOD;
  if (socket->registered == 0) operation = EPOLL_CTL_ADD;
  if (events == 0) operation = EPOLL_CTL_DEL;
  if (epoll_ctl(epoll_, operation, descriptor, &event) != 0) {
    LOG(WARNING) << "a socket can't be watched: " << g_strerror(errno);
  }
  socket->registered = events;
}

bool SocketSet::IsWatched(int descriptor) const {
  const auto found = sockets_.find(descriptor);
  return found != sockets_.end() && found->second.requested != 0;
}

void SocketSet::OnOpened(int descriptor) {
  const auto found = sockets_.find(descriptor);
  if (found == sockets_.end()) return;
  // The kernel dropped the registration when the earlier socket was closed.
  found->second.registered = 0;
  // libcurl doesn't ask again for the events that it asked for last.
  if (found->second.requested != 0) {
    Register(descriptor, &found->second, found->second.requested);
  }
}

void SocketSet::Remove(int descriptor) {
  const auto found = sockets_.find(descriptor);
  if (found == sockets_.end()) return;
  if (found->second.registered != 0) Register(descriptor, &found->second, 0);
  sockets_.erase(found);
}

SocketSet::ReadyRound SocketSet::TakeReady() {
  std::array<epoll_event, kMaxReadyPerRound> events;
  const int count = epoll_wait(epoll_, events.data(), kMaxReadyPerRound, 0);
  ReadyRound round{.is_complete = count < static_cast<int>(kMaxReadyPerRound)};
  for (int i = 0; i < count; ++i) {
    const int descriptor = events[static_cast<size_t>(i)].data.fd;
    Socket& socket = sockets_[descriptor];
    if (socket.requested == 0) {
      // An event on an unused connection, such as the peer closing it. While
      // registered, it would be reported again and again.
      Register(descriptor, &socket, 0);
      if ((events[static_cast<size_t>(i)].events & EPOLLERR) != 0) {
        ClearError(descriptor);
      }
      continue;
    }
    round.sockets.push_back(
        {descriptor, events[static_cast<size_t>(i)].events, socket.owner});
  }
  return round;
}

}  // namespace quetzal::http_client_internal
