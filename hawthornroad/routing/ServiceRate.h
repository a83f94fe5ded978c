// Estimates how fast the slots of a service become free for this entry, from
// the entry's own requests.
//
//   ServiceRate R;
//   R.started(); ...
//   R.finished(Took);
//   Duration Wait = R.timeUntilFree(PlacesAhead);
//
// Uses Little's law: with n requests in progress that take W on average, slots
// become free at a rate of n / W. This adapts immediately when endpoints come
// or go. A count of completions per second would need a window to notice, and
// would mistake a minute with little traffic for a slow service.
//
// Also estimates the 95th percentile of the service time. A request with less
// time left than that is likely to occupy a slot and still miss its deadline.

#ifndef HAWTHORNROAD_ROUTING_SERVICERATE_H
#define HAWTHORNROAD_ROUTING_SERVICERATE_H

#include "hawthornroad/base/Types.h"

#include <cstddef>

namespace hawthornroad {

class ServiceRate {
public:
  void started() { ++InProgress_; }
  // The request ended without an answer that gives a service time.
  void abandoned();
  void finished(Duration Took);

  bool isKnown() const { return Samples_ > 0; }
  // Slots that become free per second; 0 while unknown.
  double perSecond() const;
  // Time until the given number of slots have become free; zero while unknown.
  Duration timeUntilFree(double Places) const;
  // 95th percentile of the service time; zero while unknown.
  Duration longest() const;
  std::size_t inProgress() const { return InProgress_; }

private:
  std::size_t InProgress_ = 0;
  std::size_t Samples_ = 0;
  double MeanSeconds_ = 0;
  double SlowSeconds_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_SERVICERATE_H
