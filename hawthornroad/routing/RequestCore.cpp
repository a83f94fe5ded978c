#include "hawthornroad/routing/RequestCore.h"

#include "hawthornroad/routing/Dependencies.h"
#include "hawthornroad/routing/RequestRecord.h"

#include <algorithm>
#include <unordered_map>

namespace hawthornroad {

namespace {
constexpr std::size_t MaxKeptBody = 64 * 1024;
constexpr std::uint64_t AckEvery = 64 * 1024;
constexpr unsigned MaxAskDoublings = 3;
// An ordinary question, then one over a fresh connection, before a request
// that may be repeated goes elsewhere.
constexpr unsigned AsksBeforeLeaving = 2;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned FirstServerError = 500;
} // namespace

std::string_view toString(Outcome O) {
  switch (O) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

struct RequestCore::State {
  using Record = RequestRecord;
  using Event = RequestEvent;

  State(Options O, Chart C, Random Rng, Admission &A, Chooser &Ch,
        RetryBudget &B)
      : Options_(O), Chart_(std::move(C)), Rng_(Rng), Admission_(A),
        Chooser_(Ch), Budget_(B) {}

  // The chart.
  void fire(Record &R, Event E, TimePoint Now);
  bool guard(Record &R, RequestGuard G, TimePoint Now);
  void perform(Record &R, RequestStep S, TimePoint Now);
  void retire(Record &R, TimePoint Now);

  // Its actions.
  void dispatch(Record &R, TimePoint Now);
  void ask(Record &R, TimePoint Now);
  void cancelAttempt(Record &R, TimePoint Now);
  void finish(Record &R);
  void answer(Record &R);
  void settleClaim(Record &R);

  // Attempts.
  Chooser::Query query(const Record &R) const;
  bool canRetry(Record &R, TimePoint Now);
  void endAttempt(Record &R, Chooser::Result Result, bool MayHaveRun,
                  TimePoint Now);
  void fail(Record &R, Problem P, bool MayHaveRun, TimePoint Now);
  Record *current(const AttemptSource &From, TimePoint Now);
  void hear(Record &R, const AttemptSource &From, TimePoint Now);
  void passOn(Record &R, CallerAnswer::Out Out, TimePoint Now);
  void checkEnd(Record &R, TimePoint Now);
  void ack(Record &R, bool Whole);
  void onWord(const AttemptAccepted &W, TimePoint Now);
  void onWord(const AttemptRefused &W, TimePoint Now);
  void onWord(const AttemptHead &W, TimePoint Now);
  void onWord(const AttemptData &W, TimePoint Now);
  void onWord(const AttemptEnd &W, TimePoint Now);
  void onWord(const AttemptFailed &W, TimePoint Now);
  void onWord(const AttemptState &W, TimePoint Now);
  void onLost(Record &R, const ConnectionLost &Lost, TimePoint Now);

  // Admission.
  Admission::Load load(const CallerRequest &R, TimePoint Now) const;
  void refuse(const Refusal &Out, TimePoint Now);
  void pump(const ServiceName &Name, TimePoint Now);

  void check(Record &R, TimePoint Now);
  void checkSilence(Record &R, TimePoint Now);
  Problem problem(unsigned Status, Step Where, const Record &R,
                  std::string Cause, std::string Detail) const;
  template <class Fn> void forEachAttempt(Fn Visit);
  Record *find(RequestId Id);
  // Ends a public call: hands out freed places, erases what is over.
  Actions take(TimePoint Now);

  Options Options_;
  Chart Chart_;
  Random Rng_;
  Admission &Admission_;
  Chooser &Chooser_;
  RetryBudget &Budget_;
  std::shared_ptr<const Declaration> Declaration_;
  bool Draining_ = false;
  std::uint64_t NextNumber_ = 1;
  std::unordered_map<RequestId, Record> Requests_;
  std::unordered_map<AttemptId, RequestId> ByAttempt_;
  // When a connection to an address was last replaced.
  std::unordered_map<PeerAddress, TimePoint> Refreshed_;
  // Over, to be erased; services in which a place may have come free.
  std::vector<RequestId> Retired_;
  std::set<ServiceName> Freed_;
  Actions Out_;
};

RequestCore::State::Record *RequestCore::State::find(RequestId Id) {
  auto Found = Requests_.find(Id);
  return Found == Requests_.end() ? nullptr : &Found->second;
}

Problem RequestCore::State::problem(unsigned Status, Step Where,
                                    const Record &R, std::string Cause,
                                    std::string Detail) const {
  Problem P;
  P.Status_ = Status;
  P.Step_ = Where;
  P.Peer_ = R.LastVm_.str();
  P.Cause_ = std::move(Cause);
  P.Detail_ = std::move(Detail);
  return P;
}

// ---- The chart ------------------------------------------------------------

void RequestCore::State::fire(Record &R, Event E, TimePoint Now) {
  if (Chart_.isFinal(R.State_))
    return;
  Chart::Step S = Chart_.fire(
      R.State_, static_cast<std::size_t>(E), [&](std::size_t Index) {
        return guard(R, static_cast<RequestGuard>(Index), Now);
      });
  if (!S.Taken_)
    return;
  R.State_ = S.Next_;
  for (std::size_t Index : S.Actions_)
    perform(R, static_cast<RequestStep>(Index), Now);
  if (R.state() == RequestState::Lingering && R.LingerUntil_ == TimePoint{})
    R.LingerUntil_ = Now + Options_.LingerFor_;
  if (Chart_.isFinal(R.State_))
    retire(R, Now);
}

bool RequestCore::State::guard(Record &R, RequestGuard G, TimePoint Now) {
  switch (G) {
  case RequestGuard::NeedsClaim:
    return R.Call_->needsClaim();
  case RequestGuard::IsWorthwhile:
    return !R.CallerGone_ && Now < R.Call_->Deadline_;
  case RequestGuard::CanRetry:
    return canRetry(R, Now);
  case RequestGuard::CanLeave:
    return R.Call_->Repeatable_ && R.Attempt_ &&
           R.Attempt_->Asks_ >= AsksBeforeLeaving && canRetry(R, Now);
  case RequestGuard::MustSettle:
    return R.Call_->needsClaim();
  }
  return false;
}

void RequestCore::State::perform(Record &R, RequestStep S, TimePoint Now) {
  switch (S) {
  case RequestStep::Claim:
    Out_.push_back(StartClaim{R.Call_});
    return;
  case RequestStep::Dispatch:
    return dispatch(R, Now);
  case RequestStep::Ask:
    return ask(R, Now);
  case RequestStep::CancelAttempt:
    return cancelAttempt(R, Now);
  case RequestStep::Finish:
    return finish(R);
  case RequestStep::Answer:
    return answer(R);
  case RequestStep::SettleClaim:
    return settleClaim(R);
  }
}

// The request is over: its place is given back and its story told once. The
// record itself is erased by the public entry points, when nobody holds it.
void RequestCore::State::retire(Record &R, TimePoint Now) {
  if (R.Attempt_)
    endAttempt(R, Chooser::Result::Cancelled, true, Now);
  TimePoint Start = R.DispatchedAt_.value_or(R.Call_->ArrivedAt_);
  Admission_.finished(R.Call_->Id_, Now - Start, Now);
  RequestDone Done;
  Done.Request_ = R.Call_;
  Done.Outcome_ = R.outcome();
  Done.Status_ = R.Status_;
  Done.Cause_ = R.IsWhole_ ? "" : R.Problem_.Cause_;
  Done.Attempts_ = R.Attempts_;
  Done.LastVm_ = R.LastVm_;
  Done.Version_ = R.Version_;
  Done.Bytes_ = R.Answer_.bytesPassed();
  Done.CallerGone_ = R.CallerGone_;
  Done.Queued_ = R.DispatchedAt_.value_or(Now) - R.Call_->ArrivedAt_;
  if (R.FirstByteAt_)
    Done.FirstByte_ = *R.FirstByteAt_ - R.Call_->ArrivedAt_;
  Done.Whole_ = Now - R.Call_->ArrivedAt_;
  Out_.push_back(std::move(Done));
  Retired_.push_back(R.Call_->Id_);
  Freed_.insert(R.Call_->Service_);
}

// ---- Actions of the chart -------------------------------------------------

Chooser::Query RequestCore::State::query(const Record &R) const {
  Chooser::Query Q;
  Q.Service_ = R.Call_->Service_;
  Q.PrefixHash_ = R.Call_->PrefixHash_;
  Q.Excluded_ = R.Tried_;
  // A request stays with the version it may have run under.
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
    Problem P = problem(StatusUnavailable, Step::Choice, R, "no_endpoint",
                        "no endpoint has a free place");
    P.RetryAfter_ = Admission_.retryAfter(R.Call_->Service_, Now);
    R.Problem_ = std::move(P);
    return fire(R, Event::Failed, Now);
  }
  R.Answer_.restart();
  R.Version_ = Found->Version_;
  R.LastVm_ = *Target;
  R.Tried_.insert(*Target);
  R.MayTrySameAgain_ = false;
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
  A.BegunAt_ = A.HeardAt_ = Now;
  ByAttempt_[A.Id_] = R.Call_->Id_;
  Chooser_.dispatched(*Target, Now);
  Out_.push_back(BeginAttempt{A.Id_, A.Number_, A.Address_, R.Call_, R.Version_,
                              R.Call_->Deadline_ - Now,
                              R.Answer_.eventsPassed()});
  R.Attempt_ = std::move(A);
}

// The second question in a row goes over a connection dialled anew: the one in
// use may be of those that have gone silent for good. Each such dial replaces
// the connection of every attempt at that address, hence the limit.
void RequestCore::State::ask(Record &R, TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  bool Fresh = A.Asks_ > 0;
  if (Fresh) {
    auto [Found, New] = Refreshed_.try_emplace(A.Address_, Now);
    if (!New && Now - Found->second < Options_.AttemptIdle_)
      Fresh = false;
    else
      Found->second = Now;
  }
  ++A.Asks_;
  A.AskedAt_ = Now;
  Out_.push_back(AskAttempt{A.Id_, A.Address_, A.Stream_.offset(), Fresh});
}

// A call that is not repeatable is left to run to its end: cutting it half-way
// would only make its result harder to know.
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

// ---- Attempts ---------------------------------------------------------------

bool RequestCore::State::canRetry(Record &R, TimePoint Now) {
  if (R.Next_)
    return true;
  bool MayRunAgain = R.Call_->Repeatable_ || !R.EndedAttemptMayHaveRun_;
  bool MayGoOn = !R.Answer_.hasBegun() || R.Answer_.canResume();
  if (!MayRunAgain || !MayGoOn || R.Answered_ || R.CallerGone_)
    return false;
  if (Now >= R.Call_->Deadline_ || R.Attempts_ >= Options_.MaxAttempts_)
    return false;
  Chooser::Query Q = query(R);
  R.Next_ = Chooser_.choose(Q, Now);
  if (!R.Next_ && R.MayTrySameAgain_) {
    Q.Excluded_.clear();
    R.Next_ = Chooser_.choose(Q, Now);
  }
  // A stream that goes on moves work, it does not repeat it: its place at the
  // broken endpoint is gone, and its caller holds half an answer.
  bool GoesOn = R.Answer_.hasBegun();
  if (R.Next_ && !GoesOn && !Budget_.take(R.Call_->Service_, Now))
    R.Next_.reset();
  return R.Next_.has_value();
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

// Null for word of an attempt that was given up; its agent is told to stop.
RequestCore::State::Record *
RequestCore::State::current(const AttemptSource &From, TimePoint Now) {
  auto Found = ByAttempt_.find(From.Attempt_);
  if (Found == ByAttempt_.end())
    return nullptr;
  Record &R = Requests_.at(Found->second);
  AttemptRecord &A = *R.Attempt_;
  if (From.Incarnation_ == 0 || From.Incarnation_ == A.Incarnation_)
    return &R;
  if (!A.Heard_) {
    // The agent was replaced before the begin reached it.
    A.Incarnation_ = From.Incarnation_;
    return &R;
  }
  fail(R,
       problem(StatusBadGateway, Step::Run, R, "agent_replaced",
               "the agent that ran the request was replaced"),
       true, Now);
  return nullptr;
}

void RequestCore::State::hear(Record &R, const AttemptSource &From,
                              TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  A.Heard_ = true;
  if (!A.Stream_.hasGap())
    A.HeardAt_ = Now;
  A.Asks_ = 0;
  fire(R, Event::Heard, Now);
}

void RequestCore::State::onWord(const AttemptAccepted &W, TimePoint Now) {
  if (Record *R = current(W.From_, Now))
    hear(*R, W.From_, Now);
}

void RequestCore::State::onWord(const AttemptRefused &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  Problem P = problem(StatusUnavailable, Step::Dispatch, *R, W.Reason_,
                      "the endpoint refused the request");
  P.RetryAfter_ =
      std::max(W.RetryAfter_, Admission_.retryAfter(R->Call_->Service_, Now));
  R->Problem_ = std::move(P);
  endAttempt(*R, Chooser::Result::Refused, false, Now);
  fire(*R, Event::Failed, Now);
}

void RequestCore::State::onWord(const AttemptHead &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  hear(*R, W.From_, Now);
  if (R->Answer_.hasHead() && R->Attempt_->Stream_.offset() > 0)
    return; // sent again after a question
  bool IsOther = !W.Version_.empty() && W.Version_ != R->Version_;
  bool Fits = R->Answer_.head({W.Status_, W.Headers_, R->Version_});
  if (Fits && !IsOther)
    return;
  fail(*R,
       problem(StatusBadGateway, Step::Run, *R, "wrong_version",
               "the endpoint answered with another version or kind of body"),
       true, Now);
}

void RequestCore::State::onWord(const AttemptData &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  // Bytes before the head cannot be placed; they are asked for again.
  if (R == nullptr || !R->Answer_.hasHead())
    return;
  std::string Bytes = R->Attempt_->Stream_.data(W.Offset_, W.Bytes_);
  hear(*R, W.From_, Now);
  if (Bytes.empty())
    return;
  if (!R->Attempt_->FirstByteSeen_) {
    R->Attempt_->FirstByteSeen_ = true;
    Chooser_.firstByte(R->Attempt_->Vm_, Now - R->Attempt_->BegunAt_, Now);
  }
  passOn(*R, R->Answer_.data(Bytes), Now);
  ack(*R, false);
  checkEnd(*R, Now);
}

void RequestCore::State::onWord(const AttemptEnd &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr || !R->Answer_.hasHead())
    return;
  R->Attempt_->Stream_.end(W.Length_, W.Hash_);
  hear(*R, W.From_, Now);
  checkEnd(*R, Now);
}

void RequestCore::State::onWord(const AttemptFailed &W, TimePoint Now) {
  Record *R = current(W.From_, Now);
  if (R == nullptr)
    return;
  R->Attempt_->Heard_ = true;
  Problem P = problem(StatusBadGateway, Step::Run, *R, "attempt_failed",
                      W.Step_ + ": " + W.Peer_ + ": " + W.Message_);
  fail(*R, std::move(P), !W.NotRun_, Now);
}

// "Never seen" by the very process that was meant is a promise: it refuses the
// attempt from now on. From a process that came after it, it says nothing.
void RequestCore::State::onWord(const AttemptState &W, TimePoint Now) {
  auto Found = ByAttempt_.find(W.From_.Attempt_);
  if (Found == ByAttempt_.end())
    return;
  Record &R = Requests_.at(Found->second);
  AttemptRecord &A = *R.Attempt_;
  bool SameProcess = W.From_.Incarnation_ == A.Incarnation_;
  if (W.Phase_ != AttemptState::Phase::NeverSeen) {
    if (Record *Current = current(W.From_, Now))
      hear(*Current, W.From_, Now);
    return;
  }
  bool NotRun = SameProcess && !A.Heard_;
  R.MayTrySameAgain_ = NotRun;
  fail(R,
       problem(StatusBadGateway, Step::Dispatch, R, "attempt_lost",
               NotRun ? "the request did not reach the endpoint"
                      : "the agent that had the request is gone"),
       !NotRun, Now);
}

void RequestCore::State::passOn(Record &R, CallerAnswer::Out Out,
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
         problem(StatusBadGateway, Step::Answer, R, "answer_corrupt",
                 "length or hash of the answer is wrong"),
         true, Now);
    return;
  }
  if (!A.Stream_.isWhole())
    return;
  ack(R, true);
  bool IsError = R.Answer_.head().Status_ >= FirstServerError;
  bool Again = IsError && R.Call_->Repeatable_ && !R.Answer_.hasBegun() &&
               canRetry(R, Now);
  if (Again) {
    fail(R,
         problem(StatusBadGateway, Step::Run, R, "endpoint_error",
                 "the endpoint answered with an error"),
         true, Now);
    return;
  }
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  R.IsWhole_ = true;
  if (R.Call_->needsClaim())
    R.Kept_ = R.Answer_.kept(MaxKeptBody);
  endAttempt(R, IsError ? Chooser::Result::Failed : Chooser::Result::Answered,
             true, Now);
  fire(R, Event::Whole, Now);
}

// While the caller does not read, nothing more is acknowledged, so the agent
// stops reading from the engine when its bounded buffer is full.
void RequestCore::State::ack(Record &R, bool Whole) {
  AttemptRecord &A = *R.Attempt_;
  std::uint64_t Open = A.Stream_.offset() - A.Acked_;
  bool Held = R.CallerBacklog_ > Options_.MaxCallerBacklog_;
  if (!Whole && (Open < AckEvery || Held))
    return;
  A.Acked_ = A.Stream_.offset();
  Out_.push_back(AckAttempt{A.Id_, A.Address_, A.Acked_});
}

void RequestCore::State::onLost(Record &R, const ConnectionLost &Lost,
                                TimePoint Now) {
  AttemptRecord &A = *R.Attempt_;
  bool Asking = R.state() != RequestState::Running;
  if (!Lost.NeverConnected_)
    return fire(R, Event::Lost, Now);
  if (Asking) {
    A.Asks_ = std::max(A.Asks_, AsksBeforeLeaving);
    return fire(R, Event::Unreachable, Now);
  }
  if (A.Heard_)
    return fire(R, Event::Lost, Now);
  fail(R,
       problem(StatusUnavailable, Step::Connect, R, "endpoint_unreachable",
               Lost.Message_),
       false, Now);
}

// ---- Admission ------------------------------------------------------------

Admission::Load RequestCore::State::load(const CallerRequest &R,
                                         TimePoint Now) const {
  Admission::Load L;
  const Service *S =
      Declaration_ ? Declaration_->findService(R.Service_) : nullptr;
  if (S == nullptr)
    return L;
  Chooser::Query Q;
  Q.Service_ = R.Service_;
  Q.InFlightLimit_ = S->Limits_.InFlightPerEndpoint_;
  L.HasRoom_ = Chooser_.hasRoom(Q, Now);
  L.ReadyEndpoints_ = Chooser_.readyCount(R.Service_);
  L.Places_ = Chooser_.room(R.Service_, Q.InFlightLimit_).Places_;
  L.DownDependency_ =
      firstDownDependency(*Declaration_, *S, [this](const ServiceName &Name) {
        return Chooser_.readyCount(Name);
      });
  return L;
}

void RequestCore::State::refuse(const Refusal &Out, TimePoint Now) {
  Record *R = find(Out.Request_);
  if (R == nullptr)
    return;
  R->Problem_ = problem(httpStatus(Out.Cause_), Step::Admission, *R,
                        std::string(toString(Out.Cause_)), Out.Detail_);
  R->Problem_.RetryAfter_ = Out.RetryAfter_;
  fire(*R, Event::Refused, Now);
}

void RequestCore::State::pump(const ServiceName &Name, TimePoint Now) {
  if (Admission_.waiting(Name) == 0)
    return;
  Chooser::Query Q;
  Q.Service_ = Name;
  const Service *Declared =
      Declaration_ ? Declaration_->findService(Name) : nullptr;
  if (Declared != nullptr)
    Q.InFlightLimit_ = Declared->Limits_.InFlightPerEndpoint_;
  while (Chooser_.hasRoom(Q, Now)) {
    std::optional<RequestId> Next = Admission_.next(Name, Now);
    if (!Next)
      return;
    if (Record *R = find(*Next))
      fire(*R, Event::Admitted, Now);
  }
}

// ---- Time -----------------------------------------------------------------

void RequestCore::State::checkSilence(Record &R, TimePoint Now) {
  if (!R.Attempt_)
    return;
  AttemptRecord &A = *R.Attempt_;
  if (A.Asks_ == 0) {
    if (Now - std::max(A.HeardAt_, A.AskedAt_) >= Options_.AttemptIdle_)
      fire(R, Event::Silent, Now);
    return;
  }
  unsigned Doublings = std::min(A.Asks_ - 1, MaxAskDoublings);
  Duration Wait = Options_.AttemptIdle_ / 2 * (1u << Doublings);
  if (Now - A.AskedAt_ >= Wait)
    fire(R, Event::Silent, Now);
}

void RequestCore::State::check(Record &R, TimePoint Now) {
  RequestState S = R.state();
  if (S == RequestState::Lingering && Now >= R.LingerUntil_)
    return fire(R, Event::GivenUp, Now);
  bool Late = Now >= R.Call_->Deadline_ && S != RequestState::Waiting;
  if (Late && !R.Answered_) {
    R.Problem_ = problem(StatusGatewayTimeout, Step::Answer, R, "deadline",
                         "no whole answer within the deadline");
    fire(R, Event::Deadline, Now);
    return;
  }
  checkSilence(R, Now);
}

RequestCore::Actions RequestCore::State::take(TimePoint Now) {
  while (!Freed_.empty()) {
    ServiceName Name = *Freed_.begin();
    Freed_.erase(Freed_.begin());
    pump(Name, Now);
  }
  for (RequestId Id : Retired_)
    Requests_.erase(Id);
  Retired_.clear();
  return std::exchange(Out_, {});
}

template <class Fn> void RequestCore::State::forEachAttempt(Fn Visit) {
  std::vector<RequestId> Ids;
  for (auto &[Id, R] : Requests_)
    if (R.Attempt_)
      Ids.push_back(Id);
  for (RequestId Id : Ids)
    if (Record &R = Requests_.at(Id); R.Attempt_)
      Visit(R);
}

// ---- Public ---------------------------------------------------------------

RequestCore::RequestCore(Options O, Chart C, Random Rng, Admission &A,
                         Chooser &Ch, RetryBudget &B)
    : State_(std::make_unique<State>(O, std::move(C), Rng, A, Ch, B)) {}

RequestCore::~RequestCore() = default;

void RequestCore::configure(std::shared_ptr<const Declaration> D) {
  State_->Declaration_ = std::move(D);
}

bool RequestCore::isRepeatable(const ServiceName &Name,
                               const std::string &Method,
                               const std::string &Target) const {
  const auto &D = State_->Declaration_;
  const Service *S = D ? D->findService(Name) : nullptr;
  std::string Path = Target.substr(0, Target.find('?'));
  return S == nullptr || S->isRepeatable(Method, Path);
}

void RequestCore::drain() { State_->Draining_ = true; }

RequestCore::Actions RequestCore::arrived(SharedRequest Call, TimePoint Now) {
  State &S = *State_;
  RequestRecord &R = S.Requests_[Call->Id_];
  R.Call_ = Call;
  R.State_ = S.Chart_.initial();
  if (Call->needsClaim())
    R.Answer_.remember();
  if (S.Draining_ || S.Requests_.size() > S.Options_.MaxRequests_) {
    Refusal Out{Call->Id_,
                S.Draining_ ? RefusalCause::Draining
                            : RefusalCause::ProcessBusy,
                S.Admission_.retryAfter(Call->Service_, Now), ""};
    S.refuse(Out, Now);
    return S.take(Now);
  }
  Admission::Request Ask{Call->Id_, Call->Customer_, Call->Service_,
                         Call->Priority_, Call->Deadline_};
  Admission::Answer Answer = S.Admission_.offer(Ask, S.load(*Call, Now), Now);
  if (Answer.Evicted_)
    S.refuse(*Answer.Evicted_, Now);
  if (Answer.Kind_ == Admission::Verdict::Admit)
    S.fire(R, RequestEvent::Admitted, Now);
  else if (Answer.Kind_ == Admission::Verdict::Queue)
    S.fire(R, RequestEvent::Queued, Now);
  else {
    Answer.Refusal_.Request_ = Call->Id_;
    S.refuse(Answer.Refusal_, Now);
  }
  return S.take(Now);
}

RequestCore::Actions RequestCore::callerGone(RequestId Id, TimePoint Now) {
  if (RequestRecord *R = State_->find(Id)) {
    R->CallerGone_ = true;
    State_->fire(*R, RequestEvent::CallerGone, Now);
  }
  return State_->take(Now);
}

RequestCore::Actions RequestCore::claimWord(const ClaimWord &Word,
                                            TimePoint Now) {
  RequestId Id = std::visit([](const auto &W) { return W.Request_; }, Word);
  RequestRecord *R = State_->find(Id);
  if (R == nullptr)
    return {};
  if (std::holds_alternative<ClaimWon>(Word)) {
    R->Problem_ = State_->problem(StatusGatewayTimeout, Step::Claim, *R,
                                  "deadline", "the deadline has passed");
    State_->fire(*R, RequestEvent::ClaimWon, Now);
    return State_->take(Now);
  }
  if (const auto *Replay = std::get_if<ClaimReplay>(&Word)) {
    R->Kept_ = Replay->Answer_;
    R->Version_ = Replay->Answer_.Version_;
    R->IsWhole_ = true;
  } else {
    R->Problem_ = std::get<ClaimDenied>(Word).Problem_;
    R->Said_ = R->Problem_.Outcome_;
  }
  State_->fire(*R, RequestEvent::ClaimEnded, Now);
  return State_->take(Now);
}

RequestCore::Actions RequestCore::attemptWord(const AttemptWord &Word,
                                              TimePoint Now) {
  AttemptId Id =
      std::visit([](const auto &W) { return W.From_.Attempt_; }, Word);
  bool IsLate = State_->ByAttempt_.count(Id) == 0;
  bool IsRunning = std::holds_alternative<AttemptAccepted>(Word) ||
                   std::holds_alternative<AttemptHead>(Word) ||
                   std::holds_alternative<AttemptData>(Word);
  if (IsLate && IsRunning)
    return {CancelAttempt{Id, {}}};
  std::visit([&](const auto &W) { State_->onWord(W, Now); }, Word);
  return State_->take(Now);
}

RequestCore::Actions RequestCore::connectionLost(const ConnectionLost &Lost,
                                                 TimePoint Now) {
  State_->forEachAttempt([&](RequestRecord &R) {
    if (R.Attempt_->Address_ == Lost.Address_ &&
        R.Attempt_->Number_ <= Lost.BegunUpTo_)
      State_->onLost(R, Lost, Now);
  });
  return State_->take(Now);
}

RequestCore::Actions RequestCore::notSent(AttemptId Id, TimePoint Now) {
  auto Found = State_->ByAttempt_.find(Id);
  if (Found == State_->ByAttempt_.end())
    return {};
  RequestRecord &R = State_->Requests_.at(Found->second);
  State_->fail(R,
               State_->problem(StatusUnavailable, Step::Dispatch, R,
                               "process_busy", "this entry is overloaded"),
               false, Now);
  return State_->take(Now);
}

RequestCore::Actions RequestCore::endpointGone(const Vm &V, Incarnation I,
                                               TimePoint Now) {
  State_->forEachAttempt([&](RequestRecord &R) {
    if (R.Attempt_->Vm_ != V || R.Attempt_->Incarnation_ > I)
      return;
    State_->fail(R,
                 State_->problem(StatusBadGateway, Step::Run, R,
                                 "endpoint_gone", "the endpoint's VM is gone"),
                 true, Now);
  });
  return State_->take(Now);
}

RequestCore::Actions RequestCore::endpointChanged(const ServiceName &Service,
                                                  TimePoint Now) {
  State_->pump(Service, Now);
  return State_->take(Now);
}

RequestCore::Actions RequestCore::callerBacklog(RequestId Id, std::size_t Bytes,
                                                TimePoint Now) {
  RequestRecord *R = State_->find(Id);
  if (R == nullptr)
    return {};
  R->CallerBacklog_ = Bytes;
  if (R->Attempt_)
    State_->ack(*R, false);
  return State_->take(Now);
}

std::vector<RequestId> RequestCore::heldBack() const {
  std::vector<RequestId> Held;
  for (const auto &[Id, R] : State_->Requests_)
    if (R.CallerBacklog_ > State_->Options_.MaxCallerBacklog_)
      Held.push_back(Id);
  return Held;
}

RequestId RequestCore::requestOf(AttemptId Id) const {
  auto Found = State_->ByAttempt_.find(Id);
  return Found == State_->ByAttempt_.end() ? RequestId{} : Found->second;
}

RequestCore::Actions RequestCore::tick(TimePoint Now) {
  for (const Refusal &Out : State_->Admission_.expire(Now))
    State_->refuse(Out, Now);
  for (auto &[Id, R] : State_->Requests_)
    if (!State_->Chart_.isFinal(R.State_))
      State_->check(R, Now);
  if (State_->Declaration_)
    for (const auto &[Name, S] : State_->Declaration_->services())
      State_->Freed_.insert(Name);
  return State_->take(Now);
}

std::size_t RequestCore::inProgress() const {
  return static_cast<std::size_t>(
      std::count_if(State_->Requests_.begin(), State_->Requests_.end(),
                    [](const auto &Each) { return !Each.second.Answered_; }));
}

std::size_t RequestCore::open() const { return State_->Requests_.size(); }

} // namespace hawthornroad
