// When an engine may be taken out of service to load a new version, so that the
// others of its zone carry its requests meanwhile.
//
//   LoadTurn T({.Bound_ = Seconds(8), .Transfer_ = Seconds(3)});
//   unsigned W = T.wave(Self, ZoneMembers, Version);
//   TimePoint At = T.at(W, HeardAt);
//
// Every agent works it out alone from the zone's members, the version and the
// moment it heard of it, which differ little. The members are dealt into waves
// by a rendezvous hash that the version changes, so that no engine is always
// last. There are as many waves, up to MostWaves, as fit between the moment at
// which the first pieces can be whole and the last moment at which a load is
// through within the bound; a wave lasts WaveLeast at least. The more waves,
// the fewer engines are away at once; after the bound an old engine serves
// nobody, so waiting longer helps no caller.

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
    // From the order to its end.
    Duration LoadTime_ = Milliseconds(500);
    // What bringing the pieces to the first wave takes at least.
    Duration Transfer_ = Seconds(3);
    unsigned MostWaves_ = 5;
    Duration WaveLeast_ = Milliseconds(550);
  };

  explicit LoadTurn(Options O) : Options_(O) {}

  unsigned waves() const;
  // Which wave Self is in, counted from 0.
  unsigned wave(const std::string &Self,
                const std::vector<std::string> &ZoneMembers,
                const std::string &Version) const;
  // When a member of the wave gives its order, if its pieces are there.
  TimePoint at(unsigned Wave, TimePoint HeardAt) const;

private:
  Duration room() const;
  Options Options_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_LOADTURN_H
