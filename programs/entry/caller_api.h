// Translates between callers' HTTP calls and the entry's typed messages.
//
//   const Checked<CallerRequest> request = ReadRequest(call, http_request);
//   const HttpResponse reply = ToHttp(refusal);
#ifndef PROGRAMS_ENTRY_CALLER_API_H_
#define PROGRAMS_ENTRY_CALLER_API_H_

#include "quetzal/entry_core/entry_core.h"
#include "quetzal/http/http.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

// Body of POST /v1/requests.
Checked<CallerRequest> ReadRequest(HttpCallId call, const HttpRequest& request);
// Body of POST /v1/jobs.
Checked<CallerJob> ReadJob(HttpCallId call, const HttpRequest& request);

HttpResponse ToHttp(const AnswerReply& reply);
HttpResponse ToHttp(const RefusalReply& reply);
HttpResponse ToHttp(const JobStateReply& reply);
// The reply to a malformed body; the work was not run.
HttpResponse ToHttp(const Problems& problems);

}  // namespace quetzal

#endif  // PROGRAMS_ENTRY_CALLER_API_H_
