#include "quetzal/term_timer/term_timer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "quetzal/store/testing/memory_store.h"
#include "quetzal/store/testing/virtual_clock.h"

namespace quetzal {
namespace {

constexpr int64_t kTerm = 4;
constexpr Milliseconds kValidity{1'150};
constexpr char kTimerKey[] = "term-timer/4/timer";
constexpr char kReferenceKey[] = "term-timer/4/reference";

class TermTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermTimerTest);
  CPPUNIT_TEST(RunsWhileItIsRenewed);
  CPPUNIT_TEST(ATimerThatRanOutHasEnded);
  CPPUNIT_TEST(ATimerThatWasNeverStoredTellsNothing);
  CPPUNIT_TEST(AStoreThatDroppedAllLeasesTellsNothing);
  CPPUNIT_TEST(AStoreThatGivesNoAnswerTellsNothing);
  CPPUNIT_TEST(WithoutRenewalsItCeasesToBeValid);
  CPPUNIT_TEST(BeforeItIsStoredItLimitsNothing);
  CPPUNIT_TEST(AWriteWithoutAnswerLimitsAtOnce);
  CPPUNIT_TEST(ALostTimerIsValidOnlyOnceItIsStoredAgain);
  CPPUNIT_TEST(AnEndedTimerIsNotRenewed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsWhileItIsRenewed() {
    Begin();
    CPPUNIT_ASSERT(Read() == TermTimerState::kRunning);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT(Read() == TermTimerState::kRunning);
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) < Milliseconds(0));
  }

  void ATimerThatRanOutHasEnded() {
    Begin();
    timer_.End();
    Expire(kTimerKey);
    CPPUNIT_ASSERT(Read() == TermTimerState::kEnded);
  }

  void ATimerThatWasNeverStoredTellsNothing() {
    CPPUNIT_ASSERT(Read() == TermTimerState::kUnknown);
  }

  void AStoreThatDroppedAllLeasesTellsNothing() {
    Begin();
    timer_.End();
    Expire(kTimerKey);
    Expire(kReferenceKey);
    CPPUNIT_ASSERT(Read() == TermTimerState::kUnknown);
  }

  void AStoreThatGivesNoAnswerTellsNothing() {
    Begin();
    timer_.End();
    Expire(kTimerKey);
    store_.SetDown(true);
    CPPUNIT_ASSERT(Read() == TermTimerState::kRunning);
  }

  void WithoutRenewalsItCeasesToBeValid() {
    Begin();
    store_.SetDown(true);
    clock_.Advance(kValidity - Milliseconds(300));
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) < Milliseconds(0));
    clock_.Advance(Milliseconds(400));
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) >= Milliseconds(0));
    store_.SetDown(false);
    clock_.Advance(Milliseconds(500));
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) < Milliseconds(0));
  }

  void BeforeItIsStoredItLimitsNothing() {
    store_.SetDown(true);
    timer_.Begin(kTerm);
    clock_.Advance(Milliseconds(5'000));
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) < Milliseconds(0));
  }

  // A successor may read the keys.
  void AWriteWithoutAnswerLimitsAtOnce() {
    store_.DropNextAnswer(/*is_applied=*/true);
    Begin();
    CPPUNIT_ASSERT(Read() == TermTimerState::kRunning);
    store_.SetDown(true);
    clock_.Advance(Milliseconds(1'500));
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) >= Milliseconds(0));
  }

  // Until then a successor takes it for ended.
  void ALostTimerIsValidOnlyOnceItIsStoredAgain() {
    Begin();
    Expire(kTimerKey);
    store_.DropNextAnswer(/*is_applied=*/false);
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(Read() == TermTimerState::kEnded);
    CPPUNIT_ASSERT(timer_.TimeWithoutRenewal(clock_.now()) >= Milliseconds(0));
  }

  void AnEndedTimerIsNotRenewed() {
    Begin();
    const LeaseId lease = store_.Find(kTimerKey)->lease;
    timer_.End();
    store_.ExpireLease(lease);
    clock_.Advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(store_.Find(kTimerKey) == nullptr);
  }

 private:
  void Begin() {
    timer_.Begin(kTerm);
    clock_.Advance(Milliseconds(300));
  }
  void Expire(const char* key) { store_.ExpireLease(store_.Find(key)->lease); }
  TermTimerState Read() {
    std::optional<TermTimerState> state;
    ReadTermTimer(&store_, kTerm, [&](TermTimerState read) { state = read; });
    clock_.Advance(Milliseconds(2));
    CPPUNIT_ASSERT(state.has_value());
    return *state;
  }

  testing::VirtualClock clock_;
  testing::MemoryStore store_{clock_.AfterOneMillisecond()};
  EventLog log_{"test",
                {.lines_per_second = 0, .important_lines_per_second = 0}};
  TermTimer timer_{&store_,
                   {.duration = Milliseconds(8'000), .validity = kValidity},
                   clock_.Timer(),
                   [this] { return clock_.now(); },
                   &log_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermTimerTest);

}  // namespace
}  // namespace quetzal
