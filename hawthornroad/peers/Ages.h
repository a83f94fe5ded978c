// Times as ages, as they travel between processes whose clocks are unrelated.
//
//   Out.age_us = ageInMicroseconds(Statement.At_, Now);
//   Statement.At_ = timeOfAge(In.age_us, Now);
//
// Ages are at most MaxAge: older times are all alike, and a larger number could
// overflow a time.

#ifndef HAWTHORNROAD_PEERS_AGES_H
#define HAWTHORNROAD_PEERS_AGES_H

#include "hawthornroad/base/Types.h"

#include <algorithm>
#include <cstdint>

namespace hawthornroad {

inline constexpr Duration MaxAge = Seconds(3600);

inline std::uint64_t inMicroseconds(Duration D) {
  return static_cast<std::uint64_t>(D / std::chrono::microseconds(1));
}

inline std::uint64_t ageInMicroseconds(TimePoint T, TimePoint Now) {
  return inMicroseconds(
      std::clamp<Duration>(Now - T, Duration::zero(), MaxAge));
}

inline TimePoint timeOfAge(std::uint64_t Microseconds, TimePoint Now) {
  return Now - std::chrono::microseconds(
                   std::min(Microseconds, inMicroseconds(MaxAge)));
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_AGES_H
