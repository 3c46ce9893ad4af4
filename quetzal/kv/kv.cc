#include "quetzal/kv/kv.h"

#include <glib.h>

namespace quetzal {

std::string EscapeForUrl(const std::string& text) {
  gchar* const escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result = escaped;
  g_free(escaped);
  return result;
}

std::string RequestTarget(const KvCall& call) {
  const std::string name =
      call.kind == KvCall::Kind::kList ? "prefix=" : "key=";
  const std::string path =
      call.kind == KvCall::Kind::kKeepAlive ? "/v1/keepalive?" : "/v1/kv?";
  std::string target = path + name + EscapeForUrl(call.key);
  if (call.expected) {
    target +=
        "&expected=" + std::to_string(static_cast<uint64_t>(*call.expected));
  }
  if (call.lease.count() > 0) {
    target += "&lease_ms=" + std::to_string(call.lease.count());
  }
  return target;
}

}  // namespace quetzal
