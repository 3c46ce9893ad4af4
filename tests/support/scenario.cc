#include "tests/support/scenario.h"

#include <nlohmann/json.hpp>

#include "quetzal/record/record.h"

namespace quetzal::testing {
namespace {

std::string Team(const std::string& name, int share, const Resources& limit) {
  return nlohmann::json({{"schema", "v2"},
                         {"kind", "team"},
                         {"name", name},
                         {"share", share},
                         {"limit",
                          {{"cpu_milli", limit.cpu_milli},
                           {"memory_mib", limit.memory_mib},
                           {"slots", limit.slots}}}})
      .dump();
}

std::string Key(const std::string& name, const std::string& team) {
  return nlohmann::json({{"schema", "v1"},
                         {"kind", "key"},
                         {"name", name},
                         {"team", team},
                         {"digest", KeyDigest(name)}})
      .dump();
}

std::string Queue(const std::string& name, const std::string& team, bool open,
                  int depth) {
  return nlohmann::json({{"schema", "v2"},
                         {"kind", "queue"},
                         {"name", name},
                         {"team", team},
                         {"open", open},
                         {"depth", depth},
                         {"when_cut", open ? "serve" : "refuse"}})
      .dump();
}

constexpr Resources kRedLimit = {
    .cpu_milli = 16'000, .memory_mib = 40'000, .slots = 16};
constexpr Resources kBlueLimit = {
    .cpu_milli = 6'000, .memory_mib = 20'000, .slots = 6};
constexpr Resources kLoweredBlueLimit = {
    .cpu_milli = 3'000, .memory_mib = 10'000, .slots = 3};
constexpr Resources kTaskSize = {.cpu_milli = 500, .memory_mib = 256};

// Time after which a caller without a reply resends its request.
constexpr Milliseconds kResendAfter{3'000};

CallSpec RandomCall(World* world, int index) {
  auto& random = world->random();
  CallSpec spec;
  const uint64_t pick = random() % 10;
  if (pick < 4) {
    spec.queue = "red-q";
    spec.key = "key-red";
  } else if (pick < 7) {
    spec.queue = "blue-q";
    spec.key = "key-blue";
  } else if (pick < 8) {
    spec.queue = "open-q";
  } else if (pick < 9) {
    spec.queue = "red-q";
    spec.key = "key-green";  // revoked during the workload
  } else {
    spec.queue = "blue-q";
    spec.key = random() % 2 == 0 ? "key-red" : "no-such-key";
  }
  spec.idempotent = random() % 2 == 0;
  spec.urgent = random() % 20 == 0;
  spec.run_ms = 20 + static_cast<int>(random() % 250);
  spec.fails = random() % 30 == 0;
  spec.deadline = Milliseconds(2'000 + random() % 8'000);
  if (random() % 4 == 0) spec.request_key = "rk" + std::to_string(index);
  return spec;
}

std::string RandomEntry(World* world, const std::string& domain) {
  std::vector<std::string> entries;
  for (const std::string& entry : world->Entries()) {
    if (domain.empty() || entry.starts_with("entry-" + domain)) {
      entries.push_back(entry);
    }
  }
  return entries[world->random()() % entries.size()];
}

// Resends a request that has no reply and has a request key.
void ResendIfNeeded(World* world, const CallLog* first) {
  if (first->spec.request_key.empty() || !first->replies.empty()) return;
  const std::string domain = first->entry.substr(6, 1);
  world->Submit(RandomEntry(world, domain), first->spec);
}

void ScheduleRequests(World* world) {
  constexpr int kCount = 200;
  constexpr int64_t kIntervalMs = 110;
  for (int i = 0; i < kCount; ++i) {
    world->At(world->now() + Milliseconds(i * kIntervalMs), [world, i] {
      const CallLog* const call =
          world->Submit(RandomEntry(world, ""), RandomCall(world, i));
      world->At(world->now() + kResendAfter,
                [world, call] { ResendIfNeeded(world, call); });
    });
  }
  constexpr int kBurst = 40;
  world->At(world->now() + Milliseconds(4'000), [world] {
    for (int i = 0; i < kBurst; ++i) {
      CallSpec spec{.queue = "red-q", .key = "key-red"};
      spec.idempotent = i % 2 == 0;
      spec.run_ms = 300;
      world->Submit(RandomEntry(world, "a"), spec);
    }
  });
}

void ScheduleJobs(World* world) {
  const CallSpec base{.queue = "red-q",
                      .key = "key-red",
                      .idempotent = true,
                      .run_ms = 800,
                      .size = kTaskSize};
  world->At(world->now() + Milliseconds(1'000), [world, base] {
    world->SubmitJob("entry-a-1", base, wire::WORK_CLASS_BATCH, 12);
    CallSpec once = base;
    once.idempotent = false;
    world->SubmitJob("entry-a-2", once, wire::WORK_CLASS_BATCH, 6);
  });
  world->At(world->now() + Milliseconds(2'500), [world, base] {
    CallSpec service = base;
    service.run_ms = -1;
    service.idempotent = false;
    world->SubmitJob("entry-b-1", service, wire::WORK_CLASS_SERVICE, 2);
    CallSpec slow = base;
    slow.run_ms = 5'000;
    JobLog* const job =
        world->SubmitJob("entry-a-2", slow, wire::WORK_CLASS_BATCH, 20);
    world->At(world->now() + Milliseconds(6'000), [world, job] {
      if (!job->id.empty()) world->CancelJob(job);
    });
  });
  for (int i = 0; i < 4; ++i) {
    world->At(world->now() + Milliseconds(3'000 + i * 3'500), [world, base, i] {
      CallSpec gang = base;
      gang.run_ms = 1'000;
      world->SubmitJob(i % 2 == 0 ? "entry-a-1" : "entry-b-2", gang,
                       wire::WORK_CLASS_GANG, 4);
    });
  }
}

void ScheduleOperators(World* world) {
  const auto at = [world](int64_t ms, std::function<void()> function) {
    world->At(world->now() + Milliseconds(ms), std::move(function));
  };
  at(6'000, [world] { world->Withdraw("key/key-green"); });
  at(9'000, [world] { LowerBlueLimit(world); });
  for (int i = 0; i < 8; ++i) {
    at(2'000 + i * 2'500,
       [world, i] { world->Apply("queue/open-q", OpenQueueRecord(100 + i)); });
  }
  at(11'000, [world] { world->Leave("worker-b-1"); });
  at(19'000, [world] { world->Restart("worker-b-1"); });
  at(12'000, [world] { world->BeginEntryDrain("entry-b-2"); });
  at(20'000, [world] { world->Restart("entry-b-2"); });
  at(14'000, [world] {
    const std::string active = world->ActivePlacer("b");
    if (active.empty()) return;
    world->BeginPlacerShutdown(active);
    world->At(world->now() + Milliseconds(5'000),
              [world, active] { world->Restart(active); });
  });
}

}  // namespace

WorldSettings ShortLeaseSettings() {
  WorldSettings settings;
  settings.domains = 2;
  settings.placer.contract = {.ttl = Milliseconds(2'000),
                              .renewal_interval = Milliseconds(500),
                              .task_lease = Milliseconds(4'000),
                              .grant_retry_delay = Milliseconds(300)};
  settings.placer.election = {.lease = Milliseconds(1'500),
                              .renewal_interval = Milliseconds(400),
                              .call_timeout = Milliseconds(600),
                              .fallback_after = Milliseconds(3'000),
                              .majority_timeout = Milliseconds(4'000)};
  settings.placer.start_timeout = Milliseconds(800);
  settings.placer.gang_hold_ttl = Milliseconds(2'000);
  settings.placer.gang_reservation_delay = Milliseconds(1'500);
  settings.placer.outcome_retention = Milliseconds(30'000);
  return settings;
}

void ApplyInitialRecords(World* world) {
  world->Apply("team/red", Team("red", 2, kRedLimit));
  world->Apply("team/blue", Team("blue", 1, kBlueLimit));
  world->Apply("key/key-red", Key("key-red", "red"));
  world->Apply("key/key-green", Key("key-green", "red"));
  world->Apply("key/key-blue", Key("key-blue", "blue"));
  world->Apply("queue/red-q", Queue("red-q", "red", false, 200));
  world->Apply("queue/blue-q", Queue("blue-q", "blue", false, 200));
  world->Apply("queue/open-q", OpenQueueRecord(100));
}

void LowerBlueLimit(World* world) {
  world->Apply("team/blue", Team("blue", 1, kLoweredBlueLimit));
}

std::string OpenQueueRecord(int depth) {
  return Queue("open-q", "red", true, depth);
}

void ScheduleWorkload(World* world) {
  ScheduleRequests(world);
  ScheduleJobs(world);
  ScheduleOperators(world);
}

}  // namespace quetzal::testing
