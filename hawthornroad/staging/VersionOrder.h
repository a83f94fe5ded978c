// Decides which of two versions a VM brings to its engine first.
//
//   PendingVersion Current{.NeededBy_ = Bound2, .Remaining_ =
//   Milliseconds(90)}; PendingVersion Next{.NeededBy_ = Bound3, .Remaining_ =
//   Seconds(5)}; if (overtakes(Next, Current, Now)) abandon(Current);
//
// From a version's bound on, no request may begin on an older one, so a fleet
// without that version serves nobody. The order with the shorter time without a
// usable version is preferred. A version that misses its bound by a few pieces
// is still worth completing: it serves until the bound of the next one, which
// takes seconds to transfer.
//
// Load pattern: two versions published within seconds, and an origin that was
// away shortly before the first one's bound.
//
// No I/O, no clock.

#ifndef HAWTHORNROAD_STAGING_VERSIONORDER_H
#define HAWTHORNROAD_STAGING_VERSIONORDER_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

// A version whose pieces are being transferred.
struct PendingVersion {
  // From then on, no request may begin on an older version.
  TimePoint NeededBy_;
  // Expected time until its missing pieces have arrived, if no other version
  // uses the links meanwhile.
  Duration Remaining_ = Duration::zero();
  bool operator==(const PendingVersion &) const = default;
};

// Whether transferring Next at once leaves less time without a usable version
// than completing Current before it. Next was published later, so its bound is
// the later one.
bool overtakes(const PendingVersion &Next, const PendingVersion &Current,
               TimePoint Now);

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_VERSIONORDER_H
