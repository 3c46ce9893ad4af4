#include "quetzal/http/http.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace quetzal {
namespace {

constexpr char kCallIdKey[] = "quetzal-call";
constexpr char kReceivedKey[] = "quetzal-received";

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

std::optional<std::string> BearerOf(SoupServerMessage* message) {
  const char* const header = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), "Authorization");
  const std::string prefix = "Bearer ";
  const std::string value = header == nullptr ? "" : header;
  if (!value.starts_with(prefix)) return std::nullopt;
  return value.substr(prefix.size());
}

HttpRequest RequestOf(SoupServerMessage* message, const char* path,
                      GHashTable* query) {
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  request.bearer = BearerOf(message);
  if (query != nullptr) {
    GHashTableIter at;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&at, query);
    while (g_hash_table_iter_next(&at, &key, &value) != FALSE) {
      request.query[static_cast<const char*>(key)] =
          static_cast<const char*>(value);
    }
  }
  SoupMessageBody* const body = soup_server_message_get_request_body(message);
  GBytes* const bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* const text =
      static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (text != nullptr) request.body.assign(text, size);
  g_bytes_unref(bytes);
  return request;
}

class SoupHttpServer : public HttpServer {
 public:
  SoupHttpServer(HttpLimits limits, HttpHandlers handlers)
      : limits_(limits),
        handlers_(std::move(handlers)),
        server_(soup_server_new("server-header", "quetzalbarrow", nullptr)) {
    soup_server_add_early_handler(server_, nullptr, &OnHeaders, this, nullptr);
    soup_server_add_handler(server_, nullptr, &OnRequest, this, nullptr);
    g_signal_connect(server_, "request-started", G_CALLBACK(&OnStarted), this);
  }
  ~SoupHttpServer() override {
    g_signal_handlers_disconnect_by_data(server_, this);
    for (const auto& [message, open] : reading_) {
      g_source_remove(open.timer);
      g_signal_handlers_disconnect_by_data(message, this);
    }
    for (const auto& [id, message] : calls_) {
      g_signal_handlers_disconnect_by_data(message, this);
    }
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }

  bool Bind(const std::string& address, HttpError* error) {
    GSocketAddress* const socket_address = ParseAddress(address);
    *error = HttpError::kBadAddress;
    if (socket_address == nullptr) return false;
    GError* failure = nullptr;
    const bool bound =
        soup_server_listen(server_, socket_address,
                           static_cast<SoupServerListenOptions>(0),
                           &failure) != FALSE;
    g_object_unref(socket_address);
    *error = HttpError::kAddressInUse;
    if (failure != nullptr) g_error_free(failure);
    if (!bound) return false;
    GSList* const uris = soup_server_get_uris(server_);
    if (uris != nullptr) {
      port_ = g_uri_get_port(static_cast<GUri*>(uris->data));
    }
    g_slist_free_full(
        uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return true;
  }

  void Reply(HttpCall call, const HttpReply& reply) override {
    const auto found = calls_.find(static_cast<uint64_t>(call));
    if (found == calls_.end()) return;
    Write(found->second, reply);
    soup_server_message_unpause(found->second);
  }
  size_t open_calls() const override { return calls_.size(); }
  int port() const override { return port_; }

 private:
  // A connection whose next request has not wholly arrived.
  struct Reading {
    SoupHttpServer* server = nullptr;
    SoupServerMessage* message = nullptr;
    guint timer = 0;
  };

  static GSocketAddress* ParseAddress(const std::string& address) {
    const size_t colon = address.rfind(':');
    if (colon == std::string::npos) return nullptr;
    const std::string host = address.substr(0, colon);
    const std::string port = address.substr(colon + 1);
    gchar* end = nullptr;
    const guint64 number = g_ascii_strtoull(port.c_str(), &end, 10);
    if (port.empty() || *end != '\0' || number > G_MAXUINT16) return nullptr;
    return g_inet_socket_address_new_from_string(host.c_str(),
                                                 static_cast<guint>(number));
  }

  static void Write(SoupServerMessage* message, const HttpReply& reply) {
    SoupMessageHeaders* const headers =
        soup_server_message_get_response_headers(message);
    if (reply.retry_after) {
      const double seconds =
          std::ceil(static_cast<double>(reply.retry_after->count()) / 1000.0);
      const std::string text =
          std::to_string(std::max<int64_t>(1, static_cast<int64_t>(seconds)));
      soup_message_headers_replace(headers, "Retry-After", text.c_str());
    }
    if (reply.close) {
      soup_message_headers_replace(headers, "Connection", "close");
    }
    soup_server_message_set_status(message, static_cast<guint>(reply.status),
                                   nullptr);
    soup_server_message_set_response(message, reply.content_type.c_str(),
                                     SOUP_MEMORY_COPY, reply.body.data(),
                                     reply.body.size());
  }

  static void RefuseTooLarge(SoupServerMessage* message, size_t limit) {
    // Told before the body is read, so nothing of it is kept.
    Write(message,
          {.status = SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
           .body = R"({"error":"too_large","run":"not_run","remedy":"send a )"
                   R"(body of at most )" +
                   std::to_string(limit) + R"( bytes"})",
           .close = true});
  }

  static void OnStarted(SoupServer* /*server*/, SoupServerMessage* message,
                        gpointer data) {
    static_cast<SoupHttpServer*>(data)->BeginReading(message);
  }

  void BeginReading(SoupServerMessage* message) {
    Reading& reading = reading_[message];
    reading = {.server = this, .message = message};
    reading.timer = g_timeout_add(static_cast<guint>(limits_.read_time.count()),
                                  &OnTooSlow, &reading);
    g_signal_connect(message, "got-body", G_CALLBACK(&OnGotBody), this);
    g_signal_connect(message, "finished", G_CALLBACK(&OnFinished), this);
    g_signal_connect(message, "disconnected", G_CALLBACK(&OnFinished), this);
    if (reading_.size() > limits_.most_connections) Cut(message);
  }

  static gboolean OnTooSlow(gpointer data) {
    auto* const reading = static_cast<Reading*>(data);
    SoupHttpServer* const server = reading->server;
    SoupServerMessage* const message = reading->message;
    server->reading_.erase(message);
    Cut(message);
    return G_SOURCE_REMOVE;
  }

  static void Cut(SoupServerMessage* message) {
    GSocket* const socket = soup_server_message_get_socket(message);
    if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }

  void EndReading(SoupServerMessage* message) {
    const auto reading = reading_.extract(message);
    if (reading) g_source_remove(reading.mapped().timer);
  }

  static void OnGotBody(SoupServerMessage* message, gpointer data) {
    static_cast<SoupHttpServer*>(data)->EndReading(message);
  }

  static void OnHeaders(SoupServer* /*server*/, SoupServerMessage* message,
                        const char* /*path*/, GHashTable* /*query*/,
                        gpointer data) {
    auto* const self = static_cast<SoupHttpServer*>(data);
    SoupMessageHeaders* const headers =
        soup_server_message_get_request_headers(message);
    const goffset length = soup_message_headers_get_content_length(headers);
    if (length > static_cast<goffset>(self->limits_.body_bytes)) {
      RefuseTooLarge(message, self->limits_.body_bytes);
      return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&OnChunk), self);
  }

  // A body without a stated length is counted as it comes.
  static void OnChunk(SoupServerMessage* message, GBytes* chunk,
                      gpointer data) {
    auto* const self = static_cast<SoupHttpServer*>(data);
    const gsize before =
        GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), kReceivedKey));
    const gsize total = before + g_bytes_get_size(chunk);
    g_object_set_data(G_OBJECT(message), kReceivedKey, GSIZE_TO_POINTER(total));
    if (total <= self->limits_.body_bytes) return;
    SoupMessageBody* const body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
    if (before <= self->limits_.body_bytes) {
      RefuseTooLarge(message, self->limits_.body_bytes);
    }
  }

  static void OnRequest(SoupServer* /*server*/, SoupServerMessage* message,
                        const char* path, GHashTable* query, gpointer data) {
    auto* const self = static_cast<SoupHttpServer*>(data);
    if (soup_server_message_get_status(message) != 0) return;  // refused
    const uint64_t id = self->next_call_++;
    self->calls_[id] = message;
    g_object_set_data(G_OBJECT(message), kCallIdKey, GSIZE_TO_POINTER(id));
    soup_server_message_pause(message);
    self->handlers_.on_request(HttpCall{id}, RequestOf(message, path, query));
  }

  static void OnFinished(SoupServerMessage* message, gpointer data) {
    auto* const self = static_cast<SoupHttpServer*>(data);
    self->EndReading(message);
    const uint64_t id =
        GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), kCallIdKey));
    if (id == 0 || self->calls_.erase(id) == 0) return;
    const bool replied = soup_server_message_get_status(message) != 0;
    if (!replied) self->handlers_.on_gone(HttpCall{id});
  }

  HttpLimits limits_;
  HttpHandlers handlers_;
  SoupServer* server_;
  int port_ = 0;
  uint64_t next_call_ = 1;
  std::unordered_map<uint64_t, SoupServerMessage*> calls_;
  std::unordered_map<SoupServerMessage*, Reading> reading_;
};

}  // namespace

std::error_code make_error_code(HttpError error) {
  static const Category category;
  return {static_cast<int>(error), category};
}

HttpResult<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const std::string& address, HttpLimits limits, HttpHandlers handlers) {
  auto server = std::make_unique<SoupHttpServer>(limits, std::move(handlers));
  HttpError error{};
  if (!server->Bind(address, &error)) return make_error_code(error);
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace quetzal
