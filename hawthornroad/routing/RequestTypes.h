// The typed events and actions of the request path: what RequestCore is told
// and what it asks for. All are plain values.

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

// One request as the caller sent it, checked for form. Shared by all attempts.
struct CallerRequest {
  RequestId Id_;
  Customer Customer_;
  ServiceName Service_;
  std::string Method_;
  // What follows /{service}, with the query.
  std::string Target_;
  HeaderFields Headers_;
  std::string Body_;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  Priority Priority_ = Priority::Normal;
  // False when the caller or the declaration says it must run at most once.
  bool Repeatable_ = true;
  // Set for calls whose repeats must be recognised.
  std::string IdempotencyKey_;
  // Hash of the prompt's leading part; 0 means no affinity.
  std::uint64_t PrefixHash_ = 0;
  bool operator==(const CallerRequest &) const = default;

  bool needsClaim() const { return !Repeatable_ && !IdempotencyKey_.empty(); }
};
using SharedRequest = std::shared_ptr<const CallerRequest>;

// What the caller is told became of its request.
enum class Outcome {
  Answered, // here is the answer of the endpoint, whole
  NotRun,   // no byte of this request reached an engine or service
  Unknown   // it may have run; there is no whole answer
};
std::string_view toString(Outcome O);

// A refusal or failure as told to the caller.
struct Problem {
  unsigned Status_ = 503;
  Outcome Outcome_ = Outcome::NotRun;
  Step Step_ = Step::Admission;
  // The process or VM at which it arose; empty when it is this entry.
  std::string Peer_;
  // A short stable name: "queue_full", "attempt_lost".
  std::string Cause_;
  std::string Detail_;
  // Zero when coming back would not help.
  Duration RetryAfter_ = Duration::zero();
  bool operator==(const Problem &) const = default;
};

// ---- Word of an attempt, from its agent ----------------------------------

// Which agent process said it; a restarted agent knows nothing of attempts of
// the one before.
struct AttemptSource {
  AttemptId Attempt_;
  Incarnation Incarnation_ = 0;
};

struct AttemptAccepted {
  AttemptSource From_;
};
// The agent's own statement that the attempt did not run and will not.
struct AttemptRefused {
  // The reason of an endpoint whose places are all taken.
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
using AttemptWord =
    std::variant<AttemptAccepted, AttemptRefused, AttemptHead, AttemptData,
                 AttemptEnd, AttemptFailed, AttemptState>;

// The connection that carried attempts to Address_ is gone.
struct ConnectionLost {
  PeerAddress Address_;
  // It never came to be: nothing was sent on it.
  bool NeverConnected_ = false;
  // Attempts begun with a higher number were not yet on it.
  std::uint64_t BegunUpTo_ = 0;
  std::string Message_;
};

// ---- Actions --------------------------------------------------------------

struct BeginAttempt {
  AttemptId Attempt_;
  // Counts up over all attempts of this entry; see ConnectionLost.
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
struct AskAttempt {
  AttemptId Attempt_;
  PeerAddress Address_;
  std::uint64_t Offset_ = 0;
  // Over a connection dialled anew.
  bool Fresh_ = false;
};
struct AckAttempt {
  AttemptId Attempt_;
  PeerAddress Address_;
  std::uint64_t Offset_ = 0;
};
// A whole answer.
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
// A streamed answer: begin, bytes, then finish or abort.
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
// Ends the caller's connection so that the body is seen to be not whole.
struct StreamAbort {
  RequestId Request_;
  Problem Problem_;
  // An event stream gets the problem as its last event.
  bool IsEvents_ = false;
};
struct StartClaim {
  SharedRequest Request_;
};
// A whole answer as kept for repeats of a key.
struct KeptAnswer {
  unsigned Status_ = 200;
  HeaderFields Headers_;
  std::string Body_;
  VersionDigest Version_;
  // False when the body was too large to be kept.
  bool HasBody_ = true;
  bool operator==(const KeptAnswer &) const = default;
};
// Says what became of a claimed request.
struct SettleClaim {
  RequestId Request_;
  Outcome Outcome_ = Outcome::Unknown;
  std::optional<KeptAnswer> Answer_;
};
// The request is over: for the access log and the metrics.
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
  Duration Whole_ = Duration::zero();
};
using RequestAction =
    std::variant<BeginAttempt, CancelAttempt, AskAttempt, AckAttempt,
                 RespondWhole, RespondProblem, StreamBegin, StreamBytes,
                 StreamFinish, StreamAbort, StartClaim, SettleClaim,
                 RequestDone>;

// How a claim ended, as told to RequestCore.
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
using ClaimWord = std::variant<ClaimWon, ClaimReplay, ClaimDenied>;

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTTYPES_H
