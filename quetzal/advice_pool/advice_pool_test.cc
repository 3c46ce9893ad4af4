#include "quetzal/advice_pool/advice_pool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include "quetzal/program/program.h"
#include "quetzal/store/testing/memory_store.h"

namespace quetzal {
namespace {

constexpr Milliseconds kPatience{10'000};

void SoonOnLoop(std::function<void()> function) {
  RunAfter(Milliseconds(1), std::move(function));
}

// Allows every second worker that is named.
class HalfAllowed : public AdviceClient {
 public:
  void Ask(const AdviceQuery& question, Milliseconds /*timeout*/,
           std::function<void(const AdviceAnswer&)> done) override {
    AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                        .validity = Milliseconds(2'500)};
    for (size_t i = 0; i < question.workers.size(); i += 2) {
      answer.permits.push_back({question.workers[i], "t"});
    }
    SoonOnLoop([answer, done = std::move(done)] { done(answer); });
  }
};

bool RunUntil(const std::function<bool()>& condition) {
  const Time until = Now() + kPatience;
  while (!condition() && Now() < until) {
    g_main_context_iteration(nullptr, FALSE);
  }
  return condition();
}

std::string FreeAddress(int offset) {
  // Free of the ports that other tests take; the kernel's range is above.
  constexpr int kFirstPort = 19'400;
  return "127.0.0.1:" + std::to_string(kFirstPort + offset);
}

class AdvicePoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdvicePoolTest);
  CPPUNIT_TEST(AsksThroughTheHelperThatIsNamed);
  CPPUNIT_TEST(APoolMayEndWhileQuestionsAreOpen);
  CPPUNIT_TEST(AQuestionToAHelperThatIsUnknownEndsAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AsksThroughTheHelperThatIsNamed() {
    AdviceHelper helper(FreeAddress(0), "vm-1", &advice_, &store_, &RunAfter,
                        &log_);
    CPPUNIT_ASSERT(helper.Start());
    const std::unique_ptr<AdvicePool> pool = StartPool();
    CPPUNIT_ASSERT(RunUntil([this] { return advisers_.size() == 1; }));
    std::optional<AdviceAnswer> answer;
    pool->Ask(advisers_[0], Question(), Milliseconds(500),
              [&](const AdviceAnswer& given) { answer = given; });
    CPPUNIT_ASSERT(RunUntil([&] { return answer.has_value(); }));
    CPPUNIT_ASSERT(answer->kind == AdviceAnswer::Kind::kAnswered);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, answer->permits.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w-3"), answer->permits[1].worker.text());
  }

  void APoolMayEndWhileQuestionsAreOpen() {
    AdviceHelper helper(FreeAddress(1), "vm-1", &advice_, &store_, &RunAfter,
                        &log_);
    CPPUNIT_ASSERT(helper.Start());
    for (int i = 0; i < 20; ++i) {
      std::unique_ptr<AdvicePool> pool = StartPool();
      CPPUNIT_ASSERT(RunUntil([this] { return advisers_.size() == 1; }));
      pool->Ask(advisers_[0], Question(), Milliseconds(500),
                [](const AdviceAnswer&) {});
      g_main_context_iteration(nullptr, FALSE);
      pool.reset();
      advisers_.clear();
    }
  }

  void AQuestionToAHelperThatIsUnknownEndsAtOnce() {
    const std::unique_ptr<AdvicePool> pool = StartPool();
    bool ended = false;
    pool->Ask(HelperId("vm-9"), Question(), Milliseconds(500),
              [&](const AdviceAnswer& answer) {
                ended = answer.kind == AdviceAnswer::Kind::kNoAnswer;
              });
    CPPUNIT_ASSERT(ended);
  }

 private:
  static AdviceQuery Question() {
    return {.job = JobId("a"),
            .workers = {WorkerId("w-1"), WorkerId("w-2"), WorkerId("w-3")}};
  }

  std::unique_ptr<AdvicePool> StartPool() {
    auto pool = std::make_unique<AdvicePool>(
        &store_, &RunAfter,
        [this](const std::vector<HelperId>& advisers) { advisers_ = advisers; },
        &log_);
    pool->Start();
    return pool;
  }

  EventLog log_{"test"};
  HalfAllowed advice_;
  testing::MemoryStore store_{&SoonOnLoop};
  std::vector<HelperId> advisers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdvicePoolTest);

}  // namespace
}  // namespace quetzal
