// Estimates how much of a caller's time had passed before its request arrived
// at this process.
//
//   CallerAge Ages;
//   Duration Elapsed = Ages.note(Route, TimeLeft, NoRefusals, Now);
//
// Callers state the time they will still wait, not the time they have waited. A
// refused caller retries with less time left, under a new id and mostly at
// another entry, so the stated time is the only sign of a retry.
//
// First requests state different times too, by the caller's choice. Their range
// is learned while no request is refused, since there are no retries then: the
// shortest time stated in that state, except for a few strays, is the least
// time of a first request. A request that states less is a retry, and its
// elapsed time is the difference from the longest time. Until the least is
// learned (an entry that starts during an overload), only a request that states
// clearly less than the longest counts as a retry.
//
// No I/O, no clock, no threads. Memory: MaxSamples times per route; routes
// without requests are dropped after RetainFor.

#ifndef HAWTHORNROAD_TRAFFIC_CALLERAGE_H
#define HAWTHORNROAD_TRAFFIC_CALLERAGE_H

#include "hawthornroad/base/Types.h"

#include <deque>
#include <map>
#include <string>

namespace hawthornroad {

class CallerAge {
public:
  // Samples kept per route, and samples needed before the least is used.
  static constexpr std::size_t MaxSamples = 64;
  static constexpr std::size_t MinSamples = 12;
  // Share of the shortest times stated without refusals that may belong to
  // retries after some other failure.
  static constexpr double StrayShare = 0.04;
  // Least time as a share of the longest, until it is learned: callers told to
  // retry wait up to a third of their time.
  static constexpr double DefaultLeastShare = 0.75;
  // How long a route's samples are kept without a request.
  static constexpr Duration RetainFor = Seconds(120);

  // NoRefusals: no request was refused recently. Returns zero for a first
  // request.
  Duration note(const std::string &Route, Duration TimeLeft, bool NoRefusals,
                TimePoint Now);

private:
  struct Account {
    // Times stated while no request was refused, newest last.
    std::deque<Duration> Samples_;
    // The longest sample; the longest of all stated times until there are
    // samples.
    Duration Longest_ = Duration::zero();
    Duration Least_ = Duration::zero();
    TimePoint UsedAt_;
  };
  static void learn(Account &A, Duration TimeLeft);
  void forgetIdle(TimePoint Now);

  std::map<std::string, Account> Accounts_;
  TimePoint SweptAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CALLERAGE_H
