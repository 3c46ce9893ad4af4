// review-case NAME RECORD: runs a scripted case of the second review. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
// With TROUBLE=0 in the environment there is no disruption.
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "cases.h"
#include "record.h"

int main(int argc, char** argv) {
  using quetzal::review::Verdict;
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  if (argc != 3) {
    std::cerr << "usage: review-case NAME RECORD\n";
    return static_cast<int>(Verdict::kCannotRun);
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  quetzal::review::Record record(argv[2]);
  const Verdict verdict =
      quetzal::review::RunCase(argv[1], has_trouble, &record);
  const char* const texts[] = {"the rule held", "the rule was broken",
                               "the case couldn't run"};
  const char* const text = texts[static_cast<int>(verdict)];
  record.Line(text);
  std::cout << text << '\n';
  return static_cast<int>(verdict);
}
