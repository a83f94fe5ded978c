#include "hawthornroad/routing/ReturnTimes.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Taken for a service that has not finished a request yet.
constexpr double AssumedPerSecond = 100;
constexpr double Jitter = 0.5;
} // namespace

Duration ReturnTimes::next(const Pace &P, Random &Rng, TimePoint Now) {
  using InSeconds = std::chrono::duration<double>;
  const double Rate = P.PerSecond_ > 0 ? P.PerSecond_ : AssumedPerSecond;
  if (Now > Updated_) {
    double Back = InSeconds(Now - Updated_).count() * Rate;
    Away_ = std::max(0.0, Away_ - Back);
    Updated_ = Now;
  }
  const double MostAway = InSeconds(Most).count() * Rate;
  Away_ = std::min(Away_ + 1, MostAway);
  double Wait = (P.Backlog_ + Away_) / Rate;
  Wait = std::clamp(Wait, InSeconds(Least).count(), InSeconds(Most).count());
  Wait *= 1 + Jitter * Rng.unit();
  auto Out = std::chrono::duration_cast<Duration>(InSeconds(Wait));
  return std::clamp<Duration>(Out, Least, Most);
}

} // namespace hawthornroad
