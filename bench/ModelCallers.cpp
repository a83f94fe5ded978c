#include "bench/ModelCallers.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
constexpr std::size_t LargeCustomers = 2;
constexpr std::size_t SmallCustomers = 8;
constexpr double SmallShare = 0.025; // of the capacity, each
constexpr double PrefillTokens = 10;
constexpr double MinTokens = 20;
constexpr double MeanExtraTokens = 30; // mean of the exponential part
constexpr double MaxTokens = 250;

} // namespace

ModelCallers::ModelCallers(const Scenario &S, double Capacity, Random &Rng)
    : BurstFactor_(S.BurstFactor_), BurstSeconds_(S.BurstSeconds_),
      BurstPeriod_(S.BurstPeriod_) {
  const double Small = SmallShare * Capacity;
  const double Large =
      (S.Load_ * Capacity - SmallCustomers * Small) / LargeCustomers;
  for (std::size_t I = 0; I < LargeCustomers; ++I)
    Customers_.push_back({"large-" + std::to_string(I), 4, Large, true});
  for (std::size_t I = 0; I < SmallCustomers; ++I)
    Customers_.push_back({"small-" + std::to_string(I), 1, Small, false});
  for (std::size_t I = 1; I <= S.Prefixes_; ++I)
    PrefixWeights_.push_back(1.0 / static_cast<double>(I) +
                             (I > 1 ? PrefixWeights_.back() : 0));
  const std::size_t Entries = S.Zones_ * S.EntriesPerZone_;
  for (std::size_t C = 0; C < Customers_.size(); ++C) {
    std::vector<double> Sums;
    for (std::size_t I = 0; I < Entries; ++I)
      Sums.push_back(0.25 + Rng.unit() + (I > 0 ? Sums.back() : 0));
    EntryWeights_.push_back(std::move(Sums));
  }
}

double ModelCallers::highestRate(std::size_t Customer) const {
  double Rate = Customers_[Customer].Rate_;
  return Customer == 0 ? Rate * std::max(1.0, BurstFactor_) : Rate;
}

// Only the first large customer sends bursts.
double ModelCallers::rateAt(std::size_t Customer, Duration SinceStart) const {
  double Rate = Customers_[Customer].Rate_;
  if (Customer != 0)
    return Rate;
  double InSeconds = std::chrono::duration<double>(SinceStart).count();
  bool IsBurst = std::fmod(InSeconds, BurstPeriod_) < BurstSeconds_;
  return IsBurst ? Rate * BurstFactor_ : Rate;
}

EngineWork ModelCallers::drawWork(Random &Rng) const {
  EngineWork W{.PrefillTokens_ = PrefillTokens};
  double Extra = -std::log(1 - Rng.unit()) * MeanExtraTokens;
  W.Tokens_ = std::min(MaxTokens, MinTokens + Extra);
  if (PrefixWeights_.empty())
    return W;
  double At = Rng.unit() * PrefixWeights_.back();
  auto Found =
      std::lower_bound(PrefixWeights_.begin(), PrefixWeights_.end(), At);
  W.Prefix_ = static_cast<std::uint64_t>(Found - PrefixWeights_.begin()) + 1;
  return W;
}

std::size_t ModelCallers::drawEntry(std::size_t Customer, Random &Rng) const {
  const std::vector<double> &Sums = EntryWeights_[Customer];
  double At = Rng.unit() * Sums.back();
  auto Found = std::upper_bound(Sums.begin(), Sums.end(), At);
  return std::min<std::size_t>(Found - Sums.begin(), Sums.size() - 1);
}

double capacityOf(const Scenario &S) {
  const EngineModel::Setup Healthy;
  const double Tokens = PrefillTokens + MinTokens + MeanExtraTokens;
  const double Full = Healthy.TokenSeconds_ * (1 + Healthy.LoadFactor_);
  const double Each = static_cast<double>(Healthy.Capacity_) / (Tokens * Full);
  const auto All = static_cast<double>(S.Zones_ * S.EndpointsPerZone_);
  const auto Slow = static_cast<double>(S.SlowEndpoints_);
  const auto Failing = static_cast<double>(S.FailingEndpoints_);
  return Each * (All - Slow - Failing + Slow / SlowFactor);
}

} // namespace hawthornroad
