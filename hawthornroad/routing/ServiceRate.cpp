#include "hawthornroad/routing/ServiceRate.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Weight of a new sample once there are this many.
constexpr std::size_t SamplesKept = 64;
constexpr double LongQuantile = 0.95;
// Step of the quantile's search, as a share of the mean.
constexpr double QuantileStep = 0.05;
// Guards the division: nothing real takes less.
constexpr double LeastSeconds = 1e-6;

Duration toDuration(double InSeconds) {
  constexpr double Most = 86400;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(InSeconds, Most)));
}
} // namespace

void ServiceRate::abandoned() {
  if (InProgress_ > 0)
    --InProgress_;
}

void ServiceRate::finished(Duration Took) {
  abandoned();
  double Seconds = std::chrono::duration<double>(Took).count();
  Seconds = std::max(Seconds, LeastSeconds);
  if (Samples_ == 0)
    LongSeconds_ = Seconds;
  Samples_ = std::min(Samples_ + 1, SamplesKept);
  MeanSeconds_ += (Seconds - MeanSeconds_) / static_cast<double>(Samples_);
  // Steps up a lot for each sample above and down a little for each below, in
  // the ratio at which one in ten lies above.
  double Step = QuantileStep * MeanSeconds_;
  LongSeconds_ +=
      Step * (Seconds < LongSeconds_ ? LongQuantile - 1 : LongQuantile);
  LongSeconds_ = std::max(LongSeconds_, MeanSeconds_);
}

double ServiceRate::perSecond() const {
  if (!isKnown())
    return 0;
  auto Places = static_cast<double>(std::max<std::size_t>(InProgress_, 1));
  return Places / MeanSeconds_;
}

Duration ServiceRate::timeFor(double Places) const {
  if (!isKnown())
    return Duration::zero();
  return toDuration(Places / perSecond());
}

Duration ServiceRate::longest() const { return toDuration(LongSeconds_); }

} // namespace hawthornroad
