#include "quetzal/job_intake/job_intake.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace quetzal {
namespace {

// Each job takes a condition and a put.
constexpr size_t kMostInBatch = kMaxTransactionEntries / 2 - 1;
// Commits under way at a time: enough for the round trip to a far store.
constexpr int kMostInFlight = 4;
// The store says at once that its rate is used up; later is better.
constexpr int kMostRefusals = 3;
constexpr Milliseconds kAfterRefusal{70};
constexpr Milliseconds kAfterNoAnswer{20};
// Three tries without an answer, at a store that usually answers within a tenth
// of it: another entry may reach it, and the caller has time to ask.
constexpr Milliseconds kSilence{850};

}  // namespace

JobIntake::JobIntake(Store* store, StoreWatcher::Timer after, Clock clock,
                     EventLog* log, Metrics* metrics)
    : store_(store),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log),
      metrics_(metrics) {}

void JobIntake::Submit(const AcceptedJob& job, Time deadline, Callback done) {
  const auto found = open_.find(job.id);
  if (found != open_.end()) {
    found->second.callers.push_back(std::move(done));
    found->second.deadline = std::max(found->second.deadline, deadline);
    return;
  }
  Open open{.job = job, .deadline = deadline};
  open.callers.push_back(std::move(done));
  open_.emplace(job.id, std::move(open));
  queue_.push_back(job.id);
  Flush();
}

void JobIntake::Flush() {
  while (!queue_.empty() && in_flight_ < kMostInFlight) {
    Batch batch;
    while (!queue_.empty() && batch.size() < kMostInBatch) {
      if (open_.contains(queue_.front())) batch.push_back(queue_.front());
      queue_.pop_front();
    }
    if (!batch.empty()) Send(batch);
  }
}

void JobIntake::Send(const Batch& batch) {
  Transaction commit;
  for (const JobId& id : batch) {
    const std::string key = JobKey(id);
    commit.conditions.push_back({key, kAbsent});
    commit.puts.push_back({.key = key, .value = EncodeJob(open_.at(id).job)});
  }
  ++in_flight_;
  const Time sent = clock_();
  if (!unanswered_since_) unanswered_since_ = sent;
  auto settled = std::make_shared<bool>(false);
  store_->Apply(
      commit, [this, batch, sent, settled](const TransactionAnswer& answer) {
        const Milliseconds took = clock_() - sent;
        metrics_->Observe("quetzal_store_commit_ms", {{"what", "accept"}},
                          static_cast<double>(took.count()));
        if (answer.outcome != StoreOutcome::kUnknown) {
          patience_.Observe(took);
          unanswered_since_.reset();
        }
        if (std::exchange(*settled, true)) {
          OnLateAnswer(batch, answer);
          return;
        }
        --in_flight_;
        OnCommit(batch, answer);
        Flush();
      });
  after_(patience_.timeout(), [this, batch, settled] {
    if (std::exchange(*settled, true)) return;
    metrics_->Count("quetzal_accept_answers_missed_total");
    --in_flight_;
    OnUnknown(batch);
    Flush();
  });
}

void JobIntake::OnLateAnswer(const Batch& batch,
                             const TransactionAnswer& answer) {
  if (answer.outcome != StoreOutcome::kDone) return;
  for (const JobId& id : batch) Finish(id, IntakeOutcome::kAccepted);
}

void JobIntake::OnCommit(const Batch& batch, const TransactionAnswer& answer) {
  switch (answer.outcome) {
    case StoreOutcome::kDone:
      for (const JobId& id : batch) Finish(id, IntakeOutcome::kAccepted);
      return;
    case StoreOutcome::kConflict:
      OnConflict(batch, answer);
      return;
    case StoreOutcome::kUnknown:
      OnUnknown(batch);
      return;
    case StoreOutcome::kRefused:
    case StoreOutcome::kMissing:
    case StoreOutcome::kCompacted:
      OnRefused(batch);
      return;
  }
}

// Some were accepted before; the others go on without them.
void JobIntake::OnConflict(const Batch& batch,
                           const TransactionAnswer& answer) {
  std::unordered_set<std::string> present;
  for (const StoreItem& item : answer.current) {
    if (item.revision != kAbsent) present.insert(item.key);
  }
  Batch rest;
  for (const JobId& id : batch) {
    if (present.contains(JobKey(id))) {
      Finish(id, IntakeOutcome::kAccepted);
    } else {
      rest.push_back(id);
    }
  }
  Retry(rest, Milliseconds(0));
}

void JobIntake::OnRefused(const Batch& batch) {
  Batch rest;
  for (const JobId& id : batch) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    Open& open = found->second;
    const bool late = clock_() + kAfterRefusal > open.deadline;
    if (++open.refusals < kMostRefusals && !late) {
      rest.push_back(id);
    } else {
      Finish(id, open.may_be_written ? IntakeOutcome::kUnknown
                                     : IntakeOutcome::kNotAccepted);
    }
  }
  Retry(rest, kAfterRefusal);
}

// The condition makes a second try harmless: it conflicts if the first was
// carried out, or will be before it.
void JobIntake::OnUnknown(const Batch& batch) {
  const bool is_silent =
      unanswered_since_ && clock_() - *unanswered_since_ >= kSilence;
  if (is_silent && on_silence_) on_silence_();
  Batch rest;
  for (const JobId& id : batch) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    Open& open = found->second;
    open.may_be_written = true;
    if (is_silent || clock_() + kAfterNoAnswer > open.deadline) {
      Finish(id, IntakeOutcome::kUnknown);
    } else {
      rest.push_back(id);
    }
  }
  Retry(rest, kAfterNoAnswer);
}

void JobIntake::Retry(const Batch& batch, Milliseconds delay) {
  if (batch.empty()) return;
  metrics_->Count("quetzal_accept_retries_total", {}, batch.size());
  after_(delay, [this, batch] {
    for (const JobId& id : batch) queue_.push_back(id);
    Flush();
  });
}

void JobIntake::Finish(const JobId& id, IntakeOutcome outcome) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const std::vector<Callback> callers = std::move(found->second.callers);
  open_.erase(found);
  for (const Callback& caller : callers) caller(outcome);
}

}  // namespace quetzal
