// Distributes advice queries over the entry VMs. The advice service serves one
// query at a time for each VM.
//
//   AdviceHelper helper(address, machine, advice, store, timer, &log);
//   helper.Start();                       // on each entry VM
//
//   AdvicePool pool(store, timer, on_helpers_changed, &log);
//   pool.Start();                         // in the active placer
//   pool.Ask(helper, query, timeout, done);
//
// Each helper registers its address in the store under a leased key; the pool
// keeps a gRPC stream to each helper.
#ifndef QUETZAL_ADVICE_POOL_ADVICE_POOL_H_
#define QUETZAL_ADVICE_POOL_ADVICE_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quetzal/cell/cell.h"
#include "quetzal/event_log/event_log.h"
#include "quetzal/lifetime/lifetime.h"
#include "quetzal/rpc/rpc.h"
#include "quetzal/store/store.h"
#include "quetzal/worker/worker.h"

namespace quetzal {

class AdviceHelper {
 public:
  AdviceHelper(std::string address, std::string machine, AdviceClient* advice,
               Store* store, StoreWatcher::Timer after, EventLog* log);
  ~AdviceHelper();

  // Returns false if it can't listen on the address.
  bool Start();
  // Removes the registration.
  void Withdraw();

 private:
  void OnRequest(PeerId peer, const wire::AdviceRequest& request);
  void Register();
  void Renew();
  void ScheduleAfter(Milliseconds delay, std::function<void()> callback);

  std::string address_;
  std::string machine_;
  AdviceClient* advice_;
  Store* store_;
  StoreWatcher::Timer after_;
  EventLog* log_;
  Lifetime lifetime_;
  std::unique_ptr<HelperServer> server_;
  LeaseId lease_ = kNoLease;
  bool withdrawn_ = false;
};

class AdvicePool {
 public:
  using Done = std::function<void(const AdviceAnswer& answer)>;
  using OnHelpersChanged = std::function<void(const std::vector<HelperId>&)>;

  AdvicePool(Store* store, StoreWatcher::Timer after,
             OnHelpersChanged on_helpers_changed, EventLog* log);
  ~AdvicePool();

  // No effect if already started.
  void Start();
  // Helpers with an open connection.
  std::vector<HelperId> reachable_helpers() const;
  void Ask(const HelperId& helper_id, const AdviceQuery& query,
           Milliseconds timeout, Done done);

 private:
  struct Helper {
    std::string address;
    std::unique_ptr<HelperLink> link;
    bool up = false;
    std::map<uint64_t, Done> pending;
  };

  void OnRegistered(const std::string& machine, const std::string& address);
  void OnUnregistered(const std::string& machine);
  void OnLinkChange(const std::string& machine, bool up);
  void OnReply(const std::string& machine, const wire::AdviceReply& reply);
  static void FailPending(Helper* helper);

  Store* store_;
  StoreWatcher::Timer after_;
  OnHelpersChanged on_helpers_changed_;
  EventLog* log_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> watcher_;
  std::map<std::string, Helper> helpers_;
  uint64_t next_id_ = 1;
};

}  // namespace quetzal

#endif  // QUETZAL_ADVICE_POOL_ADVICE_POOL_H_
