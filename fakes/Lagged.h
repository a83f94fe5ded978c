// A value as it was some time ago: what a report that lags shows.
//
//   Lagged<Load> Reports(Milliseconds(200));
//   Reports.set(Current, Now);
//   Load Shown = Reports.at(Now);
//
// Cost: values set within the lag are kept, older ones but one are dropped.

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
    drop(Now);
    Values_.push_back({Now, std::move(Value)});
  }

  // The value in force at Now minus the lag.
  const T &at(TimePoint Now) {
    drop(Now);
    return Values_.front().second;
  }

private:
  // Keeps at the front the last value whose time has come.
  void drop(TimePoint Now) {
    while (Values_.size() > 1 && Values_[1].first + Lag_ <= Now)
      Values_.pop_front();
  }

  Duration Lag_;
  std::deque<std::pair<TimePoint, T>> Values_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_LAGGED_H
