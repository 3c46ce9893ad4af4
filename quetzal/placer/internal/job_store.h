// Keeps a failure domain's jobs in the platform's service: many to a value,
// written in groups.
//
// New jobs go into the domain's open batch, one value that the active placer
// changes by compare-and-swap only. A new placer first rewrites it under its
// own name; from then on every write of a former placer conflicts, also one
// that was under way, so no job is accepted that the new placer doesn't know.
// A full open batch is copied into a sealed one. Sealed batches only gain
// ends and cancellations, which merge in any order.
#ifndef QUETZAL_PLACER_INTERNAL_JOB_STORE_H_
#define QUETZAL_PLACER_INTERNAL_JOB_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzal/placer/internal/state.h"

namespace quetzal::placer_internal {

// Told by the store what became durable.
class JobStoreObserver {
 public:
  virtual ~JobStoreObserver() = default;
  virtual void OnAccepted(const JobId& id, Time now) = 0;
  // Every job of the domain is known, and no other placer can add one.
  virtual void OnLoaded(Time now) = 0;
};

class JobStore {
 public:
  JobStore(State* state, JobStoreObserver* observer);

  // Begins to read the domain's jobs and to take over its open batch.
  void Load(Time now);
  void Clear();
  bool loaded() const { return loaded_; }
  // Another placer took over the open batch: this one must step down.
  bool superseded() const { return superseded_; }

  // Accepts a job once it is durable. False if it is known already.
  bool Add(const wire::JobSpec& spec, Time now);
  // Gives up a job that no write can have contained; false otherwise.
  bool Withdraw(const JobId& id);

  wire::StoredJob* Find(const JobId& id);
  std::vector<JobId> Ids() const;
  // The job's stored form changed; `done` runs once that is durable.
  void Changed(const JobId& id, std::function<void()> done);
  // The same for something that work waits for.
  void ChangedUrgently(const JobId& id, std::function<void()> done);
  // Drops a finished job from the store for good.
  void Remove(const JobId& id);

  bool OnKvAnswer(const KvAnswer& answer, Time now);
  void Tick(Time now);

 private:
  using Done = std::function<void()>;
  struct Batch {
    std::vector<JobId> jobs;
    Revision revision{0};
    bool dirty = false;
    bool urgent = false;  // not to wait for the next round of progress
    bool writing = false;
    std::vector<Done> done;            // due once the batch is written
    std::vector<Done> done_in_flight;  // due once this write is done
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

  Batch& open() { return batches_[open_key_]; }
  void SendCall(Purpose purpose, KvCall call);
  std::string Render(const Batch& batch, uint64_t number) const;
  void Adopt(const KvItem& item);
  void Merge(const wire::StoredJob& stored, const std::string& key);
  void Claim();
  void OnListed(const KvAnswer& answer, Time now);
  void OnClaimed(const KvAnswer& answer, Time now);
  void Write(const std::string& key, Batch* batch);
  void OnWritten(const std::string& key, const KvAnswer& answer, Time now);
  void OnChecked(const std::string& key, const KvAnswer& answer, Time now);
  void Confirm(const std::string& key, Revision revision, Time now);
  void TakeInWaiting(Time now);
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
  Time again_at_;
  uint64_t next_number_ = 1;
  uint64_t last_open_number_ = 0;
  std::unordered_map<JobId, Stored> jobs_;
  std::map<std::string, Batch> batches_;
  std::vector<JobId> waiting_;    // not in any write yet
  std::vector<JobId> in_flight_;  // in the write of the open batch under way
  std::optional<Time> first_waiting_at_;
  std::unordered_map<uint64_t, Call> calls_;
  Time progress_at_;
};

}  // namespace quetzal::placer_internal

#endif  // QUETZAL_PLACER_INTERNAL_JOB_STORE_H_
