#include "tests/support/faults.h"

#include <algorithm>
#include <set>

namespace quetzal::testing {
namespace {

constexpr Milliseconds kRestartAfter{3'000};
// Longer than every lease of `ShortLeaseSettings`.
constexpr Milliseconds kLongFreeze{9'000};
constexpr Milliseconds kShortFreeze{1'000};
constexpr Milliseconds kCutTime{5'000};
constexpr Milliseconds kLongCutTime{10'000};
constexpr Milliseconds kOutage{12'000};
constexpr Milliseconds kSlowTime{6'000};
constexpr Milliseconds kDelayBelowTimeout{300};
constexpr Milliseconds kDelayAboveTimeout{700};

bool IsProcess(const std::string& name) {
  return name.starts_with("entry-") || name.starts_with("placer-") ||
         name.starts_with("worker-");
}

std::string DomainOf(const MessageView& message) {
  for (const std::string& name : {message.from, message.to}) {
    if (IsProcess(name)) return name.substr(name.find('-') + 1, 1);
  }
  return "a";
}

void KillAndRestart(World* world, const std::string& process) {
  world->Kill(process);
  world->At(world->now() + kRestartAfter,
            [world, process] { world->Restart(process); });
}

void FreezeFor(World* world, const std::string& process, Milliseconds time) {
  world->Freeze(process);
  world->At(world->now() + time,
            [world, process] { world->Unfreeze(process); });
}

void CutFor(World* world, const std::string& from, const std::string& to,
            Milliseconds time) {
  world->Cut(from, to);
  world->At(world->now() + time, [world] { world->HealCuts(); });
}

// The worker that sends or receives the message, or else a random worker of
// the message's domain.
std::string PickWorker(World* world, const MessageView& message) {
  for (const std::string& name : {message.to, message.from}) {
    if (name.starts_with("worker-")) return name;
  }
  const std::string prefix = "worker-" + DomainOf(message);
  std::vector<std::string> workers;
  for (const std::string& worker : world->Workers()) {
    if (worker.starts_with(prefix)) workers.push_back(worker);
  }
  return workers[world->random()() % workers.size()];
}

// Cuts the links between the platform and all entries and placers of a failure
// domain.
void CutDomainFromPlatform(World* world, const MessageView& message) {
  const std::string domain = DomainOf(message);
  std::vector<std::string> processes = world->Entries();
  for (const std::string& placer : world->Placers()) {
    processes.push_back(placer);
  }
  for (const std::string& process : processes) {
    if (process.substr(process.find('-') + 1, 1) != domain) continue;
    world->Cut(process, "platform");
    world->Cut("platform", process);
  }
  world->At(world->now() + kLongCutTime, [world] { world->HealCuts(); });
}

// Two operators write the same record at the same time.
void RaceOperators(World* world) {
  for (const int depth : {150, 250}) {
    const std::string value =
        R"({"schema":"v2","kind":"queue","name":"red-q","team":"red",)"
        R"("depth":)" +
        std::to_string(depth) + "}";
    world->At(world->now(),
              [world, value] { world->Apply("queue/red-q", value); });
  }
}

std::vector<Fault> MakeFaults() {
  using View = MessageView;
  return {
      {.name = "kill sender",
       .inject = [](World* w, const View& m) { KillAndRestart(w, m.from); },
       .needs_sender = true},
      {.name = "kill receiver",
       .inject = [](World* w, const View& m) { KillAndRestart(w, m.to); },
       .needs_receiver = true},
      {.name = "freeze sender past leases",
       .inject = [](World* w,
                    const View& m) { FreezeFor(w, m.from, kLongFreeze); },
       .needs_sender = true},
      {.name = "freeze receiver past leases",
       .inject = [](World* w,
                    const View& m) { FreezeFor(w, m.to, kLongFreeze); },
       .needs_receiver = true},
      {.name = "freeze sender shortly",
       .inject = [](World* w,
                    const View& m) { FreezeFor(w, m.from, kShortFreeze); },
       .needs_sender = true},
      {.name = "freeze receiver shortly",
       .inject = [](World* w,
                    const View& m) { FreezeFor(w, m.to, kShortFreeze); },
       .needs_receiver = true},
      {.name = "cut",
       .inject =
           [](World* w, const View& m) {
             CutFor(w, m.from, m.to, kCutTime);
             CutFor(w, m.to, m.from, kCutTime);
           },
       .needs_message = true},
      {.name = "cut one way",
       .inject = [](World* w,
                    const View& m) { CutFor(w, m.from, m.to, kCutTime); },
       .needs_message = true},
      {.name = "cut the way back",
       .inject = [](World* w,
                    const View& m) { CutFor(w, m.to, m.from, kCutTime); },
       .needs_message = true},
      {.name = "domain cut off from platform", .inject = CutDomainFromPlatform},
      {.name = "message lost",
       .fate = MessageFate::kLose,
       .needs_message = true},
      {.name = "message repeated",
       .fate = MessageFate::kRepeat,
       .needs_message = true},
      {.name = "message delayed",
       .fate = MessageFate::kDelay,
       .needs_message = true},
      {.name = "message reordered",
       .fate = MessageFate::kReorder,
       .needs_message = true},
      {.name = "store down",
       .inject =
           [](World* w, const View&) {
             w->SetPlatformDown(true);
             w->At(w->now() + kOutage, [w] { w->SetPlatformDown(false); });
           }},
      {.name = "store slow",
       .inject =
           [](World* w, const View&) {
             w->SetPlatformSlow(kDelayBelowTimeout);
             w->At(w->now() + kSlowTime,
                   [w] { w->SetPlatformSlow(Milliseconds(0)); });
           }},
      {.name = "store slower than its timeout",
       .inject =
           [](World* w, const View&) {
             w->SetPlatformSlow(kDelayAboveTimeout);
             w->At(w->now() + kSlowTime,
                   [w] { w->SetPlatformSlow(Milliseconds(0)); });
           }},
      {.name = "answer lost after effect",
       .inject = [](World* w, const View&) { w->DropNextAnswer(); }},
      {.name = "history compacted",
       .inject = [](World* w, const View&) { w->CompactHistory(); }},
      {.name = "worker death",
       .inject = [](World* w,
                    const View& m) { KillAndRestart(w, PickWorker(w, m)); }},
      {.name = "worker death for good",
       .inject = [](World* w, const View& m) { w->Kill(PickWorker(w, m)); }},
      {.name = "worker leaving",
       .inject =
           [](World* w, const View& m) {
             const std::string worker = PickWorker(w, m);
             w->Leave(worker);
             w->At(w->now() + kLongCutTime,
                   [w, worker] { w->Restart(worker); });
           }},
      {.name = "stale VM list and worker death",
       .inject =
           [](World* w, const View& m) {
             w->SetVmListStale(true);
             w->At(w->now() + kOutage, [w] { w->SetVmListStale(false); });
             KillAndRestart(w, PickWorker(w, m));
           }},
      {.name = "operators race",
       .inject = [](World* w, const View&) { RaceOperators(w); }},
      {.name = "placer killed with store down",
       .inject =
           [](World* w, const View& m) {
             w->SetPlatformDown(true);
             w->At(w->now() + kOutage, [w] { w->SetPlatformDown(false); });
             const std::string active = w->ActivePlacer(DomainOf(m));
             if (!active.empty()) w->Kill(active);
             w->At(w->now() + kOutage, [w, active] {
               if (!active.empty()) w->Restart(active);
             });
           }},
  };
}

}  // namespace

const std::vector<Step>& AllSteps() {
  static const std::vector<Step> steps = {
      {.name = "accept", .kind = "accept"},
      {.name = "admit", .kind = "submit"},
      {.name = "queue", .kind = "submit", .while_waiting = true},
      {.name = "send", .kind = "start"},
      {.name = "start", .kind = "started"},
      {.name = "run", .kind = "started", .after = Milliseconds(15)},
      {.name = "answer", .kind = "ended"},
      {.name = "settle", .kind = "settled"},
      {.name = "confirm", .kind = "settle_received"},
      {.name = "acknowledge", .kind = "acknowledge"},
      {.name = "renew", .kind = "grant"},
      {.name = "granted", .kind = "granted"},
      {.name = "take over", .kind = "put seats"},
      {.name = "hand over", .kind = "release"},
      {.name = "rebalance", .kind = "put allotments"},
      {.name = "accept job", .kind = "submit_job"},
      {.name = "commit job", .kind = "put jobs"},
      {.name = "reply job", .kind = "job"},
      {.name = "hold gang", .kind = "hold"},
      {.name = "start gang", .kind = "go"},
      {.name = "cancel", .kind = "stop"},
      {.name = "apply record", .kind = "apply"},
      {.name = "revoke", .kind = "withdraw"},
      {.name = "worker leaves", .kind = "leaving"},
      {.name = "drain entry", .kind = "drain_entry"},
  };
  return steps;
}

const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault> faults = MakeFaults();
  return faults;
}

bool IsApplicable(const Step& step, const Fault& fault) {
  // Callers, operators and the platform are not processes of the world.
  static const std::set<std::string> from_outside = {"accept", "apply",
                                                     "withdraw", "drain_entry"};
  static const std::set<std::string> to_outside = {
      "apply", "withdraw", "put seats", "put allotments", "put jobs"};
  // Delivered within a single event, so no message is in transit.
  static const std::set<std::string> no_message = {"accept", "apply",
                                                   "withdraw", "drain_entry"};
  if (fault.needs_sender && from_outside.contains(step.kind)) return false;
  if (fault.needs_receiver && to_outside.contains(step.kind)) return false;
  const bool later = step.after.count() > 0;
  return !(fault.needs_message && (no_message.contains(step.kind) || later));
}

std::vector<PlannedFault> RandomFaults(int seed) {
  std::mt19937_64 random(static_cast<uint64_t>(seed) * 7919);
  std::vector<PlannedFault> planned_faults;
  while (planned_faults.size() < 2) {
    const Step& step = AllSteps()[random() % AllSteps().size()];
    const Fault& fault = AllFaults()[random() % AllFaults().size()];
    if (IsApplicable(step, fault)) planned_faults.push_back({step, fault});
  }
  return planned_faults;
}

FaultInjector::FaultInjector(World* world,
                             std::vector<PlannedFault> planned_faults,
                             uint64_t seed)
    : world_(world) {
  std::mt19937_64 random(seed * 104729 + 1);
  // Rare steps get their fault at the first occurrence.
  static const std::set<std::string> rare = {
      "put seats",  "release",  "put allotments", "submit_job",
      "put jobs",   "job",      "hold",           "go",
      "stop",       "withdraw", "leaving",        "apply",
      "drain_entry"};
  for (PlannedFault& planned : planned_faults) {
    constexpr uint64_t kMaxSkipped = 40;
    const bool seldom =
        rare.contains(planned.step.kind) || planned.step.while_waiting;
    const int skip = seldom ? 0 : static_cast<int>(random() % kMaxSkipped);
    armed_.push_back({.planned = std::move(planned), .skip = skip});
  }
  world_->SetMessageRule(
      [this](const MessageView& message) { return OnMessage(message); });
}

MessageFate FaultInjector::OnMessage(const MessageView& message) {
  MessageFate fate = MessageFate::kDeliver;
  for (Armed& armed : armed_) {
    const Step& step = armed.planned.step;
    if (armed.done || step.kind != message.kind) continue;
    if (step.while_waiting) {
      const std::string active = world_->ActivePlacer(DomainOf(message));
      if (active.empty() || world_->StatusOf(active).waiting == 0) continue;
    }
    if (armed.skip-- > 0) continue;
    armed.done = true;
    ++injected_count_;
    const Fault& fault = armed.planned.fault;
    fate = fault.fate;
    if (!fault.inject) continue;
    if (step.after.count() > 0) {
      world_->At(world_->now() + step.after,
                 [world = world_, inject = fault.inject, message] {
                   inject(world, message);
                 });
    } else {
      fault.inject(world_, message);
    }
  }
  return fate;
}

}  // namespace quetzal::testing
