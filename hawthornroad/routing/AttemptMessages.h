// What the agent's side of a request hears and says: the events and actions of
// AttemptTable, as value types free of any transport.

#ifndef HAWTHORNROAD_ROUTING_ATTEMPTMESSAGES_H
#define HAWTHORNROAD_ROUTING_ATTEMPTMESSAGES_H

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornroad {

// The connection on which an entry speaks; NoRequester when it is lost.
using RequesterId = std::uint64_t;
constexpr RequesterId NoRequester = 0;

// Why an attempt did not run; same order as wire::RefusalReason.
enum class AttemptRefusal : std::uint8_t {
  Draining,
  Overloaded,
  NotReady,
  WrongVersion,
  WrongService,
  DeadlineTooShort
};
std::string_view toString(AttemptRefusal R);

// Same order as wire::AttemptPhase.
enum class AttemptPhase : std::uint8_t { NeverSeen, Running, Finished };

// What admission needs to know of an attempt; the call itself stays with the
// runtime.
struct AttemptSpec {
  AttemptId Attempt_;
  RequestId Request_;
  ServiceName Service_;
  Customer Customer_;
  // The version the request is pinned to; empty takes the one loaded.
  VersionDigest Version_;
  Priority Priority_ = Priority::Normal;
  bool Repeatable_ = false;
  // Time left when the attempt arrived.
  Duration Deadline_ = Duration::zero();
  std::size_t BodyBytes_ = 0;
  bool operator==(const AttemptSpec &) const = default;
};

struct AnswerHeader {
  std::string Name_;
  std::string Value_;
  bool operator==(const AnswerHeader &) const = default;
};

struct AnswerHead {
  unsigned Status_ = 0;
  std::vector<AnswerHeader> Headers_;
  // The version the engine says it answered with; empty when it names none.
  VersionDigest Version_;
  bool operator==(const AnswerHead &) const = default;
};

// Why an accepted attempt has no whole answer.
struct AttemptFailure {
  // True only when nothing of the request ran.
  bool NotRun_ = false;
  Step Step_ = Step::Run;
  std::string Peer_;
  std::string Message_;
  bool operator==(const AttemptFailure &) const = default;
};

// The endpoint as admission sees it.
struct EndpointFacts {
  ServiceName Service_;
  bool IsModel_ = false;
  EndpointPhase Phase_ = EndpointPhase::Starting;
  VersionDigest Version_;
  // Attempts run at once.
  std::size_t Capacity_ = 1;
  // Shortest useful time: one step of the engine, one call of a service.
  Duration Step_ = Duration::zero();
  bool operator==(const EndpointFacts &) const = default;
};

// ---- Events ----------------------------------------------------------------

struct BeginReceived {
  AttemptSpec Spec_;
  RequesterId From_ = NoRequester;
};
// A Begin for which the process had no room: refuse it, unless its twin runs.
struct BeginDropped {
  AttemptId Attempt_;
  RequesterId From_ = NoRequester;
  // For the log.
  RequestId Request_;
};
struct QueryReceived {
  AttemptId Attempt_;
  std::uint64_t Offset_ = 0;
  RequesterId From_ = NoRequester;
};
struct AckReceived {
  AttemptId Attempt_;
  std::uint64_t Offset_ = 0;
};
struct CancelReceived {
  AttemptId Attempt_;
};
struct RequesterLost {
  RequesterId From_ = NoRequester;
};
struct HeadReceived {
  AttemptId Attempt_;
  AnswerHead Head_;
};
struct DataReceived {
  AttemptId Attempt_;
  std::string Bytes_;
};
// The run is over: whole, or broken off with an error.
struct RunEnded {
  AttemptId Attempt_;
  std::optional<Error> Error_;
  // Whether any byte of the request may have reached the endpoint.
  bool Sent_ = true;
};

// ---- Actions ---------------------------------------------------------------

struct StartRun {
  AttemptId Attempt_;
  bool operator==(const StartRun &) const = default;
};
// Break off the run at the endpoint and tell it to stop working.
struct StopRun {
  AttemptId Attempt_;
  bool operator==(const StopRun &) const = default;
};
// Take no more bytes from the endpoint, until ResumeRun.
struct PauseRun {
  AttemptId Attempt_;
  bool operator==(const PauseRun &) const = default;
};
struct ResumeRun {
  AttemptId Attempt_;
  bool operator==(const ResumeRun &) const = default;
};
// The answer's bytes before Offset_ are freed: that much more may be read.
struct ReleaseRun {
  AttemptId Attempt_;
  std::uint64_t Offset_;
  bool operator==(const ReleaseRun &) const = default;
};
struct SendAccepted {
  RequesterId To_;
  AttemptId Attempt_;
  bool operator==(const SendAccepted &) const = default;
};
struct SendRefused {
  RequesterId To_;
  AttemptId Attempt_;
  AttemptRefusal Reason_;
  Duration RetryAfter_;
  bool operator==(const SendRefused &) const = default;
};
struct SendState {
  RequesterId To_;
  AttemptId Attempt_;
  AttemptPhase Phase_;
  // Bytes of the body produced so far.
  std::uint64_t Offset_;
  bool operator==(const SendState &) const = default;
};
struct SendHead {
  RequesterId To_;
  AttemptId Attempt_;
  AnswerHead Head_;
  bool operator==(const SendHead &) const = default;
};
struct SendData {
  RequesterId To_;
  AttemptId Attempt_;
  std::uint64_t Offset_;
  std::string Bytes_;
  bool operator==(const SendData &) const = default;
};
struct SendEnd {
  RequesterId To_;
  AttemptId Attempt_;
  std::uint64_t Length_;
  std::uint64_t Hash_;
  bool operator==(const SendEnd &) const = default;
};
struct SendFailed {
  RequesterId To_;
  AttemptId Attempt_;
  AttemptFailure Failure_;
  bool operator==(const SendFailed &) const = default;
};
// For logs and metrics: an accepted attempt is over at the endpoint.
struct AttemptEnded {
  AttemptSpec Spec_;
  std::optional<AttemptFailure> Failure_;
  unsigned Status_ = 0;
  std::uint64_t Length_ = 0;
  Duration RunTime_ = Duration::zero();
  // From acceptance to the first byte of the body; nullopt without one.
  std::optional<Duration> FirstByte_;
  bool operator==(const AttemptEnded &) const = default;
};

using AttemptAction =
    std::variant<StartRun, StopRun, PauseRun, ResumeRun, ReleaseRun,
                 SendAccepted, SendRefused, SendState, SendHead, SendData,
                 SendEnd, SendFailed, AttemptEnded>;
using AttemptActions = std::vector<AttemptAction>;

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTMESSAGES_H
