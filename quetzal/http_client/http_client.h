// An HTTP/1.1 client on the GLib main loop, over libcurl's multi interface.
//
//   auto client = HttpClient::Create({.max_idle_connections = 4});
//   client->Send({.method = "GET", .url = "http://10.0.0.1:80/x",
//                 .timeout = Milliseconds(500)},
//                [](const HttpClientResult& result) { ... });
//
// Connections are reused. Each request calls its callback exactly once, with
// the response or the kind of failure. The callbacks of requests that are
// pending when the client is destroyed are not called.
//
// GET requests may be sent twice: again if a reused connection ended without an
// answer. Others are sent at most once.
#ifndef QUETZAL_HTTP_CLIENT_HTTP_CLIENT_H_
#define QUETZAL_HTTP_CLIENT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"

namespace quetzal {

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;                  // sent as JSON if not empty
  // From `Send` to the end of the response. A response that has arrived is read
  // even if this process was busy or paused until after its limit. A request
  // that couldn't be sent within its limit, or within a second, isn't sent.
  Milliseconds timeout{1'000};
  // Ends the request earlier, within 100 ms more, if no bytes are sent or
  // arrive for this long. 0: never. Lets a large response take its time on a
  // slow link without waiting as long for a peer that is gone.
  Milliseconds stall_timeout{0};
  // Doesn't reuse a connection: an idle one may be dead without a sign of it.
  bool on_new_connection = false;
};

struct HttpClientResult {
  enum class Kind {
    kAnswered,           // `status` and `body` are valid
    kNotSent,            // no connection: the peer can't have acted on it
    kConnectionRefused,  // like kNotSent; refused at the address or on the way
    kNoAnswer,           // may have been sent; the peer may have acted on it
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;
  std::string body;
  std::string problem;  // of the connection, if not `kAnswered`
  Milliseconds took{0};

  bool ok() const { return kind == Kind::kAnswered && status / 100 == 2; }
};

struct HttpClientLimits {
  // Idle connections kept for reuse, over all hosts.
  int max_idle_connections = 256;
};

class HttpClient {
 public:
  using Callback = std::function<void(const HttpClientResult& result)>;

  static std::unique_ptr<HttpClient> Create(const HttpClientLimits& limits);
  virtual ~HttpClient() = default;
  virtual void Send(const HttpClientRequest& request, Callback callback) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_HTTP_CLIENT_HTTP_CLIENT_H_
