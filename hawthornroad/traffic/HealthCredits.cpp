#include "hawthornroad/traffic/HealthCredits.h"

namespace hawthornroad {

unsigned HealthCredits::quota(double Arrivals) const {
  double Entries = Known_ > 0 ? Known_ : Options_.Entries_;
  return static_cast<unsigned>(
      std::max(1.0, Options_.Share_ * Arrivals / Entries));
}

const HealthCredits::State *HealthCredits::find(const EndpointStart &E) const {
  auto Found = States_.find(E);
  return Found == States_.end() ? nullptr : &Found->second;
}

bool HealthCredits::has(const EndpointStart &E, TimePoint Now) const {
  const State *S = find(E);
  return S != nullptr && S->Left_ > 0 && Now < S->Until_;
}

bool HealthCredits::isLow(const EndpointStart &E) const {
  const State *S = find(E);
  return S != nullptr && S->Quota_ > 1 && 2 * S->Left_ <= S->Quota_;
}

void HealthCredits::noteAnswer(const EndpointStart &E, double Arrivals,
                               TimePoint AskedAt) {
  State &S = States_[E];
  S.Left_ = S.Quota_ = Arrivals > 0 ? quota(Arrivals) : 0;
  S.Until_ = AskedAt + Options_.MaxAge_;
  S.RejectedRetry_ = Duration::zero();
  S.HasAnswered_ = true;
}

void HealthCredits::noteSilent(const EndpointStart &E, TimePoint Now) {
  State &S = States_[E];
  S.Left_ = 0;
  S.RetryAt_ = Now + Options_.Retry_;
}

Duration HealthCredits::noteRejected(const EndpointStart &E, TimePoint Now) {
  State &S = States_[E];
  S.Left_ = 0;
  S.HasAnswered_ = true;
  S.RejectedRetry_ = std::clamp(2 * S.RejectedRetry_, Options_.RejectedRetry_,
                                Options_.Retry_);
  S.RetryAt_ = Now + S.RejectedRetry_;
  return S.RejectedRetry_;
}

void HealthCredits::spend(const EndpointStart &E) {
  auto Found = States_.find(E);
  if (Found != States_.end() && Found->second.Left_ > 0)
    --Found->second.Left_;
}

bool HealthCredits::mayCheck(const EndpointStart &E, TimePoint Now) const {
  const State *S = find(E);
  return S == nullptr || Now >= S->RetryAt_;
}

bool HealthCredits::isRejecting(const EndpointStart &E) const {
  const State *S = find(E);
  return S != nullptr && S->RejectedRetry_ > Duration::zero();
}

bool HealthCredits::hasAnswered(const EndpointStart &E) const {
  const State *S = find(E);
  return S != nullptr && S->HasAnswered_;
}

void HealthCredits::listed(const EndpointSet &Set) {
  std::erase_if(States_, [&](const auto &Each) {
    const Endpoint *E = Set.find(Each.first.Id_);
    return E == nullptr || E->Born_ != Each.first.Born_;
  });
}

} // namespace hawthornroad
