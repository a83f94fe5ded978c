#include "hawthornroad/traffic/LimitShare.h"

#include <algorithm>

namespace hawthornroad {

Duration LimitShare::span(double PerSecond) const {
  double Rate = Options_.Share_ * std::max(PerSecond, Options_.MinPerSecond_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Options_.Entries_ / Rate));
}

Duration LimitShare::randomPart(Duration Span) {
  return std::chrono::duration_cast<Duration>(Span * Random_.unit());
}

TimePoint LimitShare::nextAt(const EndpointStart &E, double PerSecond,
                             TimePoint Now) {
  if (NextAt_.size() >= StatedLimits::MaxKnown && !NextAt_.contains(E))
    std::erase_if(NextAt_, [&](const auto &Each) {
      return Now - Each.second > Options_.Open_;
    });
  if (NextAt_.size() >= StatedLimits::MaxKnown && !NextAt_.contains(E))
    return Now + span(PerSecond);
  auto [Found, IsNew] = NextAt_.try_emplace(E);
  TimePoint &Next = Found->second;
  Duration Span = span(PerSecond);
  bool IsForfeited = Now - Next > Options_.Open_;
  // The limit has been raised.
  bool IsTooFar = Next - Now > 2 * Span;
  if (IsNew || IsForfeited || IsTooFar)
    Next = Now + randomPart(Span);
  return Next;
}

void LimitShare::take(const EndpointStart &E, double PerSecond, TimePoint Now) {
  constexpr double Spread = 0.5;
  NextAt_[E] = Now + Random_.jitter(span(PerSecond), Spread);
}

} // namespace hawthornroad
