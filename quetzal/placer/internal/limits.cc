#include "quetzal/placer/internal/limits.h"

#include <google/protobuf/util/json_util.h>

#include <string>

namespace quetzal::placer_internal {
namespace {

constexpr Milliseconds kWriteInterval{250};
constexpr Milliseconds kListRetryDelay{500};
// Without an answer after this time, the allotments seen last are used.
constexpr Milliseconds kListTimeout{6'000};

std::string ToText(const wire::TeamAllotment& value) {
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(value, &text);
  return status.ok() ? text : "{}";
}

}  // namespace

void Limits::BeginTerm(bool fenced, Time now) {
  ready_ = !fenced;
  listed_ = false;
  List(now);
}

void Limits::EndTerm() {
  list_call_.reset();
  writes_.clear();
  reads_.clear();
  state_->allotments.AbandonPendingWrites();
}

void Limits::List(Time now) {
  listed_at_ = now;
  list_call_ = state_->Call(
      {.kind = KvCall::Kind::kList, .key = std::string(kAllotmentPrefix)});
}

void Limits::ApplyStored(const KvItem& item) {
  wire::TeamAllotment value;
  const auto status =
      google::protobuf::util::JsonStringToMessage(item.value, &value);
  if (!status.ok() || item.key.size() <= kAllotmentPrefix.size()) {
    state_->Count("quetzal_errors_total", "unreadable_allotment");
    return;
  }
  const TeamId team(item.key.substr(kAllotmentPrefix.size()));
  state_->allotments.OnStored(team, value, item.revision);
  state_->placement_due = true;
}

void Limits::OnChange(const KvChange& change) {
  if (!change.deleted) ApplyStored(change.item);
}

void Limits::OnListed(const KvAnswer& answer) {
  list_call_.reset();
  if (answer.kind != KvAnswer::Kind::kDone) return;
  for (const KvItem& item : answer.items) ApplyStored(item);
  ready_ = true;
  listed_ = true;
  state_->placement_due = true;
}

void Limits::OnWritten(const TeamId& team, const KvAnswer& answer) {
  if (answer.kind == KvAnswer::Kind::kDone) {
    state_->allotments.OnWritten(team, answer.revision);
    state_->placement_due = true;
    return;
  }
  state_->Count("quetzal_retries_total", "allotment_write");
  const std::string key = std::string(kAllotmentPrefix) + team.text();
  reads_[state_->Call({.kind = KvCall::Kind::kGet, .key = key})] = team;
}

bool Limits::OnKvAnswer(const KvAnswer& answer) {
  if (list_call_ == answer.id) {
    OnListed(answer);
    return true;
  }
  if (const auto write = writes_.extract(answer.id)) {
    OnWritten(write.mapped(), answer);
    return true;
  }
  const auto read = reads_.extract(answer.id);
  if (!read) return false;
  for (const KvItem& item : answer.items) ApplyStored(item);
  state_->allotments.OnWritten(read.mapped(), std::nullopt);
  return true;
}

bool Limits::IsDemandUpdateDue(Time now) const {
  return listed_ && now - written_at_ >= kWriteInterval;
}

void Limits::Tick(Time now) {
  if (!ready_ && now - state_->term_began >= kListTimeout) ready_ = true;
  const bool retry_list =
      !listed_ && !list_call_ && now - listed_at_ >= kListRetryDelay;
  if (retry_list) List(now);
  if (!IsDemandUpdateDue(now)) return;
  written_at_ = now;
  for (const TeamRecord* const team : state_->records->Teams()) {
    // If the key exists after all, the write fails with a conflict.
    state_->allotments.OnMissing(team->name);
    const auto write =
        state_->allotments.NextWrite(team->name, team->limit, now);
    if (!write) continue;
    const std::string key = std::string(kAllotmentPrefix) + team->name.text();
    const uint64_t id = state_->Call({.kind = KvCall::Kind::kPut,
                                      .key = key,
                                      .value = ToText(write->value),
                                      .expected = write->expected});
    writes_[id] = team->name;
  }
}

}  // namespace quetzal::placer_internal
