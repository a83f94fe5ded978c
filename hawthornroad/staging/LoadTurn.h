// When an engine may be taken out of service to load a new version, so that the
// others of its zone carry its requests meanwhile.
//
//   LoadTurn T({.Bound_ = Seconds(8)});
//   TimePoint At = T.at(Self, ZoneMembers, Version, HeardAt, Now);
//
// Every agent works it out alone from the zone's members, the version and the
// moment it heard of it, which differ little. The members are dealt into Waves
// by a rendezvous hash that the version changes, so that no engine is always
// last. The first wave begins at once, each next one WaveGap later: an engine
// that loads lets its running requests end (two seconds) and then takes the
// load itself (a third of one). The last wave begins early enough to be through
// at the bound: from then on an old engine serves nobody, so there is no reason
// to wait longer.
//
// Where a transfer takes most of the bound, the waves lie close together: it is
// better to have all serve late in the bound than some not at all after it.

#ifndef HAWTHORNROAD_STAGING_LOADTURN_H
#define HAWTHORNROAD_STAGING_LOADTURN_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

class LoadTurn {
public:
  struct Options {
    Duration Bound_ = Seconds(8);
    // What a load takes: the rest of the running requests, then the load.
    Duration LoadTime_ = Milliseconds(2200);
    // When the pieces can be expected to lie at every engine.
    Duration FirstAt_ = Milliseconds(3500);
    unsigned Waves_ = 2;
  };

  explicit LoadTurn(Options O) : Options_(O) {}

  // The moment from which on Self may load.
  TimePoint at(const std::string &Self, const std::vector<std::string> &Members,
               const std::string &Version, TimePoint HeardAt) const;

private:
  Options Options_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_LOADTURN_H
