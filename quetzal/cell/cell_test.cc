#include "quetzal/cell/cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace quetzal {
namespace {

constexpr Fence kFence{7};
constexpr int64_t kRunFloor = 16;

// A worker that does as it is told, under its own clock.
struct FakeWorker {
  WorkerEntry entry;
  int64_t clock_ms = 100'000;
  int64_t next_end = 1;
  bool silent = false;
  std::optional<int> fixed_percent;
  std::map<TaskName, int64_t> running;
  std::vector<EndedTask> ended;
  int64_t last_seen = 0;

  void End(const TaskName& task, EndKind how) {
    ended.push_back({next_end++, task, running.at(task), how, ""});
    running.erase(task);
  }
};

// Drives a cell in virtual time against fake workers; advice allows all.
class Fleet {
 public:
  explicit Fleet(int workers, std::optional<AdviceTerms> advice = std::nullopt)
      : advice_(advice) {
    for (int i = 0; i < workers; ++i) {
      FakeWorker worker;
      worker.entry.id = WorkerId("w-" + std::to_string(i));
      worker.entry.address = "10.0.0." + std::to_string(i) + ":1";
      worker.entry.service = ServiceId("s");
      worker.entry.capacity = {.cpu_milli = 4'000, .memory_mib = 4'000};
      worker.entry.incarnation = Incarnation{1};
      workers_[worker.entry.id] = worker;
    }
    NewTerm(kFence, kRunFloor);
  }

  // A placer takes over: all it knows comes from workers and from `stored`.
  enum class Configuration { kKnown, kOnTheWay };

  void NewTerm(Fence fence, int64_t run_floor,
               Configuration configuration = Configuration::kKnown) {
    cell_ = std::make_unique<Cell>(CellSettings{}, fence, run_floor, now_,
                                   &log_, &metrics_);
    actions_.clear();
    if (configuration == Configuration::kKnown) Configure();
    for (const auto& [id, worker] : workers_) {
      if (!unlisted_.contains(id)) cell_->OnWorkerEntry(worker.entry, now_);
    }
    cell_->OnWorkersListed(now_);
    cell_->OnRoster(roster_, now_);
    cell_->OnAdvisers({AdviserId("vm-1")});
  }
  void Configure() { cell_->OnCatalog(MakeCatalog(), now_); }
  void Recover() {
    cell_->OnJobsListed(now_);
    Run(Milliseconds(20));
  }

  std::shared_ptr<const Catalog> MakeCatalog() const {
    Queue queue{.name = QueueId("q"),
                .service = ServiceId("s"),
                .most_attempts = 2,
                .slack_factor = 2,
                .latency_target = Milliseconds(1'000),
                .advice = advice_};
    Team team{.name = TeamId("t"), .weight = 100, .limit = limit_};
    return std::make_shared<const Catalog>(1, std::vector{queue},
                                           std::vector<ServiceTerms>{},
                                           std::vector{team}, CatalogLimits{});
  }
  void SetLimit(Resources limit) {
    limit_ = limit;
    Configure();
  }

  static AcceptedJob AJob(const std::string& id, std::vector<StepSpec> steps) {
    AcceptedJob job;
    job.id = JobId(id);
    job.team = TeamId("t");
    job.queue = QueueId("q");
    job.service = ServiceId("s");
    job.spec.steps = std::move(steps);
    return job;
  }
  static StepSpec AStep(int count, int64_t cpu = 1'000) {
    return {.count = count,
            .demand = {.cpu_milli = cpu, .memory_mib = 100},
            .estimated_run_time = Milliseconds(500)};
  }

  void Run(Milliseconds span) {
    const Time until = now_ + span;
    while (now_ < until) {
      now_ += Milliseconds(10);
      for (auto& [id, worker] : workers_) worker.clock_ms += 10;
      cell_->Decide(now_);
      for (const CellAction& action : cell_->TakeActions()) Serve(action);
      if (store_up_) Store();
    }
  }

  // Writes are taken and answered at once unless the store is down.
  void Store() {
    if (const auto roster = cell_->TakeRosterWrite(now_)) {
      if (stores_roster_) roster_ = *DecodeRoster(*roster);
      cell_->OnRosterWritten(stores_roster_);
    }
    for (const ProgressWrite& write : cell_->TakeWrites(100)) {
      stored_[write.job] = write;
      cell_->OnStored(write.job, write.version);
    }
  }

  void Serve(const CellAction& action) {
    struct Visitor {
      Fleet* fleet;
      void operator()(const HoldAction& a) const { fleet->ServeHold(a); }
      void operator()(const StartAction& a) const { fleet->ServeStart(a); }
      void operator()(const StopAction& a) const { fleet->ServeStop(a); }
      void operator()(const AskAction& a) const { fleet->ServeAsk(a); }
      void operator()(const ResignAction&) const { ++fleet->resignations_; }
    };
    std::visit(Visitor{this}, action);
  }

  void ServeHold(const HoldAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    HoldAnswer answer;
    if (!worker.silent) {
      worker.last_seen = std::max(worker.last_seen, action.request.last_seen);
      std::erase_if(worker.ended, [&](const EndedTask& ended) {
        return ended.number <= worker.last_seen;
      });
      answer = {.outcome = OrderOutcome::kDone,
                .clock = WorkerClock{worker.clock_ms},
                .incarnation = worker.entry.incarnation,
                .ended = worker.ended};
      for (const auto& [task, run] : worker.running) {
        const int percent = worker.fixed_percent.value_or(
            static_cast<int>(worker.clock_ms % 97));
        answer.running.push_back({task, run, "", percent});
      }
    }
    cell_->OnHold(action.worker.id, action.request, now_, answer, now_);
  }

  void ServeStart(const StartAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    starts_.push_back(action);
    OrderAnswer answer;
    if (start_outcome_ == OrderOutcome::kDone && !worker.silent) {
      worker.running[action.order.task] = action.order.run;
      const Resources used =
          size_ * static_cast<int64_t>(worker.running.size());
      if (!used.FitsIn(worker.entry.capacity)) over_capacity_ = true;
    }
    if (!worker.silent) {
      answer = {start_outcome_, WorkerClock{worker.clock_ms}};
    }
    cell_->OnStart(action.worker.id, action.order, answer, now_);
  }

  void ServeStop(const StopAction& action) {
    FakeWorker& worker = workers_.at(action.worker.id);
    ++stops_;
    OrderAnswer answer;
    if (!worker.silent) {
      if (worker.running.contains(action.order.task)) {
        worker.End(action.order.task, EndKind::kStopped);
      }
      answer = {OrderOutcome::kDone, WorkerClock{worker.clock_ms}};
    }
    cell_->OnStop(action.worker.id, action.order, answer, now_);
  }

  void ServeAsk(const AskAction& action) {
    ++questions_;
    AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                        .validity = Milliseconds(2'500)};
    for (const WorkerId& worker : action.question.workers) {
      if (!forbidden_.contains(worker)) answer.permits.push_back({worker, "p"});
    }
    cell_->OnAdvice(action.adviser, action.question, answer, now_);
  }

  size_t running() const {
    size_t count = 0;
    for (const auto& [id, worker] : workers_) count += worker.running.size();
    return count;
  }
  FakeWorker& WorkerOf(const TaskName& task) {
    for (auto& [id, worker] : workers_) {
      if (worker.running.contains(task)) return worker;
    }
    CPPUNIT_FAIL("the task doesn't run");
    throw std::logic_error("unreachable");
  }
  std::vector<TaskName> RunningTasks() const {
    std::vector<TaskName> tasks;
    for (const auto& [id, worker] : workers_) {
      for (const auto& [task, run] : worker.running) tasks.push_back(task);
    }
    return tasks;
  }
  JobState StoredState(const std::string& id) const {
    const auto found = stored_.find(JobId(id));
    if (found == stored_.end()) return JobState::kQueued;
    return DecodeState(found->second.value).value_or(JobState::kQueued);
  }

  Cell* cell() { return cell_.get(); }
  Time now() const { return now_; }

  std::map<WorkerId, FakeWorker> workers_;
  RosterEntries roster_;
  bool stores_roster_ = true;
  std::set<WorkerId> unlisted_;  // not in the platform's list
  std::map<JobId, ProgressWrite> stored_;
  std::vector<StartAction> starts_;
  std::set<WorkerId> forbidden_;
  OrderOutcome start_outcome_ = OrderOutcome::kDone;
  Resources size_{.cpu_milli = 1'000, .memory_mib = 100};
  bool store_up_ = true;
  bool over_capacity_ = false;
  int stops_ = 0;
  int questions_ = 0;
  int resignations_ = 0;

 private:
  std::optional<AdviceTerms> advice_;
  Resources limit_;
  EventLog log_{"test", {.lines_per_second = 0}};
  Metrics metrics_;
  Time now_{Milliseconds(1'000'000)};
  std::unique_ptr<Cell> cell_;
  std::vector<CellAction> actions_;
};

TaskName Task(const std::string& job, int step, int index) {
  return {JobId(job), 0, step, index};
}

class CellTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellTest);
  CPPUNIT_TEST(RunsAJobOfStepsToItsEnd);
  CPPUNIT_TEST(NeverBringsAWorkerOverItsCapacity);
  CPPUNIT_TEST(KeepsATeamWithinItsLimit);
  CPPUNIT_TEST(FailsAJobAfterItsAttempts);
  CPPUNIT_TEST(AGangStartsWholeOrNotAtAll);
  CPPUNIT_TEST(AGangsFailureCountsWhicheverMemberIsToldFirst);
  CPPUNIT_TEST(AStartWithoutAnAnswerIsStoppedBeforeAnother);
  CPPUNIT_TEST(AcknowledgesEndsOnlyOnceStored);
  CPPUNIT_TEST(ANewPlacerAdoptsWhatRuns);
  CPPUNIT_TEST(ANewPlacerWaitsForAWorkerThatItCannotReach);
  CPPUNIT_TEST(ANewPlacerAsksAWorkerThatTheListForgot);
  CPPUNIT_TEST(AWorkerThatStaysOffTheListIsGone);
  CPPUNIT_TEST(AWorkerOutsideTheStoredRosterGetsNothing);
  CPPUNIT_TEST(ANewPlacerJudgesNothingBeforeTheConfigurationCame);
  CPPUNIT_TEST(ARunOfAJobNotKnownYetIsNeitherStoppedNorDoubled);
  CPPUNIT_TEST(AnEndOfAJobNotKnownYetIsNotLost);
  CPPUNIT_TEST(FailuresToldInAnyOrderCountOnceEach);
  CPPUNIT_TEST(ACancelThatIsToldBeforeItsJob);
  CPPUNIT_TEST(ACutWorkersTasksStartElsewhereOnlyAfterTheLease);
  CPPUNIT_TEST(OnlyAllowedWorkersAreUsed);
  CPPUNIT_TEST(OneWriteOfAJobAtATime);
  CPPUNIT_TEST(ADrainingWorkerGetsNothingNew);
  CPPUNIT_TEST(ARunThatHasJustBegunDoesNotStandStill);
  CPPUNIT_TEST(ARunThatTakesLongerThanThoughtGoesOn);
  CPPUNIT_TEST(ARunThatStandsStillStartsElsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAJobOfStepsToItsEnd() {
    Fleet fleet(2);
    fleet.Recover();
    StepSpec second = Fleet::AStep(1);
    second.after = {0};
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(2), second}),
                        Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), EndKind::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), EndKind::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("a", 1, 0)).End(Task("a", 1, 0), EndKind::kDone);
    fleet.Run(Milliseconds(900));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(kRunFloor + 1, fleet.starts_[0].order.run);
  }

  void NeverBringsAWorkerOverItsCapacity() {
    Fleet fleet(3);
    fleet.Recover();
    for (int i = 0; i < 10; ++i) {
      fleet.cell()->OnJob(
          Fleet::AJob("j" + std::to_string(i), {Fleet::AStep(3)}), Revision{1},
          std::nullopt, fleet.now());
    }
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{12}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
    // Room is free again only once the end is told.
    fleet.NewTerm(Fence{9}, 32);
    for (int i = 0; i < 10; ++i) {
      fleet.cell()->OnJob(
          Fleet::AJob("j" + std::to_string(i), {Fleet::AStep(3)}), Revision{1},
          std::nullopt, fleet.now());
    }
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{12}, fleet.running());
    CPPUNIT_ASSERT(!fleet.over_capacity_);
  }

  void KeepsATeamWithinItsLimit() {
    Fleet fleet(3);
    fleet.SetLimit({.cpu_milli = 5'000});
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(10)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fleet.running());
  }

  void FailsAJobAfterItsAttempts() {
    Fleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    for (int i = 0; i < 2; ++i) {
      fleet.Run(Milliseconds(5'000));
      fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), EndKind::kFailed);
    }
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void AGangStartsWholeOrNotAtAll() {
    Fleet fleet(2);
    fleet.Recover();
    StepSpec gang = Fleet::AStep(8);
    gang.gang = true;
    fleet.cell()->OnJob(Fleet::AJob("b", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.cell()->OnJob(Fleet::AJob("a", {gang}), Revision{1}, std::nullopt,
                        fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
    fleet.WorkerOf(Task("b", 0, 0)).End(Task("b", 0, 0), EndKind::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.running());
    fleet.WorkerOf(Task("a", 0, 3)).End(Task("a", 0, 3), EndKind::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  void AGangsFailureCountsWhicheverMemberIsToldFirst() {
    Fleet fleet(2);
    fleet.Recover();
    StepSpec gang = Fleet::AStep(8);
    gang.gang = true;
    fleet.cell()->OnJob(Fleet::AJob("a", {gang}), Revision{1}, std::nullopt,
                        fleet.now());
    for (int round = 0; round < 2; ++round) {
      fleet.Run(Milliseconds(5'000));
      CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.running());
      // The nearer worker tells of broken members first.
      std::vector<FakeWorker*> workers;
      for (auto& [id, worker] : fleet.workers_) workers.push_back(&worker);
      for (FakeWorker* const worker : workers) {
        const auto running = worker->running;
        for (const auto& [task, run] : running) {
          const bool fails =
              worker == workers[1] && task == running.begin()->first;
          worker->End(task, fails ? EndKind::kFailed : EndKind::kBroken);
        }
      }
      workers[1]->silent = true;
      fleet.Run(Milliseconds(900));
      workers[1]->silent = false;
    }
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{16}, fleet.starts_.size());
  }

  void AStartWithoutAnAnswerIsStoppedBeforeAnother() {
    Fleet fleet(2);
    fleet.Recover();
    fleet.start_outcome_ = OrderOutcome::kUnknown;
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(10));
    fleet.start_outcome_ = OrderOutcome::kDone;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT(fleet.starts_[1].order.run > fleet.starts_[0].order.run);
  }

  void AcknowledgesEndsOnlyOnceStored() {
    Fleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    FakeWorker& worker = fleet.WorkerOf(Task("a", 0, 0));
    worker.End(Task("a", 0, 0), EndKind::kDone);
    fleet.store_up_ = false;
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, worker.last_seen);
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, worker.last_seen);
  }

  void ANewPlacerAdoptsWhatRuns() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(2)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.running());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ANewPlacerWaitsForAWorkerThatItCannotReach() {
    Fleet fleet(3);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.WorkerOf(Task("a", 0, 0)).silent = true;
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    // Accepted in this term: no former placer can have started it.
    fleet.cell()->OnJob(Fleet::AJob("b", {Fleet::AStep(1)}), Revision{9},
                        std::nullopt, fleet.now());
    fleet.Run(CellSettings{}.most_lease);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         fleet.starts_[1].order.task.job.text());
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.starts_.size());
  }

  // The list may forget a worker that runs on: its heartbeats were lost.
  void ANewPlacerAsksAWorkerThatTheListForgot() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(2, 3'000)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& forgotten = fleet.WorkerOf(Task("a", 0, 0));
    fleet.unlisted_ = {forgotten.entry.id};
    forgotten.End(Task("a", 0, 0), EndKind::kDone);
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    fleet.WorkerOf(Task("a", 0, 1)).End(Task("a", 0, 1), EndKind::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
  }

  // It can't be reached either: its leases lapse before its tasks start again.
  void AWorkerThatStaysOffTheListIsGone() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& lost = fleet.WorkerOf(Task("a", 0, 0));
    lost.silent = true;
    fleet.unlisted_ = {lost.entry.id};
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
    // Nothing is left of it for the next term to wait for.
    CPPUNIT_ASSERT(!fleet.roster_.contains(lost.entry.id));
  }

  void AWorkerOutsideTheStoredRosterGetsNothing() {
    Fleet fleet(2);
    fleet.stores_roster_ = false;
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    fleet.stores_roster_ = true;
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  // Two attempts are allowed; without the configuration it would be one.
  void ANewPlacerJudgesNothingBeforeTheConfigurationCame() {
    Fleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    fleet.NewTerm(Fence{9}, 32, Fleet::Configuration::kOnTheWay);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), EndKind::kFailed);
    fleet.Recover();
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") != JobState::kFailed);
    fleet.Configure();
    fleet.Run(Milliseconds(10'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kRunning);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.running());
  }

  void ARunOfAJobNotKnownYetIsNeitherStoppedNorDoubled() {
    Fleet fleet(1);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(4)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.NewTerm(Fence{9}, 32);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("b", {Fleet::AStep(1)}), Revision{9},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(!fleet.over_capacity_);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.starts_.size());
  }

  void AnEndOfAJobNotKnownYetIsNotLost() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), EndKind::kDone);
    fleet.NewTerm(Fence{9}, 32);
    fleet.store_up_ = true;
    fleet.Recover();
    fleet.Run(Milliseconds(500));
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void FailuresToldInAnyOrderCountOnceEach() {
    Fleet fleet(2);
    fleet.Recover();
    const AcceptedJob job = Fleet::AJob("a", {Fleet::AStep(1)});
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.store_up_ = false;
    std::vector<FakeWorker*> workers;
    for (auto& [id, worker] : fleet.workers_) workers.push_back(&worker);
    // The second run failed on the worker that is heard first.
    for (FakeWorker* const worker : workers) {
      worker->running.clear();
      worker->ended.clear();
    }
    workers[0]->ended = {{1, Task("a", 0, 0), 18, EndKind::kFailed, ""}};
    workers[1]->ended = {{1, Task("a", 0, 0), 17, EndKind::kFailed, ""}};
    workers[1]->silent = true;
    fleet.NewTerm(Fence{9}, 32);
    fleet.cell()->OnJob(job, Revision{1}, std::nullopt, fleet.now());
    fleet.Recover();
    fleet.Run(Milliseconds(1'000));
    // Told again, as it isn't acknowledged while the store is down.
    workers[1]->silent = false;
    fleet.store_up_ = true;
    fleet.Run(Milliseconds(2'000));
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
  }

  void ACancelThatIsToldBeforeItsJob() {
    Fleet fleet(1);
    fleet.Recover();
    fleet.cell()->OnCancel(JobId("a"), fleet.now());
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(500));
    CPPUNIT_ASSERT(fleet.starts_.empty());
    CPPUNIT_ASSERT(fleet.StoredState("a") == JobState::kCancelled);
  }

  void ACutWorkersTasksStartElsewhereOnlyAfterTheLease() {
    Fleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    fleet.WorkerOf(Task("a", 0, 0)).silent = true;
    fleet.Run(CellSettings{}.most_lease);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.starts_.size());
    fleet.Run(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.starts_.size());
  }

  void OnlyAllowedWorkersAreUsed() {
    Fleet fleet(
        4, AdviceTerms{
               .call_ms = 10, .worker_ms = 1, .validity = Milliseconds(2'500)});
    fleet.forbidden_ = {WorkerId("w-0"), WorkerId("w-2")};
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(8)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.starts_.size());
    for (const StartAction& start : fleet.starts_) {
      CPPUNIT_ASSERT(!fleet.forbidden_.contains(start.worker.id));
      CPPUNIT_ASSERT_EQUAL(std::string("p"), start.order.ticket);
    }
  }

  void OneWriteOfAJobAtATime() {
    Fleet fleet(1);
    fleet.Recover();
    fleet.store_up_ = false;
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(2)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(50));
    const auto first = fleet.cell()->TakeWrites(10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.size());
    fleet.WorkerOf(Task("a", 0, 0)).End(Task("a", 0, 0), EndKind::kDone);
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT(fleet.cell()->TakeWrites(10).empty());
    fleet.cell()->OnNotStored(JobId("a"));
    const auto second = fleet.cell()->TakeWrites(10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, second.size());
    CPPUNIT_ASSERT(second[0].version > first[0].version);
  }

  void ARunThatHasJustBegunDoesNotStandStill() {
    Fleet fleet(1);
    fleet.Recover();
    // All lists of its first second show no percent done yet.
    for (auto& [id, worker] : fleet.workers_) worker.fixed_percent = 0;
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ARunThatTakesLongerThanThoughtGoesOn() {
    Fleet fleet(1);
    fleet.Recover();
    for (auto& [id, worker] : fleet.workers_) worker.fixed_percent = 100;
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(1)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(5'000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.stops_);
  }

  void ARunThatStandsStillStartsElsewhere() {
    Fleet fleet(2);
    fleet.Recover();
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(4)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(100));
    FakeWorker& stalled = fleet.WorkerOf(Task("a", 0, 0));
    stalled.fixed_percent = 7;
    fleet.Run(Milliseconds(4'000));
    CPPUNIT_ASSERT(stalled.running.empty());
    CPPUNIT_ASSERT(&fleet.WorkerOf(Task("a", 0, 0)) != &stalled);
    CPPUNIT_ASSERT(fleet.stops_ >= 1);
  }

  void ADrainingWorkerGetsNothingNew() {
    Fleet fleet(2);
    WorkerEntry draining = fleet.workers_.begin()->second.entry;
    draining.draining = true;
    fleet.Recover();
    fleet.cell()->OnWorkerEntry(draining, fleet.now());
    fleet.cell()->OnJob(Fleet::AJob("a", {Fleet::AStep(8)}), Revision{1},
                        std::nullopt, fleet.now());
    fleet.Run(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.running());
    for (const StartAction& start : fleet.starts_) {
      CPPUNIT_ASSERT(start.worker.id != draining.id);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellTest);

}  // namespace
}  // namespace quetzal
