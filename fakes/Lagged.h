// A value that is read with a fixed delay, such as a lagging report.
//
//   Lagged<Load> Reports(Milliseconds(200));
//   Reports.set(Current, Now);
//   Load Shown = Reports.at(Now);
//
// Cost: keeps the values set within the lag and one older value.

#ifndef HAWTHORNROAD_FAKES_LAGGED_H
#define HAWTHORNROAD_FAKES_LAGGED_H

#include "hawthornroad/base/Types.h"

#include <deque>
#include <utility>

namespace hawthornroad {

template <class T> class Lagged {
public:
  explicit Lagged(Duration Lag, T First = {}) : Lag_(Lag) {
    Values_.push_back({TimePoint::min(), std::move(First)});
  }

  void set(T Value, TimePoint Now) {
    dropOutdated(Now);
    Values_.push_back({Now, std::move(Value)});
  }

  // The value that was current at Now minus the lag.
  const T &at(TimePoint Now) {
    dropOutdated(Now);
    return Values_.front().second;
  }

private:
  // Drops values until the first one is the value current at Now minus the lag.
  void dropOutdated(TimePoint Now) {
    while (Values_.size() > 1 && Values_[1].first + Lag_ <= Now)
      Values_.pop_front();
  }

  Duration Lag_;
  std::deque<std::pair<TimePoint, T>> Values_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_LAGGED_H
