#include "quetzal/job/job.h"

namespace quetzal {
namespace {

constexpr int kMaxTasks = 10'000;  // of a job, over all steps

std::string StepPath(size_t step) {
  return "steps[" + std::to_string(step) + "]";
}

void CheckStep(const StepSpec& step, size_t index, Problems* problems) {
  const std::string path = StepPath(index);
  if (step.count < 1) {
    problems->push_back(
        {path + ".count", std::to_string(step.count), "at least one task"});
  }
  const Resources& demand = step.demand;
  if (demand.cpu_milli < 0 || demand.memory_mib < 0 ||
      demand.accelerators < 0) {
    problems->push_back({path, "a negative amount", "amounts from 0 up"});
  }
  for (const int dependency : step.after) {
    if (dependency < 0 || static_cast<size_t>(dependency) >= index) {
      problems->push_back({path + ".after", std::to_string(dependency),
                           "numbers of earlier steps, from 0"});
    }
  }
}

}  // namespace

bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

JobProgress InitialProgress(const JobSpec& spec) {
  JobProgress progress;
  for (const StepSpec& step : spec.steps) {
    progress.steps.push_back(
        {std::vector<TaskProgress>(static_cast<size_t>(step.count))});
  }
  return progress;
}

Problems ValidateJob(const JobSpec& spec) {
  Problems problems;
  if (spec.steps.empty()) {
    problems.push_back({"steps", "none", "at least one step"});
  }
  int64_t tasks = 0;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    CheckStep(spec.steps[i], i, &problems);
    tasks += spec.steps[i].count;
  }
  if (tasks > kMaxTasks) {
    problems.push_back({"steps", std::to_string(tasks) + " tasks",
                        "at most " + std::to_string(kMaxTasks)});
  }
  return problems;
}

bool IsUnsupportedKind(const JobSpec& spec) {
  return spec.schedule.repetitions > 0;
}

}  // namespace quetzal
