#include "relay.h"

#include <glib.h>

#include <utility>

#include "quetzal/program/program.h"

namespace quetzal::review {
namespace {

constexpr int kUnavailable = 503;
// Longer than any call that is relayed waits for its answer.
constexpr Milliseconds kTimeout{15'000};
constexpr char kExpectedInstance[] = "x-expected-instance";

std::string Escape(const std::string& text) {
  gchar* const escaped = g_uri_escape_string(text.c_str(), "/", FALSE);
  std::string result = escaped;
  g_free(escaped);
  return result;
}

std::string TargetOf(const HttpRequest& request) {
  std::string target = request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    target +=
        std::exchange(separator, '&') + Escape(name) + "=" + Escape(value);
  }
  return target;
}

}  // namespace

bool Relay::Listen(const std::string& address) {
  server_ = ListenForHttp(
      address, {},
      {.on_request = [this](HttpCallId call,
                            const HttpRequest& r) { OnRequest(call, r); },
       .on_disconnect = [](HttpCallId) {}});
  return server_ != nullptr;
}

void Relay::OnRequest(HttpCallId call, const HttpRequest& request) {
  const Treatment treatment = rule_ ? rule_(request) : Treatment::Forward();
  switch (treatment.kind) {
    case Treatment::Kind::kForward:
      Forward(request, [this, call](const HttpClientResult& answer) {
        // Without an answer the caller gets none either.
        if (answer.kind != HttpClientResult::Kind::kAnswered) return;
        server_->Reply(call, {.status = answer.status, .body = answer.body});
      });
      return;
    case Treatment::Kind::kRefuse:
      server_->Reply(call, {.status = kUnavailable, .body = "{}"});
      return;
    case Treatment::Kind::kLose:
      RunAfter(treatment.delay, [this, request] {
        Forward(request, [](const HttpClientResult&) {});
      });
      return;
  }
}

void Relay::Forward(const HttpRequest& request,
                    const HttpClient::Callback& done) {
  HttpClientRequest copy{.method = request.method,
                         .url = "http://" + target_ + TargetOf(request),
                         .body = request.body,
                         .timeout = kTimeout};
  const auto instance = request.headers.find(kExpectedInstance);
  if (instance != request.headers.end()) {
    copy.headers.push_back("X-Expected-Instance: " + instance->second);
  }
  client_->Send(copy, [this, request, done](const HttpClientResult& answer) {
    if (observer_) observer_(request, answer);
    done(answer);
  });
}

}  // namespace quetzal::review
