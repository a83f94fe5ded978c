#include "hawthornroad/routing/TokenBucket.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr Duration MaxRefillWait = std::chrono::hours(24);
} // namespace

void TokenBucket::refill(TimePoint Now) {
  if (!Started_) {
    Started_ = true;
    Updated_ = Now;
  }
  if (Now <= Updated_)
    return;
  double Elapsed = std::chrono::duration<double>(Now - Updated_).count();
  Tokens_ = std::min(Burst_, Tokens_ + Elapsed * Rate_);
  Updated_ = Now;
}

void TokenBucket::resize(double Rate, double Burst) {
  Rate_ = Rate;
  Burst_ = Burst;
  Tokens_ = std::min(Tokens_, Burst);
}

bool TokenBucket::available(TimePoint Now) {
  refill(Now);
  return Tokens_ >= 1.0;
}

void TokenBucket::take(TimePoint Now) {
  refill(Now);
  Tokens_ -= 1.0;
}

Duration TokenBucket::untilAvailable(TimePoint Now) {
  refill(Now);
  if (Tokens_ >= 1.0)
    return Duration::zero();
  double Wait = Rate_ > 0 ? (1.0 - Tokens_) / Rate_ : 1e9;
  if (Wait >= std::chrono::duration<double>(MaxRefillWait).count())
    return MaxRefillWait;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

} // namespace hawthornroad
