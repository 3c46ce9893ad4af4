#include "bench/support/http_load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "programs/ctl/client.h"

namespace quetzal::bench {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

// All requests of one run. Each thread has its own HTTP session and sends the
// next request when it is due.
class LoadRun {
 public:
  explicit LoadRun(const LoadSettings& settings) : settings_(settings) {}

  LoadResult Execute() {
    start_ = Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(settings_.connections));
    for (int i = 0; i < settings_.connections; ++i) {
      threads.emplace_back([this] { SendRequests(); });
    }
    for (std::thread& thread : threads) thread.join();
    result_.seconds = MillisecondsSince(start_) / 1000.0;
    result_.sent = settings_.count;
    return std::move(result_);
  }

 private:
  void SendRequests() {
    ctl::Client client(settings_.timeout_seconds);
    while (true) {
      const size_t index = next_++;
      if (index >= settings_.count) break;
      const auto offset = std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(static_cast<double>(index) /
                                        settings_.rate));
      // Latency counts from the due time, so that a load generator that falls
      // behind doesn't hide latency.
      const Clock::time_point due = start_ + offset;
      std::this_thread::sleep_until(due);
      Send(&client, index, due);
    }
  }

  void Send(ctl::Client* client, size_t index, Clock::time_point due) {
    const LoadRequest request = settings_.make(index);
    const std::string& address =
        settings_.addresses[index % settings_.addresses.size()];
    ctl::FetchOptions options{.body = request.body};
    if (!request.key.empty()) options.bearer = request.key;
    RecordResult(
        request, due,
        client->Fetch("POST", "http://" + address + request.path, options));
  }

  void RecordResult(const LoadRequest& request, Clock::time_point due,
                    const ctl::Exchange& reply) {
    const double latency = MillisecondsSince(due);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++finished_;
    if (reply.status == kOk || reply.status == kAccepted) {
      ++result_.answered;
      result_.latencies[request.label].push_back(latency);
      CheckAnswer(request, reply.json);
    } else if (!reply.answered()) {
      ++result_.refusals["no answer"];
    } else {
      ++result_.refusals[reply.json.value("error", "unreadable")];
    }
    if (settings_.on_progress) settings_.on_progress(finished_);
  }

  void CheckAnswer(const LoadRequest& request, const nlohmann::json& answer) {
    const nlohmann::json sent =
        nlohmann::json::parse(request.body, nullptr, false);
    if (!answer.contains("answer")) return;
    const std::string payload = sent.value("payload", "");
    if (!answer.value("answer", "").starts_with(payload)) ++result_.wrong;
  }

  const LoadSettings& settings_;
  Clock::time_point start_;
  std::atomic<size_t> next_{0};
  std::mutex mutex_;  // guards the members below
  size_t finished_ = 0;
  LoadResult result_;
};

}  // namespace

size_t LoadResult::Refused() const {
  size_t sum = 0;
  for (const auto& [reason, count] : refusals) sum += count;
  return sum;
}

LoadResult RunLoad(const LoadSettings& settings) {
  return LoadRun(settings).Execute();
}

double Quantile(std::vector<double> samples, double fraction) {
  if (samples.empty()) return 0;
  const auto index =
      static_cast<size_t>(fraction * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(),
                   samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

}  // namespace quetzal::bench
