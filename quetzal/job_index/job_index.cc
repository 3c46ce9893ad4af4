#include "quetzal/job_index/job_index.h"

namespace quetzal {

bool JobIndex::OnPut(const StoreItem& item) {
  const CellKey key = ParseCellKey(item.key);
  const JobId id(key.name);
  switch (key.kind) {
    case CellKeyKind::kJob: {
      const std::optional<QueueId> queue = DecodeQueue(item.value);
      if (!queue) return false;
      const std::optional<JobState> state = DecodeState(item.value);
      JobStatus& status = jobs_[id];
      status.has_tombstone =
          state == JobState::kCancelled && IsTombstone(item.value);
      status.accepted = !status.has_tombstone;
      status.queue = *queue;
      if (state) status.progress = *state;
      UpdatePendingCount(&status);
      return true;
    }
    case CellKeyKind::kFormerProgress: {
      const std::optional<JobState> state = DecodeState(item.value);
      if (!state) return false;
      JobStatus& status = jobs_[id];
      if (IsFinal(status.progress)) return true;
      status.progress = *state;
      UpdatePendingCount(&status);
      return true;
    }
    case CellKeyKind::kCancel: {
      JobStatus& status = jobs_[id];
      status.cancelled = true;
      UpdatePendingCount(&status);
      return true;
    }
    case CellKeyKind::kRequest:
    case CellKeyKind::kProgress:
    case CellKeyKind::kLeader:
    case CellKeyKind::kHelper:
    case CellKeyKind::kOther:
      return true;
  }
  return true;
}

void JobIndex::OnRemoved(const std::string& text) {
  const CellKey key = ParseCellKey(text);
  if (key.kind != CellKeyKind::kJob) return;
  const auto found = jobs_.find(JobId(key.name));
  if (found == jobs_.end()) return;
  found->second.accepted = false;
  UpdatePendingCount(&found->second);
  jobs_.erase(found);
}

void JobIndex::UpdatePendingCount(JobStatus* status) {
  const bool counts = status->accepted && !status->cancelled &&
                      status->progress == JobState::kQueued;
  if (counts == status->counts_as_pending) return;
  status->counts_as_pending = counts;
  pending_[status->queue] += counts ? 1 : -1;
}

std::optional<JobState> JobIndex::StateOf(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second.accepted) return std::nullopt;
  const JobStatus& status = found->second;
  if (IsFinal(status.progress)) return status.progress;
  return status.cancelled ? JobState::kCancelled : status.progress;
}

bool JobIndex::HasTombstone(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.has_tombstone;
}

int64_t JobIndex::PendingCount(const QueueId& queue) const {
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace quetzal
