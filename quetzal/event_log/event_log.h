// Structured log lines on standard output, one for each decision, start, stop
// or reload, and for each dependency that becomes unreachable or reachable.
//
//   EventLog log("placer-1", {.lines_per_second = 200});
//   log.Line("job_accepted", {{"job", id}, {"queue", queue}});
//
// Each line is one JSON object with the time, the process, the event and its
// fields. A line above 4,000 bytes is truncated and may not be valid JSON.
// Writing never blocks: lines above the rate limit, and lines that standard
// output doesn't accept at once, are dropped. A later line reports how many
// were dropped in total.
#ifndef QUETZAL_EVENT_LOG_EVENT_LOG_H_
#define QUETZAL_EVENT_LOG_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace quetzal {

struct EventLogLimits {
  int64_t lines_per_second = 200;
};

struct EventField {
  EventField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  EventField(std::string_view field, const char* text)
      : name(field), value(text) {}
  EventField(std::string_view field, int64_t number)
      : name(field), value(std::to_string(number)), is_number(true) {}
  std::string_view name;
  std::string value;
  bool is_number = false;
};

class EventLog {
 public:
  explicit EventLog(std::string process, EventLogLimits limits = {});

  void Line(std::string_view event, std::initializer_list<EventField> fields);
  uint64_t dropped_lines() const { return dropped_; }

 private:
  bool IsWithinRate();
  void Write(const std::string& line);

  std::string process_;
  EventLogLimits limits_;
  int64_t second_ = 0;
  int64_t lines_in_second_ = 0;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_EVENT_LOG_EVENT_LOG_H_
