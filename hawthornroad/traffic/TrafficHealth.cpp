#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

bool TrafficCore::needsHealthCheck(const Endpoint &E, TimePoint Now) const {
  return Cold_.watched(E, Now).has_value() && !Credits_.has(startOf(E), Now);
}

TrafficCore::HealthCheck *TrafficCore::checkHealth(const Endpoint &E,
                                                   TimePoint Now) {
  if (auto Found = HealthChecks_.find(E.Id_); Found != HealthChecks_.end())
    return Found->second.Endpoint_ == startOf(E) ? &Found->second : nullptr;
  auto Watched = Cold_.watched(E, Now);
  if (!Watched || !Credits_.mayCheck(startOf(E), Now))
    return nullptr;
  AttemptNumber A = NextAttempt_++;
  if (!Port_.checkHealth(A, E, Watched->Path_))
    return nullptr;
  return &HealthChecks_
              .insert_or_assign(E.Id_,
                                HealthCheck{.Number_ = A,
                                            .Endpoint_ = startOf(E),
                                            .Arrivals_ = Watched->Arrivals_,
                                            .SentAt_ = Now})
              .first->second;
}

TrafficCore::HealthWait
TrafficCore::awaitHealthCheck(Record &R, const Endpoint &E, TimePoint Now) {
  HealthCheck *Check = checkHealth(E, Now);
  if (Check == nullptr)
    return Credits_.isRejecting(startOf(E)) ? HealthWait::Full
                                            : HealthWait::NoAnswers;
  if (R.Asks_ >= Options_.MaxAsks_ ||
      Check->Waiters_.size() >= Options_.MaxHealthWaiters_)
    return HealthWait::Full;
  AttemptNumber A = NextAttempt_++;
  Check->Waiters_.push_back(A);
  R.Asking_ = A;
  R.AwaitsHealthCheck_ = true;
  R.AskedOf_ = E.Id_;
  R.AskSentAt_ = R.AskedAt_ = Now;
  ++R.Asks_;
  Asks_[A] = R.Number_;
  // Counted as sent, so that the next request goes to another endpoint.
  Placement_.attemptBegun(E.Id_, Now);
  return HealthWait::Waits;
}

void TrafficCore::renewCredits(const Endpoint &E, TimePoint Now) {
  if (Credits_.isLow(startOf(E)))
    checkHealth(E, Now);
}

std::optional<TrafficCore::HealthCheck>
TrafficCore::takeHealthCheck(AttemptNumber A) {
  auto Found =
      std::find_if(HealthChecks_.begin(), HealthChecks_.end(),
                   [&](const auto &Each) { return Each.second.Number_ == A; });
  if (Found == HealthChecks_.end())
    return std::nullopt;
  HealthCheck Out = std::move(Found->second);
  HealthChecks_.erase(Found);
  return Out;
}

// A health answer echoes no request's id; one that does is the late copy of
// another answer. Only a success is given by an endpoint that had room for the
// check: what stands before a full one answers for it, and may not name it.
TrafficCore::HealthState TrafficCore::healthState(const EndpointHead &H,
                                                  const EndpointId &Of) {
  bool NamesOther = !H.EndpointId_.empty() && H.EndpointId_ != Of.str();
  if (!H.RequestId_.empty() || NamesOther)
    return HealthState::Silent;
  bool IsNamed = !H.EndpointId_.empty();
  if (IsNamed && H.ColdLeft_ && *H.ColdLeft_ > Duration::zero())
    return HealthState::Cold;
  bool IsRejected = H.NotRun_ || H.Status_ == status::TooManyRequests ||
                    H.Status_ >= status::FirstServerError;
  if (IsRejected)
    return HealthState::Rejected;
  return IsNamed && H.Status_ == status::Ok ? HealthState::Warm
                                            : HealthState::Silent;
}

void TrafficCore::onHealth(AttemptNumber A, const EndpointHead &H,
                           TimePoint Now) {
  Event Scope(*this);
  std::optional<HealthCheck> Check = takeHealthCheck(A);
  if (!Check)
    return;
  HealthState State = healthState(H, Check->Endpoint_.Id_);
  if (State == HealthState::Warm)
    Credits_.noteAnswer(Check->Endpoint_, Check->Arrivals_, Check->SentAt_);
  if (State == HealthState::Cold) {
    Credits_.noteAnswer(Check->Endpoint_, 0, Check->SentAt_);
    Cold_.noteAnswer(Check->Endpoint_, H.ColdLeft_, Now);
  }
  endHealthCheck(*Check, State, Now);
}

void TrafficCore::onHealthFailed(AttemptNumber A, TimePoint Now) {
  Event Scope(*this);
  if (std::optional<HealthCheck> Check = takeHealthCheck(A))
    endHealthCheck(*Check, HealthState::Silent, Now);
}

// An endpoint that has answered before and does not now may be in any state.
// One that never answers has no health check, and is used without.
void TrafficCore::endHealthCheck(const HealthCheck &H, HealthState State,
                                 TimePoint Now) {
  if (State == HealthState::Silent) {
    Credits_.noteSilent(H.Endpoint_, Now);
    if (Credits_.hasAnswered(H.Endpoint_))
      Cold_.noteSilent(H.Endpoint_, Now);
  }
  if (State == HealthState::Rejected) {
    Duration Pause = Credits_.noteRejected(H.Endpoint_, Now);
    // It may reject nothing but its checks, and is then used as a cold one.
    if (Pause >= Options_.Credits_.Retry_)
      Cold_.noteRejected(H.Endpoint_, Pause, Now);
    else
      Placement_.setFull(H.Endpoint_.Id_, Now + Pause);
  }
  bool IsWarm = State == HealthState::Warm;
  for (AttemptNumber A : H.Waiters_) {
    auto Found = Asks_.find(A);
    if (Found != Asks_.end())
      resume(*Calls_.at(Found->second), IsWarm, Now);
  }
  if (const Endpoint *E = Endpoints_.find(H.Endpoint_.Id_))
    Freed_.insert(E->Service_);
  dispatchFreed(Now);
}

void TrafficCore::resume(Record &R, bool IsWarm, TimePoint Now) {
  endAsk(R, Now);
  const Endpoint *E = Placement_.find(R.AskedOf_);
  bool IsUsable = IsWarm && E != nullptr && !E->IsDraining_ &&
                  !needsGrant(*E, Now) &&
                  !Placement_.restsOrLeaves(R.AskedOf_, Now) &&
                  Placement_.permits(R.AskedOf_, &scopeOf(R));
  if (!IsUsable || !begin(R, *E, Now))
    if (!R.IsDone_)
      askElsewhere(R, Now);
}

void TrafficCore::endSilentChecks(TimePoint Now) {
  std::vector<AttemptNumber> Silent;
  for (const auto &[Id, Check] : HealthChecks_)
    if (Now - Check.SentAt_ >= Options_.HealthTimeout_)
      Silent.push_back(Check.Number_);
  for (AttemptNumber A : Silent) {
    Port_.cancelAttempt(A);
    onHealthFailed(A, Now);
  }
}

} // namespace hawthornroad
