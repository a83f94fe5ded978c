// When refused callers should come back, so that they do not do so together.
//
//   ReturnTimes T;
//   Answer.RetryAfter_ = T.next({.Backlog_ = 40, .PerSecond_ = 20}, Rng, Now);
//
// Every refused caller is sent to a place in an imagined queue behind the real
// one: a thousand callers refused in one instant by a service that serves a
// hundred a second are asked back over ten seconds, not all when the backlog
// that refused them is gone. The imagined queue drains at the service's rate.
// On top, each time is jittered by up to half.
//
// Bounds: between Least and Most, whatever the backlog.

#ifndef HAWTHORNROAD_ROUTING_RETURNTIMES_H
#define HAWTHORNROAD_ROUTING_RETURNTIMES_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

namespace hawthornroad {

class ReturnTimes {
public:
  static constexpr Duration Least = Milliseconds(200);
  static constexpr Duration Most = Seconds(30);

  struct Pace {
    // Requests that wait now.
    double Backlog_ = 0;
    // Places a second; 0 when unknown.
    double PerSecond_ = 0;
  };

  Duration next(const Pace &P, Random &Rng, TimePoint Now);

private:
  // Callers sent away who are not due back yet.
  double Away_ = 0;
  TimePoint Updated_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_RETURNTIMES_H
