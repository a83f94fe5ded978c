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
// The choice is the endpoint from which the first byte can be expected soonest,
// ties at random. An engine reads prompts one after another, so what a request
// waits for is mostly the prompts before it; each running request adds little.
// Where loads were chosen by running requests alone, all processes sent to the
// engine that had just come back, and sixteen prompts stood in line there. An
// endpoint of another zone must be sooner by CrossZoneCost_, since its bytes go
// over the narrow links between zones. One whose answers take longer than those
// of its service counts as later.
//
// Endpoints that fail are left out for a while (ejected): after FailuresInRow,
// or when the share of failures stands out from the service's. Never more than
// half of a service's endpoints are left out, for then the fault is elsewhere.
//
// An endpoint whose agent has not answered for UnresponsiveAfter is left out as
// well, until an answer takes less: the link to their VM may be congested, and
// a request would reach the endpoint after its caller has left (a stale load
// report makes such an endpoint look empty). Prompt answers of the endpoint
// itself count as well, since an agent may be stopped beside a sound endpoint.
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
    // How much later a neighbour in the zone may answer than one elsewhere and
    // still be chosen, ms.
    double CrossZoneCost_ = 120;
    // What one running request adds to the first byte of a next one, ms: some
    // hundredths of a step, and the share of its events in a pass.
    double RunningCost_ = 3;
    // Prompts that may stand before a request at an engine, as reading time,
    // ms. Beyond it the request waits here, where it can still go elsewhere.
    double MostReading_ = 140;
    // Of an endpoint's places, the part that requests with IsLate_ leave free:
    // those that fall free in the next quarter of a second, which others can
    // use in time. 0.06 lets too many of the late in, 0.25 is no better.
    double KeptFromLate_ = 0.2;
    // Requests beyond an engine's batch that may wait at it, so that a place
    // that falls free is taken without a round trip.
    unsigned EngineQueue_ = 0;
    // How long a reported load counts.
    Duration ReportFresh_ = Milliseconds(1500);
    // Processes taken to send to an endpoint as much as this one: those of its
    // zone, and, to an endpoint elsewhere, those of all zones that are full at
    // the same moment. Loads are told within a zone only.
    double Senders_ = 2.5;
    double SendersAcross_ = 6;
    // Part of an endpoint's connections that this process may hold.
    double ConnectionShare_ = 1.0 / 16;
    unsigned FailuresInRow_ = 3;
    Duration EjectFor_ = Seconds(2);
    Duration EjectMost_ = Seconds(8);
    // Pause after an endpoint said it had no place; doubles with each time in a
    // row, since one that loads new weights is away for seconds.
    Duration FullFor_ = Milliseconds(60);
    Duration FullMost_ = Milliseconds(500);
    // An engine without a place is not asked again for so long; for a service
    // with many engines longer by each, which bounds an entry's questions to
    // 200 a second. A place falls free at an engine about every tenth of a
    // second.
    Duration DeniedFor_ = Milliseconds(50);
    Duration DeniedForEach_ = Milliseconds(5);
    // How long an agent that cannot be reached, or did not answer in time, is
    // not asked. Then the next request probes it.
    Duration UnaskedFor_ = Milliseconds(1000);
    // Agents that take longer count as unresponsive: a request that takes as
    // long on its way cannot be answered within a goal of some hundred
    // milliseconds.
    Duration UnresponsiveAfter_ = Milliseconds(300);
    // A first byte within this time shows that the link to an endpoint is free.
    Duration PromptFirstByte_ = Milliseconds(1000);
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
    // Places are asked of the agents of engines, so what is believed of an
    // engine's load only orders the choice.
    bool MayAsk_ = false;
    // It leaves KeptFromLate_ of an endpoint's places to others.
    bool IsLate_ = false;
    // Until its caller leaves. With less than PromptFirstByte_ it goes to no
    // endpoint whose agent has left a question unanswered.
    Duration TimeLeft_ = Duration::max();
  };

  Placement(Options O, Random R) : Options_(std::move(O)), Random_(R) {}

  void setEndpoints(const EndpointSet &Set, const RoutingConfig &Config);

  std::optional<EndpointId> choose(const Query &Q, TimePoint Now);
  // Endpoints of the service that could run a request at all.
  std::size_t usable(const Query &Q) const;

  void begun(const EndpointId &Id, TimePoint Now);
  // HadHead: firstByte() was told of it.
  void ended(const EndpointId &Id, End E, bool HadHead, TimePoint Now);
  // Running and waiting requests there, as told at Now.
  void heard(const EndpointId &Id, unsigned Running, unsigned Waiting,
             TimePoint Now);
  void heardVersion(const EndpointId &Id, WeightVersion V);
  // Its agent says that it takes nothing new (a load follows or is under way),
  // or that it serves again.
  void setAway(const EndpointId &Id, bool IsAway, TimePoint Now);
  // Its agent had no place for a request.
  void denied(const EndpointId &Id, TimePoint Now);
  // There is no agent that answers: the endpoint is chosen for a while by what
  // is believed of its load.
  void setUnasked(const EndpointId &Id, TimePoint Now);
  // Its agent, asked at AskedAt, has not answered within the timeout.
  void askTimedOut(const EndpointId &Id, TimePoint AskedAt, TimePoint Now);
  // Its agent answered, in time or late, Took after it was asked.
  void askAnswered(const EndpointId &Id, Duration Took);
  // Whether its places are asked for.
  bool mayAsk(const EndpointId &Id, TimePoint Now) const;
  // The head of an answer came, Took after its begin.
  void firstByte(const EndpointId &Id, Duration Took);
  // Mean time from the begin of an attempt there to the head of its answer;
  // zero when none came yet.
  Duration usualFirstByte(const EndpointId &Id) const;

  struct View {
    double Load_ = 0;
    // Requests whose prompts are still to be read.
    double Unread_ = 0;
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
    // Of them, those without a head.
    unsigned OwnUnread_ = 0;
    // Reading time of a usual prompt, ms; 0 for plain services.
    double ReadMs_ = 0;
    unsigned Reported_ = 0;
    unsigned ReportedWaiting_ = 0;
    unsigned OwnAtReport_ = 0;
    unsigned OwnUnreadAtReport_ = 0;
    std::optional<TimePoint> ReportedAt_;
    WeightVersion Version_ = 0;
    unsigned FailuresInRow_ = 0;
    double FailureShare_ = 0;
    double FirstByteMs_ = 0;
    Duration EjectFor_ = Duration::zero();
    TimePoint EjectedUntil_;
    TimePoint FullUntil_;
    TimePoint AwayUntil_;
    TimePoint DeniedUntil_;
    TimePoint UnaskedUntil_;
    // When the first question was sent that was not answered in time, of those
    // since the last prompt answer.
    std::optional<TimePoint> UnansweredSince_;
    Duration FullFor_ = Duration::zero();
  };

  double senders(const State &S) const {
    return S.Endpoint_.Zone_ == Options_.Zone_ ? Options_.Senders_
                                               : Options_.SendersAcross_;
  }
  bool isReportFresh(const State &S, TimePoint Now) const;
  double load(const State &S, TimePoint Now) const;
  double unread(const State &S, TimePoint Now) const;
  // Expected time to the first byte, ms, up to what all have in common.
  double cost(const State &S, double MeanFirstByte, TimePoint Now) const;
  bool isUsable(const State &S, const Query &Q) const;
  bool mayAsk(const State &S, TimePoint Now) const {
    return S.Endpoint_.HasModel_ && Now >= S.UnaskedUntil_;
  }
  bool isUnresponsive(const State &S, const Query &Q, TimePoint Now) const;
  // Whether a request of this kind finds no place there now.
  bool isFull(const State &S, const Query &Q, TimePoint Now) const;
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
