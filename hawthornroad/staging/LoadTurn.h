// When an engine may be taken out of service to load a new version, so that the
// others of its zone carry its requests meanwhile.
//
//   LoadTurn T({.Bound_ = Seconds(8), .Transfer_ = Seconds(3)});
//   LoadPosition P = T.position(Self, ZoneMembers, Version);
//   TimePoint At = T.at(P, HeardAt);
//
// Every agent works it out alone from the zone's members, the version and the
// moment it heard of it, which differ little. A rendezvous hash that the
// version changes orders the members, so that no engine is always last. Their
// turns are spread evenly between the moment at which the first chunks can be
// whole and the last moment at which a load is through within the bound: an
// engine is away for 1.5 s, and of n in a zone with 6 s of room a quarter is
// away at any moment; dealt into five waves, two of which overlap, two fifths
// would be (both computed). After the bound an old engine serves nobody, so
// waiting longer helps no caller.

#ifndef HAWTHORNROAD_STAGING_LOADTURN_H
#define HAWTHORNROAD_STAGING_LOADTURN_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

// Of an engine in the order of its zone.
struct LoadPosition {
  std::size_t Index_ = 0;
  std::size_t Members_ = 1;
  auto operator<=>(const LoadPosition &) const = default;
};

class LoadTurn {
public:
  struct Options {
    Duration Bound_ = Seconds(8);
    // From the order to its end.
    Duration LoadTime_ = Milliseconds(500);
    // What bringing the pieces to the first engine takes at least.
    Duration Transfer_ = Seconds(3);
  };

  explicit LoadTurn(Options O) : Options_(O) {}

  // Self may be missing from ZoneMembers: the list can be older than it.
  LoadPosition position(const std::string &Self,
                        const std::vector<std::string> &ZoneMembers,
                        const std::string &Version) const;
  // When the member at P gives its order, if its pieces are there.
  TimePoint at(const LoadPosition &P, TimePoint HeardAt) const;

private:
  // Time between the first and the last member's turn.
  Duration room() const;

  Options Options_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_LOADTURN_H
