#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
bool isEventStream(const HeaderFields &Fields) {
  for (const HeaderField &Each : Fields)
    if (Each.Value_.starts_with("text/event-stream"))
      return true;
  return false;
}
} // namespace

void TrafficCore::endAttempt(Record &R, Placement::End E, std::string_view What,
                             const std::string &Why, bool MayHaveRun,
                             TimePoint Now) {
  if (R.Attempt_ == 0)
    return;
  ByAttempt_.erase(R.Attempt_);
  R.Attempt_ = 0;
  Placement_.attemptEnded(R.At_, E, R.FirstByteReported_, Now);
  R.FirstByteReported_ = false;
  Freed_.insert(R.Service_);
  if (MayHaveRun) {
    R.MayHaveRun_ = true;
    R.RanAt_.insert(R.At_);
  }
  Port_.report(AttemptReport{R.Number_, R.Call_.Id_, R.At_, R.Address_, What,
                             Why, MayHaveRun, R.Attempts_, R.EndpointView_,
                             Now - R.BegunAt_, Now - R.LastReceivedAt_});
}

void TrafficCore::onHead(AttemptNumber A, EndpointHead H, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  R->LastReceivedAt_ = Now;
  R->HasHead_ = true;
  R->Head_ = std::move(H);
  const EndpointHead &Head = R->Head_;
  bool IsForeign = !Head.RequestId_.empty() && Head.RequestId_ != R->Call_.Id_;
  bool IsUnsigned = !Head.NotRun_ && !Head.IsSigned_;
  if (IsForeign || Head.IsEncoded_ || IsUnsigned) {
    // The answer belongs to another request or does not come from an endpoint.
    Port_.cancelAttempt(A);
    endAttempt(*R, Placement::End::Failed, "failed",
               IsForeign ? "an answer to another request"
                         : "an answer without the endpoint's signature",
               true, Now);
    afterFailure(*R, "wrong answer", Now);
    return dispatchFreed(Now);
  }
  if (!Head.IsOtherEndpoint_) {
    noteLimit(*R, Head, Now);
    noteHolds(*R, Head, Now);
  }
  if (Head.HasLoad_)
    Placement_.updateLoad(R->At_, Head.Running_, Head.Waiting_, Now);
  if (Head.NotRun_)
    return;
  Placement_.firstByte(R->At_, Now - R->BegunAt_);
  R->FirstByteReported_ = true;
  if (Head.Version_ != 0)
    Placement_.updateVersion(R->At_, Head.Version_);
  R->IsEvents_ = Head.Status_ == status::Ok && R->Route_->IsStream_ &&
                 isEventStream(Head.Headers_);
  if (!R->IsEvents_)
    return;
  if (!R->Relay_)
    R->Relay_.emplace(R->Call_.LastEvent_);
  if (!R->IsStreaming_)
    R->Version_ = Head.Version_;
}

// An answer that ran ends a limit by stating none. One that was turned away
// does not: it may come from a queue before the endpoint.
void TrafficCore::noteLimit(const Record &R, const EndpointHead &H,
                            TimePoint Now) {
  bool MayEndLimit = !H.NotRun_ && H.Unreadable_.empty();
  if (!H.RateLimit_ && !MayEndLimit)
    return;
  noteLimit({R.At_, R.Born_}, {H.RateLimit_, R.BegunAt_, Now}, AnswerSource,
            Now);
}

void TrafficCore::noteHolds(const Record &R, const EndpointHead &H,
                            TimePoint Now) {
  EndpointStart E{R.At_, R.Born_};
  if (H.Rest_ && *H.Rest_ > Duration::zero()) {
    Duration Rest = std::min(*H.Rest_, Options_.MaxRest_);
    if (Placement_.rest(E, Now + Rest))
      Port_.report(HoldReport{R.At_, HoldReport::Kind::Rests, Rest});
  }
  if (H.IsLeaving_ && Placement_.leave(E, Now))
    Port_.report(HoldReport{R.At_, HoldReport::Kind::Leaves});
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
  Record *R = find(A);
  if (R == nullptr)
    return;
  R->LastReceivedAt_ = Now;
  if (!R->IsEvents_) {
    R->Body_ += Bytes;
    return;
  }
  std::string Out = R->Relay_->feed(Bytes);
  if (Out.empty())
    return;
  if (!R->FirstByteAt_)
    R->FirstByteAt_ = Now;
  else
    R->LongestGap_ = std::max(R->LongestGap_, Now - R->LastByteAt_);
  R->LastByteAt_ = Now;
  if (!R->IsStreaming_) {
    R->IsStreaming_ = true;
    R->Status_ = R->Head_.Status_;
    Port_.beginStream(R->Number_, R->Head_.Status_, R->Head_.Headers_);
  }
  Port_.writeStream(R->Number_, Out);
}

void TrafficCore::onEnd(AttemptNumber A, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  if (R->Head_.NotRun_) {
    std::string Why = "status " + std::to_string(R->Head_.Status_);
    // The expected engine also answers so while it has no weights loaded.
    bool IsOther =
        R->Head_.IsOtherEndpoint_ && R->Head_.EndpointId_ != R->At_.str();
    if (IsOther)
      R->Tried_.insert(R->At_);
    if (IsOther && !R->Head_.EndpointId_.empty())
      Placement_.setReplaced(R->At_);
    endAttempt(*R,
               IsOther ? Placement::End::Failed : Placement::End::TurnedAway,
               "turned_away", Why, false, Now);
    afterTurnedAway(*R, Why, Now);
    return dispatchFreed(Now);
  }
  if (R->IsEvents_ && !R->Relay_->isWhole()) {
    endAttempt(*R, Placement::End::Failed, "failed",
               "the stream ended within an event", true, Now);
    R->Tried_.insert(R->At_);
    afterFailure(*R, "stream ended early", Now);
    return dispatchFreed(Now);
  }
  // The caller already has the head and a part of a stream. Another kind of
  // answer cannot follow it, and finishing here would make the partial stream
  // look complete.
  if (R->IsStreaming_ && !R->IsEvents_) {
    endAttempt(*R, Placement::End::Failed, "failed",
               "no event stream from the resuming endpoint: status " +
                   std::to_string(R->Head_.Status_),
               true, Now);
    R->Tried_.insert(R->At_);
    afterFailure(*R, "no event stream from the resuming endpoint", Now);
    return dispatchFreed(Now);
  }
  bool IsFailure = R->Head_.Status_ >= status::FirstServerError;
  endAttempt(*R, IsFailure ? Placement::End::Failed : Placement::End::Good,
             "ended", "status " + std::to_string(R->Head_.Status_), true, Now);
  noteCompletion(R->Service_, Now);
  finishAnswer(*R, Now);
  dispatchFreed(Now);
}

void TrafficCore::finishAnswer(Record &R, TimePoint Now) {
  if (R.IsStreaming_) {
    Port_.finishStream(R.Number_);
    return close(R, Now);
  }
  bool IsFailure = R.Head_.Status_ >= status::FirstServerError;
  if (IsFailure && R.Route_->Repeat_ != Repeat::Never && !R.CallerGone_) {
    R.Fallback_ = R.Head_;
    R.FallbackBody_ = R.Body_;
    R.Tried_.insert(R.At_);
    return afterFailure(R, "status " + std::to_string(R.Head_.Status_), Now);
  }
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  R.Status_ = R.Head_.Status_;
  Port_.respond(R.Number_, R.Head_.Status_, R.Head_.Headers_,
                std::move(R.Body_));
  close(R, Now);
}

void TrafficCore::onFail(AttemptNumber A, bool NeverSent,
                         const std::string &Why, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  // The endpoint's statement counts even if its answer was cut after the head.
  bool NotRun = NeverSent || (R->HasHead_ && R->Head_.NotRun_);
  // Nothing reached the endpoint, so the next attempt does not count as a
  // repeat.
  if (NeverSent && R->TookRepeat_)
    Budget_.giveBack(R->Service_, Now);
  else if (NeverSent)
    R->HasArrived_ = false;
  EndpointId At = R->At_;
  R->Tried_.insert(At);
  endAttempt(*R, Placement::End::Failed, "failed", Why, !NotRun, Now);
  if (NeverSent && Endpoints_.refused(At))
    Placement_.setEndpoints(Endpoints_, *Config_);
  if (NotRun)
    afterTurnedAway(*R, Why, Now);
  else
    afterFailure(*R, Why, Now);
  dispatchFreed(Now);
}

bool TrafficCore::mayGoElsewhere(const Record &R) const {
  if (R.CallerGone_ || !R.mayRepeat())
    return false;
  if (R.IsStreaming_ && R.Route_->Repeat_ != Repeat::FromLastEvent)
    return false;
  // Endpoints that have since been removed do not count.
  unsigned Ran = 0;
  for (const EndpointId &Id : R.RanAt_)
    Ran += Endpoints_.find(Id) != nullptr ? 1 : 0;
  return Ran < R.Route_->MaxAttempts_;
}

void TrafficCore::afterFailure(Record &R, const std::string &Why,
                               TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (!mayGoElsewhere(R) || Now >= R.Deadline_)
    return giveUp(R, Cause::AttemptLost, "no further attempt is allowed", Now);
  place(R, Now);
}

void TrafficCore::afterTurnedAway(Record &R, const std::string &Why,
                                  TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (Now >= R.Deadline_)
    return giveUp(R, Cause::DeadlinePassed, "the deadline has passed", Now);
  place(R, Now);
}

} // namespace hawthornroad
