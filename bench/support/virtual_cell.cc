#include "bench/support/virtual_cell.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace quetzal::bench {
namespace {

constexpr Milliseconds kDecideWithin{8};  // as the shipped placer does
constexpr Milliseconds kDecideAtLeastEvery{50};
constexpr Milliseconds kCommitGap{20};
constexpr Milliseconds kCallerToAccepted{60};  // its way and the commit
constexpr Milliseconds kWatch{45};             // until a change is seen
constexpr Milliseconds kReplyExtra{100};       // as the shipped pool waits
constexpr size_t kMostWrites = 10;
constexpr int kAll = 100;

}  // namespace

VirtualCell::VirtualCell(Deployment deployment, uint64_t seed)
    : deployment_(std::move(deployment)), random_(seed), seed_(seed) {
  began_ = events_.now() + Milliseconds(3'000);
  std::uniform_real_distribution<double> share(0, 1);
  cell_ = std::make_unique<Cell>(CellSettings{}, Fence{7}, 0, events_.now(),
                                 &log_, &metrics_);
  std::vector<Queue> queues;
  queues.reserve(deployment_.classes.size());
  for (const JobClass& each : deployment_.classes) {
    queues.push_back({.name = QueueId(each.name),
                      .service = ServiceId("s"),
                      .priority = each.priority,
                      .max_attempts = each.most_attempts,
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
    return share(random_) < deployment_.far_share ? deployment_.far
                                                  : deployment_.near;
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
  std::vector<HelperId> advisers;
  for (int i = 0; i < deployment_.advisers; ++i) {
    const HelperId id("vm" + std::to_string(i));
    advisers_[id] = {
        .one_way = one_way(),
        .free_at = events_.now(),
        .is_cut = i < deployment_.adviser_cut.share * deployment_.advisers};
    advisers.push_back(id);
  }
  cell_->OnHelpers(advisers);
  cell_->OnWorkersListed(events_.now());
  cell_->OnRoster({}, events_.now());
  cell_->OnJobsListed(events_.now());
  DrawJobs();
  MarkOwed();
  Wake();
}

VirtualCell::~VirtualCell() = default;

// About twice a team's usual rate, as at the users.
double VirtualCell::TeamWeight() const {
  constexpr double kOverUsual = 1.9;
  double all = 0;
  for (const JobClass& each : deployment_.classes) all += each.per_second;
  return kOverUsual * all / deployment_.teams;
}

double VirtualCell::Draw(const Spread& spread) {
  if (spread.spread <= 0) return spread.mean;
  const double sigma = std::sqrt(std::log(1 + spread.spread * spread.spread));
  std::lognormal_distribution<double> draw(
      std::log(spread.mean) - sigma * sigma / 2, sigma);
  return std::min(spread.most, draw(random_));
}

Milliseconds VirtualCell::DrawMs(const Spread& spread) {
  return Milliseconds(static_cast<int64_t>(Draw(spread)));
}

void VirtualCell::DrawJobs() {
  for (const JobClass& each : deployment_.classes) {
    for (int team = 0; team < static_cast<int>(deployment_.teams); ++team) {
      const std::string name = "t" + std::to_string(team);
      Time at = began_;
      while (true) {
        double rate = each.per_second / deployment_.teams;
        for (const Burst& burst : deployment_.bursts) {
          const bool strikes =
              at >= began_ + burst.from && at < began_ + burst.to &&
              (burst.job_class.empty() || burst.job_class == each.name) &&
              (burst.team.empty() || burst.team == name);
          if (strikes) rate *= burst.factor;
        }
        std::exponential_distribution<double> gap(rate);
        constexpr double kMsInSecond = 1'000;
        constexpr double kLongestGapMs = 500;  // so that bursts strike in time
        const double ms = gap(random_) * kMsInSecond;
        at += Milliseconds(
            static_cast<int64_t>(std::ceil(std::min(ms, kLongestGapMs))));
        if (at >= began_ + deployment_.length) break;
        if (ms <= kLongestGapMs) AddArrival(each, at, name);
      }
    }
  }
}

void VirtualCell::AddArrival(const JobClass& job_class, Time at,
                             const std::string& team) {
  std::uniform_real_distribution<double> share(0, 1);
  Truth truth{.job_class = &job_class, .arrived = at};
  AcceptedJob& job = truth.job;
  job.id = JobId(job_class.name + "-" + std::to_string(order_.size()));
  job.team = TeamId(team);
  job.queue = QueueId(job_class.name);
  job.service = ServiceId("s");
  const auto steps = std::max<int64_t>(1, std::lround(Draw(job_class.steps)));
  const bool gang = share(random_) < job_class.gang_share;
  const bool saves = share(random_) < job_class.saves_share;
  const bool apart = share(random_) < job_class.most_apart;
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
    const double guess = Draw({1, job_class.estimate_off, 10});
    step.estimated_run_time = Milliseconds(static_cast<int64_t>(mean * guess));
    std::vector<Milliseconds> work;
    work.reserve(static_cast<size_t>(step.count));
    for (int t = 0; t < step.count; ++t) {
      work.push_back(std::max(Milliseconds(20),
                              DrawMs({mean, job_class.uneven, 3 * mean})));
    }
    if (step.gang) work.assign(work.size(), work[0]);
    chain += *std::max_element(work.begin(), work.end());
    truth.work.push_back(std::move(work));
    job.spec.steps.push_back(step);
  }
  truth.objective =
      Milliseconds(static_cast<int64_t>(static_cast<double>(chain.count()) *
                                        job_class.slack_factor)) +
      job_class.latency_target;
  order_.push_back(job.id);
  const JobId id = job.id;
  truths_[id] = std::move(truth);
  events_.At(at + kCallerToAccepted + kWatch, [this, id] {
    cell_->OnJob(truths_.at(id).job, Revision{1}, std::nullopt, events_.now());
    Wake();
  });
}

// What a team sends beyond its weight within a second is not owed.
void VirtualCell::MarkOwed() {
  std::map<TeamId, std::vector<Truth*>> by_team;
  for (auto& [id, truth] : truths_) {
    by_team[truth.job.team].push_back(&truth);
  }
  for (auto& [team, truths] : by_team) {
    std::sort(truths.begin(), truths.end(), [](const Truth* a, const Truth* b) {
      return std::tie(a->arrived, a->job.id) < std::tie(b->arrived, b->job.id);
    });
    std::deque<Time> recent;
    constexpr Milliseconds kSecond{1'000};
    for (Truth* const truth : truths) {
      while (!recent.empty() && truth->arrived - recent.front() >= kSecond) {
        recent.pop_front();
      }
      truth->is_owed = static_cast<double>(recent.size()) < TeamWeight();
      if (truth->is_owed) recent.push_back(truth->arrived);
    }
  }
}

void VirtualCell::Run(Milliseconds extra) {
  const Time until = began_ + deployment_.length + extra;
  while (events_.now() < until) {
    events_.RunUntil(events_.now() + kDecideAtLeastEvery);
    Wake();
  }
}

void VirtualCell::Wake() {
  if (std::exchange(wake_pending_, true)) return;
  events_.At(events_.now() + kDecideWithin, [this] {
    wake_pending_ = false;
    cell_->Decide(events_.now());
    for (const CellAction& action : cell_->TakeActions()) Act(action);
    Store();
  });
}

void VirtualCell::Store() {
  if (cell_->TakeRosterWrite(events_.now())) {
    events_.At(events_.now() + deployment_.store_round_trip, [this] {
      cell_->OnRosterWritten(true);
      Wake();
    });
  }
  if (events_.now() < next_store_) return;
  next_store_ = events_.now() + kCommitGap;
  while (cell_->has_progress_writes()) {
    for (const ProgressWrite& write : cell_->TakeProgressWrites(kMostWrites)) {
      events_.At(events_.now() + deployment_.store_round_trip, [this, write] {
        cell_->OnProgressStored(write.job, write.version);
        const bool completed =
            write.final && DecodeState(write.value) == JobState::kCompleted;
        if (completed) truths_.at(write.job).completed = events_.now() + kWatch;
        Wake();
      });
    }
  }
}

void VirtualCell::Act(const CellAction& action) {
  struct Visitor {
    VirtualCell* cell;
    void operator()(const PollAction& a) const { cell->Hold(a); }
    void operator()(const StartAction& a) const { cell->StartTask(a); }
    void operator()(const StopAction& a) const { cell->StopTask(a); }
    void operator()(const RequestAdviceAction& a) const { cell->Ask(a); }
    void operator()(const ResignAction&) const {}
  };
  std::visit(Visitor{this}, action);
}

void VirtualCell::Hold(const PollAction& action) {
  Worker* const worker = &workers_.at(action.worker.id);
  const Time sent = events_.now();
  events_.At(sent + worker->one_way, [this, worker, action, sent] {
    while (!worker->ended.empty() &&
           worker->ended.front().number <= action.request.acknowledged_end) {
      worker->ended.pop_front();
    }
    worker->request = action.request;
    worker->hold_sent = sent;
    worker->hold_waits = true;
    const uint64_t hold = ++worker->hold;
    if (!worker->ended.empty()) {
      AnswerHold(worker);
      return;
    }
    events_.At(events_.now() + action.request.wait, [this, worker, hold] {
      if (worker->hold_waits && worker->hold == hold) AnswerHold(worker);
    });
  });
}

void VirtualCell::AnswerHold(Worker* worker) {
  worker->hold_waits = false;
  PollAnswer answer{
      .outcome = OrderOutcome::kDone,
      .clock = WorkerTime{events_.now().time_since_epoch().count()},
      .incarnation = worker->entry.incarnation,
      .ended = {worker->ended.begin(), worker->ended.end()}};
  for (const auto& [task, run] : worker->running) {
    const Milliseconds done = events_.now() - run.began;
    const int percent =
        run.waits_for_gang
            ? static_cast<int>(events_.now().time_since_epoch().count() % kAll)
            : static_cast<int>(kAll * done.count() / run.work.count());
    answer.running.push_back({task, run.order.run, "", percent});
  }
  events_.At(events_.now() + worker->one_way, [this, worker, answer,
                                               request = worker->request,
                                               sent = worker->hold_sent] {
    cell_->OnPollAnswer(worker->entry.id, request, sent, answer, events_.now());
    Wake();
  });
}

void VirtualCell::StartTask(const StartAction& action) {
  Worker* const worker = &workers_.at(action.worker.id);
  ++starts_;
  events_.At(events_.now() + worker->one_way, [this, worker, action] {
    const StartOrder& order = action.order;
    Truth& truth = truths_.at(order.task.job);
    truth.first_starts.try_emplace(order.task, events_.now());
    std::uniform_real_distribution<double> share(0, 1);
    // Not of the shared generator: arrivals are drawn already, ends depend on
    // the task and run only.
    std::mt19937_64 chance(
        seed_ ^ std::hash<std::string>()(order.task.job.text() + "." +
                                         std::to_string(order.task.step) + "." +
                                         std::to_string(order.task.index) +
                                         "." + std::to_string(order.run)));
    const auto step = static_cast<size_t>(order.task.step);
    const StepSpec& spec = truth.job.spec.steps[step];
    Running run{.order = order,
                .began = events_.now(),
                .work = truth.work[step][static_cast<size_t>(order.task.index)],
                .fails = share(chance) < truth.job_class->failing_share,
                .waits_for_gang = spec.gang,
                .number = next_run_++};
    if (spec.gang) run.fails = run.fails && order.task.index == 0;
    worker->running[order.task] = run;
    Resources used;
    for (const auto& [task, each] : worker->running) {
      used += truths_.at(task.job)
                  .job.spec.steps[static_cast<size_t>(task.step)]
                  .demand;
    }
    if (!used.FitsIn(worker->entry.capacity)) ++over_capacity_;
    if (spec.gang) {
      BeginGangIfWhole(order.task, order.run);
    } else {
      ScheduleEnd(worker, order.task, run.work);
    }
    const OrderAnswer answer{
        OrderOutcome::kDone,
        WorkerTime{events_.now().time_since_epoch().count()}};
    events_.At(events_.now() + worker->one_way, [this, worker, order, answer] {
      cell_->OnStartAnswer(worker->entry.id, order, answer, events_.now());
      Wake();
    });
  });
}

void VirtualCell::BeginGangIfWhole(const TaskId& member, int64_t run) {
  const StepSpec& spec =
      truths_.at(member.job).job.spec.steps[static_cast<size_t>(member.step)];
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
    each.began = events_.now();
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

void VirtualCell::EndTask(Worker* worker, const TaskId& task, TaskOutcome how) {
  const Running run = worker->running.at(task);
  worker->running.erase(task);
  worker->ended.push_back(
      {worker->next_end++, task, run.order.run, how, run.order.checkpoint});
  const StepSpec& spec =
      truths_.at(task.job).job.spec.steps[static_cast<size_t>(task.step)];
  constexpr double kMilliInCoreSecond = 1e6;
  const double spent =
      static_cast<double>((events_.now() - run.began).count()) *
      static_cast<double>(spec.demand.cpu_milli) / kMilliInCoreSecond;
  (how == TaskOutcome::kDone ? useful_core_seconds_ : wasted_core_seconds_) +=
      spent;
  if (worker->hold_waits) AnswerHold(worker);
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
      Wake();
    });
  });
}

bool VirtualCell::IsAllowed(const AdviceQuery& question,
                            const WorkerId& worker) const {
  std::mt19937_64 chance(
      seed_ ^ std::hash<std::string>()(question.job.text() + "/" +
                                       std::to_string(question.step) + "/" +
                                       worker.text()));
  std::uniform_real_distribution<double> share(0, 1);
  return share(chance) < truths_.at(question.job).job_class->allowed_share;
}

void VirtualCell::Ask(const RequestAdviceAction& action) {
  Adviser& adviser = advisers_.at(action.helper);
  const AdviceQuery question = action.query;
  const AdviceConfig& terms = truths_.at(question.job).job_class->advice;
  const double call_ms =
      terms.per_call_ms +
      terms.per_worker_ms * static_cast<double>(question.workers.size());
  ++questions_;
  constexpr double kMsInSecond = 1'000;
  advice_seconds_ += call_ms / kMsInSecond;
  // To the adviser, and from there to the advice service, and back.
  const Time arrives = events_.now() + adviser.one_way + deployment_.far;
  adviser.free_at = std::max(adviser.free_at, arrives) +
                    Milliseconds(static_cast<int64_t>(std::ceil(call_ms)));
  AdviceAnswer answer{.kind = AdviceAnswer::Kind::kAnswered,
                      .validity = terms.validity};
  for (const WorkerId& worker : question.workers) {
    if (IsAllowed(question, worker)) answer.permits.push_back({worker, "t"});
  }
  const AdviserCut& cut = deployment_.adviser_cut;
  if (adviser.is_cut && events_.now() >= began_ + cut.from &&
      events_.now() < began_ + cut.to) {
    events_.At(events_.now() + action.timeout + kReplyExtra,
               [this, id = action.helper, question] {
                 cell_->OnAdvice(id, question, {}, events_.now());
                 Wake();
               });
    return;
  }
  events_.At(adviser.free_at + deployment_.far + adviser.one_way,
             [this, id = action.helper, question, answer] {
               cell_->OnAdvice(id, question, answer, events_.now());
               Wake();
             });
}

}  // namespace quetzal::bench
