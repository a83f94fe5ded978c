#include "hawthornroad/routing/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// The time constant of the average over reports.
constexpr double OthersWindowSeconds = 60.0;
// The approximate lag of reports.
constexpr double OwnWindowSeconds = 2.0;
// The weight of reports older than this decays with this time constant.
constexpr Duration MaxFreshAge = Seconds(6);
constexpr double ReportDecaySeconds = 5.0;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }
} // namespace

void LoadEstimate::advance(TimePoint Now) {
  if (Now <= Updated_)
    return;
  double Kept = std::exp(-seconds(Now - Updated_) / OwnWindowSeconds);
  auto Own = static_cast<double>(Own_);
  MeanOwn_ = Own + (MeanOwn_ - Own) * Kept;
  Updated_ = Now;
}

void LoadEstimate::dispatched(TimePoint Now) {
  advance(Now);
  ++Own_;
}

void LoadEstimate::finished(TimePoint Now) {
  advance(Now);
  if (Own_ > 0)
    --Own_;
}

void LoadEstimate::report(double InProgress, TimePoint Now) {
  advance(Now);
  Latest_ = InProgress - MeanOwn_;
  double Others = std::max(0.0, Latest_);
  double Kept = 0;
  if (HasReport_)
    Kept = std::exp(-seconds(Now - Reported_) / OthersWindowSeconds);
  Others_ = Others + (Others_ - Others) * Kept;
  Reported_ = Now;
  HasReport_ = true;
}

void LoadEstimate::forgetReports() {
  Others_ = 0;
  Latest_ = 0;
  HasReport_ = false;
}

double LoadEstimate::others(TimePoint Now, double Typical) const {
  if (!HasReport_)
    return Typical;
  Duration Age = Now - Reported_;
  if (Age <= MaxFreshAge)
    return Others_;
  double Kept = std::exp(-seconds(Age - MaxFreshAge) / ReportDecaySeconds);
  return Typical + (Others_ - Typical) * Kept;
}

double LoadEstimate::total(TimePoint Now, double Typical) const {
  return static_cast<double>(Own_) + others(Now, Typical);
}

} // namespace hawthornroad
