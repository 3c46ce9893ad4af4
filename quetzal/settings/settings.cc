#include "quetzal/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace quetzal {
namespace {

const nlohmann::json& EmptyObject() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ", ";
    text += word;
  }
  return text;
}

}  // namespace

std::string Describe(const Problems& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    text += problem.path + ": " + problem.wrong +
            "; allowed: " + problem.allowed + "\n";
  }
  return text;
}

nlohmann::json ParseObject(const std::string& text, const std::string& path,
                           Problems* problems) {
  nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_object()) return json;
  problems->push_back(
      {path, json.is_discarded() ? "not well-formed JSON" : "not a JSON object",
       "one JSON object"});
  return nlohmann::json::object();
}

std::string ReadFile(const std::string& file, Problems* problems) {
  std::ifstream in(file);
  if (!in) {
    problems->push_back({file, "the file can't be read", "a readable file"});
    return "{}";
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

ObjectReader::ObjectReader(const nlohmann::json& json, std::string path,
                           Problems* problems)
    : json_(&json), path_(std::move(path)), problems_(problems) {
  if (json_->is_object()) return;
  problems_->push_back({path_, "not an object", "a JSON object"});
  json_ = &EmptyObject();
}

bool ObjectReader::Has(const std::string& field) const {
  return json_->contains(field);
}

const nlohmann::json* ObjectReader::Find(const std::string& field) {
  read_fields_.insert(field);
  const auto found = json_->find(field);
  return found == json_->end() ? nullptr : &*found;
}

void ObjectReader::Report(const std::string& field, const std::string& wrong,
                          const std::string& allowed) {
  problems_->push_back({path_ + "." + field, wrong, allowed});
}

std::string ObjectReader::Text(
    const std::string& field, const std::optional<std::string>& default_value) {
  const nlohmann::json* const value = Find(field);
  if (value == nullptr) {
    if (!default_value) Report(field, "missing", "a text that is not empty");
    return default_value.value_or("");
  }
  if (!value->is_string()) {
    Report(field, "not a text", "a text");
    return default_value.value_or("");
  }
  std::string text = value->get<std::string>();
  if (text.empty() && !default_value) {
    Report(field, "empty", "a text that is not empty");
  }
  return text;
}

std::string ObjectReader::Choice(
    const std::string& field, const std::vector<std::string>& allowed,
    const std::optional<std::string>& default_value) {
  std::string text = Text(field, default_value);
  const bool known =
      std::find(allowed.begin(), allowed.end(), text) != allowed.end();
  if (!known && Has(field)) {
    Report(field, "'" + text + "' is not known", Join(allowed));
  }
  return text;
}

int64_t ObjectReader::Integer(const std::string& field,
                              const IntegerRange& range) {
  const std::string allowed = "an integer from " + std::to_string(range.min) +
                              (range.max == std::numeric_limits<int64_t>::max()
                                   ? " up"
                                   : " to " + std::to_string(range.max));
  const nlohmann::json* const value = Find(field);
  if (value == nullptr) {
    if (!range.default_value) Report(field, "missing", allowed);
    return range.default_value.value_or(range.min);
  }
  if (!value->is_number_integer()) {
    Report(field, "not an integer", allowed);
    return range.default_value.value_or(range.min);
  }
  const auto number = value->get<int64_t>();
  if (number < range.min || number > range.max) {
    Report(field, std::to_string(number) + " is out of range", allowed);
    return range.default_value.value_or(range.min);
  }
  return number;
}

bool ObjectReader::Flag(const std::string& field, bool default_value) {
  const nlohmann::json* const value = Find(field);
  if (value == nullptr) return default_value;
  if (!value->is_boolean()) {
    Report(field, "not a boolean", "true or false");
    return default_value;
  }
  return value->get<bool>();
}

Resources ObjectReader::Amounts(const std::string& field) {
  constexpr int64_t kMaxCpuMilli = 1'000'000'000;
  constexpr int64_t kMaxOtherAmount = 1'000'000'000;
  ObjectReader reader = Object(field);
  const Resources amounts = {
      .cpu_milli = reader.Integer("cpu_milli",
                                  {.max = kMaxCpuMilli, .default_value = 0}),
      .memory_mib = reader.Integer(
          "memory_mib", {.max = kMaxOtherAmount, .default_value = 0}),
      .accelerators = reader.Integer(
          "accelerators", {.max = kMaxOtherAmount, .default_value = 0}),
      .slots = reader.Integer("slots",
                              {.max = kMaxOtherAmount, .default_value = 0})};
  reader.ReportUnknownFields();
  return amounts;
}

ObjectReader ObjectReader::Object(const std::string& field) {
  const nlohmann::json* const value = Find(field);
  return {value == nullptr ? EmptyObject() : *value, path_ + "." + field,
          problems_};
}

std::vector<ObjectReader> ObjectReader::Objects(const std::string& field) {
  std::vector<ObjectReader> readers;
  const nlohmann::json* const value = Find(field);
  if (value == nullptr) return readers;
  if (!value->is_array()) {
    Report(field, "not a list", "a list of objects");
    return readers;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    readers.emplace_back((*value)[i],
                         path_ + "." + field + "[" + std::to_string(i) + "]",
                         problems_);
  }
  return readers;
}

void ObjectReader::ReportUnknownFields() {
  std::vector<std::string> known(read_fields_.begin(), read_fields_.end());
  for (const auto& [field, value] : json_->items()) {
    if (read_fields_.contains(field)) continue;
    Report(field, "unknown field", Join(known));
  }
}

}  // namespace quetzal
