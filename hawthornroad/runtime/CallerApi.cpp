#include "hawthornroad/runtime/CallerApi.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <charconv>
#include <optional>

namespace hawthornroad {

namespace {
constexpr unsigned StatusBadRequest = 400;
// Length of the prompt prefix, in bytes, that two requests must share to be
// routed to the same endpoint.
constexpr std::size_t PrefixBytes = 256;

std::string lower(std::string_view Text) {
  std::string Out(Text);
  std::transform(Out.begin(), Out.end(), Out.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Out;
}

// Headers that are not forwarded: hop-by-hop headers and Hawthornroad's own.
bool isLocalHeader(const std::string &Name) {
  static constexpr std::array<std::string_view, 10> HopNames = {
      "connection",      "content-length", "transfer-encoding",
      "keep-alive",      "host",           "te",
      "trailer",         "upgrade",        "expect",
      "proxy-connection"};
  std::string Lowered = lower(Name);
  return Lowered.rfind("hawthornroad-", 0) == 0 ||
         Lowered.rfind("engine-", 0) == 0 ||
         std::find(HopNames.begin(), HopNames.end(), Lowered) != HopNames.end();
}

Problem badRequest(std::string Cause, std::string Detail) {
  Problem P;
  P.Status_ = StatusBadRequest;
  P.Cause_ = std::move(Cause);
  P.Detail_ = std::move(Detail);
  return P;
}

// Service and customer names become parts of the keys in the platform's table.
bool isName(std::string_view Text, std::size_t MaxSize) {
  auto IsAllowed = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= MaxSize &&
         std::all_of(Text.begin(), Text.end(), IsAllowed);
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > ' ' && C < 0x7f; });
}

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  return Value;
}

// Requests whose prompts start with the same bytes can share the prefix cache
// of an endpoint.
std::uint64_t prefixHash(const std::string &Body) {
  for (std::string_view Key : {"\"messages\"", "\"prompt\""}) {
    std::size_t At = Body.find(Key);
    if (At == std::string::npos)
      continue;
    Fnv1a Hash;
    Hash.update(std::string_view(Body).substr(At, PrefixBytes));
    return Hash.value();
  }
  return 0;
}

// Splits "/service/rest?query" into the service and "/rest?query".
bool splitTarget(const std::string &Target, CallerRequest &Out) {
  if (Target.size() < 2 || Target[0] != '/')
    return false;
  std::size_t End = Target.find_first_of("/?", 1);
  Out.Service_ = ServiceName(Target.substr(1, End - 1));
  std::string Rest = End == std::string::npos ? "" : Target.substr(End);
  Out.Target_ = Rest.empty() || Rest[0] != '/' ? "/" + Rest : Rest;
  return true;
}

std::optional<Problem> readDeadline(const HttpHeaders &Headers,
                                    const CallerLimits &Limits,
                                    CallerRequest &Out) {
  auto Text = findHeader(Headers, "Hawthornroad-Deadline-Ms");
  Out.Deadline_ = Out.ArrivedAt_ + Limits.DefaultDeadline_;
  if (!Text)
    return std::nullopt;
  std::int64_t Max =
      std::chrono::duration_cast<Milliseconds>(Limits.MaxDeadline_).count();
  std::optional<std::int64_t> Value = parseNumber(*Text);
  if (!Value || *Value < 1 || *Value > Max)
    return badRequest("bad_deadline", "Hawthornroad-Deadline-Ms must be 1 to " +
                                          std::to_string(Max));
  Out.Deadline_ = Out.ArrivedAt_ + Milliseconds(*Value);
  return std::nullopt;
}

std::optional<Problem> readRequestHeaders(const HttpHeaders &Headers,
                                          const CallerLimits &Limits,
                                          CallerRequest &Out) {
  auto CustomerName = findHeader(Headers, "Hawthornroad-Customer");
  if (!CustomerName || !isName(*CustomerName, Limits.MaxName_))
    return badRequest("missing_customer",
                      "Hawthornroad-Customer must name a customer");
  Out.Customer_ = Customer(*CustomerName);
  Out.IdempotencyKey_ = findHeader(Headers, "Idempotency-Key").value_or("");
  if (Out.IdempotencyKey_.size() > Limits.MaxKey_ ||
      !isPrintable(Out.IdempotencyKey_))
    return badRequest("bad_key",
                      "Idempotency-Key must be printable and at most " +
                          std::to_string(Limits.MaxKey_) + " bytes");
  std::string RepeatableText =
      lower(findHeader(Headers, "Hawthornroad-Repeatable").value_or("yes"));
  if (RepeatableText != "yes" && RepeatableText != "no")
    return badRequest("bad_repeatable",
                      "Hawthornroad-Repeatable must be yes or no");
  Out.Repeatable_ = RepeatableText == "yes";
  std::string PriorityText =
      lower(findHeader(Headers, "Hawthornroad-Priority").value_or("normal"));
  Out.Priority_ = parsePriority(PriorityText);
  if (toString(Out.Priority_) != PriorityText)
    return badRequest(
        "bad_priority",
        "Hawthornroad-Priority must be interactive, normal or batch");
  return readDeadline(Headers, Limits, Out);
}

std::int64_t wholeMilliseconds(Duration D) {
  return std::chrono::duration_cast<Milliseconds>(D).count();
}

std::string toText(std::string_view View) { return std::string(View); }
} // namespace

ParsedCall parseCall(HttpRequest R, RequestId Id, const CallerLimits &Limits,
                     TimePoint Now) {
  CallerRequest Out;
  Out.Id_ = Id;
  Out.ArrivedAt_ = Now;
  if (!splitTarget(R.Target_, Out) ||
      !isName(Out.Service_.str(), Limits.MaxName_))
    return badRequest("bad_path", "the path must be /{service}/{rest}");
  if (std::optional<Problem> P = readRequestHeaders(R.Headers_, Limits, Out))
    return *P;
  Out.Method_ = std::move(R.Method_);
  for (HttpHeader &Each : R.Headers_)
    if (!isLocalHeader(Each.Name_))
      Out.Headers_.push_back({std::move(Each.Name_), std::move(Each.Value_)});
  Out.Body_ = std::move(R.Body_);
  Out.PrefixHash_ = prefixHash(Out.Body_);
  return Out;
}

void addMetadata(HttpHeaders &Headers, const ResponseMetadata &Metadata,
                 Outcome O) {
  Headers.push_back({"Hawthornroad-Outcome", toText(toString(O))});
  Headers.push_back({"Hawthornroad-Request", Metadata.Request_.str()});
  Headers.push_back(
      {"Hawthornroad-Revision", std::to_string(Metadata.Revision_)});
  if (!Metadata.Version_.empty())
    Headers.push_back({"Hawthornroad-Version", Metadata.Version_.str()});
}

std::string problemText(const Problem &P, RequestId Id) {
  boost::json::object Out;
  Out["type"] = "about:blank";
  Out["title"] = P.Cause_;
  Out["status"] = P.Status_;
  Out["detail"] = P.Detail_;
  Out["step"] = toText(toString(P.Step_));
  Out["peer"] = P.Peer_;
  Out["outcome"] = toText(toString(P.Outcome_));
  Out["request"] = Id.str();
  if (P.RetryAfter_ > Duration::zero())
    Out["retry_after_ms"] = wholeMilliseconds(P.RetryAfter_);
  return boost::json::serialize(Out);
}

HttpResponse problemResponse(const Problem &P,
                             const ResponseMetadata &Metadata) {
  HttpResponse Out;
  Out.Status_ = P.Status_;
  Out.Headers_.push_back({"Content-Type", "application/problem+json"});
  addMetadata(Out.Headers_, Metadata, P.Outcome_);
  if (P.RetryAfter_ > Duration::zero()) {
    std::int64_t Ms = wholeMilliseconds(P.RetryAfter_);
    Out.Headers_.push_back({"Retry-After", std::to_string((Ms + 999) / 1000)});
    Out.Headers_.push_back({"Hawthornroad-Retry-After-Ms", std::to_string(Ms)});
  }
  Out.Body_ = problemText(P, Metadata.Request_);
  return Out;
}

HttpHeaders toHttp(const HeaderFields &Fields) {
  HttpHeaders Out;
  for (const HeaderField &Each : Fields)
    Out.push_back({Each.Name_, Each.Value_});
  return Out;
}

} // namespace hawthornroad
