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
constexpr Milliseconds kLeaseCheckInterval{50};

Json ToJson(const StoreItem& item) {
  return {{"key", item.key},
          {"value", EncodeBase64(item.value)},
          {"revision", static_cast<uint64_t>(item.revision)},
          {"created", static_cast<uint64_t>(item.created)},
          {"lease", static_cast<uint64_t>(item.lease)}};
}

Json ToJson(const std::vector<StoreItem>& items) {
  Json list = Json::array();
  for (const StoreItem& item : items) list.push_back(ToJson(item));
  return list;
}

std::string QueryParameter(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

uint64_t ParseNumber(const std::string& text) {
  return g_ascii_strtoull(text.c_str(), nullptr, 10);
}

LeaseId ParseLeaseId(const std::string& path) {
  return LeaseId{ParseNumber(path.substr(path.rfind('/') + 1))};
}

Transaction ParseTransaction(const Json& json) {
  Transaction transaction;
  for (const Json& row : json.value("expected-revision", Json::array())) {
    transaction.conditions.push_back(
        {row.at("key").get<std::string>(),
         Revision{row.at("revision").get<uint64_t>()}});
  }
  for (const Json& row : json.value("puts", Json::array())) {
    transaction.puts.push_back(
        {row.at("key").get<std::string>(),
         DecodeBase64(row.at("value").get<std::string>()),
         LeaseId{row.value("lease", uint64_t{0})}});
  }
  transaction.removes = json.value("remove", std::vector<std::string>());
  return transaction;
}

}  // namespace

bool StoreFront::Listen(const std::string& address) {
  server_ = ListenForHttp(
      address, {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  if (!server_) return false;
  RunEvery(kLeaseCheckInterval, [this] { ExpireLeases(); });
  return true;
}

void StoreFront::Put(const std::string& key, const std::string& value) {
  store_.Apply({.puts = {{.key = key, .value = value}}},
               [](const TransactionAnswer&) {});
}

void StoreFront::Remove(const std::string& key) {
  store_.Apply({.removes = {key}}, [](const TransactionAnswer&) {});
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
  const StoreItem* const item = store_.Find(QueryParameter(request, "key"));
  Json body = item == nullptr ? Json::object() : ToJson(*item);
  body["revision-at"] = static_cast<uint64_t>(store_.revision());
  Answer(call, item == nullptr ? kNotFound : kOk, body);
}

void StoreFront::Range(HttpCallId call, const HttpRequest& request) {
  store_.Range(
      QueryParameter(request, "prefix"), QueryParameter(request, "after"),
      [this, call](const ReadAnswer& answer) {
        Answer(call, kOk,
               {{"items", ToJson(answer.items)},
                {"has-more", false},
                {"revision-at", static_cast<uint64_t>(answer.store_revision)}});
      });
}

void StoreFront::Watch(HttpCallId call, const HttpRequest& request) {
  // Ends the long poll; has no effect if the watch has already answered.
  RunAfter(Milliseconds(static_cast<int64_t>(
               ParseNumber(QueryParameter(request, "wait-ms")))),
           [this, call] {
             Answer(
                 call, kOk,
                 {{"events", Json::array()},
                  {"revision-at", static_cast<uint64_t>(store_.revision())}});
           });
  store_.Watch(
      QueryParameter(request, "prefix"),
      Revision{ParseNumber(QueryParameter(request, "after"))}, Milliseconds(0),
      [this, call](const WatchAnswer& answer) {
        if (answer.outcome != StoreOutcome::kDone) {
          Answer(call, kGone, Json::object());
          return;
        }
        Json events = Json::array();
        for (const StoreEvent& event : answer.events) {
          Json row = ToJson(event.item);
          if (event.deleted) row["deleted"] = true;
          events.push_back(std::move(row));
        }
        Answer(call, kOk,
               {{"events", std::move(events)},
                {"revision-at", static_cast<uint64_t>(answer.store_revision)}});
      });
}

void StoreFront::Apply(HttpCallId call, const std::string& body) {
  const Transaction transaction = ParseTransaction(Json::parse(body));
  for (const StorePut& put : transaction.puts) {
    if (put.lease == kNoLease || leases_.contains(put.lease)) continue;
    Answer(call, kNotFound, Json::object());
    return;
  }
  store_.Apply(transaction, [this, call](const TransactionAnswer& answer) {
    if (answer.outcome == StoreOutcome::kConflict) {
      Answer(call, kConditionFailed, {{"items", ToJson(answer.current)}});
    } else {
      Answer(call, kOk, {{"revision", static_cast<uint64_t>(answer.revision)}});
    }
  });
}

void StoreFront::GrantLease(HttpCallId call, const std::string& body) {
  const Milliseconds ttl(Json::parse(body).at("ttl-ms").get<int64_t>());
  store_.GrantLease(ttl, [this, call, ttl](const LeaseAnswer& answer) {
    leases_[answer.lease] = {ttl, Now() + ttl};
    Answer(call, kOk,
           {{"lease", static_cast<uint64_t>(answer.lease)},
            {"ttl-ms", ttl.count()}});
  });
}

void StoreFront::RenewLease(HttpCallId call, const std::string& path) {
  const auto found = leases_.find(ParseLeaseId(path));
  if (found == leases_.end()) {
    Answer(call, kNotFound, Json::object());
    return;
  }
  found->second.expires_at = Now() + found->second.ttl;
  Answer(call, kOk, {{"ttl-ms", found->second.ttl.count()}});
}

void StoreFront::RevokeLease(HttpCallId call, const std::string& path) {
  const LeaseId lease = ParseLeaseId(path);
  const bool known = leases_.erase(lease) > 0;
  if (known) store_.ExpireLease(lease);
  Answer(call, known ? kOk : kNotFound, Json::object());
}

void StoreFront::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > Now()) {
      ++it;
      continue;
    }
    const LeaseId lease = it->first;
    it = leases_.erase(it);
    store_.ExpireLease(lease);
  }
}

}  // namespace quetzal::standin
