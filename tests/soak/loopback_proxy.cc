#include "tests/soak/loopback_proxy.h"

#include <sys/socket.h>

#include <array>
#include <thread>

namespace quetzal::testing {
namespace {

constexpr int kMaxConnections = 256;
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

// Makes the close discard unsent data, so that the peer sees a reset.
void ResetSocket(GSocket* socket) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
  shutdown(g_socket_get_fd(socket), SHUT_RDWR);
}

}  // namespace

LoopbackProxy::LoopbackProxy(int listen_port, int target_port)
    : target_port_(target_port),
      service_(g_threaded_socket_service_new(kMaxConnections)) {
  GSocketAddress* const address = LoopbackAddress(listen_port);
  listening_ = g_socket_listener_add_address(
      G_SOCKET_LISTENER(service_), address, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr);
  g_object_unref(address);
  g_signal_connect(service_, "run", G_CALLBACK(&OnConnection), this);
  g_socket_service_start(service_);
}

LoopbackProxy::~LoopbackProxy() {
  stopping_ = true;
  g_socket_service_stop(service_);
  g_socket_listener_close(G_SOCKET_LISTENER(service_));
  ResetAll();
  while (true) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (sockets_.empty()) break;
    g_usleep(kCheckIntervalUs);
  }
  g_object_unref(service_);
}

void LoopbackProxy::ResetAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (GSocket* const socket : sockets_) ResetSocket(socket);
}

gboolean LoopbackProxy::OnConnection(GThreadedSocketService* /*service*/,
                                     GSocketConnection* caller,
                                     GObject* /*source*/, gpointer self) {
  static_cast<LoopbackProxy*>(self)->Forward(
      g_socket_connection_get_socket(caller));
  return TRUE;
}

void LoopbackProxy::Forward(GSocket* caller) {
  GSocket* const target =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress* const address = LoopbackAddress(target_port_);
  if (g_socket_connect(target, address, nullptr, nullptr)) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.insert({caller, target});
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
