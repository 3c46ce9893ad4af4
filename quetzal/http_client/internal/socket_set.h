// The sockets of one client in an epoll set, so that the main loop polls one
// descriptor instead of hundreds.
#ifndef QUETZAL_HTTP_CLIENT_INTERNAL_SOCKET_SET_H_
#define QUETZAL_HTTP_CLIENT_INTERNAL_SOCKET_SET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace quetzal::http_client_internal {

class SocketSet {
 public:
  struct Ready {
    int descriptor = -1;
    uint32_t events = 0;
    size_t owner = 0;
  };

  SocketSet();
  ~SocketSet();
  SocketSet(const SocketSet&) = delete;
  SocketSet& operator=(const SocketSet&) = delete;

  int descriptor() const { return epoll_; }
  // `events`: epoll events to watch for, 0 for none. With 0 the socket stays
  // registered until its next event, since most sockets are reused. `owner` is
  // returned with the socket when it is ready.
  void SetEvents(int descriptor, uint32_t events, size_t owner);
  bool IsWatched(int descriptor) const;
  // A new socket got the descriptor. It isn't registered, even if an earlier
  // socket with the same number was closed without `Remove`.
  void OnOpened(int descriptor);
  // Should be called before the descriptor is closed, as its number is reused.
  void Remove(int descriptor);
  struct ReadyRound {
    std::vector<Ready> sockets;  // each at most once
    bool is_complete = true;     // no others were ready
  };
  // Returns a limited number of the sockets that are ready now.
  ReadyRound TakeReady();

 private:
  struct Socket {
    uint32_t requested = 0;
    uint32_t registered = 0;
    size_t owner = 0;
  };
  void Register(int descriptor, Socket* socket, uint32_t events);

  int epoll_;
  std::unordered_map<int, Socket> sockets_;
};

}  // namespace quetzal::http_client_internal

#endif  // QUETZAL_HTTP_CLIENT_INTERNAL_SOCKET_SET_H_
