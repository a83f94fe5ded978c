// Schedules when an engine is taken out of service to load a new version, so
// that the other engines of its zone can carry its requests meanwhile.
//
//   LoadSchedule T({.Bound_ = Seconds(8), .Transfer_ = Seconds(3)});
//   LoadPosition P = T.position(Self, ZoneMembers, Version);
//   TimePoint At = T.at(P, HeardAt);
//
// Each agent computes it independently from the zone's members, the version and
// the time it heard of the version, which differ little between agents. A
// rendezvous hash over the version orders the members, so that no engine is
// always last. The load times are spread evenly between the moment at which the
// first chunks can be complete and the last moment at which a load finishes
// within the bound. An engine is unavailable for 1.5 s: with a window of 6 s, a
// quarter of a zone's engines is unavailable at any moment. With five waves of
// which two overlap, it would be two fifths (both computed). After the bound an
// old engine may serve no requests, so waiting longer helps no caller.

#ifndef HAWTHORNROAD_STAGING_LOADSCHEDULE_H
#define HAWTHORNROAD_STAGING_LOADSCHEDULE_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

// Position of an engine in the load order of its zone.
struct LoadPosition {
  std::size_t Index_ = 0;
  std::size_t Members_ = 1;
  auto operator<=>(const LoadPosition &) const = default;
};

class LoadSchedule {
public:
  struct Options {
    Duration Bound_ = Seconds(8);
    // Time from the load order until the load has finished.
    Duration LoadTime_ = Milliseconds(500);
    // Minimum time to bring the pieces to the first engine.
    Duration Transfer_ = Seconds(3);
  };

  explicit LoadSchedule(Options O) : Options_(O) {}

  // Self may be missing from ZoneMembers: the list can be older than the
  // engine.
  LoadPosition position(const std::string &Self,
                        const std::vector<std::string> &ZoneMembers,
                        const std::string &Version) const;
  // When the member at P orders its load, if its pieces are staged.
  TimePoint at(const LoadPosition &P, TimePoint HeardAt) const;

private:
  // Time between the first and the last member's load.
  Duration loadWindow() const;

  Options Options_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_LOADSCHEDULE_H
