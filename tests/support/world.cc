#include "tests/support/world.h"

#include <algorithm>
#include <utility>

namespace quetzal::testing {
namespace {

constexpr Milliseconds kTick{50};
constexpr Milliseconds kPlatformTimeout{500};
constexpr Milliseconds kPlatformLatency{2};
constexpr Milliseconds kVmPollEvery{1'000};
// A silent stream is given up by both ends after this.
constexpr Milliseconds kStreamTimeout{1'500};
constexpr Milliseconds kMessageDelay{800};
constexpr Milliseconds kReorderDelay{20};

std::string DomainOf(const std::string& process) {
  const size_t first = process.find('-');
  return process.substr(first + 1, process.find('-', first + 1) - first - 1);
}

bool IsRole(const std::string& process, const std::string& role) {
  return process.starts_with(role + "-");
}

std::string KindOf(const wire::PlacerToWorker& message) {
  switch (message.kind_case()) {
    case wire::PlacerToWorker::kGrant:
      return "grant";
    case wire::PlacerToWorker::kStart:
      return message.start().hold_ms() > 0 ? "hold" : "start";
    case wire::PlacerToWorker::kGo:
      return "go";
    case wire::PlacerToWorker::kStop:
      return "stop";
    case wire::PlacerToWorker::kAcknowledge:
      return "acknowledge";
    default:
      return "release";
  }
}

std::string KindOf(const wire::WorkerToPlacer& message) {
  switch (message.kind_case()) {
    case wire::WorkerToPlacer::kGranted:
      return "granted";
    case wire::WorkerToPlacer::kGrantRefused:
      return "grant_refused";
    case wire::WorkerToPlacer::kStarted:
      return "started";
    case wire::WorkerToPlacer::kStartRefused:
      return "start_refused";
    case wire::WorkerToPlacer::kEnded:
      return "ended";
    case wire::WorkerToPlacer::kUsage:
      return "usage";
    default:
      return "leaving";
  }
}

std::string KindOf(const wire::EntryToPlacer& message) {
  switch (message.kind_case()) {
    case wire::EntryToPlacer::kSubmit:
      return "submit";
    case wire::EntryToPlacer::kCancel:
      return "cancel";
    case wire::EntryToPlacer::kSubmitJob:
      return "submit_job";
    case wire::EntryToPlacer::kQueryJob:
      return "query_job";
    case wire::EntryToPlacer::kCancelJob:
      return "cancel_job";
    case wire::EntryToPlacer::kSettleReceived:
      return "settle_received";
    case wire::EntryToPlacer::kRecords:
      return "records";
    default:
      return "entry_hello";
  }
}

std::string KindOf(const wire::PlacerToEntry& message) {
  switch (message.kind_case()) {
    case wire::PlacerToEntry::kSettled:
      return "settled";
    case wire::PlacerToEntry::kJob:
      return "job";
    case wire::PlacerToEntry::kRecords:
      return "records";
    default:
      return "placer_hello";
  }
}

std::string KindOf(const KvCall& call) {
  const std::string top = call.key.substr(0, call.key.find('/'));
  const std::string place =
      call.key.starts_with(kAllotmentPrefix) ? "allotments" : top;
  switch (call.kind) {
    case KvCall::Kind::kPut:
      return "put " + place;
    case KvCall::Kind::kDelete:
      return "delete " + place;
    case KvCall::Kind::kKeepAlive:
      return "keepalive " + place;
    case KvCall::Kind::kList:
      return "list " + place;
    default:
      return "get " + place;
  }
}

bool IsWrite(const KvCall& call) {
  return call.kind != KvCall::Kind::kGet && call.kind != KvCall::Kind::kList;
}

}  // namespace

// The platform as one process sees it.
class World::ProcessPlatform : public Platform {
 public:
  ProcessPlatform(World* world, std::string process)
      : world_(world), process_(std::move(process)) {}

  void Call(const KvCall& call, KvHandler handler) override {
    world_->CallPlatform(world_->Find(process_), call, std::move(handler));
  }
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             WatchHandler handler) override {
    world_->WatchPlatform(world_->Find(process_), prefix, after, wait,
                          std::move(handler));
  }
  void ListVms(VmHandler handler) override { handler(std::nullopt); }
  PlatformHealth health() const override { return health_; }
  void SetHealth(PlatformHealth health) { health_ = health; }

 private:
  World* world_;
  std::string process_;
  PlatformHealth health_ = PlatformHealth::kAnswers;
};

struct World::Process {
  std::string name;
  uint64_t incarnation = 0;
  bool alive = false;
  bool frozen = false;
  std::vector<std::function<void(Process*)>> backlog;
  Time polled_at;
  uint64_t seen_revision = 0;
  Metrics metrics;
  RecordStore records;
  std::unique_ptr<ProcessPlatform> platform;
  std::unique_ptr<PlacerCore> placer;
  std::unique_ptr<EntryCore> entry;
  std::unique_ptr<Follower> follower;
  std::unique_ptr<standin::WorkerModel> worker;
  std::map<std::string, standin::WorkerEvent> running;
};

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
    processes_[name] = std::make_unique<Process>();
    processes_[name]->name = name;
  }
  for (const std::string& name : names) StartProcess(name);
  At(now_, [this] { Tick(); });
}

World::~World() = default;

World::Process* World::Find(const std::string& name) const {
  return processes_.at(name).get();
}

void World::StartProcess(const std::string& name) {
  const uint64_t incarnation = ++incarnations_[name];
  auto process = std::make_unique<Process>();
  process->name = name;
  process->incarnation = incarnation;
  process->alive = true;
  process->polled_at = now_ - kVmPollEvery;
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
        now_);
    processes_[name] = std::move(process);
    return;
  }
  process->platform = std::make_unique<ProcessPlatform>(this, name);
  FollowHandlers handlers;
  handlers.now = [this] { return now_; };
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
    handlers.on_records = [this, raw] { raw->placer->OnRecordsChanged(now_); };
    handlers.on_other = [this, raw](const KvChange& change) {
      raw->placer->OnAllotmentChange(change, now_);
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
  process->follower = std::make_unique<Follower>(
      FollowSettings{.prefix = std::string(kSharedPrefix)},
      process->platform.get(), &process->records, handlers);
  processes_[name] = std::move(process);
  raw->follower->Start();
}

void World::At(Time when, std::function<void()> function) {
  queue_.push({std::max(when, now_), next_order_++, std::move(function)});
}

void World::Run(Milliseconds time) {
  const Time until = now_ + time;
  while (!queue_.empty() && queue_.top().at <= until) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    event.function();
  }
  now_ = until;
}

void World::Deliver(const std::string& process, uint64_t incarnation,
                    Milliseconds delay,
                    std::function<void(Process*)> function) {
  At(now_ + delay,
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
  kv_.OnTick(now_);
  ServeWatchers();
  std::vector<Vm> vms;
  for (const auto& [name, process] : processes_) {
    Vm vm;
    vm.name = name;
    vm.domain = FailureDomainId(DomainOf(name));
    vm.role = IsRole(name, "worker") ? VmRole::kWorker : VmRole::kEntry;
    vm.rack = RackId("rack-" + name.substr(name.size() - 1));
    vm.capacity = settings_.worker_capacity;
    if (left_at_.contains(name)) vm.state = VmState::kLeaving;
    if (!process->alive) vm.state = VmState::kGone;
    vms.push_back(vm);
  }
  vm_history_.emplace_back(now_, std::move(vms));
  const Time oldest = now_ - settings_.vm_list_lag - kTick * 4;
  while (vm_history_.size() > 2 && vm_history_[1].first < oldest &&
         !vm_list_frozen_at_) {
    vm_history_.erase(vm_history_.begin());
  }
  UpdateStreams();
  for (const auto& [name, process] : processes_) TickProcess(process.get());
  At(now_ + kTick, [this] { Tick(); });
}

std::vector<Vm> World::ListedVms() const {
  const Time seen = vm_list_frozen_at_.value_or(now_) - settings_.vm_list_lag;
  const std::vector<Vm>* best = &vm_history_.front().second;
  for (const auto& [at, vms] : vm_history_) {
    if (at <= seen) best = &vms;
  }
  return *best;
}

void World::SetVmListStale(bool stale) {
  vm_list_frozen_at_.reset();
  if (stale) vm_list_frozen_at_ = now_;
}

void World::TickProcess(Process* process) {
  if (!process->alive || process->frozen) return;
  if (process->worker) process->worker->OnTick(now_);
  if (process->placer) {
    PollVms(process);
    process->placer->OnTick(now_);
    if (process->placer->ShutdownDone()) {
      Flush(process);
      Kill(process->name);
      return;
    }
  }
  if (process->entry) {
    process->entry->OnTick(now_);
    Flush(process);
    if (process->entry->draining() && process->entry->pending() == 0) {
      NoteCutOff(process->name);
      Kill(process->name);
      return;
    }
  }
  Flush(process);
}

void World::PollVms(Process* process) {
  if (now_ - process->polled_at < kVmPollEvery) return;
  process->polled_at = now_;
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
  process->placer->OnWorkers(listed, now_);
}

// ---- streams ----

bool World::Reachable(const std::string& from, const std::string& to) const {
  return !cuts_.contains({from, to});
}

void World::UpdateStreams() {
  for (const std::string& placer : Placers()) {
    const Process* const process = Find(placer);
    const bool wanted = process->alive && process->placer->Status(now_).in_term;
    for (const std::string& worker : Workers()) {
      if (DomainOf(worker) == DomainOf(placer)) {
        UpdateStream(placer, worker, wanted);
      }
    }
    for (const std::string& entry : Entries()) {
      if (DomainOf(entry) == DomainOf(placer)) {
        UpdateStream(entry, placer, true);
      }
    }
  }
}

void World::UpdateStream(const std::string& from, const std::string& to,
                         bool wanted) {
  Stream& stream = streams_[{from, to}];
  const bool reachable = Reachable(from, to) && Reachable(to, from);
  const bool alive = Find(from)->alive && Find(to)->alive && wanted;
  if (!stream.up) {
    const bool thawed = !Find(from)->frozen && !Find(to)->frozen;
    if (alive && reachable && thawed) StreamChanged(from, to, true);
    return;
  }
  if (!alive) {
    StreamChanged(from, to, false);
    return;
  }
  if (reachable) {
    stream.unreachable_since.reset();
    return;
  }
  if (!stream.unreachable_since) stream.unreachable_since = now_;
  if (now_ - *stream.unreachable_since >= kStreamTimeout) {
    StreamChanged(from, to, false);
  }
}

void World::StreamChanged(const std::string& from, const std::string& to,
                          bool up) {
  Stream& stream = streams_[{from, to}];
  const uint64_t generation = up ? next_generation_++ : stream.generation;
  stream = {.up = up, .generation = generation};
  const Process* const client = Find(from);
  const Process* const server = Find(to);
  if (IsRole(from, "placer")) {
    Deliver(from, client->incarnation, Milliseconds(0),
            [this, to, up](Process* placer) {
              placer->placer->OnWorkerLink(WorkerId(to), up, now_);
            });
    if (up) return;
    Deliver(to, server->incarnation, Milliseconds(0),
            [generation](Process* worker) {
              worker->worker->OnPeerClosed(generation);
            });
    return;
  }
  Deliver(from, client->incarnation, Milliseconds(0),
          [this, to, up](Process* entry) {
            entry->entry->OnPlacerLink(PlacerId(to), up, now_);
          });
  const EntryId entry(from + "@" + std::to_string(client->incarnation));
  Deliver(to, server->incarnation, Milliseconds(0),
          [this, entry, up](Process* placer) {
            placer->placer->OnEntryLink(entry, up, now_);
          });
}

void World::SendOnStream(const std::string& from, const std::string& to,
                         const std::string& client, const std::string& server,
                         const std::string& kind,
                         std::function<void(Process*)> deliver) {
  const auto found = streams_.find({client, server});
  if (found == streams_.end() || !found->second.up) return;
  const uint64_t generation = found->second.generation;
  const MessageFate fate = rule_ ? rule_({.from = from, .to = to, .kind = kind})
                                 : MessageFate::kDeliver;
  // The rule may just have killed one of the two.
  if (fate == MessageFate::kLose || !Reachable(from, to)) return;
  const auto guarded = [this, client, server, generation,
                        deliver = std::move(deliver)](Process* target) {
    const Stream& stream = streams_[{client, server}];
    if (stream.up && stream.generation == generation) deliver(target);
  };
  Milliseconds delay = settings_.latency;
  if (fate == MessageFate::kDelay) delay += kMessageDelay;
  if (fate == MessageFate::kReorder) delay += kReorderDelay;
  const uint64_t incarnation = Find(to)->incarnation;
  Deliver(to, incarnation, delay, guarded);
  if (fate == MessageFate::kRepeat) {
    Deliver(to, incarnation, delay + kReorderDelay, guarded);
  }
}

// ---- effects ----

void World::Flush(Process* process) {
  if (!process->alive) return;
  if (process->placer) FlushPlacer(process);
  if (process->entry) FlushEntry(process);
  if (process->worker) FlushWorker(process);
  if (!process->worker) CheckReverts(process);
}

void World::CheckReverts(Process* process) {
  const auto revision = static_cast<uint64_t>(process->records.revision());
  if (revision < process->seen_revision) reverts_.push_back(process->name);
  process->seen_revision = revision;
}

void World::FlushPlacer(Process* process) {
  const std::string name = process->name;
  for (const PlacerEffect& effect : process->placer->TakeEffects()) {
    if (!process->alive) return;
    if (const auto* const out = std::get_if<ToWorker>(&effect)) {
      const std::string worker = out->worker.text();
      const uint64_t peer = streams_[{name, worker}].generation;
      SendOnStream(name, worker, name, worker, KindOf(out->message),
                   [this, peer, message = out->message](Process* target) {
                     target->worker->OnMessage(peer, message, now_);
                   });
    } else if (const auto* const reply = std::get_if<ToEntry>(&effect)) {
      const std::string& id = reply->entry.text();
      const std::string entry = id.substr(0, id.find('@'));
      SendOnStream(name, entry, entry, name, KindOf(reply->message),
                   [this, name, message = reply->message](Process* target) {
                     target->entry->OnPlacerMessage(PlacerId(name), message,
                                                    now_);
                   });
    } else {
      CallPlatform(process, std::get<KvCall>(effect),
                   [this, process](const KvAnswer& answer) {
                     process->placer->OnKvAnswer(answer, now_);
                   });
    }
  }
}

void World::FlushEntry(Process* process) {
  const std::string name = process->name;
  for (const EntryEffect& effect : process->entry->TakeEffects()) {
    if (!process->alive) return;
    const auto* const out = std::get_if<ToPlacer>(&effect);
    if (out == nullptr) {
      OnReply(process, effect);
      continue;
    }
    const EntryId entry(name + "@" + std::to_string(process->incarnation));
    SendOnStream(name, out->placer.text(), name, out->placer.text(),
                 KindOf(out->message),
                 [this, entry, message = out->message](Process* target) {
                   target->placer->OnEntryMessage(entry, message, now_);
                 });
  }
}

void World::FlushWorker(Process* process) {
  for (const standin::WorkerEvent& event : process->worker->TakeEvents()) {
    events_.push_back(event);
    if (event.kind == standin::WorkerEvent::Kind::kStarted) {
      process->running[event.attempt] = event;
    } else if (event.kind == standin::WorkerEvent::Kind::kEnded) {
      process->running.erase(event.attempt);
    }
  }
  for (const standin::WorkerOutput& output : process->worker->TakeOutputs()) {
    for (const std::string& placer : Placers()) {
      const auto stream = streams_.find({placer, process->name});
      const bool addressed = stream != streams_.end() && stream->second.up &&
                             stream->second.generation == output.peer;
      if (!addressed) continue;
      const WorkerId worker(process->name);
      SendOnStream(process->name, placer, placer, process->name,
                   KindOf(output.message),
                   [this, worker, message = output.message](Process* target) {
                     target->placer->OnWorkerMessage(worker, message, now_);
                   });
      break;
    }
    if (!process->alive) return;
  }
}

// ---- platform ----

void World::CallPlatform(Process* process, const KvCall& call,
                         Platform::KvHandler handler) {
  const std::string name = process->name;
  const uint64_t incarnation = process->incarnation;
  auto answered = std::make_shared<bool>(false);
  const auto answer_with = [answered, handler](Process* target,
                                               const KvAnswer& answer,
                                               PlatformHealth health) {
    if (std::exchange(*answered, true)) return;
    target->platform->SetHealth(health);
    handler(answer);
  };
  const KvAnswer silence{.id = call.id};
  Deliver(name, incarnation, kPlatformTimeout,
          [answer_with, silence](Process* target) {
            answer_with(target, silence, PlatformHealth::kCut);
          });
  const MessageFate fate =
      rule_ ? rule_({.from = name, .to = "platform", .kind = KindOf(call)})
            : MessageFate::kDeliver;
  if (fate == MessageFate::kLose || !Reachable(name, "platform")) return;
  Milliseconds delay = kPlatformLatency + platform_slow_;
  if (fate == MessageFate::kDelay) delay += kMessageDelay;
  if (fate == MessageFate::kReorder) delay += kReorderDelay;
  const auto serve = [this, name, incarnation, call, answer_with, silence] {
    if (platform_down_) {
      Deliver(name, incarnation, kPlatformLatency,
              [answer_with, silence](Process* target) {
                answer_with(target, silence, PlatformHealth::kDown);
              });
      return;
    }
    const KvAnswer answer = kv_.Apply(call, now_);
    ServeWatchers();
    if (IsWrite(call) && drop_answers_ > 0) {
      --drop_answers_;
      return;
    }
    if (!Reachable("platform", name)) return;
    Deliver(name, incarnation, kPlatformLatency,
            [answer_with, answer](Process* target) {
              answer_with(target, answer, PlatformHealth::kAnswers);
            });
  };
  At(now_ + delay, serve);
  if (fate == MessageFate::kRepeat) At(now_ + delay + kReorderDelay, serve);
}

void World::WatchPlatform(Process* process, const std::string& prefix,
                          Revision after, Milliseconds wait,
                          Platform::WatchHandler handler) {
  const std::string name = process->name;
  const uint64_t incarnation = process->incarnation;
  auto answered = std::make_shared<bool>(false);
  const auto once = [answered, handler](const WatchAnswer& answer) {
    if (!std::exchange(*answered, true)) handler(answer);
  };
  Deliver(name, incarnation, wait + kPlatformTimeout,
          [once, answered](Process* target) {
            if (!*answered) target->platform->SetHealth(PlatformHealth::kCut);
            once(WatchAnswer{});
          });
  if (!Reachable(name, "platform")) return;
  if (platform_down_) {
    Deliver(name, incarnation, kPlatformLatency, [once](Process* target) {
      target->platform->SetHealth(PlatformHealth::kDown);
      once(WatchAnswer{});
    });
    return;
  }
  watchers_.push_back({.process = name,
                       .incarnation = incarnation,
                       .prefix = prefix,
                       .after = after,
                       .until = now_ + wait,
                       .handler = once});
  ServeWatchers();
}

void World::ServeWatchers() {
  std::vector<Watcher> kept;
  for (Watcher& watcher : std::exchange(watchers_, {})) {
    WatchAnswer answer{.kind = WatchAnswer::Kind::kChanges,
                       .store_revision = Revision{kv_.revision()}};
    PlatformHealth health = PlatformHealth::kAnswers;
    const auto changes =
        kv_.Since(watcher.prefix, static_cast<uint64_t>(watcher.after));
    if (platform_down_) {
      answer = {};
      health = PlatformHealth::kDown;
    } else if (!changes) {
      answer.kind = WatchAnswer::Kind::kCompacted;
    } else if (changes->empty() && now_ < watcher.until) {
      kept.push_back(std::move(watcher));
      continue;
    } else {
      answer.changes = *changes;
    }
    if (!Reachable("platform", watcher.process)) continue;
    Deliver(watcher.process, watcher.incarnation,
            kPlatformLatency + platform_slow_,
            [answer, health, handler = watcher.handler](Process* target) {
              target->platform->SetHealth(health);
              handler(answer);
            });
  }
  for (Watcher& watcher : kept) watchers_.push_back(std::move(watcher));
}

// ---- operators and callers ----

void World::LogRecord(const std::string& path,
                      std::optional<std::string> value) {
  record_log_.push_back({.at = now_,
                         .path = path,
                         .value = std::move(value),
                         .revision = kv_.revision()});
}

void World::Apply(const std::string& path, const std::string& value) {
  if (rule_) {
    rule_({.from = "operator", .to = "platform", .kind = "apply"});
  }
  if (platform_down_) {
    At(now_ + kPlatformTimeout, [this, path, value] { Apply(path, value); });
    return;
  }
  kv_.Apply({.kind = KvCall::Kind::kPut,
             .key = std::string(kRecordPrefix) + path,
             .value = value},
            now_);
  LogRecord(path, value);
  ServeWatchers();
}

void World::Withdraw(const std::string& path) {
  if (rule_) {
    rule_({.from = "operator", .to = "platform", .kind = "withdraw"});
  }
  if (platform_down_) {
    At(now_ + kPlatformTimeout, [this, path] { Withdraw(path); });
    return;
  }
  kv_.Apply(
      {.kind = KvCall::Kind::kDelete, .key = std::string(kRecordPrefix) + path},
      now_);
  LogRecord(path, std::nullopt);
  ServeWatchers();
}

CallLog* World::Submit(const std::string& entry, const CallSpec& spec) {
  auto log = std::make_unique<CallLog>();
  log->number = next_call_++;
  log->spec = spec;
  log->entry = entry;
  log->sent = now_;
  log->payload = "run_ms=" + std::to_string(spec.run_ms) +
                 " fail=" + (spec.fails ? "1" : "0") + " n=" +
                 (spec.request_key.empty() ? std::to_string(log->number)
                                           : spec.request_key);
  CallLog* const raw = log.get();
  calls_.push_back(std::move(log));
  const Process* const process = Find(entry);
  if (!process->alive) {
    raw->connection_lost = true;
    return raw;
  }
  const MessageFate fate =
      rule_ ? rule_({.from = "caller", .to = entry, .kind = "accept"})
            : MessageFate::kDeliver;
  if (fate == MessageFate::kLose || !process->alive) {
    raw->connection_lost = true;
    return raw;
  }
  Deliver(entry, process->incarnation, Milliseconds(1),
          [this, raw](Process* target) {
            CallerRequest request;
            request.call = CallId{raw->number};
            if (!raw->spec.key.empty()) request.key = raw->spec.key;
            request.work.set_queue(raw->spec.queue);
            request.work.set_idempotent(raw->spec.idempotent);
            request.work.set_urgent(raw->spec.urgent);
            request.work.set_request_key(raw->spec.request_key);
            request.work.set_payload(raw->payload);
            *request.work.mutable_size() = ToWire(raw->spec.size);
            request.deadline = raw->spec.deadline;
            target->entry->OnRequest(request, now_);
          });
  return raw;
}

JobLog* World::SubmitJob(const std::string& entry, const CallSpec& spec,
                         wire::WorkClass kind, uint32_t tasks) {
  auto log = std::make_unique<JobLog>();
  log->number = next_call_++;
  log->entry = entry;
  log->kind = kind;
  log->tasks = tasks;
  log->payload = "run_ms=" + std::to_string(spec.run_ms) + " n=job" +
                 std::to_string(log->number);
  JobLog* const raw = log.get();
  job_of_call_[raw->number] = raw;
  jobs_.push_back(std::move(log));
  Deliver(entry, Find(entry)->incarnation, Milliseconds(1),
          [this, raw, spec](Process* target) {
            CallerJob job;
            job.call = CallId{raw->number};
            if (!spec.key.empty()) job.key = spec.key;
            job.spec.set_tasks(raw->tasks);
            wire::Work* const work = job.spec.mutable_work();
            work->set_queue(spec.queue);
            work->set_idempotent(spec.idempotent);
            work->set_urgent(spec.urgent);
            work->set_work_class(raw->kind);
            work->set_payload(raw->payload);
            *work->mutable_size() = ToWire(spec.size);
            target->entry->OnJob(job, now_);
          });
  return raw;
}

void World::CancelJob(JobLog* job) {
  const uint64_t call = next_call_++;
  job_of_call_[call] = job;
  job->cancelled = true;
  const Process* const entry = Find(job->entry);
  Deliver(job->entry, entry->incarnation, Milliseconds(1),
          [this, call, id = job->id](Process* target) {
            target->entry->OnJobQuestion({.call = CallId{call},
                                          .key = "key-red",
                                          .job = JobId(id),
                                          .cancel = true},
                                         now_);
          });
}

void World::AskJobs() {
  for (const auto& job : jobs_) {
    if (job->id.empty()) continue;
    const uint64_t call = next_call_++;
    job_of_call_[call] = job.get();
    const std::string domain = DomainOf(job->entry);
    for (const std::string& entry : Entries()) {
      const Process* const process = Find(entry);
      if (!process->alive || DomainOf(entry) != domain) continue;
      Deliver(entry, process->incarnation, Milliseconds(1),
              [this, call, id = job->id](Process* target) {
                target->entry->OnJobQuestion(
                    {.call = CallId{call}, .key = "key-red", .job = JobId(id)},
                    now_);
              });
      break;
    }
  }
}

void World::OnReply(Process* /*entry*/, const EntryEffect& effect) {
  uint64_t number = 0;
  if (const auto* const answer = std::get_if<AnswerReply>(&effect)) {
    number = static_cast<uint64_t>(answer->call);
  } else if (const auto* const refusal = std::get_if<RefusalReply>(&effect)) {
    number = static_cast<uint64_t>(refusal->call);
  } else if (const auto* const job = std::get_if<JobStateReply>(&effect)) {
    number = static_cast<uint64_t>(job->call);
  }
  const auto job = job_of_call_.find(number);
  if (job != job_of_call_.end()) {
    JobLog* const log = job->second;
    if (const auto* const state = std::get_if<JobStateReply>(&effect)) {
      if (state->accepted) log->id = state->job.text();
      log->last_state = state->state.state();
      if (log->kind == wire::WORK_CLASS_SERVICE &&
          log->last_state == "running" &&
          state->state.running() == log->tasks) {
        log->last_state = "serving";
      }
    } else if (const auto* const no = std::get_if<RefusalReply>(&effect)) {
      if (log->number == number) log->refusal = std::string(Code(no->reason));
    }
    return;
  }
  for (const auto& call : calls_) {
    if (call->number != number) continue;
    call->replies.push_back(effect);
    call->replied = now_;
  }
}

void World::NoteCutOff(const std::string& entry) {
  for (const auto& call : calls_) {
    const bool accepted = now_ - call->sent > settings_.latency * 2;
    const bool unanswered = call->replies.empty() && !call->connection_lost;
    if (call->entry == entry && accepted && unanswered) {
      cut_off_.push_back(call->number);
    }
  }
}

// ---- faults ----

void World::FinishCalls(const std::string& entry) {
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
    ended.at = now_;
    ended.reason = "vm died";
    events_.push_back(ended);
  }
  process->running.clear();
  for (const auto& [ends, stream] : std::map(streams_)) {
    const bool involved = ends.first == name || ends.second == name;
    if (involved && stream.up) StreamChanged(ends.first, ends.second, false);
  }
  if (IsRole(name, "entry")) FinishCalls(name);
}

void World::Restart(const std::string& name) {
  Kill(name);
  left_at_.erase(name);
  for (Departure& departure : departures_) {
    const bool over =
        departure.worker == name && departure.until == Time::max();
    if (over) departure.until = now_;
  }
  StartProcess(name);
}

void World::Freeze(const std::string& name) {
  if (Find(name)->alive) Find(name)->frozen = true;
}

void World::Wake(const std::string& name) {
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
  if (left_at_.emplace(name, now_).second) {
    departures_.push_back({.worker = name, .from = now_});
  }
  process->worker->Leave();
  Flush(process);
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
          [this](Process* placer) { placer->placer->BeginShutdown(now_); });
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
    const PlacerStatus status = process->placer->Status(now_);
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
  return Find(placer)->placer->Status(now_);
}

size_t World::PendingAt(const std::string& entry) const {
  return Find(entry)->entry->pending();
}

const Metrics* World::MetricsOf(const std::string& process) const {
  return &Find(process)->metrics;
}

}  // namespace quetzal::testing
