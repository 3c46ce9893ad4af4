// Stand-in for the platform: its key-value service and VM list over HTTP, with
// fault injection. For tests and the demo only.
//
//   GET/PUT/DELETE /v1/kv, POST /v1/keepalive, GET /v1/watch, GET /v1/vms
//   POST /v1/vms        replaces the VM list after `vm_list_lag_ms`
//   POST /v1/faults     {"down": bool, "slow_ms": n, "drop_answers": n,
//                        "silent": bool, "compact": bool}
//   GET  /v1/stats      number of calls so far, and of open watches
#include <glog/logging.h>

#include <charconv>
#include <list>
#include <memory>
#include <utility>

#include "quetzal/http/http.h"
#include "quetzal/program/program.h"
#include "standins/platform/kv_model.h"

namespace quetzal::standin {
namespace {

constexpr size_t kMaxBodyBytes = 1024 * 1024;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

struct PlatformSettings {
  std::string address;
  Milliseconds vm_list_lag{0};
};

struct Faults {
  bool down = false;          // answers 503 to every call
  bool unresponsive = false;  // answers no call
  Milliseconds delay{0};
  int drop_answers = 0;  // next writes that take effect but aren't answered
};

struct PendingWatch {
  HttpCallId call{};
  std::string prefix;
  uint64_t after = 0;
  Time until;
};

uint64_t QueryNumber(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return 0;
  uint64_t value = 0;
  const std::string& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string QueryText(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

nlohmann::json ToJson(const KvItem& item) {
  return {{"key", item.key},
          {"value", item.value},
          {"revision", static_cast<uint64_t>(item.revision)}};
}

KvCall ParseKvCall(const HttpRequest& request) {
  KvCall call{.key = QueryText(request, "key"), .value = request.body};
  if (request.query.contains("expected")) {
    call.expected = Revision{QueryNumber(request, "expected")};
  }
  call.lease = Milliseconds(QueryNumber(request, "lease_ms"));
  if (request.path == "/v1/keepalive") {
    call.kind = KvCall::Kind::kKeepAlive;
  } else if (request.method == "PUT") {
    call.kind = KvCall::Kind::kPut;
  } else if (request.method == "DELETE") {
    call.kind = KvCall::Kind::kDelete;
  } else if (request.query.contains("prefix")) {
    call.kind = KvCall::Kind::kList;
    call.key = QueryText(request, "prefix");
  }
  return call;
}

HttpResponse MakeResponse(const KvAnswer& answer) {
  nlohmann::json json = {
      {"revision", static_cast<uint64_t>(answer.revision)},
      {"store_revision", static_cast<uint64_t>(answer.store_revision)},
      {"items", nlohmann::json::array()}};
  for (const KvItem& item : answer.items) json["items"].push_back(ToJson(item));
  int status = kOk;
  if (answer.kind == KvAnswer::Kind::kConflict) status = kConflict;
  if (answer.kind == KvAnswer::Kind::kMissing) status = kNotFound;
  return {.status = status, .body = json.dump()};
}

class PlatformStandin : public Service {
 public:
  explicit PlatformStandin(PlatformSettings settings)
      : settings_(std::move(settings)) {}

  bool Start() {
    server_ = ListenForHttp(
        settings_.address, {.max_body_bytes = kMaxBodyBytes},
        {.on_request =
             [this](HttpCallId call, const HttpRequest& request) {
               OnRequest(call, request);
             },
         .on_disconnect =
             [this](HttpCallId call) {
               pending_watches_.remove_if([&](const PendingWatch& watch) {
                 return watch.call == call;
               });
             }});
    if (!server_) return false;
    RunEvery(Milliseconds(20), [this] { OnTick(); });
    LOG(INFO) << "platform stand-in on port " << server_->port();
    return true;
  }

  void BeginShutdown() override { Quit(kExitDone); }

 private:
  void OnRequest(HttpCallId call, const HttpRequest& request) {
    if (request.path == "/v1/faults") {
      OnFaults(call, request);
      return;
    }
    if (request.path == "/v1/stats") {
      Reply(call,
            {.body = nlohmann::json({{"calls", calls_},
                                     {"watches", pending_watches_.size()}})
                         .dump()});
      return;
    }
    ++calls_;
    if (faults_.unresponsive) return;
    if (faults_.down) {
      Reply(call, {.status = kUnavailable, .body = "{}"});
      return;
    }
    if (faults_.delay.count() > 0) {
      RunAfter(faults_.delay, [this, call, request] { Serve(call, request); });
      return;
    }
    Serve(call, request);
  }

  void Serve(HttpCallId call, const HttpRequest& request) {
    if (request.path == "/v1/vms") {
      OnVms(call, request);
    } else if (request.path == "/v1/watch") {
      pending_watches_.push_back(
          {.call = call,
           .prefix = QueryText(request, "prefix"),
           .after = QueryNumber(request, "after"),
           .until = Now() + Milliseconds(QueryNumber(request, "wait_ms"))});
      AnswerDueWatches();
    } else {
      const KvCall kv = ParseKvCall(request);
      const KvAnswer answer = kv_.Apply(kv, Now());
      const bool write =
          kv.kind != KvCall::Kind::kGet && kv.kind != KvCall::Kind::kList;
      AnswerDueWatches();
      if (write && faults_.drop_answers > 0) {
        --faults_.drop_answers;
        return;
      }
      Reply(call, MakeResponse(answer));
    }
  }

  void OnFaults(HttpCallId call, const HttpRequest& request) {
    Problems problems;
    const nlohmann::json json = ParseObject(request.body, "faults", &problems);
    ObjectReader reader(json, "faults", &problems);
    faults_.down = reader.Flag("down", false);
    faults_.unresponsive = reader.Flag("silent", false);
    faults_.delay =
        Milliseconds(reader.Integer("slow_ms", {.default_value = 0}));
    faults_.drop_answers =
        static_cast<int>(reader.Integer("drop_answers", {.default_value = 0}));
    if (reader.Flag("compact", false)) kv_.Compact();
    reader.ReportUnknownFields();
    if (faults_.down) {
      for (const PendingWatch& watch : pending_watches_) {
        Reply(watch.call, {.status = kUnavailable, .body = "{}"});
      }
      pending_watches_.clear();
    }
    Reply(call, {.body = Describe(problems), .content_type = "text/plain"});
  }

  void OnVms(HttpCallId call, const HttpRequest& request) {
    if (request.method != "POST") {
      Reply(call, {.body = vms_.empty() ? R"({"vms":[]})" : vms_});
      return;
    }
    RunAfter(settings_.vm_list_lag,
             [this, body = request.body] { vms_ = body; });
    Reply(call, {.body = "{}"});
  }

  void AnswerDueWatches() {
    const Time now = Now();
    for (auto it = pending_watches_.begin(); it != pending_watches_.end();) {
      const auto changes = kv_.Since(it->prefix, it->after);
      if (changes && changes->empty() && now < it->until) {
        ++it;
        continue;
      }
      AnswerWatch(*it, changes);
      it = pending_watches_.erase(it);
    }
  }

  void AnswerWatch(const PendingWatch& watch,
                   const std::optional<std::vector<KvChange>>& changes) {
    if (faults_.unresponsive) return;
    if (!changes) {
      Reply(watch.call, {.status = kGone, .body = "{}"});
      return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const KvChange& change : *changes) {
      list.push_back(ToJson(change.item));
      list.back()["deleted"] = change.deleted;
    }
    Reply(watch.call,
          {.body = nlohmann::json(
                       {{"store_revision", kv_.revision()}, {"changes", list}})
                       .dump()});
  }

  void OnTick() {
    kv_.OnTick(Now());
    AnswerDueWatches();
  }

  void Reply(HttpCallId call, const HttpResponse& reply) {
    server_->Reply(call, reply);
  }

  PlatformSettings settings_;
  std::unique_ptr<HttpServer> server_;
  KvModel kv_;
  Faults faults_;
  uint64_t calls_ = 0;
  std::list<PendingWatch> pending_watches_;
  std::string vms_;
};

PlatformSettings ReadSettings(const nlohmann::json& json, Problems* problems) {
  ObjectReader reader(json, "settings", problems);
  PlatformSettings settings;
  settings.address = reader.Text("address");
  settings.vm_list_lag =
      Milliseconds(reader.Integer("vm_list_lag_ms", {.default_value = 0}));
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace
}  // namespace quetzal::standin

int main(int argc, char** argv) {
  return quetzal::RunProgram(
      {.name = "standin-platform",
       .purpose = "Stand-in for the platform's key-value service and VM list",
       .start = quetzal::StartWith<quetzal::standin::PlatformStandin>(
           &quetzal::standin::ReadSettings)},
      argc, argv);
}
