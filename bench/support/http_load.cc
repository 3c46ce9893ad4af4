#include "bench/support/http_load.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace quetzal::bench {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

// All requests of one run. Each thread has a session of its own and takes the
// next request when it is due.
class Run {
 public:
  explicit Run(const LoadSettings& settings) : settings_(settings) {}

  LoadResult Go() {
    start_ = Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(settings_.connections));
    for (int i = 0; i < settings_.connections; ++i) {
      threads.emplace_back([this] { Work(); });
    }
    for (std::thread& thread : threads) thread.join();
    result_.seconds = MillisecondsSince(start_) / 1000.0;
    result_.sent = settings_.count;
    return std::move(result_);
  }

 private:
  void Work() {
    SoupSession* const session = soup_session_new_with_options(
        "timeout", static_cast<guint>(settings_.timeout_seconds), nullptr);
    while (true) {
      const size_t index = next_++;
      if (index >= settings_.count) break;
      const auto offset = std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(static_cast<double>(index) /
                                        settings_.rate));
      // Latency counts from when the request was due, so that a driver that
      // falls behind does not hide it.
      const Clock::time_point due = start_ + offset;
      std::this_thread::sleep_until(due);
      Send(session, index, due);
    }
    g_object_unref(session);
  }

  void Send(SoupSession* session, size_t index, Clock::time_point due) {
    const LoadRequest request = settings_.make(index);
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
    GError* error = nullptr;
    GBytes* const reply =
        soup_session_send_and_read(session, message, nullptr, &error);
    std::string body;
    int status = 0;
    if (error != nullptr) {
      g_error_free(error);
    } else {
      gsize size = 0;
      const auto* const text =
          static_cast<const char*>(g_bytes_get_data(reply, &size));
      if (text != nullptr) body.assign(text, size);
      g_bytes_unref(reply);
      status = static_cast<int>(soup_message_get_status(message));
    }
    g_object_unref(message);
    Account(request, due, status, body);
  }

  void Account(const LoadRequest& request, Clock::time_point due, int status,
               const std::string& body) {
    const double latency = MillisecondsSince(due);
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++done_;
    if (status == kOk || status == kAccepted) {
      ++result_.answered;
      result_.latencies[request.label].push_back(latency);
      CheckAnswer(request, json);
    } else if (status == 0) {
      ++result_.refusals["no answer"];
    } else {
      const std::string code =
          json.is_object() ? json.value("error", "unreadable") : "unreadable";
      ++result_.refusals[code];
    }
    if (settings_.on_progress) settings_.on_progress(done_);
  }

  void CheckAnswer(const LoadRequest& request, const nlohmann::json& answer) {
    const nlohmann::json sent =
        nlohmann::json::parse(request.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("answer")) return;
    const std::string payload = sent.value("payload", "");
    if (!answer.value("answer", "").starts_with(payload)) ++result_.wrong;
  }

  const LoadSettings& settings_;
  Clock::time_point start_;
  std::atomic<size_t> next_{0};
  std::mutex mutex_;  // guards what follows
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
