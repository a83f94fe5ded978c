#include "hawthornroad/traffic/ConfigFence.h"

#include <algorithm>

namespace hawthornroad {

std::string_view toString(ConfigFence::State S) {
  switch (S) {
  case ConfigFence::State::Current:
    return "current";
  case ConfigFence::State::Isolated:
    return "isolated";
  case ConfigFence::State::CatchingUp:
    return "catching_up";
  case ConfigFence::State::Behind:
    return "behind";
  }
  return "unknown";
}

ConfigFence::Options ConfigFence::optionsFor(Duration Bound) {
  // Of the bound: the clock's and the timers' inexactness; two answers of a
  // store that is read as seldom as can be; what is left of the time without
  // duties after a cut when its end has been noticed late.
  constexpr double GoodShare = 0.95;
  constexpr double SilenceShare = 0.65;
  constexpr double CatchUpShare = 0.5;
  constexpr double LapseShare = 2;
  auto Part = [Bound](double Share) {
    return std::chrono::duration_cast<Duration>(Bound * Share);
  };
  return {.Good_ = Part(GoodShare),
          .Silence_ = Part(SilenceShare),
          .CatchUp_ = Part(CatchUpShare),
          .Lapse_ = Part(LapseShare)};
}

TimePoint ConfigFence::lateFrom() const {
  return ProvenAt_ ? *ProvenAt_ + Options_.Good_ : TimePoint::min();
}

void ConfigFence::prove(TimePoint AsOf, TimePoint Now) {
  ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, AsOf) : AsOf;
  if (Now < lateFrom())
    CatchUpBy_.reset();
}

void ConfigFence::reached(TimePoint At) {
  if (ReachedAt_ && At <= *ReachedAt_)
    return;
  if (!isReached(At, Options_.Lapse_))
    CatchUpBy_.reset();
  if (At >= lateFrom() && !CatchUpBy_)
    CatchUpBy_ =
        isReached(At, Options_.Silence_) ? lateFrom() : At + Options_.CatchUp_;
  ReachedAt_ = At;
}

ConfigFence::State ConfigFence::state(TimePoint Now) const {
  if (ProvenAt_ && Now < lateFrom())
    return State::Current;
  if (CatchUpBy_ && isReached(Now, Options_.Lapse_))
    return Now < *CatchUpBy_ ? State::CatchingUp : State::Behind;
  return isReached(Now, Options_.Silence_) ? State::Behind : State::Isolated;
}

std::optional<Duration> ConfigFence::age(TimePoint Now) const {
  if (!ProvenAt_)
    return std::nullopt;
  return Now - *ProvenAt_;
}

} // namespace hawthornroad
