// standin-users-platform: the store, the workers, the advice service and the
// operator of the users' platform, for tests and demos on one machine.
//
// On the control address, GET /judgement returns the workers' counts of broken
// guarantees, GET /started the tasks that they started; POST /down and POST /up
// stop and resume the store. POST /publish writes the next version N of the
// configuration, also while the store is down for callers, and returns
// {"version": N}: it adds the queue "/added-N/" and the key "key-added-N".
// POST /entry?id=ID writes the body as the entry of a worker, as another writer
// may; POST /add-worker adds a worker.
//
// POST /silence?worker=I&silent-ms=S loses a worker's heartbeats for a while.
// POST /crash?worker=I&down-ms=D&silent-ms=S&late-ms=L ends a worker, which
// starts again under its id after D. Until S the store receives no heartbeat of
// the new incarnation, and at L a late one of the former.
#include <glib.h>
#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "quetzal/program/program.h"
#include "standins/users_platform/store_front.h"
#include "standins/users_platform/worker_pool.h"

namespace quetzal::standin {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kHeartbeatInterval{500};
constexpr Milliseconds kAdviceDelay{3};
// An entry is removed after this time without a heartbeat.
constexpr Milliseconds kEntryExpiry = 3 * kHeartbeatInterval;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kOk = 200;
// A step may run on about this many in ten of the workers in a query.
constexpr size_t kAllowedInTen = 7;

struct PlatformSettings {
  std::string store_address;
  std::string advice_address;
  std::string control_address;
  int workers = 0;
  // Consecutive ports: on which workers listen, and which their entries name.
  int first_worker_port = 0;
  int first_worker_link_port = 0;
};

PlatformSettings ReadSettings(const Json& json, Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  PlatformSettings settings{
      .store_address = reader.Text("store_address"),
      .advice_address = reader.Text("advice_address"),
      .control_address = reader.Text("control_address"),
      .workers =
          static_cast<int>(reader.Integer("workers", {.min = 1, .max = 200})),
      .first_worker_port = static_cast<int>(
          reader.Integer("first_worker_port", {.min = 1, .max = 65'535})),
      .first_worker_link_port = static_cast<int>(
          reader.Integer("first_worker_link_port", {.min = 1, .max = 65'535}))};
  reader.ReportUnknownFields();
  return settings;
}

Json QueueNamed(const std::string& name) {
  const Json advice = {
      {"decision-ms", 3}, {"period-ms", 0.1}, {"validity-ms", 2'500}};
  return {{"name", name},
          {"host", "desk.example"},
          {"prefix", "/" + name + "/"},
          {"service", "desk"},
          {"priority", 0},
          {"max-attempts", 2},
          {"slack-factor", 2.0},
          {"target-latency-ms", 1'000},
          {"recommendation", advice},
          {"public", false}};
}

// Version 1 has one queue and one key. Each later version adds one of each, of
// which the last `kMaxAdded` stay.
Json Configuration(int version) {
  constexpr int kMaxAdded = 40;
  Json queues = {QueueNamed("quotes")};
  Json keys = {"key-1"};
  for (int i = std::max(2, version - kMaxAdded + 1); i <= version; ++i) {
    queues.push_back(QueueNamed("added-" + std::to_string(i)));
    keys.push_back("key-added-" + std::to_string(i));
  }
  return {
      {"version", version},
      {"routes", queues},
      {"services", {{{"name", "desk"}, {"enforces-capacity", false}}}},
      {"limits", {{"max-body-bytes", 65'536}}},
      {"tenants", {{{"name", "buyers"}, {"api-keys", keys}, {"weight", 100}}}}};
}

class UsersPlatform : public Service {
 public:
  explicit UsersPlatform(PlatformSettings settings)
      : settings_(std::move(settings)) {}

  bool Start() {
    if (!store_.Listen(settings_.store_address)) return false;
    advice_ = Serve(
        settings_.advice_address,
        [this](HttpCallId call, const HttpRequest& r) { Advise(call, r); });
    control_ = Serve(
        settings_.control_address,
        [this](HttpCallId call, const HttpRequest& r) { Control(call, r); });
    if (!advice_ || !control_) return false;
    for (int i = 0; i < settings_.workers; ++i) {
      if (!AddWorker()) return false;
    }
    Publish();
    WriteHeartbeats();
    RunEvery(kHeartbeatInterval, [this] { WriteHeartbeats(); });
    return true;
  }

  void BeginShutdown() override { Quit(kExitDone); }

 private:
  struct Heartbeats {
    Time last{};
    Time silent_until{};
  };

  static std::unique_ptr<HttpServer> Serve(
      const std::string& address,
      std::function<void(HttpCallId, const HttpRequest&)> on_request) {
    return ListenForHttp(address, {},
                         {.on_request = std::move(on_request),
                          .on_disconnect = [](HttpCallId) {}});
  }

  bool AddWorker() {
    auto worker = StartWorker(static_cast<int>(workers_.size()));
    if (!worker) return false;
    workers_.push_back(std::move(worker));
    heartbeats_.emplace_back();
    return true;
  }

  void Publish() {
    ++version_;
    store_.Put("op/config", Configuration(version_).dump());
  }

  std::unique_ptr<PoolWorker> StartWorker(int index) {
    auto worker =
        std::make_unique<PoolWorker>("i-" + std::to_string(index), &judgement_);
    const bool listens =
        worker->Listen(settings_.first_worker_port + index,
                       settings_.first_worker_link_port + index);
    return listens ? std::move(worker) : nullptr;
  }

  void WriteHeartbeats() {
    for (size_t i = 0; i < workers_.size(); ++i) {
      if (heartbeats_[i].silent_until <= Now()) {
        heartbeats_[i].last = Now();
        WriteEntry(*workers_[i]);
      } else if (Now() - heartbeats_[i].last >= kEntryExpiry) {
        store_.Remove("servers/" + workers_[i]->id());
      }
    }
  }
  void WriteEntry(const PoolWorker& worker) {
    store_.Put("servers/" + worker.id(), worker.Entry().dump());
  }

  // Returns false if the request names no worker.
  bool InjectWorkerFault(const HttpRequest& request) {
    auto query = request.query;
    const auto number = [&](const char* name) {
      return g_ascii_strtoull(query[name].c_str(), nullptr, 10);
    };
    const auto time = [&](const char* name) {
      return Milliseconds(static_cast<int64_t>(number(name)));
    };
    const size_t index = number("worker");
    if (index >= workers_.size()) return false;
    Time& silent_until = heartbeats_[index].silent_until;
    silent_until = std::max(silent_until, Now() + time("silent-ms"));
    if (request.path == "/silence") return true;
    PoolWorker* const crashed = workers_[index].get();
    crashed->Crash();
    RunAfter(time("down-ms"), [this, index] {
      auto next = StartWorker(static_cast<int>(index));
      CHECK(next) << "a worker can't listen again";
      former_.push_back(std::exchange(workers_[index], std::move(next)));
    });
    RunAfter(time("late-ms"), [this, crashed] { WriteEntry(*crashed); });
    return true;
  }

  // Whether the worker may run the step: seven in ten, and at least one.
  bool IsAllowed(const std::string& step, const std::string& worker) const {
    const std::hash<std::string> hash;
    const auto is_drawn = [&](const std::string& id) {
      return hash(step + id) % 10 < kAllowedInTen;
    };
    if (is_drawn(worker)) return true;
    const auto is_worker_drawn = [&](const auto& each) {
      return is_drawn(each->id());
    };
    return std::none_of(workers_.begin(), workers_.end(), is_worker_drawn) &&
           worker == workers_[hash(step) % workers_.size()]->id();
  }

  void Advise(HttpCallId call, const HttpRequest& request) {
    const Json query = Json::parse(request.body, nullptr, false);
    if (!query.is_object() || !query.contains("step") ||
        !query.contains("workers")) {
      advice_->Reply(call, {.status = kBadRequest});
      return;
    }
    Json allowed = Json::array();
    const std::string step = query["step"].get<std::string>();
    for (const Json& worker : query["workers"]) {
      const std::string id = worker.get<std::string>();
      if (IsAllowed(step, id)) allowed.push_back(Json::array({id, "t-" + id}));
    }
    const std::string body =
        Json{{"allowed", std::move(allowed)}, {"validity-ms", 2'500}}.dump();
    RunAfter(kAdviceDelay,
             [this, call, body] { advice_->Reply(call, {.body = body}); });
  }

  void Control(HttpCallId call, const HttpRequest& request) {
    if (request.path == "/judgement") {
      control_->Reply(
          call,
          {.body = Json{{"done", judgement_.done.size()},
                        {"started", judgement_.started.size()},
                        {"polled", judgement_.polled.size()},
                        {"started_twice", judgement_.started_twice},
                        {"started_after_end", judgement_.started_after_end},
                        {"over_capacity", judgement_.over_capacity},
                        {"fenced", judgement_.fenced}}
                       .dump()});
    } else if (request.path == "/started") {
      control_->Reply(call, {.body = Json(judgement_.started).dump()});
    } else if (request.path == "/down" || request.path == "/up") {
      store_.SetDown(request.path == "/down");
      control_->Reply(call, {});
    } else if (request.path == "/publish") {
      Publish();
      control_->Reply(call, {.body = Json{{"version", version_}}.dump()});
    } else if (request.path == "/silence" || request.path == "/crash") {
      const bool known = InjectWorkerFault(request);
      control_->Reply(call, {.status = known ? kOk : kBadRequest});
    } else if (request.path == "/entry" && request.query.contains("id")) {
      store_.Put("servers/" + request.query.at("id"), request.body);
      control_->Reply(call, {});
    } else if (request.path == "/add-worker") {
      control_->Reply(call, {.status = AddWorker() ? kOk : kBadRequest});
    } else {
      control_->Reply(call, {.status = kNotFound});
    }
  }

  PlatformSettings settings_;
  StoreFront store_;
  std::unique_ptr<HttpServer> advice_;
  std::unique_ptr<HttpServer> control_;
  Judgement judgement_;
  int version_ = 0;  // of the configuration
  std::vector<std::unique_ptr<PoolWorker>> workers_;
  std::vector<Heartbeats> heartbeats_;               // of `workers_`
  std::vector<std::unique_ptr<PoolWorker>> former_;  // crashed incarnations
};

}  // namespace
}  // namespace quetzal::standin

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "standin-users-platform",
       .purpose =
           "Store, workers and advice of the users' platform, for tests.",
       .start = quetzal::StartWith<quetzal::standin::UsersPlatform>(
           &quetzal::standin::ReadSettings)},
      argc, argv);
}
