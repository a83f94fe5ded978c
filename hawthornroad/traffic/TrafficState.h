// The inside of TrafficCore, shared by its parts:
//
//   TrafficCore.cpp      what is known, ends of requests, time
//   TrafficArrival.cpp   admission, lines, the choice of an endpoint
//   TrafficAttempts.cpp  what endpoints answer, and what follows

#ifndef HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H
#define HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H

#include "hawthornroad/traffic/Overload.h"
#include "hawthornroad/traffic/TrafficCore.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace hawthornroad {

namespace status {
inline constexpr unsigned Ok = 200;
inline constexpr unsigned FirstRedirect = 300;
inline constexpr unsigned Unauthorized = 401;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned FirstServerError = 500;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned Unavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;
} // namespace status

struct TrafficCore::Record {
  CallNumber Number_ = 0;
  Call Call_;
  // Keeps Route_ alive.
  SharedConfig Config_;
  std::optional<Duration> ConfigAge_;
  const Route *Route_ = nullptr;
  ServiceName Service_;
  Customer Customer_;
  int Rank_ = 1;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;

  // What of its caller's time had gone when it came.
  Duration Gone_ = Duration::zero();
  // It came too late to be answered in time, and has been sent nowhere yet.
  bool IsLate_ = false;

  bool IsInLine_ = false;
  // Set from its first wait for a place until an attempt begins.
  std::optional<TimePoint> LineSince_;
  Duration Waited_ = Duration::zero();
  FairQueue::Item Item_;

  // The place that is being asked for; 0: none.
  AttemptNumber Asking_ = 0;
  EndpointId AskedOf_;
  TimePoint AskedAt_;
  // Questions since it last waited.
  unsigned Asks_ = 0;

  // The attempt under way; 0: none.
  AttemptNumber Attempt_ = 0;
  EndpointId At_;
  std::string Address_;
  // The endpoint's start, see Endpoint.
  std::uint64_t Born_ = 0;
  TimePoint BegunAt_;
  TimePoint HeardAt_;
  Placement::View Belief_;
  bool HasHead_ = false;
  bool FirstByteTold_ = false;
  EndpointHead Head_;
  std::string Body_;
  bool IsEvents_ = false;

  unsigned Attempts_ = 0;
  std::set<EndpointId> Tried_;
  // Endpoints at which it may have run.
  std::set<EndpointId> RanAt_;
  bool MayHaveRun_ = false;
  // Counted by the repeat budget; an attempt has been sent; the attempt under
  // way was paid for as a repeat.
  bool IsNoted_ = false;
  bool HasArrived_ = false;
  bool TookRepeat_ = false;
  // An endpoint's own failure, given to the caller if nothing better comes.
  std::optional<EndpointHead> Fallback_;
  std::string FallbackBody_;

  // The caller's stream has begun.
  bool IsStreaming_ = false;
  std::optional<EventRelay> Relay_;
  WeightVersion Version_ = 0;
  std::optional<TimePoint> FirstByteAt_;
  TimePoint LastByteAt_;
  Duration LongestGap_ = Duration::zero();

  unsigned Status_ = 0;
  Cause Cause_ = Cause::None;
  bool CallerGone_ = false;
  bool IsDone_ = false;

  bool mayRepeat() const {
    return !MayHaveRun_ || Route_->Repeat_ != Repeat::Never;
  }
};

struct TrafficCore::Line {
  FairQueue Queue_;
  Overload Overload_;
  // When the last requests ended, oldest first.
  std::deque<TimePoint> Ends_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_TRAFFICSTATE_H
