#include "quetzal/base64/base64.h"

#include <glib.h>

namespace quetzal {

std::string EncodeBase64(const std::string& bytes) {
  gchar* const text = g_base64_encode(
      reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
  std::string result = text;
  g_free(text);
  return result;
}

std::string DecodeBase64(const std::string& text) {
  gsize size = 0;
  guchar* const bytes = g_base64_decode(text.c_str(), &size);
  std::string result(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return result;
}

}  // namespace quetzal
