#include <cppunit/extensions/HelperMacros.h>

#include "quetzal/job/job.h"

namespace quetzal {
namespace {

class JobCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobCodecTest);
  CPPUNIT_TEST(AnAcceptedJobKeepsWhatItHoldsOfItsQueue);
  CPPUNIT_TEST(ARequestOfAnEarlierVersionIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnAcceptedJobKeepsWhatItHoldsOfItsQueue() {
    constexpr int kAttempts = 4;
    const AcceptedJob job{.id = JobId("a"),
                          .team = TeamId("t"),
                          .queue = QueueId("q"),
                          .service = ServiceId("s"),
                          .max_attempts = kAttempts,
                          .accepted = WallTime{5},
                          .spec = {.steps = {{.count = 2}}}};
    const auto read = DecodeJob(job.id, EncodeJob(job));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value().queue == job.queue);
    CPPUNIT_ASSERT(read.value().service == job.service);
    CPPUNIT_ASSERT_EQUAL(kAttempts, read.value().max_attempts);
  }

  void ARequestOfAnEarlierVersionIsRead() {
    const auto read = DecodeJob(
        JobId("a"),
        R"({"schema":1,"team":"t","queue":"q","service":"s","accepted_ms":5,)"
        R"("specification":"x",)"
        R"("steps":[{"count":2,"cpu_milli":500,"memory_mib":256}]})");
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value().service == ServiceId("s"));
    CPPUNIT_ASSERT_EQUAL(1, read.value().max_attempts);
    CPPUNIT_ASSERT_EQUAL(2, read.value().spec.steps.at(0).count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCodecTest);

}  // namespace
}  // namespace quetzal
