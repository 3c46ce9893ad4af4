#include <string_view>

#include "quetzal/store/store.h"

namespace quetzal {
namespace {

constexpr std::string_view kCell = "cell/";
constexpr std::string_view kLeaderKey = "cell/seat";
constexpr std::string_view kJobs = "cell/jobs/";
// Not under "cell/": the requests and the progress of jobs are many times as
// large as their records, and only the active placer needs them.
constexpr std::string_view kWork = "work/";
constexpr std::string_view kRequests = "work/requests/";
constexpr std::string_view kProgress = "work/progress/";
// Where earlier versions stored progress.
constexpr std::string_view kFormerProgress = "cell/progress/";
constexpr std::string_view kCancels = "cell/cancels/";
// Not under "cell/": the watchers of jobs needn't receive every change of
// helpers.
constexpr std::string_view kHelpers = "helpers/";

struct KindOfPrefix {
  std::string_view prefix;
  CellKeyKind kind;
};
constexpr KindOfPrefix kKinds[] = {
    {kJobs, CellKeyKind::kJob},
    {kRequests, CellKeyKind::kRequest},
    {kProgress, CellKeyKind::kProgress},
    {kFormerProgress, CellKeyKind::kFormerProgress},
    {kCancels, CellKeyKind::kCancel},
    {kHelpers, CellKeyKind::kHelper}};

std::string Join(std::string_view prefix, const std::string& name) {
  return std::string(prefix) + name;
}

}  // namespace

std::string CellPrefix() { return std::string(kCell); }
std::string WorkPrefix() { return std::string(kWork); }
std::string LeaderKey() { return std::string(kLeaderKey); }
std::string JobPrefix() { return std::string(kJobs); }
std::string JobKey(const JobId& id) { return Join(kJobs, id.text()); }
std::string RequestKey(const JobId& id) { return Join(kRequests, id.text()); }
std::string ProgressKey(const JobId& id) { return Join(kProgress, id.text()); }
std::string CancelKey(const JobId& id) { return Join(kCancels, id.text()); }
std::string RosterKey() { return "roster"; }
std::string HelperPrefix() { return std::string(kHelpers); }
std::string HelperKey(const std::string& machine) {
  return Join(kHelpers, machine);
}

CellKey ParseCellKey(const std::string& key) {
  if (key == kLeaderKey) return {CellKeyKind::kLeader, ""};
  for (const KindOfPrefix& each : kKinds) {
    if (key.starts_with(each.prefix)) {
      return {each.kind, key.substr(each.prefix.size())};
    }
  }
  return {CellKeyKind::kOther, key};
}

}  // namespace quetzal
