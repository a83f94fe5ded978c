// Counts events and remembers the busiest second, so that a test can see
// whether a platform service was asked more often than it bears.

#ifndef HAWTHORNROAD_FAKES_PEAKRATE_H
#define HAWTHORNROAD_FAKES_PEAKRATE_H

#include "hawthornroad/base/Types.h"

#include <algorithm>

namespace hawthornroad {

class PeakRate {
public:
  void count(TimePoint Now) {
    auto Second =
        std::chrono::duration_cast<Seconds>(Now.time_since_epoch()).count();
    if (Second != Second_)
      InSecond_ = 0;
    Second_ = Second;
    ++Total_;
    Peak_ = std::max(Peak_, ++InSecond_);
  }
  std::uint64_t total() const { return Total_; }
  std::uint64_t peak() const { return Peak_; }

private:
  std::int64_t Second_ = 0;
  std::uint64_t InSecond_ = 0;
  std::uint64_t Peak_ = 0;
  std::uint64_t Total_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PEAKRATE_H
