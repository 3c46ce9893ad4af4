// Spreads questions for advice over the entry VMs, each of which may ask one at
// a time.
//
//   AdviceHelper helper(address, machine, advice, store, timer, &log);
//   helper.Start();                       // on each entry VM
//
//   AdvicePool pool(store, timer, handlers, &log);
//   pool.Start();                         // in the acting placer
//   pool.Ask(adviser, question, timeout, done);
//
// Helpers announce themselves in the store under a leased key; the pool keeps
// a gRPC stream to each.
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

  // False if the address can't be listened on.
  bool Start();
  // Takes the announcement back.
  void Withdraw();

 private:
  void OnRequest(PeerId peer, const wire::AdviceRequest& request);
  void Announce();
  void Renew();
  void Later(Milliseconds delay, std::function<void()> step);

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
             OnHelpersChanged on_advisers, EventLog* log);
  ~AdvicePool();

  // No effect if it was started before.
  void Start();
  // Those that can be asked now.
  std::vector<HelperId> reachable_helpers() const;
  void Ask(const HelperId& adviser, const AdviceQuery& question,
           Milliseconds timeout, Done done);

 private:
  struct Helper {
    std::string address;
    std::unique_ptr<HelperLink> link;
    bool up = false;
    std::map<uint64_t, Done> open;
  };

  void Learn(const std::string& machine, const std::string& address);
  void Forget(const std::string& machine);
  void SetUp(const std::string& machine, bool up);
  void OnReply(const std::string& machine, const wire::AdviceReply& reply);
  static void FailOpen(Helper* helper);

  Store* store_;
  StoreWatcher::Timer after_;
  OnHelpersChanged on_advisers_;
  EventLog* log_;
  Lifetime lifetime_;
  std::unique_ptr<StoreWatcher> follower_;
  std::map<std::string, Helper> helpers_;
  uint64_t next_id_ = 1;
};

}  // namespace quetzal

#endif  // QUETZAL_ADVICE_POOL_ADVICE_POOL_H_
