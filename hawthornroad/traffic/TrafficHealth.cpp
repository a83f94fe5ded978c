#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

bool TrafficCore::needsProof(const Endpoint &E, TimePoint Now) const {
  return Cold_.watched(E, Now).has_value() && !Proofs_.permits(startOf(E), Now);
}

TrafficCore::HealthRead *TrafficCore::readHealth(const Endpoint &E,
                                                 TimePoint Now) {
  if (auto Found = HealthReads_.find(E.Id_); Found != HealthReads_.end())
    return Found->second.Endpoint_ == startOf(E) ? &Found->second : nullptr;
  auto Watched = Cold_.watched(E, Now);
  if (!Watched || !Proofs_.mayRead(startOf(E), Now))
    return nullptr;
  AttemptNumber A = NextAttempt_++;
  if (!Port_.readHealth(A, E, Watched->Path_))
    return nullptr;
  return &HealthReads_
              .insert_or_assign(E.Id_,
                                HealthRead{.Number_ = A,
                                           .Endpoint_ = startOf(E),
                                           .Arrivals_ = Watched->Arrivals_,
                                           .SentAt_ = Now})
              .first->second;
}

TrafficCore::ProofWait TrafficCore::awaitProof(Record &R, const Endpoint &E,
                                               TimePoint Now) {
  HealthRead *Read = readHealth(E, Now);
  if (Read == nullptr)
    return ProofWait::NoAnswers;
  if (R.Asks_ >= Options_.MaxAsks_ ||
      Read->Waiters_.size() >= Options_.MaxHealthWaiters_)
    return ProofWait::Full;
  AttemptNumber A = NextAttempt_++;
  Read->Waiters_.push_back(A);
  R.Asking_ = A;
  R.AwaitsProof_ = true;
  R.AskedOf_ = E.Id_;
  R.AskSentAt_ = R.AskedAt_ = Now;
  ++R.Asks_;
  Asks_[A] = R.Number_;
  // Counted as sent, so that the next request goes to another endpoint.
  Placement_.attemptBegun(E.Id_, Now);
  return ProofWait::Waits;
}

void TrafficCore::renewProof(const Endpoint &E, TimePoint Now) {
  if (Proofs_.isLow(startOf(E)))
    readHealth(E, Now);
}

std::optional<TrafficCore::HealthRead>
TrafficCore::takeHealthRead(AttemptNumber A) {
  auto Found =
      std::find_if(HealthReads_.begin(), HealthReads_.end(),
                   [&](const auto &Each) { return Each.second.Number_ == A; });
  if (Found == HealthReads_.end())
    return std::nullopt;
  HealthRead Out = std::move(Found->second);
  HealthReads_.erase(Found);
  return Out;
}

// A health answer echoes no request's id; one that does is the late copy of
// another answer.
void TrafficCore::onHealth(AttemptNumber A, const EndpointHead &H,
                           TimePoint Now) {
  Event Scope(*this);
  std::optional<HealthRead> Read = takeHealthRead(A);
  if (!Read)
    return;
  bool IsIts =
      H.RequestId_.empty() && H.EndpointId_ == Read->Endpoint_.Id_.str();
  bool IsCold = H.ColdLeft_ && *H.ColdLeft_ > Duration::zero();
  if (!IsIts)
    return endHealthRead(*Read, HealthState::Silent, Now);
  Proofs_.prove(Read->Endpoint_, IsCold ? 0 : Read->Arrivals_, Read->SentAt_);
  if (IsCold)
    Cold_.noteAnswer(Read->Endpoint_, H.ColdLeft_, Now);
  endHealthRead(*Read, IsCold ? HealthState::Cold : HealthState::Warm, Now);
}

void TrafficCore::onHealthFailed(AttemptNumber A, TimePoint Now) {
  Event Scope(*this);
  if (std::optional<HealthRead> Read = takeHealthRead(A))
    endHealthRead(*Read, HealthState::Silent, Now);
}

// An endpoint that has answered before and does not now may be in any state.
// One that never answers has no health check, and is used without.
void TrafficCore::endHealthRead(const HealthRead &H, HealthState State,
                                TimePoint Now) {
  if (State == HealthState::Silent) {
    Proofs_.noteSilent(H.Endpoint_, Now);
    if (Proofs_.hasAnswered(H.Endpoint_))
      Cold_.noteSilent(H.Endpoint_, Now);
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

void TrafficCore::endSilentReads(TimePoint Now) {
  std::vector<AttemptNumber> Silent;
  for (const auto &[Id, Read] : HealthReads_)
    if (Now - Read.SentAt_ >= Options_.HealthTimeout_)
      Silent.push_back(Read.Number_);
  for (AttemptNumber A : Silent) {
    Port_.cancelAttempt(A);
    onHealthFailed(A, Now);
  }
}

} // namespace hawthornroad
