// Internal state of TrafficCore, shared by its source files:
//
//   TrafficCore.cpp      configuration and endpoints, completion, timers
//   TrafficArrival.cpp   admission, queues, the choice of an endpoint
//   TrafficPlaces.cpp    queries for places and for grants under rate limits
//   TrafficHealth.cpp    health checks of endpoints that may become cold
//   TrafficZones.cpp     allowed regions, evacuated zones
//   TrafficAttempts.cpp  endpoints' answers and how they are handled
//   TrafficBuffers.cpp   what is held for requests, and its limits
//   TrafficVersions.cpp  weight versions that requests require
//   TrafficCrashes.cpp   endpoints that crash, and prompt parts that crash them

#ifndef HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H
#define HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H

#include "hawthornroad/traffic/Overload.h"
#include "hawthornroad/traffic/RequestPriority.h"
#include "hawthornroad/traffic/ServedShare.h"
#include "hawthornroad/traffic/TrafficCore.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hawthornroad {

// Jitter of retry delays, so that refused callers do not return all at once.
inline constexpr double RetryAfterSpread = 0.35;

namespace status {
inline constexpr unsigned Ok = 200;
inline constexpr unsigned FirstRedirect = 300;
inline constexpr unsigned Unauthorized = 401;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned TooManyRequests = 429;
inline constexpr unsigned FirstServerError = 500;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned Unavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;
} // namespace status

// One try of a request at one endpoint.
struct TrafficCore::Attempt {
  // 0: none, or it has ended.
  AttemptNumber Number_ = 0;
  EndpointId At_;
  std::string Address_;
  // Start time of the endpoint, see Endpoint.
  std::uint64_t Born_ = 0;
  unsigned Ordinal_ = 0;
  TimePoint BegunAt_;
  // When its endpoint last sent anything, not counting pauses of this process.
  TimePoint LastReceivedAt_;
  Placement::View EndpointView_;
  // It was charged as a repeat.
  bool TookRepeat_ = false;
  // Late copies of other answers that were skipped.
  unsigned Skipped_ = 0;
  bool HasHead_ = false;
  TimePoint HeadAt_;
  // From the head to the last byte of its answer.
  Duration WrittenFor_ = Duration::zero();
  // A byte of its answer's body has arrived.
  bool HasBody_ = false;
  bool FirstByteReported_ = false;
  EndpointHead Head_;
  std::string Body_;
  // Bytes of a refusal's body, which is not kept.
  std::size_t Discarded_ = 0;
  // Since when the port does not read its answer.
  std::optional<TimePoint> PausedAt_;
  bool IsEvents_ = false;
  // The endpoint's silence was reported to Placement.
  bool IsSilenceNoted_ = false;
  // Counted in Record::Runs_.
  bool IsRunCounted_ = false;
  // Of a silent attempt: its own copy, since its replacement uses the
  // request's.
  std::optional<EventRelay> Relay_;

  bool isRunning() const { return Number_ != 0; }
  // It may be on its way to its endpoint.
  bool mayStillArrive() const { return isRunning() && !HasHead_; }
};

struct TrafficCore::Record {
  CallNumber Number_ = 0;
  Call Call_;
  // Keeps Route_ alive.
  SharedConfig Config_;
  std::optional<Duration> ConfigAge_;
  const Route *Route_ = nullptr;
  ServiceName Service_;
  Customer Customer_;
  // Priority among requests of its service, and the one that decides its class
  // in the queue; see RoutingConfig::priorityLevel().
  int Rank_ = 1;
  int QueueRank_ = 1;
  // The regions allowed by the configuration that was the ScopedAt_-th.
  RegionScope Scope_;
  std::uint64_t ScopedAt_ = 0;
  // Requests of its service may have different priorities.
  bool IsPrioritized_ = false;
  // Treated as the most urgent, see ServedShare.
  bool IsOwed_ = false;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;

  // Estimated time the caller had spent before the request arrived.
  Duration ElapsedBefore_ = Duration::zero();
  // It arrived too late to be answered in time, and has not been sent yet.
  bool IsLate_ = false;

  bool IsQueued_ = false;
  // Set from its first wait for a place until an attempt begins.
  std::optional<TimePoint> QueuedAt_;
  Duration Waited_ = Duration::zero();
  FairQueue::Item Item_;

  // The pending place query; 0: none.
  AttemptNumber Asking_ = 0;
  EndpointId AskedOf_;
  TimePoint AskSentAt_;
  // The same, not counting pauses of this process.
  TimePoint AskedAt_;
  // It asks for a request under a rate limit, not for a place.
  bool AsksOnlyLimit_ = false;
  // See Ask::StatesCold_.
  bool AsksCold_ = false;
  // It waits for a health answer, not for a reply of an agent.
  bool AwaitsHealthCheck_ = false;
  // Place queries that were denied because the endpoint is cold, since it was
  // last queued.
  unsigned ColdDenials_ = 0;
  // Place queries since it was last queued.
  unsigned Asks_ = 0;

  // The attempt whose answer is forwarded.
  Attempt Current_;
  // An attempt whose endpoint has been silent and that Current_ is to replace.
  // It still runs: whichever sends the next event, or a whole answer, first is
  // kept.
  std::optional<Attempt> Silent_;
  // When a replacement is looked for again.
  TimePoint NextReplacementAt_;

  unsigned Attempts_ = 0;
  std::set<EndpointId> Tried_;
  // Where it may have run, once for each attempt: repeats at the only endpoint
  // left would have no limit but the repeat budget otherwise.
  std::vector<EndpointUse> Runs_;
  bool MayHaveRun_ = false;
  // IsNoted_: counted by the repeat budget. HasArrived_: an attempt has been
  // sent.
  bool IsNoted_ = false;
  bool HasArrived_ = false;
  // Its repeats that are outstanding in the repeat budget, and its attempts
  // that were given up and may still arrive.
  unsigned Outstanding_ = 0;
  std::vector<AbandonedAttempt> Abandoned_;
  // A failure answered by an endpoint, returned to the caller if no other
  // answer follows.
  std::optional<EndpointHead> Fallback_;
  std::string FallbackBody_;

  // The stream to the caller has begun.
  bool IsStreaming_ = false;
  std::optional<EventRelay> Relay_;
  std::optional<TimePoint> FirstByteAt_;
  TimePoint LastByteAt_;
  // Pauses of this process since then, see TrafficCore::notePause().
  Duration PausedSinceByte_ = Duration::zero();
  Duration LongestGap_ = Duration::zero();

  unsigned Status_ = 0;
  Cause Cause_ = Cause::None;
  bool CallerGone_ = false;
  bool IsDone_ = false;

  void countRun(Attempt &T) {
    if (!std::exchange(T.IsRunCounted_, true))
      Runs_.push_back({T.At_, T.Born_, T.Address_, T.BegunAt_});
  }
  bool mayRepeat() const {
    return !MayHaveRun_ || Route_->Repeat_ != Repeat::Never;
  }
};

struct TrafficCore::ServiceQueue {
  FairQueue Queue_;
  Overload Overload_;
  // Used where priorities differ.
  RankOverload RankOverload_;
  ServedShare Shares_;
  // Completion times of the last requests, oldest first.
  std::deque<TimePoint> Ends_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H
