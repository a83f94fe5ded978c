#include "hawthornroad/peers/AttemptCodec.h"

#include "hawthornroad/peers/WireCodec.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hawthornroad {

namespace {
constexpr std::array<const char *, 6> ReasonNames = {
    "draining",      "overloaded",    "not_ready",
    "wrong_version", "wrong_service", "deadline_too_short"};

std::string reasonName(wire::RefusalReason Reason) {
  auto Index = static_cast<std::size_t>(Reason);
  return Index < ReasonNames.size() ? ReasonNames[Index] : "refused";
}

HeaderFields
fromWire(const std::vector<std::unique_ptr<wire::HeaderT>> &Headers) {
  HeaderFields Out;
  for (const auto &Each : Headers)
    Out.push_back({Each->name, Each->value});
  return Out;
}

std::uint32_t wholeMilliseconds(Duration D) {
  auto Ms = std::chrono::duration_cast<Milliseconds>(D).count();
  constexpr std::int64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Ms, 0, Max));
}

template <class MessageT>
AttemptSource source(const MessageT &M, Incarnation From) {
  return {idFromWire<AttemptId>(M.attempt.get()), From};
}

AttemptState::Phase phaseOf(wire::AttemptPhase P) {
  switch (P) {
  case wire::AttemptPhase::NeverSeen:
    return AttemptState::Phase::NeverSeen;
  case wire::AttemptPhase::Finished:
    return AttemptState::Phase::Finished;
  default:
    return AttemptState::Phase::Running;
  }
}
} // namespace

FrameBuffer toFrame(const BeginAttempt &B) {
  const CallerRequest &R = *B.Request_;
  wire::AttemptBeginT M;
  M.attempt = toWire(B.Attempt_);
  M.request = toWire(R.Id_);
  M.service = R.Service_.str();
  M.customer = R.Customer_.str();
  M.version = B.Version_.str();
  M.method = R.Method_;
  M.target = R.Target_;
  for (const HeaderField &Each : R.Headers_) {
    auto Header = std::make_unique<wire::HeaderT>();
    Header->name = Each.Name_;
    Header->value = Each.Value_;
    M.headers.push_back(std::move(Header));
  }
  M.body.assign(R.Body_.begin(), R.Body_.end());
  M.deadline_ms = wholeMilliseconds(B.TimeLeft_);
  M.priority = static_cast<std::uint8_t>(R.Priority_);
  M.repeatable = R.Repeatable_;
  M.idempotency_key = R.IdempotencyKey_;
  M.resume_events = B.ResumeEvents_;
  return makeFrame(std::move(M));
}

FrameBuffer toFrame(const CancelAttempt &C) {
  wire::AttemptCancelT M;
  M.attempt = toWire(C.Attempt_);
  return makeFrame(std::move(M));
}

FrameBuffer toFrame(const QueryAttempt &A) {
  wire::AttemptQueryT M;
  M.attempt = toWire(A.Attempt_);
  M.offset = A.Offset_;
  return makeFrame(std::move(M));
}

FrameBuffer toFrame(const AckAttempt &A) {
  wire::AttemptAckT M;
  M.attempt = toWire(A.Attempt_);
  M.offset = A.Offset_;
  return makeFrame(std::move(M));
}

std::optional<AttemptUpdate> toAttemptUpdate(const wire::FrameT &Frame,
                                             Incarnation From) {
  const wire::BodyUnion &Body = Frame.body;
  if (const auto *M = Body.AsAttemptAccepted())
    return AttemptAccepted{source(*M, From)};
  if (const auto *M = Body.AsAttemptRefused())
    return AttemptRefused{source(*M, From), reasonName(M->reason),
                          Milliseconds(M->retry_after_ms)};
  if (const auto *M = Body.AsAttemptHead())
    return AttemptHead{source(*M, From), M->status, fromWire(M->headers),
                       VersionDigest(M->version)};
  if (const auto *M = Body.AsAttemptData())
    return AttemptData{source(*M, From), M->offset,
                       std::string(M->bytes.begin(), M->bytes.end())};
  if (const auto *M = Body.AsAttemptEnd())
    return AttemptEnd{source(*M, From), M->length, M->hash};
  if (const auto *M = Body.AsAttemptFailed())
    return AttemptFailed{source(*M, From), M->not_run, M->step, M->peer,
                         M->message};
  if (const auto *M = Body.AsAttemptState())
    return AttemptState{source(*M, From), phaseOf(M->phase)};
  return std::nullopt;
}

} // namespace hawthornroad
