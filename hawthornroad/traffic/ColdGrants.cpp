#include "hawthornroad/traffic/ColdGrants.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// A bucket that has not been used for this long is full.
constexpr Duration FullAfter = Seconds(60);

Duration fromSeconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}
} // namespace

// A new bucket has been filling since this process started.
ColdGrants::State &ColdGrants::stateOf(const EndpointId &Id, TimePoint Now) {
  if (Known_.size() >= MaxKnown && !Known_.contains(Id))
    evict(Now);
  auto [Found, IsNew] = Known_.try_emplace(Id);
  if (IsNew)
    Found->second.FilledAt_ = StartedAt_;
  return Found->second;
}

void ColdGrants::evict(TimePoint Now) {
  std::erase_if(Known_, [&](const auto &Each) {
    return Now >= Each.second.ColdUntil_ &&
           Now - Each.second.FilledAt_ >= FullAfter;
  });
  if (Known_.size() < MaxKnown)
    return;
  Known_.erase(std::min_element(
      Known_.begin(), Known_.end(), [](const auto &A, const auto &B) {
        return A.second.FilledAt_ < B.second.FilledAt_;
      }));
}

bool ColdGrants::note(const EndpointStart &E, const ColdLimit &L,
                      TimePoint Now) {
  State &S = stateOf(E.Id_, Now);
  S.Arrivals_ = L.Arrivals_;
  S.PerSecond_ = L.PerSecond_;
  if (L.Left_ <= Duration::zero() || E.Born_ < S.Born_)
    return false;
  if (E.Born_ > S.Born_) {
    S.Born_ = E.Born_;
    S.ColdUntil_ = TimePoint();
  }
  bool WasCold = Now < S.ColdUntil_;
  if (Now + L.Left_ <= S.ColdUntil_ + MinColdExtension)
    return false;
  S.ColdUntil_ = Now + L.Left_;
  return !WasCold;
}

std::optional<ColdLimit> ColdGrants::find(const EndpointStart &E,
                                          TimePoint Now) const {
  auto Found = Known_.find(E.Id_);
  if (Found == Known_.end())
    return std::nullopt;
  const State &S = Found->second;
  if (E.Born_ != S.Born_ || Now >= S.ColdUntil_)
    return std::nullopt;
  return ColdLimit{.PerSecond_ = S.PerSecond_,
                   .Arrivals_ = S.Arrivals_,
                   .Left_ = S.ColdUntil_ - Now};
}

LimitGrants::Verdict ColdGrants::check(const EndpointStart &E, bool IsStated,
                                       const ProcessName &Asker,
                                       GranterRole Role, TimePoint Now) {
  auto Found = Known_.find(E.Id_);
  if (Found == Known_.end())
    return {.IsGranted_ = true};
  State &S = Found->second;
  // Also for an entry that still knows an earlier start: its request reaches
  // the same endpoint.
  S.IsCounted_ = IsStated || Now < S.ColdUntil_;
  if (!S.IsCounted_)
    return {.IsGranted_ = true};
  ColdRate R = coldRate(S.Arrivals_, Role);
  double Elapsed = std::chrono::duration<double>(Now - S.FilledAt_).count();
  S.Tokens_ =
      std::min(R.Burst_, S.Tokens_ + std::max(0.0, Elapsed) * R.PerSecond_);
  S.FilledAt_ = Now;
  S.Askers_[Asker] = Now;
  if (S.Tokens_ >= 1)
    return {.IsGranted_ = true};
  ++Denied_;
  std::erase_if(S.Askers_, [&](const auto &Each) {
    return Now - Each.second > Options_.AskerMemory_;
  });
  if (R.PerSecond_ <= 0)
    return {.Wait_ = Options_.MaxWait_};
  // In this time twice the requests become free that all entries ask for.
  constexpr double QueriesPerGrant = 2;
  double NextToken = (1 - S.Tokens_) / R.PerSecond_;
  double Turn =
      static_cast<double>(S.Askers_.size()) / (QueriesPerGrant * R.PerSecond_);
  double Wait =
      std::min(std::max(NextToken, Turn),
               std::chrono::duration<double>(Options_.MaxWait_).count());
  return {.Wait_ = std::max<Duration>(fromSeconds(Wait), Options_.MinWait_)};
}

void ColdGrants::take(const EndpointStart &E) {
  auto Found = Known_.find(E.Id_);
  if (Found != Known_.end() && Found->second.IsCounted_)
    Found->second.Tokens_ -= 1;
}

} // namespace hawthornroad
