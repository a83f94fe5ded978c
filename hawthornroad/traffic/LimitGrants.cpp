#include "hawthornroad/traffic/LimitGrants.h"

#include <algorithm>

namespace hawthornroad {

double LimitGrants::rate(double Limit, GranterRole Role) const {
  double Share = Options_.Chosen_;
  if (Role == GranterRole::Beside)
    Share = Options_.Beside_;
  if (Role == GranterRole::Substitute)
    Share = Options_.Substitute_;
  return std::max(Share * Limit, Options_.MinPerSecond_);
}

double LimitGrants::burst(double Limit) const {
  return Options_.Burst_ + Options_.BurstShare_ * Limit;
}

void LimitGrants::fill(Bucket &B, double Limit, double Rate,
                       TimePoint Now) const {
  double Elapsed = std::chrono::duration<double>(Now - B.FilledAt_).count();
  B.Tokens_ = std::min(burst(Limit), B.Tokens_ + std::max(0.0, Elapsed) * Rate);
  B.FilledAt_ = Now;
}

bool LimitGrants::note(const EndpointStart &E, const LimitStatement &S) {
  if (!Limits_.note(E, S))
    return false;
  // Endpoints end without a last statement, and their limits are forgotten.
  if (Buckets_.size() >= StatedLimits::MaxKnown)
    std::erase_if(Buckets_, [&](const auto &Each) {
      return Limits_.find(Each.first) == nullptr;
    });
  return true;
}

LimitGrants::Verdict LimitGrants::check(const EndpointStart &E,
                                        const ProcessName &Asker,
                                        GranterRole Role, TimePoint Now) {
  const LimitStatement *S = Limits_.find(E);
  if (S == nullptr) {
    Buckets_.erase(E);
    return {.IsGranted_ = true};
  }
  double Limit = *S->PerSecond_;
  auto [Found, IsNew] = Buckets_.try_emplace(E);
  Bucket &B = Found->second;
  if (IsNew)
    B.FilledAt_ = StartedAt_;
  double Rate = rate(Limit, Role);
  fill(B, Limit, Rate, Now);
  B.Askers_[Asker] = Now;
  if (B.Tokens_ >= 1)
    return {.IsGranted_ = true};
  std::erase_if(B.Askers_, [&](const auto &Each) {
    return Now - Each.second > Options_.AskerMemory_;
  });
  constexpr double QueriesPerGrant = 2;
  double NextToken = (1 - B.Tokens_) / Rate;
  double Turn =
      static_cast<double>(B.Askers_.size()) / (QueriesPerGrant * Rate);
  auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(NextToken, Turn)));
  return {.Wait_ =
              std::clamp<Duration>(Wait, Options_.MinWait_, Options_.MaxWait_)};
}

void LimitGrants::take(const EndpointStart &E) {
  auto Found = Buckets_.find(E);
  if (Found != Buckets_.end())
    Found->second.Tokens_ -= 1;
}

} // namespace hawthornroad
