#include "quetzal/event_log/event_log.h"

#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace quetzal {
namespace {

constexpr int64_t kMicrosecondsInSecond = 1'000'000;
constexpr int64_t kMicrosecondsInMillisecond = 1'000;
// Below PIPE_BUF, so that a pipe accepts a line completely or not at all.
constexpr size_t kMaxLineBytes = 4'000;

void AppendEscaped(std::string_view text, std::string* line) {
  for (const char c : text) {
    if (c == '"' || c == '\\') *line += '\\';
    *line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
}

}  // namespace

EventLog::EventLog(std::string process, EventLogLimits limits)
    : process_(std::move(process)), limits_(limits) {}

bool EventLog::IsWithin(int64_t limit, Rate* rate) {
  const int64_t second = g_get_monotonic_time() / kMicrosecondsInSecond;
  if (second != rate->second) *rate = {.second = second};
  return ++rate->lines <= limit;
}

void EventLog::Line(std::string_view event,
                    std::initializer_list<EventField> fields) {
  if (IsWithin(limits_.lines_per_second, &rate_)) {
    WriteLine(event, fields);
  } else {
    ++dropped_;
  }
}

void EventLog::ImportantLine(std::string_view event,
                             std::initializer_list<EventField> fields) {
  if (IsWithin(limits_.important_lines_per_second, &important_rate_)) {
    WriteLine(event, fields);
  } else {
    ++dropped_;
  }
}

void EventLog::WriteLine(std::string_view event,
                         std::initializer_list<EventField> fields) {
  std::string line =
      R"({"ms":)" +
      std::to_string(g_get_real_time() / kMicrosecondsInMillisecond) +
      R"(,"process":")" + process_ + R"(","event":")" + std::string(event) +
      '"';
  for (const EventField& field : fields) {
    line += ",\"";
    line += field.name;
    line += field.is_number ? "\":" : "\":\"";
    AppendEscaped(field.value, &line);
    if (!field.is_number) line += '"';
  }
  if (dropped_ > reported_dropped_) {
    line += ",\"lines_dropped\":" + std::to_string(dropped_);
    reported_dropped_ = dropped_;
  }
  if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
  Write(line + "}\n");
}

void EventLog::Write(const std::string& text) {
  pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
      write(STDOUT_FILENO, text.data(), text.size()) !=
          static_cast<ssize_t>(text.size())) {
    ++dropped_;
  }
}

}  // namespace quetzal
