#include "quetzal/job_index/job_index.h"

namespace quetzal {

bool JobIndex::OnPut(const StoreItem& item) {
  const CellKey key = ParseCellKey(item.key);
  const JobId id(key.name);
  switch (key.kind) {
    case CellKeyKind::kJob: {
      const std::optional<QueueId> queue = DecodeQueue(item.value);
      if (!queue) return false;
      const std::optional<JobState> ended = DecodeState(item.value);
      Known& known = jobs_[id];
      known.accepted = true;
      known.queue = *queue;
      if (ended) known.progress = *ended;
      Recount(&known);
      return true;
    }
    case CellKeyKind::kProgress: {
      const std::optional<JobState> state = DecodeState(item.value);
      if (!state) return false;
      Known& known = jobs_[id];
      if (IsFinal(known.progress)) return true;
      known.progress = *state;
      Recount(&known);
      return true;
    }
    case CellKeyKind::kCancel: {
      Known& known = jobs_[id];
      known.cancelled = true;
      Recount(&known);
      return true;
    }
    case CellKeyKind::kLeader:
    case CellKeyKind::kHelper:
    case CellKeyKind::kOther:
      return true;
  }
  return true;
}

void JobIndex::OnRemoved(const std::string& text) {
  const CellKey key = ParseCellKey(text);
  // Progress goes when a job ends; only the job's own key stands for it.
  if (key.kind != CellKeyKind::kJob) return;
  const auto found = jobs_.find(JobId(key.name));
  if (found == jobs_.end()) return;
  found->second.accepted = false;
  Recount(&found->second);
  jobs_.erase(found);
}

void JobIndex::Recount(Known* known) {
  const bool counts = known->accepted && !known->cancelled &&
                      known->progress == JobState::kQueued;
  if (counts == known->counts_as_pending) return;
  known->counts_as_pending = counts;
  pending_[known->queue] += counts ? 1 : -1;
}

std::optional<JobState> JobIndex::StateOf(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second.accepted) return std::nullopt;
  const Known& known = found->second;
  if (IsFinal(known.progress)) return known.progress;
  return known.cancelled ? JobState::kCancelled : known.progress;
}

int64_t JobIndex::PendingCount(const QueueId& queue) const {
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace quetzal
