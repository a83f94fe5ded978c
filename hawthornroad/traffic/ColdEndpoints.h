// Until when each endpoint counts as cold, and which endpoints receive requests
// only by a grant because of that.
//
//   ColdEndpoints C({.Factor_ = 1.5, .Slack_ = 5}, Random(Seed));
//   C.listed(Set, Config, Now);               // when rows or services change
//   if (auto L = C.find(E, Now)) askFor(*L);  // each request needs a grant
//   C.noteAnswer(Start, Head.ColdLeft_, Now);
//   C.noteGranter(Start, Reply.Cold_, AskedAt, Now);
//   for (const ColdReport &R : C.takeReports(Now)) log(R);
//
// Handles endpoints that start, or become cold again, while the load is high:
// above its bound a cold endpoint crashes, and the entries together exceed the
// bound long before one of them does. Grants: ColdGrants.
//
// An endpoint start counts as cold by what its row, an answer's head or a
// granter states; for the service's cold time after this process first saw that
// start, since its state is unknown until then; and for the same time after its
// zone was restored. The longest time holds. Only an answer that states no
// cold time ends the time of an unknown state early.
//
// A row is up to three seconds old, and an endpoint may become cold again at
// any moment. Requests to plain endpoints rest on health answers therefore
// (HealthCredits). Where an engine ends no more requests than it bears while it
// is cold, its requests need a grant at all times: that costs only sharp
// bursts. While no agent at all answers, such an engine is used without grants
// unless it counts as cold: all engines would stand idle otherwise.
//
// No I/O, no clock, no threads. Cost: find() looks up a service and a start.
// Memory: the endpoints listed within Memory_, of services with a cold time.

#ifndef HAWTHORNROAD_TRAFFIC_COLDENDPOINTS_H
#define HAWTHORNROAD_TRAFFIC_COLDENDPOINTS_H

#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/traffic/ColdLimit.h"
#include "hawthornroad/traffic/LimitShare.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace hawthornroad {

// An endpoint begins or ends to count as cold, for the log.
struct ColdReport {
  EndpointId Endpoint_;
  bool IsCold_ = false;
  // By what it counts as cold: "first_seen", "row", "answer", "granter",
  // "zone_restored", "silent" or "check_rejected".
  std::string_view Source_;
  // How long it will count as cold, or has.
  Duration For_ = Duration::zero();
};

class ColdEndpoints {
public:
  struct Options {
    // Requests that may arrive in any one second: this factor of what the
    // service's endpoints bear, plus a constant.
    double Factor_ = 1.5;
    double Slack_ = 5;
    // Agents grant places, so engines can be limited at all times.
    bool HasPlaceGrants_ = true;
    // Number of entries assumed to have no granter.
    unsigned Entries_ = 300;
    // How long a start that is no longer listed is remembered.
    Duration Memory_ = Seconds(60);
    // For how long an endpoint counts as cold that does not answer its health
    // check.
    Duration SilentFor_ = Milliseconds(500);
  };

  ColdEndpoints(Options O, Random R);

  void listed(const EndpointSet &Set, const RoutingConfig &Config,
              TimePoint Now);
  // What an answer's head states; unset: nothing.
  void noteAnswer(const EndpointStart &E, std::optional<Duration> Left,
                  TimePoint Now);
  // What a granter states that was asked at AskedAt; unset: nothing.
  void noteGranter(const EndpointStart &E, const std::optional<ColdLimit> &L,
                   TimePoint AskedAt, TimePoint Now);
  // Nothing was sent to these zones for a time, in which their endpoints may
  // have become cold.
  void zonesRestored(const std::set<AvailabilityZone> &Zones,
                     const EndpointSet &Set, TimePoint Now);

  // The limit under which a request to the endpoint needs a grant now; Left_ is
  // zero when it does not count as cold, and is limited at all times.
  std::optional<ColdLimit> find(const Endpoint &E, TimePoint Now) const;
  bool isCold(const Endpoint &E, TimePoint Now) const;
  // An endpoint that receives requests without a grant and may become cold at
  // any moment: a plain one of a service that has a cold time.
  struct Watched {
    // Of its health check.
    std::string Path_;
    // Requests that may arrive in any one second while it is cold.
    double Arrivals_ = 0;
  };
  // Unset for other endpoints, and while it counts as cold.
  std::optional<Watched> watched(const Endpoint &E, TimePoint Now) const;
  // Its state is unknown for a time: it does not answer its health check.
  void noteSilent(const EndpointStart &E, TimePoint Now);
  // The same, since it rejects its health check.
  void noteRejected(const EndpointStart &E, Duration For, TimePoint Now);
  // Until when it counts as cold; not after Now when it does not.
  TimePoint coldUntil(const Endpoint &E) const;
  // Without a granter: when this entry may send its next request to a cold
  // endpoint; not after Now when it may, or when the endpoint is not cold.
  TimePoint shareAt(const Endpoint &E, TimePoint Now);
  void takeShare(const Endpoint &E, TimePoint Now);

  // Number of listed endpoints that count as cold.
  std::size_t cold(TimePoint Now) const;
  // What has changed since the last call.
  std::vector<ColdReport> takeReports(TimePoint Now);

private:
  struct Limit {
    Duration For_ = Duration::zero();
    double PerSecond_ = 0;
    double Arrivals_ = 0;
    // Requests need a grant at all times.
    bool IsPermanent_ = false;
    // Of plain services.
    std::string HealthPath_;
    bool operator==(const Limit &) const = default;
  };
  struct State {
    ServiceName Service_;
    bool IsListed_ = false;
    TimePoint ListedAt_;
    // When its row was read last.
    std::optional<TimePoint> RowSeenAt_;
    // Until when its state is unknown, and until when it was stated as cold.
    TimePoint UnknownUntil_;
    TimePoint StatedUntil_;
    std::string_view Source_;
    // Set from the report that it is cold to the report that it is warm.
    std::optional<TimePoint> ReportedAt_;

    TimePoint until() const { return std::max(UnknownUntil_, StatedUntil_); }
  };
  Limit limitOf(const ServiceConfig &S) const;
  static void extend(State &S, TimePoint &Until, TimePoint To,
                     std::string_view Source);
  // At most MaxColdTimes of the service's cold time: a row in another unit
  // would keep its endpoint limited for an hour.
  Duration plausible(const State &S, Duration Left) const;
  static constexpr int MaxColdTimes = 4;
  State *stateOf(const EndpointStart &E);

  Options Options_;
  LimitShare Share_;
  // Services whose endpoints may be cold.
  std::map<ServiceName, Limit> Services_;
  std::map<EndpointStart, State> States_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_COLDENDPOINTS_H
