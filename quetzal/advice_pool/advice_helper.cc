#include <utility>

#include "quetzal/advice_pool/advice_pool.h"

namespace quetzal {
namespace {

// A machine that is gone should not be asked for long; a store that is down
// for seconds should not take every helper away.
constexpr Milliseconds kAnnouncementLife{8'000};
constexpr Milliseconds kRenewEvery{2'000};
constexpr Milliseconds kRetry{500};

wire::AdviceReply ReplyFrom(uint64_t id, const AdviceAnswer& answer) {
  wire::AdviceReply reply;
  reply.set_id(id);
  if (answer.kind == AdviceAnswer::Kind::kBusy) {
    reply.set_outcome(wire::ADVICE_OUTCOME_BUSY);
  }
  if (answer.kind != AdviceAnswer::Kind::kAnswered) return reply;
  reply.set_outcome(wire::ADVICE_OUTCOME_ANSWERED);
  reply.set_validity_ms(static_cast<uint32_t>(answer.validity.count()));
  for (const Permit& permit : answer.permits) {
    wire::AdvicePermit* const row = reply.add_permits();
    row->set_worker(permit.worker.text());
    row->set_ticket(permit.ticket);
  }
  return reply;
}

}  // namespace

AdviceHelper::AdviceHelper(std::string address, std::string machine,
                           AdviceClient* advice, Store* store,
                           StoreWatcher::Timer after, EventLog* log)
    : address_(std::move(address)),
      machine_(std::move(machine)),
      advice_(advice),
      store_(store),
      after_(std::move(after)),
      log_(log) {}

AdviceHelper::~AdviceHelper() = default;

bool AdviceHelper::Start() {
  auto server = HelperServer::Listen(
      address_, {.on_open = [](PeerId) {},
                 .on_message =
                     [this](PeerId peer, const wire::AdviceRequest& request) {
                       OnRequest(peer, request);
                     },
                 .on_close = [](PeerId) {}});
  if (!server) {
    log_->Line("helper_not_started",
               {{"why", server.error().message()}, {"address", address_}});
    return false;
  }
  server_ = std::move(server.value());
  Announce();
  return true;
}

void AdviceHelper::OnRequest(PeerId peer, const wire::AdviceRequest& request) {
  AdviceQuery question{.job = JobId(request.job()),
                       .occurrence = request.occurrence(),
                       .step = request.step()};
  for (const std::string& worker : request.workers()) {
    question.workers.emplace_back(worker);
  }
  advice_->Ask(question, Milliseconds(request.timeout_ms()),
               lifetime_.Guard<AdviceAnswer>(
                   [this, peer, id = request.id()](const AdviceAnswer& answer) {
                     server_->Send(peer, ReplyFrom(id, answer));
                   }));
}

void AdviceHelper::Later(Milliseconds delay, std::function<void()> step) {
  after_(delay, lifetime_.Guard(std::move(step)));
}

void AdviceHelper::Announce() {
  if (withdrawn_) return;
  store_->GrantLease(kAnnouncementLife, [this](const LeaseAnswer& lease) {
    if (lease.outcome != StoreOutcome::kDone) {
      Later(kRetry, [this] { Announce(); });
      return;
    }
    lease_ = lease.lease;
    store_->Apply({.puts = {{HelperKey(machine_), address_, lease_}}},
                  [this](const TransactionAnswer& answer) {
                    if (answer.outcome == StoreOutcome::kDone) {
                      Later(kRenewEvery, [this] { Renew(); });
                    } else {
                      Later(kRetry, [this] { Announce(); });
                    }
                  });
  });
}

void AdviceHelper::Renew() {
  if (withdrawn_) return;
  store_->RenewLease(lease_, [this](const LeaseAnswer& answer) {
    if (answer.outcome == StoreOutcome::kMissing) {
      Announce();
    } else {
      Later(kRenewEvery, [this] { Renew(); });
    }
  });
}

void AdviceHelper::Withdraw() {
  if (std::exchange(withdrawn_, true) || lease_ == kNoLease) return;
  store_->RevokeLease(lease_, [](StoreOutcome) {});
}

}  // namespace quetzal
