// The time that decisions of store-based processes see: steady, and counting on
// while the machine is suspended.
//
// The steady clock stands still during a suspension. A process that wakes up
// would take an old lease, deadline or kept connection for fresh; with this
// clock they are over at its first look. It is comparable on one machine only.

#ifndef HAWTHORNROAD_RUNTIME_BOOTCLOCK_H
#define HAWTHORNROAD_RUNTIME_BOOTCLOCK_H

#include "hawthornroad/base/Types.h"

#include <ctime>

namespace hawthornroad {

inline TimePoint bootNow() {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      Seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_BOOTCLOCK_H
