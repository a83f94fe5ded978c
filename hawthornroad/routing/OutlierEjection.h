// Ejects endpoints that fail much more often than their peers, and readmits
// them one attempt at a time.
//
//   OutlierEjection Group;                    // one per service
//   OutlierEjection::Record R;                // one per endpoint
//   if (Group.failed(R, Members, Now)) ...    // R is ejected until R.Until_
//   if (R.mayProbe(Now)) { R.Probing_ = true; dispatch; }
//   if (Group.answered(R, Now)) ...           // R is readmitted
//
// An endpoint is ejected when its last ConsecutiveFailures attempts all failed,
// or at least half of a sufficient sample did, and its failure rate is also
// well above that of its peers: when all fail alike (a dependency is down, a
// bad release), ejecting endpoints would only overload the rest. Each ejection
// lasts twice as long as the previous one, up to MaxEjection; a long period of
// successful answers resets the length. When the time is over the endpoint gets
// one attempt at a time; ProbesToReturn successful ones readmit it, one failure
// ejects it again.
//
// Limit: never more than MaxEjectedShare of the members at once, but at least
// one of two or more. Failure counts decay with a time constant of Window.

#ifndef HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H
#define HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H

#include "hawthornroad/base/Types.h"

#include <cstddef>

namespace hawthornroad {

class OutlierEjection {
public:
  static constexpr std::size_t ConsecutiveFailures = 3;
  static constexpr std::size_t ProbesToReturn = 2;
  static constexpr double MaxEjectedShare = 1.0 / 3;
  static constexpr Duration FirstEjection = Seconds(2);
  static constexpr Duration MaxEjection = Seconds(60);
  static constexpr Duration Window = Seconds(20);

  // Exponentially decaying counts of answers and failures.
  struct Tally {
    double Answered_ = 0;
    double Failed_ = 0;
    TimePoint Updated_;
    void decay(TimePoint Now);
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

  // Members is the number of ready endpoints, ejected ones included. Returns
  // true when this failure ejects R, for the first time or again.
  bool failed(Record &R, std::size_t Members, TimePoint Now);
  // Returns true when this answer readmits R.
  bool answered(Record &R, TimePoint Now);
  // An attempt ended without evidence about the endpoint.
  void inconclusive(Record &R) { R.Probing_ = false; }
  // Ends the ejection of R because it has left, restarted, or is needed.
  void release(Record &R);

  std::size_t ejected() const { return EjectedCount_; }
  static std::size_t maxEjected(std::size_t Members);

private:
  bool isOutlier(const Record &R) const;
  void eject(Record &R, TimePoint Now);

  Tally All_;
  std::size_t EjectedCount_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_OUTLIEREJECTION_H
