// A blocking HTTP client for the command line, tests and load drivers.
//
//   const Exchange result = Fetch("GET", url, {});
//   if (result.status == 200) ...
#ifndef PROGRAMS_CTL_CLIENT_H_
#define PROGRAMS_CTL_CLIENT_H_

#include <libsoup/soup.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzal::ctl {

// Exit codes of quetzalctl.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;
inline constexpr int kUsage = 2;
inline constexpr int kConflict = 3;
inline constexpr int kTimedOut = 4;
inline constexpr int kRefused = 5;

struct Exchange {
  int status = 0;     // 0: no answer
  std::string error;  // why there was no answer
  std::string body;
  nlohmann::json json;  // the body, or an empty object
  bool answered() const { return status != 0; }
};

struct FetchOptions {
  std::string body;
  std::optional<std::string> bearer;
  int timeout_seconds = 5;  // ignored by `Client`, which has its own
};

// Reuses its connections. Not thread-safe.
class Client {
 public:
  explicit Client(int timeout_seconds);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Exchange Fetch(const std::string& method, const std::string& url,
                 const FetchOptions& options);

 private:
  SoupSession* session_;
};

// One call on a new connection.
Exchange Fetch(const std::string& method, const std::string& url,
               const FetchOptions& options);
// Two random hexadecimal digits per byte.
std::string RandomHex(int bytes);

}  // namespace quetzal::ctl

#endif  // PROGRAMS_CTL_CLIENT_H_
