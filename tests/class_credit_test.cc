// Runs generated loads through the production cell core in virtual time, for
// the credit of each class of jobs. The same seed gives the same jobs and the
// same report.
#include <cppunit/extensions/HelperMacros.h>

#include <ostream>

#include "bench/support/virtual_cell.h"

namespace quetzal {
namespace {

using bench::CellReport;
using bench::ClassReport;
using bench::Deployment;
using bench::VirtualCell;

constexpr uint64_t kSeeds[] = {1, 2, 3};
constexpr Milliseconds kDrainTime{25'000};
// Maximum gap between the credit of a class, the earned share of its worth, and
// that of the whole load.
constexpr double kMaxCreditGap = 0.1;

CellReport RunLoad(const Deployment& deployment, uint64_t seed) {
  VirtualCell cell(deployment, seed);
  cell.Run(kDrainTime);
  CPPUNIT_ASSERT_EQUAL(0, cell.over_capacity());
  return cell.Report();
}

class ClassCreditTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClassCreditTest);
  CPPUNIT_TEST(NoClassFallsFarBelowTheAverage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoClassFallsFarBelowTheAverage() {
    for (const uint64_t seed : kSeeds) {
      const CellReport report = RunLoad(bench::TodaysDeployment(), seed);
      for (const ClassReport& each : report.classes) {
        CPPUNIT_ASSERT_GREATER(report.credit - kMaxCreditGap, each.credit);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClassCreditTest);

}  // namespace
}  // namespace quetzal
