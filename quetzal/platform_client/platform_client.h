// Client of the platform: a key-value service with compare-and-swap, leases and
// watches, and a list of VMs.
//
//   auto platform =
//       PlatformClient::CreateHttp({.address = "10.0.0.2:7000"}, &metrics);
//   platform->Call(call, [](const KvAnswer& answer) { ... });
//
// Every call is answered exactly once, on the main loop. After the timeout the
// answer is `kNoAnswer`, and a write may still take effect. Tests implement
// this interface in memory.
#ifndef QUETZAL_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
#define QUETZAL_PLATFORM_CLIENT_PLATFORM_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/kv/kv.h"
#include "quetzal/metrics/metrics.h"
#include "quetzal/resources/resources.h"

namespace quetzal {

enum class VmRole { kWorker, kEntry };
enum class VmState { kLive, kLeaving, kGone };

// One VM in the platform's list, which may be out of date.
struct Vm {
  std::string name;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  FailureDomainId domain;
  RackId rack;
  Resources capacity;            // of a worker
  std::string contract_address;  // of a worker, "IP:port"
  std::string placer_address;    // of an entry VM: its placer's
  std::string http_address;      // of an entry VM: its entry's
};

struct KvWatchAnswer {
  enum class Kind {
    kChanges,    // possibly none, when the wait ended
    kCompacted,  // the requested history is gone; list again
    kNoAnswer,
  };
  Kind kind = Kind::kNoAnswer;
  Revision store_revision{0};  // the changes are complete up to it
  std::vector<KvChange> changes;
};

struct HttpPlatformClientSettings {
  std::string address;  // "IP:port"
  Milliseconds call_timeout{1'500};
};

class PlatformClient {
 public:
  using KvHandler = std::function<void(const KvAnswer& answer)>;
  using WatchHandler = std::function<void(const KvWatchAnswer& answer)>;
  // Nothing if the list couldn't be fetched.
  using VmHandler =
      std::function<void(const std::optional<std::vector<Vm>>& vms)>;

  static std::unique_ptr<PlatformClient> CreateHttp(
      HttpPlatformClientSettings settings, Metrics* metrics);
  virtual ~PlatformClient() = default;

  virtual void Call(const KvCall& call, KvHandler handler) = 0;
  // Waits up to `wait` for changes under `prefix` after a revision.
  virtual void Watch(const std::string& prefix, Revision after,
                     Milliseconds wait, WatchHandler handler) = 0;
  virtual void ListVms(VmHandler handler) = 0;
  virtual PlatformHealth health() const = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
