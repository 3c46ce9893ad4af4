#include "programs/ctl/client.h"

#include <libsoup/soup.h>

#include <random>

namespace quetzal::ctl {

Client::Client(int timeout_seconds)
    : session_(soup_session_new_with_options(
          "timeout", static_cast<guint>(timeout_seconds), nullptr)) {}

Client::~Client() { g_object_unref(session_); }

Exchange Client::Fetch(const std::string& method, const std::string& url,
                       const FetchOptions& options) {
  Exchange result;
  result.json = nlohmann::json::object();
  SoupMessage* const message = soup_message_new(method.c_str(), url.c_str());
  if (message == nullptr) {
    result.error = "'" + url + "' is not an address; write it as IP:port";
    return result;
  }
  if (options.bearer) {
    const std::string value = "Bearer " + *options.bearer;
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 "Authorization", value.c_str());
  }
  if (!options.body.empty()) {
    GBytes* const bytes = g_bytes_new(options.body.data(), options.body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  GError* error = nullptr;
  GBytes* const bytes =
      soup_session_send_and_read(session_, message, nullptr, &error);
  if (error != nullptr) {
    result.error = error->message;
    g_error_free(error);
  } else {
    gsize size = 0;
    const auto* const text =
        static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (text != nullptr) result.body.assign(text, size);
    g_bytes_unref(bytes);
    result.status = static_cast<int>(soup_message_get_status(message));
    nlohmann::json json = nlohmann::json::parse(result.body, nullptr, false);
    if (json.is_object()) result.json = std::move(json);
  }
  g_object_unref(message);
  return result;
}

Exchange Fetch(const std::string& method, const std::string& url,
               const FetchOptions& options) {
  return Client(options.timeout_seconds).Fetch(method, url, options);
}

std::string RandomHex(int bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kMaxDigit = 15;
  std::random_device random;
  std::uniform_int_distribution<unsigned> digit(0, kMaxDigit);
  std::string text;
  for (int i = 0; i < bytes * 2; ++i) text += kDigits[digit(random)];
  return text;
}

}  // namespace quetzal::ctl
