#include "tests/support/world.h"

#include <algorithm>
#include <utility>

#include "tests/support/world_process.h"

namespace quetzal::testing {

World::World(WorldSettings settings, uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
  std::vector<std::string> names;
  for (int d = 0; d < settings_.domains; ++d) {
    const std::string domain(1, static_cast<char>('a' + d));
    settings_.placer.domains.emplace_back(domain);
    for (int i = 1; i <= settings_.workers_per_domain; ++i) {
      names.push_back("worker-" + domain + "-" + std::to_string(i));
    }
    for (int i = 1; i <= settings_.vms_per_domain; ++i) {
      names.push_back("placer-" + domain + "-" + std::to_string(i));
      names.push_back("entry-" + domain + "-" + std::to_string(i));
    }
  }
  for (const std::string& name : names) {
    processes_[name] = std::make_unique<Process>(settings_);
    processes_[name]->name = name;
  }
  for (const std::string& name : names) StartProcess(name);
  At(now(), [this] { Tick(); });
}

World::~World() = default;

World::Process* World::Find(const std::string& name) const {
  return processes_.at(name).get();
}

void World::StartProcess(const std::string& name) {
  const uint64_t incarnation = ++incarnations_[name];
  auto process = std::make_unique<Process>(settings_);
  process->name = name;
  process->incarnation = incarnation;
  process->alive = true;
  process->polled_at = now() - kVmPollInterval;
  process->platform_reachable_since = now();
  const std::string unique = name + "@" + std::to_string(incarnation);
  if (IsRole(name, "worker")) {
    const std::string rack = "rack-" + name.substr(name.size() - 1);
    process->worker = std::make_unique<standin::WorkerModel>(
        standin::WorkerModelSettings{
            .id = WorkerId(name),
            .rack = RackId(rack),
            .capacity = settings_.worker_capacity,
            .incarnation = incarnation,
            .usage_every = Milliseconds(2'000),
            .checks_contract = settings_.workers_check_contracts,
            .refuses_when_leaving = settings_.workers_refuse_when_leaving},
        now());
    processes_[name] = std::move(process);
    return;
  }
  process->platform = std::make_unique<ProcessPlatform>(this, name);
  RecordWatcherHandlers handlers;
  handlers.now = [this] { return now(); };
  handlers.after = [this, name, incarnation](Milliseconds delay,
                                             std::function<void()> function) {
    Deliver(name, incarnation, delay,
            [function = std::move(function)](Process*) { function(); });
  };
  Process* const raw = process.get();
  if (IsRole(name, "placer")) {
    PlacerSettings placer = settings_.placer;
    placer.self = PlacerId(unique);
    placer.domain = FailureDomainId(DomainOf(name));
    process->placer = std::make_unique<PlacerCore>(placer, &process->records,
                                                   &process->metrics);
    handlers.on_records = [this, raw] { raw->placer->OnRecordsChanged(now()); };
    handlers.on_other = [this, raw](const KvChange& change) {
      raw->placer->OnAllotmentChange(change, now());
    };
    handlers.on_health = [](PlatformHealth) {};
  } else {
    EntrySettings entry = settings_.entry;
    entry.self = EntryId(unique);
    process->entry = std::make_unique<EntryCore>(entry, &process->records,
                                                 &process->metrics);
    handlers.on_records = [] {};
    handlers.on_other = [](const KvChange&) {};
    handlers.on_health = [raw](PlatformHealth health) {
      raw->entry->OnPlatformHealth(health);
    };
  }
  process->record_watcher = std::make_unique<RecordWatcher>(
      RecordWatcherSettings{.prefix = std::string(kSharedPrefix)},
      process->platform.get(), &process->records, handlers);
  processes_[name] = std::move(process);
  raw->record_watcher->Start();
}

void World::At(Time when, std::function<void()> function) {
  queue_.At(when, std::move(function));
}

void World::Run(Milliseconds time) { queue_.RunUntil(now() + time); }

void World::Deliver(const std::string& process, uint64_t incarnation,
                    Milliseconds delay,
                    std::function<void(Process*)> function) {
  At(now() + delay,
     [this, process, incarnation, function = std::move(function)] {
       Process* const target = Find(process);
       if (!target->alive || target->incarnation != incarnation) return;
       if (target->frozen) {
         target->backlog.push_back(function);
         return;
       }
       function(target);
       Flush(target);
     });
}

void World::Tick() {
  kv_.OnTick(now());
  ServeWatchers();
  std::vector<Vm> vms;
  for (const auto& [name, process] : processes_) {
    Vm vm;
    vm.name = name;
    vm.domain = FailureDomainId(DomainOf(name));
    vm.role = IsRole(name, "worker") ? VmRole::kWorker : VmRole::kEntry;
    vm.rack = RackId("rack-" + name.substr(name.size() - 1));
    vm.capacity = settings_.worker_capacity;
    if (leaving_since_.contains(name)) vm.state = VmState::kLeaving;
    if (!process->alive) vm.state = VmState::kGone;
    vms.push_back(vm);
  }
  vm_history_.emplace_back(now(), std::move(vms));
  const Time oldest = now() - settings_.vm_list_lag - kTick * 4;
  while (vm_history_.size() > 2 && vm_history_[1].first < oldest &&
         !vm_list_frozen_at_) {
    vm_history_.erase(vm_history_.begin());
  }
  UpdateStreams();
  for (const auto& [name, process] : processes_) TickProcess(process.get());
  for (const std::string& name : Entries()) CheckRecordPropagation(Find(name));
  At(now() + kTick, [this] { Tick(); });
}

std::vector<Vm> World::ListedVms() const {
  const Time seen = vm_list_frozen_at_.value_or(now()) - settings_.vm_list_lag;
  const std::vector<Vm>* best = &vm_history_.front().second;
  for (const auto& [at, vms] : vm_history_) {
    if (at <= seen) best = &vms;
  }
  return *best;
}

void World::SetVmListStale(bool stale) {
  vm_list_frozen_at_.reset();
  if (stale) vm_list_frozen_at_ = now();
}

void World::TickProcess(Process* process) {
  if (!process->alive || process->frozen) return;
  if (process->worker) process->worker->OnTick(now());
  if (process->placer) {
    PollVms(process);
    process->placer->OnTick(now());
    if (process->placer->ShutdownDone()) {
      Flush(process);
      Kill(process->name);
      return;
    }
  }
  if (process->entry) {
    process->entry->OnTick(now());
    Flush(process);
    const bool over =
        process->entry->pending() == 0 || !settings_.entries_end_when_idle;
    if (process->entry->draining() && over) {
      RecordUnansweredCalls(process->name);
      Kill(process->name);
      return;
    }
  }
  Flush(process);
}

void World::PollVms(Process* process) {
  if (now() - process->polled_at < kVmPollInterval) return;
  process->polled_at = now();
  if (platform_down_ || !Reachable(process->name, "platform") ||
      !Reachable("platform", process->name)) {
    return;
  }
  std::vector<ListedWorker> listed;
  for (const Vm& vm : ListedVms()) {
    if (vm.role != VmRole::kWorker) continue;
    if (vm.domain.text() != DomainOf(process->name)) continue;
    listed.push_back({.id = WorkerId(vm.name),
                      .rack = vm.rack,
                      .capacity = vm.capacity,
                      .leaving = vm.state == VmState::kLeaving,
                      .gone = vm.state == VmState::kGone});
  }
  process->placer->OnWorkers(listed, now());
}

// ---- faults ----

void World::CloseConnections(const std::string& entry) {
  for (const auto& call : calls_) {
    if (call->entry == entry && call->replies.empty()) {
      call->connection_lost = true;
    }
  }
}

void World::Kill(const std::string& name) {
  Process* const process = Find(name);
  if (!process->alive) return;
  process->alive = false;
  process->frozen = false;
  process->backlog.clear();
  for (const auto& [attempt, started] : process->running) {
    standin::WorkerEvent ended = started;
    ended.kind = standin::WorkerEvent::Kind::kEnded;
    ended.at = now();
    ended.reason = "process killed";
    events_.push_back(ended);
  }
  process->running.clear();
  for (const auto& [ends, stream] : std::map(streams_)) {
    const bool involved = ends.first == name || ends.second == name;
    if (involved && stream.up) StreamChanged(ends.first, ends.second, false);
  }
  if (IsRole(name, "entry")) CloseConnections(name);
}

void World::Restart(const std::string& name) {
  Kill(name);
  leaving_since_.erase(name);
  for (Departure& departure : departures_) {
    const bool over =
        departure.worker == name && departure.until == Time::max();
    if (over) departure.until = now();
  }
  StartProcess(name);
}

void World::Freeze(const std::string& name) {
  if (Find(name)->alive) Find(name)->frozen = true;
}

void World::Unfreeze(const std::string& name) {
  Process* const process = Find(name);
  if (!process->frozen) return;
  process->frozen = false;
  for (const auto& function : std::exchange(process->backlog, {})) {
    if (!process->alive) return;
    function(process);
    Flush(process);
  }
}

void World::Cut(const std::string& from, const std::string& to) {
  cuts_.insert({from, to});
}

void World::HealCuts() { cuts_.clear(); }

void World::Leave(const std::string& name) {
  Process* const process = Find(name);
  if (!process->alive || !process->worker) return;
  if (leaving_since_.emplace(name, now()).second) {
    departures_.push_back({.worker = name, .from = now()});
  }
  process->worker->Leave();
  Flush(process);
}

void World::FailEverything(const std::string& name) {
  Find(name)->worker->FailEverything(true);
}

void World::BeginEntryDrain(const std::string& name) {
  const Process* const process = Find(name);
  if (!process->alive) return;
  if (rule_) {
    rule_({.from = "operator", .to = name, .kind = "drain_entry"});
  }
  Deliver(name, process->incarnation, Milliseconds(0),
          [](Process* entry) { entry->entry->BeginDrain(); });
}

void World::BeginPlacerShutdown(const std::string& name) {
  const Process* const process = Find(name);
  if (!process->alive) return;
  Deliver(name, process->incarnation, Milliseconds(0),
          [this](Process* placer) { placer->placer->BeginShutdown(now()); });
}

// ---- what happened ----

uint64_t World::newest_record_revision() const {
  return record_log_.empty() ? 0 : record_log_.back().revision;
}

std::vector<std::string> World::Entries() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (IsRole(name, "entry")) names.push_back(name);
  }
  return names;
}

std::vector<std::string> World::Placers() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (IsRole(name, "placer")) names.push_back(name);
  }
  return names;
}

std::vector<std::string> World::Workers() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (IsRole(name, "worker")) names.push_back(name);
  }
  return names;
}

std::string World::ActivePlacer(const std::string& domain) const {
  std::string active;
  Epoch epoch{0};
  for (const std::string& name : Placers()) {
    const Process* const process = Find(name);
    if (!process->alive || DomainOf(name) != domain) continue;
    const PlacerStatus status = process->placer->Status(now());
    if (!status.active || (!active.empty() && status.epoch < epoch)) continue;
    active = name;
    epoch = status.epoch;
  }
  return active;
}

bool World::IsAlive(const std::string& process) const {
  return Find(process)->alive;
}

uint64_t World::RecordRevisionAt(const std::string& entry) const {
  return static_cast<uint64_t>(Find(entry)->records.revision());
}

PlacerStatus World::StatusOf(const std::string& placer) const {
  return Find(placer)->placer->Status(now());
}

}  // namespace quetzal::testing
