#include "quetzal/advice_pool/advice_pool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <thread>

#include "quetzal/program/program.h"
#include "quetzal/store/testing/memory_store.h"

namespace quetzal {
namespace {

constexpr Milliseconds kTestTimeout{10'000};

void RunAfterOneMillisecond(std::function<void()> function) {
  RunAfter(Milliseconds(1), std::move(function));
}

// Allows every second worker of a query.
class EverySecondWorkerAllowed : public AdviceClient {
 public:
  void Ask(const AdviceQuery& query, Milliseconds /*timeout*/,
           std::function<void(const AdviceAnswer&)> done) override {
    AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                        .validity = Milliseconds(2'500)};
    for (size_t i = 0; i < query.workers.size(); i += 2) {
      answer.permits.push_back({query.workers[i], "t"});
    }
    RunAfterOneMillisecond([this, answer, done = std::move(done)] {
      done(answer);
      if (pause_.count() > 0) std::this_thread::sleep_for(pause_);
    });
  }

  // Of the main loop, after each answer.
  Milliseconds pause_{0};
};

bool RunUntil(const std::function<bool()>& condition) {
  const Time until = Now() + kTestTimeout;
  while (!condition() && Now() < until) {
    g_main_context_iteration(nullptr, FALSE);
  }
  return condition();
}

std::string FreeAddress(int offset) {
  // Not used by other tests, and below the kernel's ephemeral ports.
  constexpr int kFirstPort = 19'400;
  return "127.0.0.1:" + std::to_string(kFirstPort + offset);
}

class AdvicePoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdvicePoolTest);
  CPPUNIT_TEST(SendsTheQueryToTheNamedHelper);
  CPPUNIT_TEST(CanBeDestroyedWithPendingQueries);
  CPPUNIT_TEST(QueryToAnUnknownHelperFailsAtOnce);
  CPPUNIT_TEST(AReplyThatArrivesDuringAPauseIsHandled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SendsTheQueryToTheNamedHelper() {
    AdviceHelper helper(FreeAddress(0), "vm-1", &advice_, &store_, &RunAfter,
                        &log_);
    CPPUNIT_ASSERT(helper.Start());
    const std::unique_ptr<AdvicePool> pool = StartPool();
    CPPUNIT_ASSERT(RunUntil([this] { return helpers_.size() == 1; }));
    std::optional<AdviceAnswer> answer;
    pool->Ask(helpers_[0], Query(), Milliseconds(500),
              [&](const AdviceAnswer& given) { answer = given; });
    CPPUNIT_ASSERT(RunUntil([&] { return answer.has_value(); }));
    CPPUNIT_ASSERT(answer->kind == AdviceAnswer::Kind::kAnswered);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, answer->permits.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w-3"), answer->permits[1].worker.text());
  }

  void CanBeDestroyedWithPendingQueries() {
    AdviceHelper helper(FreeAddress(1), "vm-1", &advice_, &store_, &RunAfter,
                        &log_);
    CPPUNIT_ASSERT(helper.Start());
    for (int i = 0; i < 20; ++i) {
      std::unique_ptr<AdvicePool> pool = StartPool();
      CPPUNIT_ASSERT(RunUntil([this] { return helpers_.size() == 1; }));
      pool->Ask(helpers_[0], Query(), Milliseconds(500),
                [](const AdviceAnswer&) {});
      g_main_context_iteration(nullptr, FALSE);
      pool.reset();
      helpers_.clear();
    }
  }

  void QueryToAnUnknownHelperFailsAtOnce() {
    const std::unique_ptr<AdvicePool> pool = StartPool();
    bool failed = false;
    pool->Ask(HelperId("vm-9"), Query(), Milliseconds(500),
              [&](const AdviceAnswer& answer) {
                failed = answer.kind == AdviceAnswer::Kind::kNoAnswer;
              });
    CPPUNIT_ASSERT(failed);
  }

  void AReplyThatArrivesDuringAPauseIsHandled() {
    advice_.pause_ = Milliseconds(800);
    AdviceHelper helper(FreeAddress(2), "vm-1", &advice_, &store_, &RunAfter,
                        &log_);
    CPPUNIT_ASSERT(helper.Start());
    const std::unique_ptr<AdvicePool> pool = StartPool();
    CPPUNIT_ASSERT(RunUntil([this] { return helpers_.size() == 1; }));
    std::optional<AdviceAnswer> answer;
    pool->Ask(helpers_[0], Query(), Milliseconds(500),
              [&](const AdviceAnswer& given) { answer = given; });
    CPPUNIT_ASSERT(RunUntil([&] { return answer.has_value(); }));
    CPPUNIT_ASSERT(answer->kind == AdviceAnswer::Kind::kAnswered);
  }

 private:
  static AdviceQuery Query() {
    return {.job = JobId("a"),
            .workers = {WorkerId("w-1"), WorkerId("w-2"), WorkerId("w-3")}};
  }

  std::unique_ptr<AdvicePool> StartPool() {
    auto pool = std::make_unique<AdvicePool>(
        &store_, &RunAfter,
        [this](const std::vector<HelperId>& helpers) { helpers_ = helpers; },
        &log_);
    pool->Start();
    return pool;
  }

  EventLog log_{"test"};
  EverySecondWorkerAllowed advice_;
  testing::MemoryStore store_{&RunAfterOneMillisecond};
  std::vector<HelperId> helpers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdvicePoolTest);

}  // namespace
}  // namespace quetzal
