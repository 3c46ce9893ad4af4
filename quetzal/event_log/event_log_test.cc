#include "quetzal/event_log/event_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <string>

namespace quetzal {
namespace {

// Collects what is written to standard output during its lifetime.
class CapturedOutput {
 public:
  CapturedOutput() : saved_(dup(STDOUT_FILENO)) {
    CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_.data()));
    dup2(pipe_[1], STDOUT_FILENO);
    close(pipe_[1]);
  }
  ~CapturedOutput() {
    Restore();
    close(pipe_[0]);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  // Ends the capture.
  std::string TakeText() {
    Restore();
    std::string text;
    std::array<char, 4'096> buffer{};
    ssize_t size = 0;
    while ((size = read(pipe_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<size_t>(size));
    }
    return text;
  }

 private:
  void Restore() {
    if (saved_ < 0) return;
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    saved_ = -1;
  }

  int saved_;
  std::array<int, 2> pipe_{};
};

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(FrequentLinesDontDropImportantOnes);
  CPPUNIT_TEST(ImportantLinesAreLimitedToo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FrequentLinesDontDropImportantOnes() {
    CapturedOutput output;
    EventLog log("test",
                 {.lines_per_second = 2, .important_lines_per_second = 2});
    for (int i = 0; i < 100; ++i) log.Line("frequent", {});
    log.ImportantLine("rare", {{"worker", "w-1"}});
    const std::string text = output.TakeText();
    CPPUNIT_ASSERT(text.find(R"("event":"rare","worker":"w-1")") !=
                   std::string::npos);
    // The test may span a second's boundary.
    CPPUNIT_ASSERT(log.dropped_lines() >= 96);
  }

  void ImportantLinesAreLimitedToo() {
    CapturedOutput output;
    EventLog log("test",
                 {.lines_per_second = 2, .important_lines_per_second = 2});
    for (int i = 0; i < 100; ++i) log.ImportantLine("rare", {});
    output.TakeText();
    CPPUNIT_ASSERT(log.dropped_lines() >= 96);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace
}  // namespace quetzal
