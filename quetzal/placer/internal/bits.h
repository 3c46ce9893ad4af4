// A set of task numbers, kept as a bitmap in a string as it is stored.
#ifndef QUETZAL_PLACER_INTERNAL_BITS_H_
#define QUETZAL_PLACER_INTERNAL_BITS_H_

#include <algorithm>
#include <cstdint>
#include <string>

namespace quetzal::placer_internal {

inline constexpr int kBitsPerByte = 8;

inline bool HasBit(const std::string& bits, uint32_t index) {
  const size_t byte = index / kBitsPerByte;
  if (byte >= bits.size()) return false;
  const auto value = static_cast<unsigned char>(bits[byte]);
  return ((value >> (index % kBitsPerByte)) & 1U) != 0;
}

inline void SetBit(uint32_t index, std::string* bits) {
  const size_t byte = index / kBitsPerByte;
  if (bits->size() <= byte) bits->resize(byte + 1);
  const auto value = static_cast<unsigned char>((*bits)[byte]);
  (*bits)[byte] = static_cast<char>(value | (1U << (index % kBitsPerByte)));
}

// Adds every number in `more`.
inline void AddBits(const std::string& more, std::string* bits) {
  bits->resize(std::max(bits->size(), more.size()));
  for (size_t i = 0; i < more.size(); ++i) {
    (*bits)[i] = static_cast<char>((*bits)[i] | more[i]);
  }
}

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_BITS_H_
