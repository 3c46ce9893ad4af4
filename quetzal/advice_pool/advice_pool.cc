#include "quetzal/advice_pool/advice_pool.h"

#include <utility>

namespace quetzal {
namespace {

// Added to the timeout, which a helper counts from when it starts the call.
constexpr Milliseconds kReplyMargin{100};

AdviceAnswer AnswerFrom(const wire::AdviceReply& reply) {
  AdviceAnswer answer;
  if (reply.outcome() == wire::ADVICE_OUTCOME_BUSY) {
    answer.kind = AdviceAnswer::Kind::kBusy;
  }
  if (reply.outcome() != wire::ADVICE_OUTCOME_ANSWERED) return answer;
  answer.kind = AdviceAnswer::Kind::kAnswered;
  answer.validity = Milliseconds(reply.validity_ms());
  for (const wire::AdvicePermit& permit : reply.permits()) {
    answer.permits.push_back({WorkerId(permit.worker()), permit.ticket()});
  }
  return answer;
}

}  // namespace

AdvicePool::AdvicePool(Store* store, StoreWatcher::Timer after,
                       OnHelpersChanged on_helpers_changed, EventLog* log)
    : store_(store),
      after_(std::move(after)),
      on_helpers_changed_(std::move(on_helpers_changed)),
      log_(log) {}

AdvicePool::~AdvicePool() = default;

void AdvicePool::Start() {
  if (watcher_) return;
  watcher_ = std::make_unique<StoreWatcher>(
      store_, HelperPrefix(), StoreWatcherTiming{},
      StoreWatcherHandlers{.on_put =
                               [this](const StoreItem& item) {
                                 OnRegistered(ParseCellKey(item.key).name,
                                              item.value);
                               },
                           .on_removed =
                               [this](const std::string& key) {
                                 OnUnregistered(ParseCellKey(key).name);
                               }},
      after_);
  watcher_->Start();
}

void AdvicePool::OnRegistered(const std::string& machine,
                              const std::string& address) {
  Helper& helper = helpers_[machine];
  if (helper.address == address) return;
  FailPending(&helper);
  helper.up = false;
  helper.address = address;
  helper.link = HelperLink::Open(
      address,
      {.on_link = [this, machine](bool up) { OnLinkChange(machine, up); },
       .on_message =
           [this, machine](const wire::AdviceReply& reply) {
             OnReply(machine, reply);
           }});
}

void AdvicePool::OnUnregistered(const std::string& machine) {
  const auto found = helpers_.find(machine);
  if (found == helpers_.end()) return;
  // A connected helper is kept: its registration may have expired during a
  // store outage.
  if (found->second.up) return;
  FailPending(&found->second);
  helpers_.erase(found);
  on_helpers_changed_(reachable_helpers());
}

void AdvicePool::OnLinkChange(const std::string& machine, bool up) {
  Helper& helper = helpers_[machine];
  helper.up = up;
  log_->Line(up ? "helper_reached" : "helper_lost", {{"machine", machine}});
  if (!up) FailPending(&helper);
  on_helpers_changed_(reachable_helpers());
}

void AdvicePool::FailPending(Helper* helper) {
  const std::map<uint64_t, Done> pending = std::exchange(helper->pending, {});
  for (const auto& [id, done] : pending) done({});
}

std::vector<HelperId> AdvicePool::reachable_helpers() const {
  std::vector<HelperId> helpers;
  for (const auto& [machine, helper] : helpers_) {
    if (helper.up) helpers.emplace_back(machine);
  }
  return helpers;
}

void AdvicePool::Ask(const HelperId& helper_id, const AdviceQuery& query,
                     Milliseconds timeout, Done done) {
  const std::string& machine = helper_id.text();
  const auto found = helpers_.find(machine);
  if (found == helpers_.end() || !found->second.up) {
    done({});
    return;
  }
  wire::AdviceRequest request;
  request.set_id(next_id_++);
  request.set_job(query.job.text());
  request.set_occurrence(query.occurrence);
  request.set_step(query.step);
  request.set_timeout_ms(static_cast<uint32_t>(timeout.count()));
  for (const WorkerId& worker : query.workers) {
    request.add_workers(worker.text());
  }
  found->second.pending[request.id()] = std::move(done);
  found->second.link->Send(request);
  const auto give_up = lifetime_.Guard([this, machine, id = request.id()] {
    wire::AdviceReply no_reply;
    no_reply.set_id(id);
    OnReply(machine, no_reply);
  });
  // Replies that arrived while this process was busy are handled after the
  // timers that have expired meanwhile.
  after_(timeout + kReplyMargin, lifetime_.Guard([this, give_up] {
    after_(Milliseconds(0), give_up);
  }));
}

void AdvicePool::OnReply(const std::string& machine,
                         const wire::AdviceReply& reply) {
  const auto helper = helpers_.find(machine);
  if (helper == helpers_.end()) return;
  const auto pending = helper->second.pending.find(reply.id());
  if (pending == helper->second.pending.end()) return;
  const Done done = std::move(pending->second);
  helper->second.pending.erase(pending);
  done(AnswerFrom(reply));
}

}  // namespace quetzal
