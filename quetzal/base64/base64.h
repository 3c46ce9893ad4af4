// Encodes bytes as standard base64 text with padding, and decodes it, over
// GLib.
//
//   const std::string text = EncodeBase64(bytes);
//   const std::string bytes = DecodeBase64(text);
#ifndef QUETZAL_BASE64_BASE64_H_
#define QUETZAL_BASE64_BASE64_H_

#include <string>

namespace quetzal {

std::string EncodeBase64(const std::string& bytes);
// Ignores characters outside the base64 alphabet.
std::string DecodeBase64(const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_BASE64_BASE64_H_
