// Spreads the Retry-After times of refused callers, so that they do not all
// return at the same moment.
//
//   RetryAfterTimes T;
//   Answer.RetryAfter_ = T.next({.Backlog_ = 40, .PerSecond_ = 20}, Rng, Now);
//
// Each refused caller gets a position in a virtual queue behind the real
// one: a thousand callers refused in one instant by a service that serves a
// hundred a second are asked back over ten seconds, not all when the backlog
// has cleared. The virtual queue drains at the service's rate.
// On top, each time is jittered by up to half.
//
// Limits: between MinRetryAfter and MaxRetryAfter, whatever the backlog.

#ifndef HAWTHORNROAD_ROUTING_RETRYAFTERTIMES_H
#define HAWTHORNROAD_ROUTING_RETRYAFTERTIMES_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

namespace hawthornroad {

class RetryAfterTimes {
public:
  static constexpr Duration MinRetryAfter = Milliseconds(200);
  static constexpr Duration MaxRetryAfter = Seconds(30);

  struct Pace {
    // Requests that wait now.
    double Backlog_ = 0;
    // Requests handled per second; 0 when unknown.
    double PerSecond_ = 0;
  };

  Duration next(const Pace &P, Random &Rng, TimePoint Now);

private:
  // Refused callers that are not due to retry yet.
  double PendingCallers_ = 0;
  TimePoint Updated_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_RETRYAFTERTIMES_H
