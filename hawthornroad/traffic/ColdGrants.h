// Grants the requests that a cold endpoint may receive to the entries that ask
// for them.
//
//   ColdGrants G(Now);                        // when the process starts
//   G.note(Start, Limit, Now);                // as an entry's query states it
//   LimitGrants::Verdict V = G.check(Start, IsStated, Asker, Role, Now);
//   if (V.IsGranted_) G.take(Start);
//
// Handles a load that jumps while endpoints are cold: each entry alone would
// send little, and all of them together more than the endpoint bears. The rates
// and bursts are in ColdFigures.
//
// A query states the limit while its entry counts the endpoint as cold, or at
// all times (ColdEndpoints). What any entry has stated holds for the queries of
// all until it has passed. Statements are exchanged with the time that is left,
// which leaves out their time on the way, so one that prolongs the known time
// by less than MinExtension is ignored: it would grow with each exchange.
//
// One bucket counts all starts of an endpoint, since entries learn of a restart
// at different times. A bucket has been filling since this process started, so
// a restart of the granter grants nothing anew.
//
// No I/O, no clock, no threads. Memory: at most MaxKnown endpoints, and the
// entries that have asked for them within AskerMemory_.

#ifndef HAWTHORNROAD_TRAFFIC_COLDGRANTS_H
#define HAWTHORNROAD_TRAFFIC_COLDGRANTS_H

#include "hawthornroad/traffic/ColdFigures.h"
#include "hawthornroad/traffic/ColdLimit.h"

#include <map>
#include <optional>

namespace hawthornroad {

// Longer than a query is on its way unless a machine is suspended.
inline constexpr Duration MinColdExtension = Milliseconds(250);

class ColdGrants {
public:
  static constexpr std::size_t MaxKnown = 4096;

  struct Options {
    // Least and longest time after which a refused entry asks again. The
    // longest is a fraction of a cold time, so that tokens do not stay unused.
    Duration MinWait_ = Milliseconds(50);
    Duration MaxWait_ = Milliseconds(500);
    // How long an entry that has asked counts as one that wants requests.
    Duration AskerMemory_ = Seconds(1);
  };

  explicit ColdGrants(TimePoint StartedAt) : StartedAt_(StartedAt) {}
  ColdGrants(TimePoint StartedAt, Options O)
      : Options_(O), StartedAt_(StartedAt) {}

  // True when the endpoint was not known to be cold before.
  bool note(const EndpointStart &E, const ColdLimit &L, TimePoint Now);
  // The limit while the endpoint is known to be cold.
  std::optional<ColdLimit> find(const EndpointStart &E, TimePoint Now) const;
  // Whether the endpoint may receive one more request now. IsStated: the query
  // states the limit. Granted without a limit.
  LimitGrants::Verdict check(const EndpointStart &E, bool IsStated,
                             const ProcessName &Asker, GranterRole Role,
                             TimePoint Now);
  // Counts the request that check() has just granted.
  void take(const EndpointStart &E);
  // Number of refused queries.
  std::uint64_t denied() const { return Denied_; }
  // Number of endpoints that are remembered.
  std::size_t known() const { return Known_.size(); }

private:
  struct State {
    double Arrivals_ = 0;
    double PerSecond_ = 0;
    // The latest start that is known to be cold, and until when.
    std::uint64_t Born_ = 0;
    TimePoint ColdUntil_;
    double Tokens_ = 0;
    TimePoint FilledAt_;
    // The last check counted.
    bool IsCounted_ = false;
    std::map<ProcessName, TimePoint> Askers_;
  };
  State &stateOf(const EndpointId &Id, TimePoint Now);
  void evict(TimePoint Now);

  Options Options_;
  TimePoint StartedAt_;
  std::map<EndpointId, State> Known_;
  std::uint64_t Denied_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_COLDGRANTS_H
