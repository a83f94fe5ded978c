// The value types exchanged with RequestCore: the events it is given and the
// actions it returns.

#ifndef HAWTHORNROAD_ROUTING_REQUESTTYPES_H
#define HAWTHORNROAD_ROUTING_REQUESTTYPES_H

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornroad {

struct HeaderField {
  std::string Name_;
  std::string Value_;
  auto operator<=>(const HeaderField &) const = default;
};
using HeaderFields = std::vector<HeaderField>;

// A validated request of a caller. All of its attempts share it.
struct CallerRequest {
  RequestId Id_;
  Customer Customer_;
  ServiceName Service_;
  std::string Method_;
  // The path after /{service}, with the query string.
  std::string Target_;
  HeaderFields Headers_;
  std::string Body_;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  Priority Priority_ = Priority::Normal;
  // False when the caller or the declaration requires that the call runs at
  // most once.
  bool Repeatable_ = true;
  // Set for calls whose duplicates must be detected.
  std::string IdempotencyKey_;
  // Hash of the start of the prompt, for prefix affinity; 0 means no affinity.
  std::uint64_t PrefixHash_ = 0;
  bool operator==(const CallerRequest &) const = default;

  bool needsClaim() const { return !Repeatable_ && !IdempotencyKey_.empty(); }
};
using SharedRequest = std::shared_ptr<const CallerRequest>;

// The outcome of a request as reported to the caller.
enum class Outcome {
  Answered, // the complete answer of the endpoint was delivered
  NotRun,   // no byte of this request reached an engine or service
  Unknown   // it may have run, but there is no complete answer
};
std::string_view toString(Outcome O);

// A refusal or failure as reported to the caller.
struct Problem {
  unsigned Status_ = 503;
  Outcome Outcome_ = Outcome::NotRun;
  Step Step_ = Step::Admission;
  // The process or VM where the problem arose; empty for this entry.
  std::string Peer_;
  // A short, stable identifier, such as "queue_full" or "attempt_lost".
  std::string Cause_;
  std::string Detail_;
  // Zero when a retry would not help.
  Duration RetryAfter_ = Duration::zero();
  bool operator==(const Problem &) const = default;
};

// ---- Updates on an attempt, sent by its agent ----------------------------

// The agent process that sent the update. A restarted agent has no record of
// the attempts of its predecessor.
struct AttemptSource {
  AttemptId Attempt_;
  Incarnation Incarnation_ = 0;
};

struct AttemptAccepted {
  AttemptSource From_;
};
// The agent confirms that the attempt did not run and never will.
struct AttemptRefused {
  // The reason given by an endpoint that has no free slot.
  static constexpr std::string_view Overloaded = "overloaded";

  AttemptSource From_;
  std::string Reason_;
  Duration RetryAfter_ = Duration::zero();
};
struct AttemptHead {
  AttemptSource From_;
  unsigned Status_ = 200;
  HeaderFields Headers_;
  VersionDigest Version_;
};
struct AttemptData {
  AttemptSource From_;
  std::uint64_t Offset_ = 0;
  std::string Bytes_;
};
struct AttemptEnd {
  AttemptSource From_;
  std::uint64_t Length_ = 0;
  std::uint64_t Hash_ = 0;
};
struct AttemptFailed {
  AttemptSource From_;
  bool NotRun_ = false;
  std::string Step_;
  std::string Peer_;
  std::string Message_;
};
struct AttemptState {
  enum class Phase { NeverSeen, Running, Finished };
  AttemptSource From_;
  Phase Phase_ = Phase::NeverSeen;
};
using AttemptUpdate =
    std::variant<AttemptAccepted, AttemptRefused, AttemptHead, AttemptData,
                 AttemptEnd, AttemptFailed, AttemptState>;

// The connection to Address_, which carried attempts, was lost.
struct ConnectionLost {
  PeerAddress Address_;
  // It was never established, so nothing was sent on it.
  bool NeverConnected_ = false;
  // Attempts with a higher number had not been sent on it yet.
  std::uint64_t BegunUpTo_ = 0;
  std::string Message_;
};

// ---- Actions --------------------------------------------------------------

struct BeginAttempt {
  AttemptId Attempt_;
  // Increases over all attempts of this entry; see ConnectionLost.
  std::uint64_t Number_ = 0;
  PeerAddress Address_;
  SharedRequest Request_;
  VersionDigest Version_;
  Duration TimeLeft_ = Duration::zero();
  std::uint64_t ResumeEvents_ = 0;
};
struct CancelAttempt {
  AttemptId Attempt_;
  PeerAddress Address_;
};
struct QueryAttempt {
  AttemptId Attempt_;
  PeerAddress Address_;
  std::uint64_t Offset_ = 0;
  // Send the query over a newly opened connection.
  bool NewConnection_ = false;
};
struct AckAttempt {
  AttemptId Attempt_;
  PeerAddress Address_;
  std::uint64_t Offset_ = 0;
};
// A complete answer.
struct RespondWhole {
  RequestId Request_;
  unsigned Status_ = 200;
  HeaderFields Headers_;
  std::string Body_;
  VersionDigest Version_;
};
struct RespondProblem {
  RequestId Request_;
  Problem Problem_;
  VersionDigest Version_;
};
// A streamed answer: begin, bytes, then either finish or abort.
struct StreamBegin {
  RequestId Request_;
  unsigned Status_ = 200;
  HeaderFields Headers_;
  VersionDigest Version_;
};
struct StreamBytes {
  RequestId Request_;
  std::string Bytes_;
};
struct StreamFinish {
  RequestId Request_;
};
// Closes the caller's connection so that the body is seen to be truncated.
struct StreamAbort {
  RequestId Request_;
  Problem Problem_;
  // An event stream carries the problem as its last event.
  bool IsEvents_ = false;
};
struct StartClaim {
  SharedRequest Request_;
};
// A complete answer, stored so that repeats of a key can be served from it.
struct KeptAnswer {
  unsigned Status_ = 200;
  HeaderFields Headers_;
  std::string Body_;
  VersionDigest Version_;
  // False when the body was too large to store.
  bool HasBody_ = true;
  bool operator==(const KeptAnswer &) const = default;
};
// Reports the outcome of a claimed request.
struct SettleClaim {
  RequestId Request_;
  Outcome Outcome_ = Outcome::Unknown;
  std::optional<KeptAnswer> Answer_;
};
// The request has ended; feeds the access log and the metrics.
struct RequestDone {
  SharedRequest Request_;
  Outcome Outcome_ = Outcome::Unknown;
  unsigned Status_ = 0;
  std::string Cause_;
  unsigned Attempts_ = 0;
  Vm LastVm_;
  VersionDigest Version_;
  std::uint64_t Bytes_ = 0;
  bool CallerGone_ = false;
  Duration Queued_ = Duration::zero();
  std::optional<Duration> FirstByte_;
  Duration Total_ = Duration::zero();
};
using RequestAction =
    std::variant<BeginAttempt, CancelAttempt, QueryAttempt, AckAttempt,
                 RespondWhole, RespondProblem, StreamBegin, StreamBytes,
                 StreamFinish, StreamAbort, StartClaim, SettleClaim,
                 RequestDone>;

// The result of a claim, as reported to RequestCore.
struct ClaimWon {
  RequestId Request_;
};
struct ClaimReplay {
  RequestId Request_;
  KeptAnswer Answer_;
};
struct ClaimDenied {
  RequestId Request_;
  Problem Problem_;
};
using ClaimVerdict = std::variant<ClaimWon, ClaimReplay, ClaimDenied>;

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTTYPES_H
