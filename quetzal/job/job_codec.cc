#include <map>
#include <nlohmann/json.hpp>

#include "quetzal/job/job.h"

namespace quetzal {
namespace {

using Json = nlohmann::json;

// Version of the stored forms, so that readers can tell older ones apart.
constexpr int kSchemaVersion = 1;

constexpr char kNeverAccepted[] = "never_accepted";

constexpr const char* kStateNames[] = {"queued", "running", "completed",
                                       "failed", "cancelled"};

std::optional<JobState> ParseState(const std::string& name) {
  for (size_t i = 0; i < std::size(kStateNames); ++i) {
    if (name == kStateNames[i]) return static_cast<JobState>(i);
  }
  return std::nullopt;
}

Json EncodeStep(const StepSpec& step) {
  Json json = {{"count", step.count},
               {"cpu_milli", step.demand.cpu_milli},
               {"memory_mib", step.demand.memory_mib}};
  if (step.demand.accelerators > 0) {
    json["accelerators"] = step.demand.accelerators;
  }
  if (step.estimated_run_time.count() > 0) {
    json["estimated_run_time_ms"] = step.estimated_run_time.count();
  }
  if (!step.after.empty()) json["after"] = step.after;
  if (step.saves_progress) json["saves_progress"] = true;
  if (step.gang) json["gang"] = true;
  if (step.rack_local) json["rack_local"] = true;
  if (!step.required_label.empty()) json["label"] = step.required_label;
  if (!step.preferred_rack.empty()) json["rack"] = step.preferred_rack;
  if (step.max_per_worker > 0) json["most_per_worker"] = step.max_per_worker;
  if (step.speculative) json["speculative"] = true;
  if (step.long_running) json["long_running"] = true;
  if (!step.image.empty()) json["image"] = step.image;
  if (step.latency_target.count() > 0) {
    json["latency_target_ms"] = step.latency_target.count();
  }
  if (step.best_effort) json["fills"] = true;
  if (step.max_unavailable > 0) {
    json["most_unavailable"] = step.max_unavailable;
  }
  return json;
}

StepSpec DecodeStep(const Json& json) {
  StepSpec step;
  step.count = json.at("count").get<int>();
  step.demand.cpu_milli = json.at("cpu_milli").get<int64_t>();
  step.demand.memory_mib = json.at("memory_mib").get<int64_t>();
  step.demand.accelerators = json.value("accelerators", int64_t{0});
  step.estimated_run_time =
      Milliseconds(json.value("estimated_run_time_ms", int64_t{0}));
  step.after = json.value("after", std::vector<int>());
  step.saves_progress = json.value("saves_progress", false);
  step.gang = json.value("gang", false);
  step.rack_local = json.value("rack_local", false);
  step.required_label = json.value("label", "");
  step.preferred_rack = json.value("rack", "");
  step.max_per_worker = json.value("most_per_worker", 0);
  step.speculative = json.value("speculative", false);
  step.long_running = json.value("long_running", false);
  step.image = json.value("image", "");
  step.latency_target =
      Milliseconds(json.value("latency_target_ms", int64_t{0}));
  step.best_effort = json.value("fills", false);
  step.max_unavailable = json.value("most_unavailable", 0);
  return step;
}

// Tasks without history, as most are, and done tasks are encoded as one digit.
// The history of a done task isn't stored.
Json EncodeTask(const TaskProgress& task) {
  if (task == TaskProgress{}) return 0;
  if (task.done) return 1;
  return Json::array({task.failed_runs, task.last_run, task.checkpoint});
}

TaskProgress DecodeTask(const Json& json) {
  TaskProgress task;
  if (json.is_number_integer()) {
    task.done = json.get<int>() == 1;
    return task;
  }
  task.failed_runs = json.at(0).get<std::vector<int64_t>>();
  task.last_run = json.at(1).get<int64_t>();
  task.checkpoint = json.at(2).get<std::string>();
  return task;
}

Json RecordJson(const QueueId& queue, JobState state) {
  Json json = {{"schema", kSchemaVersion}, {"queue", queue.text()}};
  // Earlier versions take any record with a state for that of an ended job.
  if (state != JobState::kQueued) {
    json["state"] = kStateNames[static_cast<size_t>(state)];
  }
  return json;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Problems Malformed(const std::string& what, const std::string& why) {
  return {{what, why, "a value that this program wrote"}};
}

}  // namespace

std::string EncodeJob(const AcceptedJob& job) {
  Json json = {{"schema", kSchemaVersion},
               {"team", job.team.text()},
               {"queue", job.queue.text()},
               {"service", job.service.text()},
               {"max_attempts", job.max_attempts},
               {"accepted_ms", static_cast<int64_t>(job.accepted)},
               {"specification", job.spec.specification}};
  for (const StepSpec& step : job.spec.steps) {
    json["steps"].push_back(EncodeStep(step));
  }
  const Schedule& schedule = job.spec.schedule;
  if (schedule.repetitions > 0) {
    json["schedule"] = {{"repetitions", schedule.repetitions},
                        {"first_ms", static_cast<int64_t>(schedule.first)},
                        {"interval_ms", schedule.interval.count()}};
  }
  return Dump(json);
}

Checked<AcceptedJob> DecodeJob(const JobId& id, const std::string& text) {
  try {
    const Json json = Json::parse(text);
    AcceptedJob job;
    job.id = id;
    job.team = TeamId(json.at("team").get<std::string>());
    job.queue = QueueId(json.at("queue").get<std::string>());
    job.service = ServiceId(json.at("service").get<std::string>());
    // Earlier versions didn't store it.
    job.max_attempts = json.value("max_attempts", job.max_attempts);
    job.accepted = WallTime{json.at("accepted_ms").get<int64_t>()};
    job.spec.specification = json.at("specification").get<std::string>();
    for (const Json& step : json.at("steps")) {
      job.spec.steps.push_back(DecodeStep(step));
    }
    if (json.contains("schedule")) {
      const Json& schedule = json["schedule"];
      job.spec.schedule = {
          schedule.at("repetitions").get<int64_t>(),
          WallTime{schedule.at("first_ms").get<int64_t>()},
          Milliseconds(schedule.at("interval_ms").get<int64_t>())};
    }
    Problems problems = ValidateJob(job.spec);
    if (!problems.empty()) return problems;
    return job;
  } catch (const Json::exception& error) {
    return Malformed("job " + id.text(), error.what());
  }
}

std::string EncodeProgress(const JobProgress& progress) {
  Json json = {{"schema", kSchemaVersion},
               {"state", kStateNames[static_cast<size_t>(progress.state)]}};
  // The tasks of an ended job aren't needed any more.
  if (!IsFinal(progress.state)) {
    Json& steps = json["steps"] = Json::array();
    for (const StepProgress& step : progress.steps) {
      Json tasks = Json::array();
      for (const TaskProgress& task : step.tasks) {
        tasks.push_back(EncodeTask(task));
      }
      steps.push_back(std::move(tasks));
    }
  }
  return Dump(json);
}

Checked<JobProgress> DecodeProgress(const JobSpec& spec,
                                    const std::string& text) {
  try {
    const Json json = Json::parse(text);
    JobProgress progress = InitialProgress(spec);
    const auto state = ParseState(json.at("state").get<std::string>());
    if (!state) return Malformed("progress", "unknown state");
    progress.state = *state;
    if (IsFinal(*state)) return progress;
    const Json& steps = json.at("steps");
    for (size_t i = 0; i < progress.steps.size(); ++i) {
      for (size_t j = 0; j < progress.steps[i].tasks.size(); ++j) {
        progress.steps[i].tasks[j] = DecodeTask(steps.at(i).at(j));
      }
    }
    return progress;
  } catch (const Json::exception& error) {
    return Malformed("progress", error.what());
  }
}

std::string EncodeJobRecord(const QueueId& queue, JobState state) {
  return Dump(RecordJson(queue, state));
}

std::string EncodeTombstone(const QueueId& queue) {
  Json json = RecordJson(queue, JobState::kCancelled);
  json[kNeverAccepted] = true;
  return Dump(json);
}

bool IsTombstone(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && json.contains(kNeverAccepted);
}

bool HoldsRequest(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && json.contains("steps");
}

std::optional<QueueId> DecodeQueue(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto found = json.find("queue");
  if (found == json.end() || !found->is_string()) return std::nullopt;
  return QueueId(found->get<std::string>());
}

std::optional<JobState> DecodeState(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto found = json.find("state");
  if (found == json.end() || !found->is_string()) return std::nullopt;
  return ParseState(found->get<std::string>());
}

}  // namespace quetzal
