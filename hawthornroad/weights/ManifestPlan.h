// Where to look for a version's manifest next.
//
//   ManifestPlan P(Version, Self, Peers, Now);
//   if (auto From = P.next(Now, Random))     // an unset Vm is the origin
//     ask(*From);
//
// A manifest of tens of thousands of chunks is a few megabytes; read by each
// of hundreds of VMs it would be a noticeable share of the origin's link. So
// only the first Readers VMs of the rendezvous order go to the origin at once;
// the rest ask random peers, and go to the origin after a timeout.

#ifndef HAWTHORNROAD_WEIGHTS_MANIFESTPLAN_H
#define HAWTHORNROAD_WEIGHTS_MANIFESTPLAN_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

#include <optional>
#include <vector>

namespace hawthornroad {

class ManifestPlan {
public:
  static constexpr std::size_t Readers = 2;
  static constexpr Duration AskPeriod = Milliseconds(200);
  static constexpr Duration Timeout = Seconds(3);
  static constexpr Duration OriginPeriod = Seconds(5);

  ManifestPlan(const VersionDigest &Version, const Vm &Self,
               std::vector<Vm> Peers, TimePoint Now);

  // Whom to ask now, if anybody; an unset Vm stands for the origin.
  std::optional<Vm> next(TimePoint Now, Random &R);

private:
  std::vector<Vm> Peers_;
  TimePoint OriginAt_;
  TimePoint AskAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_MANIFESTPLAN_H
