#include "tests/support/faults.h"

#include <algorithm>
#include <set>

namespace quetzal::testing {
namespace {

constexpr Milliseconds kRestartAfter{3'000};
// Longer than every lease of `QuickWorld`.
constexpr Milliseconds kLongFreeze{9'000};
constexpr Milliseconds kShortFreeze{1'000};
constexpr Milliseconds kCutTime{5'000};
constexpr Milliseconds kLongCutTime{10'000};
constexpr Milliseconds kOutage{12'000};
constexpr Milliseconds kSlowTime{6'000};
constexpr Milliseconds kSlowButAnswered{300};
constexpr Milliseconds kSlowPastTimeout{700};

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

void KillForAWhile(World* world, const std::string& process) {
  world->Kill(process);
  world->At(world->now() + kRestartAfter,
            [world, process] { world->Restart(process); });
}

void FreezeFor(World* world, const std::string& process, Milliseconds time) {
  world->Freeze(process);
  world->At(world->now() + time, [world, process] { world->Wake(process); });
}

void CutFor(World* world, const std::string& from, const std::string& to,
            Milliseconds time) {
  world->Cut(from, to);
  world->At(world->now() + time, [world] { world->HealCuts(); });
}

// A worker of the message's domain, the one it names if it names one.
std::string SomeWorker(World* world, const MessageView& message) {
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

// Cuts a whole failure domain off from the platform.
void CutDomainOff(World* world, const MessageView& message) {
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
       .strike = [](World* w, const View& m) { KillForAWhile(w, m.from); },
       .needs_sender = true},
      {.name = "kill receiver",
       .strike = [](World* w, const View& m) { KillForAWhile(w, m.to); },
       .needs_receiver = true},
      {.name = "freeze sender past leases",
       .strike = [](World* w,
                    const View& m) { FreezeFor(w, m.from, kLongFreeze); },
       .needs_sender = true},
      {.name = "freeze receiver past leases",
       .strike = [](World* w,
                    const View& m) { FreezeFor(w, m.to, kLongFreeze); },
       .needs_receiver = true},
      {.name = "freeze sender shortly",
       .strike = [](World* w,
                    const View& m) { FreezeFor(w, m.from, kShortFreeze); },
       .needs_sender = true},
      {.name = "freeze receiver shortly",
       .strike = [](World* w,
                    const View& m) { FreezeFor(w, m.to, kShortFreeze); },
       .needs_receiver = true},
      {.name = "cut",
       .strike =
           [](World* w, const View& m) {
             CutFor(w, m.from, m.to, kCutTime);
             CutFor(w, m.to, m.from, kCutTime);
           },
       .needs_message = true},
      {.name = "cut one way",
       .strike = [](World* w,
                    const View& m) { CutFor(w, m.from, m.to, kCutTime); },
       .needs_message = true},
      {.name = "cut the way back",
       .strike = [](World* w,
                    const View& m) { CutFor(w, m.to, m.from, kCutTime); },
       .needs_message = true},
      {.name = "domain cut off from platform", .strike = CutDomainOff},
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
       .strike =
           [](World* w, const View&) {
             w->SetPlatformDown(true);
             w->At(w->now() + kOutage, [w] { w->SetPlatformDown(false); });
           }},
      {.name = "store slow",
       .strike =
           [](World* w, const View&) {
             w->SetPlatformSlow(kSlowButAnswered);
             w->At(w->now() + kSlowTime,
                   [w] { w->SetPlatformSlow(Milliseconds(0)); });
           }},
      {.name = "store slower than its timeout",
       .strike =
           [](World* w, const View&) {
             w->SetPlatformSlow(kSlowPastTimeout);
             w->At(w->now() + kSlowTime,
                   [w] { w->SetPlatformSlow(Milliseconds(0)); });
           }},
      {.name = "answer lost after effect",
       .strike = [](World* w, const View&) { w->DropNextAnswer(); }},
      {.name = "history compacted",
       .strike = [](World* w, const View&) { w->CompactHistory(); }},
      {.name = "worker death",
       .strike = [](World* w,
                    const View& m) { KillForAWhile(w, SomeWorker(w, m)); }},
      {.name = "worker death for good",
       .strike = [](World* w, const View& m) { w->Kill(SomeWorker(w, m)); }},
      {.name = "worker leaving",
       .strike =
           [](World* w, const View& m) {
             const std::string worker = SomeWorker(w, m);
             w->Leave(worker);
             w->At(w->now() + kLongCutTime,
                   [w, worker] { w->Restart(worker); });
           }},
      {.name = "stale VM list and worker death",
       .strike =
           [](World* w, const View& m) {
             w->SetVmListStale(true);
             w->At(w->now() + kOutage, [w] { w->SetVmListStale(false); });
             KillForAWhile(w, SomeWorker(w, m));
           }},
      {.name = "operators race",
       .strike = [](World* w, const View&) { RaceOperators(w); }},
      {.name = "placer killed with store down",
       .strike =
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

bool Applies(const Step& step, const Fault& fault) {
  // Callers and operators are not processes of ours, nor is the platform.
  static const std::set<std::string> from_outside = {"accept", "apply",
                                                     "withdraw", "drain_entry"};
  static const std::set<std::string> to_outside = {
      "apply", "withdraw", "put seats", "put allotments", "put jobs"};
  // Handed to the process within one event; nothing is on the way.
  static const std::set<std::string> no_message = {"accept", "apply",
                                                   "withdraw", "drain_entry"};
  if (fault.needs_sender && from_outside.contains(step.kind)) return false;
  if (fault.needs_receiver && to_outside.contains(step.kind)) return false;
  const bool later = step.after.count() > 0;
  return !(fault.needs_message && (no_message.contains(step.kind) || later));
}

std::vector<Strike> RandomStrikes(int seed) {
  std::mt19937_64 random(static_cast<uint64_t>(seed) * 7919);
  std::vector<Strike> strikes;
  while (strikes.size() < 2) {
    const Step& step = AllSteps()[random() % AllSteps().size()];
    const Fault& fault = AllFaults()[random() % AllFaults().size()];
    if (Applies(step, fault)) strikes.push_back({step, fault});
  }
  return strikes;
}

Striker::Striker(World* world, std::vector<Strike> strikes, uint64_t seed)
    : world_(world) {
  std::mt19937_64 random(seed * 104729 + 1);
  // Steps that happen only now and then are struck at their first occurrence.
  static const std::set<std::string> rare = {
      "put seats",  "release",  "put allotments", "submit_job",
      "put jobs",   "job",      "hold",           "go",
      "stop",       "withdraw", "leaving",        "apply",
      "drain_entry"};
  for (Strike& strike : strikes) {
    constexpr uint64_t kMostSkipped = 40;
    const bool seldom =
        rare.contains(strike.step.kind) || strike.step.while_waiting;
    const int skip = seldom ? 0 : static_cast<int>(random() % kMostSkipped);
    armed_.push_back({.strike = std::move(strike), .skip = skip});
  }
  world_->SetMessageRule(
      [this](const MessageView& message) { return OnMessage(message); });
}

MessageFate Striker::OnMessage(const MessageView& message) {
  MessageFate fate = MessageFate::kDeliver;
  for (Armed& armed : armed_) {
    const Step& step = armed.strike.step;
    if (armed.done || step.kind != message.kind) continue;
    if (step.while_waiting) {
      const std::string active = world_->ActivePlacer(DomainOf(message));
      if (active.empty() || world_->StatusOf(active).waiting == 0) continue;
    }
    if (armed.skip-- > 0) continue;
    armed.done = true;
    ++struck_;
    const Fault& fault = armed.strike.fault;
    fate = fault.fate;
    if (!fault.strike) continue;
    if (step.after.count() > 0) {
      world_->At(world_->now() + step.after,
                 [world = world_, strike = fault.strike, message] {
                   strike(world, message);
                 });
    } else {
      fault.strike(world_, message);
    }
  }
  return fate;
}

}  // namespace quetzal::testing
