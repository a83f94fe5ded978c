// Endpoints that asked this process to send them nothing, for a time or until
// they have left.
//
//   EndpointHolds H;
//   if (H.rest(Start, Now + RetryAfter)) log("rests longer than known");
//   if (H.leave(Start, Now)) log("leaves");
//   if (H.restsUntil(Start) > Now || H.isLeaving(Start)) sendElsewhere();
//   for (const EndpointStart &E : H.takeEnded(Now)) log("rest ended");
//
// An endpoint that turns a request away may ask for rest: of several requests
// the longest holds. One that leaves says so in its answers, seconds before the
// list of endpoints shows it. Both belong to one start of the endpoint, and
// outlive its row in the list: rows come and go with the store.
//
// No I/O, no clock, no threads. At most MaxKnown endpoints are remembered.

#ifndef HAWTHORNROAD_TRAFFIC_ENDPOINTHOLDS_H
#define HAWTHORNROAD_TRAFFIC_ENDPOINTHOLDS_H

#include "hawthornroad/traffic/StatedLimits.h"

#include <map>
#include <optional>
#include <vector>

namespace hawthornroad {

class EndpointHolds {
public:
  static constexpr std::size_t MaxKnown = 4096;
  // Leaving endpoints are forgotten after this time; they have ended by then.
  static constexpr Duration LeavingMemory = Seconds(600);

  // True when this is longer than what was known.
  bool rest(const EndpointStart &E, TimePoint Until);
  // True when it was not known.
  bool leave(const EndpointStart &E, TimePoint Now);
  // TimePoint() when it has not asked for rest.
  TimePoint restsUntil(const EndpointStart &E) const;
  bool isLeaving(const EndpointStart &E) const;
  // The endpoints whose rest has ended since the last call.
  std::vector<EndpointStart> takeEnded(TimePoint Now);

private:
  struct Hold {
    std::optional<TimePoint> RestsUntil_;
    std::optional<TimePoint> LeavingSince_;
  };
  Hold *entryFor(const EndpointStart &E);

  std::map<EndpointStart, Hold> Known_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ENDPOINTHOLDS_H
