// An HTTP/1.1 client on the GLib main loop, over libcurl's multi interface.
//
//   auto client = HttpClient::Create({.most_connections_per_host = 4});
//   client->Send({.method = "GET", .url = "http://10.0.0.1:80/x",
//                 .timeout = Milliseconds(500)},
//                [](const HttpClientResult& answer) { ... });
//
// Connections are kept and used again. A call ends exactly once: by its answer
// or by the kind of its failure. Calls that are pending when the client is
// destroyed end without their callback.
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
  Milliseconds timeout{1'000};       // for the whole call
};

struct HttpClientResult {
  enum class Kind {
    kAnswered,  // `status` and `body` hold
    kNotSent,   // no connection within the time: the peer can't have acted
    kConnectionRefused,  // nothing listens at the address
    kNoAnswer,           // sent at least in part; the peer may have acted on it
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;
  std::string body;
  std::string problem;  // of a call without an answer, in libcurl's words
  Milliseconds took{0};

  bool ok() const { return kind == Kind::kAnswered && status / 100 == 2; }
};

struct HttpClientLimits {
  // Idle connections kept for use again, in all.
  int max_idle_connections = 256;
};

class HttpClient {
 public:
  using Callback = std::function<void(const HttpClientResult& answer)>;

  static std::unique_ptr<HttpClient> Create(const HttpClientLimits& limits);
  virtual ~HttpClient() = default;
  virtual void Send(const HttpClientRequest& call, Callback callback) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_HTTP_CLIENT_HTTP_CLIENT_H_
