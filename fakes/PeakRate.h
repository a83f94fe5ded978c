// Counts events and records the highest count within one second, so that a
// test can check that a platform service stays within its request limit.

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
      CountInSecond_ = 0;
    Second_ = Second;
    ++Total_;
    Peak_ = std::max(Peak_, ++CountInSecond_);
  }
  std::uint64_t total() const { return Total_; }
  std::uint64_t peak() const { return Peak_; }

private:
  std::int64_t Second_ = 0;
  std::uint64_t CountInSecond_ = 0;
  std::uint64_t Peak_ = 0;
  std::uint64_t Total_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PEAKRATE_H
