#include "standins/users_platform/store_front.h"

#include <glib.h>

#include <utility>

#include "quetzal/base64/base64.h"
#include "quetzal/program/program.h"

namespace quetzal::standin {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr Milliseconds kSweepEvery{50};

Json JsonOf(const StoreItem& item) {
  return {{"key", item.key},
          {"value", EncodeBase64(item.value)},
          {"revision", static_cast<uint64_t>(item.revision)},
          {"created", static_cast<uint64_t>(item.created)},
          {"lease", static_cast<uint64_t>(item.lease)}};
}

Json JsonOf(const std::vector<StoreItem>& items) {
  Json list = Json::array();
  for (const StoreItem& item : items) list.push_back(JsonOf(item));
  return list;
}

std::string QueryOf(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

uint64_t NumberOf(const std::string& text) {
  return g_ascii_strtoull(text.c_str(), nullptr, 10);
}

LeaseId LeaseOfPath(const std::string& path) {
  return LeaseId{NumberOf(path.substr(path.rfind('/') + 1))};
}

Transaction CommitFrom(const Json& json) {
  Transaction commit;
  for (const Json& row : json.value("expected-revision", Json::array())) {
    commit.conditions.push_back({row.at("key").get<std::string>(),
                                 Revision{row.at("revision").get<uint64_t>()}});
  }
  for (const Json& row : json.value("puts", Json::array())) {
    commit.puts.push_back({row.at("key").get<std::string>(),
                           DecodeBase64(row.at("value").get<std::string>()),
                           LeaseId{row.value("lease", uint64_t{0})}});
  }
  commit.removes = json.value("remove", std::vector<std::string>());
  return commit;
}

}  // namespace

bool StoreFront::Listen(const std::string& address) {
  server_ = ListenForHttp(
      address, {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  if (!server_) return false;
  RunEvery(kSweepEvery, [this] { SweepLeases(); });
  return true;
}

void StoreFront::Put(const std::string& key, const std::string& value) {
  store_.Apply({.puts = {{.key = key, .value = value}}},
               [](const TransactionAnswer&) {});
}

void StoreFront::Answer(HttpCallId call, int status, const Json& body) {
  server_->Reply(call, {.status = status, .body = body.dump()});
}

void StoreFront::OnRequest(HttpCallId call, const HttpRequest& request) {
  try {
    if (down_) {
      Answer(call, kUnavailable, Json::object());
    } else if (request.path == "/kv-key") {
      Read(call, request);
    } else if (request.path == "/kv-range") {
      Range(call, request);
    } else if (request.path == "/kv-watch") {
      Watch(call, request);
    } else if (request.path == "/kv-txn") {
      Apply(call, request.body);
    } else if (request.path == "/kv-lease") {
      GrantLease(call, request.body);
    } else if (request.path.starts_with("/kv-keep/")) {
      RenewLease(call, request.path);
    } else if (request.path.starts_with("/kv-lease-end/")) {
      RevokeLease(call, request.path);
    } else {
      Answer(call, kNotFound, Json::object());
    }
  } catch (const Json::exception& error) {
    Answer(call, kBadRequest, {{"error", error.what()}});
  }
}

void StoreFront::Read(HttpCallId call, const HttpRequest& request) {
  const StoreItem* const item = store_.Find(QueryOf(request, "key"));
  Json body = item == nullptr ? Json::object() : JsonOf(*item);
  body["revision-at"] = static_cast<uint64_t>(store_.revision());
  Answer(call, item == nullptr ? kNotFound : kOk, body);
}

void StoreFront::Range(HttpCallId call, const HttpRequest& request) {
  store_.Range(
      QueryOf(request, "prefix"), QueryOf(request, "after"),
      [this, call](const ReadAnswer& answer) {
        Answer(call, kOk,
               {{"items", JsonOf(answer.items)},
                {"has-more", false},
                {"revision-at", static_cast<uint64_t>(answer.store_revision)}});
      });
}

void StoreFront::Watch(HttpCallId call, const HttpRequest& request) {
  // A call that was answered takes no second answer.
  RunAfter(
      Milliseconds(static_cast<int64_t>(NumberOf(QueryOf(request, "wait-ms")))),
      [this, call] {
        Answer(call, kOk,
               {{"events", Json::array()},
                {"revision-at", static_cast<uint64_t>(store_.revision())}});
      });
  store_.Watch(
      QueryOf(request, "prefix"), Revision{NumberOf(QueryOf(request, "after"))},
      Milliseconds(0), [this, call](const WatchAnswer& answer) {
        if (answer.outcome != StoreOutcome::kDone) {
          Answer(call, kGone, Json::object());
          return;
        }
        Json events = Json::array();
        for (const StoreEvent& event : answer.events) {
          Json row = JsonOf(event.item);
          if (event.deleted) row["deleted"] = true;
          events.push_back(std::move(row));
        }
        Answer(call, kOk,
               {{"events", std::move(events)},
                {"revision-at", static_cast<uint64_t>(answer.store_revision)}});
      });
}

void StoreFront::Apply(HttpCallId call, const std::string& body) {
  const Transaction commit = CommitFrom(Json::parse(body));
  for (const StorePut& put : commit.puts) {
    if (put.lease == kNoLease || leases_.contains(put.lease)) continue;
    Answer(call, kNotFound, Json::object());
    return;
  }
  store_.Apply(commit, [this, call](const TransactionAnswer& answer) {
    if (answer.outcome == StoreOutcome::kConflict) {
      Answer(call, kConditionFailed, {{"items", JsonOf(answer.current)}});
    } else {
      Answer(call, kOk, {{"revision", static_cast<uint64_t>(answer.revision)}});
    }
  });
}

void StoreFront::GrantLease(HttpCallId call, const std::string& body) {
  const Milliseconds life(Json::parse(body).at("ttl-ms").get<int64_t>());
  store_.GrantLease(life, [this, call, life](const LeaseAnswer& answer) {
    leases_[answer.lease] = {life, Now() + life};
    Answer(call, kOk,
           {{"lease", static_cast<uint64_t>(answer.lease)},
            {"ttl-ms", life.count()}});
  });
}

void StoreFront::RenewLease(HttpCallId call, const std::string& path) {
  const auto found = leases_.find(LeaseOfPath(path));
  if (found == leases_.end()) {
    Answer(call, kNotFound, Json::object());
    return;
  }
  found->second.ends = Now() + found->second.life;
  Answer(call, kOk, {{"ttl-ms", found->second.life.count()}});
}

void StoreFront::RevokeLease(HttpCallId call, const std::string& path) {
  const LeaseId lease = LeaseOfPath(path);
  const bool known = leases_.erase(lease) > 0;
  if (known) store_.Lapse(lease);
  Answer(call, known ? kOk : kNotFound, Json::object());
}

void StoreFront::SweepLeases() {
  for (auto each = leases_.begin(); each != leases_.end();) {
    if (each->second.ends > Now()) {
      ++each;
      continue;
    }
    const LeaseId lease = each->first;
    each = leases_.erase(each);
    store_.Lapse(lease);
  }
}

}  // namespace quetzal::standin
