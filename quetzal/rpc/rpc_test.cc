#include "quetzal/rpc/rpc.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <atomic>
#include <memory>
#include <thread>

namespace quetzal {
namespace {

constexpr gint64 kMicrosecondsInMillisecond = 1'000;

void RunMainLoopFor(gint64 duration_ms) {
  const gint64 until =
      g_get_monotonic_time() + duration_ms * kMicrosecondsInMillisecond;
  while (g_get_monotonic_time() < until) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

class RpcTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcTest);
  CPPUNIT_TEST(GrpcsThreadsReleaseTheLastChannel);
  CPPUNIT_TEST_SUITE_END();

 public:
  // gRPC's threads end with the last channel. One that releases it frees the
  // queue that it works on.
  void GrpcsThreadsReleaseTheLastChannel() {
    constexpr int kRounds = 300;
    const std::thread::id main_thread = std::this_thread::get_id();
    std::atomic<int> released{0};
    std::atomic<int> released_on_other_threads{0};
    for (int round = 0; round < kRounds; ++round) {
      // Released with the last part of the link.
      const std::shared_ptr<void> part(nullptr, [&](void* /*none*/) {
        if (std::this_thread::get_id() != main_thread) {
          ++released_on_other_threads;
        }
        ++released;
      });
      auto link = HelperLink::Open(
          "127.0.0.1:1", {.on_link = [part](bool) {},
                          .on_message = [](const wire::AdviceReply&) {}});
      link.reset();
      RunMainLoopFor(10);
    }
    RunMainLoopFor(1'000);
    CPPUNIT_ASSERT_EQUAL(0, released_on_other_threads.load());
    CPPUNIT_ASSERT_EQUAL(kRounds, released.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);

}  // namespace
}  // namespace quetzal
