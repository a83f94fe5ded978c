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

TimePoint ConfigFence::lateFrom() const {
  return ProvenAt_ ? *ProvenAt_ + good() : TimePoint::min();
}

void ConfigFence::prove(TimePoint AsOf, TimePoint Now) {
  ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, AsOf) : AsOf;
  if (Now < lateFrom())
    CatchUpBy_.reset();
}

void ConfigFence::reached(TimePoint Now) {
  bool IsLate = Now >= lateFrom();
  bool WasReached = ReachedAt_ && Now - *ReachedAt_ < Options_.Silence_;
  if (IsLate && !CatchUpBy_)
    CatchUpBy_ = WasReached ? lateFrom() : Now + good();
  ReachedAt_ = Now;
}

ConfigFence::State ConfigFence::state(TimePoint Now) const {
  if (ProvenAt_ && Now < lateFrom())
    return State::Current;
  if (CatchUpBy_)
    return Now < *CatchUpBy_ ? State::CatchingUp : State::Behind;
  bool IsReached = ReachedAt_ && Now - *ReachedAt_ < Options_.Silence_;
  return IsReached ? State::Behind : State::Isolated;
}

std::optional<Duration> ConfigFence::age(TimePoint Now) const {
  if (!ProvenAt_)
    return std::nullopt;
  return Now - *ProvenAt_;
}

} // namespace hawthornroad
