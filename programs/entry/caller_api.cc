#include "programs/entry/caller_api.h"

#include <utility>

namespace quetzal {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int64_t kDefaultDeadlineMs = 10'000;
constexpr int64_t kMaxDeadlineMs = 600'000;
constexpr int64_t kMaxTasks = 10'000;
constexpr size_t kMaxRequestKeyBytes = 200;
constexpr Resources kDefaultRequestSize = {
    .cpu_milli = 100, .memory_mib = 64, .slots = 1};
constexpr Resources kDefaultTaskSize = {.cpu_milli = 100, .memory_mib = 64};

void ReadWork(ObjectReader* reader, const Resources& default_size,
              wire::Work* work) {
  work->set_queue(reader->Text("queue"));
  work->set_idempotent(reader->Flag("idempotent", false));
  work->set_urgent(reader->Flag("urgent", false));
  work->set_payload(reader->Text("payload", ""));
  const bool has_size = reader->Has("size");
  const Resources size = reader->Amounts("size");
  *work->mutable_size() = ToWire(has_size ? size : default_size);
  if (has_size && size.IsZero()) {
    reader->Report("size", "nothing asked for",
                   "at least one amount above 0 of cpu_milli, memory_mib, "
                   "accelerators, slots");
  }
}

// Decodes a caller's body, or returns every problem found in it. `read` reads
// the fields that only `Caller` has.
template <typename Caller, typename Read>
Checked<Caller> ReadBody(HttpCallId call, const HttpRequest& request,
                         const Read& read) {
  Problems problems;
  const nlohmann::json json = ParseObject(request.body, "body", &problems);
  if (!problems.empty()) return problems;
  ObjectReader reader(json, "body", &problems);
  Caller caller;
  caller.call = CallId{static_cast<uint64_t>(call)};
  // The team's key; not the request key, which makes resends idempotent.
  caller.key = request.bearer;
  read(&reader, &caller);
  reader.ReportUnknownFields();
  if (!problems.empty()) return problems;
  return caller;
}

const char* NameOf(wire::RunFate fate) {
  switch (fate) {
    case wire::RUN_FATE_NOT_RUN:
      return "not_run";
    case wire::RUN_FATE_RAN:
      return "ran";
    default:
      return "unknown";
  }
}

// Replaces bytes that are not UTF-8, which JSON can't represent.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Checked<CallerRequest> ReadRequest(HttpCallId call,
                                   const HttpRequest& request) {
  return ReadBody<CallerRequest>(
      call, request, [](ObjectReader* reader, CallerRequest* caller) {
        ReadWork(reader, kDefaultRequestSize, &caller->work);
        caller->work.set_work_class(wire::WORK_CLASS_REQUEST);
        caller->work.set_request_key(reader->Text("request_key", ""));
        if (caller->work.request_key().size() > kMaxRequestKeyBytes) {
          reader->Report("request_key", "too long", "at most 200 bytes");
        }
        caller->deadline = Milliseconds(reader->Integer(
            "deadline_ms", {.min = 1,
                            .max = kMaxDeadlineMs,
                            .default_value = kDefaultDeadlineMs}));
      });
}

Checked<CallerJob> ReadJob(HttpCallId call, const HttpRequest& request) {
  return ReadBody<CallerJob>(
      call, request, [](ObjectReader* reader, CallerJob* job) {
        wire::Work* const work = job->spec.mutable_work();
        ReadWork(reader, kDefaultTaskSize, work);
        const std::string kind =
            reader->Choice("kind", {"batch", "gang", "service"}, "batch");
        work->set_work_class(kind == "gang"      ? wire::WORK_CLASS_GANG
                             : kind == "service" ? wire::WORK_CLASS_SERVICE
                                                 : wire::WORK_CLASS_BATCH);
        job->spec.set_tasks(static_cast<uint32_t>(reader->Integer(
            "tasks", {.min = 1, .max = kMaxTasks, .default_value = 1})));
      });
}

HttpResponse ToHttp(const AnswerReply& reply) {
  const nlohmann::json json = {{"request", reply.request.text()},
                               {"answer", reply.answer},
                               {"worker", reply.worker.text()},
                               {"attempt", reply.attempt.text()},
                               {"waited_ms", reply.waited.count()}};
  return {.status = kOk, .body = Dump(json)};
}

HttpResponse ToHttp(const RefusalReply& reply) {
  nlohmann::json json = {{"error", std::string(Code(reply.reason))},
                         {"run", NameOf(reply.fate)},
                         {"remedy", std::string(Remedy(reply.reason))}};
  if (!reply.detail.empty()) json["detail"] = reply.detail;
  if (!reply.request.empty()) json["request"] = reply.request.text();
  if (!reply.answer.empty()) json["answer"] = reply.answer;
  return {.status = HttpStatus(reply.reason),
          .body = Dump(json),
          .retry_after = reply.retry_after};
}

HttpResponse ToHttp(const JobStateReply& reply) {
  const nlohmann::json json = {
      {"job", reply.job.text()},      {"state", reply.state.state()},
      {"tasks", reply.state.tasks()}, {"running", reply.state.running()},
      {"ended", reply.state.ended()}, {"failed", reply.state.failed()}};
  return {.status = reply.accepted ? kAccepted : kOk, .body = Dump(json)};
}

HttpResponse ToHttp(const Problems& problems) {
  nlohmann::json list = nlohmann::json::array();
  for (const Problem& problem : problems) {
    list.push_back({{"path", problem.path},
                    {"wrong", problem.wrong},
                    {"allowed", problem.allowed}});
  }
  const Refusal reason = Refusal::kBadRequest;
  const nlohmann::json json = {{"error", std::string(Code(reason))},
                               {"run", NameOf(wire::RUN_FATE_NOT_RUN)},
                               {"remedy", std::string(Remedy(reason))},
                               {"problems", list}};
  return {.status = HttpStatus(reason), .body = Dump(json)};
}

}  // namespace quetzal
