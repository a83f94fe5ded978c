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
// Urgency sent to the endpoint: of a first attempt (the field's default), and
// of one that resumes a started stream.
constexpr int DefaultUrgency = 5;
constexpr int ResumeUrgency = 1;
constexpr int MaxUrgency = 9;

Priority priorityOf(int Rank) {
  if (Rank <= 0)
    return Priority::Interactive;
  return Rank == 1 ? Priority::Normal : Priority::Batch;
}
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
  bool IsFull = Calls_.size() >= Options_.MaxCalls_;
  Calls_.emplace(N, std::move(Owned));
  if (IsFull)
    refuse(R, status::Unavailable, Cause::ProcessFull, RetryElsewhereAfter,
           Now);
  else if (classify(R, Now)) {
    R.IsLate_ = isLate(R, Now);
    if (auto Until = Parts_.blockedUntil(R.Call_.Parts_, Now))
      refuseBlocked(R, *Until, Now);
    else
      place(R, Now);
  }
  dispatchFreed(Now);
}

bool TrafficCore::classify(Record &R, TimePoint Now) {
  if (Stopping_) {
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
  if (Config.hasCustomers()) {
    bool Holds = Lease_.holds(Now);
    const CustomerConfig *Who =
        Holds ? Config.customerOf(R.Call_.Key_) : nullptr;
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
  }
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
                       priorityOf(R.Rank_), 1.0);
  Duration PerEnd = (L.Ends_.back() - L.Ends_.front()) /
                    static_cast<Duration::rep>(L.Ends_.size() - 1);
  return std::chrono::duration_cast<Duration>(PerEnd * (Ahead + 1));
}

// Endpoints that hold back by their own statement do not make the service count
// as overloaded.
Duration TrafficCore::retryAfter(const Record &R, Cause Why, TimePoint Now) {
  Overload &O = ServiceQueues_[R.Service_].Overload_;
  if (Why != Cause::EndpointsHeld)
    O.refused(Now);
  Duration Base =
      std::clamp<Duration>(O.elapsed(Now), 2 * MinRetryAfter, MaxRetryAfter);
  Duration Delay =
      std::max<Duration>(MinRetryAfter, Random_.jitter(Base, RetryAfterSpread));
  // Later only: before this time none of the endpoints accepts a request.
  Duration Held = heldUntil(R, Now) - Now;
  if (Held > Duration::zero())
    Delay = std::max(Delay, Held + std::chrono::duration_cast<Duration>(
                                       RetryAfterSpread * Random_.unit() *
                                       std::max(Held, Base)));
  return Delay;
}

TimePoint TrafficCore::heldUntil(const Record &R, TimePoint Now) const {
  Placement::Query Q;
  Q.Service_ = R.Service_;
  Q.MinVersion_ = minVersion(R.Service_, Now);
  return Placement_.heldUntil(Q);
}

void TrafficCore::place(Record &R, TimePoint Now) {
  auto Found = ServiceQueues_.find(R.Service_);
  bool OthersWait =
      Found != ServiceQueues_.end() && !Found->second.Queue_.empty();
  if (!OthersWait && tryBegin(R, Now))
    return;
  queue(R, Now);
}

void TrafficCore::queue(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  if (!R.IsStreaming_) {
    Placement::Query Q;
    Q.Service_ = R.Service_;
    Q.MinVersion_ = minVersion(R.Service_, Now);
    if (Placement_.usable(Q) == 0)
      return giveUp(R, Cause::NoEndpoint, "no usable endpoint", Now);
    Duration Limit =
        std::max(Options_.LineLeast_,
                 std::chrono::duration_cast<Duration>(R.Route_->FirstByteGoal_ *
                                                      Options_.LineShare_));
    if (heldUntil(R, Now) > Now + Limit)
      return giveUp(R, Cause::EndpointsHeld, "all endpoints hold back", Now);
    if (R.IsLate_ || estimatedWait(R.Service_, R) > Limit)
      return giveUp(R, Cause::LineFull, "no place in time", Now);
  }
  R.IsQueued_ = true;
  R.Asks_ = 0;
  R.QueuedAt_ = Now;
  R.Item_ = {RequestId{0, R.Number_},
             Options_.FairByCustomer_ ? R.Customer_ : Customer(),
             R.IsStreaming_ ? Priority::Interactive : priorityOf(R.Rank_),
             R.Deadline_};
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
  while (!Queue.empty()) {
    std::optional<FairQueue::Item> Next = Queue.pop();
    if (!Next)
      return;
    auto At = Calls_.find(Next->Id_.Lo_);
    if (At == Calls_.end())
      continue;
    Record &R = *At->second;
    // It may be queued again from within.
    R.IsQueued_ = false;
    if (!tryBegin(R, Now) && !R.IsDone_) {
      R.IsQueued_ = true;
      Queue.unpop(*Next, 1.0);
      return;
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
  Placement::Query Q;
  Q.Service_ = R.Service_;
  Q.Tried_ = &R.Tried_;
  Q.MinVersion_ = minVersion(R.Service_, Now);
  Q.IsLate_ = R.IsLate_;
  Q.MayAsk_ = Options_.AsksForPlaces_;
  Q.TimeLeft_ = callerLeavesAt(R) - Now;
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
  return callerLeavesAt(R) - Now >= Least;
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
      giveUp(R, Cause::DeadlinePassed, "no time for another attempt", Now);
      return false;
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
  O.Urgency_ = R.IsStreaming_
                   ? ResumeUrgency
                   : std::clamp(DefaultUrgency + R.Rank_ - 1, 0, MaxUrgency);
  O.LastEvent_ = R.Relay_ ? R.Relay_->lastEvent() : R.Call_.LastEvent_;
  const Attempt &T = R.Current_;
  Port_.report(AttemptReport{R.Number_, R.Call_.Id_, T.At_, T.Address_, "begun",
                             "", false, T.Ordinal_, T.EndpointView_});
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
}

} // namespace hawthornroad
