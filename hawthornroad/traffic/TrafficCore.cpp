#include "hawthornroad/traffic/RequestScope.h"
#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// Number of completion times kept to estimate a queue's rate.
constexpr std::size_t MaxEndsKept = 24;
// A resumed stream waits longer for a place than a new request, since its
// caller already has a part of the answer.
constexpr Duration ResumeWait = Milliseconds(1200);
// Late replies of agents are ignored after this time.
constexpr Duration MaxLateReply = Seconds(5);

ColdEndpoints::Options coldOptions(const TrafficCore::Options &O) {
  ColdEndpoints::Options Out = O.Cold_;
  Out.HasPlaceGrants_ = O.AsksForPlaces_;
  return Out;
}
} // namespace

std::string_view toString(Cause C) {
  switch (C) {
  case Cause::None:
    return "none";
  case Cause::NoConfiguration:
    return "no_configuration";
  case Cause::ConfigBehind:
    return "config_behind";
  case Cause::NoRoute:
    return "no_route";
  case Cause::NoKey:
    return "unknown_key";
  case Cause::KeyLeaseOver:
    return "key_lease_over";
  case Cause::NoEndpoint:
    return "no_endpoint";
  case Cause::NoAllowedRegion:
    return "no_allowed_region";
  case Cause::EndpointsHeld:
    return "endpoints_held";
  case Cause::LineFull:
    return "line_full";
  case Cause::WaitedTooLong:
    return "waited_too_long";
  case Cause::DeadlinePassed:
    return "deadline_passed";
  case Cause::TurnedAway:
    return "turned_away";
  case Cause::AttemptLost:
    return "attempt_lost";
  case Cause::PromptBlocked:
    return "prompt_blocked";
  case Cause::PartsUnknown:
    return "parts_unknown";
  case Cause::ProcessFull:
    return "process_full";
  case Cause::Stopping:
    return "stopping";
  }
  return "unknown";
}

TrafficCore::TrafficCore(Options O, TrafficPort &Port, Random R)
    : Options_(O), Port_(Port), Random_(R),
      Placement_(O.Placement_, Random(Random_.next())), Budget_(O.Budget_),
      Parts_(O.Parts_), Share_(O.Share_, Random(Random_.next())),
      Cold_(coldOptions(O), R), Credits_(O.Credits_),
      Lease_(O.RevokeBound_, O.RevokeMargin_), Fence_(O.Fence_) {}

TrafficCore::~TrafficCore() = default;

bool TrafficCore::configure(SharedConfig C, TimePoint Now) {
  if (Config_ && C->version() < Config_->version())
    return false;
  Config_ = std::move(C);
  ++ConfigChanges_;
  if (!ConfiguredAt_)
    ConfiguredAt_ = Now;
  LimitsRegions_ = limitsRegions(*Config_);
  endpointsChanged(Now);
  return true;
}

void TrafficCore::prove(TimePoint AsOf, TimePoint Now) {
  Lease_.prove(AsOf);
  Fence_.prove(AsOf, Now);
}

void TrafficCore::endpointsChanged(TimePoint Now) {
  Event Scope(*this);
  if (!Config_)
    return;
  Placement_.setEndpoints(Endpoints_, *Config_);
  Cold_.listed(Endpoints_, *Config_, Now);
  Credits_.listed(Endpoints_);
  endLostAttempts(Now);
  for (const auto &[Name, L] : ServiceQueues_)
    Freed_.insert(Name);
  dispatchFreed(Now);
}

// The endpoint restarted, so nothing more will arrive of these attempts. Each
// may have run before, so a request that may run only once is answered at once
// and not sent again.
void TrafficCore::endLostAttempts(TimePoint Now) {
  std::vector<AttemptNumber> Lost;
  auto Check = [&](const Attempt &T) {
    const Endpoint *E = T.isRunning() ? Endpoints_.find(T.At_) : nullptr;
    if (E != nullptr && E->Born_ != T.Born_)
      Lost.push_back(T.Number_);
  };
  for (const auto &[N, R] : Calls_) {
    Check(R->Current_);
    if (R->Silent_)
      Check(*R->Silent_);
  }
  for (AttemptNumber A : Lost) {
    Record *R = find(A);
    if (R == nullptr)
      continue;
    Port_.cancelAttempt(A);
    noteLost(*R, attemptOf(*R, A), Now);
    endAttempt(*R, attemptOf(*R, A), Placement::End::Cancelled, "failed",
               "the endpoint restarted", true, Now);
    if (!continueWithOther(*R, Now))
      afterFailure(*R, Now);
  }
}

void TrafficCore::engineUpdated(const std::string &Address, bool IsAway,
                                WeightVersion V,
                                std::optional<EndpointLoad> Load,
                                TimePoint Now) {
  Event Scope(*this);
  for (const auto &[Id, Each] : Endpoints_.all()) {
    if (Each.Endpoint_.Address_ != Address)
      continue;
    Placement_.setAway(Id, IsAway, Now);
    if (V != 0)
      Placement_.updateVersion(Id, V);
    if (Load) {
      Placement_.updateLoad(Id, Load->Running_, Load->Waiting_, Now);
      Placement_.noteSlowdown(Id, Load->Slowdown_, Now);
    }
    Freed_.insert(Each.Endpoint_.Service_);
  }
  releaseShares();
  dispatchFreed(Now);
}

void TrafficCore::releaseShares() {
  for (const EndpointId &Id : std::exchange(HeldByShare_, {})) {
    Placement_.release(Id);
    if (const Endpoint *E = Endpoints_.find(Id))
      Freed_.insert(E->Service_);
  }
}

TrafficCore::Record *TrafficCore::find(AttemptNumber A) {
  auto Found = ByAttempt_.find(A);
  if (Found == ByAttempt_.end())
    return nullptr;
  return Calls_.at(Found->second).get();
}

// ---- Completion -------------------------------------------------------------

void TrafficCore::refuse(Record &R, unsigned Status, Cause Why,
                         Duration RetryAfter, TimePoint Now) {
  R.Status_ = Status;
  R.Cause_ = Why;
  if (!R.CallerGone_)
    Port_.refuse(R.Number_, R.Call_, Status, Why, RetryAfter);
  close(R, Now);
}

// Final answer to a request that cannot be served.
void TrafficCore::giveUp(Record &R, Cause Why, std::string_view Reason,
                         TimePoint Now) {
  if (R.IsDone_)
    return;
  unqueue(R);
  if (R.Fallback_ && !R.IsStreaming_) {
    R.Status_ = R.Fallback_->Status_;
    R.Cause_ = Why;
    Port_.respond(R.Number_, R.Fallback_->Status_, R.Fallback_->Headers_,
                  std::move(R.FallbackBody_));
    return close(R, Now);
  }
  if (R.IsStreaming_) {
    R.Cause_ = Why;
    reportCut(R, Why, Reason, Now);
    Port_.abortStream(R.Number_);
    return close(R, Now);
  }
  if (!R.MayHaveRun_)
    return refuse(R, status::Unavailable, Why, retryAfter(R, Why, Now), Now);
  bool IsLate = Why == Cause::DeadlinePassed;
  refuse(R, IsLate ? status::GatewayTimeout : status::BadGateway, Why,
         Duration::zero(), Now);
}

void TrafficCore::reportCut(const Record &R, Cause Why, std::string_view Reason,
                            TimePoint Now) {
  if (R.CallerGone_)
    return;
  CutReport C;
  C.Number_ = R.Number_;
  C.Id_ = R.Call_.Id_;
  C.Cause_ = Why;
  C.Reason_ = Reason;
  C.LastEndpoint_ = R.Current_.At_;
  C.EndpointView_ = Placement_.view(R.Current_.At_, Now);
  C.SilentFor_ = Now - R.Current_.LastReceivedAt_;
  C.Events_ = R.Relay_ ? R.Relay_->passed() : 0;
  C.Attempts_ = R.Attempts_;
  C.Total_ = Now - R.ArrivedAt_;
  C.TimeLeft_ = R.Deadline_ - Now;
  Port_.report(C);
}

void TrafficCore::close(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  unqueue(R);
  abandonAsk(R, Now);
  R.IsDone_ = true;
  Closed_.push_back(R.Number_);
  CallReport Report;
  Report.Number_ = R.Number_;
  Report.Id_ = R.Call_.Id_;
  if (R.Route_ != nullptr) {
    Report.Route_ = R.Route_->Name_;
    Report.MaxRuns_ = R.Route_->MaxAttempts_;
  }
  Report.Runs_ = static_cast<unsigned>(R.Runs_.size());
  Report.Customer_ = R.Customer_;
  if (R.IsPrioritized_)
    Report.Rank_ = R.Rank_;
  Report.IsOwed_ = R.IsOwed_;
  Report.Status_ = R.Status_;
  Report.Cause_ = R.Cause_;
  Report.MayHaveRun_ = R.MayHaveRun_;
  Report.CallerGone_ = R.CallerGone_;
  Report.Attempts_ = R.Attempts_;
  Report.LastEndpoint_ = R.Current_.At_;
  Report.ConfigVersion_ = R.Config_ ? R.Config_->version() : 0;
  Report.ConfigAge_ = R.ConfigAge_;
  Report.Events_ = R.Relay_ ? R.Relay_->passed() : 0;
  Report.Waited_ = R.Waited_;
  Report.ElapsedBefore_ = R.ElapsedBefore_;
  if (R.FirstByteAt_)
    Report.FirstByte_ = *R.FirstByteAt_ - R.ArrivedAt_;
  Report.LongestGap_ = R.LongestGap_;
  Report.Total_ = Now - R.ArrivedAt_;
  Port_.report(Report);
}

void TrafficCore::eraseClosed() {
  for (CallNumber N : std::exchange(Closed_, {}))
    Calls_.erase(N);
}

void TrafficCore::callerGone(CallNumber N, TimePoint Now) {
  Event Scope(*this);
  auto Found = Calls_.find(N);
  if (Found == Calls_.end() || Found->second->IsDone_)
    return;
  Record &R = *Found->second;
  R.CallerGone_ = true;
  cancelAttempts(R, "the caller left", Now);
  close(R, Now);
  dispatchFreed(Now);
}

void TrafficCore::endAll(TimePoint Now) {
  Event Scope(*this);
  std::vector<Record *> Open;
  Open.reserve(Calls_.size());
  for (const auto &[N, R] : Calls_)
    Open.push_back(R.get());
  for (Record *R : Open) {
    if (R->IsDone_)
      continue;
    cancelAttempts(*R, "the process ends", Now);
    giveUp(*R, Cause::Stopping, "the process ends", Now);
  }
  dispatchFreed(Now);
}

void TrafficCore::noteCompletion(const ServiceName &Service, TimePoint Now) {
  std::deque<TimePoint> &Ends = ServiceQueues_[Service].Ends_;
  Ends.push_back(Now);
  if (Ends.size() > MaxEndsKept)
    Ends.pop_front();
}

// ---- Time -------------------------------------------------------------------

// Longest wait in the queue that leaves an engine's usual time within the goal.
Duration TrafficCore::queueWaitLimit(const Route &R) const {
  Duration Share = std::chrono::duration_cast<Duration>(R.FirstByteGoal_ *
                                                        Options_.LineShare_);
  return std::max(Options_.LineLeast_, Share);
}

Duration TrafficCore::callerTimeout(const Route &R) const {
  constexpr int Goals = 4;
  constexpr int Gaps = 8;
  return std::max({Options_.CallerLeaves_, Duration(Goals * R.FirstByteGoal_),
                   Duration(Gaps * R.EventGapGoal_)});
}

TimePoint TrafficCore::callerLeavesAt(const Record &R) const {
  if (!R.Route_->IsStream_ || R.Current_.PausedAt_)
    return R.Deadline_;
  TimePoint LastByteAt = R.FirstByteAt_ ? R.LastByteAt_ : R.ArrivedAt_;
  return std::min(R.Deadline_,
                  LastByteAt + R.PausedSinceByte_ + callerTimeout(*R.Route_));
}

void TrafficCore::checkTime(Record &R, TimePoint Now) {
  // After a pause it may have begun: its head is read before the next tick.
  if (!IsAfterPause_ && endAtOldVersion(R, Now))
    return afterFailure(R, Now);
  bool IsOver = Now >= R.Deadline_;
  if (IsOver || Now >= callerLeavesAt(R) + Options_.CallerCloseMargin_) {
    cancelAttempts(R, IsOver ? "deadline" : "the caller has left by now", Now);
    return giveUp(R, Cause::DeadlinePassed,
                  IsOver ? "the deadline has passed"
                         : "silent for as long as callers wait",
                  Now);
  }
  if (R.IsQueued_) {
    Duration Limit = R.IsStreaming_ ? ResumeWait : queueWaitLimit(*R.Route_);
    if (Now - *R.QueuedAt_ >= Limit || mustYield(R, Now))
      giveUp(R, Cause::WaitedTooLong, "no place in time", Now);
    return;
  }
  if (!R.AwaitsHealthCheck_ && R.Asking_ != 0 &&
      Now - R.AskedAt_ >= Options_.AskTimeout_) {
    if (R.AsksOnlyLimit_) {
      Placement_.hold(R.AskedOf_, Now + Options_.LimitRetry_);
    } else {
      Placement_.askTimedOut(R.AskedOf_, R.AskedAt_, Now);
      Placement_.placeDenied(R.AskedOf_, Now);
    }
    abandonAsk(R, Now);
    return askElsewhere(R, Now);
  }
  if (isSilent(R, Now))
    replaceSilent(R, Now);
}

bool TrafficCore::isSilent(const Record &R, TimePoint Now) const {
  if (!R.Current_.isRunning() || R.Current_.PausedAt_ ||
      R.Route_->Repeat_ == Repeat::Never)
    return false;
  Duration Limit = Options_.NextEventSilence_;
  if (!R.IsStreaming_ && R.Route_->IsStream_)
    Limit = Options_.FirstEventSilence_;
  else if (!R.IsStreaming_)
    Limit = std::chrono::duration_cast<Duration>((R.Deadline_ - R.ArrivedAt_) *
                                                 Options_.SilenceShare_);
  return Now - R.Current_.LastReceivedAt_ >= Limit;
}

// Begins another attempt beside the silent one, which goes on: its endpoint may
// be sound, and without a replacement it is the only answer there can be.
void TrafficCore::replaceSilent(Record &R, TimePoint Now) {
  if (R.Silent_ || R.Asking_ != 0 || Now < R.NextReplacementAt_)
    return;
  R.countRun(R.Current_);
  R.Tried_.insert(R.Current_.At_);
  Placement::Query Q = queryFor(R, Now);
  Q.Tried_ = &R.Tried_;
  if (!mayGoElsewhere(R) || Placement_.usable(Q) == 0)
    return;
  R.NextReplacementAt_ = Now + Options_.ReplacementRetry_;
  if (!std::exchange(R.Current_.IsSilenceNoted_, true))
    Placement_.noteFailure(R.Current_.At_, Now);
  if (Budget_.permits(R.Service_, Now))
    tryBegin(R, Now);
}

// Endpoints and callers are not to blame for the time in which this process did
// not run: what they sent meanwhile is read only now. What was read before this
// tick is not moved into the future.
void TrafficCore::notePause(Duration Gap, TimePoint Now) {
  // Part of the gap counts: ticks may always be late.
  auto Shift = [&](TimePoint &At, Duration Counted) {
    At = std::min(At + Gap - Counted, Now);
  };
  for (auto &[Id, Check] : HealthChecks_)
    Shift(Check.SentAt_, Options_.HealthTimeout_ / 2);
  for (const auto &[N, R] : Calls_) {
    Shift(R->Current_.LastReceivedAt_, Options_.MinPause_);
    if (R->Silent_)
      Shift(R->Silent_->LastReceivedAt_, Options_.MinPause_);
    Shift(R->AskedAt_, Options_.AskTimeout_ / 2);
    if (R->IsStreaming_ && R->QueuedAt_)
      Shift(*R->QueuedAt_, Options_.MinPause_);
    TimePoint LastByteAt = R->FirstByteAt_ ? R->LastByteAt_ : R->ArrivedAt_;
    R->PausedSinceByte_ += std::min(Gap - Options_.MinPause_, Now - LastByteAt);
  }
}

void TrafficCore::tick(TimePoint Now) {
  Event Scope(*this);
  Duration Gap = TickedAt_ ? Now - *TickedAt_ : Duration::zero();
  TickedAt_ = Now;
  IsAfterPause_ = Gap > Options_.MinPause_;
  if (IsAfterPause_)
    notePause(Gap, Now);
  if (Endpoints_.tick(Now))
    endpointsChanged(Now);
  endSilentChecks(Now);
  std::vector<Record *> Open;
  Open.reserve(Calls_.size());
  for (const auto &[N, R] : Calls_)
    Open.push_back(R.get());
  for (Record *R : Open)
    if (!R->IsDone_)
      checkTime(*R, Now);
  updateParts(Now);
  settleAbandoned(Now);
  for (const EndpointStart &E : Placement_.takeEndedRests(Now))
    Port_.report(HoldReport{E.Id_, HoldReport::Kind::RestEnded});
  for (const ColdReport &Each : Cold_.takeReports(Now))
    Port_.report(Each);
  for (const auto &[Name, L] : ServiceQueues_)
    if (!L.Queue_.empty())
      Freed_.insert(Name);
  std::erase_if(Unanswered_, [&](const auto &Each) {
    return Now - Each.second.AskedAt_ >= MaxLateReply;
  });
  dispatchFreed(Now);
}

} // namespace hawthornroad
