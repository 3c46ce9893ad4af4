#include "quetzal/http/http.h"

#include <gio/gio.h>
#include <glog/logging.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quetzal/http/internal/daemon_source.h"

namespace quetzal {
namespace {

constexpr size_t kConnectionMemoryBytes = 16 * 1024;
// An oversized body is read to its end, and discarded, up to this multiple of
// the limit.
constexpr size_t kMaxDiscardedMultiple = 8;
constexpr Milliseconds kSweepInterval{250};
constexpr int64_t kMillisecondsInSecond = 1'000;

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "quetzal.http"; }
  std::string message(int value) const override {
    return static_cast<HttpError>(value) == HttpError::kBadAddress
               ? "not an address; write it as IP:port"
               : "the address can't be listened on; choose a free port or an "
                 "IP address of this machine";
  }
};

struct SocketAddress {
  sockaddr_storage storage{};
  bool is_ipv6() const { return storage.ss_family == AF_INET6; }
};

std::optional<SocketAddress> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = address.substr(0, colon);
  const std::string port = address.substr(colon + 1);
  gchar* end = nullptr;
  const guint64 number = g_ascii_strtoull(port.c_str(), &end, 10);
  if (port.empty() || *end != '\0' || number > G_MAXUINT16) return std::nullopt;
  GSocketAddress* const parsed = g_inet_socket_address_new_from_string(
      host.c_str(), static_cast<guint>(number));
  if (parsed == nullptr) return std::nullopt;
  SocketAddress result;
  g_socket_address_to_native(parsed, &result.storage, sizeof(result.storage),
                             nullptr);
  g_object_unref(parsed);
  return result;
}

std::string GetHeader(MHD_Connection* connection, const char* name) {
  const char* const value =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return value == nullptr ? "" : value;
}

std::optional<std::string> GetBearerToken(MHD_Connection* connection) {
  constexpr std::string_view kPrefix = "Bearer ";
  const std::string value =
      GetHeader(connection, MHD_HTTP_HEADER_AUTHORIZATION);
  if (!value.starts_with(kPrefix)) return std::nullopt;
  return value.substr(kPrefix.size());
}

MHD_Result AddArgument(void* query, MHD_ValueKind /*kind*/, const char* name,
                       const char* value) {
  auto& arguments = *static_cast<std::map<std::string, std::string>*>(query);
  arguments[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddHeader(void* headers, MHD_ValueKind /*kind*/, const char* name,
                     const char* value) {
  gchar* const lower = g_ascii_strdown(name, -1);
  (*static_cast<std::map<std::string, std::string>*>(headers))[lower] =
      value == nullptr ? "" : value;
  g_free(lower);
  return MHD_YES;
}

MHD_Result QueueResponse(MHD_Connection* connection,
                         const HttpResponse& reply) {
  MHD_Response* const response = MHD_create_response_from_buffer(
      reply.body.size(), const_cast<char*>(reply.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          reply.content_type.c_str());
  if (reply.retry_after) {
    const double seconds =
        std::ceil(static_cast<double>(reply.retry_after->count()) /
                  kMillisecondsInSecond);
    const std::string text =
        std::to_string(std::max<int64_t>(1, static_cast<int64_t>(seconds)));
    MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER,
                            text.c_str());
  }
  if (reply.close) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result queued = MHD_queue_response(
      connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

HttpResponse TooLarge(size_t limit) {
  return {.status = MHD_HTTP_CONTENT_TOO_LARGE,
          .body = R"({"error":"too_large","run":"not_run","remedy":"send a )"
                  R"(body of at most )" +
                  std::to_string(limit) + R"( bytes"})",
          .close = true};
}

// A call from its first header to the end of its reply.
struct Call {
  HttpCallId id{};
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  size_t received_bytes = 0;
  bool dispatched = false;
  bool suspended = false;
  bool abandoned = false;
  std::optional<HttpResponse> reply;
};

// A caller's connection, added and erased as libmicrohttpd reports it.
struct Connection {
  int descriptor = -1;
  gint64 awaiting_request_since_us = 0;  // until the request is complete
  Call* dispatched_call = nullptr;  // dispatched, reply not completely written
};

Connection& GetConnection(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<Connection*>(info->socket_context);
}

class MicroHttpServer : public HttpServer {
 public:
  MicroHttpServer(HttpLimits limits, HttpHandlers handlers)
      : limits_(limits), handlers_(std::move(handlers)) {}
  ~MicroHttpServer() override {
    if (daemon_ == nullptr) return;
    g_source_remove(sweep_);
    source_.reset();
    for (const auto& [id, call] : calls_) Abandon(call.get());
    MHD_stop_daemon(daemon_);
  }

  bool Bind(const std::string& address, HttpError* error) {
    const std::optional<SocketAddress> socket_address = ParseAddress(address);
    *error = HttpError::kBadAddress;
    if (!socket_address) return false;
    *error = HttpError::kCannotListen;
    if (!StartDaemon(*socket_address)) return false;
    port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    source_.emplace(daemon_);
    sweep_ = g_timeout_add(static_cast<guint>(kSweepInterval.count()), &OnSweep,
                           this);
    return true;
  }

  void Reply(HttpCallId id, const HttpResponse& response) override {
    const auto found = calls_.find(static_cast<uint64_t>(id));
    if (found == calls_.end() || found->second->abandoned) return;
    found->second->reply = response;
    Resume(found->second.get());
  }
  size_t open_calls() const override { return calls_.size(); }
  int port() const override { return port_; }

 private:
  bool StartDaemon(const SocketAddress& address) {
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (address.is_ipv6()) flags |= MHD_USE_IPv6;
    // For callers that don't read their reply; `Sweep` ends slow requests.
    const auto write_seconds = static_cast<unsigned>(std::max<int64_t>(
        1, limits_.read_timeout.count() / kMillisecondsInSecond));
    daemon_ = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &OnAccess, this, MHD_OPTION_SOCK_ADDR,
        &address.storage, MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &OnConnection, this,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(limits_.max_connections),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
        MHD_OPTION_CONNECTION_TIMEOUT, write_seconds, MHD_OPTION_END);
    return daemon_ != nullptr;
  }

  static void OnConnection(void* self, MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code) {
    auto& connections = static_cast<MicroHttpServer*>(self)->connections_;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      connections.erase(connection);
      return;
    }
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    Connection& added = connections[connection];
    added = {.descriptor = info->connect_fd,
             .awaiting_request_since_us = g_get_monotonic_time()};
    *context = &added;
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* path, const char* method,
                             const char* /*version*/, const char* data,
                             size_t* size, void** context) {
    auto* const server = static_cast<MicroHttpServer*>(self);
    if (*context == nullptr) {
      Call* const call = server->Begin(connection, path, method);
      *context = call;
      return server->MustRejectEarly(connection)
                 ? QueueResponse(connection,
                                 TooLarge(server->limits_.max_body_bytes))
                 : MHD_YES;
    }
    auto* const call = static_cast<Call*>(*context);
    if (*size == 0) return server->Answer(call);
    const std::string_view part(data, std::exchange(*size, 0));
    return server->Receive(call, part);
  }

  Call* Begin(MHD_Connection* connection, const char* path,
              const char* method) {
    const uint64_t id = next_call_++;
    auto call = std::make_unique<Call>();
    call->id = HttpCallId{id};
    call->connection = connection;
    call->request.method = method;
    call->request.path = path;
    call->request.bearer = GetBearerToken(connection);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddArgument,
                              &call->request.query);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &call->request.headers);
    return (calls_[id] = std::move(call)).get();
  }

  // True if the announced body won't be read to its end. The caller may then
  // see its connection closed before it has read the reply.
  bool MustRejectEarly(MHD_Connection* connection) const {
    const std::string text =
        GetHeader(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    const guint64 bytes = g_ascii_strtoull(text.c_str(), nullptr, 10);
    const bool expects_continue =
        !GetHeader(connection, MHD_HTTP_HEADER_EXPECT).empty();
    const size_t limit =
        expects_continue ? limits_.max_body_bytes : MaxDiscardedBytes();
    return bytes > limit;
  }
  size_t MaxDiscardedBytes() const {
    return limits_.max_body_bytes * kMaxDiscardedMultiple;
  }

  MHD_Result Receive(Call* call, std::string_view part) const {
    call->received_bytes += part.size();
    if (call->received_bytes > MaxDiscardedBytes()) return MHD_NO;
    if (call->received_bytes <= limits_.max_body_bytes) {
      call->request.body += part;
    } else {
      call->request.body = std::string();
    }
    return MHD_YES;
  }

  // Called when the request is complete, and when its connection is resumed.
  MHD_Result Answer(Call* call) {
    if (call->abandoned) return MHD_NO;
    if (call->received_bytes > limits_.max_body_bytes) {
      return QueueResponse(call->connection, TooLarge(limits_.max_body_bytes));
    }
    if (!call->dispatched) Dispatch(call);
    if (call->reply) return QueueResponse(call->connection, *call->reply);
    call->suspended = true;
    MHD_suspend_connection(call->connection);
    return MHD_YES;
  }

  void Dispatch(Call* call) {
    call->dispatched = true;
    GetConnection(call->connection).dispatched_call = call;
    handlers_.on_request(call->id, call->request);
  }

  void Resume(Call* call) {
    if (!std::exchange(call->suspended, false)) return;
    MHD_resume_connection(call->connection);
    if (source_) source_->Wake();
  }

  void Abandon(Call* call) {
    call->abandoned = true;
    Resume(call);
  }

  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** context, MHD_RequestTerminationCode /*code*/) {
    if (*context == nullptr) return;
    auto* const server = static_cast<MicroHttpServer*>(self);
    Connection& state = GetConnection(connection);
    state.dispatched_call = nullptr;
    state.awaiting_request_since_us = g_get_monotonic_time();
    const auto* const call =
        static_cast<const Call*>(std::exchange(*context, nullptr));
    server->calls_.erase(static_cast<uint64_t>(call->id));
  }

  static gboolean OnSweep(gpointer self) {
    static_cast<MicroHttpServer*>(self)->Sweep();
    return G_SOURCE_CONTINUE;
  }

  // Closes connections whose request is overdue, and abandons the calls of
  // callers that have disconnected.
  void Sweep() {
    source_->Wake();
    const gint64 limit_us =
        std::chrono::microseconds(limits_.read_timeout).count();
    const gint64 overdue_before_us = g_get_monotonic_time() - limit_us;
    std::vector<pollfd> poll_fds;
    std::vector<Call*> calls;
    for (const auto& [id, connection] : connections_) {
      if (connection.dispatched_call != nullptr) {
        poll_fds.push_back({.fd = connection.descriptor});
        calls.push_back(connection.dispatched_call);
      } else if (connection.awaiting_request_since_us < overdue_before_us) {
        shutdown(connection.descriptor, SHUT_RDWR);
      }
    }
    if (poll(poll_fds.data(), poll_fds.size(), 0) <= 0) return;
    for (size_t i = 0; i < poll_fds.size(); ++i) {
      if ((poll_fds[i].revents & (POLLHUP | POLLERR)) != 0) {
        ReportDisconnect(calls[i]);
      }
    }
  }

  void ReportDisconnect(Call* call) {
    if (call->abandoned || call->reply) return;
    Abandon(call);
    handlers_.on_disconnect(call->id);
  }

  HttpLimits limits_;
  HttpHandlers handlers_;
  MHD_Daemon* daemon_ = nullptr;
  std::optional<http_internal::DaemonSource> source_;
  guint sweep_ = 0;
  int port_ = 0;
  uint64_t next_call_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Call>> calls_;
  std::unordered_map<MHD_Connection*, Connection> connections_;
};

}  // namespace

std::error_code make_error_code(HttpError error) {
  static const Category category;
  return {static_cast<int>(error), category};
}

HttpResult<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const std::string& address, HttpLimits limits, HttpHandlers handlers) {
  auto server = std::make_unique<MicroHttpServer>(limits, std::move(handlers));
  HttpError error{};
  if (!server->Bind(address, &error)) return make_error_code(error);
  return std::unique_ptr<HttpServer>(std::move(server));
}

std::unique_ptr<HttpServer> ListenForHttp(const std::string& address,
                                          HttpLimits limits,
                                          HttpHandlers handlers) {
  auto server = HttpServer::Listen(address, limits, std::move(handlers));
  if (server) return std::move(server.value());
  LOG(ERROR) << address << ": " << server.error().message();
  return nullptr;
}

}  // namespace quetzal
