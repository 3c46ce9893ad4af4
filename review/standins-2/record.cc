#include "record.h"

#include <iomanip>

#include "quetzal/program/program.h"

namespace quetzal::review {

Record::Record(const std::string& file) : out_(file), began_(Now()) {}

void Record::Line(const std::string& text) {
  constexpr double kMillisecondsInSecond = 1'000;
  constexpr int kTimeWidth = 8;
  const auto ms = static_cast<double>((Now() - began_).count());
  out_ << std::fixed << std::setprecision(3) << std::setw(kTimeWidth)
       << ms / kMillisecondsInSecond << " s  " << text << '\n'
       << std::flush;
}

}  // namespace quetzal::review
