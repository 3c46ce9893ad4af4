// The whole path as separate processes on loopback, with kills, freezes and
// outages. Judged from the workers' own logs.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

#include "tests/support/cluster.h"

namespace quetzal::testing {
namespace {

constexpr char kKey[] = "field-key";

std::string Binaries() {
  const char* const folder = std::getenv("QUETZAL_BUILD");
  return folder == nullptr ? "." : folder;
}

nlohmann::json Records(const std::string& digest) {
  return nlohmann::json::array(
      {{{"schema", "v2"},
        {"kind", "team"},
        {"name", "lidar"},
        {"share", 2},
        {"limit",
         {{"cpu_milli", 64'000}, {"memory_mib", 131'072}, {"slots", 64}}}},
       {{"schema", "v1"},
        {"kind", "key"},
        {"name", "lidar-1"},
        {"team", "lidar"},
        {"digest", digest}},
       {{"schema", "v1"},
        {"kind", "queue"},
        {"name", "quick"},
        {"team", "lidar"}}});
}

class ProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessTest);
  CPPUNIT_TEST(RequestIsServedFromEndToEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsServedFromEndToEnd() {
    Cluster cluster({.binaries = Binaries()});
    CPPUNIT_ASSERT(cluster.Start());
    CPPUNIT_ASSERT(cluster.Apply(Records(
        "sha256:"
        "5c5e5c1d0a1a3c1a5e5e5c1d0a1a3c1a5e5e5c1d0a1a3c1a5e5e5c1d0a1a3c1a")));
    const ctl::Exchange reply =
        cluster.Post("entry-a-1", "/v1/requests",
                     {{"queue", "quick"}, {"payload", "x"}}, kKey);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 401, reply.status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);

}  // namespace
}  // namespace quetzal::testing
