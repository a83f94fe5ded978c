// Chooses the endpoint of an attempt.
//
//   Placement P({.Zone_ = Zone}, Random(Seed));
//   P.setEndpoints(Set, Config);
//   if (auto Id = P.choose({.Service_ = S}, Now)) {
//     P.begun(*Id, Now);
//     P.heard(*Id, Load, Now);               // with the head of its answer
//     P.ended(*Id, Placement::End::Good, Now);
//   }
//
// How full an endpoint is, is told only with its answers and is old by then, so
// each process counts on: what was reported, plus what it has itself begun and
// ended since. Where nothing recent was reported, its own share stands for the
// whole, times the number of processes that are taken to send alike.
//
// The choice is the endpoint with the smallest load for its places, ties at
// random; one of another zone must be emptier by CrossZonePenalty of its
// places, since its bytes go over the narrow links between zones. An endpoint
// whose answers take longer than those of its service counts as fuller.
//
// Endpoints that fail are left out for a while (ejected): after FailuresInRow,
// or when the share of failures stands out from the service's. Never more than
// half of a service's endpoints are left out, for then the fault is elsewhere.
//
// Cost: a pass over the service's endpoints a choice.

#ifndef HAWTHORNROAD_TRAFFIC_PLACEMENT_H
#define HAWTHORNROAD_TRAFFIC_PLACEMENT_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/traffic/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

class Placement {
public:
  struct Options {
    AvailabilityZone Zone_;
    // Part of an endpoint's places by which a neighbour in the zone may be
    // fuller than one elsewhere and still be chosen.
    double CrossZonePenalty_ = 0.8;
    // Requests beyond an engine's batch that may wait at it, so that a place
    // that falls free is taken without a round trip.
    unsigned EngineQueue_ = 0;
    // How long a reported load counts.
    Duration ReportFresh_ = Milliseconds(1500);
    // Processes taken to send to an endpoint as much as this one.
    double Senders_ = 2.5;
    // Part of an endpoint's connections that this process may hold.
    double ConnectionShare_ = 1.0 / 16;
    unsigned FailuresInRow_ = 3;
    Duration EjectFor_ = Seconds(2);
    Duration EjectMost_ = Seconds(8);
    // Pause after an endpoint said it had no place; doubles with each time in a
    // row, since one that loads new weights is away for seconds.
    Duration FullFor_ = Milliseconds(60);
    Duration FullMost_ = Milliseconds(500);
    // How long a told load is believed in without further word.
    Duration AwayMost_ = Milliseconds(3500);
  };
  enum class End {
    Good,
    // Its own statement that it had no place: no fault.
    TurnedAway,
    Failed,
    // Ended by this side: tells nothing.
    Cancelled
  };
  struct Query {
    ServiceName Service_;
    // Endpoints already tried.
    const std::set<EndpointId> *Tried_ = nullptr;
    // Versions below are not used; 0: any that is loaded.
    WeightVersion MinVersion_ = 0;
    // Only this version, when set.
    WeightVersion Version_ = 0;
    // Whether a full endpoint may be chosen when all are.
    bool MayQueue_ = false;
  };

  Placement(Options O, Random R) : Options_(std::move(O)), Random_(R) {}

  void setEndpoints(const EndpointSet &Set, const RoutingConfig &Config);

  std::optional<EndpointId> choose(const Query &Q, TimePoint Now);
  // Endpoints of the service that could run a request at all.
  std::size_t usable(const Query &Q) const;

  void begun(const EndpointId &Id, TimePoint Now);
  void ended(const EndpointId &Id, End E, TimePoint Now);
  void heard(const EndpointId &Id, unsigned Load, TimePoint Now);
  void heardVersion(const EndpointId &Id, WeightVersion V);
  // Its agent says that it takes nothing new (a load follows or is under way),
  // or that it serves again.
  void setAway(const EndpointId &Id, bool IsAway, TimePoint Now);
  // Time from begin to the first byte.
  void firstByte(const EndpointId &Id, Duration Took);

  struct View {
    double Load_ = 0;
    unsigned Own_ = 0;
    unsigned Places_ = 0;
    std::optional<Duration> ReportAge_;
    WeightVersion Version_ = 0;
    bool IsEjected_ = false;
    bool IsAway_ = false;
  };
  // What is believed of an endpoint; unset when it is not known.
  std::optional<View> view(const EndpointId &Id, TimePoint Now) const;
  const Endpoint *find(const EndpointId &Id) const;

private:
  struct State {
    Endpoint Endpoint_;
    bool IsListed_ = true;
    unsigned Places_ = 1;
    unsigned Connections_ = 1;
    unsigned Own_ = 0;
    unsigned Reported_ = 0;
    unsigned OwnAtReport_ = 0;
    std::optional<TimePoint> ReportedAt_;
    WeightVersion Version_ = 0;
    unsigned FailuresInRow_ = 0;
    double FailureShare_ = 0;
    double FirstByteMs_ = 0;
    Duration EjectFor_ = Duration::zero();
    TimePoint EjectedUntil_;
    TimePoint FullUntil_;
    TimePoint AwayUntil_;
    Duration FullFor_ = Duration::zero();
  };

  double load(const State &S, TimePoint Now) const;
  bool isUsable(const State &S, const Query &Q) const;
  double meanFailureShare(const ServiceName &Service) const;
  double meanFirstByte(const ServiceName &Service) const;
  void eject(State &S, TimePoint Now);

  Options Options_;
  Random Random_;
  std::map<EndpointId, State> States_;
  std::map<ServiceName, std::vector<EndpointId>> ByService_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_PLACEMENT_H
