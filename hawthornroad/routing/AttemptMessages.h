// The events and actions of AttemptTable, the agent's side of a request, as
// value types independent of any transport.

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

// The connection from an entry; NoRequester when it is lost.
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

// The properties of an attempt that admission needs; the call itself is held by
// the runtime.
struct AttemptSpec {
  AttemptId Attempt_;
  RequestId Request_;
  ServiceName Service_;
  Customer Customer_;
  // The version the request is pinned to; empty means the one loaded.
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
  // The version the engine reports in its answer; empty when it reports none.
  VersionDigest Version_;
  bool operator==(const AnswerHead &) const = default;
};

// Why an accepted attempt has no complete answer.
struct AttemptFailure {
  // True only when nothing of the request ran.
  bool NotRun_ = false;
  Step Step_ = Step::Run;
  std::string Peer_;
  std::string Message_;
  bool operator==(const AttemptFailure &) const = default;
};

// The state of the endpoint that admission uses.
struct EndpointFacts {
  ServiceName Service_;
  bool IsModel_ = false;
  EndpointPhase Phase_ = EndpointPhase::Starting;
  VersionDigest Version_;
  // Attempts that run concurrently.
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
// A Begin dropped because a queue of the process was full: it is refused,
// unless the same attempt is already known.
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
// The run has ended: complete, or aborted with an error.
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
// Abort the run and tell the endpoint to stop working.
struct StopRun {
  AttemptId Attempt_;
  bool operator==(const StopRun &) const = default;
};
// Stop reading from the endpoint until ResumeRun.
struct PauseRun {
  AttemptId Attempt_;
  bool operator==(const PauseRun &) const = default;
};
struct ResumeRun {
  AttemptId Attempt_;
  bool operator==(const ResumeRun &) const = default;
};
// The answer's bytes before Offset_ have been freed, so as many more may be
// read.
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
// For logs and metrics: an accepted attempt has ended at the endpoint.
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
