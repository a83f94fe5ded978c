#include "hawthornroad/config/PollSchedule.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Enough doublings to reach MaxWait_ from any sensible period.
constexpr std::size_t MaxDoublings = 16;
constexpr double PeriodSpread = 0.2;
constexpr double BackoffSpread = 0.5;
} // namespace

bool PollSchedule::isDue(TimePoint Now) const {
  if (UnderWay_)
    return Now >= Began_ + Limits_.ReadTimeout_;
  return Now >= Next_;
}

void PollSchedule::readStarted(TimePoint Now) {
  UnderWay_ = true;
  Began_ = Now;
}

void PollSchedule::readFinished(bool Answered, TimePoint Now) {
  UnderWay_ = false;
  if (Answered) {
    Failures_ = 0;
    Next_ = Now + Rng_.jitter(Limits_.Period_, PeriodSpread);
    return;
  }
  ++Failures_;
  Duration Wait =
      Limits_.Period_ * (std::int64_t{1} << std::min(Failures_, MaxDoublings));
  Next_ = Now + Rng_.jitter(std::min(Wait, Limits_.MaxWait_), BackoffSpread);
}

bool isReader(const ProcessName &Self, const AvailabilityZone &Zone,
              const std::vector<std::string> &Live, std::size_t Readers) {
  for (std::size_t I : rendezvousTop("readers/" + Zone.str(), Live, Readers))
    if (Live[I] == Self.str())
      return true;
  return false;
}

} // namespace hawthornroad
