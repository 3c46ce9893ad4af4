#include "quetzal/http_client/http_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "quetzal/http_client/internal/ready_source.h"
#include "quetzal/http_client/internal/socket_set.h"
#include "quetzal/turn_profile/turn_profile.h"

namespace quetzal {
namespace {

using http_client_internal::ReadySource;
using http_client_internal::SocketSet;

// libcurl's variadic options take this type.
using CurlNumber = long;  // NOLINT(google-runtime-int)

// A connection whose peer acknowledges no data for this long is closed. Well
// below 3 s, the shortest time limit that must hold despite a dead connection.
constexpr unsigned kTcpUserTimeoutMs = 1'500;
// A separate limit tells a failed connection from a slow response. It allows
// three round trips between regions.
constexpr Milliseconds kConnectTimeout{1'000};
// Requests aren't timed out while answers may wait in sockets that weren't
// handled yet, but for no more turns of the main loop than this.
constexpr int kMaxIncompleteRounds = 32;

// Requests with a `stall_timeout` are looked at this often for progress.
constexpr Milliseconds kStallCheckInterval{100};
constexpr gint64 kMicrosecondsInMillisecond = 1'000;

gint64 Microseconds(Milliseconds duration) {
  return duration.count() * kMicrosecondsInMillisecond;
}

struct Transfer;
using Deadlines = std::multimap<gint64, Transfer*>;  // on the monotonic clock

struct Transfer {
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::string body;
  HttpClient::Callback callback;
  HttpClientResult result;
  gint64 started_us = 0;
  gint64 deadline_us = 0;       // on the monotonic clock
  gint64 stall_timeout_us = 0;  // 0: none
  gint64 progressed_us = 0;     // when `moved_bytes` was last seen to change
  curl_off_t moved_bytes = 0;   // in both directions, with the heads
  Deadlines::iterator next_deadline;
  SocketSet* sockets = nullptr;
  size_t shard = 0;
  bool is_read = false;      // may be repeated
  bool may_be_sent = false;  // at least in part
  bool was_repetition_prevented = false;
};

// libcurl repeats a request, with any method, if a reused connection ended
// without an answer. The peer may have executed the first copy, and a second
// copy may reach another process at the address, or conflict with the first.
bool PreventsRepetition(Transfer* transfer) {
  if (transfer->is_read || !transfer->may_be_sent) return false;
  transfer->was_repetition_prevented = true;
  return true;
}

// Called before each copy of the request, on new and reused connections. A
// request doesn't leave after its time limit, as its sender may no longer have
// the right to send it.
int OnBeforeRequest(void* data, char* /*peer*/, char* /*local*/,
                    int /*peer_port*/, int /*local_port*/) {
  auto* const transfer = static_cast<Transfer*>(data);
  if (PreventsRepetition(transfer)) return CURL_PREREQFUNC_ABORT;
  // The deadline of its connection, if it wasn't sent before.
  const bool is_too_late =
      transfer->next_deadline->first <= g_get_monotonic_time();
  if (!transfer->may_be_sent && is_too_late) return CURL_PREREQFUNC_ABORT;
  transfer->may_be_sent = true;
  return CURL_PREREQFUNC_OK;
}

size_t AppendBody(char* data, size_t size, size_t count, void* transfer) {
  static_cast<Transfer*>(transfer)->result.body.append(data, size * count);
  return size * count;
}

int SetSocketOptions(void* /*client*/, curl_socket_t descriptor,
                     curlsocktype /*purpose*/) {
  const unsigned user_timeout_ms = kTcpUserTimeoutMs;
  if (setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                 sizeof(user_timeout_ms)) != 0) {
    LOG_FIRST_N(WARNING, 1)
        << "TCP_USER_TIMEOUT can't be set: " << g_strerror(errno);
  }
  return CURL_SOCKOPT_OK;
}

HttpClientResult::Kind FailureKind(CURLcode code, const Transfer& transfer) {
  if (transfer.may_be_sent) return HttpClientResult::Kind::kNoAnswer;
  CurlNumber error = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &error);
  return code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED
             ? HttpClientResult::Kind::kConnectionRefused
             : HttpClientResult::Kind::kNotSent;
}

curl_off_t MovedBytes(CURL* easy) {
  curl_off_t received = 0;
  curl_off_t sent = 0;
  CurlNumber response_head = 0;
  CurlNumber request_head = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &response_head);
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_head);
  return received + sent + response_head + request_head;
}

bool HasStalled(Transfer* transfer, gint64 now_us) {
  const curl_off_t moved_bytes = MovedBytes(transfer->easy);
  if (std::exchange(transfer->moved_bytes, moved_bytes) != moved_bytes) {
    transfer->progressed_us = now_us;
  }
  return now_us - transfer->progressed_us >= transfer->stall_timeout_us;
}

// libcurl looks through all idle connections of a multi handle again for each
// that its peer has closed. So they are divided among several handles, with all
// connections to an authority in one.
constexpr int kIdleConnectionsPerShard = 96;
constexpr int kMaxShards = 64;

// "host:port" of a URL.
std::string_view AuthorityOf(std::string_view url) {
  constexpr std::string_view kSchemeEnd = "://";
  const size_t scheme_end = url.find(kSchemeEnd);
  if (scheme_end != std::string_view::npos) {
    url.remove_prefix(scheme_end + kSchemeEnd.size());
  }
  return url.substr(0, url.find('/'));
}

class CurlClient : public HttpClient {
 public:
  explicit CurlClient(const HttpClientLimits& limits)
      : shards_(static_cast<size_t>(
            std::clamp(limits.max_idle_connections / kIdleConnectionsPerShard,
                       1, kMaxShards))),
        source_(std::make_unique<ReadySource>(sockets_.descriptor(),
                                              [this] { OnReady(); })) {
    const int idle_connections =
        limits.max_idle_connections / static_cast<int>(shards_.size());
    for (size_t i = 0; i < shards_.size(); ++i) {
      Shard& shard = shards_[i];
      shard.client = this;
      shard.index = i;
      shard.multi = curl_multi_init();
      curl_multi_setopt(shard.multi, CURLMOPT_SOCKETFUNCTION, &OnSocketUpdate);
      curl_multi_setopt(shard.multi, CURLMOPT_SOCKETDATA, &shard);
      curl_multi_setopt(shard.multi, CURLMOPT_TIMERFUNCTION, &OnTimerUpdate);
      curl_multi_setopt(shard.multi, CURLMOPT_TIMERDATA, &shard);
      curl_multi_setopt(shard.multi, CURLMOPT_MAXCONNECTS,
                        static_cast<CurlNumber>(idle_connections));
      curl_multi_setopt(shard.multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }
  }
  ~CurlClient() override {
    if (stall_timer_ != 0) g_source_remove(stall_timer_);
    for (Transfer* const transfer : transfers_) {
      curl_multi_remove_handle(shards_[transfer->shard].multi, transfer->easy);
      Free(transfer);
    }
    for (const Shard& shard : shards_) curl_multi_cleanup(shard.multi);
    for (CURL* const easy : idle_handles_) curl_easy_cleanup(easy);
  }

  void Send(const HttpClientRequest& request, Callback callback) override {
    auto* const transfer = new Transfer;
    transfer->callback = std::move(callback);
    transfer->body = request.body;
    transfer->started_us = g_get_monotonic_time();
    transfer->stall_timeout_us = Microseconds(request.stall_timeout);
    transfer->progressed_us = transfer->started_us;
    transfer->sockets = &sockets_;
    transfer->is_read = request.method == "GET";
    transfer->easy = AcquireHandle();
    Prepare(request, transfer);
    transfers_.insert(transfer);
    transfer->deadline_us =
        transfer->started_us + Microseconds(request.timeout);
    AddDeadline(transfer,
                transfer->started_us +
                    Microseconds(std::min(kConnectTimeout, request.timeout)));
    if (transfer->stall_timeout_us > 0) {
      may_stall_.insert(transfer);
      ScheduleStallCheck();
    }
    transfer->shard = std::hash<std::string_view>()(AuthorityOf(request.url)) %
                      shards_.size();
    curl_multi_add_handle(shards_[transfer->shard].multi, transfer->easy);
  }

 private:
  struct Shard {
    CurlClient* client = nullptr;
    size_t index = 0;
    CURLM* multi = nullptr;
    std::optional<gint64> timer_us;  // on the monotonic clock
    bool may_have_finished = false;  // some of its transfers
  };

  CURL* AcquireHandle() {
    if (idle_handles_.empty()) return curl_easy_init();
    CURL* const easy = idle_handles_.back();
    idle_handles_.pop_back();
    return easy;
  }

  void Prepare(const HttpClientRequest& request, Transfer* transfer) {
    CURL* const easy = transfer->easy;
    for (const std::string& header : request.headers) {
      transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    }
    if (!request.body.empty()) {
      transfer->headers = curl_slist_append(transfer->headers,
                                            "Content-Type: application/json");
      // Without this header curl delays large bodies until a 100 (Continue)
      // response, which small servers don't send.
      transfer->headers = curl_slist_append(transfer->headers, "Expect:");
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<CurlNumber>(transfer->body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    } else if (request.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    }
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     request.on_new_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetSocketOptions);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnSocketOpened);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnSocketClosed);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  }

  static int OnSocketUpdate(CURL* /*easy*/, curl_socket_t descriptor, int what,
                            void* data, void* /*socket_data*/) {
    const Shard& shard = *static_cast<Shard*>(data);
    uint32_t events = 0;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) events |= EPOLLIN;
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) events |= EPOLLOUT;
    shard.client->sockets_.SetEvents(descriptor, events, shard.index);
    return 0;
  }

  // Not every socket that is opened is passed to `OnSocketClosed`: those of
  // failed connection attempts aren't.
  static curl_socket_t OnSocketOpened(void* data, curlsocktype /*purpose*/,
                                      curl_sockaddr* address) {
    auto* const transfer = static_cast<Transfer*>(data);
    // Saves the connection that the repetition would be sent on.
    if (PreventsRepetition(transfer)) return CURL_SOCKET_BAD;
    const int descriptor = socket(
        address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (descriptor < 0) {
      LOG(WARNING) << "a socket can't be opened: " << g_strerror(errno);
      return CURL_SOCKET_BAD;
    }
    transfer->sockets->OnOpened(descriptor);
    return descriptor;
  }

  static int OnSocketClosed(void* self, curl_socket_t descriptor) {
    static_cast<CurlClient*>(self)->sockets_.Remove(descriptor);
    return close(descriptor);
  }

  static int OnTimerUpdate(CURLM* /*multi*/, CurlNumber timeout_ms,
                           void* data) {
    Shard& shard = *static_cast<Shard*>(data);
    shard.timer_us.reset();
    if (timeout_ms >= 0) {
      shard.timer_us =
          g_get_monotonic_time() + Microseconds(Milliseconds(timeout_ms));
    }
    shard.client->UpdateTimer();
    return 0;
  }

  void UpdateTimer() {
    std::optional<gint64> first;
    if (!deadlines_.empty()) first = deadlines_.begin()->first;
    for (const Shard& shard : shards_) {
      if (shard.timer_us && (!first || *shard.timer_us < *first)) {
        first = shard.timer_us;
      }
    }
    source_->SetTimer(first);
  }

  void RunExpiredTimers() {
    const gint64 now_us = g_get_monotonic_time();
    for (Shard& shard : shards_) {
      if (!shard.timer_us || *shard.timer_us > now_us) continue;
      shard.timer_us.reset();
      RunSocketAction(&shard, CURL_SOCKET_TIMEOUT, 0);
    }
  }

  // libcurl's own time limits aren't used: after a pause of this process it
  // ends requests whose answers wait to be read. Here the limits count once all
  // sockets that were ready after them have been handled.
  void OnReady() {
    const TurnProfile::Section section("http client");
    const gint64 began_us = g_get_monotonic_time();
    const bool is_complete = HandleReadySockets();
    RunExpiredTimers();
    FinishTransfers();
    incomplete_rounds_ = is_complete ? 0 : incomplete_rounds_ + 1;
    if (is_complete || incomplete_rounds_ > kMaxIncompleteRounds) {
      FinishExpired(began_us);
    }
    UpdateTimer();
  }

  // Returns whether no other sockets were ready.
  bool HandleReadySockets() {
    const SocketSet::ReadyRound round = sockets_.TakeReady();
    for (const SocketSet::Ready& ready : round.sockets) {
      int events = 0;
      if ((ready.events & EPOLLIN) != 0) events |= CURL_CSELECT_IN;
      if ((ready.events & EPOLLOUT) != 0) events |= CURL_CSELECT_OUT;
      if ((ready.events & (EPOLLERR | EPOLLHUP)) != 0) {
        events |= CURL_CSELECT_ERR;
      }
      // Handling an earlier socket may have closed this one.
      if (!sockets_.IsWatched(ready.descriptor)) continue;
      RunSocketAction(&shards_[ready.owner], ready.descriptor, events);
    }
    return round.is_complete;
  }

  void AddDeadline(Transfer* transfer, gint64 deadline_us) {
    transfer->next_deadline = deadlines_.emplace(deadline_us, transfer);
    UpdateTimer();
  }

  // The first deadline of a request is that of its connection.
  void FinishExpired(gint64 now_us) {
    std::vector<Transfer*> expired;
    for (const auto& [deadline_us, transfer] : deadlines_) {
      if (deadline_us > now_us) break;
      expired.push_back(transfer);
    }
    for (Transfer* const transfer : expired) {
      if (transfer->may_be_sent && transfer->deadline_us > now_us) {
        deadlines_.erase(transfer->next_deadline);
        AddDeadline(transfer, transfer->deadline_us);
      } else {
        Finish(transfer, CURLE_OPERATION_TIMEDOUT);
      }
    }
  }

  // One timer for all requests with a `stall_timeout`; none without them.
  void ScheduleStallCheck() {
    if (stall_timer_ != 0 || may_stall_.empty()) return;
    const gint64 now_us = g_get_monotonic_time();
    gint64 delay_us = kStallCheckInterval.count() * kMicrosecondsInMillisecond;
    for (const Transfer* const transfer : may_stall_) {
      delay_us = std::min(delay_us, transfer->progressed_us +
                                        transfer->stall_timeout_us - now_us);
    }
    const gint64 delay_ms =
        (std::max<gint64>(0, delay_us) + kMicrosecondsInMillisecond - 1) /
        kMicrosecondsInMillisecond;
    stall_timer_ = g_timeout_add(
        static_cast<guint>(delay_ms),
        [](gpointer self) -> gboolean {
          static_cast<CurlClient*>(self)->OnStallCheck();
          return G_SOURCE_REMOVE;
        },
        this);
  }

  void OnStallCheck() {
    stall_timer_ = 0;
    // Bytes that arrived while this process was paused are progress.
    for (int i = 0; i < kMaxIncompleteRounds && !HandleReadySockets(); ++i) {
    }
    FinishTransfers();
    const gint64 now_us = g_get_monotonic_time();
    std::vector<Transfer*> stalled;
    for (Transfer* const transfer : may_stall_) {
      if (HasStalled(transfer, now_us)) stalled.push_back(transfer);
    }
    for (Transfer* const transfer : stalled) {
      Finish(transfer, CURLE_OPERATION_TIMEDOUT);
    }
    ScheduleStallCheck();
  }

  static void RunSocketAction(Shard* shard, curl_socket_t descriptor,
                              int events) {
    int running = 0;
    curl_multi_socket_action(shard->multi, descriptor, events, &running);
    shard->may_have_finished = true;
  }

  void FinishTransfers() {
    for (Shard& shard : shards_) {
      if (std::exchange(shard.may_have_finished, false)) {
        FinishTransfersOf(shard);
      }
    }
  }

  void FinishTransfersOf(const Shard& shard) {
    int left = 0;
    while (CURLMsg* const message = curl_multi_info_read(shard.multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      Finish(transfer, code);
    }
  }

  void Finish(Transfer* transfer, CURLcode code) {
    HttpClientResult& result = transfer->result;
    result.took =
        Milliseconds((g_get_monotonic_time() - transfer->started_us) / 1'000);
    if (code == CURLE_OK) {
      CurlNumber status = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
      result.kind = HttpClientResult::Kind::kAnswered;
      result.status = static_cast<int>(status);
    } else {
      result.kind = FailureKind(code, *transfer);
      result.problem = transfer->was_repetition_prevented
                           ? "the connection ended without an answer"
                           : curl_easy_strerror(code);
    }
    curl_multi_remove_handle(shards_[transfer->shard].multi, transfer->easy);
    transfers_.erase(transfer);
    may_stall_.erase(transfer);
    deadlines_.erase(transfer->next_deadline);
    transfer->callback(result);
    Free(transfer);
  }

  void Free(Transfer* transfer) {
    curl_slist_free_all(transfer->headers);
    curl_easy_reset(transfer->easy);
    idle_handles_.push_back(transfer->easy);
    delete transfer;
  }

  std::vector<Shard> shards_;  // not resized, as libcurl has their addresses
  SocketSet sockets_;
  std::unique_ptr<ReadySource> source_;
  std::unordered_set<Transfer*> transfers_;
  Deadlines deadlines_;
  int incomplete_rounds_ = 0;                // in a row
  std::unordered_set<Transfer*> may_stall_;  // those with a `stall_timeout`
  guint stall_timer_ = 0;
  std::vector<CURL*> idle_handles_;  // kept, as handles are costly to create
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(const HttpClientLimits& limits) {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_NOTHING);
  if (initialized != CURLE_OK) {
    LOG(ERROR) << "libcurl: " << curl_easy_strerror(initialized);
  }
  return std::make_unique<CurlClient>(limits);
}

}  // namespace quetzal
