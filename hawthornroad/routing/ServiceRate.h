// How fast a service gives this entry places, measured from its own requests.
//
//   ServiceRate R;
//   R.started(); ...
//   R.finished(Took);
//   Duration Wait = R.timeFor(PlacesAhead);
//
// Little's law: with n requests in progress that take W on average, places come
// free at n / W a second. That holds at once when endpoints come or go, while a
// count of completions a second would need a window to notice, and would take
// a quiet minute for a slow one.
//
// Also kept: the time that only one request in ten exceeds. A request that has
// less left is likely to spend a place and miss its deadline all the same.

#ifndef HAWTHORNROAD_ROUTING_SERVICERATE_H
#define HAWTHORNROAD_ROUTING_SERVICERATE_H

#include "hawthornroad/base/Types.h"

#include <cstddef>

namespace hawthornroad {

class ServiceRate {
public:
  void started() { ++InProgress_; }
  // The request left without an answer that would tell a time.
  void abandoned();
  void finished(Duration Took);

  bool isKnown() const { return Samples_ > 0; }
  // Places a second; 0 while unknown.
  double perSecond() const;
  // Time until Places have come free; zero while unknown.
  Duration timeFor(double Places) const;
  // The longest time that a request is likely to take; zero while unknown.
  Duration longest() const;
  std::size_t inProgress() const { return InProgress_; }

private:
  std::size_t InProgress_ = 0;
  std::size_t Samples_ = 0;
  double MeanSeconds_ = 0;
  double LongSeconds_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_SERVICERATE_H
