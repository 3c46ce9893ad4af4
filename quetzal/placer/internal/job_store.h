// Stores a failure domain's jobs in the platform's key-value service, in
// batches of many jobs per value.
//
// New jobs go into the domain's open batch, one value that the active placer
// changes by compare-and-swap only. A new placer first rewrites it under its
// own name. After that, every write of an earlier placer conflicts, including
// writes in flight, so no job is accepted that the new placer doesn't know.
// A full open batch is copied into a sealed one. Sealed batches only gain ends
// and cancellations, which can be merged in any order.
#ifndef QUETZAL_PLACER_INTERNAL_JOB_STORE_H_
#define QUETZAL_PLACER_INTERNAL_JOB_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

// Is notified of changes that became durable.
class JobStoreObserver {
 public:
  virtual ~JobStoreObserver() = default;
  virtual void OnAccepted(const JobId& id, Time now) = 0;
  // All jobs of the domain are loaded, and no other placer can add one.
  virtual void OnLoaded(Time now) = 0;
};

class JobStore {
 public:
  JobStore(State* state, JobStoreObserver* observer);

  // Starts to load the domain's jobs and to claim its open batch.
  void Load(Time now);
  void Clear();
  bool loaded() const { return loaded_; }
  // True if another placer claimed the open batch, so this one must step down.
  bool superseded() const { return superseded_; }

  // Adds a job, which is accepted once it is durable. Returns false if it is
  // known already.
  bool Add(const wire::JobSpec& spec, Time now);
  // Removes a job that isn't in any write yet. Returns false if it is.
  bool Withdraw(const JobId& id);

  wire::StoredJob* Find(const JobId& id);
  std::vector<JobId> Ids() const;
  // Schedules a write of the changed job; `done` runs once it is durable.
  void MarkChanged(const JobId& id, std::function<void()> done);
  // As above, but writes at the next tick, since work waits for it.
  void MarkChangedUrgently(const JobId& id, std::function<void()> done);
  // Deletes a finished job from the store.
  void Remove(const JobId& id);

  bool OnKvAnswer(const KvAnswer& answer, Time now);
  void Tick(Time now);

 private:
  using Callback = std::function<void()>;
  struct Batch {
    std::vector<JobId> jobs;
    Revision revision{0};
    bool dirty = false;
    bool urgent = false;  // don't wait for the next group commit of progress
    bool writing = false;
    std::vector<Callback> done;  // for changes that aren't in a write yet
    std::vector<Callback> done_in_flight;  // for changes in the write in flight
  };
  struct Stored {
    wire::StoredJob job;
    std::string batch;
    bool accepted = false;
  };
  enum class Purpose { kList, kClaim, kWrite, kCheck, kSeal };
  struct Call {
    Purpose purpose = Purpose::kList;
    std::string key;
  };

  Batch& open_batch() { return batches_[open_key_]; }
  void SendCall(Purpose purpose, KvCall call);
  std::string Serialize(const Batch& batch, uint64_t number) const;
  void LoadBatch(const KvItem& item);
  void Merge(const wire::StoredJob& stored, const std::string& key);
  void Claim();
  void OnListed(const KvAnswer& answer, Time now);
  void OnClaimed(const KvAnswer& answer, Time now);
  void Write(const std::string& key, Batch* batch);
  void OnWritten(const std::string& key, const KvAnswer& answer, Time now);
  void OnChecked(const std::string& key, const KvAnswer& answer, Time now);
  void OnWriteConfirmed(const std::string& key, Revision revision, Time now);
  void AddWaitingJobs(Time now);
  void WriteDirty(bool only_urgent);
  void BeginSeal();
  void SendSeal();
  void OnSealed(const KvAnswer& answer);
  void DropEmptyBatches();

  State* state_;
  JobStoreObserver* observer_;
  std::string prefix_;
  std::string open_key_;
  std::string seal_key_;
  bool loaded_ = false;
  bool superseded_ = false;
  bool sealing_ = false;
  Time retry_at_;
  uint64_t next_number_ = 1;
  uint64_t last_open_number_ = 0;
  std::unordered_map<JobId, Stored> jobs_;
  std::map<std::string, Batch> batches_;
  std::vector<JobId> waiting_;    // not in any write yet
  std::vector<JobId> in_flight_;  // in the open batch's write in flight
  std::optional<Time> first_waiting_at_;
  std::unordered_map<uint64_t, Call> calls_;
  Time progress_at_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_JOB_STORE_H_
