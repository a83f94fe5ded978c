#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Late copies that one attempt waits out. An endpoint that sends more answers
// to other requests is faulty otherwise.
constexpr unsigned MaxSkippedAnswers = 2;

bool isEventStream(const HeaderFields &Fields) {
  for (const HeaderField &Each : Fields)
    if (Each.Value_.starts_with("text/event-stream"))
      return true;
  return false;
}

// Whether the answer names another request.
bool isForeign(const EndpointHead &H, const Call &C) {
  return !H.RequestId_.empty() && H.RequestId_ != C.Id_;
}

// Why the answer is not taken for that of this request; empty when it is.
// Endpoints echo the request's id; what stands before them may not. An answer
// without an id is its own for certain only where nothing came before it.
std::string_view mismatch(const EndpointHead &H, const Call &C) {
  if (isForeign(H, C))
    return "an answer to another request";
  if (H.RequestId_.empty() && H.MayBeCopy_)
    return "an answer to no request on a used connection";
  return "";
}
} // namespace

TrafficCore::Attempt &TrafficCore::attemptOf(Record &R, AttemptNumber A) {
  return R.Silent_ && R.Silent_->Number_ == A ? *R.Silent_ : R.Current_;
}

void TrafficCore::endAttempt(Record &R, Attempt &T, Placement::End E,
                             std::string_view What, const std::string &Why,
                             bool MayHaveRun, TimePoint Now) {
  if (!T.isRunning())
    return;
  // Given up without a sign of its endpoint, which may be frozen and read it
  // later.
  if (E == Placement::End::Cancelled && !T.HasHead_)
    R.Abandoned_.push_back({{T.At_, T.Born_}, Now});
  onPaused(T.Number_, false, Now);
  ByAttempt_.erase(T.Number_);
  T.Number_ = 0;
  settleRepeats(R, Now);
  Placement_.attemptEnded(T.At_, E, T.FirstByteReported_, Now);
  T.FirstByteReported_ = false;
  Freed_.insert(R.Service_);
  if (MayHaveRun) {
    R.MayHaveRun_ = true;
    R.countRun(T);
  }
  Port_.report(AttemptReport{R.Number_, R.Call_.Id_, T.At_, T.Address_, What,
                             Why, MayHaveRun, T.Ordinal_, T.EndpointView_,
                             Now - T.BegunAt_, Now - T.LastReceivedAt_,
                             R.Call_.Parts_, T.TookRepeat_});
}

// Which of the attempts counts as the first is decided by their arrivals, so
// all of a request's repeats wait for the last of its attempts.
void TrafficCore::settleRepeats(Record &R, TimePoint Now) {
  bool IsOnWay =
      R.Current_.mayStillArrive() || (R.Silent_ && R.Silent_->mayStillArrive());
  if (R.Outstanding_ == 0 || IsOnWay)
    return;
  auto Open = static_cast<unsigned>(R.Abandoned_.size());
  unsigned Unknown = std::min(R.Outstanding_, Open);
  Budget_.settle(R.Service_, R.Outstanding_ - Unknown, Now);
  Budget_.abandon(R.Service_, Unknown);
  if (Unknown != 0)
    Abandoned_.add(R.Service_, Unknown, R.Abandoned_, Now);
  R.Outstanding_ = 0;
  R.Abandoned_.clear();
}

void TrafficCore::settleAbandoned(TimePoint Now) {
  for (const EndpointStart &Each : Abandoned_.endpoints()) {
    const Endpoint *E = Endpoints_.find(Each.Id_);
    if (E != nullptr && E->Born_ != Each.Born_)
      Abandoned_.noteGone(Each);
  }
  for (const auto &[Service, Count] : Abandoned_.take(Now))
    Budget_.settleAbandoned(Service, Count, Now);
}

void TrafficCore::returnRepeat(Record &R, Attempt &T) {
  Attempt *Other = nullptr;
  if (R.Silent_)
    Other = &T == &R.Current_ ? &*R.Silent_ : &R.Current_;
  bool HasOther = Other != nullptr && Other->isRunning();
  if (!T.TookRepeat_ && !HasOther) {
    R.HasArrived_ = false;
    return;
  }
  // The other attempt is then the first that was sent.
  if (!T.TookRepeat_)
    Other->TookRepeat_ = false;
  // A settled repeat stays counted.
  if (R.Outstanding_ == 0)
    return;
  --R.Outstanding_;
  Budget_.giveBack(R.Service_);
}

void TrafficCore::cancelAttempt(Record &R, Attempt &T, const std::string &Why,
                                TimePoint Now) {
  if (!T.isRunning())
    return;
  Port_.cancelAttempt(T.Number_);
  endAttempt(R, T, Placement::End::Cancelled, "cancelled", Why, true, Now);
}

void TrafficCore::cancelAttempts(Record &R, const std::string &Why,
                                 TimePoint Now) {
  cancelAttempt(R, R.Current_, Why, Now);
  if (R.Silent_)
    cancelAttempt(R, *R.Silent_, Why, Now);
  R.Silent_.reset();
}

// An attempt of R has ended without an answer. True when another one runs, with
// which R continues.
bool TrafficCore::continueWithOther(Record &R, TimePoint Now) {
  if (R.Silent_ && !R.Silent_->isRunning())
    R.Silent_.reset();
  if (!R.Current_.isRunning() && R.Silent_)
    restoreSilent(R);
  if (!R.Current_.isRunning())
    return false;
  R.NextReplacementAt_ = Now + Options_.ReplacementRetry_;
  return true;
}

void TrafficCore::restoreSilent(Record &R) {
  R.Relay_ = std::move(R.Silent_->Relay_);
  R.Current_ = std::move(*R.Silent_);
  R.Silent_.reset();
}

// T has sent what may be forwarded: R needs no other attempt any more.
void TrafficCore::keepOnly(Record &R, Attempt &T, TimePoint Now) {
  abandonAsk(R, Now);
  if (!R.Silent_)
    return;
  if (&T == &R.Current_) {
    cancelAttempt(R, *R.Silent_, "silent, and replaced", Now);
    R.Silent_.reset();
    return;
  }
  cancelAttempt(R, R.Current_, "the attempt before it continued", Now);
  restoreSilent(R);
}

void TrafficCore::onHead(AttemptNumber A, EndpointHead H, TimePoint Now) {
  Event Scope(*this);
  Record *R = find(A);
  if (R == nullptr)
    return;
  Attempt &T = attemptOf(*R, A);
  if (isForeign(H, R->Call_) && H.MayBeCopy_ &&
      T.Skipped_ < MaxSkippedAnswers) {
    ++T.Skipped_;
    return Port_.skipAnswer(A);
  }
  T.LastReceivedAt_ = Now;
  T.HasHead_ = true;
  T.Head_ = std::move(H);
  settleRepeats(*R, Now);
  const EndpointHead &Head = T.Head_;
  std::string_view Mismatch = mismatch(Head, R->Call_);
  bool IsUnsigned = !Head.NotRun_ && !Head.IsSigned_;
  if (!Mismatch.empty() || Head.IsEncoded_ || IsUnsigned) {
    // The answer belongs to another request or does not come from an endpoint.
    Port_.cancelAttempt(A);
    return failAttempt(*R, T,
                       Mismatch.empty()
                           ? "an answer without the endpoint's signature"
                           : std::string(Mismatch),
                       Now);
  }
  if (!Head.IsOtherEndpoint_) {
    noteLimit(T, Now);
    noteHolds(T, Now);
    Cold_.noteAnswer({T.At_, T.Born_}, Head.ColdLeft_, Now);
  }
  if (Head.HasLoad_)
    Placement_.updateLoad(T.At_, Head.Running_, Head.Waiting_, Now);
  if (!Head.IsOtherEndpoint_)
    Placement_.noteSlowdown(T.At_, Head.Slowdown_, Now);
  if (Head.NotRun_)
    return;
  T.HeadAt_ = Now;
  Crashes_.noteAlive({T.At_, T.Born_}, T.BegunAt_);
  Abandoned_.noteAnswer({T.At_, T.Born_}, T.BegunAt_);
  Placement_.firstByte(T.At_, Now - T.BegunAt_, Head.Slowdown_);
  T.FirstByteReported_ = true;
  if (Head.Version_ != 0)
    Placement_.updateVersion(T.At_, Head.Version_);
  T.IsEvents_ = Head.Status_ == status::Ok && R->Route_->IsStream_ &&
                isEventStream(Head.Headers_);
  if (!T.IsEvents_)
    return;
  if (std::optional<EventRelay> &Relay = relayOf(*R, T); !Relay)
    Relay.emplace(R->Call_.LastEvent_);
}

std::optional<EventRelay> &TrafficCore::relayOf(Record &R, Attempt &T) {
  return &T == &R.Current_ ? R.Relay_ : T.Relay_;
}

// An attempt that sent something else than its answer.
void TrafficCore::failAttempt(Record &R, Attempt &T, const std::string &Why,
                              TimePoint Now) {
  R.Tried_.insert(T.At_);
  endAttempt(R, T, Placement::End::Failed, "failed", Why, true, Now);
  if (!continueWithOther(R, Now))
    afterFailure(R, Now);
  dispatchFreed(Now);
}

// An answer that ran ends a limit by stating none. One that was turned away
// does not: it may come from a queue before the endpoint.
void TrafficCore::noteLimit(const Attempt &T, TimePoint Now) {
  const EndpointHead &H = T.Head_;
  bool MayEndLimit = !H.NotRun_ && H.Unreadable_.empty();
  if (!H.RateLimit_ && !MayEndLimit)
    return;
  noteLimit({T.At_, T.Born_}, {H.RateLimit_, T.BegunAt_, Now}, AnswerSource,
            Now);
}

void TrafficCore::noteHolds(const Attempt &T, TimePoint Now) {
  const EndpointHead &H = T.Head_;
  EndpointStart E{T.At_, T.Born_};
  if (H.Rest_ && *H.Rest_ > Duration::zero()) {
    Duration Rest = std::min(*H.Rest_, Options_.MaxRest_);
    if (Placement_.rest(E, Now + Rest))
      Port_.report(HoldReport{T.At_, HoldReport::Kind::Rests, Rest});
  }
  if (H.IsLeaving_ && Placement_.leave(E, Now))
    Port_.report(HoldReport{T.At_, HoldReport::Kind::Leaves});
}

void TrafficCore::noteLimit(const EndpointStart &E, const LimitStatement &S,
                            std::string_view Source, TimePoint Now) {
  const LimitStatement *Before = Limits_.find(E);
  auto Previous = Before != nullptr ? Before->PerSecond_ : std::nullopt;
  if (!Limits_.note(E, S))
    return;
  Port_.report(LimitReport{E.Id_, Previous, S.PerSecond_, Source, Now - S.At_});
  const Endpoint *At = Endpoints_.find(E.Id_);
  if (At == nullptr)
    return;
  if (Source == AnswerSource)
    Port_.shareLimit(At->Address_, E, S);
  if (!S.PerSecond_) {
    Placement_.release(E.Id_);
    Freed_.insert(At->Service_);
  }
}

void TrafficCore::onBody(AttemptNumber A, std::string Bytes, TimePoint Now) {
  Event Scope(*this);
  Record *R = find(A);
  if (R == nullptr)
    return;
  Attempt &T = attemptOf(*R, A);
  T.LastReceivedAt_ = Now;
  T.WrittenFor_ = Now - T.HeadAt_;
  T.HasBody_ = true;
  if (!T.IsEvents_)
    return onPlainBody(*R, T, Bytes, Now);
  EventRelay &Relay = *relayOf(*R, T);
  std::string Out = Relay.feed(Bytes);
  bool IsOverlong = Relay.isOverlong();
  if (!Out.empty()) {
    keepOnly(*R, T, Now);
    forward(*R, Out, Now);
  }
  // The attempt may have ended within the forwarding.
  if (IsOverlong && find(A) == R)
    return failOverlong(*R, attemptOf(*R, A), "an event without an end", Now);
  if (!Out.empty())
    dispatchFreed(Now);
}

// Sends events of the current attempt to the caller.
void TrafficCore::forward(Record &R, std::string_view Events, TimePoint Now) {
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  else
    R.LongestGap_ = std::max(R.LongestGap_, Now - R.LastByteAt_);
  R.LastByteAt_ = Now;
  R.PausedSinceByte_ = Duration::zero();
  const EndpointHead &Head = R.Current_.Head_;
  if (!R.IsStreaming_) {
    R.IsStreaming_ = true;
    R.Status_ = Head.Status_;
    Port_.beginStream(R.Number_, Head.Status_, Head.Headers_);
  }
  // The caller may have been found gone meanwhile.
  if (!R.IsDone_)
    Port_.writeStream(R.Number_, Events);
}

// A stream that is resumed after its last event may be empty.
bool TrafficCore::isBrokenOff(Record &R, Attempt &T, bool IsFramed) {
  if (!T.IsEvents_)
    return false;
  const EventRelay &Relay = *relayOf(R, T);
  bool IsEmpty = !T.HasBody_ && Relay.lastEvent().empty();
  return !Relay.isWhole() || (!IsFramed && IsEmpty);
}

void TrafficCore::onEnd(AttemptNumber A, TimePoint Now, bool IsFramed) {
  Event Scope(*this);
  Record *R = find(A);
  if (R == nullptr)
    return;
  Attempt &T = attemptOf(*R, A);
  const EndpointHead &Head = T.Head_;
  if (Head.NotRun_)
    return onTurnedAway(*R, T, Now);
  if (isBrokenOff(*R, T, IsFramed)) {
    noteLost(*R, T, Now);
    return failAttempt(*R, T, "the stream was broken off", Now);
  }
  noteWhole(*R, T, IsFramed, Now);
  // The caller already has the head and a part of a stream. Another kind of
  // answer cannot follow it, and finishing here would make the partial stream
  // look complete.
  if (R->IsStreaming_ && !T.IsEvents_)
    return failAttempt(*R, T,
                       "no event stream from the resuming endpoint: status " +
                           std::to_string(Head.Status_),
                       Now);
  std::string What = "status " + std::to_string(Head.Status_);
  bool IsFailure = Head.Status_ >= status::FirstServerError;
  noteCompletion(R->Service_, Now);
  if (IsFailure && R->Route_->Repeat_ != Repeat::Never) {
    R->Fallback_ = Head;
    R->FallbackBody_ = T.Body_;
    R->Tried_.insert(T.At_);
    endAttempt(*R, T, Placement::End::Failed, "ended", What, true, Now);
    if (!continueWithOther(*R, Now))
      afterFailure(*R, Now);
    return dispatchFreed(Now);
  }
  keepOnly(*R, T, Now);
  endAttempt(*R, R->Current_,
             IsFailure ? Placement::End::Failed : Placement::End::Good, "ended",
             What, true, Now);
  finishAnswer(*R, Now);
  dispatchFreed(Now);
}

void TrafficCore::onTurnedAway(Record &R, Attempt &T, TimePoint Now) {
  const EndpointHead &Head = T.Head_;
  // The expected engine also answers so while it has no weights loaded.
  bool IsOther = Head.IsOtherEndpoint_ && Head.EndpointId_ != T.At_.str();
  if (IsOther)
    R.Tried_.insert(T.At_);
  if (IsOther && !Head.EndpointId_.empty())
    Placement_.setReplaced(T.At_);
  endAttempt(
      R, T, IsOther ? Placement::End::Failed : Placement::End::TurnedAway,
      "turned_away", "status " + std::to_string(Head.Status_), false, Now);
  if (!continueWithOther(R, Now))
    afterTurnedAway(R, Now);
  dispatchFreed(Now);
}

// The current attempt has ended with the whole answer.
void TrafficCore::finishAnswer(Record &R, TimePoint Now) {
  if (R.IsStreaming_) {
    Port_.finishStream(R.Number_);
    return close(R, Now);
  }
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  const EndpointHead &Head = R.Current_.Head_;
  R.Status_ = Head.Status_;
  Port_.respond(R.Number_, Head.Status_, Head.Headers_,
                std::move(R.Current_.Body_));
  close(R, Now);
}

void TrafficCore::onFail(AttemptNumber A, bool NeverSent,
                         const std::string &Why, TimePoint Now) {
  Event Scope(*this);
  Record *R = find(A);
  if (R == nullptr)
    return;
  Attempt &T = attemptOf(*R, A);
  // The endpoint's statement counts even if its answer was cut after the head.
  bool NotRun = NeverSent || (T.HasHead_ && T.Head_.NotRun_);
  EndpointId At = T.At_;
  R->Tried_.insert(At);
  if (NeverSent) {
    returnRepeat(*R, T);
    Placement_.connectFailed(At, Now);
  } else {
    noteLost(*R, T, Now);
  }
  endAttempt(*R, T, Placement::End::Failed, "failed", Why, !NotRun, Now);
  if (NeverSent && Endpoints_.refused(At))
    Placement_.setEndpoints(Endpoints_, *Config_);
  bool HasOther = continueWithOther(*R, Now);
  if (!HasOther)
    NotRun ? afterTurnedAway(*R, Now) : afterFailure(*R, Now);
  dispatchFreed(Now);
}

bool TrafficCore::mayGoElsewhere(const Record &R) const {
  if (R.CallerGone_ || !R.mayRepeat())
    return false;
  if (R.MayHaveRun_ && Parts_.isSuspect(R.Call_.Parts_))
    return false;
  if (R.IsStreaming_ && R.Route_->Repeat_ != Repeat::FromLastEvent)
    return false;
  // Runs at endpoints that have ended do not count.
  auto Counted = std::count_if(
      R.Runs_.begin(), R.Runs_.end(),
      [&](const EndpointUse &Each) { return !Endpoints_.hasEnded(Each); });
  return static_cast<unsigned>(Counted) < R.Route_->MaxAttempts_;
}

void TrafficCore::afterFailure(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (!mayGoElsewhere(R) || Now >= R.Deadline_)
    return giveUp(R, Cause::AttemptLost, "no further attempt is allowed", Now);
  placeUnlessAsking(R, Now);
}

void TrafficCore::afterTurnedAway(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (Now >= R.Deadline_)
    return giveUp(R, Cause::DeadlinePassed, "the deadline has passed", Now);
  placeUnlessAsking(R, Now);
}

// A place may have been asked for while the ended attempt was silent.
void TrafficCore::placeUnlessAsking(Record &R, TimePoint Now) {
  if (R.Asking_ == 0)
    place(R, Now);
}

} // namespace hawthornroad
