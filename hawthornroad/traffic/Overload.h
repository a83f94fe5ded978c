// Since when a service's requests have been refused for want of places.
//
//   Overload O;
//   O.refused(Now);
//   Duration Likely = O.lasts(Now);     // how much longer, as far as is known
//   if (!O.isOn(Now)) ...               // nobody has been refused lately
//
// Nobody knows how long an overload goes on. One that has lasted for a time is
// as likely as not to last for as long again, so that is the time after which a
// refused caller is told to come back: soon after the first refusals, when a
// handful of requests came together, and later the longer it goes on, when
// whoever came back soon would be refused once more.

#ifndef HAWTHORNROAD_TRAFFIC_OVERLOAD_H
#define HAWTHORNROAD_TRAFFIC_OVERLOAD_H

#include "hawthornroad/base/Types.h"

#include <optional>

namespace hawthornroad {

class Overload {
public:
  // Without a refusal for this long it is over. Longer than refusals of one
  // overload are apart at an entry with a few requests a second.
  static constexpr Duration Quiet = Milliseconds(1500);

  void refused(TimePoint Now) {
    if (!isOn(Now))
      Since_ = Now;
    Last_ = Now;
  }
  bool isOn(TimePoint Now) const { return Last_ && Now - *Last_ < Quiet; }
  Duration lasts(TimePoint Now) const {
    return isOn(Now) ? Now - Since_ : Duration::zero();
  }

private:
  TimePoint Since_{};
  std::optional<TimePoint> Last_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_OVERLOAD_H
