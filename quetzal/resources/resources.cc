#include "quetzal/resources/resources.h"

#include <algorithm>
#include <limits>

namespace quetzal {
namespace {

double Fraction(int64_t part, int64_t total) {
  return total > 0 ? static_cast<double>(part) / static_cast<double>(total)
                   : 0.0;
}

uint32_t ToUnsigned(int64_t amount) {
  constexpr int64_t kMaxAmount = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(amount, 0, kMaxAmount));
}

}  // namespace

bool Resources::FitsIn(const Resources& available) const {
  return cpu_milli <= available.cpu_milli &&
         memory_mib <= available.memory_mib &&
         accelerators <= available.accelerators && slots <= available.slots;
}

bool Resources::IsZero() const { return *this == Resources(); }

double Resources::DominantShare(const Resources& total) const {
  return std::max({Fraction(cpu_milli, total.cpu_milli),
                   Fraction(memory_mib, total.memory_mib),
                   Fraction(accelerators, total.accelerators),
                   Fraction(slots, total.slots)});
}

std::string Resources::Describe() const {
  return "cpu " + std::to_string(cpu_milli) + "m, memory " +
         std::to_string(memory_mib) + " MiB, accelerators " +
         std::to_string(accelerators) + ", slots " + std::to_string(slots);
}

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  slots += other.slots;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  slots -= other.slots;
  return *this;
}

Resources operator*(Resources a, int64_t factor) {
  a.cpu_milli *= factor;
  a.memory_mib *= factor;
  a.accelerators *= factor;
  a.slots *= factor;
  return a;
}

Resources Max(const Resources& a, const Resources& b) {
  return {.cpu_milli = std::max(a.cpu_milli, b.cpu_milli),
          .memory_mib = std::max(a.memory_mib, b.memory_mib),
          .accelerators = std::max(a.accelerators, b.accelerators),
          .slots = std::max(a.slots, b.slots)};
}

Resources Min(const Resources& a, const Resources& b) {
  return {.cpu_milli = std::min(a.cpu_milli, b.cpu_milli),
          .memory_mib = std::min(a.memory_mib, b.memory_mib),
          .accelerators = std::min(a.accelerators, b.accelerators),
          .slots = std::min(a.slots, b.slots)};
}

Resources FromWire(const wire::Resources& message) {
  return {.cpu_milli = message.cpu_milli(),
          .memory_mib = message.memory_mib(),
          .accelerators = message.accelerators(),
          .slots = message.slots()};
}

wire::Resources ToWire(const Resources& amounts) {
  wire::Resources message;
  message.set_cpu_milli(ToUnsigned(amounts.cpu_milli));
  message.set_memory_mib(ToUnsigned(amounts.memory_mib));
  message.set_accelerators(ToUnsigned(amounts.accelerators));
  message.set_slots(ToUnsigned(amounts.slots));
  return message;
}

}  // namespace quetzal
