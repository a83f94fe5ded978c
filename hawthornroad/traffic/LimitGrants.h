// Grants the requests that an endpoint with a stated rate limit accepts, to the
// entries that ask for them.
//
//   LimitGrants G(Now);                    // when the process starts
//   G.note(Start, Statement);              // as an entry reports it
//   LimitGrants::Verdict V = G.check(Start, Asker, Role, Now);
//   if (V.IsGranted_) { G.take(Start); send(); } else waitFor(V.Wait_);
//
// The limit is one for all entries together. One process grants for an
// endpoint, so the sum holds for any number of entries, for limits below one a
// second, and while entries come and go.
//
// Entries may use two granters at once, and both together must stay within one
// and a half times the limit and five requests in four seconds. The agent
// beside an engine is the same for all entries and grants nearly the whole
// limit; one that stands in for it, for entries that it does not answer, grants
// a smaller share. Granters of other endpoints are chosen by each entry among
// the agents that it is connected to, so two of them may be chosen for some
// seconds. A grant is used up to MaxGrantAge after it was given:
//   T * (Beside + Substitute) * L + 2 * (Burst_ + BurstShare_ * L) <= 6 * L + 5
//   T * 2 * Chosen * L            + 2 * (Burst_ + BurstShare_ * L) <= 6 * L + 5
// with T = 4 + MaxGrantAge. A bucket has been filling since this process
// started, so a restart of the granter grants nothing anew.
//
// An entry that is refused asks again after a time in which twice the requests
// become free that all entries ask for, so granted rates are used and the
// number of queries stays small with hundreds of entries.
//
// No I/O, no clock, no threads. Memory: the entries that have asked within
// AskerMemory_, for at most StatedLimits::MaxKnown endpoints.

#ifndef HAWTHORNROAD_TRAFFIC_LIMITGRANTS_H
#define HAWTHORNROAD_TRAFFIC_LIMITGRANTS_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/traffic/StatedLimits.h"

#include <map>

namespace hawthornroad {

enum class GranterRole {
  // The agent beside the endpoint.
  Beside,
  // Stands in for the agent beside the endpoint.
  Substitute,
  // The endpoint has no agent of its own.
  Chosen
};

class LimitGrants {
public:
  // Entries use no grant later than this after they have asked for it.
  static constexpr Duration MaxGrantAge = Milliseconds(450);

  struct Options {
    // Shares of the limit that are granted in each role.
    double Beside_ = 0.95;
    double Substitute_ = 0.35;
    double Chosen_ = 0.65;
    // Requests granted at once, and more of them for higher limits.
    double Burst_ = 2;
    double BurstShare_ = 0.1;
    // Granted also at a limit of zero: only an answer shows that it ended.
    double MinPerSecond_ = 0.1;
    // Least and longest time after which a refused entry asks again.
    Duration MinWait_ = Milliseconds(50);
    Duration MaxWait_ = Seconds(5);
    // How long an entry that has asked counts as one that wants requests.
    Duration AskerMemory_ = Seconds(6);
  };
  struct Verdict {
    bool IsGranted_ = false;
    // When refused: how long to wait before asking again.
    Duration Wait_ = Duration::zero();
  };

  explicit LimitGrants(TimePoint StartedAt) : StartedAt_(StartedAt) {}
  LimitGrants(TimePoint StartedAt, Options O)
      : Options_(O), StartedAt_(StartedAt) {}

  // True when the limit in force changed.
  bool note(const EndpointStart &E, const LimitStatement &S);
  const StatedLimits &limits() const { return Limits_; }
  // Whether the endpoint accepts one more request now. Granted without a limit.
  Verdict check(const EndpointStart &E, const ProcessName &Asker,
                GranterRole Role, TimePoint Now);
  // Counts the request that check() has just granted.
  void take(const EndpointStart &E);
  // Number of endpoints whose grants are counted.
  std::size_t counted() const { return Buckets_.size(); }

private:
  struct Bucket {
    double Tokens_ = 0;
    TimePoint FilledAt_;
    std::map<ProcessName, TimePoint> Askers_;
  };
  // Requests a second.
  double rate(double Limit, GranterRole Role) const;
  double burst(double Limit) const;
  void fill(Bucket &B, double Limit, double Rate, TimePoint Now) const;

  Options Options_;
  TimePoint StartedAt_;
  StatedLimits Limits_;
  std::map<EndpointStart, Bucket> Buckets_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_LIMITGRANTS_H
