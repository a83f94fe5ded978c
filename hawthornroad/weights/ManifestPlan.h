// Selects the next source to ask for a version's manifest.
//
//   ManifestPlan P(Version, Self, Peers, Now);
//   if (auto From = P.next(Now, Random))     // an unset Vm is the origin
//     ask(*From);
//
// A manifest of tens of thousands of chunks takes a few megabytes; if each of
// hundreds of VMs read it, it would use a noticeable share of the origin's
// link. So only the first Readers VMs in rendezvous order read the origin
// immediately; the others ask random peers, and read the origin after Timeout.

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

  // Returns the source to ask now, if any; an unset Vm stands for the origin.
  std::optional<Vm> next(TimePoint Now, Random &R);

private:
  std::vector<Vm> Peers_;
  TimePoint OriginReadAt_;
  TimePoint NextAskAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_MANIFESTPLAN_H
