// Property tests of the decision core. RapidCheck generates random
// interleavings from a fixed seed.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

#include "quetzal/allotment/allotment.h"
#include "quetzal/ledger/ledger.h"
#include "quetzal/record_store/record_store.h"
#include "tests/support/checker.h"
#include "tests/support/faults.h"
#include "tests/support/scenario.h"

namespace quetzal::testing {
namespace {

Time At(int64_t ms) { return Time(Milliseconds(ms)); }

std::string TeamText(int share) {
  return R"({"schema":"v2","kind":"team","name":"t","share":)" +
         std::to_string(share) + "}";
}

// One failure domain's allotments, their use, and a write in flight to the
// platform.
struct Domain {
  explicit Domain(const std::string& name,
                  const std::vector<FailureDomainId>& all)
      : allotments(FailureDomainId(name), all, DivisionPolicy::kDemand) {}
  AllotmentManager allotments;
  Resources used;
  std::optional<AllotmentWrite> pending;
};

class PropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropertyTest);
  CPPUNIT_TEST(RecordsNeverRevertWhateverTheOrderOfUpdates);
  CPPUNIT_TEST(SumOfAllotmentsNeverExceedsTheLimit);
  CPPUNIT_TEST(LedgerNeverPicksAWorkerWithoutFreeCapacity);
  CPPUNIT_TEST(LedgerIsEmptyAfterAllAttemptsAreReleased);
  CPPUNIT_TEST(NoGuaranteeIsViolatedUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  }

  // A record store receives a history of writes as watch updates and snapshots,
  // some of them repeated, reordered or missing.
  void RecordsNeverRevertWhateverTheOrderOfUpdates() {
    const bool holds = rc::check([] {
      const auto length = *rc::gen::inRange<uint64_t>(2, 20);
      const auto updates =
          *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
              rc::gen::inRange<int>(0, static_cast<int>(length)),
              rc::gen::inRange<int>(1, static_cast<int>(length) + 1)));
      RecordStore store;
      uint64_t max_revision = 0;
      for (const auto& [base, revision] : updates) {
        if (base >= revision) continue;
        wire::RecordUpdate update;
        update.set_base(static_cast<uint64_t>(base));
        update.set_revision(static_cast<uint64_t>(revision));
        const int first = base == 0 ? revision : base + 1;
        for (int at = first; at <= revision; ++at) {
          wire::RecordChange* const change = update.add_changes();
          change->set_revision(static_cast<uint64_t>(at));
          change->set_path("team/t");
          change->set_value(TeamText(at));
        }
        store.Apply(update, At(0));
        const auto now = static_cast<uint64_t>(store.revision());
        RC_ASSERT(now >= max_revision);
        max_revision = now;
        // The record in force is the one of the highest revision.
        if (max_revision > 0) {
          RC_ASSERT(store.Team(TeamId("t")) != nullptr);
          RC_ASSERT(store.Team(TeamId("t"))->share ==
                    static_cast<int64_t>(max_revision));
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Domains read the stored value late, and their writes take effect late or
  // never. Each domain uses its whole limit.
  void SumOfAllotmentsNeverExceedsTheLimit() {
    const bool holds = rc::check([] {
      const TeamId team("t");
      const Resources limit = {
          .cpu_milli = 1'000, .memory_mib = 999, .slots = 7};
      const std::vector<FailureDomainId> names = {
          FailureDomainId("a"), FailureDomainId("b"), FailureDomainId("c")};
      std::vector<Domain> domains;
      domains.reserve(names.size());
      for (const FailureDomainId& name : names) {
        domains.emplace_back(name.text(), names);
      }
      std::optional<wire::TeamAllotment> stored;
      uint64_t revision = 0;
      int64_t now = 0;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 6)));
      for (const auto& [index, action] : steps) {
        now += 3'000;
        Domain& domain = domains[static_cast<size_t>(index)];
        const Resources domain_limit =
            domain.allotments.DomainLimit(team, limit);
        switch (action) {
          case 0:  // work arrives and uses the whole limit
            domain.used = domain_limit;
            domain.allotments.SetDemand(team, domain.used, limit);
            break;
          case 1:  // work ends
            domain.used = {};
            domain.allotments.SetDemand(team, {}, {});
            break;
          case 2:  // the domain reads the stored value
            domain.allotments.OnMissing(team);
            if (stored) {
              domain.allotments.OnStored(team, *stored, Revision{revision});
            }
            break;
          case 3:  // the domain sends a write
            if (!domain.pending) {
              domain.pending =
                  domain.allotments.NextWrite(team, limit, At(now));
            }
            break;
          case 4:    // the write takes effect, and the answer arrives
          case 5: {  // ... or is lost
            if (!domain.pending) break;
            const bool fits =
                static_cast<uint64_t>(domain.pending->expected) == revision;
            if (fits) {
              stored = domain.pending->value;
              ++revision;
            }
            const bool reported = fits && action == 4;
            domain.allotments.OnWritten(
                team,
                reported ? std::optional(Revision{revision}) : std::nullopt);
            domain.pending.reset();
            break;
          }
          default:
            break;
        }
        Resources used;
        for (const Domain& each : domains) used += each.used;
        RC_ASSERT(used.FitsIn(limit));
        Resources domain_limits;
        for (const Domain& each : domains) {
          // Running work counts also where the limit has dropped below it.
          domain_limits +=
              Max(each.used, each.allotments.DomainLimit(team, limit));
        }
        RC_ASSERT(domain_limits.FitsIn(limit));
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void LedgerNeverPicksAWorkerWithoutFreeCapacity() {
    const bool holds = rc::check([] {
      Ledger ledger;
      std::map<WorkerId, Resources> free_capacity;
      const Resources capacity = {
          .cpu_milli = 4'000, .memory_mib = 4'096, .slots = 4};
      for (int i = 0; i < 5; ++i) {
        const WorkerId worker("w" + std::to_string(i));
        ledger.SetWorker({.id = worker,
                          .rack = RackId("r" + std::to_string(i % 2)),
                          .capacity = capacity});
        ledger.SetOpen(worker, true);
        free_capacity[worker] = capacity;
      }
      const auto sizes = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(1, 4'000), rc::gen::inRange(0, 4)));
      int number = 0;
      for (const auto& [cpu, policy] : sizes) {
        const Resources size = {
            .cpu_milli = cpu, .memory_mib = cpu / 2, .slots = cpu % 2};
        const auto worker =
            ledger.Pick({.size = size,
                         .policy = static_cast<PlacementPolicy>(policy),
                         .group = "g"});
        const bool fits_somewhere = std::any_of(
            free_capacity.begin(), free_capacity.end(),
            [&](const auto& entry) { return size.FitsIn(entry.second); });
        RC_ASSERT(worker.has_value() == fits_somewhere);
        if (!worker) continue;
        RC_ASSERT(size.FitsIn(free_capacity[*worker]));
        free_capacity[*worker] -= size;
        ledger.Charge(AttemptId(std::to_string(number++)), {.worker = *worker,
                                                            .team = TeamId("t"),
                                                            .size = size,
                                                            .group = "g"});
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void LedgerIsEmptyAfterAllAttemptsAreReleased() {
    const bool holds = rc::check([](const std::vector<uint8_t>& order) {
      Ledger ledger;
      ledger.SetWorker({.id = WorkerId("w"),
                        .rack = RackId("r"),
                        .capacity = {.cpu_milli = 100'000}});
      for (size_t i = 0; i < order.size(); ++i) {
        ledger.Charge(AttemptId(std::to_string(order[i])),
                      {.worker = WorkerId("w"),
                       .team = TeamId(std::to_string(order[i] % 3)),
                       .size = {.cpu_milli = order[i]},
                       .group = "g"});
      }
      for (const uint8_t id : order) {
        ledger.Release(AttemptId(std::to_string(id)));
      }
      RC_ASSERT(ledger.Charged(WorkerId("w")).IsZero());
      RC_ASSERT(ledger.Usage().empty());
      RC_ASSERT(ledger.AttemptCount(WorkerId("w")) == 0U);
    });
    CPPUNIT_ASSERT(holds);
  }

  // Up to three faults at random steps, generated and shrunk by RapidCheck.
  void NoGuaranteeIsViolatedUnderRandomFaults() {
    const bool holds = rc::check([] {
      const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
      const auto step_fault_pairs =
          *rc::gen::container<std::vector<std::pair<int, int>>>(
              3, rc::gen::pair(rc::gen::inRange<int>(
                                   0, static_cast<int>(AllSteps().size())),
                               rc::gen::inRange<int>(
                                   0, static_cast<int>(AllFaults().size()))));
      std::vector<PlannedFault> planned_faults;
      for (const auto& [step, fault] : step_fault_pairs) {
        const PlannedFault planned{AllSteps()[static_cast<size_t>(step)],
                                   AllFaults()[static_cast<size_t>(fault)]};
        if (IsApplicable(planned.step, planned.fault)) {
          planned_faults.push_back(planned);
        }
      }
      World world(ShortLeaseSettings(), seed);
      ApplyInitialRecords(&world);
      world.Run(Milliseconds(3'000));
      const FaultInjector injector(&world, planned_faults, seed);
      ScheduleWorkload(&world);
      world.Run(kWorkloadTime + Milliseconds(40'000));
      world.RefreshJobStates();
      world.Run(Milliseconds(2'000));
      for (const Violation& violation : Check(world)) {
        RC_FAIL(std::string(NameOf(violation.guarantee)) + ": " +
                violation.what);
      }
      for (const std::string& work : UnfinishedWork(world)) RC_FAIL(work);
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropertyTest);

}  // namespace
}  // namespace quetzal::testing
