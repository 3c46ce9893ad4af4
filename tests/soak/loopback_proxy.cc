#include "tests/soak/loopback_proxy.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <thread>

namespace quetzal::testing {
namespace {

constexpr size_t kChunkBytes = 16 * 1024;
// More than a round trip between distant regions.
constexpr gulong kDelayPerChunkUs = 120'000;
constexpr gulong kCheckIntervalUs = 5'000;

GSocketAddress* LoopbackAddress(int port) {
  GInetAddress* const address =
      g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
  GSocketAddress* const result =
      g_inet_socket_address_new(address, static_cast<guint16>(port));
  g_object_unref(address);
  return result;
}

// Sends the peer a reset at once. On Linux, connecting to no address does so.
void ResetSocket(GSocket* socket) {
  const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
  if (connect(g_socket_get_fd(socket), &none, sizeof(none)) != 0) {
    g_warning("a connection isn't reset: %s", g_strerror(errno));
  }
}

GSocket* NewSocket() {
  return g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, nullptr);
}

}  // namespace

LoopbackProxy::LoopbackProxy(int listen_port, int target_port)
    : target_port_(target_port), listener_(NewSocket()) {
  GSocketAddress* const address = LoopbackAddress(listen_port);
  listening_ = g_socket_bind(listener_, address, TRUE, nullptr) == TRUE &&
               g_socket_listen(listener_, nullptr) == TRUE;
  g_object_unref(address);
  accepting_ = std::thread([this] { AcceptConnections(); });
}

LoopbackProxy::~LoopbackProxy() {
  stopping_ = true;
  accepting_.join();
  ResetAll();
  while (forwarded_ > 0) g_usleep(kCheckIntervalUs);
  g_object_unref(listener_);
}

void LoopbackProxy::SetFault(LinkFault fault) {
  const LinkFault former = fault_.exchange(fault);
  // A shut down listener refuses connections and keeps its port.
  if (fault == LinkFault::kRefused) {
    shutdown(g_socket_get_fd(listener_), SHUT_RDWR);
  } else if (former == LinkFault::kRefused) {
    g_socket_listen(listener_, nullptr);
  }
  if (rejects()) ResetAll();
}

void LoopbackProxy::ResetAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (GSocket* const socket : sockets_) ResetSocket(socket);
}

void LoopbackProxy::AcceptConnections() {
  while (!stopping_) {
    if (fault_ == LinkFault::kRefused) {
      g_usleep(kCheckIntervalUs);
      continue;
    }
    if (!g_socket_condition_timed_wait(listener_, G_IO_IN, kCheckIntervalUs,
                                       nullptr, nullptr)) {
      continue;
    }
    GSocket* const caller = g_socket_accept(listener_, nullptr, nullptr);
    if (caller == nullptr) continue;
    ++forwarded_;
    std::thread([this, caller] { Forward(caller); }).detach();
  }
}

void LoopbackProxy::Forward(GSocket* caller) {
  GSocket* const target = NewSocket();
  GSocketAddress* const address = LoopbackAddress(target_port_);
  if (g_socket_connect(target, address, nullptr, nullptr)) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.insert({caller, target});
      if (rejects()) ResetSocket(caller);
    }
    std::thread replies([&] { CopyBytes(target, caller, true); });
    CopyBytes(caller, target, false);
    replies.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(caller);
    sockets_.erase(target);
  }
  g_object_unref(address);
  g_object_unref(target);
  g_object_unref(caller);
  --forwarded_;
}

void LoopbackProxy::DelayOrBlock(bool to_caller) const {
  while (!stopping_) {
    const LinkFault fault = fault_;
    const bool blocked = fault == LinkFault::kBlocked ||
                         (fault == LinkFault::kRepliesBlocked && to_caller);
    if (fault == LinkFault::kSlow) g_usleep(kDelayPerChunkUs);
    if (!blocked) return;
    g_usleep(kCheckIntervalUs);
  }
}

void LoopbackProxy::CopyBytes(GSocket* from, GSocket* to, bool to_caller) {
  std::array<gchar, kChunkBytes> chunk;
  while (true) {
    const gssize read =
        g_socket_receive(from, chunk.data(), chunk.size(), nullptr, nullptr);
    if (read <= 0) break;
    DelayOrBlock(to_caller);
    gssize sent = 0;
    while (sent < read) {
      const gssize bytes =
          g_socket_send(to, chunk.data() + sent,
                        static_cast<gsize>(read - sent), nullptr, nullptr);
      if (bytes <= 0) break;
      sent += bytes;
    }
    if (sent < read) break;
  }
  shutdown(g_socket_get_fd(from), SHUT_RDWR);
  shutdown(g_socket_get_fd(to), SHUT_RDWR);
}

}  // namespace quetzal::testing
