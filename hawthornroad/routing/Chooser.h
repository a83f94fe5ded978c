// Chooses the endpoint of an attempt.
//
//   Chooser C(Random(Seed), AvailabilityZone("zg-borongaj"));
//   C.update(Status, Now);                       // word of an endpoint
//   std::optional<Vm> V = C.choose({.Service_ = S, .PrefixHash_ = H}, Now);
//   C.dispatched(*V, Now);
//   C.firstByte(*V, Latency, Now);
//   C.finished(*V, Chooser::Result::Answered, Now);
//
// The idea. Reports lag by seconds, so a choice by reported load alone sends
// every entry to the same idle endpoint. The chooser counts its own attempts in
// progress on top of the last report, and of those counted before that report
// none twice. Among ready endpoints of its own zone (others only when that zone
// has no ready one, or all of its are full as far as late reports can tell) it
// takes the endpoint that a prefix hashes to while its load is within a bound
// of the mean, else the least loaded of a few drawn at random. Endpoints that
// refuse for want of a place shrink the number of attempts this entry keeps in
// progress there. An endpoint that fails much more often than its peers
// is ejected for a growing time, never more than a set share at once, and let
// back by single probes.
// Cost: one choice looks at a few endpoints, not at all.
//
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_ROUTING_CHOOSER_H
#define HAWTHORNROAD_ROUTING_CHOOSER_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

class Chooser {
public:
  struct Query {
    ServiceName Service_;
    // Only endpoints that serve this version, when set.
    VersionDigest Version_;
    // Hash of the prompt's leading part; 0 means no affinity.
    std::uint64_t PrefixHash_ = 0;
    // Endpoints this request has tried already.
    std::set<Vm> Excluded_;
    // Attempts one endpoint may run at once for the whole fleet, from the
    // declaration; the report's capacity wins when it is lower and not 0.
    std::size_t InFlightLimit_ = 16;
  };
  enum class Result {
    Answered, // a whole answer
    Refused,  // the endpoint said not-run: busy or draining, not a fault
    Failed,   // lost, timed out, or an error of the endpoint
    Cancelled // the caller left: says nothing of the endpoint
  };

  Chooser(Random Rng, AvailabilityZone Own);
  ~Chooser();

  // Later word of an endpoint; older word is ignored.
  void update(const EndpointStatus &Status, TimePoint Now);
  // The endpoint's agent died or left; ignored for an older incarnation.
  void remove(const Vm &V, Incarnation I);

  std::optional<Vm> choose(const Query &Q, TimePoint Now);
  // Ready endpoints with a free place for Q, all zones.
  bool hasRoom(const Query &Q, TimePoint Now) const;
  // Ready endpoints of the service, full ones included.
  std::size_t readyCount(const ServiceName &Service) const;
  // Places of all ready endpoints, and how many this entry believes taken.
  struct Room {
    std::size_t Places_ = 0;
    std::size_t Taken_ = 0;
  };
  Room room(const ServiceName &Service, std::size_t InFlightLimit) const;

  void dispatched(const Vm &V, TimePoint Now);
  void firstByte(const Vm &V, Duration Latency, TimePoint Now);
  void finished(const Vm &V, Result R, TimePoint Now);

  // Null when unknown.
  const EndpointStatus *find(const Vm &V) const;
  std::vector<EndpointStatus> all() const;
  bool isEjected(const Vm &V, TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CHOOSER_H
