// How fast an endpoint works now, from the figure that it states about itself,
// and a choice that shares work by speed.
//
//   EndpointSpeed S;
//   S.note(Head.Slowdown_, Now);
//   double Expected = UsualMs * S.factor(Now);
//   std::size_t I = chooseBySpeed(Candidates, Random_);
//
// Load pattern: some endpoints take 2.5 times their usual time for about 600 ms
// at a time, then others do. A figure therefore counts for FreshFor only:
// afterwards the endpoint counts as usual, so an endpoint that was slow gets
// work again without a message or a probe, and a sender that is silent keeps no
// endpoint out.
//
// A value below 1 counts as 1. If a faster endpoint were preferred, all
// processes that hear of it would send to it at the same moment.
//
// Cost: constant; chooseBySpeed() makes two passes over the candidates.

#ifndef HAWTHORNROAD_TRAFFIC_ENDPOINTSPEED_H
#define HAWTHORNROAD_TRAFFIC_ENDPOINTSPEED_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

#include <optional>
#include <vector>

namespace hawthornroad {

class EndpointSpeed {
public:
  // Half of a slow period: an older figure is more likely wrong than right.
  static constexpr Duration FreshFor = Milliseconds(300);
  // A larger value counts as this one, four times that of a usual slow period:
  // an endpoint whose figure is wrong still gets work when others are loaded.
  static constexpr double MaxFactor = 10;

  // A value that was stated at At, relative to the usual time. Unset values,
  // and values older than the known one, are ignored.
  void note(std::optional<double> Slowdown, TimePoint At);
  // The value as stated; unset when there is none or it is old.
  std::optional<double> stated(TimePoint Now) const;
  // By what usual times are multiplied; 1 without a recent value.
  double factor(TimePoint Now) const;
  // The factor that belongs to a stated value.
  static double factorOf(std::optional<double> Slowdown);
  // Whether a value was ever stated, however old.
  bool wasStated() const { return Slowdown_.has_value(); }

private:
  std::optional<double> Slowdown_;
  TimePoint At_;
};

struct SpeedCandidate {
  // Expected time; the lower one of two is chosen.
  double Cost_ = 0;
  // Work that it does in a time, relative to the others.
  double Speed_ = 1;
};

// Draws two candidates in proportion to their speeds and returns the position
// of the cheaper one. Processes that decide alone, on loads some hundred
// milliseconds old, would all choose the same cheapest endpoint; drawn ones
// spread over all endpoints, and a slow one gets less in proportion.
// Candidates must not be empty.
std::size_t chooseBySpeed(const std::vector<SpeedCandidate> &Candidates,
                          Random &R);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ENDPOINTSPEED_H
