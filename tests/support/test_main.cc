// Runs every CppUnit test that is linked into a test program; with arguments,
// only those whose names contain one of them. Prints each test's name.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>
#include <vector>

namespace {

void AddMatching(CppUnit::Test* test, const std::vector<std::string>& words,
                 CppUnit::TestRunner* runner) {
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    AddMatching(test->getChildTestAt(i), words, runner);
  }
  if (test->getChildTestCount() > 0) return;
  for (const std::string& word : words) {
    if (test->getName().find(word) == std::string::npos) continue;
    runner->addTest(test);
    return;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  CppUnit::Test* const all =
      CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  if (words.empty()) {
    runner.addTest(all);
  } else {
    AddMatching(all, words, &runner);
  }
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
