// The processes inside a `World`, and constants and helpers that the source
// files of `World` share. Internal to them.
#ifndef TESTS_SUPPORT_WORLD_PROCESS_H_
#define TESTS_SUPPORT_WORLD_PROCESS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/world.h"

namespace quetzal::testing {

inline constexpr Milliseconds kTick{50};
inline constexpr Milliseconds kPlatformTimeout{500};
inline constexpr Milliseconds kPlatformLatency{2};
inline constexpr Milliseconds kVmPollInterval{1'000};
// Time after which both ends close a stream without connectivity.
inline constexpr Milliseconds kStreamTimeout{1'500};
inline constexpr Milliseconds kMessageDelay{800};
inline constexpr Milliseconds kReorderDelay{20};

inline std::string DomainOf(const std::string& process) {
  const size_t first = process.find('-');
  return process.substr(first + 1, process.find('-', first + 1) - first - 1);
}

inline bool IsRole(const std::string& process, const std::string& role) {
  return process.starts_with(role + "-");
}

// The platform client of one process.
class World::ProcessPlatform : public PlatformClient {
 public:
  ProcessPlatform(World* world, std::string process)
      : world_(world), process_(std::move(process)) {}

  void Call(const KvCall& call, KvHandler handler) override {
    world_->CallPlatform(world_->Find(process_), call, handler);
  }
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             WatchHandler handler) override {
    world_->WatchPlatform(world_->Find(process_), prefix, after, wait, handler);
  }
  void ListVms(VmHandler handler) override { handler(std::nullopt); }
  PlatformHealth health() const override { return health_; }
  void SetHealth(PlatformHealth health) { health_ = health; }

 private:
  World* world_;
  std::string process_;
  PlatformHealth health_ = PlatformHealth::kReachable;
};

struct World::Process {
  explicit Process(const WorldSettings& settings)
      : records({.checks_revisions = settings.records_check_revisions}) {}

  std::string name;
  uint64_t incarnation = 0;
  bool alive = false;
  bool frozen = false;
  std::vector<std::function<void(Process*)>> backlog;
  Time polled_at;
  uint64_t seen_revision = 0;
  Time platform_reachable_since;  // without interruption
  Metrics metrics;
  RecordStore records;
  std::unique_ptr<ProcessPlatform> platform;
  std::unique_ptr<PlacerCore> placer;
  std::unique_ptr<EntryCore> entry;
  std::unique_ptr<RecordWatcher> record_watcher;
  std::unique_ptr<standin::WorkerModel> worker;
  std::map<std::string, standin::WorkerEvent> running;
};

}  // namespace quetzal::testing

#endif  // TESTS_SUPPORT_WORLD_PROCESS_H_
