// Tracks how long a service has been refusing requests for lack of capacity.
//
//   Overload O;
//   O.refused(Now);
//   Duration Likely = O.elapsed(Now);   // also the expected remaining time
//   if (!O.isActive(Now)) ...           // no recent refusals
//
// The duration of an overload is not known in advance. One that has lasted for
// some time is as likely as not to last as long again, so that time is used as
// the retry delay of refused callers. The delay is short after the first
// refusals, which may be a small burst, and grows with the overload, during
// which early retries would be refused again.

#ifndef HAWTHORNROAD_TRAFFIC_OVERLOAD_H
#define HAWTHORNROAD_TRAFFIC_OVERLOAD_H

#include "hawthornroad/base/Types.h"

#include <optional>

namespace hawthornroad {

class Overload {
public:
  // An overload ends after this long without a refusal. Longer than the gaps
  // between refusals at an entry with a few requests a second.
  static constexpr Duration QuietPeriod = Milliseconds(1500);

  void refused(TimePoint Now) {
    if (!isActive(Now))
      Since_ = Now;
    Last_ = Now;
  }
  bool isActive(TimePoint Now) const {
    return Last_ && Now - *Last_ < QuietPeriod;
  }
  Duration elapsed(TimePoint Now) const {
    return isActive(Now) ? Now - Since_ : Duration::zero();
  }

private:
  TimePoint Since_{};
  std::optional<TimePoint> Last_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_OVERLOAD_H
