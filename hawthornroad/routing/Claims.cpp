#include "hawthornroad/routing/Claims.h"

#include "hawthornroad/base/Hash.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::array<const char *, 4> PhaseNames = {"dispatched", "not-run",
                                                    "answered", "unknown"};
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusUnprocessable = 422;
constexpr unsigned StatusBadGateway = 502;
constexpr Duration InProgressRetryAfter = Seconds(1);

json::object toJson(const KeptAnswer &A) {
  json::object Out;
  Out["status"] = A.Status_;
  Out["version"] = A.Version_.str();
  json::array Headers;
  for (const HeaderField &Each : A.Headers_)
    Headers.push_back(json::array{Each.Name_, Each.Value_});
  Out["headers"] = std::move(Headers);
  if (A.HasBody_)
    Out["body"] = A.Body_;
  return Out;
}

std::string textAt(const json::object &O, const char *Key) {
  return json::value_to<std::string>(O.at(Key));
}

KeptAnswer answerFrom(const json::object &O) {
  KeptAnswer A;
  A.Status_ = O.at("status").to_number<unsigned>();
  A.Version_ = VersionDigest(textAt(O, "version"));
  for (const json::value &Each : O.at("headers").as_array())
    A.Headers_.push_back({json::value_to<std::string>(Each.at(0)),
                          json::value_to<std::string>(Each.at(1))});
  A.HasBody_ = O.contains("body");
  if (A.HasBody_)
    A.Body_ = textAt(O, "body");
  return A;
}

ClaimPhase phaseFrom(const std::string &Name) {
  for (std::size_t I = 0; I < PhaseNames.size(); ++I)
    if (PhaseNames[I] == Name)
      return static_cast<ClaimPhase>(I);
  throw std::invalid_argument("unknown phase");
}

// Answers are arbitrary bytes; by default Boost.JSON rejects invalid UTF-8.
json::parse_options allowInvalidUtf8() {
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  return Options;
}

ClaimDenied makeDenial(const CallerRequest &R, unsigned Status, Outcome O,
                       std::string Cause, std::string Detail) {
  ClaimDenied D;
  D.Request_ = R.Id_;
  D.Problem_.Status_ = Status;
  D.Problem_.Outcome_ = O;
  D.Problem_.Step_ = Step::Claim;
  D.Problem_.Cause_ = std::move(Cause);
  D.Problem_.Detail_ = std::move(Detail);
  return D;
}
} // namespace

std::string toText(const ClaimRecord &Record) {
  json::object Out;
  Out["phase"] = PhaseNames[static_cast<std::size_t>(Record.Phase_)];
  Out["token"] = Record.Token_;
  Out["holder"] = Record.Holder_;
  Out["call"] = Record.Call_;
  Out["deadline_ms"] = Record.DeadlineMs_;
  Out["expires_ms"] = Record.ExpiresMs_;
  if (Record.Answer_)
    Out["answer"] = toJson(*Record.Answer_);
  return json::serialize(Out);
}

std::optional<ClaimRecord> parseClaim(std::string_view Text) {
  try {
    json::value Parsed = json::parse(
        json::string_view(Text.data(), Text.size()), {}, allowInvalidUtf8());
    const json::object &O = Parsed.as_object();
    ClaimRecord R;
    R.Phase_ = phaseFrom(textAt(O, "phase"));
    R.Token_ = textAt(O, "token");
    R.Holder_ = textAt(O, "holder");
    R.Call_ = textAt(O, "call");
    R.DeadlineMs_ = O.at("deadline_ms").to_number<std::int64_t>();
    R.ExpiresMs_ = O.at("expires_ms").to_number<std::int64_t>();
    if (const json::value *Answer = O.if_contains("answer"))
      R.Answer_ = answerFrom(Answer->as_object());
    return R;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string claimKey(const CallerRequest &R) {
  return "claim/" + R.Service_.str() + "/" + R.Customer_.str() + "/" +
         R.IdempotencyKey_;
}

std::string callHash(const CallerRequest &R) {
  return sha256(R.Method_ + "\n" + R.Target_ + "\n" + R.Body_);
}

ClaimVerdict claimVerdict(const CallerRequest &R, const ClaimRecord &Record,
                          std::int64_t NowMs, Duration ClockSlack) {
  if (Record.Call_ != callHash(R))
    return makeDenial(R, StatusUnprocessable, Outcome::NotRun, "key_reused",
                      "the idempotency key belongs to another call");
  if (Record.Phase_ == ClaimPhase::Answered && Record.Answer_) {
    if (Record.Answer_->HasBody_)
      return ClaimReplay{R.Id_, *Record.Answer_};
    return makeDenial(
        R, StatusGone, Outcome::Answered, "answer_not_kept",
        "the call was answered; its answer was too large to keep");
  }
  auto Slack = std::chrono::duration_cast<Milliseconds>(ClockSlack).count();
  bool InProgress = Record.Phase_ == ClaimPhase::Dispatched &&
                    NowMs <= Record.DeadlineMs_ + Slack;
  if (!InProgress)
    return makeDenial(R, StatusBadGateway, Outcome::Unknown, "outcome_unknown",
                      "the call may have run; its answer is not known");
  ClaimDenied D = makeDenial(R, StatusConflict, Outcome::Unknown, "in_progress",
                             "the call with this key is in progress");
  D.Problem_.RetryAfter_ = InProgressRetryAfter;
  return D;
}

} // namespace hawthornroad
