#include <algorithm>
#include <utility>

#include "tests/support/world_process.h"

namespace quetzal::testing {
namespace {

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

// ---- platform ----

void World::CallPlatform(Process* process, const KvCall& call,
                         const PlatformClient::KvHandler& handler) {
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
  const KvAnswer no_answer{.id = call.id};
  Deliver(name, incarnation, kPlatformTimeout,
          [answer_with, no_answer](Process* target) {
            answer_with(target, no_answer, PlatformHealth::kUnreachable);
          });
  const MessageFate fate =
      rule_ ? rule_({.from = name, .to = "platform", .kind = KindOf(call)})
            : MessageFate::kDeliver;
  if (fate == MessageFate::kLose || !Reachable(name, "platform")) return;
  Milliseconds delay = kPlatformLatency + platform_slow_;
  if (fate == MessageFate::kDelay) delay += kMessageDelay;
  if (fate == MessageFate::kReorder) delay += kReorderDelay;
  const auto serve = [this, name, incarnation, call, answer_with, no_answer] {
    if (platform_down_) {
      Deliver(name, incarnation, kPlatformLatency,
              [answer_with, no_answer](Process* target) {
                answer_with(target, no_answer, PlatformHealth::kDown);
              });
      return;
    }
    const KvAnswer answer = kv_.Apply(call, now());
    ServeWatchers();
    if (IsWrite(call) && drop_answers_ > 0) {
      --drop_answers_;
      return;
    }
    if (!Reachable("platform", name)) return;
    Deliver(name, incarnation, kPlatformLatency,
            [answer_with, answer](Process* target) {
              answer_with(target, answer, PlatformHealth::kReachable);
            });
  };
  At(now() + delay, serve);
  if (fate == MessageFate::kRepeat) At(now() + delay + kReorderDelay, serve);
}

void World::WatchPlatform(Process* process, const std::string& prefix,
                          Revision after, Milliseconds wait,
                          const PlatformClient::WatchHandler& handler) {
  const std::string name = process->name;
  const uint64_t incarnation = process->incarnation;
  auto answered = std::make_shared<bool>(false);
  const auto once = [answered, handler](const KvWatchAnswer& answer) {
    if (!std::exchange(*answered, true)) handler(answer);
  };
  Deliver(name, incarnation, wait + kPlatformTimeout,
          [once, answered](Process* target) {
            if (!*answered) {
              target->platform->SetHealth(PlatformHealth::kUnreachable);
            }
            once(KvWatchAnswer{});
          });
  if (!Reachable(name, "platform")) return;
  if (platform_down_) {
    Deliver(name, incarnation, kPlatformLatency, [once](Process* target) {
      target->platform->SetHealth(PlatformHealth::kDown);
      once(KvWatchAnswer{});
    });
    return;
  }
  watchers_.push_back({.process = name,
                       .incarnation = incarnation,
                       .prefix = prefix,
                       .after = after,
                       .until = now() + wait,
                       .handler = once});
  ServeWatchers();
}

void World::ServeWatchers() {
  std::vector<Watcher> kept;
  for (Watcher& watcher : std::exchange(watchers_, {})) {
    KvWatchAnswer answer{.kind = KvWatchAnswer::Kind::kChanges,
                         .store_revision = Revision{kv_.revision()}};
    PlatformHealth health = PlatformHealth::kReachable;
    const auto changes =
        kv_.Since(watcher.prefix, static_cast<uint64_t>(watcher.after));
    if (platform_down_) {
      answer = {};
      health = PlatformHealth::kDown;
    } else if (!changes) {
      answer.kind = KvWatchAnswer::Kind::kCompacted;
    } else if (changes->empty() && now() < watcher.until) {
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

}  // namespace quetzal::testing
