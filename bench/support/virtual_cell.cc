#include "bench/support/virtual_cell.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace quetzal::bench {
namespace {

constexpr Milliseconds kDecisionDelay{8};  // as in the production placer
constexpr Milliseconds kMaxDecisionInterval{50};
constexpr Milliseconds kCommitInterval{20};
constexpr Milliseconds kAcceptDelay{60};  // network delay and the commit
constexpr Milliseconds kWatchDelay{45};   // until a watch reports a change
constexpr Milliseconds kReplyGrace{100};  // as in the production advice pool
constexpr size_t kMaxWritesPerCommit = 10;
constexpr int kHundredPercent = 100;

}  // namespace

VirtualCell::VirtualCell(Deployment deployment, uint64_t seed)
    : deployment_(std::move(deployment)), random_(seed), seed_(seed) {
  arrivals_start_ = events_.now() + Milliseconds(3'000);
  std::uniform_real_distribution<double> share(0, 1);
  cell_ = std::make_unique<Cell>(CellSettings{}, Fence{7}, 0, events_.now(),
                                 &log_, &metrics_);
  std::vector<Queue> queues;
  queues.reserve(deployment_.classes.size());
  for (const JobClass& each : deployment_.classes) {
    queues.push_back({.name = QueueId(each.name),
                      .service = ServiceId("s"),
                      .priority = each.priority,
                      .max_attempts = each.max_attempts,
                      .slack_factor = each.slack_factor,
                      .latency_target = each.latency_target,
                      .advice = each.advice});
  }
  std::vector<Team> teams;
  teams.reserve(static_cast<size_t>(deployment_.teams));
  for (int i = 0; i < static_cast<int>(deployment_.teams); ++i) {
    teams.push_back(
        {.name = TeamId("t" + std::to_string(i)), .weight = TeamWeight()});
  }
  cell_->OnCatalog(std::make_shared<const Catalog>(
                       1, std::move(queues), std::vector<ServiceConfig>{},
                       std::move(teams), CatalogLimits{}),
                   events_.now());
  const auto one_way = [&] {
    return share(random_) < deployment_.far_share ? deployment_.far_delay
                                                  : deployment_.near_delay;
  };
  for (int i = 0; i < deployment_.workers; ++i) {
    Worker worker;
    worker.entry.id = WorkerId("w" + std::to_string(i));
    worker.entry.address = "w" + std::to_string(i);
    worker.entry.service = ServiceId("s");
    worker.entry.capacity = deployment_.worker_capacity;
    worker.entry.incarnation = Incarnation{1};
    worker.one_way = one_way();
    cell_->OnWorkerEntry(worker.entry, events_.now());
    workers_[worker.entry.id] = worker;
  }
  std::vector<HelperId> helpers;
  for (int i = 0; i < deployment_.helpers; ++i) {
    const HelperId id("vm" + std::to_string(i));
    helpers_[id] = {
        .one_way = one_way(),
        .free_at = events_.now(),
        .in_outage = i < deployment_.adviser_cut.share * deployment_.helpers};
    helpers.push_back(id);
  }
  cell_->OnHelpers(helpers);
  cell_->OnWorkersListed(events_.now());
  cell_->OnRoster(StoredRoster{}, events_.now());
  cell_->OnJobsListed(events_.now());
  DrawJobs();
  MarkWithinWeight();
  ScheduleDecision();
}

VirtualCell::~VirtualCell() = default;

// About twice a team's usual rate, as in the platform's specification.
double VirtualCell::TeamWeight() const {
  constexpr double kWeightOverUsualRate = 1.9;
  double all = 0;
  for (const JobClass& each : deployment_.classes) all += each.per_second;
  return kWeightOverUsualRate * all / deployment_.teams;
}

double VirtualCell::Draw(const Distribution& distribution) {
  if (distribution.deviation <= 0) return distribution.mean;
  const double sigma =
      std::sqrt(std::log(1 + distribution.deviation * distribution.deviation));
  std::lognormal_distribution<double> draw(
      std::log(distribution.mean) - sigma * sigma / 2, sigma);
  return std::min(distribution.max, draw(random_));
}

Milliseconds VirtualCell::DrawMs(const Distribution& distribution) {
  return Milliseconds(static_cast<int64_t>(Draw(distribution)));
}

void VirtualCell::DrawJobs() {
  for (const JobClass& each : deployment_.classes) {
    for (int team = 0; team < static_cast<int>(deployment_.teams); ++team) {
      const std::string name = "t" + std::to_string(team);
      Time at = arrivals_start_;
      while (true) {
        double rate = each.per_second / deployment_.teams;
        for (const Burst& burst : deployment_.bursts) {
          const bool applies =
              at >= arrivals_start_ + burst.from &&
              at < arrivals_start_ + burst.to &&
              (burst.job_class.empty() || burst.job_class == each.name) &&
              (burst.team.empty() || burst.team == name);
          if (applies) rate *= burst.factor;
        }
        std::exponential_distribution<double> gap(rate);
        constexpr double kMsInSecond = 1'000;
        constexpr double kMaxGapMs = 500;  // so that bursts take effect on time
        const double ms = gap(random_) * kMsInSecond;
        at += Milliseconds(
            static_cast<int64_t>(std::ceil(std::min(ms, kMaxGapMs))));
        if (at >= arrivals_start_ + deployment_.length) break;
        if (ms <= kMaxGapMs) AddArrival(each, at, name);
      }
    }
  }
}

void VirtualCell::AddArrival(const JobClass& job_class, Time at,
                             const std::string& team) {
  std::uniform_real_distribution<double> share(0, 1);
  JobModel model{.job_class = &job_class, .arrived = at};
  AcceptedJob& job = model.job;
  job.id = JobId(job_class.name + "-" + std::to_string(arrival_order_.size()));
  job.team = TeamId(team);
  job.queue = QueueId(job_class.name);
  job.service = ServiceId("s");
  const auto steps = std::max<int64_t>(1, std::lround(Draw(job_class.steps)));
  const bool gang = share(random_) < job_class.gang_share;
  const bool saves = share(random_) < job_class.checkpoint_share;
  const bool apart = share(random_) < job_class.one_per_worker_share;
  Milliseconds chain{0};
  for (int64_t i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = static_cast<int>(
        std::max<int64_t>(1, std::lround(Draw(job_class.width))));
    step.demand.cpu_milli = static_cast<int64_t>(Draw(job_class.cpu_milli));
    step.demand.memory_mib = static_cast<int64_t>(Draw(job_class.memory_mib));
    step.gang = gang && step.count > 1;
    step.saves_progress = saves;
    if (apart && !step.gang) step.max_per_worker = 1;
    if (i > 0) step.after = {static_cast<int>(i - 1)};
    const double mean = Draw(job_class.run_ms);
    const double guess = Draw({1, job_class.estimate_deviation, 10});
    step.estimated_run_time = Milliseconds(static_cast<int64_t>(mean * guess));
    std::vector<Milliseconds> work;
    work.reserve(static_cast<size_t>(step.count));
    for (int t = 0; t < step.count; ++t) {
      work.push_back(
          std::max(Milliseconds(20),
                   DrawMs({mean, job_class.task_time_deviation, 3 * mean})));
    }
    if (step.gang) work.assign(work.size(), work[0]);
    chain += *std::max_element(work.begin(), work.end());
    model.work.push_back(std::move(work));
    job.spec.steps.push_back(step);
  }
  model.objective =
      Milliseconds(static_cast<int64_t>(static_cast<double>(chain.count()) *
                                        job_class.slack_factor)) +
      job_class.latency_target;
  arrival_order_.push_back(job.id);
  const JobId id = job.id;
  job_models_[id] = std::move(model);
  events_.At(at + kAcceptDelay + kWatchDelay, [this, id] {
    cell_->OnJob(job_models_.at(id).job, Revision{1}, std::nullopt,
                 events_.now());
    ScheduleDecision();
  });
}

// Excludes from the report what a team sends beyond its weight within a second.
void VirtualCell::MarkWithinWeight() {
  std::map<TeamId, std::vector<JobModel*>> by_team;
  for (auto& [id, model] : job_models_) {
    by_team[model.job.team].push_back(&model);
  }
  for (auto& [team, models] : by_team) {
    std::sort(models.begin(), models.end(),
              [](const JobModel* a, const JobModel* b) {
                return std::tie(a->arrived, a->job.id) <
                       std::tie(b->arrived, b->job.id);
              });
    std::deque<Time> recent;
    constexpr Milliseconds kSecond{1'000};
    for (JobModel* const model : models) {
      while (!recent.empty() && model->arrived - recent.front() >= kSecond) {
        recent.pop_front();
      }
      model->within_weight = static_cast<double>(recent.size()) < TeamWeight();
      if (model->within_weight) recent.push_back(model->arrived);
    }
  }
}

void VirtualCell::Run(Milliseconds extra) {
  const Time until = arrivals_start_ + deployment_.length + extra;
  while (events_.now() < until) {
    events_.RunUntil(events_.now() + kMaxDecisionInterval);
    ScheduleDecision();
  }
}

void VirtualCell::ScheduleDecision() {
  if (std::exchange(decision_pending_, true)) return;
  events_.At(events_.now() + kDecisionDelay, [this] {
    decision_pending_ = false;
    cell_->Decide(events_.now());
    for (const CellAction& action : cell_->TakeActions()) Execute(action);
    WriteToStore();
  });
}

void VirtualCell::WriteToStore() {
  if (cell_->TakeRosterWrite(events_.now())) {
    events_.At(events_.now() + deployment_.store_round_trip, [this] {
      cell_->OnRosterWritten(true);
      ScheduleDecision();
    });
  }
  if (events_.now() < next_commit_) return;
  next_commit_ = events_.now() + kCommitInterval;
  while (cell_->has_progress_writes()) {
    for (const ProgressWrite& write :
         cell_->TakeProgressWrites(kMaxWritesPerCommit)) {
      events_.At(events_.now() + deployment_.store_round_trip, [this, write] {
        cell_->OnProgressStored(write.job, write.version);
        const bool completed =
            write.final && DecodeState(write.value) == JobState::kCompleted;
        if (completed) {
          job_models_.at(write.job).completed = events_.now() + kWatchDelay;
        }
        ScheduleDecision();
      });
    }
  }
}

void VirtualCell::Execute(const CellAction& action) {
  struct Visitor {
    VirtualCell* cell;
    void operator()(const PollAction& a) const { cell->Poll(a); }
    void operator()(const StartAction& a) const { cell->StartTask(a); }
    void operator()(const StopAction& a) const { cell->StopTask(a); }
    void operator()(const RequestAdviceAction& a) const {
      cell->RequestAdvice(a);
    }
    void operator()(const PaceAction&) const {}
    void operator()(const ResignAction&) const {}
  };
  std::visit(Visitor{this}, action);
}

void VirtualCell::Poll(const PollAction& action) {
  Worker* const worker = &workers_.at(action.worker.id);
  const Time sent = events_.now();
  events_.At(sent + worker->one_way, [this, worker, action, sent] {
    while (!worker->ended.empty() &&
           worker->ended.front().number <= action.request.acknowledged_end) {
      worker->ended.pop_front();
    }
    worker->request = action.request;
    worker->poll_sent_at = sent;
    worker->poll_pending = true;
    const uint64_t poll_number = ++worker->poll_number;
    if (!worker->ended.empty()) {
      AnswerPoll(worker);
      return;
    }
    events_.At(
        events_.now() + action.request.wait, [this, worker, poll_number] {
          if (worker->poll_pending && worker->poll_number == poll_number) {
            AnswerPoll(worker);
          }
        });
  });
}

void VirtualCell::AnswerPoll(Worker* worker) {
  worker->poll_pending = false;
  PollAnswer answer{
      .outcome = OrderOutcome::kDone,
      .clock = WorkerTime{events_.now().time_since_epoch().count()},
      .incarnation = worker->entry.incarnation,
      .ended = {worker->ended.begin(), worker->ended.end()}};
  for (const auto& [task, run] : worker->running) {
    const Milliseconds done = events_.now() - run.started_at;
    const int percent =
        run.waits_for_gang
            ? static_cast<int>(events_.now().time_since_epoch().count() %
                               kHundredPercent)
            : static_cast<int>(kHundredPercent * done.count() /
                               run.work.count());
    answer.running.push_back({task, run.order.run, "", percent});
  }
  events_.At(events_.now() + worker->one_way, [this, worker, answer,
                                               request = worker->request,
                                               sent = worker->poll_sent_at] {
    cell_->OnPollAnswer(worker->entry.id, request, sent, answer, events_.now());
    ScheduleDecision();
  });
}

void VirtualCell::StartTask(const StartAction& action) {
  Worker* const worker = &workers_.at(action.worker.id);
  ++starts_;
  events_.At(events_.now() + worker->one_way, [this, worker, action] {
    const StartOrder& order = action.order;
    JobModel& model = job_models_.at(order.task.job);
    model.first_starts.try_emplace(order.task, events_.now());
    std::uniform_real_distribution<double> share(0, 1);
    // A generator of its own instead of the shared one, so that the outcome
    // depends only on the seed, the task and the run.
    std::mt19937_64 generator(
        seed_ ^ std::hash<std::string>()(order.task.job.text() + "." +
                                         std::to_string(order.task.step) + "." +
                                         std::to_string(order.task.index) +
                                         "." + std::to_string(order.run)));
    const auto step = static_cast<size_t>(order.task.step);
    const StepSpec& spec = model.job.spec.steps[step];
    Running run{.order = order,
                .started_at = events_.now(),
                .work = model.work[step][static_cast<size_t>(order.task.index)],
                .fails = share(generator) < model.job_class->failure_share,
                .waits_for_gang = spec.gang,
                .number = next_run_++};
    if (spec.gang) run.fails = run.fails && order.task.index == 0;
    worker->running[order.task] = run;
    Resources used;
    for (const auto& [task, each] : worker->running) {
      used += job_models_.at(task.job)
                  .job.spec.steps[static_cast<size_t>(task.step)]
                  .demand;
    }
    if (!used.FitsIn(worker->entry.capacity)) ++over_capacity_;
    if (spec.gang) {
      StartGangIfComplete(order.task, order.run);
    } else {
      ScheduleEnd(worker, order.task, run.work);
    }
    const OrderAnswer answer{
        OrderOutcome::kDone,
        WorkerTime{events_.now().time_since_epoch().count()}};
    events_.At(events_.now() + worker->one_way, [this, worker, order, answer] {
      cell_->OnStartAnswer(worker->entry.id, order, answer, events_.now());
      ScheduleDecision();
    });
  });
}

void VirtualCell::StartGangIfComplete(const TaskId& member, int64_t run) {
  const StepSpec& spec = job_models_.at(member.job)
                             .job.spec.steps[static_cast<size_t>(member.step)];
  std::vector<std::pair<Worker*, TaskId>> members;
  bool fails = false;
  for (auto& [id, worker] : workers_) {
    for (auto& [task, each] : worker.running) {
      if (task.job != member.job || task.step != member.step) continue;
      if (each.order.run != run) continue;
      members.emplace_back(&worker, task);
      fails = fails || each.fails;
    }
  }
  if (static_cast<int>(members.size()) < spec.count) return;
  for (const auto& [worker, task] : members) {
    Running& each = worker->running.at(task);
    each.started_at = events_.now();
    each.waits_for_gang = false;
    each.fails = fails;
    ScheduleEnd(worker, task, each.work);
  }
}

void VirtualCell::ScheduleEnd(Worker* worker, const TaskId& task,
                              Milliseconds after) {
  const uint64_t number = worker->running.at(task).number;
  events_.At(events_.now() + after, [this, worker, task, number] {
    const auto found = worker->running.find(task);
    if (found == worker->running.end() || found->second.number != number) {
      return;
    }
    EndTask(worker, task,
            found->second.fails ? TaskOutcome::kFailed : TaskOutcome::kDone);
  });
}

void VirtualCell::EndTask(Worker* worker, const TaskId& task,
                          TaskOutcome outcome) {
  const Running run = worker->running.at(task);
  worker->running.erase(task);
  worker->ended.push_back({worker->next_end_number++, task, run.order.run,
                           outcome, run.order.checkpoint});
  const StepSpec& spec =
      job_models_.at(task.job).job.spec.steps[static_cast<size_t>(task.step)];
  constexpr double kMilliInCoreSecond = 1e6;
  const double spent =
      static_cast<double>((events_.now() - run.started_at).count()) *
      static_cast<double>(spec.demand.cpu_milli) / kMilliInCoreSecond;
  (outcome == TaskOutcome::kDone ? useful_core_seconds_
                                 : wasted_core_seconds_) += spent;
  if (worker->poll_pending) AnswerPoll(worker);
}

void VirtualCell::StopTask(const StopAction& action) {
  Worker* const worker = &workers_.at(action.worker.id);
  events_.At(events_.now() + worker->one_way, [this, worker, action] {
    const auto found = worker->running.find(action.order.task);
    if (found != worker->running.end() &&
        found->second.order.run == action.order.run) {
      EndTask(worker, action.order.task, TaskOutcome::kStopped);
    }
    const OrderAnswer answer{
        OrderOutcome::kDone,
        WorkerTime{events_.now().time_since_epoch().count()}};
    events_.At(events_.now() + worker->one_way, [this, worker, action, answer] {
      cell_->OnStopAnswer(worker->entry.id, action.order, answer,
                          events_.now());
      ScheduleDecision();
    });
  });
}

bool VirtualCell::IsAllowed(const AdviceQuery& query,
                            const WorkerId& worker) const {
  std::mt19937_64 generator(
      seed_ ^ std::hash<std::string>()(query.job.text() + "/" +
                                       std::to_string(query.step) + "/" +
                                       worker.text()));
  std::uniform_real_distribution<double> share(0, 1);
  return share(generator) < job_models_.at(query.job).job_class->allowed_share;
}

void VirtualCell::RequestAdvice(const RequestAdviceAction& action) {
  Helper& helper = helpers_.at(action.helper);
  const AdviceQuery query = action.query;
  const AdviceConfig& config = job_models_.at(query.job).job_class->advice;
  const double call_ms =
      config.per_call_ms +
      config.per_worker_ms * static_cast<double>(query.workers.size());
  ++queries_;
  constexpr double kMsInSecond = 1'000;
  advice_seconds_ += call_ms / kMsInSecond;
  // The query travels to the helper and on to the advice service.
  const Time arrives = events_.now() + helper.one_way + deployment_.far_delay;
  helper.free_at = std::max(helper.free_at, arrives) +
                   Milliseconds(static_cast<int64_t>(std::ceil(call_ms)));
  AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                      .validity = config.validity};
  for (const WorkerId& worker : query.workers) {
    if (IsAllowed(query, worker)) answer.permits.push_back({worker, "t"});
  }
  const HelperOutage& outage = deployment_.adviser_cut;
  if (helper.in_outage && events_.now() >= arrivals_start_ + outage.from &&
      events_.now() < arrivals_start_ + outage.to) {
    events_.At(events_.now() + action.timeout + kReplyGrace,
               [this, id = action.helper, query] {
                 cell_->OnAdvice(id, query, {}, events_.now());
                 ScheduleDecision();
               });
    return;
  }
  events_.At(helper.free_at + deployment_.far_delay + helper.one_way,
             [this, id = action.helper, query, answer] {
               cell_->OnAdvice(id, query, answer, events_.now());
               ScheduleDecision();
             });
}

}  // namespace quetzal::bench
