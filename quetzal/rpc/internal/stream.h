// The gRPC reactors behind `Link` and `Server`. They write one message at a
// time from a queue and post received messages to the main loop.
#ifndef QUETZAL_RPC_INTERNAL_STREAM_H_
#define QUETZAL_RPC_INTERNAL_STREAM_H_

#include <glib.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "quetzal/rpc/rpc.h"

namespace quetzal::rpc_internal {

inline constexpr int kInitialReconnectMs = 50;
inline constexpr int kMaxReconnectMs = 1'000;
inline constexpr int kKeepAliveMs = 20'000;
inline constexpr int kKeepAliveTimeoutMs = 5'000;

void CountSent(size_t bytes);
void CountReceived(size_t bytes);

// Messages waiting to be written by a reactor, which may have only one write in
// flight.
template <typename Out>
class WriteQueue {
 public:
  // True if the caller must start a write of `Front()`.
  bool Push(Out message) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return false;
    queue_.push_back(std::move(message));
    return queue_.size() == 1;
  }
  // Removes the message just written; true if another write must start.
  bool Pop() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!queue_.empty()) queue_.pop_front();
    return !queue_.empty() && !closed_;
  }
  const Out* Front() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return &queue_.front();
  }
  void Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }

 private:
  std::mutex mutex_;
  std::deque<Out> queue_;
  bool closed_ = false;
};

// State shared by a link and its reactors, which may outlive it. Used on the
// main loop only.
template <typename In>
struct LinkState {
  LinkHandlers<In> handlers;
  bool alive = true;
  bool up = false;
  uint64_t generation = 0;
  std::function<void()> reconnect;
};

template <typename Out, typename In>
class ClientReactor : public grpc::ClientBidiReactor<Out, In> {
 public:
  ClientReactor(std::shared_ptr<LinkState<In>> state, uint64_t generation)
      : state_(std::move(state)), generation_(generation) {}

  grpc::ClientContext* context() { return &context_; }

  void Begin() {
    this->StartRead(&incoming_);
    this->AddHold();
    this->StartCall();
  }
  void Send(const Out& message) {
    CountSent(message.ByteSizeLong());
    if (writes_.Push(message)) this->StartWrite(writes_.Front());
  }
  // No other method may be called afterwards: the reactor is deleted.
  void Cancel() {
    writes_.Close();
    context_.TryCancel();
    this->RemoveHold();
  }

  void OnReadInitialMetadataDone(bool ok) override {
    if (!ok) return;
    PostToMainLoop([state = state_, generation = generation_] {
      if (!state->alive || state->generation != generation) return;
      state->up = true;
      state->handlers.on_link(true);
    });
  }
  void OnReadDone(bool ok) override {
    if (!ok) {
      PostDisconnect();
      return;
    }
    CountReceived(incoming_.ByteSizeLong());
    auto message = std::make_shared<In>(std::move(incoming_));
    PostToMainLoop([state = state_, generation = generation_, message] {
      if (!state->alive || state->generation != generation) return;
      state->handlers.on_message(*message);
    });
    incoming_ = In();
    this->StartRead(&incoming_);
  }
  void OnWriteDone(bool ok) override {
    if (writes_.Pop() && ok) this->StartWrite(writes_.Front());
  }
  void OnDone(const grpc::Status& /*status*/) override {
    // The context may hold the last channel, whose release waits for gRPC's
    // threads, of which this is one.
    PostToMainLoop([self = this] { delete self; });
  }

 private:
  void PostDisconnect() {
    PostToMainLoop([state = state_, generation = generation_] {
      if (!state->alive || state->generation != generation) return;
      const bool was_up = std::exchange(state->up, false);
      if (was_up) state->handlers.on_link(false);
      state->reconnect();
    });
  }

  std::shared_ptr<LinkState<In>> state_;
  const uint64_t generation_;
  grpc::ClientContext context_;
  In incoming_;
  WriteQueue<Out> writes_;
};

// `Traits` provides the stub's type and starts the call of its only method.
template <typename Traits>
class LinkImpl : public Link<typename Traits::Out, typename Traits::In> {
 public:
  using Out = typename Traits::Out;
  using In = typename Traits::In;
  using Reactor = ClientReactor<Out, In>;

  LinkImpl(const std::string& address, LinkHandlers<In> handlers)
      : state_(std::make_shared<LinkState<In>>()) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     kInitialReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepAliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepAliveTimeoutMs);
    arguments.SetMaxReceiveMessageSize(-1);
    // Without this, channels to the same address share a connection.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    channel_ = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
    stub_ = Traits::NewStub(channel_);
    state_->handlers = std::move(handlers);
    state_->reconnect = [this] { ScheduleConnect(); };
    Connect();
  }
  ~LinkImpl() override {
    state_->alive = false;
    if (timer_ != 0) g_source_remove(timer_);
    if (reactor_ != nullptr) reactor_->Cancel();
  }

  void Send(const Out& message) override {
    if (state_->up) reactor_->Send(message);
  }

 private:
  void Connect() {
    ++state_->generation;
    reactor_ = new Reactor(state_, state_->generation);
    Traits::Start(stub_.get(), reactor_->context(), reactor_);
    reactor_->Begin();
  }
  void ScheduleConnect() {
    reactor_->Cancel();
    reactor_ = nullptr;
    delay_ms_ = std::min(kMaxReconnectMs, delay_ms_ * 2);
    timer_ = g_timeout_add(
        static_cast<guint>(delay_ms_),
        [](gpointer self) -> gboolean {
          auto* const link = static_cast<LinkImpl*>(self);
          link->timer_ = 0;
          link->Connect();
          return G_SOURCE_REMOVE;
        },
        this);
  }

  std::shared_ptr<LinkState<In>> state_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<typename Traits::Stub> stub_;
  Reactor* reactor_ = nullptr;  // deleted after `OnDone`
  int delay_ms_ = kInitialReconnectMs;
  guint timer_ = 0;
};

template <typename Out, typename In>
class ServerReactor;

// Open streams of a server; shared with reactors that may outlive it.
template <typename Out, typename In>
struct ServerState {
  ServerHandlers<In> handlers;
  bool alive = true;
  std::map<uint64_t, ServerReactor<Out, In>*> peers;  // main loop only
  std::atomic<uint64_t> next_peer{1};
};

template <typename Out, typename In>
class ServerReactor : public grpc::ServerBidiReactor<In, Out> {
 public:
  using State = ServerState<Out, In>;

  ServerReactor(std::shared_ptr<State> state, uint64_t peer)
      : state_(std::move(state)), peer_(peer) {
    this->StartSendInitialMetadata();
    PostToMainLoop([state = state_, peer, self = this] {
      if (!state->alive) return;
      state->peers[peer] = self;
      state->handlers.on_open(PeerId{peer});
    });
    this->StartRead(&incoming_);
  }

  void Send(const Out& message) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) return;
    CountSent(message.ByteSizeLong());
    if (writes_.Push(message)) this->StartWrite(writes_.Front());
  }
  void End() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) return;
    ended_ = true;
    this->Finish(grpc::Status::OK);
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      End();
      return;
    }
    CountReceived(incoming_.ByteSizeLong());
    auto message = std::make_shared<In>(std::move(incoming_));
    PostToMainLoop([state = state_, peer = peer_, message] {
      if (!state->alive || !state->peers.contains(peer)) return;
      state->handlers.on_message(PeerId{peer}, *message);
    });
    incoming_ = In();
    // No read may start once the stream is finished.
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!ended_) this->StartRead(&incoming_);
  }
  void OnWriteDone(bool ok) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (writes_.Pop() && ok && !ended_) this->StartWrite(writes_.Front());
  }
  void OnCancel() override { End(); }
  void OnDone() override {
    // Deleted on the main loop, where the server may still be using it.
    PostToMainLoop([state = state_, peer = peer_, self = this] {
      const bool known = state->peers.erase(peer) > 0;
      if (known && state->alive) state->handlers.on_close(PeerId{peer});
      delete self;
    });
  }

 private:
  std::shared_ptr<State> state_;
  const uint64_t peer_;
  In incoming_;
  WriteQueue<Out> writes_;
  std::mutex mutex_;  // no read or write may start once the stream is finished
  bool ended_ = false;
};

// `Service` derives from the generated callback service and overrides its only
// method to call `Accept`.
template <typename Out, typename In, typename Service>
class ServerImpl : public Server<Out, In> {
 public:
  using State = ServerState<Out, In>;

  ServerImpl(const std::string& address, ServerHandlers<In> handlers)
      : state_(std::make_shared<State>()), service_(state_) {
    state_->handlers = std::move(handlers);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                             &port_);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Peers may send keepalive pings on an idle link as often as `LinkImpl`.
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kKeepAliveMs / 2);
    builder.SetMaxReceiveMessageSize(-1);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
  }
  ~ServerImpl() override {
    state_->alive = false;
    if (!server_) return;
    server_->Shutdown(std::chrono::system_clock::now());
    server_->Wait();
  }

  bool listening() const { return server_ != nullptr && port_ != 0; }
  void Send(PeerId peer, const Out& message) override {
    const auto found = state_->peers.find(static_cast<uint64_t>(peer));
    if (found != state_->peers.end()) found->second->Send(message);
  }
  void Close(PeerId peer) override {
    const auto found = state_->peers.find(static_cast<uint64_t>(peer));
    if (found != state_->peers.end()) found->second->End();
  }
  int port() const override { return port_; }

 private:
  std::shared_ptr<State> state_;
  Service service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

template <typename Out, typename In>
ServerReactor<Out, In>* Accept(const std::shared_ptr<ServerState<Out, In>>& s) {
  return new ServerReactor<Out, In>(s, s->next_peer++);
}

}  // namespace quetzal::rpc_internal

#endif  // QUETZAL_RPC_INTERNAL_STREAM_H_
