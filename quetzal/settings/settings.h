// Reads JSON objects field by field and collects every problem found, each as
// path, what is wrong and what is allowed. Used for programs' settings files,
// operators' records and callers' request bodies alike.
//
//   Problems problems;
//   ObjectReader reader(json, "settings", &problems);
//   const int64_t port = reader.Integer("port", {.min = 0, .max = 65535});
//   reader.ReportUnknownFields();  // reports fields that were never read
//   if (!problems.empty()) ...
#ifndef QUETZAL_SETTINGS_SETTINGS_H_
#define QUETZAL_SETTINGS_SETTINGS_H_

#include <boost/outcome/std_result.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quetzal/resources/resources.h"

namespace quetzal {

struct Problem {
  std::string path;     // such as "settings.http.port"
  std::string wrong;    // what was found
  std::string allowed;  // what would be accepted
};
using Problems = std::vector<Problem>;

// One line for each problem.
std::string Describe(const Problems& problems);

// A value, or everything that was wrong with its source.
template <typename T>
using Checked =
    boost::outcome_v2::std_result<T, Problems,
                                  boost::outcome_v2::policy::terminate>;

// Parses text as one JSON object; reports malformed text as a problem at
// `path` and returns an empty object.
nlohmann::json ParseObject(const std::string& text, const std::string& path,
                           Problems* problems);
// Reads a whole file; a file that can't be read is a problem.
std::string ReadFile(const std::string& file, Problems* problems);

struct IntegerRange {
  int64_t min = 0;
  int64_t max = std::numeric_limits<int64_t>::max();
  std::optional<int64_t> default_value = std::nullopt;  // none: required field
};

class ObjectReader {
 public:
  // `json` and `problems` must outlive the reader.
  ObjectReader(const nlohmann::json& json, std::string path,
               Problems* problems);

  bool Has(const std::string& field) const;
  // Required and not empty, unless a default is given.
  std::string Text(
      const std::string& field,
      const std::optional<std::string>& default_value = std::nullopt);
  // One of the `allowed` texts.
  std::string Choice(
      const std::string& field, const std::vector<std::string>& allowed,
      const std::optional<std::string>& default_value = std::nullopt);
  int64_t Integer(const std::string& field, const IntegerRange& range);
  bool Flag(const std::string& field, bool default_value);
  // Amount of each resource. Absent amounts, or an absent object, count as 0.
  Resources Amounts(const std::string& field);
  // Reader of a nested object; an absent field counts as an empty object.
  ObjectReader Object(const std::string& field);
  // Readers of the objects in a list; an absent field counts as an empty list.
  std::vector<ObjectReader> Objects(const std::string& field);
  // Reports every field that was never read.
  void ReportUnknownFields();

  const std::string& path() const { return path_; }
  void Report(const std::string& field, const std::string& wrong,
              const std::string& allowed);

 private:
  const nlohmann::json* Find(const std::string& field);

  const nlohmann::json* json_;
  std::string path_;
  Problems* problems_;
  std::set<std::string> read_fields_;
};

}  // namespace quetzal

#endif  // QUETZAL_SETTINGS_SETTINGS_H_
