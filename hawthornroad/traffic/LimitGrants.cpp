#include "hawthornroad/traffic/LimitGrants.h"

#include <algorithm>

namespace hawthornroad {

double LimitGrants::rate(double Limit) const {
  return std::max(Options_.Share_ * Limit, Options_.MinPerSecond_);
}

double LimitGrants::burst(double Limit) const {
  return Options_.Burst_ + Options_.BurstShare_ * Limit;
}

void LimitGrants::fill(Bucket &B, double Limit, TimePoint Now) const {
  double Elapsed = std::chrono::duration<double>(Now - B.FilledAt_).count();
  B.Tokens_ =
      std::min(burst(Limit), B.Tokens_ + std::max(0.0, Elapsed) * rate(Limit));
  B.FilledAt_ = Now;
}

LimitGrants::Verdict LimitGrants::check(const EndpointStart &E,
                                        const ProcessName &Asker,
                                        TimePoint Now) {
  const LimitStatement *S = Limits_.find(E);
  if (S == nullptr) {
    Buckets_.erase(E);
    return {.IsGranted_ = true};
  }
  double Limit = *S->PerSecond_;
  auto [Found, IsNew] = Buckets_.try_emplace(E);
  Bucket &B = Found->second;
  if (IsNew)
    B = {.Tokens_ = burst(Limit), .FilledAt_ = Now};
  fill(B, Limit, Now);
  B.Askers_[Asker] = Now;
  if (B.Tokens_ >= 1)
    return {.IsGranted_ = true};
  std::erase_if(B.Askers_, [&](const auto &Each) {
    return Now - Each.second > Options_.AskerMemory_;
  });
  constexpr double QueriesPerGrant = 2;
  double NextToken = (1 - B.Tokens_) / rate(Limit);
  double Turn =
      static_cast<double>(B.Askers_.size()) / (QueriesPerGrant * rate(Limit));
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
