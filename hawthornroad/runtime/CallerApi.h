// The HTTP face of an entry: from a caller's request to a CallerRequest, and
// from a Problem to a response.
//
//   ParsedCall P = parseCall(std::move(Http), Id, Limits, Now);
//   if (auto *Bad = std::get_if<Problem>(&P))
//     X->respond(problemResponse(*Bad, Mark));
//
// POST /copywriter-lm/v1/completions with Hawthornroad-Customer: hp-travel is a
// call of /v1/completions at service copywriter-lm. What a caller may send and
// gets back stands in ../../docs/design/requests.md.

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

// Repeatable_ tells only what the caller said; the declaration may forbid more.
ParsedCall parseCall(HttpRequest R, RequestId Id, const CallerLimits &Limits,
                     TimePoint Now);

// What every response says of its request.
struct ResponseMark {
  RequestId Request_;
  Revision Revision_ = 0;
  VersionDigest Version_;
};

// The headers Hawthornroad-Outcome, -Request, -Revision and -Version.
void addMark(HttpHeaders &Headers, const ResponseMark &Mark, Outcome O);
// application/problem+json, with Retry-After where coming back helps.
HttpResponse problemResponse(const Problem &P, const ResponseMark &Mark);
// The problem as one JSON object, also the last event of a broken stream.
std::string problemText(const Problem &P, RequestId Id);

HttpHeaders toHttp(const HeaderFields &Fields);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CALLERAPI_H
