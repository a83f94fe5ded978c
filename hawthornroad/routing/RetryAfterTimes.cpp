#include "hawthornroad/routing/RetryAfterTimes.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Rate assumed for a service that has not finished a request yet.
constexpr double AssumedPerSecond = 100;
constexpr double Jitter = 0.5;
} // namespace

Duration RetryAfterTimes::next(const Pace &P, Random &Rng, TimePoint Now) {
  using InSeconds = std::chrono::duration<double>;
  const double Rate = P.PerSecond_ > 0 ? P.PerSecond_ : AssumedPerSecond;
  if (Now > Updated_) {
    double Back = InSeconds(Now - Updated_).count() * Rate;
    PendingCallers_ = std::max(0.0, PendingCallers_ - Back);
    Updated_ = Now;
  }
  const double MaxPending = InSeconds(MaxRetryAfter).count() * Rate;
  PendingCallers_ = std::min(PendingCallers_ + 1, MaxPending);
  double Wait = (P.Backlog_ + PendingCallers_) / Rate;
  Wait = std::clamp(Wait, InSeconds(MinRetryAfter).count(),
                    InSeconds(MaxRetryAfter).count());
  Wait *= 1 + Jitter * Rng.unit();
  auto Out = std::chrono::duration_cast<Duration>(InSeconds(Wait));
  return std::clamp<Duration>(Out, MinRetryAfter, MaxRetryAfter);
}

} // namespace hawthornroad
