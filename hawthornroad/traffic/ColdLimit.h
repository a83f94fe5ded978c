// Limit on the requests that a cold endpoint receives from all processes
// together.
//
//   ColdLimit L{.PerSecond_ = 15, .Arrivals_ = 27, .Left_ = Seconds(2)};

#ifndef HAWTHORNROAD_TRAFFIC_COLDLIMIT_H
#define HAWTHORNROAD_TRAFFIC_COLDLIMIT_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

struct ColdLimit {
  // Requests a second that the endpoint bears while it is cold.
  double PerSecond_ = 0;
  // Most requests that may arrive in any one second.
  double Arrivals_ = 0;
  // How long it stays cold.
  Duration Left_ = Duration::zero();
  bool operator==(const ColdLimit &) const = default;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_COLDLIMIT_H
