// Jobs: what callers request, and the progress of their steps and tasks.
//
//   JobSpec spec{.specification = "...", .steps = {{.count = 4}}};
//   const Problems problems = ValidateJob(spec);
//   JobProgress progress = InitialProgress(spec);
//   progress.steps[0].tasks[3].done = true;
//   const std::string stored = EncodeProgress(progress);
//
// A job is accepted once under the id that its caller chose. Each of its steps
// has a number of tasks; a step starts when all tasks of the steps in its
// `after` are done. The encoded forms are the values that Quetzal keeps in the
// store.
#ifndef QUETZAL_JOB_JOB_H_
#define QUETZAL_JOB_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/resources/resources.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

using ServiceId = Id<struct ServiceTag>;
using MachineId = Id<struct MachineTag>;

// Milliseconds since 1970 by the wall clock of some machine: for ages that must
// survive a takeover, never for leases.
enum class WallTime : int64_t {};

struct StepSpec {
  int count = 1;                       // number of tasks
  Resources demand;                    // of each task
  Milliseconds estimated_run_time{0};  // the caller's estimate
  std::vector<int> after;  // indexes of earlier steps that must be done first
  bool saves_progress = false;     // its tasks write checkpoints
  bool gang = false;               // tasks run only together and end together
  bool rack_local = false;         // its tasks run slower across racks
  std::string required_label;      // empty: any worker
  std::string preferred_rack;      // where its data is; empty: no preference
  int max_per_worker = 0;          // 0: unlimited
  bool speculative = false;        // copies of a task may run in parallel
  bool long_running = false;       // runs until the job is cancelled
  std::string image;               // tasks of one image behave alike
  Milliseconds latency_target{0};  // of a long-running task; 0: none
  bool best_effort = false;  // uses only processors that others leave unused
  int max_unavailable = 0;   // of a long-running step; 0: no guarantee
};

struct Schedule {
  int64_t repetitions = 0;  // 0: the steps run once, immediately
  WallTime first{0};
  Milliseconds interval{0};
};

struct JobSpec {
  std::string specification;  // passed to each task unchanged
  std::vector<StepSpec> steps;
  Schedule schedule;
};

// A job that was accepted and stored: the request, its owner, and the time of
// its acceptance. What it takes from its queue also holds once the queue is
// removed.
struct AcceptedJob {
  JobId id;
  TeamId team;
  QueueId queue;
  ServiceId service;     // the queue's service when the job was accepted
  int max_attempts = 1;  // of each task; the queue's at that time
  WallTime accepted{0};
  JobSpec spec;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
bool IsFinal(JobState state);

struct TaskProgress {
  bool done = false;
  // Runs that failed through the task's or its worker's fault.
  std::vector<int64_t> failed_runs;
  int64_t last_run = 0;
  std::string checkpoint;  // empty: none

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

struct StepProgress {
  std::vector<TaskProgress> tasks;
};

struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<StepProgress> steps;
};

JobProgress InitialProgress(const JobSpec& spec);

// Returns everything that makes the job impossible to run as specified.
Problems ValidateJob(const JobSpec& spec);
// True for scheduled jobs, which aren't supported yet.
bool IsUnsupportedKind(const JobSpec& spec);

std::string EncodeJob(const AcceptedJob& job);
Checked<AcceptedJob> DecodeJob(const JobId& id, const std::string& text);
std::string EncodeProgress(const JobProgress& progress);
// A text whose steps and tasks don't match those of `spec` is a problem.
Checked<JobProgress> DecodeProgress(const JobSpec& spec,
                                    const std::string& text);
// A job's record. It is small, as every entry receives each of them, and
// thousands are read at a takeover, but enough to answer queries about the
// job's state and to recognise its id when it is submitted again.
std::string EncodeJobRecord(const QueueId& queue, JobState state);
// The record of an id whose job was cancelled before it was accepted: no such
// job exists, and none can be accepted while the record exists. To earlier
// versions it is a cancelled job's.
std::string EncodeTombstone(const QueueId& queue);
bool IsTombstone(const std::string& text);
// True for an encoded job, which an earlier version stored as its record.
bool HoldsRequest(const std::string& text);
// The state in an encoded record or progress; nothing for a job that is only
// accepted.
std::optional<JobState> DecodeState(const std::string& text);
// The queue in an encoded record or accepted job.
std::optional<QueueId> DecodeQueue(const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_JOB_JOB_H_
