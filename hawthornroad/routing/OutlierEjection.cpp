#include "hawthornroad/routing/OutlierEjection.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// The attempts needed to judge by failure rate, without failures in a row.
constexpr double MinSample = 6;
// The recent attempts at the peers needed for a comparison.
constexpr double MinPeerSample = 1.5;
constexpr double HighRate = 0.5;
// An outlier's failure rate exceeds its peers' times the factor plus the
// margin.
constexpr double PeerRateFactor = 2.0;
constexpr double PeerRateMargin = 0.1;
} // namespace

void OutlierEjection::Tally::decay(TimePoint Now) {
  if (Now <= Updated_)
    return;
  using InSeconds = std::chrono::duration<double>;
  double Kept = std::exp(-InSeconds(Now - Updated_) / InSeconds(Window));
  Answered_ *= Kept;
  Failed_ *= Kept;
  Updated_ = Now;
}

double OutlierEjection::Tally::rate() const {
  double All = Answered_ + Failed_;
  return All > 0 ? Failed_ / All : 0;
}

std::size_t OutlierEjection::maxEjected(std::size_t Members) {
  if (Members < 2)
    return 0;
  auto Share =
      static_cast<std::size_t>(MaxEjectedShare * static_cast<double>(Members));
  return std::max<std::size_t>(Share, 1);
}

bool OutlierEjection::isOutlier(const Record &R) const {
  bool InRow = R.FailuresInRow_ >= ConsecutiveFailures;
  double Sample = R.Tally_.Answered_ + R.Tally_.Failed_;
  bool Often = Sample >= MinSample && R.Tally_.rate() >= HighRate;
  if (!InRow && !Often)
    return false;
  Tally Peers;
  Peers.Answered_ = std::max(0.0, All_.Answered_ - R.Tally_.Answered_);
  Peers.Failed_ = std::max(0.0, All_.Failed_ - R.Tally_.Failed_);
  // Without enough attempts at the peers there is nothing to compare with.
  if (Peers.Answered_ + Peers.Failed_ < MinPeerSample)
    return false;
  double Own = InRow ? 1.0 : R.Tally_.rate();
  return Own > PeerRateFactor * Peers.rate() + PeerRateMargin;
}

void OutlierEjection::eject(Record &R, TimePoint Now) {
  if (!R.Ejected_)
    ++EjectedCount_;
  R.Ejected_ = true;
  R.Probing_ = false;
  R.GoodProbes_ = 0;
  R.LastLength_ = std::clamp(2 * R.LastLength_, FirstEjection, MaxEjection);
  R.Until_ = Now + R.LastLength_;
}

bool OutlierEjection::failed(Record &R, std::size_t Members, TimePoint Now) {
  R.Tally_.decay(Now);
  All_.decay(Now);
  R.Tally_.Failed_ += 1;
  All_.Failed_ += 1;
  ++R.FailuresInRow_;
  if (R.Ejected_) {
    // Only a probe is new evidence, not an attempt from before the ejection.
    if (!R.Probing_)
      return false;
    eject(R, Now);
    return true;
  }
  if (EjectedCount_ >= maxEjected(Members) || !isOutlier(R))
    return false;
  eject(R, Now);
  return true;
}

bool OutlierEjection::answered(Record &R, TimePoint Now) {
  R.Tally_.decay(Now);
  All_.decay(Now);
  R.Tally_.Answered_ += 1;
  All_.Answered_ += 1;
  R.FailuresInRow_ = 0;
  if (!R.Ejected_) {
    // After a long time without ejection, the next one starts short again.
    if (Now - R.Until_ > 2 * MaxEjection)
      R.LastLength_ = Duration::zero();
    return false;
  }
  if (!R.Probing_)
    return false;
  R.Probing_ = false;
  if (++R.GoodProbes_ < ProbesToReturn)
    return false;
  release(R);
  return true;
}

void OutlierEjection::release(Record &R) {
  if (R.Ejected_)
    --EjectedCount_;
  R.Ejected_ = false;
  R.Probing_ = false;
  R.GoodProbes_ = 0;
  R.FailuresInRow_ = 0;
  R.Tally_.Failed_ = 0;
}

} // namespace hawthornroad
