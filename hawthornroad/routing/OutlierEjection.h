// Takes endpoints out that fail much more often than their peers, and lets
// them back one attempt at a time.
//
//   OutlierEjection Group;                    // one for a service
//   OutlierEjection::Record R;                // one for an endpoint
//   if (Group.failed(R, Members, Now)) ...    // R is ejected until R.Until_
//   if (R.mayProbe(Now)) { R.Probing_ = true; dispatch; }
//   if (Group.answered(R, Now)) ...           // R is back
//
// An endpoint is ejected when its last ConsecutiveFailures attempts all failed,
// or when half of a fair sample did, and its failure rate is also well above
// that of its peers: when all fail alike (a dependency is down, a bad release),
// taking endpoints out would only bury the rest. Each ejection lasts twice as
// long as the last one, up to LongestEjection; a time of good answers forgives.
// When the time is over the endpoint gets one attempt at a time; ProbesToReturn
// good ones bring it back, one failure ejects it again.
//
// Bound: never more than MostShare of the members at once, at least one of two
// or more. Failure counts fade with a time constant of Window.

#ifndef HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H
#define HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H

#include "hawthornroad/base/Types.h"

#include <cstddef>

namespace hawthornroad {

class OutlierEjection {
public:
  static constexpr std::size_t ConsecutiveFailures = 3;
  static constexpr std::size_t ProbesToReturn = 2;
  static constexpr double MostShare = 1.0 / 3;
  static constexpr Duration FirstEjection = Seconds(2);
  static constexpr Duration LongestEjection = Seconds(60);
  static constexpr Duration Window = Seconds(20);

  // Answers and failures, fading with time.
  struct Tally {
    double Answered_ = 0;
    double Failed_ = 0;
    TimePoint Updated_;
    void fade(TimePoint Now);
    double rate() const;
  };

  struct Record {
    Tally Tally_;
    std::size_t FailuresInRow_ = 0;
    bool Ejected_ = false;
    TimePoint Until_;
    Duration LastLength_ = Duration::zero();
    bool Probing_ = false;
    std::size_t GoodProbes_ = 0;
    bool mayProbe(TimePoint Now) const {
      return Ejected_ && !Probing_ && Now >= Until_;
    }
  };

  // Members is the number of ready endpoints, ejected ones included. True when
  // R has just been ejected, or again.
  bool failed(Record &R, std::size_t Members, TimePoint Now);
  // True when R has just returned.
  bool answered(Record &R, TimePoint Now);
  // An attempt ended that says nothing of the endpoint.
  void inconclusive(Record &R) { R.Probing_ = false; }
  // R is no longer ejected: it has left, restarted, or is needed after all.
  void release(Record &R);

  std::size_t ejected() const { return EjectedCount_; }
  static std::size_t mostEjected(std::size_t Members);

private:
  bool isOutlier(const Record &R) const;
  void eject(Record &R, TimePoint Now);

  Tally All_;
  std::size_t EjectedCount_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H
