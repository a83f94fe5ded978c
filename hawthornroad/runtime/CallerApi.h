// The HTTP interface of an entry to callers: parses an HTTP request into a
// CallerRequest and turns a Problem into an HTTP response.
//
//   ParsedCall P = parseCall(std::move(Http), Id, Limits, Now);
//   if (auto *Bad = std::get_if<Problem>(&P))
//     X->respond(problemResponse(*Bad, Metadata));
//
// POST /copywriter-lm/v1/completions with Hawthornroad-Customer: hp-travel is a
// call of /v1/completions on the service copywriter-lm. What a caller may send
// and receives is specified in ../../docs/design/requests.md.

#ifndef HAWTHORNROAD_RUNTIME_CALLERAPI_H
#define HAWTHORNROAD_RUNTIME_CALLERAPI_H

#include "hawthornroad/routing/RequestTypes.h"
#include "hawthornroad/runtime/Http.h"

#include <variant>

namespace hawthornroad {

struct CallerLimits {
  Duration DefaultDeadline_ = Seconds(30);
  Duration MaxDeadline_ = Seconds(600);
  std::size_t MaxKey_ = 200;
  std::size_t MaxName_ = 100;
};

using ParsedCall = std::variant<CallerRequest, Problem>;

// Repeatable_ holds only the caller's choice; the declaration may restrict it
// further.
ParsedCall parseCall(HttpRequest R, RequestId Id, const CallerLimits &Limits,
                     TimePoint Now);

// Metadata of the request that every response carries.
struct ResponseMetadata {
  RequestId Request_;
  Revision Revision_ = 0;
  VersionDigest Version_;
};

// The headers Hawthornroad-Outcome, -Request, -Revision and -Version.
void addMetadata(HttpHeaders &Headers, const ResponseMetadata &Metadata,
                 Outcome O);
// Builds application/problem+json, with Retry-After where a retry can succeed.
HttpResponse problemResponse(const Problem &P,
                             const ResponseMetadata &Metadata);
// The problem as one JSON object; also sent as the last event of a stream that
// fails.
std::string problemText(const Problem &P, RequestId Id);

HttpHeaders toHttp(const HeaderFields &Fields);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CALLERAPI_H
