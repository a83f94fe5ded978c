// The decision clock of store-based processes: monotonic, and running while the
// machine is suspended.
//
//   TimePoint Now = bootNow();
//
// The steady clock stops during a suspension, so a resumed process would treat
// an old lease, deadline or kept-alive connection as still valid. With this
// clock they have expired at the first check. Values are comparable only within
// one machine.

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
