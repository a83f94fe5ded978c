#include "hawthornroad/routing/RequestCoreState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Answers up to this size are stored with the claim.
constexpr std::size_t MaxStoredBody = 64 * 1024;
constexpr std::uint64_t AckInterval = 64 * 1024;
} // namespace

// Null for an update on an attempt that is no longer current; its agent is told
// to stop.
RequestCore::State::Record *
RequestCore::State::current(const AttemptSource &From, TimePoint Now) {
  auto Found = ByAttempt_.find(From.Attempt_);
  if (Found == ByAttempt_.end())
    return nullptr;
  Record &R = Requests_.at(Found->second);
  AttemptRecord &A = *R.Attempt_;
  if (From.Incarnation_ == 0 || From.Incarnation_ == A.Incarnation_)
    return &R;
  if (!A.HasReplied_) {
    // The agent process was replaced before the begin arrived.
    A.Incarnation_ = From.Incarnation_;
    return &R;
  }
  fail(R,
       problem(status::BadGateway, Step::Run, R, "agent_replaced",
               "the agent that ran the request was replaced"),
       true, Now);
  return nullptr;
}

void RequestCore::State::noteContact(Record &R, const AttemptSource &From,
                                     TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  A.HasReplied_ = true;
  if (!A.Stream_.hasGap())
    A.LastProgressAt_ = Now;
  A.Queries_ = 0;
  fire(R, Event::Heard, Now);
}

void RequestCore::State::onUpdate(const AttemptAccepted &W, TimePoint Now) {
  if (Record *R = current(W.From_, Now))
    noteContact(*R, W.From_, Now);
}

void RequestCore::State::onUpdate(const AttemptRefused &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  Problem P = problem(status::Unavailable, Step::Dispatch, *R, W.Reason_,
                      "the endpoint refused the request");
  P.RetryAfter_ =
      std::max(W.RetryAfter_, Admission_.retryAfter(R->Call_->Service_, Now));
  R->Problem_ = std::move(P);
  R->IsOverloaded_ = W.Reason_ == AttemptRefused::Overloaded;
  endAttempt(*R, Chooser::Result::Refused, false, Now);
  fire(*R, Event::TurnedAway, Now);
}

void RequestCore::State::onUpdate(const AttemptHead &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  noteContact(*R, W.From_, Now);
  if (R->Answer_.hasHead() && R->Attempt_->Stream_.offset() > 0)
    return; // sent again after a query
  bool IsOtherVersion = !W.Version_.empty() && W.Version_ != R->Version_;
  bool HeadMatches = R->Answer_.head({W.Status_, W.Headers_, R->Version_});
  if (HeadMatches && !IsOtherVersion)
    return;
  fail(*R,
       problem(status::BadGateway, Step::Run, *R, "wrong_version",
               "the endpoint answered with another version or kind of body"),
       true, Now);
}

void RequestCore::State::onUpdate(const AttemptData &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  // Bytes that arrive before the head cannot be used; they are queried again.
  if (R == nullptr || !R->Answer_.hasHead())
    return;
  std::string Bytes = R->Attempt_->Stream_.data(W.Offset_, W.Bytes_);
  noteContact(*R, W.From_, Now);
  if (Bytes.empty())
    return;
  if (!R->Attempt_->FirstByteSeen_) {
    R->Attempt_->FirstByteSeen_ = true;
    Chooser_.firstByte(R->Attempt_->Vm_, Now - R->Attempt_->BegunAt_, Now);
  }
  forward(*R, R->Answer_.data(Bytes), Now);
  ack(*R, false);
  checkEnd(*R, Now);
}

void RequestCore::State::onUpdate(const AttemptEnd &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr || !R->Answer_.hasHead())
    return;
  R->Attempt_->Stream_.end(W.Length_, W.Hash_);
  noteContact(*R, W.From_, Now);
  checkEnd(*R, Now);
}

void RequestCore::State::onUpdate(const AttemptFailed &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  R->Attempt_->HasReplied_ = true;
  Problem P = problem(status::BadGateway, Step::Run, *R, "attempt_failed",
                      W.Step_ + ": " + W.Peer_ + ": " + W.Message_);
  fail(*R, std::move(P), !W.NotRun_, Now);
}

// "Never seen" from the process that the begin was sent to is a promise to
// refuse the attempt from now on. From a later process it has no meaning.
void RequestCore::State::onUpdate(const AttemptState &W, TimePoint Now) {
  auto Found = ByAttempt_.find(W.From_.Attempt_);
  if (Found == ByAttempt_.end())
    return;
  Record &R = Requests_.at(Found->second);
  AttemptRecord &A = *R.Attempt_;
  bool SameProcess = W.From_.Incarnation_ == A.Incarnation_;
  if (W.Phase_ != AttemptState::Phase::NeverSeen) {
    if (Record *Current = current(W.From_, Now))
      noteContact(*Current, W.From_, Now);
    return;
  }
  bool NotRun = SameProcess && !A.HasReplied_;
  R.MayRetrySameVm_ = NotRun;
  fail(R,
       problem(status::BadGateway, Step::Dispatch, R, "attempt_lost",
               NotRun ? "the request did not reach the endpoint"
                      : "the agent that had the request is gone"),
       !NotRun, Now);
}

void RequestCore::State::forward(Record &R, CallerAnswer::Out Out,
                                 TimePoint Now) {
  if (R.Answered_ || R.CallerGone_)
    return;
  RequestId Id = R.Call_->Id_;
  const CallerAnswer::Head &Head = R.Answer_.head();
  if (Out.Begins_) {
    R.FirstByteAt_ = Now;
    R.Status_ = Head.Status_;
    Out_.push_back(StreamBegin{Id, Head.Status_, Head.Headers_, R.Version_});
  }
  if (!Out.Bytes_.empty())
    Out_.push_back(StreamBytes{Id, std::move(Out.Bytes_)});
}

void RequestCore::State::checkEnd(Record &R, TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  if (A.Stream_.isCorrupt()) {
    fail(R,
         problem(status::BadGateway, Step::Answer, R, "answer_corrupt",
                 "length or hash of the answer is wrong"),
         true, Now);
    return;
  }
  if (!A.Stream_.isWhole())
    return;
  ack(R, true);
  bool IsError = R.Answer_.head().Status_ >= status::FirstServerError;
  bool ShouldRetry = IsError && R.Call_->Repeatable_ && !R.Answer_.hasBegun() &&
                     canRetry(R, Now);
  if (ShouldRetry) {
    fail(R,
         problem(status::BadGateway, Step::Run, R, "endpoint_error",
                 "the endpoint answered with an error"),
         true, Now);
    return;
  }
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  R.IsWhole_ = true;
  if (R.Call_->needsClaim())
    R.Kept_ = R.Answer_.kept(MaxStoredBody);
  endAttempt(R, IsError ? Chooser::Result::Failed : Chooser::Result::Answered,
             true, Now);
  fire(R, Event::Whole, Now);
}

// While the caller does not read, nothing more is acknowledged, so the agent
// stops reading from the engine once its bounded buffer is full.
void RequestCore::State::ack(Record &R, bool Whole) {
  AttemptRecord &A = *R.Attempt_;
  std::uint64_t Unacked = A.Stream_.offset() - A.Acked_;
  bool CallerIsSlow = R.CallerBacklog_ > Options_.MaxCallerBacklog_;
  if (!Whole && (Unacked < AckInterval || CallerIsSlow))
    return;
  A.Acked_ = A.Stream_.offset();
  Out_.push_back(AckAttempt{A.Id_, A.Address_, A.Acked_});
}

void RequestCore::State::onLost(Record &R, const ConnectionLost &Lost,
                                TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  bool IsQuerying = R.state() != RequestState::Running;
  if (!Lost.NeverConnected_)
    return fire(R, Event::Lost, Now);
  if (IsQuerying) {
    A.Queries_ = std::max(A.Queries_, QueriesBeforeFailover);
    return fire(R, Event::Unreachable, Now);
  }
  if (A.HasReplied_)
    return fire(R, Event::Lost, Now);
  fail(R,
       problem(status::Unavailable, Step::Connect, R, "endpoint_unreachable",
               Lost.Message_),
       false, Now);
}

} // namespace hawthornroad
