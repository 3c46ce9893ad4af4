// Plain blocking HTTP exchanges for the command line.
//
//   const Exchange result = Fetch("GET", "http://127.0.0.1:8080/v1/status",
//   {}); if (result.answered() && result.status == 200) ...
#ifndef PROGRAMS_CTL_CLIENT_H_
#define PROGRAMS_CTL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzal::ctl {

// Exit codes of quetzalctl.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;
inline constexpr int kUsage = 2;
inline constexpr int kConflict = 3;
inline constexpr int kNotInForce = 4;
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
  int timeout_seconds = 5;
};

Exchange Fetch(const std::string& method, const std::string& url,
               const FetchOptions& options);
// Text as part of a URL.
std::string Escape(const std::string& text);
// Random hexadecimal digits.
std::string RandomHex(int bytes);

}  // namespace quetzal::ctl

#endif  // PROGRAMS_CTL_CLIENT_H_
