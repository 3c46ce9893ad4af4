// Shows that each mechanism is needed and that the checker detects its absence:
// with the mechanism switched off, the scenario and faults violate the
// guarantee that it provides; with the mechanism on, the same run has no
// violation.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>

#include "tests/support/checker.h"
#include "tests/support/faults.h"
#include "tests/support/scenario.h"

namespace quetzal::testing {
namespace {

constexpr Milliseconds kLongCut{22'000};
constexpr Milliseconds kWorkerCut{10'000};

using Change = std::function<void(WorldSettings*)>;
using AddWork = std::function<void(World*)>;

void AddNoWork(World* /*world*/) {}

// Tasks long enough to still run when another attempt of them starts.
void LongTasks(World* world) {
  world->SubmitJob("entry-a-1",
                   {.queue = "red-q",
                    .key = "key-red",
                    .idempotent = true,
                    .run_ms = 12'000,
                    .size = {.cpu_milli = 300, .memory_mib = 64}},
                   wire::WORK_CLASS_BATCH, 30);
}

// More concurrent requests of one team than its limit allows.
void RequestsAboveTeamLimit(World* world) {
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    world->Submit(i % 2 == 0 ? "entry-a-1" : "entry-b-1",
                  {.queue = "blue-q", .key = "key-blue", .run_ms = 900});
  }
}

// Callers whose deadlines pass while their work runs.
void CallersWithShortDeadlines(World* world) {
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    world->Submit("entry-a-1", {.queue = "red-q",
                                .key = "key-red",
                                .run_ms = 6'000,
                                .deadline = Milliseconds(1'000)});
  }
}

// Long requests that are in flight when the scenario drains their entry.
void RequestsOfADrainingEntry(World* world) {
  constexpr Milliseconds kBeforeDrain{11'500};
  world->At(world->now() + kBeforeDrain, [world] {
    for (int i = 0; i < 3; ++i) {
      world->Submit("entry-b-2",
                    {.queue = "red-q", .key = "key-red", .run_ms = 3'000});
    }
  });
}

// Record updates from peers are delayed, and the link from the platform to one
// entry is cut periodically while a record changes every 60 ms.
void DelayedUpdatesOfFastChanges(World* world) {
  constexpr int kChanges = 260;
  constexpr int64_t kIntervalMs = 60;
  constexpr int kCuts = 4;
  constexpr int64_t kHalfPeriodMs = 2'000;
  world->SetMessageRule([](const MessageView& message) {
    return message.kind == "records" ? MessageFate::kDelay
                                     : MessageFate::kDeliver;
  });
  for (int i = 0; i < kChanges; ++i) {
    world->At(world->now() + Milliseconds(i * kIntervalMs), [world, i] {
      world->Apply("queue/open-q", OpenQueueRecord(100 + i));
    });
  }
  for (int i = 0; i < kCuts; ++i) {
    const Time from = world->now() + Milliseconds(2 * i * kHalfPeriodMs);
    world->At(from, [world] { world->Cut("platform", "entry-a-1"); });
    world->At(from + Milliseconds(kHalfPeriodMs),
              [world] { world->HealCuts(); });
  }
}

// One worker is unreachable for longer than gang_hold_ttl, so that it never
// starts its tasks of the gang.
void GangWhileAWorkerIsUnreachable(World* world) {
  const std::string placer = world->ActivePlacer("a");
  world->Cut(placer, "worker-a-2");
  world->Cut("worker-a-2", placer);
  world->At(world->now() + kWorkerCut, [world] { world->HealCuts(); });
  world->SubmitJob("entry-a-1",
                   {.queue = "red-q",
                    .key = "key-red",
                    .idempotent = true,
                    .run_ms = 12'000,
                    .size = {.cpu_milli = 1'100, .memory_mib = 64}},
                   wire::WORK_CLASS_GANG, 6);
}

class MechanismTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MechanismTest);
  CPPUNIT_TEST(WithoutEpochsTasksRunInTwoPlaces);
  CPPUNIT_TEST(WithoutInventoriesNonIdempotentWorkRunsTwice);
  CPPUNIT_TEST(WithoutLimitsTeamsRunTooMuch);
  CPPUNIT_TEST(WithoutLedgerWorkersExceedTheirCapacity);
  CPPUNIT_TEST(WithoutFreshnessARevokedKeyStaysValid);
  CPPUNIT_TEST(WithoutLeavingChecksLeavingWorkersGetWork);
  CPPUNIT_TEST(WithoutIdsAnswersReachOtherCallers);
  CPPUNIT_TEST(WithoutUnknownFatesNotRunIsReportedWrongly);
  CPPUNIT_TEST(WithoutDrainingShutdownCutsRequestsOff);
  CPPUNIT_TEST(WithoutRevisionsRecordsGoBack);
  CPPUNIT_TEST(WithoutHeldTasksAGangStartsPartially);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutEpochsTasksRunInTwoPlaces() {
    ExpectViolationWithoutMechanism(
        Guarantee::kSinglePlacement,
        {Find("send", "freeze receiver past leases")},
        [](WorldSettings* settings) {
          settings->workers_check_contracts = false;
        },
        LongTasks);
  }

  void WithoutInventoriesNonIdempotentWorkRunsTwice() {
    ExpectViolationWithoutMechanism(
        Guarantee::kAtMostOnce, {Find("settle", "kill sender")},
        [](WorldSettings* settings) {
          settings->placer.awaits_inventories = false;
        });
  }

  void WithoutLimitsTeamsRunTooMuch() {
    ExpectViolationWithoutMechanism(
        Guarantee::kLimit, {},
        [](WorldSettings* settings) {
          settings->placer.enforces_limits = false;
        },
        RequestsAboveTeamLimit);
  }

  void WithoutLedgerWorkersExceedTheirCapacity() {
    ExpectViolationWithoutMechanism(Guarantee::kCapacity, {},
                                    [](WorldSettings* settings) {
                                      settings->placer.tracks_capacity = false;
                                      settings->placer.enforces_limits = false;
                                    });
  }

  // The key is withdrawn while the domain is cut off from the platform.
  void WithoutFreshnessARevokedKeyStaysValid() {
    ExpectViolationWithoutMechanism(
        Guarantee::kKeyAuthorization, {LongCutBeforeRevocation()},
        [](WorldSettings* settings) {
          settings->entry.freshness = Milliseconds(10'000'000);
        });
  }

  void WithoutLeavingChecksLeavingWorkersGetWork() {
    ExpectViolationWithoutMechanism(
        Guarantee::kLeaving, {}, [](WorldSettings* settings) {
          settings->placer.avoids_leaving_workers = false;
          settings->workers_refuse_when_leaving = false;
        });
  }

  void WithoutIdsAnswersReachOtherCallers() {
    ExpectViolationWithoutMechanism(
        Guarantee::kCompleteAnswer, {},
        [](WorldSettings* settings) { settings->entry.matches_by_id = false; });
  }

  void WithoutUnknownFatesNotRunIsReportedWrongly() {
    ExpectViolationWithoutMechanism(
        Guarantee::kNotRun, {Find("run", "cut")},
        [](WorldSettings* settings) {
          settings->entry.reports_unknown_fate = false;
        },
        CallersWithShortDeadlines);
  }

  void WithoutDrainingShutdownCutsRequestsOff() {
    ExpectViolationWithoutMechanism(
        Guarantee::kGracefulShutdown, {},
        [](WorldSettings* settings) {
          settings->entries_end_when_idle = false;
        },
        RequestsOfADrainingEntry);
  }

  void WithoutRevisionsRecordsGoBack() {
    ExpectViolationWithoutMechanism(
        Guarantee::kConfiguration, {},
        [](WorldSettings* settings) {
          settings->records_check_revisions = false;
        },
        DelayedUpdatesOfFastChanges);
  }

  void WithoutHeldTasksAGangStartsPartially() {
    ExpectViolationWithoutMechanism(
        Guarantee::kGangAtomicity, {},
        [](WorldSettings* settings) {
          settings->placer.holds_gang_tasks = false;
        },
        GangWhileAWorkerIsUnreachable);
  }

 private:
  static PlannedFault Find(const std::string& step, const std::string& fault) {
    PlannedFault planned;
    for (const Step& each : AllSteps()) {
      if (each.name == step) planned.step = each;
    }
    for (const Fault& each : AllFaults()) {
      if (each.name == fault) planned.fault = each;
    }
    return planned;
  }

  // Cuts domain a off from the platform for longer than `kPropagationBound`;
  // peers in domain b can't forward record updates to it.
  static PlannedFault LongCutBeforeRevocation() {
    // Any fault of this step will do: `inject` is replaced.
    PlannedFault planned = Find("revoke", "operators race");
    planned.fault.inject = [](World* world, const MessageView&) {
      for (const char* const name :
           {"entry-a-1", "entry-a-2", "placer-a-1", "placer-a-2"}) {
        world->Cut("platform", name);
        world->Cut(name, "platform");
      }
      world->At(world->now() + kLongCut, [world] { world->HealCuts(); });
      // Callers keep using the revoked key in the domain.
      constexpr int kCalls = 60;
      constexpr int64_t kIntervalMs = 350;
      for (int i = 0; i < kCalls; ++i) {
        world->At(world->now() + Milliseconds(i * kIntervalMs), [world] {
          world->Submit("entry-a-1", {.queue = "red-q", .key = "key-green"});
        });
      }
    };
    return planned;
  }

  static std::vector<Violation> RunOnce(
      const WorldSettings& settings,
      const std::vector<PlannedFault>& planned_faults, const AddWork& add_work,
      uint64_t seed) {
    World world(settings, seed);
    ApplyInitialRecords(&world);
    world.Run(Milliseconds(3'000));
    const FaultInjector injector(&world, planned_faults, seed);
    add_work(&world);
    ScheduleWorkload(&world);
    world.Run(kWorkloadTime + Milliseconds(36'000));
    world.RefreshJobStates();
    world.Run(Milliseconds(2'000));
    return Check(world);
  }

  static void ExpectViolationWithoutMechanism(
      Guarantee guarantee, const std::vector<PlannedFault>& planned_faults,
      const Change& switch_off, const AddWork& add_work = AddNoWork) {
    constexpr uint64_t kSeeds = 10;
    size_t broken = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::vector<Violation> with =
          RunOnce(ShortLeaseSettings(), planned_faults, add_work, seed);
      CPPUNIT_ASSERT_MESSAGE(
          with.empty() ? "" : NameOf(with[0].guarantee) + (": " + with[0].what),
          with.empty());
      WorldSettings settings = ShortLeaseSettings();
      switch_off(&settings);
      for (const Violation& violation :
           RunOnce(settings, planned_faults, add_work, seed)) {
        if (violation.guarantee != guarantee) continue;
        ++broken;
        break;
      }
    }
    std::cout << NameOf(guarantee) << " broken in " << broken << " of "
              << kSeeds << " runs without its mechanism, in 0 with it\n";
    CPPUNIT_ASSERT_MESSAGE(NameOf(guarantee), broken > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MechanismTest);

}  // namespace
}  // namespace quetzal::testing
