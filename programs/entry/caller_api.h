// The HTTP form of an entry's work for callers: bodies read into typed
// messages, and replies written from them.
//
//   const Checked<CallerRequest> request = ReadRequest(call, http_request);
//   const HttpReply reply = ToHttp(refusal);
#ifndef PROGRAMS_ENTRY_CALLER_API_H_
#define PROGRAMS_ENTRY_CALLER_API_H_

#include "quetzal/dispatch/dispatch.h"
#include "quetzal/http/http.h"
#include "quetzal/settings/settings.h"

namespace quetzal {

// Body of POST /v1/requests.
Checked<CallerRequest> ReadRequest(HttpCall call, const HttpRequest& request);
// Body of POST /v1/jobs.
Checked<CallerJob> ReadJob(HttpCall call, const HttpRequest& request);

HttpReply ToHttp(const AnswerReply& reply);
HttpReply ToHttp(const RefusalReply& reply);
HttpReply ToHttp(const JobStateReply& reply);
// The reply to a body with problems; the work was not run.
HttpReply ToHttp(const Problems& problems);

}  // namespace quetzal

#endif  // PROGRAMS_ENTRY_CALLER_API_H_
