#include "hawthornroad/peers/LimitCodec.h"

#include "hawthornroad/peers/Ages.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

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
  Out.Begun_ = timeOfAge(S.begun_age_us, Now);
  Out.At_ = timeOfAge(S.age_us, Now);
  return Out;
}

std::unique_ptr<wire::ColdStateT>
encodeCold(const std::optional<ColdLimit> &L) {
  if (!L)
    return nullptr;
  auto Out = std::make_unique<wire::ColdStateT>();
  Out->per_second = L->PerSecond_;
  Out->arrivals = L->Arrivals_;
  Out->left_us = static_cast<std::uint64_t>(
      std::max<Duration>(L->Left_, Duration::zero()) /
      std::chrono::microseconds(1));
  return Out;
}

// A value that is no number counts as the tightest limit.
std::optional<ColdLimit> decodeCold(const wire::ColdStateT *S) {
  constexpr std::uint64_t MaxLeftUs = 3'600'000'000;
  if (S == nullptr)
    return std::nullopt;
  ColdLimit Out;
  Out.PerSecond_ = S->per_second >= 0 ? S->per_second : 0;
  Out.Arrivals_ = S->arrivals >= 0 ? S->arrivals : 0;
  Out.Left_ = std::chrono::microseconds(std::min(S->left_us, MaxLeftUs));
  return Out;
}

std::optional<double> decodeSlowdown(float Value) {
  if (!(Value > 0) || !std::isfinite(Value))
    return std::nullopt;
  return Value;
}

} // namespace hawthornroad
