// How much of a caller's time had gone when its request came here.
//
//   CallerAge Ages;
//   Duration Gone = Ages.note(Route, TimeLeft, IsCalm, Now);
//
// Callers name the time they still wait, not the time they have waited. One
// that was refused comes back with less of it, under a new id and mostly at
// another entry, so the time it names is all there is to know it by.
//
// First requests differ in it too, by the caller's own choice. How much is
// learnt while nobody is refused, for then nobody comes back: the shortest time
// named then, but for a few, is the least of first requests. A request that
// names less has been here before, and what had gone is what it names less than
// the longest. While the least has not been learnt (an entry that starts in an
// overload), only a request that names clearly less than the longest counts as
// come back.
//
// No I/O, no clock, no threads. Memory: SamplesKept times a route; routes that
// nobody asks for are forgotten after Memory.

#ifndef HAWTHORNROAD_TRAFFIC_CALLERAGE_H
#define HAWTHORNROAD_TRAFFIC_CALLERAGE_H

#include "hawthornroad/base/Types.h"

#include <deque>
#include <map>
#include <string>

namespace hawthornroad {

class CallerAge {
public:
  // Times of a route that are kept, and needed before the least is believed.
  static constexpr std::size_t SamplesKept = 64;
  static constexpr std::size_t SamplesLeast = 12;
  // Of the shortest times named while nobody was refused, this part may be of
  // requests that came back after some other failure.
  static constexpr double Strays = 0.04;
  // The least in place of one that has not been learnt, as a part of the
  // longest: callers told to come back wait up to a third of their time.
  static constexpr double UnlearntLeast = 0.75;
  // How long a route's times are remembered without a request.
  static constexpr Duration Memory = Seconds(120);

  // IsCalm: nobody has been refused lately. Zero for a first request.
  Duration note(const std::string &Route, Duration TimeLeft, bool IsCalm,
                TimePoint Now);

private:
  struct Account {
    // Times named while nobody was refused, newest last.
    std::deque<Duration> Calm_;
    // The longest of them; of all until there are some.
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
