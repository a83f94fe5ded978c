// Chooses the endpoint of an attempt.
//
//   Chooser C(Random(Seed), AvailabilityZone("zg-borongaj"));
//   C.update(Status, Now);                       // a report of an endpoint
//   std::optional<Vm> V = C.choose({.Service_ = S, .PrefixHash_ = H}, Now);
//   C.dispatched(*V, Now);
//   C.firstByte(*V, Latency, Now);
//   C.finished(*V, Chooser::Result::Answered, Now);
//
// Reports lag by seconds, so choosing by reported load alone would send every
// entry to the same idle endpoint. The chooser therefore adds its own attempts
// in progress to the last report, without counting those the report already
// includes twice. It considers ready endpoints of its own zone; others only
// when that zone has no ready one, or when all of its endpoints appear full
// from the late reports. Among these it takes the endpoint that the prefix
// hashes to while its load is within a bound of the mean, else the least loaded
// of a small random sample. Refusals for lack of a place reduce the number of
// attempts this entry keeps in progress in that pool. An endpoint that fails
// much more often than its peers is ejected for a growing time, never more than
// a fixed share at once, and readmitted by single probes.
// Cost: a choice examines a few endpoints, not all of them.
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
    // Endpoints that this request has already tried.
    std::set<Vm> Excluded_;
    // Attempts one endpoint may run at once for the whole fleet, from the
    // declaration; a lower reported capacity other than 0 takes precedence.
    std::size_t InFlightLimit_ = 16;
  };
  enum class Result {
    Answered, // a complete answer
    Refused,  // the endpoint reported not-run: busy or draining, not a fault
    Failed,   // lost, timed out, or an error of the endpoint
    Cancelled // by the caller: no evidence about the endpoint
  };

  Chooser(Random Rng, AvailabilityZone Own);
  ~Chooser();

  // Applies a report of an endpoint; reports older than the last are ignored.
  void update(const EndpointStatus &Status, TimePoint Now);
  // The endpoint's agent failed or left; ignored for an older incarnation.
  void remove(const Vm &V, Incarnation I);

  std::optional<Vm> choose(const Query &Q, TimePoint Now);
  // Whether any ready endpoint, in any zone, has a free place for Q.
  bool hasRoom(const Query &Q, TimePoint Now) const;
  // Ready endpoints of the service, full ones included.
  std::size_t readyCount(const ServiceName &Service) const;
  // Places of all ready endpoints, and an estimate of how many are taken.
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
