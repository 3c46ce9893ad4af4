// Interface to the platform's transactional key-value store, and a watcher of
// all keys with a prefix.
//
//   store->Apply({.conditions = {{LeaderKey(), kAbsent}},
//                 .puts = {{.key = LeaderKey(), .value = name}}},
//                [](const TransactionAnswer& answer) { ... });
//
//   StoreWatcher watcher(store, CellPrefix(), {}, handlers, timer);
//   watcher.Start();
//
// Every call ends with one answer. `kUnknown` needs care: the store may have
// carried out the call, or may still do so while its conditions hold.
#ifndef QUETZAL_STORE_STORE_H_
#define QUETZAL_STORE_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quetzal/ids/ids.h"
#include "quetzal/job/job.h"
#include "quetzal/lifetime/lifetime.h"

namespace quetzal {

enum class LeaseId : uint64_t {};
inline constexpr LeaseId kNoLease{0};
inline constexpr Revision kAbsent{0};  // as a condition: the key doesn't exist

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
  kCompacted,  // the requested history was compacted
  kRefused,    // the store rejected the call and did nothing
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
  Revision store_revision{0};  // to continue the watch from
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

// Applied atomically, if all conditions hold.
struct Transaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removes;

  size_t size() const {
    return conditions.size() + puts.size() + removes.size();
  }
};
// How long after it was sent a call without an answer may be carried out; the
// platform's limit.
inline constexpr Milliseconds kMaxCallDelay{12'000};
// Limit for the conditions, puts and removes together.
inline constexpr size_t kMaxTransactionEntries = 32;

struct TransactionAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  Revision revision{0};
  std::vector<StoreItem> current;  // at the conditions' keys, on a conflict
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
  // For a read that replaces a call without an answer: doesn't wait on a
  // connection that may be dead.
  virtual void ReadOnNewConnection(
      const std::string& key, std::function<void(const ReadAnswer&)> done) {
    Read(key, std::move(done));
  }
  // Reads one page of the keys with `prefix`, from the first one after `after`.
  virtual void Range(const std::string& prefix, const std::string& after,
                     std::function<void(const ReadAnswer&)> done) = 0;
  virtual void Watch(const std::string& prefix, Revision after,
                     Milliseconds wait,
                     std::function<void(const WatchAnswer&)> done) = 0;
  virtual void Apply(const Transaction& transaction,
                     std::function<void(const TransactionAnswer&)> done) = 0;
  virtual void GrantLease(Milliseconds ttl,
                          std::function<void(const LeaseAnswer&)> done) = 0;
  virtual void RenewLease(LeaseId lease,
                          std::function<void(const LeaseAnswer&)> done) = 0;
  virtual void RevokeLease(LeaseId lease,
                           std::function<void(StoreOutcome)> done) = 0;
};

// Keys and prefixes of Quetzal's durable state.
std::string LeaderKey();
std::string JobPrefix();
// Of the small records that every entry follows: the jobs' records and
// cancels.
std::string CellPrefix();
// The job's record (`EncodeJobRecord`). Exists from the job's acceptance until
// its ended state is no longer kept.
std::string JobKey(const JobId& id);
std::string CancelKey(const JobId& id);
// Of what only the active placer follows.
std::string WorkPrefix();
// The request as accepted (`EncodeJob`). Never changed; removed when the job
// ends.
std::string RequestKey(const JobId& id);
std::string ProgressKey(const JobId& id);
// Key of the roster. Not under the cell's prefix, as only a new placer reads
// it.
std::string RosterKey();
std::string HelperPrefix();
std::string HelperKey(const std::string& machine);

enum class CellKeyKind {
  kLeader,
  kJob,
  kRequest,
  kProgress,
  kFormerProgress,  // written by an earlier version
  kCancel,
  kHelper,
  kOther
};
struct CellKey {
  CellKeyKind kind = CellKeyKind::kOther;
  std::string name;  // of the job or machine
};
CellKey ParseCellKey(const std::string& key);

struct StoreWatcherHandlers {
  // A key was written, or a listing found it with a newer revision than
  // recorded.
  std::function<void(const StoreItem& item)> on_put;
  // A key was removed, or is missing from a later listing.
  std::function<void(const std::string& key)> on_removed;
  // All keys that the first listing found were reported.
  std::function<void()> on_listed;
  // The store began or ceased to answer this watcher.
  std::function<void(bool is_reachable)> on_reachable;
};

struct StoreWatcherTiming {
  // How long a watch waits for changes: bounds how long a dead connection goes
  // unnoticed.
  Milliseconds watch_wait{1'500};
  // Between two watches, so that one answer carries many changes.
  Milliseconds pause{20};
  Milliseconds retry{150};  // after a call that failed
  // A watch that reports nothing for this long is checked by a listing beside
  // it, as the store's watches may stall while keys change. 0: never. The time
  // doubles, up to `kMaxRelistDelay`, while such listings find nothing new.
  Milliseconds relist_after_silence{0};
};
inline constexpr Milliseconds kMaxRelistDelay{8'000};

// Reports all keys with a prefix, and then their changes, by a listing and
// watches. Lists again when the history that it needs was compacted, and while
// a watch reports nothing for longer than `relist_after_silence`.
class StoreWatcher {
 public:
  // Runs a function after a delay.
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
    uint64_t watch_number = 0;  // of the watch that it checks; 0: none
    bool found_changes = false;
    Revision first_page_revision{0};
    std::unordered_map<std::string, Revision> keys;
  };
  using SharedListing = std::shared_ptr<Listing>;

  void ListPage(const SharedListing& listing, const std::string& after);
  void OnPage(const SharedListing& listing, const ReadAnswer& answer);
  void FinishListing(Listing* listing);
  void Watch();
  void ScheduleCheck(uint64_t watch);
  // False for a listing that checks a watch which was answered meanwhile.
  bool IsCurrent(const Listing& listing) const;
  void OnWatch(const WatchAnswer& answer);
  void ScheduleAfter(Milliseconds delay, void (StoreWatcher::*step)());
  void Relist();
  void SetReachable(bool is_reachable);
  bool UpdateItem(const StoreItem& item);

  Store* store_;
  std::string prefix_;
  StoreWatcherTiming timing_;
  StoreWatcherHandlers handlers_;
  Timer after_;
  Lifetime lifetime_;
  bool listed_ = false;
  bool is_reachable_ = false;
  Revision revision_{0};
  std::unordered_map<std::string, Revision> revisions_;  // of the keys reported
  Milliseconds check_delay_{0};  // until the watch in flight is checked
  uint64_t watch_number_ = 0;    // of the newest watch; it may be in flight
  bool is_watching_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_STORE_STORE_H_
