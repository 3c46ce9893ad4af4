#include <utility>

#include "quetzal/advice_pool/advice_pool.h"

namespace quetzal {
namespace {

// Short enough that a dead VM is removed soon; long enough that a store outage
// of seconds doesn't remove every helper.
constexpr Milliseconds kRegistrationTtl{8'000};
constexpr Milliseconds kRenewalInterval{2'000};
constexpr Milliseconds kRetryDelay{500};

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
    wire::AdvicePermit* const permit_message = reply.add_permits();
    permit_message->set_worker(permit.worker.text());
    permit_message->set_ticket(permit.ticket);
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
  Register();
  return true;
}

void AdviceHelper::OnRequest(PeerId peer, const wire::AdviceRequest& request) {
  AdviceQuery query{.job = JobId(request.job()),
                    .occurrence = request.occurrence(),
                    .step = request.step()};
  for (const std::string& worker : request.workers()) {
    query.workers.emplace_back(worker);
  }
  advice_->Ask(query, Milliseconds(request.timeout_ms()),
               lifetime_.Guard<AdviceAnswer>(
                   [this, peer, id = request.id()](const AdviceAnswer& answer) {
                     server_->Send(peer, ReplyFrom(id, answer));
                   }));
}

void AdviceHelper::ScheduleAfter(Milliseconds delay,
                                 std::function<void()> callback) {
  after_(delay, lifetime_.Guard(std::move(callback)));
}

void AdviceHelper::Register() {
  if (withdrawn_) return;
  store_->GrantLease(kRegistrationTtl, [this](const LeaseAnswer& lease) {
    if (lease.outcome != StoreOutcome::kDone) {
      ScheduleAfter(kRetryDelay, [this] { Register(); });
      return;
    }
    lease_ = lease.lease;
    store_->Apply({.puts = {{HelperKey(machine_), address_, lease_}}},
                  [this](const TransactionAnswer& answer) {
                    if (answer.outcome == StoreOutcome::kDone) {
                      ScheduleAfter(kRenewalInterval, [this] { Renew(); });
                    } else {
                      ScheduleAfter(kRetryDelay, [this] { Register(); });
                    }
                  });
  });
}

void AdviceHelper::Renew() {
  if (withdrawn_) return;
  store_->RenewLease(lease_, [this](const LeaseAnswer& answer) {
    if (answer.outcome == StoreOutcome::kMissing) {
      Register();
    } else {
      ScheduleAfter(kRenewalInterval, [this] { Renew(); });
    }
  });
}

void AdviceHelper::Withdraw() {
  if (std::exchange(withdrawn_, true) || lease_ == kNoLease) return;
  store_->RevokeLease(lease_, [](StoreOutcome) {});
}

}  // namespace quetzal
