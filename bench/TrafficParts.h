// The configurations that TrafficBench compares: which of the parts described
// in docs/hard-load.md are on.
//
//   for (const TrafficParts &P : measuredParts()) {
//     configure(P, Zones, ConfigParts, CoreOptions);
//     state(P, Index, Now, Reply);   // what engine Index states at Now
//   }
//
// Everything that a release without these parts does not have is here, so that
// TrafficBench.cpp compiles there without this file, to compare both releases.

#ifndef HAWTHORNROAD_BENCH_TRAFFICPARTS_H
#define HAWTHORNROAD_BENCH_TRAFFICPARTS_H

#include "hawthornroad/traffic/TrafficCore.h"

#include <cstddef>
#include <string>
#include <vector>

namespace hawthornroad {

struct TrafficParts {
  std::string Name_ = "off";
  // The first route allows the regions of the first two zones.
  bool Regions_ = false;
  // The service states a cold time. Its engines are warm, but end fewer
  // requests than they bear while they are cold, so each request needs a grant.
  bool Cold_ = false;
  // The routes have the priorities 0, 1 and 2.
  bool Priorities_ = false;
  // Engines state how fast they are, and callers how long answers will be.
  bool Speed_ = false;
};

std::vector<TrafficParts> measuredParts();

// Each zone is a region of its own.
void configure(const TrafficParts &P,
               const std::vector<AvailabilityZone> &Zones,
               RoutingConfig::Parts &Config, TrafficCore::Options &Core);

// What the engine with this index states at Now, with an answer, in the reply
// to a query for a place and in a notice.
void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           EndpointHead &Head);
void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           PlaceReply &Reply);
void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           EndpointLoad &Load);
// What the caller states.
void state(const TrafficParts &P, Call &C);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_TRAFFICPARTS_H
