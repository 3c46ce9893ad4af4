// The platform's transactional store, as the rest of the product sees it.
//
//   store->Apply({.conditions = {{"cell/seat", Revision{0}}},
//                  .puts = {{.key = "cell/seat", .value = name}}},
//                 [](const TransactionAnswer& answer) { ... });
//
//   StoreWatcher follower(store, "cell/", {}, handlers);
//   follower.Start();
//
// Every call ends with one answer. `kUnknown` is the one to be careful with:
// the store may have acted, or may still act while its conditions hold.
#ifndef QUETZAL_STORE_STORE_H_
#define QUETZAL_STORE_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/lifetime/lifetime.h"

namespace quetzal {

enum class LeaseId : uint64_t {};
inline constexpr LeaseId kNoLease{0};
inline constexpr Revision kAbsent{0};  // as a condition: no such key

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision{0};  // of its last change
  Revision created{0};
  LeaseId lease = kNoLease;
};

enum class StoreOutcome {
  kDone,
  kConflict,   // a condition didn't hold; nothing was done
  kMissing,    // no such key or lease
  kCompacted,  // the history asked for is gone
  kRefused,    // the store said that it did nothing
  kUnknown,    // no answer; it may have been done, or be done later
};

struct ReadAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoreItem> items;
  bool has_more = false;
  Revision store_revision{0};
};

struct StoreEvent {
  StoreItem item;
  bool deleted = false;
};

struct WatchAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoreEvent> events;
  Revision store_revision{0};  // to go on from
};

struct StoreCondition {
  std::string key;
  Revision revision{0};
};

struct StorePut {
  std::string key;
  std::string value;
  LeaseId lease = kNoLease;
};

// All of it, or nothing.
struct Transaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removes;
};
// Conditions, puts and removes together.
inline constexpr size_t kMaxTransactionEntries = 32;

struct TransactionAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  Revision revision{0};
  std::vector<StoreItem> current;  // of the conditions' keys, on a conflict
};

struct LeaseAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  LeaseId lease = kNoLease;
  Milliseconds ttl{0};
};

class Store {
 public:
  virtual ~Store() = default;
  virtual void Read(const std::string& key,
                    std::function<void(const ReadAnswer&)> done) = 0;
  // One page of the keys with `prefix`, after the key `after`.
  virtual void Range(const std::string& prefix, const std::string& after,
                     std::function<void(const ReadAnswer&)> done) = 0;
  virtual void Watch(const std::string& prefix, Revision after,
                     Milliseconds wait,
                     std::function<void(const WatchAnswer&)> done) = 0;
  virtual void Apply(const Transaction& commit,
                     std::function<void(const TransactionAnswer&)> done) = 0;
  virtual void GrantLease(Milliseconds life,
                          std::function<void(const LeaseAnswer&)> done) = 0;
  virtual void RenewLease(LeaseId lease,
                          std::function<void(const LeaseAnswer&)> done) = 0;
  virtual void RevokeLease(LeaseId lease,
                           std::function<void(StoreOutcome)> done) = 0;
};

// Where the product keeps what must last.
std::string LeaderKey();
std::string JobPrefix();
std::string JobKey(const JobId& id);
std::string ProgressKey(const JobId& id);
std::string CancelKey(const JobId& id);
std::string CellPrefix();
// Which workers may hold leases. Not under the cell's prefix: only a new placer
// reads it.
std::string RosterKey();
std::string HelperPrefix();
std::string HelperKey(const std::string& machine);

enum class CellKeyKind { kLeader, kJob, kProgress, kCancel, kHelper, kOther };
struct CellKey {
  CellKeyKind kind = CellKeyKind::kOther;
  std::string name;  // of the job or machine
};
CellKey ParseCellKey(const std::string& key);

// A copy of all keys with a prefix, kept fresh by a watch. Lists again when the
// history that it needs is gone, and when the watch is suspiciously silent.
struct StoreWatcherHandlers {
  // A key was written, or found by a listing with another revision than known.
  std::function<void(const StoreItem& item)> on_put;
  // A key was removed, or is missing from a later listing.
  std::function<void(const std::string& key)> on_removed;
  // Everything that the store held at the first listing was told.
  std::function<void()> on_listed;
  // The store began or ceased to answer this follower.
  std::function<void(bool answers)> on_reachable;
};

struct StoreWatcherTiming {
  // For a watch that has nothing to tell: bounds how long a silent connection
  // goes unnoticed.
  Milliseconds watch_wait{1'500};
  // Between two watches, so that many changes come in one answer.
  Milliseconds pause{20};
  Milliseconds retry{150};  // after a call that failed
  // A watch that tells nothing for so long is checked by a listing beside it,
  // as watches may fall silent while changes are made. 0: never. Doubled, up to
  // `kMostSilence`, while such listings find nothing new.
  Milliseconds relist_after_silence{0};
};
inline constexpr Milliseconds kMostSilence{8'000};

class StoreWatcher {
 public:
  // Calls `after(delay, f)` to run f later.
  using Timer = std::function<void(Milliseconds, std::function<void()>)>;

  StoreWatcher(Store* store, std::string prefix, StoreWatcherTiming timing,
               StoreWatcherHandlers handlers, Timer after);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  void Start();
  bool is_listed() const { return listed_; }
  Revision revision() const { return revision_; }

 private:
  // What one pass over all keys has found so far.
  struct Listing {
    uint64_t number = 0;  // of the watch that it is beside; 0: none
    bool found_news = false;
    Revision first_page{0};
    std::unordered_map<std::string, Revision> keys;
  };
  using SharedListing = std::shared_ptr<Listing>;

  void ListFrom(const SharedListing& listing, const std::string& after);
  void OnPage(const SharedListing& listing, const ReadAnswer& answer);
  void EndListing(Listing* listing);
  void Watch();
  void CheckSilence(uint64_t watch);
  // False for a listing beside a watch that was answered meanwhile.
  bool IsWanted(const Listing& listing) const;
  void OnWatch(const WatchAnswer& answer);
  void Later(Milliseconds delay, void (StoreWatcher::*step)());
  void ListAnew();
  void SetReached(bool reached);
  bool Learn(const StoreItem& item);

  Store* store_;
  std::string prefix_;
  StoreWatcherTiming timing_;
  StoreWatcherHandlers handlers_;
  Timer after_;
  Lifetime lifetime_;
  bool listed_ = false;
  bool reached_ = false;
  Revision revision_{0};
  std::unordered_map<std::string, Revision> known_;
  Milliseconds silence_{0};  // until the watch under way is checked
  uint64_t watch_ = 0;       // counts watches; the newest may be under way
  bool watching_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_STORE_STORE_H_
