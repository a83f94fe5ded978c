// Rates and bursts of those who grant requests to a cold endpoint.
//
//   ColdRate R = coldRate(Arrivals, GranterRole::Beside);   // a token bucket
//   double All = coldShareRate(Arrivals);   // of all entries without a granter
//
// At most Arrivals requests may reach a cold endpoint in any one second. As
// with stated rate limits (LimitGrants), entries may use two granters at once:
// the agent beside the engine and its substitute, or two chosen ones. Entries
// that reach no granter use shares of their own besides. A grant is used up to
// LimitGrants::MaxGrantAge after it was asked for, so with
// T = 1 s + LimitGrants::MaxGrantAge
//   T * (Beside + Substitute rates) + both bursts + T * shares <= Arrivals
//   T * (Chosen + Chosen rates)     + both bursts + T * shares <= Arrivals
//
// Each role has a part of Arrivals for T. A bucket grants nothing with a burst
// below one request, so a role whose part is not above that grants nothing at
// all: a substitute with Arrivals below 8.4, a chosen granter below 2.2.
//
// No state.

#ifndef HAWTHORNROAD_TRAFFIC_COLDFIGURES_H
#define HAWTHORNROAD_TRAFFIC_COLDFIGURES_H

#include "hawthornroad/traffic/LimitGrants.h"

namespace hawthornroad {

struct ColdRate {
  // Requests a second; zero when nothing is granted.
  double PerSecond_ = 0;
  double Burst_ = 0;
};

// In which grants may be given that are used within one second.
inline constexpr Duration ColdWindow = Seconds(1) + LimitGrants::MaxGrantAge;

ColdRate coldRate(double Arrivals, GranterRole Role);
// Requests a second of all entries together that reach no granter.
double coldShareRate(double Arrivals);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_COLDFIGURES_H
