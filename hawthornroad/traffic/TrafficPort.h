// What TrafficCore asks of its process, and what it reports for the log.
//
//   struct Port : TrafficPort {
//     void beginAttempt(AttemptNumber A, const Call &C, const AttemptParams &O)
//     override;
//     ...
//   };
//
// An action may report an event to the core from within: a caller found gone
// while it is answered, an attempt that fails while it is begun.

#ifndef HAWTHORNROAD_TRAFFIC_TRAFFICPORT_H
#define HAWTHORNROAD_TRAFFIC_TRAFFICPORT_H

#include "hawthornroad/staging/PlaceGrants.h"
#include "hawthornroad/traffic/Call.h"
#include "hawthornroad/traffic/ColdEndpoints.h"
#include "hawthornroad/traffic/ColdLimit.h"
#include "hawthornroad/traffic/CrashingParts.h"
#include "hawthornroad/traffic/Placement.h"
#include "hawthornroad/traffic/StatedLimits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

using AttemptNumber = std::uint64_t;

// Why a request was refused or failed, as named in the log and the metrics.
enum class Cause {
  None,
  NoConfiguration,
  ConfigBehind,
  NoRoute,
  NoKey,
  KeyLeaseOver,
  NoEndpoint,
  NoAllowedRegion,
  EndpointsHeld,
  LineFull,
  WaitedTooLong,
  DeadlinePassed,
  TurnedAway,
  AttemptLost,
  PromptBlocked,
  PartsUnknown,
  ProcessFull,
  Stopping
};
std::string_view toString(Cause C);

// Outcome of one request, for the log and the metrics.
struct CallReport {
  CallNumber Number_ = 0;
  std::string Id_;
  std::string Route_;
  Customer Customer_;
  // Priority, 0 is the most urgent; unset where all requests of the service
  // have the same one.
  std::optional<int> Rank_;
  // Treated as the most urgent, see ServedShare.
  bool IsOwed_ = false;
  unsigned Status_ = 0;
  Cause Cause_ = Cause::None;
  bool MayHaveRun_ = false;
  bool CallerGone_ = false;
  unsigned Attempts_ = 0;
  // Attempts that may have run, and as many as the route allows.
  unsigned Runs_ = 0;
  unsigned MaxRuns_ = 0;
  EndpointId LastEndpoint_;
  std::uint64_t ConfigVersion_ = 0;
  // Age of the last proof of the configuration when the request arrived.
  std::optional<Duration> ConfigAge_;
  std::uint64_t Events_ = 0;
  Duration Waited_ = Duration::zero();
  // Estimated time the caller had spent before the request arrived, see
  // CallerAge.
  Duration ElapsedBefore_ = Duration::zero();
  std::optional<Duration> FirstByte_;
  // The longest gap between two writes of a stream.
  Duration LongestGap_ = Duration::zero();
  Duration Total_ = Duration::zero();
};

// Beginning or end of an attempt, for the log.
struct AttemptReport {
  CallNumber Number_ = 0;
  std::string Id_;
  EndpointId Endpoint_;
  std::string Address_;
  // "begun", "turned_away", "failed", "cancelled", "ended"
  std::string_view Event_;
  std::string Reason_;
  bool MayHaveRun_ = false;
  unsigned Ordinal_ = 0;
  // Estimated state of the endpoint when it was chosen.
  Placement::View EndpointView_;
  Duration Took_ = Duration::zero();
  // Time since the endpoint's last byte, or since the attempt began.
  Duration SilentFor_ = Duration::zero();
  // Parts of the request's prompt that others may share.
  std::vector<PromptPart> Parts_ = {};
  // It was charged to the repeat budget.
  bool IsRepeat_ = false;
};

// This process ends an answer that its caller has received in part.
struct CutReport {
  CallNumber Number_ = 0;
  std::string Id_;
  Cause Cause_ = Cause::None;
  // The step that could not be taken, for example "no place in time".
  std::string_view Reason_;
  EndpointId LastEndpoint_;
  // What was last known of that endpoint, if it is still known.
  std::optional<Placement::View> EndpointView_;
  // Time since its last byte.
  Duration SilentFor_ = Duration::zero();
  std::uint64_t Events_ = 0;
  unsigned Attempts_ = 0;
  Duration Total_ = Duration::zero();
  Duration TimeLeft_ = Duration::zero();
};

// Where a process knows a rate limit from.
inline constexpr std::string_view AnswerSource = "answer";
inline constexpr std::string_view GranterSource = "granter";

// A change of the rate limit that an endpoint states, for the log.
struct LimitReport {
  EndpointId Endpoint_;
  std::optional<double> Previous_;
  std::optional<double> PerSecond_;
  // AnswerSource or GranterSource.
  std::string_view Source_;
  // Time since the statement was received first.
  Duration Age_ = Duration::zero();
};

// An endpoint asked this process to send it nothing, or its rest ended.
struct HoldReport {
  enum class Kind { Rests, RestEnded, Leaves };
  EndpointId Endpoint_;
  Kind Kind_ = Kind::Rests;
  Duration Rest_ = Duration::zero();
};

// The operators evacuated a zone, or ended its evacuation.
struct ZoneReport {
  AvailabilityZone Zone_;
  bool IsEvacuated_ = false;
  // How long it was evacuated.
  Duration Lasted_ = Duration::zero();
  // Endpoints listed there.
  std::size_t Endpoints_ = 0;
};

// What a request needs of an engine, see PlaceGrants.
struct PlaceDemand {
  PlaceKind Kind_ = PlaceKind::First;
  // Time to process its prompt, and a typical one of its service.
  Duration Reading_ = Duration::zero();
  Duration UsualReading_ = Duration::zero();
  // The engine's batch size as configured; 0: unknown.
  unsigned Places_ = 0;
  EndpointStart Endpoint_;
  // The endpoint's last statement of a rate limit, if any.
  std::optional<LimitStatement> Limit_;
  // Priority of the request, 0 is the most urgent; unset where all requests of
  // the service have the same one.
  std::optional<int> Rank_;
  // Its route or customer has been served less than its guaranteed share, so
  // the request is not held back for more urgent ones.
  bool IsOwed_ = false;
  // Limit while the endpoint is cold, if it is or may be.
  std::optional<ColdLimit> Cold_;
  bool operator==(const PlaceDemand &) const = default;
};

enum class AskResult {
  Sent,
  // This process has just started and has not heard from the agent yet, so it
  // does not know whether the engine serves.
  Connecting,
  NoAgent
};

// Actions and reports of TrafficCore.
class TrafficPort {
public:
  virtual ~TrafficPort() = default;
  // C lives until the attempt has ended or is cancelled.
  virtual void beginAttempt(AttemptNumber A, const Call &C,
                            const AttemptParams &O) = 0;
  // Asks the agent beside the endpoint for a place for an attempt that would
  // begin next. The reply is onPlaceReply().
  virtual AskResult askPlace(AttemptNumber A, const std::string &Address,
                             const PlaceDemand &D) {
    return AskResult::NoAgent;
  }
  // Asks for one request under the endpoint's rate limit, where its own agent
  // cannot be asked. The reply is onPlaceReply().
  virtual AskResult askLimit(AttemptNumber A, const std::string &Address,
                             const PlaceDemand &D) {
    return AskResult::NoAgent;
  }
  // Asks the endpoint for its health at Path. The answer is onHealth(), none is
  // onHealthFailed(); cancelAttempt() ends it. False when this process cannot.
  virtual bool checkHealth(AttemptNumber A, const Endpoint &E,
                           const std::string &Path) {
    return false;
  }
  // The known limit of an endpoint changed; tells who grants under it.
  virtual void shareLimit(const std::string &Address, const EndpointStart &E,
                          const LimitStatement &S) {}
  // What is known of prompt parts changed here; tells the other entries.
  virtual void shareParts(const std::vector<PartEvidence> &Parts) {}
  // No further events of the attempt are wanted.
  virtual void cancelAttempt(AttemptNumber A) = 0;
  // Called within onHead(): this answer is a late copy of an earlier one. Drops
  // it; the attempt goes on, and its own answer begins with another onHead().
  virtual void skipAnswer(AttemptNumber A) {}
  virtual void respond(CallNumber N, unsigned Status,
                       const HeaderFields &Fields, std::string Body) = 0;
  // A refusal or failure by this process; RetryAfter zero: no retry delay is
  // sent.
  virtual void refuse(CallNumber N, const Call &C, unsigned Status, Cause Why,
                      Duration RetryAfter) = 0;
  virtual void beginStream(CallNumber N, unsigned Status,
                           const HeaderFields &Fields) = 0;
  virtual void writeStream(CallNumber N, std::string_view Bytes) = 0;
  virtual void finishStream(CallNumber N) = 0;
  // The answer cannot be completed, and the caller must be able to see that.
  virtual void abortStream(CallNumber N) = 0;
  virtual void report(const CallReport &R) = 0;
  virtual void report(const AttemptReport &R) = 0;
  virtual void report(const CutReport &R) {}
  virtual void report(const LimitReport &R) {}
  virtual void report(const HoldReport &R) {}
  virtual void report(const ColdReport &R) {}
  virtual void report(const PartEvent &E) {}
  virtual void report(const ZoneReport &R) {}
};

// Requests at an engine, as reported by its agent.
struct EndpointLoad {
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  // See EndpointHead::Slowdown_.
  std::optional<double> Slowdown_;
};

// An agent's reply to askPlace().
struct PlaceReply {
  bool IsGranted_ = false;
  // The engine takes no new requests now.
  bool IsAway_ = false;
  EndpointLoad Load_;
  WeightVersion Version_ = 0;
  // Denied by the endpoint's rate limit: when to ask again; else zero.
  Duration LimitWait_ = Duration::zero();
  // What the granter knows of the limit, if it was ever stated.
  std::optional<LimitStatement> Limit_;
  // Limit while the endpoint is cold, as the granter knows it.
  std::optional<ColdLimit> Cold_;
  // See EndpointHead::Slowdown_.
  std::optional<double> Slowdown_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_TRAFFICPORT_H
