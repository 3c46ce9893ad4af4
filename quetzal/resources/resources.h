// Amounts of a worker's resources, and their arithmetic.
//
//   const Resources free = capacity - charged;
//   if (size.FitsIn(free)) ...
#ifndef QUETZAL_RESOURCES_RESOURCES_H_
#define QUETZAL_RESOURCES_RESOURCES_H_

#include <cstdint>
#include <string>

#include "quetzal/proto/wire.pb.h"

namespace quetzal {

// A signed amount of each resource. Differences may be negative: a worker
// whose capacity shrank is over-committed until tasks end.
struct Resources {
  int64_t cpu_milli = 0;     // thousandths of a processor
  int64_t memory_mib = 0;    // mebibytes
  int64_t accelerators = 0;  // whole devices
  int64_t slots = 0;         // request slots

  // True if every amount is at most the one in `available`.
  bool FitsIn(const Resources& available) const;
  // True if every amount is zero.
  bool IsZero() const;
  // The largest ratio of an amount to that in `total`; ignores resources that
  // `total` has none of.
  double DominantShare(const Resources& total) const;
  // "cpu 500m, memory 256 MiB, ...", for readable messages.
  std::string Describe() const;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, int64_t factor);
  friend bool operator==(const Resources&, const Resources&) = default;
};

// Element-wise maximum and minimum.
Resources Max(const Resources& a, const Resources& b);
Resources Min(const Resources& a, const Resources& b);

Resources FromWire(const wire::Resources& message);
wire::Resources ToWire(const Resources& amounts);

}  // namespace quetzal

#endif  // QUETZAL_RESOURCES_RESOURCES_H_
