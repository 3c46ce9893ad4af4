// A failure domain for measuring decisions: the production placer core, virtual
// workers that run each task for its actual run time, and work that the caller
// submits. It has no network and no model of VMs.
//
//   VirtualDomain domain({.workers = 50}, placer_settings);
//   domain.Submit({.team = "a", .size = size, .run = Milliseconds(40)});
//   domain.RunUntil(time);
#ifndef BENCH_SUPPORT_VIRTUAL_DOMAIN_H_
#define BENCH_SUPPORT_VIRTUAL_DOMAIN_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/placer.h"
#include "standins/platform/kv_model.h"
#include "tests/support/event_queue.h"

namespace quetzal::bench {

struct VirtualDomainSettings {
  int workers = 50;
  int workers_per_rack = 8;
  Resources capacity = {.cpu_milli = 16'000, .memory_mib = 32'768, .slots = 8};
  std::set<int> failing;  // indices of workers on which every task fails
};

// A request or job with its actual run time.
struct VirtualWork {
  std::string team;
  wire::WorkClass work_class = wire::WORK_CLASS_REQUEST;
  bool urgent = false;
  uint32_t tasks = 1;
  Resources size;
  Milliseconds run{50};
  Milliseconds deadline{10'000};
};

struct VirtualOutcome {
  std::string label;  // class, or "urgent"
  std::string team;
  Milliseconds waited{0};  // until its (last) first start
};

class VirtualDomain {
 public:
  VirtualDomain(VirtualDomainSettings settings, PlacerSettings placer,
                const std::map<std::string, int>& team_shares);

  Time now() const { return events_.now(); }
  void Submit(const VirtualWork& work);
  void RunUntil(Time until) { events_.RunUntil(until); }

  // First starts, with the time that the work waited.
  const std::vector<VirtualOutcome>& started() const { return started_; }
  const std::map<std::string, uint64_t>& refused() const { return refused_; }
  // Core-milliseconds of stopped and failed runs.
  uint64_t wasted_ms() const { return wasted_ms_; }
  uint64_t useful_ms() const { return useful_ms_; }
  PlacerStatus Status() const { return core_->Status(now()); }
  std::map<TeamId, Resources> Usage() const { return core_->Usage(); }
  // By team: the total size of its submitted work that hasn't ended.
  std::map<std::string, Resources> Demand() const;
  Resources TotalCapacity() const;
  uint64_t sent_messages() const { return messages_; }
  uint64_t sent_bytes() const { return bytes_; }
  uint64_t platform_calls() const { return kv_.calls(); }

 private:
  struct Running {
    WorkerId worker;
    wire::Work work;
    bool held = false;
    Time started;
    uint64_t number = 0;
  };
  struct WorkState {
    VirtualWork work;
    Time submitted;
    uint32_t unfinished = 0;  // tasks that have not ended
    bool started = false;
  };

  void Tick();
  void DeliverEffects();
  void OnWorkerMessage(const WorkerId& worker,
                       const wire::PlacerToWorker& message);
  void OnGrant(const WorkerId& worker, const wire::Grant& grant);
  void StartAttempt(const std::string& attempt);
  void EndAttempt(const std::string& attempt, wire::Outcome outcome);
  void RecordEnded(const std::string& id, uint32_t tasks);
  void RecordStart(const wire::Work& work);
  bool Fails(const WorkerId& worker) const;

  VirtualDomainSettings settings_;
  Metrics metrics_;
  RecordStore records_;
  std::unique_ptr<PlacerCore> core_;
  standin::KvModel kv_;
  uint64_t next_work_ = 1;
  uint64_t next_run_ = 1;
  testing::EventQueue events_{Time(Milliseconds(1'000'000))};
  std::unordered_map<std::string, Running> running_;
  // By request or job id.
  std::unordered_map<std::string, WorkState> work_states_;
  std::map<std::string, Resources> demand_;
  std::vector<VirtualOutcome> started_;
  std::map<std::string, uint64_t> refused_;
  uint64_t wasted_ms_ = 0;
  uint64_t useful_ms_ = 0;
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace quetzal::bench

#endif  // BENCH_SUPPORT_VIRTUAL_DOMAIN_H_
