#include "bench/support/http_load.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace quetzal::bench {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

// All requests of one run, on the default main context.
class Run {
 public:
  explicit Run(const LoadSettings& settings)
      : settings_(settings),
        loop_(g_main_loop_new(nullptr, FALSE)),
        session_(soup_session_new_with_options(
            "max-conns", settings.connections, "max-conns-per-host",
            settings.connections, "timeout",
            static_cast<guint>(settings.timeout_seconds), nullptr)) {}
  ~Run() {
    g_object_unref(session_);
    g_main_loop_unref(loop_);
  }

  LoadResult Go() {
    start_ = Clock::now();
    g_timeout_add(1, &Run::OnTick, this);
    g_main_loop_run(loop_);
    result_.seconds = MillisecondsSince(start_) / 1000.0;
    return std::move(result_);
  }

 private:
  struct Call {
    Run* run;
    SoupMessage* message;
    LoadRequest request;
    Clock::time_point due;
  };

  static gboolean OnTick(gpointer data) {
    return static_cast<Run*>(data)->SendDue() ? G_SOURCE_CONTINUE
                                              : G_SOURCE_REMOVE;
  }

  bool SendDue() {
    const double elapsed = MillisecondsSince(start_) / 1000.0;
    const auto due = std::min(settings_.count,
                              static_cast<size_t>(elapsed * settings_.rate));
    while (result_.sent < due) Send(result_.sent++);
    return result_.sent < settings_.count;
  }

  void Send(size_t index) {
    LoadRequest request = settings_.make(index);
    const std::string& address =
        settings_.addresses[index % settings_.addresses.size()];
    const std::string url = "http://" + address + request.path;
    SoupMessage* const message =
        soup_message_new(SOUP_METHOD_POST, url.c_str());
    GBytes* const bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    if (!request.key.empty()) {
      const std::string value = "Bearer " + request.key;
      soup_message_headers_replace(soup_message_get_request_headers(message),
                                   "Authorization", value.c_str());
    }
    // Latency counts from when the request was due, so that a driver that
    // falls behind does not hide it.
    const auto offset = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(index) /
                                      settings_.rate));
    auto* const call =
        new Call{this, message, std::move(request), start_ + offset};
    soup_session_send_and_read_async(session_, message, G_PRIORITY_DEFAULT,
                                     nullptr, &Run::OnDone, call);
  }

  static void OnDone(GObject* session, GAsyncResult* async, gpointer data) {
    const std::unique_ptr<Call> call(static_cast<Call*>(data));
    GError* error = nullptr;
    GBytes* const bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(session), async, &error);
    std::string body;
    int status = 0;
    if (error != nullptr) {
      g_error_free(error);
    } else {
      gsize size = 0;
      const auto* const text =
          static_cast<const char*>(g_bytes_get_data(bytes, &size));
      if (text != nullptr) body.assign(text, size);
      g_bytes_unref(bytes);
      status = static_cast<int>(soup_message_get_status(call->message));
    }
    g_object_unref(call->message);
    call->run->Account(*call, status, body);
  }

  void Account(const Call& call, int status, const std::string& body) {
    ++done_;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (status == kOk || status == kAccepted) {
      ++result_.answered;
      result_.latencies[call.request.label].push_back(
          MillisecondsSince(call.due));
      CheckAnswer(call, json);
      result_.bodies.push_back(body);
    } else if (status == 0) {
      ++result_.refusals["no answer"];
    } else {
      const std::string code =
          json.is_object() ? json.value("error", "unreadable") : "unreadable";
      ++result_.refusals[code];
    }
    if (settings_.on_progress) {
      settings_.on_progress(result_.sent, done_);
    }
    if (done_ == settings_.count) g_main_loop_quit(loop_);
  }

  void CheckAnswer(const Call& call, const nlohmann::json& answer) {
    const nlohmann::json sent =
        nlohmann::json::parse(call.request.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("answer")) return;
    const std::string payload = sent.value("payload", "");
    if (!answer.value("answer", "").starts_with(payload)) ++result_.wrong;
  }

  const LoadSettings& settings_;
  GMainLoop* loop_;
  SoupSession* session_;
  Clock::time_point start_;
  size_t done_ = 0;
  LoadResult result_;
};

}  // namespace

size_t LoadResult::Refused() const {
  size_t sum = 0;
  for (const auto& [reason, count] : refusals) sum += count;
  return sum;
}

LoadResult RunLoad(const LoadSettings& settings) { return Run(settings).Go(); }

double Quantile(std::vector<double> samples, double part) {
  if (samples.empty()) return 0;
  const auto index =
      static_cast<size_t>(part * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(),
                   samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

}  // namespace quetzal::bench
