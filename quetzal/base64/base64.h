// Bytes as standard base64 text with padding, over GLib.
//
//   const std::string text = EncodeBase64(bytes);
//   const std::string bytes = DecodeBase64(text);
#ifndef QUETZAL_BASE64_BASE64_H_
#define QUETZAL_BASE64_BASE64_H_

#include <string>

namespace quetzal {

std::string EncodeBase64(const std::string& bytes);
// Characters that don't belong to base64 are passed over.
std::string DecodeBase64(const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_BASE64_BASE64_H_
