// A TCP proxy on the loopback interface that injects link faults.
//
//   LoopbackProxy proxy(listen_port, target_port);
//   proxy.SetFault(LinkFault::kBlocked);  // delivers no data, closes nothing
//   proxy.SetFault(LinkFault::kNone);     // delivers the data held back
//   proxy.SetFault(LinkFault::kRefused);  // rejects connections
//   proxy.ResetAll();
//
// Two threads forward each connection, one for each direction.
#ifndef TESTS_SOAK_LOOPBACK_PROXY_H_
#define TESTS_SOAK_LOOPBACK_PROXY_H_

#include <gio/gio.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace quetzal::testing {

enum class LinkFault {
  kNone,
  kSlow,            // delays each chunk of data
  kBlocked,         // holds back data of both directions
  kRepliesBlocked,  // holds back only data to the caller
  kReset,           // resets connections, new ones when they are accepted
  kRefused,         // resets connections and refuses new ones
};

class LoopbackProxy {
 public:
  LoopbackProxy(int listen_port, int target_port);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  bool is_listening() const { return listening_; }
  void SetFault(LinkFault fault);
  // Resets all connections, as if the peers had crashed.
  void ResetAll();

 private:
  void AcceptConnections();
  void Forward(GSocket* caller);
  bool rejects() const {
    return stopping_ || fault_ == LinkFault::kReset ||
           fault_ == LinkFault::kRefused;
  }
  void CopyBytes(GSocket* from, GSocket* to, bool to_caller);
  void DelayOrBlock(bool to_caller) const;

  const int target_port_;
  bool listening_ = false;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<GSocket*> sockets_;
  std::atomic<int> forwarded_{0};  // connections
  GSocket* listener_;
  std::thread accepting_;
};

}  // namespace quetzal::testing

#endif  // TESTS_SOAK_LOOPBACK_PROXY_H_
