#include "programs/job_entry/job_api.h"

#include <glib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/adapter.h"

namespace quetzal {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// For callers that send no deadline.
constexpr Milliseconds kDefaultTimeout{3'000};
// Reserved for the reply to reach the caller.
constexpr Milliseconds kReplyMargin{250};
// An outage of the store lasts seconds: an earlier retry is likely to be
// refused again, a later one wastes time.
constexpr Milliseconds kRetryAfter{1'000};
constexpr Milliseconds kCancelRetryDelay{50};
constexpr int64_t kMicrosecondsInMillisecond = 1'000;
constexpr Milliseconds kNoAge{-1};  // in log lines

std::string HeaderOf(const HttpRequest& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

Milliseconds TimeToAnswer(const HttpRequest& request) {
  const std::string text = HeaderOf(request, platform::kDeadlineHeader);
  const guint64 ms = g_ascii_strtoull(text.c_str(), nullptr, 10);
  const Milliseconds wait = ms == 0 || ms > G_MAXINT32
                                ? kDefaultTimeout
                                : Milliseconds(static_cast<int64_t>(ms));
  return std::max(wait - kReplyMargin, kReplyMargin);
}

std::string HostOf(const HttpRequest& request) {
  const std::string host = HeaderOf(request, "host");
  return host.substr(0, host.find(':'));
}

HttpResponse ErrorResponse(int status, const char* reason,
                           const std::string& remedy) {
  return {.status = status,
          .body = nlohmann::json{{"error", reason}, {"remedy", remedy}}.dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace

JobApi::JobApi(const CurrentCatalog* catalogs, const JobIndex* job_index,
               JobIntake* intake, Store* store, StoreWatcher::Timer after,
               Clock clock, EventLog* log, Metrics* metrics,
               Milliseconds max_configuration_age)
    : catalogs_(catalogs),
      job_index_(job_index),
      intake_(intake),
      store_(store),
      after_(std::move(after)),
      clock_(std::move(clock)),
      log_(log),
      metrics_(metrics),
      max_configuration_age_(max_configuration_age) {}

void JobApi::Refuse(const Call& call, int status, const char* reason,
                    const std::string& remedy) {
  metrics_->Count("quetzal_refusals_total", {{"reason", reason}});
  log_->Line(
      "refused",
      {{"path", call.request.path},
       {"method", call.request.method},
       {"status", status},
       {"reason", reason},
       {"version", call.catalog ? call.catalog->version() : int64_t{0}},
       {"copy_age_ms", catalogs_->AgeAt(clock_()).value_or(kNoAge).count()}});
  HttpResponse reply = ErrorResponse(status, reason, remedy);
  if (status == kUnavailable) reply.retry_after = kRetryAfter;
  call.answer(reply);
}

bool JobApi::IsConfigurationConfirmed() const {
  const auto age = catalogs_->AgeAt(clock_());
  return age && *age <= max_configuration_age_;
}

void JobApi::Deny(const Call& call, int status, const char* reason,
                  const std::string& remedy) {
  if (IsConfigurationConfirmed()) {
    Refuse(call, status, reason, remedy);
  } else {
    RefuseUnconfirmed(call);
  }
}

void JobApi::RefuseUnconfirmed(const Call& call) {
  Refuse(call, kUnavailable, "configuration_unconfirmed",
         "try again, at another machine if you can");
}

void JobApi::Serve(const HttpRequest& request, Answer answer) {
  auto call = std::make_shared<Call>();
  call->request = request;
  call->answer = std::move(answer);
  call->catalog = catalogs_->current();
  call->deadline = clock_() + TimeToAnswer(request);
  if (!call->catalog) {
    Refuse(*call, kUnavailable, "no_configuration",
           "try again; this machine has just started");
    return;
  }
  call->queue = call->catalog->FindQueue(HostOf(request), request.path);
  if (call->queue == nullptr) {
    Deny(*call, kNotFound, "no_such_queue",
         "name a configured host and prefix");
    return;
  }
  const Team* const team =
      call->catalog->TeamOfKey(HeaderOf(request, platform::kKeyHeader));
  if (team == nullptr && !call->queue->is_public) {
    Deny(*call, kUnauthorized, "unknown_key",
         "send a key of your team that is in force");
    return;
  }
  if (team != nullptr) call->team = team->name;
  const std::string name = request.path.substr(call->queue->prefix.size());
  if (name.empty() && request.method == "GET") {
    ReportPending(*call);
    return;
  }
  if (!platform::IsJobId(name)) {
    // The path may belong to a queue with a longer prefix that was just added.
    Deny(*call, request.method == "GET" ? kGone : kBadRequest, "not_a_job_id",
         "name the job by 16 hexadecimal digits");
    return;
  }
  call->id = JobId(name);
  if (request.method == "POST") {
    Submit(call);
  } else if (request.method == "GET") {
    ReportState(call);
  } else if (request.method == "DELETE") {
    Cancel(call);
  } else {
    Refuse(*call, kMethodNotAllowed, "unknown_method",
           "use POST, GET or DELETE");
  }
}

void JobApi::Submit(const std::shared_ptr<Call>& call) {
  if (job_index_->StateOf(call->id)) {
    call->answer({.status = kOk, .body = "{}"});
    return;
  }
  if (job_index_->HasTombstone(call->id)) {
    RefuseCancelled(*call);
    return;
  }
  Checked<JobSpec> spec = platform::DecodeJobBody(call->request.body);
  if (!spec) {
    Refuse(*call, kBadRequest, "malformed_job", Describe(spec.error()));
    return;
  }
  if (IsUnsupportedKind(spec.value())) {
    Refuse(*call, kUnprocessable, "unsupported_kind",
           "scheduled jobs aren't served yet");
    return;
  }
  if (!store_reachable_) {
    RefuseSubmission(*call, "store_unreachable");
    return;
  }
  if (!IsConfigurationConfirmed()) {
    RefuseSubmission(*call, "configuration_unconfirmed");
    return;
  }
  const AcceptedJob job = call->queue->Accept(
      call->id, call->team,
      WallTime{g_get_real_time() / kMicrosecondsInMillisecond},
      std::move(spec.value()));
  intake_->Submit(job, call->deadline, [this, call](IntakeOutcome outcome) {
    switch (outcome) {
      case IntakeOutcome::kAccepted:
        log_->Line("accepted", {{"job", call->id.text()},
                                {"queue", call->queue->name.text()},
                                {"team", call->team.text()},
                                {"version", call->catalog->version()}});
        metrics_->Count("quetzal_jobs_accepted_total",
                        {{"queue", call->queue->name.text()}});
        call->answer({.status = kOk, .body = "{}"});
        return;
      case IntakeOutcome::kNotAccepted:
        RefuseSubmission(*call, "store_refused");
        return;
      case IntakeOutcome::kCancelled:
        RefuseCancelled(*call);
        return;
      case IntakeOutcome::kUnknown:
        RefuseUnresolved(*call);
        return;
    }
  });
}

// 503 tells a caller that the job never runs.
void JobApi::RefuseSubmission(const Call& call, const char* reason) {
  if (intake_->MayBeAccepted(call.id)) {
    RefuseUnresolved(call);
  } else {
    Refuse(call, kUnavailable, reason,
           "try again, at another machine if you can");
  }
}

void JobApi::RefuseUnresolved(const Call& call) {
  Refuse(call, kGatewayTimeout, "store_silent",
         "send the job again under the same id");
}

void JobApi::ReportState(const std::shared_ptr<Call>& call) {
  if (const auto state = job_index_->StateOf(call->id)) {
    call->answer({.status = kOk, .body = platform::EncodeJobState(*state)});
    return;
  }
  // Another entry may have accepted the job a moment ago.
  store_->Read(JobKey(call->id), [this, call](const ReadAnswer& answer) {
    const bool exists = answer.outcome == StoreOutcome::kDone &&
                        !IsTombstone(answer.items[0].value);
    if (exists) {
      const JobState stored =
          DecodeState(answer.items[0].value).value_or(JobState::kQueued);
      const JobState state = job_index_->StateOf(call->id).value_or(stored);
      call->answer({.status = kOk, .body = platform::EncodeJobState(state)});
    } else if (answer.outcome == StoreOutcome::kDone ||
               answer.outcome == StoreOutcome::kMissing) {
      AnswerNoSuchJob(*call);
    } else {
      Refuse(*call, kUnavailable, "store_unreachable", "ask again");
    }
  });
}

void JobApi::ReportPending(const Call& call) {
  if (!job_index_->is_listed()) {
    Refuse(call, kUnavailable, "jobs_not_listed",
           "ask again; this machine has just started");
    return;
  }
  call.answer({.status = kOk,
               .body = platform::EncodePendingCount(
                   job_index_->PendingCount(call.queue->name))});
}

void JobApi::Cancel(const std::shared_ptr<Call>& call) {
  const auto state = job_index_->StateOf(call->id);
  if (state && IsFinal(*state)) {
    call->answer({.status = kOk, .body = platform::EncodeJobState(*state)});
    return;
  }
  store_->Read(JobKey(call->id), [this, call](const ReadAnswer& answer) {
    if (answer.outcome == StoreOutcome::kDone) {
      if (IsTombstone(answer.items[0].value)) {
        WriteTombstone(call, answer.items[0].revision);
        return;
      }
      const auto stored = DecodeState(answer.items[0].value);
      if (stored && IsFinal(*stored)) {
        call->answer(
            {.status = kOk, .body = platform::EncodeJobState(*stored)});
        return;
      }
      WriteCancel(call, answer.items[0].revision);
    } else if (answer.outcome == StoreOutcome::kMissing) {
      WriteTombstone(call, kAbsent);
    } else {
      RetryCancel(call);
    }
  });
}

// A submission of the job may be under way, here or at another entry, or its
// transaction may be carried out late. So the job is reported as gone only once
// the store keeps it from being accepted. An earlier tombstone may be about to
// be removed, so it is written again.
void JobApi::WriteTombstone(const std::shared_ptr<Call>& call, Revision found) {
  store_->Apply(
      {.conditions = {{JobKey(call->id), found}},
       .puts = {{.key = JobKey(call->id),
                 .value = EncodeTombstone(call->queue->name)}}},
      [this, call](const TransactionAnswer& answer) {
        if (answer.outcome == StoreOutcome::kDone) {
          log_->Line("cancelled_before_acceptance",
                     {{"job", call->id.text()}, {"team", call->team.text()}});
          AnswerNoSuchJob(*call);
        } else if (answer.outcome == StoreOutcome::kConflict &&
                   clock_() < call->deadline) {
          // The job was accepted or cancelled meanwhile.
          Cancel(call);
        } else {
          RetryCancel(call);
        }
      });
}

void JobApi::RetryCancel(const std::shared_ptr<Call>& call) {
  if (clock_() + kCancelRetryDelay < call->deadline) {
    after_(kCancelRetryDelay, [this, call] { Cancel(call); });
  } else {
    Refuse(*call, kGatewayTimeout, "store_unreachable", "cancel again");
  }
}

void JobApi::AnswerNoSuchJob(const Call& call) {
  call.answer(ErrorResponse(kGone, "no_such_job", "check the id"));
}

void JobApi::RefuseCancelled(const Call& call) {
  Refuse(call, kGone, "cancelled_before_acceptance",
         "submit the job under a new id if you want it");
}

void JobApi::WriteCancel(const std::shared_ptr<Call>& call, Revision accepted) {
  store_->Apply(
      {.conditions = {{JobKey(call->id), accepted},
                      {CancelKey(call->id), kAbsent}},
       .puts = {{.key = CancelKey(call->id), .value = "{}"}}},
      [this, call](const TransactionAnswer& answer) {
        const bool was_cancelled =
            answer.outcome == StoreOutcome::kConflict &&
            std::any_of(answer.current.begin(), answer.current.end(),
                        [&](const StoreItem& item) {
                          return item.key == CancelKey(call->id) &&
                                 item.revision != kAbsent;
                        });
        if (answer.outcome == StoreOutcome::kConflict && !was_cancelled &&
            clock_() < call->deadline) {
          // The record changed meanwhile: the job started or ended.
          Cancel(call);
          return;
        }
        if (answer.outcome == StoreOutcome::kDone || was_cancelled) {
          log_->Line("cancelled",
                     {{"job", call->id.text()}, {"team", call->team.text()}});
          call->answer(
              {.status = kOk,
               .body = platform::EncodeJobState(JobState::kCancelled)});
        } else {
          RetryCancel(call);
        }
      });
}

}  // namespace quetzal
