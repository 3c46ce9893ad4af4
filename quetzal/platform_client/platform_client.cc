#include "quetzal/platform_client/platform_client.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace quetzal {
namespace {

constexpr int kMaxConnections = 16;
constexpr Milliseconds kWatchTimeoutMargin{2'000};

// An HTTP request in flight, and the function that receives its result.
struct PendingRequest {
  using Done = std::function<void(int status, const nlohmann::json& body)>;
  Done done;
  GCancellable* cancellable = g_cancellable_new();
  SoupMessage* message = nullptr;
  guint timer = 0;
  PlatformHealth* health = nullptr;

  ~PendingRequest() {
    if (timer != 0) g_source_remove(timer);
    g_object_unref(cancellable);
    if (message != nullptr) g_object_unref(message);
  }
};

constexpr int kNoStatus = 0;

PlatformHealth HealthOf(const GError* error) {
  const bool refused =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED);
  return refused ? PlatformHealth::kDown : PlatformHealth::kUnreachable;
}

void OnRequestDone(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<PendingRequest> pending(
      static_cast<PendingRequest*>(data));
  GError* error = nullptr;
  GBytes* const bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  if (error != nullptr) {
    *pending->health = HealthOf(error);
    g_error_free(error);
    pending->done(kNoStatus, nlohmann::json::object());
    return;
  }
  gsize size = 0;
  const auto* const text =
      static_cast<const char*>(g_bytes_get_data(bytes, &size));
  const std::string body(text == nullptr ? "" : text, size);
  g_bytes_unref(bytes);
  const int status =
      static_cast<int>(soup_message_get_status(pending->message));
  *pending->health = status == SOUP_STATUS_SERVICE_UNAVAILABLE
                         ? PlatformHealth::kDown
                         : PlatformHealth::kReachable;
  nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) json = nlohmann::json::object();
  pending->done(status, json);
}

Revision RevisionIn(const nlohmann::json& json, const char* field) {
  const auto found = json.find(field);
  const bool present = found != json.end() && found->is_number_unsigned();
  return Revision{present ? found->get<uint64_t>() : 0};
}

std::string TextIn(const nlohmann::json& json, const char* field) {
  const auto found = json.find(field);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

int64_t NumberIn(const nlohmann::json& json, const char* field) {
  const auto found = json.find(field);
  return found != json.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

KvItem ItemFrom(const nlohmann::json& json) {
  return {.key = TextIn(json, "key"),
          .value = TextIn(json, "value"),
          .revision = RevisionIn(json, "revision")};
}

Vm VmFrom(const nlohmann::json& json) {
  const std::string state = TextIn(json, "state");
  Vm vm;
  vm.name = TextIn(json, "name");
  vm.role = TextIn(json, "role") == "entry" ? VmRole::kEntry : VmRole::kWorker;
  if (state == "leaving") vm.state = VmState::kLeaving;
  if (state == "gone") vm.state = VmState::kGone;
  vm.domain = FailureDomainId(TextIn(json, "domain"));
  vm.rack = RackId(TextIn(json, "rack"));
  vm.capacity = {.cpu_milli = NumberIn(json, "cpu_milli"),
                 .memory_mib = NumberIn(json, "memory_mib"),
                 .accelerators = NumberIn(json, "accelerators"),
                 .slots = NumberIn(json, "slots")};
  vm.contract_address = TextIn(json, "contract_address");
  vm.placer_address = TextIn(json, "placer_address");
  vm.http_address = TextIn(json, "http_address");
  return vm;
}

KvAnswer AnswerFrom(uint64_t id, int status, const nlohmann::json& body) {
  KvAnswer answer{.id = id};
  switch (status) {
    case SOUP_STATUS_OK:
      answer.kind = KvAnswer::Kind::kDone;
      break;
    case SOUP_STATUS_NOT_FOUND:
      answer.kind = KvAnswer::Kind::kMissing;
      break;
    case SOUP_STATUS_CONFLICT:
      answer.kind = KvAnswer::Kind::kConflict;
      break;
    default:
      return answer;
  }
  answer.revision = RevisionIn(body, "revision");
  answer.store_revision = RevisionIn(body, "store_revision");
  if (body.contains("items") && body["items"].is_array()) {
    for (const auto& item : body["items"]) {
      answer.items.push_back(ItemFrom(item));
    }
  }
  return answer;
}

const char* MethodOf(KvCall::Kind kind) {
  switch (kind) {
    case KvCall::Kind::kPut:
      return SOUP_METHOD_PUT;
    case KvCall::Kind::kDelete:
      return SOUP_METHOD_DELETE;
    case KvCall::Kind::kKeepAlive:
      return SOUP_METHOD_POST;
    default:
      return SOUP_METHOD_GET;
  }
}

class HttpPlatformClient : public PlatformClient {
 public:
  HttpPlatformClient(HttpPlatformClientSettings settings, Metrics* metrics)
      : settings_(std::move(settings)),
        metrics_(metrics),
        session_(soup_session_new_with_options("max-conns", kMaxConnections,
                                               "max-conns-per-host",
                                               kMaxConnections, nullptr)) {}
  ~HttpPlatformClient() override {
    soup_session_abort(session_);
    g_object_unref(session_);
  }

  void Call(const KvCall& call, KvHandler handler) override {
    Send(MethodOf(call.kind), RequestTarget(call), call.value,
         settings_.call_timeout,
         [id = call.id, handler = std::move(handler)](
             int status, const nlohmann::json& body) {
           handler(AnswerFrom(id, status, body));
         });
  }

  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             WatchHandler handler) override {
    const std::string target =
        "/v1/watch?prefix=" + EscapeForUrl(prefix) +
        "&after=" + std::to_string(static_cast<uint64_t>(after)) +
        "&wait_ms=" + std::to_string(wait.count());
    Send(
        SOUP_METHOD_GET, target, "", wait + kWatchTimeoutMargin,
        [handler = std::move(handler)](int status, const nlohmann::json& body) {
          KvWatchAnswer answer;
          answer.store_revision = RevisionIn(body, "store_revision");
          if (status == SOUP_STATUS_GONE) {
            answer.kind = KvWatchAnswer::Kind::kCompacted;
          } else if (status == SOUP_STATUS_OK) {
            answer.kind = KvWatchAnswer::Kind::kChanges;
            for (const auto& change :
                 body.value("changes", nlohmann::json::array())) {
              answer.changes.push_back(
                  {.item = ItemFrom(change),
                   .deleted = change.value("deleted", false)});
            }
          }
          handler(answer);
        });
  }

  void ListVms(VmHandler handler) override {
    Send(
        SOUP_METHOD_GET, "/v1/vms", "", settings_.call_timeout,
        [handler = std::move(handler)](int status, const nlohmann::json& body) {
          if (status != SOUP_STATUS_OK) {
            handler(std::nullopt);
            return;
          }
          std::vector<Vm> vms;
          for (const auto& vm : body.value("vms", nlohmann::json::array())) {
            vms.push_back(VmFrom(vm));
          }
          handler(vms);
        });
  }

  PlatformHealth health() const override { return health_; }

 private:
  void Send(const char* method, const std::string& target,
            const std::string& body, Milliseconds timeout,
            PendingRequest::Done done) {
    metrics_->Count("quetzal_platform_calls_total", {{"method", method}});
    const std::string uri = "http://" + settings_.address + target;
    auto* const pending = new PendingRequest();
    pending->done = std::move(done);
    pending->health = &health_;
    pending->message = soup_message_new(method, uri.c_str());
    if (!body.empty()) {
      GBytes* const bytes = g_bytes_new(body.data(), body.size());
      soup_message_set_request_body_from_bytes(pending->message,
                                               "application/json", bytes);
      g_bytes_unref(bytes);
    }
    pending->timer = g_timeout_add(
        static_cast<guint>(timeout.count()),
        [](gpointer data) -> gboolean {
          auto* const timed_out = static_cast<PendingRequest*>(data);
          timed_out->timer = 0;
          g_cancellable_cancel(timed_out->cancellable);
          return G_SOURCE_REMOVE;
        },
        pending);
    soup_session_send_and_read_async(session_, pending->message,
                                     G_PRIORITY_DEFAULT, pending->cancellable,
                                     OnRequestDone, pending);
  }

  HttpPlatformClientSettings settings_;
  Metrics* metrics_;
  SoupSession* session_;
  PlatformHealth health_ = PlatformHealth::kUnreachable;
};

}  // namespace

std::unique_ptr<PlatformClient> PlatformClient::CreateHttp(
    HttpPlatformClientSettings settings, Metrics* metrics) {
  return std::make_unique<HttpPlatformClient>(std::move(settings), metrics);
}

}  // namespace quetzal
