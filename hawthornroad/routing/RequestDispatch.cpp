#include "hawthornroad/routing/RequestCoreState.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

Chooser::Query RequestCore::State::query(const Record &R) const {
  Chooser::Query Q;
  Q.Service_ = R.Call_->Service_;
  Q.PrefixHash_ = R.Call_->PrefixHash_;
  Q.Excluded_ = R.Tried_;
  // A request that may have run stays with the version it ran under.
  if (R.EndedAttemptMayHaveRun_ || R.Answer_.hasBegun())
    Q.Version_ = R.Version_;
  const Service *S =
      Declaration_ ? Declaration_->findService(R.Call_->Service_) : nullptr;
  if (S != nullptr)
    Q.InFlightLimit_ = S->Limits_.InFlightPerEndpoint_;
  return Q;
}

void RequestCore::State::dispatch(Record &R, TimePoint Now) {
  std::optional<Vm> Target = std::exchange(R.Next_, std::nullopt);
  if (!Target)
    Target = Chooser_.choose(query(R), Now);
  const EndpointStatus *Found = Target ? Chooser_.find(*Target) : nullptr;
  if (Found == nullptr) {
    Problem P = problem(status::Unavailable, Step::Choice, R, "no_endpoint",
                        "no endpoint has a free place");
    P.RetryAfter_ = Admission_.retryAfter(R.Call_->Service_, Now);
    R.Problem_ = std::move(P);
    return fire(R, Event::Failed, Now);
  }
  R.Answer_.restart();
  R.Version_ = Found->Version_;
  R.LastVm_ = *Target;
  R.Tried_.insert(*Target);
  R.MayRetrySameVm_ = false;
  if (R.Attempts_++ == 0)
    Budget_.noteRequest(R.Call_->Service_, Now);
  if (!R.DispatchedAt_)
    R.DispatchedAt_ = Now;
  AttemptRecord A;
  A.Id_ = Rng_.id<AttemptTag>();
  A.Number_ = NextNumber_++;
  A.Vm_ = *Target;
  A.Address_ = Found->Address_;
  A.Incarnation_ = Found->Incarnation_;
  A.BegunAt_ = A.LastProgressAt_ = Now;
  ByAttempt_[A.Id_] = R.Call_->Id_;
  Chooser_.dispatched(*Target, Now);
  Out_.push_back(BeginAttempt{A.Id_, A.Number_, A.Address_, R.Call_, R.Version_,
                              R.Call_->Deadline_ - Now,
                              R.Answer_.eventsPassed()});
  R.Attempt_ = std::move(A);
}

// The second query in a row uses a new connection, since the current one may
// be permanently silent. A new connection replaces that of every attempt at the
// address, so the rate of new connections is limited.
void RequestCore::State::queryAttempt(Record &R, TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  bool NewConnection = A.Queries_ > 0;
  if (NewConnection) {
    auto [Found, Inserted] = LastReconnect_.try_emplace(A.Address_, Now);
    if (!Inserted && Now - Found->second < Options_.AttemptIdle_)
      NewConnection = false;
    else
      Found->second = Now;
  }
  ++A.Queries_;
  A.QueriedAt_ = Now;
  Out_.push_back(
      QueryAttempt{A.Id_, A.Address_, A.Stream_.offset(), NewConnection});
}

// A call that is not repeatable is left running: cancelling it half-way would
// only make its outcome harder to determine.
void RequestCore::State::cancelAttempt(Record &R, TimePoint Now) {
  if (!R.Attempt_)
    return;
  if (R.Call_->Repeatable_)
    Out_.push_back(CancelAttempt{R.Attempt_->Id_, R.Attempt_->Address_});
  auto Result = R.state() == RequestState::Done && R.CallerGone_
                    ? Chooser::Result::Cancelled
                    : Chooser::Result::Failed;
  endAttempt(R, Result, true, Now);
}

void RequestCore::State::finish(Record &R) {
  CallerAnswer::Out Out = R.Answer_.end();
  const CallerAnswer::Head &Head = R.Answer_.head();
  RequestId Id = R.Call_->Id_;
  R.Status_ = Head.Status_;
  R.Answered_ = true;
  if (Out.Begins_) {
    Out_.push_back(RespondWhole{Id, Head.Status_, Head.Headers_,
                                std::move(Out.Bytes_), R.Version_});
    return;
  }
  if (!Out.Bytes_.empty())
    Out_.push_back(StreamBytes{Id, std::move(Out.Bytes_)});
  Out_.push_back(StreamFinish{Id});
}

void RequestCore::State::answer(Record &R) {
  if (R.Answered_)
    return;
  R.Answered_ = true;
  R.Problem_.Outcome_ = R.outcome();
  R.Status_ = R.Kept_ ? R.Kept_->Status_ : R.Problem_.Status_;
  if (R.CallerGone_)
    return;
  RequestId Id = R.Call_->Id_;
  if (R.Answer_.hasBegun())
    Out_.push_back(StreamAbort{Id, R.Problem_, R.Answer_.isEvents()});
  else if (R.Kept_)
    Out_.push_back(RespondWhole{Id, R.Kept_->Status_, R.Kept_->Headers_,
                                R.Kept_->Body_, R.Kept_->Version_});
  else
    Out_.push_back(RespondProblem{Id, R.Problem_, R.Version_});
}

void RequestCore::State::settleClaim(Record &R) {
  if (!R.Call_->needsClaim())
    return;
  SettleClaim S;
  S.Request_ = R.Call_->Id_;
  S.Outcome_ = R.outcome();
  if (R.IsWhole_)
    S.Answer_ = R.Kept_;
  Out_.push_back(std::move(S));
}

bool RequestCore::State::canRetry(Record &R, TimePoint Now) {
  if (R.Next_)
    return true;
  bool MayRunAgain = R.Call_->Repeatable_ || !R.EndedAttemptMayHaveRun_;
  bool MayResume = !R.Answer_.hasBegun() || R.Answer_.canResume();
  if (!MayRunAgain || !MayResume || R.Answered_ || R.CallerGone_)
    return false;
  if (Now >= R.Call_->Deadline_ || R.Attempts_ >= Options_.MaxAttempts_)
    return false;
  Chooser::Query Q = query(R);
  R.Next_ = Chooser_.choose(Q, Now);
  if (!R.Next_ && R.MayRetrySameVm_) {
    Q.Excluded_.clear();
    R.Next_ = Chooser_.choose(Q, Now);
  }
  // Resuming a stream moves work instead of repeating it: its slot at the
  // failed endpoint is gone, and its caller holds a partial answer. So it does
  // not count against the retry budget.
  bool IsResumed = R.Answer_.hasBegun();
  if (R.Next_ && !IsResumed && !Budget_.take(R.Call_->Service_, Now))
    R.Next_.reset();
  return R.Next_.has_value();
}

// A request refused by a full endpoint returns to its position in the queue.
// Retried outside the queue, refused requests would take the slots of waiting
// ones, and under overload small customers would lose theirs
// (docs/design/routing.md). A request that holds a claim does not wait again,
// since it would claim its key twice.
// Requeues the request when it returns true.
bool RequestCore::State::canWait(Record &R, TimePoint Now) {
  bool HasNotRun = !R.EndedAttemptMayHaveRun_ && !R.Answer_.hasBegun();
  bool CallerWaits = !R.Answered_ && !R.CallerGone_ && Now < R.Call_->Deadline_;
  if (!R.IsOverloaded_ || !HasNotRun || !CallerWaits || R.Call_->needsClaim())
    return false;
  if (R.Attempts_ >= Options_.MaxAttempts_ || !Admission_.requeue(R.Call_->Id_))
    return false;
  R.Tried_.clear();
  Freed_.insert(R.Call_->Service_);
  return true;
}

// A first attempt uses the slot it was given. A later one needs a token of the
// retry budget, so that full endpoints are not tried repeatedly.
bool RequestCore::State::mayDispatch(Record &R, TimePoint Now) {
  return R.Attempts_ == 0 || Budget_.take(R.Call_->Service_, Now);
}

void RequestCore::State::endAttempt(Record &R, Chooser::Result Result,
                                    bool MayHaveRun, TimePoint Now) {
  if (!R.Attempt_)
    return;
  ByAttempt_.erase(R.Attempt_->Id_);
  Chooser_.finished(R.Attempt_->Vm_, Result, Now);
  R.Attempt_.reset();
  if (MayHaveRun)
    R.EndedAttemptMayHaveRun_ = true;
}

void RequestCore::State::fail(Record &R, Problem P, bool MayHaveRun,
                              TimePoint Now) {
  if (P.RetryAfter_ == Duration::zero())
    P.RetryAfter_ = Admission_.retryAfter(R.Call_->Service_, Now);
  R.Problem_ = std::move(P);
  endAttempt(R, Chooser::Result::Failed, MayHaveRun, Now);
  fire(R, Event::Failed, Now);
}

} // namespace hawthornroad
