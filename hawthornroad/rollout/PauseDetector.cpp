#include "hawthornroad/rollout/PauseDetector.h"

namespace hawthornroad {

void PauseDetector::tick(TimePoint Now) {
  bool First = !LastTick_;
  bool Gap = !First && Now - *LastTick_ > Limits_.MaxTickGap_;
  LastTick_ = Now;
  if (!First && !Gap)
    return;
  NoticedAt_ = Now;
  Confirmed_ = false;
  if (Gap)
    ++Pauses_;
}

void PauseDetector::confirmed(TimePoint AskedAt) {
  if (LastTick_ && AskedAt >= NoticedAt_)
    Confirmed_ = true;
}

bool PauseDetector::mayOrder(TimePoint Now) const {
  if (!LastTick_ || Now - *LastTick_ > Limits_.MaxTickGap_)
    return false;
  return Confirmed_ || Now - NoticedAt_ >= Limits_.ConfirmTimeout_;
}

} // namespace hawthornroad
