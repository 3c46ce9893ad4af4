// Streams of typed messages between processes, over gRPC, delivered on the
// GLib main loop.
//
//   auto link = ContractLink::Open(address,
//                                  {.on_link = ..., .on_message = ...});
//   link->Send(message);
//
//   auto server = PlacerServer::Listen(address, {.on_open = ..., ...});
//   server.value()->Send(peer, message);
//
// A link reconnects by itself. Messages sent while it is down are dropped; on
// `on_link(true)` the caller sends again what is still needed. All handlers run
// on the thread of the default main context.
#ifndef QUETZAL_RPC_RPC_H_
#define QUETZAL_RPC_RPC_H_

#include <boost/outcome/std_result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "quetzal/proto/wire.pb.h"

namespace quetzal {

template <typename T>
using RpcResult = boost::outcome_v2::std_result<T, std::error_code>;

enum class RpcError {
  kAddressInUse = 1,  // the address can't be listened on
};
std::error_code make_error_code(RpcError error);  // NOLINT: name fixed by std

// Messages, and bytes of serialized messages, that passed through this
// process's links and servers; a measure of the control traffic.
struct RpcTraffic {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
};
RpcTraffic TotalTraffic();

// Runs a function on the thread of the default main context, in the order of
// the calls.
void PostToMainLoop(std::function<void()> function);

template <typename In>
struct LinkHandlers {
  std::function<void(bool up)> on_link;
  std::function<void(const In& message)> on_message;
};

// Identifies one accepted stream of a server.
enum class PeerId : uint64_t {};

template <typename In>
struct ServerHandlers {
  std::function<void(PeerId peer)> on_open;
  std::function<void(PeerId peer, const In& message)> on_message;
  std::function<void(PeerId peer)> on_close;
};

// The client side of one stream.
template <typename Out, typename In>
class Link {
 public:
  static std::unique_ptr<Link> Open(const std::string& address,
                                    LinkHandlers<In> handlers);
  virtual ~Link() = default;
  virtual void Send(const Out& message) = 0;
};

// The server side of many streams.
template <typename Out, typename In>
class Server {
 public:
  // `address` is "IP:port"; port 0 selects a free one.
  static RpcResult<std::unique_ptr<Server>> Listen(const std::string& address,
                                                   ServerHandlers<In> handlers);
  virtual ~Server() = default;
  virtual void Send(PeerId peer, const Out& message) = 0;
  // Ends one stream.
  virtual void Close(PeerId peer) = 0;
  virtual int port() const = 0;
};

using ContractLink = Link<wire::PlacerToWorker, wire::WorkerToPlacer>;
using ContractServer = Server<wire::WorkerToPlacer, wire::PlacerToWorker>;
using PlacerLink = Link<wire::EntryToPlacer, wire::PlacerToEntry>;
using PlacerServer = Server<wire::PlacerToEntry, wire::EntryToPlacer>;
using HelperLink = Link<wire::AdviceRequest, wire::AdviceReply>;
using HelperServer = Server<wire::AdviceReply, wire::AdviceRequest>;

}  // namespace quetzal

template <>
struct std::is_error_code_enum<quetzal::RpcError> : std::true_type {};

#endif  // QUETZAL_RPC_RPC_H_
