// A small HTTP server for callers, operators and the balancer, on the GLib main
// loop, over libmicrohttpd.
//
//   auto server = HttpServer::Listen("127.0.0.1:8080", limits, handlers);
//   server.value()->Reply(call, {.status = 200, .body = "{}"});
//
// A call is passed to the handler when its body is complete, and replied to
// once, at any later time. Oversized bodies and slow clients are rejected
// without buffering the body or blocking the loop.
#ifndef QUETZAL_HTTP_HTTP_H_
#define QUETZAL_HTTP_HTTP_H_

#include <boost/outcome/std_result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "quetzal/ids/ids.h"

namespace quetzal {

enum class HttpError {
  kBadAddress = 1,  // not "IP:port"
  kCannotListen,
};
std::error_code make_error_code(HttpError error);  // NOLINT: name fixed by std

template <typename T>
using HttpResult = boost::outcome_v2::std_result<T, std::error_code>;

// Identifies a call that awaits its reply.
enum class HttpCallId : uint64_t {};

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::optional<std::string> bearer;           // of "Authorization: Bearer ..."
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<Milliseconds> retry_after;
  bool close = false;  // close the connection after this reply
};

struct HttpLimits {
  size_t max_body_bytes = 256 * 1024;
  // For a request to arrive completely, and for an idle connection to send one.
  Milliseconds read_timeout{30'000};
  size_t max_connections = 4'096;
};

struct HttpHandlers {
  std::function<void(HttpCallId call, const HttpRequest& request)> on_request;
  // The caller closed its connection before its reply.
  std::function<void(HttpCallId call)> on_disconnect;
};

class HttpServer {
 public:
  // `address` is "IP:port"; port 0 selects a free one.
  static HttpResult<std::unique_ptr<HttpServer>> Listen(
      const std::string& address, HttpLimits limits, HttpHandlers handlers);
  virtual ~HttpServer() = default;

  // No effect if the caller has disconnected.
  virtual void Reply(HttpCallId call, const HttpResponse& response) = 0;
  // Calls from their first header until their reply is completely written.
  virtual size_t open_calls() const = 0;
  virtual int port() const = 0;
};

// Like `HttpServer::Listen`, but logs the error and returns null.
std::unique_ptr<HttpServer> ListenForHttp(const std::string& address,
                                          HttpLimits limits,
                                          HttpHandlers handlers);

}  // namespace quetzal

template <>
struct std::is_error_code_enum<quetzal::HttpError> : std::true_type {};

#endif  // QUETZAL_HTTP_HTTP_H_
