#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// Retry delays. Callers honour up to a third of the time they have left; below
// the minimum they would return before anything can have changed.
constexpr Duration MinRetryAfter = Milliseconds(250);
constexpr Duration MaxRetryAfter = Milliseconds(1800);
// A process without a configuration or with an expired lease sends its callers
// to another process, for which a short delay suffices.
constexpr Duration RetryElsewhereAfter = Milliseconds(300);
// The wait in a shorter queue is not estimated, since its rate is too
// uncertain.
constexpr std::size_t MinEstimatedQueue = 3;
// Requests that cannot be answered in time only take places that others leave.
constexpr int LateRank = 9;
} // namespace

void TrafficCore::arrive(CallNumber N, Call C, TimePoint Now) {
  Event Scope(*this);
  auto Owned = std::make_unique<Record>();
  Record &R = *Owned;
  R.Number_ = N;
  R.Call_ = std::move(C);
  R.Config_ = Config_;
  R.ConfigAge_ = Fence_.age(Now);
  R.ArrivedAt_ = Now;
  R.Deadline_ = Now + R.Call_.TimeLeft_.value_or(Options_.DefaultTimeLeft_);
  bool IsFull = Calls_.size() >= Options_.MaxCalls_ ||
                (RefusesBodies_ && !R.Call_.Body_.empty());
  Calls_.emplace(N, std::move(Owned));
  if (IsFull)
    refuse(R, status::Unavailable, Cause::ProcessFull, RetryElsewhereAfter,
           Now);
  else if (classify(R, Now)) {
    R.IsLate_ = isLate(R, Now);
    notePriority(R, Now);
    if (!R.Call_.Parts_.empty() && awaitsParts(Now))
      refuse(R, status::Unavailable, Cause::PartsUnknown, RetryElsewhereAfter,
             Now);
    else if (auto Until = Parts_.blockedUntil(R.Call_.Parts_, Now))
      refuseBlocked(R, *Until, Now);
    else
      place(R, Now);
  }
  dispatchFreed(Now);
}

bool TrafficCore::classify(Record &R, TimePoint Now) {
  if (Stop_ && Now >= Stop_->RefusesFrom_) {
    refuse(R, status::Unavailable, Cause::Stopping, RetryElsewhereAfter, Now);
    return false;
  }
  if (!R.Config_) {
    refuse(R, status::Unavailable, Cause::NoConfiguration, RetryElsewhereAfter,
           Now);
    return false;
  }
  if (!Fence_.permits(Now)) {
    refuse(R, status::Unavailable, Cause::ConfigBehind, RetryElsewhereAfter,
           Now);
    return false;
  }
  const RoutingConfig &Config = *R.Config_;
  R.Route_ = Config.match(R.Call_.Host_, R.Call_.path());
  if (R.Route_ == nullptr) {
    deny(R, status::NotFound, Cause::NoRoute, Now);
    return false;
  }
  R.Rank_ = R.Route_->Rank_;
  R.Deadline_ = std::min(R.Deadline_, Now + R.Route_->Timeout_);
  if (!identifyCustomer(R, Now))
    return false;
  unsigned Total = 0;
  for (const WeightedService &S : R.Route_->Services_)
    Total += S.Weight_;
  std::uint64_t Draw = Random_.below(std::max(1U, Total));
  for (const WeightedService &S : R.Route_->Services_) {
    R.Service_ = S.Service_;
    if (Draw < S.Weight_)
      break;
    Draw -= S.Weight_;
  }
  return true;
}

bool TrafficCore::identifyCustomer(Record &R, TimePoint Now) {
  const RoutingConfig &Config = *R.Config_;
  // Without a list of customers, a key is unknown like any that the list does
  // not hold: it may have been revoked together with the list.
  if (!Config.requiresKeys() && R.Call_.Key_.empty())
    return true;
  bool Holds = Lease_.holds(Now);
  const CustomerConfig *Who = Holds ? Config.customerOf(R.Call_.Key_) : nullptr;
  if (!R.Route_->IsPublic_ && !Holds) {
    refuse(R, status::Unavailable, Cause::KeyLeaseOver, RetryElsewhereAfter,
           Now);
    return false;
  }
  if (!R.Route_->IsPublic_ && Who == nullptr) {
    deny(R, status::Unauthorized, Cause::NoKey, Now);
    return false;
  }
  if (Who != nullptr) {
    R.Customer_ = Who->Name_;
    R.Rank_ = Who->Rank_.value_or(R.Rank_);
  }
  return true;
}

void TrafficCore::deny(Record &R, unsigned Status, Cause Why, TimePoint Now) {
  if (Fence_.permitsDenial(Now))
    return refuse(R, Status, Why, Duration::zero(), Now);
  refuse(R, status::Unavailable, Cause::ConfigBehind, RetryElsewhereAfter, Now);
}

bool TrafficCore::isLate(Record &R, TimePoint Now) {
  if (!R.Call_.TimeLeft_ || R.Route_->FirstByteGoal_ <= Duration::zero())
    return false;
  R.ElapsedBefore_ =
      Ages_.note(R.Route_->Name_, *R.Call_.TimeLeft_,
                 !ServiceQueues_[R.Service_].Overload_.isActive(Now), Now);
  return Options_.LateGoBehind_ &&
         R.ElapsedBefore_ >= R.Route_->FirstByteGoal_ * Options_.LateShare_;
}

void TrafficCore::notePriority(Record &R, TimePoint Now) {
  R.IsPrioritized_ = R.Config_->prioritiesDiffer(R.Service_);
  auto Level = R.Config_->priorityLevel(R.Service_, R.Rank_, R.Route_->Rank_);
  R.Rank_ = Level.Level_;
  R.QueueRank_ = Level.QueueRank_;
  if (!R.IsPrioritized_)
    return;
  ServedShare &Shares = ServiceQueues_[R.Service_].Shares_;
  Shares.arrived(R.Route_->Name_, R.Customer_, Now);
  R.IsOwed_ = Shares.isOwed(R.Route_->Name_, R.Customer_, Now);
}

int TrafficCore::askRank(const Record &R) {
  if (!R.IsPrioritized_ || R.IsStreaming_)
    return 0;
  if (R.IsLate_)
    return LateRank;
  return R.IsOwed_ ? 0 : R.Rank_;
}

bool TrafficCore::mustYield(const Record &R, TimePoint Now) const {
  if (!R.IsPrioritized_ || R.IsOwed_ || R.IsStreaming_ || R.MayHaveRun_)
    return false;
  auto Found = ServiceQueues_.find(R.Service_);
  return Found != ServiceQueues_.end() &&
         Found->second.RankOverload_.moreUrgentRefused(R.Rank_, Now);
}

// Where priorities differ, a request does not wait behind less urgent ones.
bool TrafficCore::othersWait(const Record &R) const {
  auto Found = ServiceQueues_.find(R.Service_);
  if (Found == ServiceQueues_.end())
    return false;
  const FairQueue &Queue = Found->second.Queue_;
  if (!R.IsPrioritized_)
    return !Queue.empty();
  return Queue.hasAsUrgent(queueClass(R.IsStreaming_, R.IsOwed_, R.QueueRank_));
}

Duration TrafficCore::estimatedWait(const ServiceName &Service,
                                    const Record &R) const {
  auto Found = ServiceQueues_.find(Service);
  if (Found == ServiceQueues_.end())
    return Duration::zero();
  const ServiceQueue &L = Found->second;
  if (L.Queue_.size() < MinEstimatedQueue || L.Ends_.size() < 2)
    return Duration::zero();
  double Ahead =
      L.Queue_.aheadOf(Options_.FairByCustomer_ ? R.Customer_ : Customer(),
                       queueClass(false, R.IsOwed_, R.QueueRank_), 1.0);
  Duration PerEnd = (L.Ends_.back() - L.Ends_.front()) /
                    static_cast<Duration::rep>(L.Ends_.size() - 1);
  return std::chrono::duration_cast<Duration>(PerEnd * (Ahead + 1));
}

// Endpoints that hold back by their own statement, and limits on regions, do
// not make the service count as overloaded.
Duration TrafficCore::retryAfter(Record &R, Cause Why, TimePoint Now) {
  ServiceQueue &L = ServiceQueues_[R.Service_];
  if (Why != Cause::EndpointsHeld && Why != Cause::NoAllowedRegion) {
    L.Overload_.refused(Now);
    bool LacksPlace = Why == Cause::LineFull || Why == Cause::WaitedTooLong;
    if (R.IsPrioritized_)
      L.RankOverload_.refused(R.Rank_, LacksPlace && !R.IsLate_, Now);
  }
  Duration Elapsed = R.IsPrioritized_ ? L.RankOverload_.elapsed(R.Rank_, Now)
                                      : L.Overload_.elapsed(Now);
  Duration Base =
      std::clamp<Duration>(Elapsed, 2 * MinRetryAfter, MaxRetryAfter);
  Duration Delay =
      std::max<Duration>(MinRetryAfter, Random_.jitter(Base, RetryAfterSpread));
  // Later only: before this time none of the endpoints accepts a request.
  Duration Held = heldUntil(R, Now) - Now;
  if (Held > Duration::zero())
    Delay = std::max(Delay, Held + std::chrono::duration_cast<Duration>(
                                       RetryAfterSpread * Random_.unit() *
                                       std::max(Held, Base)));
  if (Why == Cause::EndpointsHeld)
    if (TimePoint Warm = warmAt(R, Now); Warm > Now)
      Delay = std::max<Duration>(Delay,
                                 Random_.jitter(Warm - Now, RetryAfterSpread));
  return Delay;
}

TimePoint TrafficCore::heldUntil(Record &R, TimePoint Now) const {
  return Placement_.heldUntil(queryFor(R, Now));
}

void TrafficCore::place(Record &R, TimePoint Now) {
  if ((!othersWait(R) || hasOwnRegions(R)) && tryBegin(R, Now))
    return;
  queue(R, Now);
}

void TrafficCore::queue(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  if (!R.IsStreaming_) {
    if (refuseUnplaceable(R, Now))
      return;
    Duration Limit =
        std::max(Options_.LineLeast_,
                 std::chrono::duration_cast<Duration>(R.Route_->FirstByteGoal_ *
                                                      Options_.LineShare_));
    if (heldUntil(R, Now) > Now + Limit)
      return giveUp(R, Cause::EndpointsHeld, "all endpoints hold back", Now);
    if (R.IsLate_ || mustYield(R, Now) || estimatedWait(R.Service_, R) > Limit)
      return giveUp(R, Cause::LineFull, "no place in time", Now);
  }
  R.IsQueued_ = true;
  R.Asks_ = 0;
  R.QueuedAt_ = Now;
  R.Item_ = {RequestId{0, R.Number_},
             Options_.FairByCustomer_ ? R.Customer_ : Customer(),
             queueClass(R.IsStreaming_, R.IsOwed_, R.QueueRank_), R.Deadline_};
  ServiceQueues_[R.Service_].Queue_.push(R.Item_, 1.0);
}

void TrafficCore::unqueue(Record &R) {
  if (!R.IsQueued_)
    return;
  R.IsQueued_ = false;
  ServiceQueues_[R.Service_].Queue_.remove(R.Item_);
}

void TrafficCore::dispatchQueue(const ServiceName &Service, TimePoint Now) {
  auto Found = ServiceQueues_.find(Service);
  if (Found == ServiceQueues_.end())
    return;
  FairQueue &Queue = Found->second.Queue_;
  // Limits of requests that found no place. Requests with other limits may
  // still find one.
  std::vector<RegionScope> Full;
  auto MayFit = [&](const FairQueue::Item &Each) {
    auto At = Calls_.find(Each.Id_.Lo_);
    return At == Calls_.end() || std::find(Full.begin(), Full.end(),
                                           scopeOf(*At->second)) == Full.end();
  };
  while (!Queue.empty()) {
    std::optional<FairQueue::Item> Next =
        Full.empty() ? Queue.pop() : Queue.popIf(MayFit);
    if (!Next)
      return;
    auto At = Calls_.find(Next->Id_.Lo_);
    if (At == Calls_.end())
      continue;
    Record &R = *At->second;
    // It may be queued again from within.
    R.IsQueued_ = false;
    R.Item_ = *Next;
    if (mayBecomeUnplaceable(R) && refuseUnplaceable(R, Now))
      continue;
    if (!tryBegin(R, Now) && !R.IsDone_) {
      R.IsQueued_ = true;
      Queue.unpop(*Next, 1.0);
      if (!scopeOf(R).isLimited())
        return;
      Full.push_back(scopeOf(R));
    }
  }
}

void TrafficCore::dispatchFreed(TimePoint Now) {
  if (Dispatching_)
    return;
  Dispatching_ = true;
  while (!Freed_.empty()) {
    ServiceName Service = *Freed_.begin();
    Freed_.erase(Freed_.begin());
    dispatchQueue(Service, Now);
  }
  Dispatching_ = false;
}

std::optional<EndpointId> TrafficCore::chooseFor(Record &R, TimePoint Now) {
  Placement::Query Q = queryFor(R, Now);
  Q.Tried_ = &R.Tried_;
  // When all endpoints were tried, each may be tried again.
  if (!R.Tried_.empty() && Placement_.usable(Q) == 0) {
    if (R.Current_.isRunning())
      return std::nullopt;
    R.Tried_.clear();
  }
  // A stream cut by a weight load resumes at an engine with no load ahead.
  if (R.IsStreaming_) {
    Placement::Query Newest = Q;
    Newest.MinVersion_ = std::max(Q.MinVersion_, newestRequired(R.Service_));
    if (auto Chosen = Placement_.choose(Newest, Now))
      return Chosen;
  }
  return Placement_.choose(Q, Now);
}

bool TrafficCore::isInTime(const Record &R, const Endpoint &E,
                           TimePoint Now) const {
  Duration Least = std::min(Placement_.usualFirstByte(E.Id_),
                            Options_.MaxFirstByteAllowance_);
  TimePoint End = callerLeavesAt(R);
  if (Stop_)
    End = std::min(End, Stop_->EndsAt_);
  return End - Now >= Least;
}

// A request whose repeat is denied, or that is out of time, is closed on
// return.
bool TrafficCore::tryBegin(Record &R, TimePoint Now) {
  // Endpoints without an agent are detected one at a time.
  for (;;) {
    std::optional<EndpointId> Chosen = chooseFor(R, Now);
    const Endpoint *E = Chosen ? Placement_.find(*Chosen) : nullptr;
    if (E == nullptr)
      return false;
    if (!isInTime(R, *E, Now)) {
      if (R.Current_.isRunning())
        return false;
      giveUp(R, Stop_ ? Cause::Stopping : Cause::DeadlinePassed,
             "no time for another attempt", Now);
      return false;
    }
    if (needsHealthCheck(*E, Now)) {
      HealthWait Wait = awaitHealthCheck(R, *E, Now);
      if (Wait != HealthWait::NoAnswers)
        return Wait == HealthWait::Waits;
    }
    bool NeedsGrant = needsGrant(*E, Now);
    if (NeedsGrant && Placement_.takeGrant(E->Id_, Now))
      return begin(R, *E, Now);
    bool AsksAgent = Options_.AsksForPlaces_ && Placement_.mayAsk(E->Id_, Now);
    if (!AsksAgent && !NeedsGrant)
      return begin(R, *E, Now);
    if (R.Asks_ >= Options_.MaxAsks_)
      return false;
    AskResult Result = ask(R, *E, !AsksAgent, Now);
    if (Result == AskResult::Sent)
      return true;
    if (Result == AskResult::Connecting)
      Placement_.awaitReport(E->Id_, Now);
    else if (AsksAgent)
      Placement_.pauseAsking(E->Id_, Now);
    else if (takeShare(*E, Now))
      return begin(R, *E, Now);
  }
}

bool TrafficCore::begin(Record &R, const Endpoint &E, TimePoint Now) {
  if (R.HasArrived_ && !Budget_.take(R.Service_, Now)) {
    if (!R.Current_.isRunning())
      giveUp(R, R.MayHaveRun_ ? Cause::AttemptLost : Cause::TurnedAway,
             "the repeat budget is spent", Now);
    return false;
  }
  R.Outstanding_ += R.HasArrived_ ? 1 : 0;
  if (!R.IsNoted_)
    Budget_.noteRequest(R.Service_, Now);
  if (!R.IsNoted_ && R.IsPrioritized_)
    ServiceQueues_[R.Service_].Shares_.begun(R.Route_->Name_, R.Customer_, Now);
  R.IsNoted_ = true;
  R.IsLate_ = false;
  R.Asks_ = 0;
  if (R.QueuedAt_)
    R.Waited_ += Now - *R.QueuedAt_;
  R.QueuedAt_.reset();
  if (R.Current_.isRunning()) {
    R.Silent_ = std::move(R.Current_);
    R.Silent_->Relay_ = R.Relay_;
  }
  startAttempt(R, E, Now);
  AttemptParams O;
  O.Call_ = R.Number_;
  O.Endpoint_ = E.Id_;
  O.Address_ = E.Address_;
  O.Customer_ = R.Customer_;
  O.TimeLeft_ = R.Deadline_ - Now;
  O.Urgency_ = engineUrgency(R.IsStreaming_, R.Rank_);
  O.LastEvent_ = R.Relay_ ? R.Relay_->lastEvent() : R.Call_.LastEvent_;
  const Attempt &T = R.Current_;
  AttemptReport Begun{R.Number_,  R.Call_.Id_, T.At_,
                      T.Address_, "begun",     "",
                      false,      T.Ordinal_,  T.EndpointView_};
  Begun.IsRepeat_ = T.TookRepeat_;
  Port_.report(Begun);
  Port_.beginAttempt(T.Number_, R.Call_, O);
  return true;
}

void TrafficCore::startAttempt(Record &R, const Endpoint &E, TimePoint Now) {
  Attempt &T = R.Current_ = Attempt();
  T.Number_ = NextAttempt_++;
  ByAttempt_[T.Number_] = R.Number_;
  T.TookRepeat_ = std::exchange(R.HasArrived_, true);
  T.At_ = E.Id_;
  T.Address_ = E.Address_;
  T.Born_ = E.Born_;
  T.Ordinal_ = ++R.Attempts_;
  T.BegunAt_ = T.LastReceivedAt_ = Now;
  if (auto V = Placement_.view(E.Id_, Now))
    T.EndpointView_ = *V;
  if (R.Relay_)
    R.Relay_->startAttempt();
  Placement_.attemptBegun(E.Id_, Now);
  Credits_.spend(startOf(E));
  renewCredits(E, Now);
}

} // namespace hawthornroad
