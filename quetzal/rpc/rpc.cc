#include "quetzal/rpc/rpc.h"

#include <glib.h>

#include <utility>

#include "quetzal/proto/wire.grpc.pb.h"
#include "quetzal/rpc/internal/stream.h"

namespace quetzal {
namespace rpc_internal {
namespace {

struct Counters {
  std::atomic<uint64_t> sent_messages{0};
  std::atomic<uint64_t> sent_bytes{0};
  std::atomic<uint64_t> received_messages{0};
  std::atomic<uint64_t> received_bytes{0};
};

Counters& AllCounters() {
  static Counters counters;
  return counters;
}

struct ContractTraits {
  using Out = wire::PlacerToWorker;
  using In = wire::WorkerToPlacer;
  using Stub = wire::Contract::Stub;
  static std::unique_ptr<Stub> NewStub(
      const std::shared_ptr<grpc::Channel>& channel) {
    return wire::Contract::NewStub(channel);
  }
  static void Start(Stub* stub, grpc::ClientContext* context,
                    grpc::ClientBidiReactor<Out, In>* reactor) {
    stub->async()->Hold(context, reactor);
  }
};

struct PlacerTraits {
  using Out = wire::EntryToPlacer;
  using In = wire::PlacerToEntry;
  using Stub = wire::Placer::Stub;
  static std::unique_ptr<Stub> NewStub(
      const std::shared_ptr<grpc::Channel>& channel) {
    return wire::Placer::NewStub(channel);
  }
  static void Start(Stub* stub, grpc::ClientContext* context,
                    grpc::ClientBidiReactor<Out, In>* reactor) {
    stub->async()->Serve(context, reactor);
  }
};

struct HelperTraits {
  using Out = wire::AdviceRequest;
  using In = wire::AdviceReply;
  using Stub = wire::Helper::Stub;
  static std::unique_ptr<Stub> NewStub(
      const std::shared_ptr<grpc::Channel>& channel) {
    return wire::Helper::NewStub(channel);
  }
  static void Start(Stub* stub, grpc::ClientContext* context,
                    grpc::ClientBidiReactor<Out, In>* reactor) {
    stub->async()->Advise(context, reactor);
  }
};

class HelperService : public wire::Helper::CallbackService {
 public:
  using State = ServerState<wire::AdviceReply, wire::AdviceRequest>;
  explicit HelperService(std::shared_ptr<State> state)
      : state_(std::move(state)) {}
  grpc::ServerBidiReactor<wire::AdviceRequest, wire::AdviceReply>* Advise(
      grpc::CallbackServerContext* /*context*/) override {
    return Accept(state_);
  }

 private:
  std::shared_ptr<State> state_;
};

class ContractService : public wire::Contract::CallbackService {
 public:
  using State = ServerState<wire::WorkerToPlacer, wire::PlacerToWorker>;
  explicit ContractService(std::shared_ptr<State> state)
      : state_(std::move(state)) {}
  grpc::ServerBidiReactor<wire::PlacerToWorker, wire::WorkerToPlacer>* Hold(
      grpc::CallbackServerContext* /*context*/) override {
    return Accept(state_);
  }

 private:
  std::shared_ptr<State> state_;
};

class PlacerService : public wire::Placer::CallbackService {
 public:
  using State = ServerState<wire::PlacerToEntry, wire::EntryToPlacer>;
  explicit PlacerService(std::shared_ptr<State> state)
      : state_(std::move(state)) {}
  grpc::ServerBidiReactor<wire::EntryToPlacer, wire::PlacerToEntry>* Serve(
      grpc::CallbackServerContext* /*context*/) override {
    return Accept(state_);
  }

 private:
  std::shared_ptr<State> state_;
};

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "quetzal.rpc"; }
  std::string message(int /*value*/) const override {
    return "the address can't be listened on; choose a free port or an IP "
           "address of this machine";
  }
};

// Functions to run on the main loop, in order. One idle source drains the
// queue, however many functions it holds.
class PostQueue {
 public:
  // Never destroyed: gRPC's threads may post until the process ends.
  static PostQueue& Instance() {
    static PostQueue* const queue = new PostQueue;
    return *queue;
  }
  void Push(std::function<void()> function) {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(function));
    if (queue_.size() == 1) Schedule();
  }

 private:
  void Schedule() {
    GSource* const source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, &PostQueue::Dispatch, this, nullptr);
    g_source_attach(source, nullptr);
    g_source_unref(source);
  }
  static gboolean Dispatch(gpointer self) {
    static_cast<PostQueue*>(self)->RunAll();
    return G_SOURCE_REMOVE;
  }
  void RunAll() {
    std::deque<std::function<void()>> functions;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      functions.swap(queue_);
    }
    for (const auto& function : functions) function();
  }

  std::mutex mutex_;
  std::deque<std::function<void()>> queue_;
};

template <typename Impl, typename Handlers>
auto ListenAs(const std::string& address, Handlers handlers)
    -> std::unique_ptr<Impl> {
  auto server = std::make_unique<Impl>(address, std::move(handlers));
  if (!server->listening()) return nullptr;
  return server;
}

}  // namespace

void CountSent(size_t bytes) {
  ++AllCounters().sent_messages;
  AllCounters().sent_bytes += bytes;
}

void CountReceived(size_t bytes) {
  ++AllCounters().received_messages;
  AllCounters().received_bytes += bytes;
}

}  // namespace rpc_internal

std::error_code make_error_code(RpcError error) {
  static const rpc_internal::Category category;
  return {static_cast<int>(error), category};
}

RpcTraffic TotalTraffic() {
  const auto& counters = rpc_internal::AllCounters();
  return {.sent_messages = counters.sent_messages,
          .sent_bytes = counters.sent_bytes,
          .received_messages = counters.received_messages,
          .received_bytes = counters.received_bytes};
}

void PostToMainLoop(std::function<void()> function) {
  rpc_internal::PostQueue::Instance().Push(std::move(function));
}

template <>
std::unique_ptr<ContractLink> ContractLink::Open(
    const std::string& address, LinkHandlers<wire::WorkerToPlacer> handlers) {
  return std::make_unique<rpc_internal::LinkImpl<rpc_internal::ContractTraits>>(
      address, std::move(handlers));
}

template <>
std::unique_ptr<PlacerLink> PlacerLink::Open(
    const std::string& address, LinkHandlers<wire::PlacerToEntry> handlers) {
  return std::make_unique<rpc_internal::LinkImpl<rpc_internal::PlacerTraits>>(
      address, std::move(handlers));
}

template <>
std::unique_ptr<HelperLink> HelperLink::Open(
    const std::string& address, LinkHandlers<wire::AdviceReply> handlers) {
  return std::make_unique<rpc_internal::LinkImpl<rpc_internal::HelperTraits>>(
      address, std::move(handlers));
}

template <>
RpcResult<std::unique_ptr<HelperServer>> HelperServer::Listen(
    const std::string& address, ServerHandlers<wire::AdviceRequest> handlers) {
  using Impl = rpc_internal::ServerImpl<wire::AdviceReply, wire::AdviceRequest,
                                        rpc_internal::HelperService>;
  std::unique_ptr<HelperServer> server =
      rpc_internal::ListenAs<Impl>(address, std::move(handlers));
  if (!server) return make_error_code(RpcError::kAddressInUse);
  return server;
}

template <>
RpcResult<std::unique_ptr<ContractServer>> ContractServer::Listen(
    const std::string& address, ServerHandlers<wire::PlacerToWorker> handlers) {
  using Impl =
      rpc_internal::ServerImpl<wire::WorkerToPlacer, wire::PlacerToWorker,
                               rpc_internal::ContractService>;
  std::unique_ptr<ContractServer> server =
      rpc_internal::ListenAs<Impl>(address, std::move(handlers));
  if (!server) return make_error_code(RpcError::kAddressInUse);
  return server;
}

template <>
RpcResult<std::unique_ptr<PlacerServer>> PlacerServer::Listen(
    const std::string& address, ServerHandlers<wire::EntryToPlacer> handlers) {
  using Impl =
      rpc_internal::ServerImpl<wire::PlacerToEntry, wire::EntryToPlacer,
                               rpc_internal::PlacerService>;
  std::unique_ptr<PlacerServer> server =
      rpc_internal::ListenAs<Impl>(address, std::move(handlers));
  if (!server) return make_error_code(RpcError::kAddressInUse);
  return server;
}

}  // namespace quetzal
