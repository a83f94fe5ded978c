#include "hawthornroad/peers/LimitCodec.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Older statements are all alike, and a larger number could overflow a time.
constexpr Duration MaxAge = Seconds(3600);

std::uint64_t ageInMicroseconds(TimePoint T, TimePoint Now) {
  Duration Age = std::clamp<Duration>(Now - T, Duration::zero(), MaxAge);
  return static_cast<std::uint64_t>(Age / std::chrono::microseconds(1));
}

TimePoint timeOf(std::uint64_t AgeMicroseconds, TimePoint Now) {
  constexpr auto Max =
      static_cast<std::uint64_t>(MaxAge / std::chrono::microseconds(1));
  return Now - std::chrono::microseconds(std::min(AgeMicroseconds, Max));
}
} // namespace

std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement &S,
                                                TimePoint Now) {
  auto Out = std::make_unique<wire::StatedLimitT>();
  Out->limited = S.PerSecond_.has_value();
  Out->per_second = S.PerSecond_.value_or(0);
  Out->begun_age_us = ageInMicroseconds(S.Begun_, Now);
  Out->age_us = ageInMicroseconds(S.At_, Now);
  return Out;
}

std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement *S,
                                                TimePoint Now) {
  return S == nullptr ? nullptr : encodeLimit(*S, Now);
}

LimitStatement decodeLimit(const wire::StatedLimitT &S, TimePoint Now) {
  LimitStatement Out;
  // A value that is no number counts as the tightest limit.
  if (S.limited)
    Out.PerSecond_ = S.per_second >= 0 ? S.per_second : 0;
  Out.Begun_ = timeOf(S.begun_age_us, Now);
  Out.At_ = timeOf(S.age_us, Now);
  return Out;
}

} // namespace hawthornroad
