// Structured log lines on standard output, one for each decision, start, stop
// or reload, and for each dependency that becomes unreachable or reachable.
//
//   EventLog log("placer-1", {.lines_per_second = 200});
//   log.Line("job_accepted", {{"job", id}, {"queue", queue}});
//   log.ImportantLine("worker_gone", {{"worker", id}});
//
// Each line is one JSON object with the time, the process, the event and its
// fields. A line above 4,000 bytes is truncated and may not be valid JSON.
// Writing never blocks: lines above the rate limit, and lines that standard
// output doesn't accept at once, are dropped. A later line reports how many
// were dropped in total. Important lines have a limit of their own.
#ifndef QUETZAL_EVENT_LOG_EVENT_LOG_H_
#define QUETZAL_EVENT_LOG_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace quetzal {

struct EventLogLimits {
  int64_t lines_per_second = 200;
  int64_t important_lines_per_second = 200;
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
  // For rare events that a failure can't be explained without. Frequent lines
  // can't use up their rate.
  void ImportantLine(std::string_view event,
                     std::initializer_list<EventField> fields);
  uint64_t dropped_lines() const { return dropped_; }

 private:
  // Counts the lines of the current second.
  struct Rate {
    int64_t second = 0;
    int64_t lines = 0;
  };

  static bool IsWithin(int64_t limit, Rate* rate);
  void WriteLine(std::string_view event,
                 std::initializer_list<EventField> fields);
  void Write(const std::string& text);

  std::string process_;
  EventLogLimits limits_;
  Rate rate_;
  Rate important_rate_;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_EVENT_LOG_EVENT_LOG_H_
