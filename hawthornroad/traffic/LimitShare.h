// One entry's share of a stated rate limit while no granter answers.
//
//   LimitShare S({}, Random(Seed));
//   TimePoint Next = S.nextAt(Start, Limit, Now);
//   if (Next <= Now) { S.take(Start, Limit, Now); send(); }
//
// Without a granter (LimitGrants) entries cannot add up what they send, so each
// sends one request in a span that grows with the number of entries. The spans
// begin at random, and a request that is not sent within Open_ of its time is
// forfeited: after a pause all entries would send theirs at once otherwise.
//
// No I/O, no clock, no threads. Memory: the endpoints that have a limit.

#ifndef HAWTHORNROAD_TRAFFIC_LIMITSHARE_H
#define HAWTHORNROAD_TRAFFIC_LIMITSHARE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/traffic/StatedLimits.h"

#include <map>

namespace hawthornroad {

class LimitShare {
public:
  struct Options {
    // Number of entries assumed to share a limit.
    unsigned Entries_ = 300;
    // Share of the limit that all entries use together.
    double Share_ = 0.5;
    // Assumed limit where less is stated, requests a second.
    double MinPerSecond_ = 0.1;
    // How long a request may be sent after its time.
    Duration Open_ = Milliseconds(500);
  };

  LimitShare(Options O, Random R) : Options_(O), Random_(R) {}

  // When the next request may be sent; not after Now if it may be sent now.
  TimePoint nextAt(const EndpointStart &E, double PerSecond, TimePoint Now);
  void take(const EndpointStart &E, double PerSecond, TimePoint Now);

private:
  Duration span(double PerSecond) const;
  Duration randomPart(Duration Span);

  Options Options_;
  Random Random_;
  std::map<EndpointStart, TimePoint> NextAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_LIMITSHARE_H
