#include "hawthornroad/traffic/LimitGrants.h"
#include "hawthornroad/traffic/TrafficState.h"

namespace hawthornroad {

bool TrafficCore::needsGrant(const Endpoint &E, TimePoint Now) const {
  return Limits_.find(startOf(E)) != nullptr || Cold_.find(E, Now).has_value();
}

namespace {
// A query takes some milliseconds. Where all engines are cold, a request that
// asked each of them would be refused after a quarter of a second only.
constexpr unsigned MaxColdDenials = 8;
} // namespace

bool TrafficCore::takeShare(const Endpoint &E, TimePoint Now) {
  const LimitStatement *Limit = Limits_.find(startOf(E));
  TimePoint Next = Cold_.shareAt(E, Now);
  if (Limit != nullptr)
    Next = std::max(Next, Share_.nextAt(startOf(E), *Limit->PerSecond_, Now));
  if (Next > Now) {
    Placement_.hold(E.Id_, std::min(Next, Now + Options_.MaxShareHold_));
    HeldByShare_.insert(E.Id_);
    return false;
  }
  if (Limit != nullptr)
    Share_.take(startOf(E), *Limit->PerSecond_, Now);
  Cold_.takeShare(E, Now);
  return true;
}

PlaceDemand TrafficCore::placeDemand(const Record &R, const Endpoint &E,
                                     TimePoint Now) const {
  PlaceDemand D;
  D.Endpoint_ = startOf(E);
  if (const LimitStatement *Limit = Limits_.last(D.Endpoint_))
    D.Limit_ = *Limit;
  D.Cold_ = Cold_.find(E, Now);
  D.Kind_ = R.IsLate_ ? PlaceKind::Late : PlaceKind::First;
  if (R.IsStreaming_)
    D.Kind_ = PlaceKind::Resumed;
  if (R.IsPrioritized_)
    D.Rank_ = R.Rank_;
  D.IsOwed_ = R.IsOwed_;
  const ServiceConfig *Service = R.Config_->findService(R.Service_);
  if (Service == nullptr || !Service->Engine_)
    return D;
  const EngineProfile &Engine = *Service->Engine_;
  D.Places_ = Engine.Slots_;
  D.Reading_ = promptCost(R.Call_.Tokens_, Engine).Reading_;
  D.UsualReading_ = promptCost({}, Engine).Reading_;
  return D;
}

AskResult TrafficCore::ask(Record &R, const Endpoint &E, bool IsOnlyLimit,
                           TimePoint Now) {
  AttemptNumber A = NextAttempt_++;
  R.Asking_ = A;
  R.AskedOf_ = E.Id_;
  R.AskSentAt_ = R.AskedAt_ = Now;
  R.AsksOnlyLimit_ = IsOnlyLimit;
  ++R.Asks_;
  Asks_[A] = R.Number_;
  // Counted as sent, so that the next request goes to another endpoint.
  Placement_.attemptBegun(E.Id_, Now);
  PlaceDemand D = placeDemand(R, E, Now);
  R.AsksCold_ = D.Cold_.has_value();
  AskResult Result = IsOnlyLimit ? Port_.askLimit(A, E.Address_, D)
                                 : Port_.askPlace(A, E.Address_, D);
  if (Result != AskResult::Sent) {
    --R.Asks_;
    endAsk(R, Now);
  }
  return Result;
}

void TrafficCore::endAsk(Record &R, TimePoint Now) {
  if (R.Asking_ == 0)
    return;
  Asks_.erase(R.Asking_);
  R.Asking_ = 0;
  R.AwaitsHealthCheck_ = false;
  Placement_.attemptEnded(R.AskedOf_, Placement::End::Cancelled, false, Now);
}

void TrafficCore::abandonAsk(Record &R, TimePoint Now) {
  const Endpoint *E = Placement_.find(R.AskedOf_);
  if (R.Asking_ != 0 && !R.AwaitsHealthCheck_ && E != nullptr)
    Unanswered_[R.Asking_] = {startOf(*E), R.AskSentAt_, R.AskedAt_,
                              R.AsksOnlyLimit_, R.AsksCold_};
  endAsk(R, Now);
}

void TrafficCore::onLateReply(const Ask &Asked, const PlaceReply &W,
                              TimePoint Now) {
  const EndpointStart &At = Asked.Endpoint_;
  if (!Asked.IsOnlyLimit_) {
    Placement_.askAnswered(At.Id_, Now - Asked.AskedAt_);
    Placement_.updateLoad(At.Id_, W.Load_.Running_, W.Load_.Waiting_, Now);
    // A late reply may have been written at any time since the query.
    Placement_.noteSlowdown(At.Id_, W.Slowdown_, Asked.AskedAt_);
  }
  if (W.Limit_)
    noteLimit(At, *W.Limit_, GranterSource, Now);
  Cold_.noteGranter(At, W.Cold_, Asked.SentAt_, Now);
  const Endpoint *E = Placement_.find(At.Id_);
  bool IsCounted = Asked.StatesCold_ || W.Cold_;
  if (!W.IsGranted_ || E == nullptr || !needsGrant(*E, Now) ||
      (Cold_.find(*E, Now) && !IsCounted))
    return;
  Placement_.keepGrant(At.Id_, Asked.SentAt_ + LimitGrants::MaxGrantAge);
  Freed_.insert(E->Service_);
}

void TrafficCore::askElsewhere(Record &R, TimePoint Now) {
  bool TriesOn = R.ColdDenials_ < MaxColdDenials;
  if ((TriesOn && tryBegin(R, Now)) || R.IsDone_)
    return;
  R.Asks_ = 0;
  R.ColdDenials_ = 0;
  if (R.Current_.isRunning())
    return;
  if (!R.QueuedAt_)
    return queue(R, Now);
  if (mayBecomeUnplaceable(R) && refuseUnplaceable(R, Now))
    return;
  // It returns to its place in the queue.
  R.IsQueued_ = true;
  ServiceQueues_[R.Service_].Queue_.unpop(R.Item_, 1.0);
}

void TrafficCore::onPlaceReply(AttemptNumber A, const PlaceReply &W,
                               TimePoint Now) {
  Event Scope(*this);
  if (auto Late = Unanswered_.extract(A)) {
    onLateReply(Late.mapped(), W, Now);
    return dispatchFreed(Now);
  }
  auto Found = Asks_.find(A);
  if (Found == Asks_.end())
    return;
  Record &R = *Calls_.at(Found->second);
  endAsk(R, Now);
  const Endpoint *E = Placement_.find(R.AskedOf_);
  if (W.Limit_ && E != nullptr)
    noteLimit(startOf(*E), *W.Limit_, GranterSource, Now);
  if (E != nullptr)
    Cold_.noteGranter(startOf(*E), W.Cold_, R.AskSentAt_, Now);
  if (!R.AsksOnlyLimit_) {
    Placement_.askAnswered(R.AskedOf_, Now - R.AskedAt_);
    Placement_.updateLoad(R.AskedOf_, W.Load_.Running_, W.Load_.Waiting_, Now);
    Placement_.noteSlowdown(R.AskedOf_, W.Slowdown_, Now);
    if (W.IsAway_)
      Placement_.setAway(R.AskedOf_, true, Now);
    if (W.Version_ != 0)
      Placement_.updateVersion(R.AskedOf_, W.Version_);
  }
  if (!W.IsGranted_)
    onDenied(R, W, Now);
  bool IsNewEnough =
      R.AsksOnlyLimit_ || W.Version_ >= minVersion(R.Service_, Now);
  // After a pause of this process, its granter may not count it any more.
  bool IsOld = E != nullptr && needsGrant(*E, Now) &&
               Now - R.AskSentAt_ >= LimitGrants::MaxGrantAge;
  // The endpoint became cold after the query, so its granter did not count it.
  bool IsCounted = R.AsksCold_ || W.Cold_ || E == nullptr ||
                   !Cold_.find(*E, Now).has_value();
  bool IsUsable = W.IsGranted_ && !IsOld && IsCounted && E != nullptr &&
                  !E->IsDraining_ && IsNewEnough &&
                  !Placement_.restsOrLeaves(R.AskedOf_, Now) &&
                  Placement_.permits(R.AskedOf_, &scopeOf(R));
  if (!IsUsable || !begin(R, *E, Now))
    if (!R.IsDone_)
      askElsewhere(R, Now);
  dispatchFreed(Now);
}

// A limit that is used up says nothing about places elsewhere, so the query
// does not count as one of the few that a request may make.
void TrafficCore::onDenied(Record &R, const PlaceReply &W, TimePoint Now) {
  if (W.LimitWait_ <= Duration::zero())
    return Placement_.placeDenied(R.AskedOf_, Now, askRank(R));
  Placement_.hold(R.AskedOf_,
                  Now + Random_.jitter(W.LimitWait_, RetryAfterSpread));
  R.ColdDenials_ += W.Cold_ ? 1 : 0;
  if (R.Asks_ > 0)
    --R.Asks_;
}

TimePoint TrafficCore::warmAt(Record &R, TimePoint Now) const {
  std::optional<TimePoint> First;
  for (const Endpoint *E : Endpoints_.of(R.Service_)) {
    if (!Placement_.permits(E->Id_, &scopeOf(R)))
      continue;
    TimePoint Until = Cold_.coldUntil(*E);
    First = First ? std::min(*First, Until) : Until;
  }
  return First.value_or(Now);
}

} // namespace hawthornroad
