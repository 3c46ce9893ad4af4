// Jobs of steps: what callers ask for, and how far it has come.
//
//   JobSpec spec{.specification = "...", .steps = {{.count = 4}}};
//   const Problems problems = ValidateJob(spec);
//   JobProgress progress = InitialProgress(spec);
//   progress.steps[0].tasks[3].done = true;
//   const std::string stored = EncodeProgress(progress);
//
// A job is accepted once under the id that its caller chose. Each of its steps
// has a number of tasks; a step waits for all tasks of the steps it comes
// after. The encoded forms are those of the product's keys in the store.
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

// Milliseconds since 1970, by some machine's time of day: for ages that must
// survive a takeover, never for leases.
enum class WallTime : int64_t {};

struct StepSpec {
  int count = 1;                       // tasks
  Resources demand;                    // of each task
  Milliseconds estimated_run_time{0};  // the caller's guess
  std::vector<int> after;              // earlier steps that must be done first
  bool saves_progress = false;         // its tasks write checkpoints
  bool gang = false;               // tasks run only together and end together
  bool rack_local = false;         // slower on more than one rack
  std::string required_label;      // empty: any worker
  std::string preferred_rack;      // empty: data lies nowhere in particular
  int max_per_worker = 0;          // 0: any number
  bool speculative = false;        // copies may run in parallel
  bool long_running = false;       // runs until the job is cancelled
  std::string image;               // tasks of one image behave alike
  Milliseconds latency_target{0};  // of a long-running task; 0: none
  bool best_effort = false;  // uses only processors that others leave unused
  int max_unavailable = 0;   // of a long-running step; 0: no promise
};

struct Schedule {
  int64_t repetitions = 0;  // 0: the steps run once, at once
  WallTime first{0};
  Milliseconds interval{0};
};

struct JobSpec {
  std::string specification;  // handed to each task as it is
  std::vector<StepSpec> steps;
  Schedule schedule;
};

// Accepted and stored: what the caller asked for, for whom, and when.
struct AcceptedJob {
  JobId id;
  TeamId team;
  QueueId queue;
  ServiceId service;  // the queue's when the job was accepted
  WallTime accepted{0};
  JobSpec spec;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
bool IsFinal(JobState state);

struct TaskProgress {
  bool done = false;
  // Runs that ended by its own or its worker's fault.
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

// Everything that makes a job impossible to run as it stands.
Problems ValidateJob(const JobSpec& spec);
// True for jobs of a kind that isn't served yet: long-running or scheduled.
bool IsUnsupportedKind(const JobSpec& spec);

std::string EncodeJob(const AcceptedJob& job);
Checked<AcceptedJob> DecodeJob(const JobId& id, const std::string& text);
std::string EncodeProgress(const JobProgress& progress);
// `spec` tells the shape; a text of another shape is a problem.
Checked<JobProgress> DecodeProgress(const JobSpec& spec,
                                    const std::string& text);
// What is left of a job that ended: small, as thousands of them are read at a
// takeover, and enough to answer for its state and to know its id again.
std::string EncodeEndedJob(const QueueId& queue, JobState state);
// Of an encoded progress or ended job; nothing for a job that was accepted.
std::optional<JobState> DecodeState(const std::string& text);
// Only the queue of an accepted or ended job.
std::optional<QueueId> DecodeQueue(const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_JOB_JOB_H_
