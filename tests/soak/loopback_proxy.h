// A TCP proxy on the loopback interface that misbehaves when told to.
//
//   LoopbackProxy proxy(listen_port, target_port);
//   proxy.SetFault(LinkFault::kSilent);   // bytes are held, nothing is closed
//   proxy.SetFault(LinkFault::kNone);     // held bytes go on
//   proxy.ResetAll();
//
// Each connection is carried by two threads, one a direction.
#ifndef TESTS_SOAK_LOOPBACK_PROXY_H_
#define TESTS_SOAK_LOOPBACK_PROXY_H_

#include <gio/gio.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace quetzal::testing {

enum class LinkFault {
  kNone,
  kSlow,       // each piece of data is late
  kSilent,     // data of both directions is held
  kNoAnswers,  // only data to the caller is held
};

class LoopbackProxy {
 public:
  LoopbackProxy(int listen_port, int target_port);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  bool is_listening() const { return listening_; }
  void SetFault(LinkFault fault) { fault_ = fault; }
  // Ends all connections as if the peers had crashed.
  void ResetAll();

 private:
  static gboolean OnConnection(GThreadedSocketService* service,
                               GSocketConnection* caller, GObject* source,
                               gpointer self);
  void Carry(GSocket* caller);
  void Pump(GSocket* from, GSocket* to, bool to_caller);
  void WaitWhileHeld(bool to_caller) const;

  const int target_port_;
  bool listening_ = false;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<GSocket*> sockets_;
  GSocketService* service_;
};

}  // namespace quetzal::testing

#endif  // TESTS_SOAK_LOOPBACK_PROXY_H_
