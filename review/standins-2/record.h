// What a case sent, what was answered and what ran, one line each.
//
//   Record record("record.txt");
//   record.Line("POST /quotes/00a1 -> 200");
#ifndef REVIEW_STANDINS_2_RECORD_H_
#define REVIEW_STANDINS_2_RECORD_H_

#include <fstream>
#include <string>

#include "quetzal/ids/ids.h"

namespace quetzal::review {

class Record {
 public:
  explicit Record(const std::string& file);

  // Writes a line with the time since the record began.
  void Line(const std::string& text);

 private:
  std::ofstream out_;
  Time began_;
};

}  // namespace quetzal::review

#endif  // REVIEW_STANDINS_2_RECORD_H_
