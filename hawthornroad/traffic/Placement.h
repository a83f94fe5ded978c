// Chooses the endpoint of an attempt.
//
//   Placement P({.Zone_ = Zone}, Random(Seed));
//   P.setEndpoints(Set, Config);
//   if (auto Id = P.choose({.Service_ = S}, Now)) {
//     P.attemptBegun(*Id, Now);
//     P.updateLoad(*Id, Running, Waiting, Now);   // from its answer
//     P.attemptEnded(*Id, Placement::End::Good, true, Now);
//   }
//
// Endpoints report their load only with their answers, and a report is outdated
// on arrival. Each process therefore estimates the load as the last report plus
// the attempts it has begun and ended since. Without a recent report, the
// process multiplies its own attempts by the number of processes assumed to
// send alike.
//
// The choice is the endpoint with the shortest expected time to the first byte;
// ties are broken at random. An engine reads prompts one after another, so a
// request mostly waits for the prompts queued before it, and each running
// request adds little. Choosing by the number of running requests alone made
// all processes send to an engine that had just returned, where sixteen prompts
// queued up. An endpoint in another zone must be faster by CrossZoneCost_,
// since its bytes cross the narrow links between zones. An endpoint whose
// answers take longer than the service's mean costs more.
//
// An endpoint may state how fast it works now (EndpointSpeed). While that is
// recent, its expected times are multiplied by it. Between plain endpoints that
// state it, the choice is drawn in proportion to their speeds.
//
// Failing endpoints are ejected for a time: after FailuresInRow_ failures, or
// when their share of failures is well above the service's mean. At most half
// of a service's endpoints are ejected, since a wider failure has its cause
// elsewhere.
//
// An endpoint whose agent has not answered for UnresponsiveAfter_ is excluded
// as well, until an answer takes less: the link to its VM may be congested, and
// a request would reach the endpoint after its caller has left (a stale load
// report makes such an endpoint look empty). Prompt answers of the endpoint
// itself count too, since an agent may be stopped beside a healthy endpoint.
//
// Endpoints of evacuated zones are not usable, nor, for a request whose regions
// are limited, those of other or unknown regions. The entries of an evacuated
// zone go on sending, now to the remaining zones, so the number of senders
// assumed for an endpoint grows by the ratio of all zones to the remaining
// ones. Without that, every entry finds the remaining endpoints less loaded
// than they are until their reports show it, and fills them.
//
// Cost: one pass over the service's endpoints per choice.

#ifndef HAWTHORNROAD_TRAFFIC_PLACEMENT_H
#define HAWTHORNROAD_TRAFFIC_PLACEMENT_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/traffic/Endpoint.h"
#include "hawthornroad/traffic/EndpointHolds.h"
#include "hawthornroad/traffic/EndpointSpeed.h"
#include "hawthornroad/traffic/RegionScope.h"

#include <algorithm>
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
    // The region of each zone; requests with limits use no endpoint of another
    // zone.
    std::map<AvailabilityZone, Region> Regions_;
    // An endpoint in this zone is preferred unless one in another zone is
    // faster by more than this, ms.
    double CrossZoneCost_ = 120;
    // Time that one running request adds to the next request's first byte, ms:
    // some hundredths of a step, and its share of events in a pass.
    double RunningCost_ = 3;
    // Limit on the reading time of prompts queued at an engine, ms. Beyond it
    // the request waits here, where it can still go to another engine.
    double MostReading_ = 140;
    // Share of an endpoint's places that requests with IsLate_ leave free: the
    // places that become free in the next quarter of a second, which other
    // requests can use in time.
    double KeptFromLate_ = 0.2;
    // Requests beyond an engine's batch size that may wait at it, so that a
    // free place is taken without a round trip.
    unsigned EngineQueue_ = 0;
    // How long a reported load is used.
    Duration ReportFresh_ = Milliseconds(1500);
    // Number of processes assumed to send to an endpoint as much as this one:
    // those of its zone and, for an endpoint in another zone, those of all
    // zones that are full at the same time. Loads are exchanged within a zone
    // only.
    double SameZoneSenders_ = 2.5;
    double CrossZoneSenders_ = 6;
    // Share of an endpoint's connections that this process may hold.
    double ConnectionShare_ = 1.0 / 16;
    unsigned FailuresInRow_ = 3;
    Duration EjectFor_ = Seconds(2);
    Duration MaxEjectFor_ = Seconds(8);
    // Pause after an endpoint reported that it was full; doubles on each
    // consecutive report, since an endpoint that loads new weights is
    // unavailable for seconds.
    Duration FullFor_ = Milliseconds(60);
    Duration MaxFullFor_ = Milliseconds(500);
    // An engine that denied a place is not asked again for DeniedFor_, or
    // DeniedForEach_ per engine of the service if that is longer, which limits
    // an entry to 200 queries a second. A place becomes free at an engine about
    // every tenth of a second.
    Duration DeniedFor_ = Milliseconds(50);
    Duration DeniedForEach_ = Milliseconds(5);
    // How long an endpoint that refused a connection is left out. One that has
    // ended looks idle and would otherwise be chosen by every request.
    Duration RefusedFor_ = Milliseconds(200);
    // How long an engine whose agent has not reported yet is left out. Shorter
    // than the interval at which queued requests are dispatched.
    Duration ReportWait_ = Milliseconds(10);
    // How long an agent that is unreachable or did not answer in time is not
    // asked. The next request then probes it.
    Duration AskPause_ = Milliseconds(1000);
    // Agents that take longer count as unresponsive: a request delayed as much
    // cannot be answered within a goal of some hundred milliseconds.
    Duration UnresponsiveAfter_ = Milliseconds(300);
    // A first byte within this time shows that the link to an endpoint is not
    // congested.
    Duration PromptFirstByte_ = Milliseconds(1000);
    // How long an endpoint stays unavailable without a further report.
    Duration MaxAwayFor_ = Milliseconds(3500);
  };
  enum class End {
    Good,
    // The endpoint reported that it was full; not a failure.
    TurnedAway,
    Failed,
    // Cancelled by this process; says nothing about the endpoint.
    Cancelled
  };
  struct Query {
    ServiceName Service_;
    // Endpoints already tried.
    const std::set<EndpointId> *Tried_ = nullptr;
    // The lowest usable version; 0: any loaded version.
    WeightVersion MinVersion_ = 0;
    // The only usable version, when set.
    WeightVersion Version_ = 0;
    // Whether a full endpoint may be chosen when all are full.
    bool MayQueue_ = false;
    // Engines' agents are asked for places, so the estimated load of an engine
    // only orders the candidates.
    bool MayAsk_ = false;
    // Leaves KeptFromLate_ of an endpoint's places to other requests.
    bool IsLate_ = false;
    // Regions in which the request may be served; null: all of them.
    const RegionScope *Regions_ = nullptr;
    // Priority, 0 is the most urgent; 0 for all where they do not differ.
    int Rank_ = 0;
    // Time until the caller leaves. With less than PromptFirstByte_, endpoints
    // whose agent has left a query unanswered are excluded.
    Duration TimeLeft_ = Duration::max();
  };

  Placement(Options O, Random R) : Options_(std::move(O)), Random_(R) {}

  void setEndpoints(const EndpointSet &Set, const RoutingConfig &Config);

  // No endpoint in these zones is usable. They replace the previous ones.
  void setEvacuated(std::set<AvailabilityZone> Zones);
  // Whether the endpoint's zone is not evacuated, and its region one of these;
  // null: any.
  bool permits(const EndpointId &Id, const RegionScope *Regions) const;

  std::optional<EndpointId> choose(const Query &Q, TimePoint Now);
  // Number of the service's endpoints that could run a request at all.
  std::size_t usable(const Query &Q) const;

  void attemptBegun(const EndpointId &Id, TimePoint Now);
  // HadHead: firstByte() was called for the attempt.
  void attemptEnded(const EndpointId &Id, End E, bool HadHead, TimePoint Now);
  // The endpoint has reported that it is full, and is not asked again before
  // Until.
  void setFull(const EndpointId &Id, TimePoint Until);
  // An attempt that goes on counts as failed for now: its endpoint is silent.
  void noteFailure(const EndpointId &Id, TimePoint Now);
  // Running and waiting requests at the endpoint, as reported at Now.
  void updateLoad(const EndpointId &Id, unsigned Running, unsigned Waiting,
                  TimePoint Now);
  // How long work takes at the endpoint, as it stated at At; see
  // EndpointHead::Slowdown_. Unset: nothing was stated.
  void noteSlowdown(const EndpointId &Id, std::optional<double> Slowdown,
                    TimePoint At);
  void updateVersion(const EndpointId &Id, WeightVersion V);
  // The agent reports that its engine takes no new requests (a load is pending
  // or in progress), or that it serves again.
  void setAway(const EndpointId &Id, bool IsAway, TimePoint Now);
  // The agent had no place for a request of this priority. More urgent requests
  // may still be granted one, so the endpoint stays eligible for them.
  void placeDenied(const EndpointId &Id, TimePoint Now, int Rank = 0);
  // No connection to it could be established.
  void connectFailed(const EndpointId &Id, TimePoint Now);
  // Nothing is sent there before Until, whatever its load: it has said so
  // itself (StatedLimits). The longest time holds.
  void hold(const EndpointId &Id, TimePoint Until);
  void release(const EndpointId &Id);
  // A grant under the endpoint's rate limit arrived when its request had gone
  // elsewhere. The granter has counted it, so until then the endpoint is not
  // held and the next request goes there.
  void keepGrant(const EndpointId &Id, TimePoint Until);
  // Uses a kept grant; false when there is none.
  bool takeGrant(const EndpointId &Id, TimePoint Now);
  // The endpoint asked for rest, or says that it leaves; see EndpointHolds.
  bool rest(const EndpointStart &E, TimePoint Until) {
    return Holds_.rest(E, Until);
  }
  bool leave(const EndpointStart &E, TimePoint Now) {
    return Holds_.leave(E, Now);
  }
  std::vector<EndpointStart> takeEndedRests(TimePoint Now) {
    return Holds_.takeEnded(Now);
  }
  // Whether the endpoint rests or leaves; a grant does not override that.
  bool restsOrLeaves(const EndpointId &Id, TimePoint Now) const;
  // When the first usable endpoint is no longer held; TimePoint() when one
  // is not held at all, or none is usable.
  TimePoint heldUntil(const Query &Q) const;
  // Another endpoint answers at the address, so this one has ended: each start
  // has a new id. It is not chosen again while it is still listed.
  void setReplaced(const EndpointId &Id);
  // The agent has not reported since this process started.
  void awaitReport(const EndpointId &Id, TimePoint Now);
  // No agent answers: for a while the endpoint is chosen by its estimated load.
  void pauseAsking(const EndpointId &Id, TimePoint Now);
  // The agent, asked at AskedAt, did not answer within the timeout.
  void askTimedOut(const EndpointId &Id, TimePoint AskedAt, TimePoint Now);
  // The agent answered, in time or late, Took after the query.
  void askAnswered(const EndpointId &Id, Duration Took);
  // Whether the endpoint's agent is asked for places.
  bool mayAsk(const EndpointId &Id, TimePoint Now) const;
  // The head of an answer arrived, Took after the attempt began. Slowdown: as
  // stated in it.
  void firstByte(const EndpointId &Id, Duration Took,
                 std::optional<double> Slowdown = std::nullopt);
  // Mean time from the beginning of an attempt to the head of its answer, at
  // usual speed; zero without samples.
  Duration usualFirstByte(const EndpointId &Id) const;

  struct View {
    double Load_ = 0;
    // Requests whose prompts have not been read yet.
    double Unread_ = 0;
    unsigned Own_ = 0;
    unsigned Places_ = 0;
    std::optional<Duration> ReportAge_;
    WeightVersion Version_ = 0;
    // As stated recently.
    std::optional<double> Slowdown_ = std::nullopt;
    bool IsEjected_ = false;
    bool IsAway_ = false;
  };
  // Estimated state of an endpoint; unset when it is unknown.
  std::optional<View> view(const EndpointId &Id, TimePoint Now) const;
  const Endpoint *find(const EndpointId &Id) const;

private:
  struct State {
    Endpoint Endpoint_;
    bool IsListed_ = true;
    bool IsReplaced_ = false;
    // Empty: not known.
    Region Region_;
    bool IsEvacuated_ = false;
    // How many times more senders than usual it has while zones are evacuated.
    double SenderFactor_ = 1;
    unsigned Places_ = 1;
    unsigned Connections_ = 1;
    unsigned Own_ = 0;
    // Of these, the ones without a head.
    unsigned OwnUnread_ = 0;
    // Reading time of a typical prompt, ms; 0 for plain services.
    double ReadMs_ = 0;
    unsigned Reported_ = 0;
    unsigned ReportedWaiting_ = 0;
    unsigned OwnAtReport_ = 0;
    unsigned OwnUnreadAtReport_ = 0;
    std::optional<TimePoint> ReportedAt_;
    WeightVersion Version_ = 0;
    unsigned FailuresInRow_ = 0;
    double FailureShare_ = 0;
    // At usual speed.
    double FirstByteMs_ = 0;
    EndpointSpeed Speed_;
    Duration EjectFor_ = Duration::zero();
    TimePoint EjectedUntil_;
    TimePoint FullUntil_;
    TimePoint AwayUntil_;
    TimePoint DeniedUntil_;
    // The most urgent priority that was denied.
    int DeniedRank_ = 0;
    TimePoint RefusedUntil_;
    std::optional<TimePoint> HeldUntil_;
    // When the kept grants under its rate limit expire.
    std::vector<TimePoint> GrantsUntil_;
    TimePoint AskPausedUntil_;
    // Send time of the first query since the last prompt answer that was not
    // answered in time.
    std::optional<TimePoint> UnansweredSince_;
    Duration FullFor_ = Duration::zero();
  };

  double senders(const State &S) const {
    return S.SenderFactor_ * (S.Endpoint_.Zone_ == Options_.Zone_
                                  ? Options_.SameZoneSenders_
                                  : Options_.CrossZoneSenders_);
  }
  // Sets what follows from the endpoints' zones.
  void updateZones();
  static bool permits(const State &S, const RegionScope *Regions);
  bool isReportFresh(const State &S, TimePoint Now) const;
  double load(const State &S, TimePoint Now) const;
  double unread(const State &S, TimePoint Now) const;
  // Expected time to the first byte, ms, relative to what all endpoints have in
  // common.
  double cost(const State &S, double MeanFirstByte, TimePoint Now) const;
  double usualMs(const State &S, double MeanFirstByte) const;
  const State &shareBySpeed(const State &Cheapest,
                            const std::vector<const State *> &Open,
                            double MeanFirstByte, TimePoint Now);
  bool isUsable(const State &S, const Query &Q) const;
  bool mayAsk(const State &S, TimePoint Now) const {
    return S.Endpoint_.HasModel_ && Now >= S.AskPausedUntil_;
  }
  // Until when the endpoint itself holds back; TimePoint() when it does not.
  TimePoint holdEnd(const State &S) const {
    return std::max(S.HeldUntil_.value_or(TimePoint()),
                    Holds_.restsUntil(startOf(S.Endpoint_)));
  }
  static bool hasGrant(const State &S, TimePoint Now);
  bool isUnresponsive(const State &S, const Query &Q, TimePoint Now) const;
  // Whether such a request finds no free place there now.
  bool isFull(const State &S, const Query &Q, TimePoint Now) const;
  double meanFailureShare(const ServiceName &Service) const;
  double meanFirstByte(const ServiceName &Service) const;
  void countFailure(State &S, TimePoint Now);
  void eject(State &S, TimePoint Now);

  Options Options_;
  Random Random_;
  EndpointHolds Holds_;
  std::map<EndpointId, State> States_;
  std::map<ServiceName, std::vector<EndpointId>> ByService_;
  std::set<AvailabilityZone> Evacuated_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_PLACEMENT_H
