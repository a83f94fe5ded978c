#include "hawthornroad/routing/ServiceRate.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Once this many samples are in, a new sample has the weight of one of them.
constexpr std::size_t MaxSamples = 64;
constexpr double SlowQuantile = 0.95;
// Step of the quantile estimator, as a share of the mean.
constexpr double QuantileStep = 0.05;
// Avoids a division by zero; no real request takes less.
constexpr double MinSeconds = 1e-6;

Duration toDuration(double InSeconds) {
  constexpr double MaxSeconds = 86400;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(InSeconds, MaxSeconds)));
}
} // namespace

void ServiceRate::abandoned() {
  if (InProgress_ > 0)
    --InProgress_;
}

void ServiceRate::finished(Duration Took) {
  abandoned();
  double Seconds = std::chrono::duration<double>(Took).count();
  Seconds = std::max(Seconds, MinSeconds);
  if (Samples_ == 0)
    SlowSeconds_ = Seconds;
  Samples_ = std::min(Samples_ + 1, MaxSamples);
  MeanSeconds_ += (Seconds - MeanSeconds_) / static_cast<double>(Samples_);
  // Stochastic estimate of the quantile: a large step up for each sample above
  // the estimate, a small step down for each below it, in the ratio at which a
  // share of 1 - SlowQuantile of the samples lies above.
  double Step = QuantileStep * MeanSeconds_;
  SlowSeconds_ +=
      Step * (Seconds < SlowSeconds_ ? SlowQuantile - 1 : SlowQuantile);
  SlowSeconds_ = std::max(SlowSeconds_, MeanSeconds_);
}

double ServiceRate::perSecond() const {
  if (!isKnown())
    return 0;
  auto Places = static_cast<double>(std::max<std::size_t>(InProgress_, 1));
  return Places / MeanSeconds_;
}

Duration ServiceRate::timeUntilFree(double Places) const {
  if (!isKnown())
    return Duration::zero();
  return toDuration(Places / perSecond());
}

Duration ServiceRate::longest() const { return toDuration(SlowSeconds_); }

} // namespace hawthornroad
