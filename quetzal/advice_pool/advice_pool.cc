#include "quetzal/advice_pool/advice_pool.h"

#include <utility>

namespace quetzal {
namespace {

// Beyond the helper's own timeout, which counts from its own start of the call.
constexpr Milliseconds kReplyExtra{100};

AdviceAnswer AnswerFrom(const wire::AdviceReply& reply) {
  AdviceAnswer answer;
  if (reply.outcome() == wire::ADVICE_OUTCOME_BUSY) {
    answer.kind = AdviceAnswer::Kind::kBusy;
  }
  if (reply.outcome() != wire::ADVICE_OUTCOME_ANSWERED) return answer;
  answer.kind = AdviceAnswer::Kind::kAnswered;
  answer.validity = Milliseconds(reply.validity_ms());
  for (const wire::AdvicePermit& row : reply.permits()) {
    answer.permits.push_back({WorkerId(row.worker()), row.ticket()});
  }
  return answer;
}

}  // namespace

AdvicePool::AdvicePool(Store* store, StoreWatcher::Timer after,
                       OnHelpersChanged on_advisers, EventLog* log)
    : store_(store),
      after_(std::move(after)),
      on_advisers_(std::move(on_advisers)),
      log_(log) {}

AdvicePool::~AdvicePool() = default;

void AdvicePool::Start() {
  if (follower_) return;
  follower_ = std::make_unique<StoreWatcher>(
      store_, HelperPrefix(), StoreWatcherTiming{},
      StoreWatcherHandlers{.on_put =
                               [this](const StoreItem& item) {
                                 Learn(ParseCellKey(item.key).name, item.value);
                               },
                           .on_removed =
                               [this](const std::string& key) {
                                 Forget(ParseCellKey(key).name);
                               }},
      after_);
  follower_->Start();
}

void AdvicePool::Learn(const std::string& machine, const std::string& address) {
  Helper& helper = helpers_[machine];
  if (helper.address == address) return;
  FailOpen(&helper);
  helper.up = false;
  helper.address = address;
  helper.link = HelperLink::Open(
      address, {.on_link = [this, machine](bool up) { SetUp(machine, up); },
                .on_message =
                    [this, machine](const wire::AdviceReply& reply) {
                      OnReply(machine, reply);
                    }});
}

void AdvicePool::Forget(const std::string& machine) {
  const auto found = helpers_.find(machine);
  if (found == helpers_.end()) return;
  // A helper whose announcement lapsed with the store may still be there.
  if (found->second.up) return;
  FailOpen(&found->second);
  helpers_.erase(found);
  on_advisers_(reachable_helpers());
}

void AdvicePool::SetUp(const std::string& machine, bool up) {
  Helper& helper = helpers_[machine];
  helper.up = up;
  log_->Line(up ? "helper_reached" : "helper_lost", {{"machine", machine}});
  if (!up) FailOpen(&helper);
  on_advisers_(reachable_helpers());
}

void AdvicePool::FailOpen(Helper* helper) {
  const std::map<uint64_t, Done> open = std::exchange(helper->open, {});
  for (const auto& [id, done] : open) done({});
}

std::vector<HelperId> AdvicePool::reachable_helpers() const {
  std::vector<HelperId> advisers;
  for (const auto& [machine, helper] : helpers_) {
    if (helper.up) advisers.emplace_back(machine);
  }
  return advisers;
}

void AdvicePool::Ask(const HelperId& adviser, const AdviceQuery& question,
                     Milliseconds timeout, Done done) {
  const std::string& machine = adviser.text();
  const auto found = helpers_.find(machine);
  if (found == helpers_.end() || !found->second.up) {
    done({});
    return;
  }
  wire::AdviceRequest request;
  request.set_id(next_id_++);
  request.set_job(question.job.text());
  request.set_occurrence(question.occurrence);
  request.set_step(question.step);
  request.set_timeout_ms(static_cast<uint32_t>(timeout.count()));
  for (const WorkerId& worker : question.workers) {
    request.add_workers(worker.text());
  }
  found->second.open[request.id()] = std::move(done);
  found->second.link->Send(request);
  after_(timeout + kReplyExtra,
         lifetime_.Guard([this, machine, id = request.id()] {
           wire::AdviceReply none;
           none.set_id(id);
           OnReply(machine, none);
         }));
}

void AdvicePool::OnReply(const std::string& machine,
                         const wire::AdviceReply& reply) {
  const auto helper = helpers_.find(machine);
  if (helper == helpers_.end()) return;
  const auto open = helper->second.open.find(reply.id());
  if (open == helper->second.open.end()) return;
  const Done done = std::move(open->second);
  helper->second.open.erase(open);
  done(AnswerFrom(reply));
}

}  // namespace quetzal
