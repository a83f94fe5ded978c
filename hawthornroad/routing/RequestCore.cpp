#include "hawthornroad/routing/RequestCore.h"

#include "hawthornroad/routing/Dependencies.h"
#include "hawthornroad/routing/RequestCoreState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr unsigned MaxQueryDoublings = 3;
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

// ---- State chart ----------------------------------------------------------

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
           R.Attempt_->Queries_ >= QueriesBeforeFailover && canRetry(R, Now);
  case RequestGuard::MustSettle:
    return R.Call_->needsClaim();
  case RequestGuard::CanWait:
    return canWait(R, Now);
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
    return queryAttempt(R, Now);
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

// Ends the request: releases its slot and reports it once. The public entry
// points erase the record itself, when no reference to it is left.
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
  Done.Total_ = Now - R.Call_->ArrivedAt_;
  Out_.push_back(std::move(Done));
  Retired_.push_back(R.Call_->Id_);
  Freed_.insert(R.Call_->Service_);
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

void RequestCore::State::dispatchQueue(const ServiceName &Name, TimePoint Now) {
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
      fire(*R, mayDispatch(*R, Now) ? Event::Admitted : Event::Refused, Now);
  }
}

// ---- Timers ---------------------------------------------------------------

void RequestCore::State::checkSilence(Record &R, TimePoint Now) {
  if (!R.Attempt_)
    return;
  AttemptRecord &A = *R.Attempt_;
  if (A.Queries_ == 0) {
    if (Now - std::max(A.LastProgressAt_, A.QueriedAt_) >=
        Options_.AttemptIdle_)
      fire(R, Event::Silent, Now);
    return;
  }
  unsigned Doublings = std::min(A.Queries_ - 1, MaxQueryDoublings);
  Duration Wait = Options_.AttemptIdle_ / 2 * (1u << Doublings);
  if (Now - A.QueriedAt_ >= Wait)
    fire(R, Event::Silent, Now);
}

void RequestCore::State::check(Record &R, TimePoint Now) {
  RequestState S = R.state();
  if (S == RequestState::Lingering && Now >= R.LingerUntil_)
    return fire(R, Event::GivenUp, Now);
  bool IsPastDeadline = Now >= R.Call_->Deadline_ && S != RequestState::Waiting;
  if (IsPastDeadline && !R.Answered_) {
    R.Problem_ = problem(status::GatewayTimeout, Step::Answer, R, "deadline",
                         "no whole answer within the deadline");
    fire(R, Event::Deadline, Now);
    return;
  }
  checkSilence(R, Now);
}

RequestCore::Actions RequestCore::State::takeActions(TimePoint Now) {
  while (!Freed_.empty()) {
    ServiceName Name = *Freed_.begin();
    Freed_.erase(Freed_.begin());
    dispatchQueue(Name, Now);
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

// ---- Public interface -----------------------------------------------------

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
    return S.takeActions(Now);
  }
  Admission::Request Offered{Call->Id_, Call->Customer_, Call->Service_,
                             Call->Priority_, Call->Deadline_};
  Admission::Answer Answer =
      S.Admission_.offer(Offered, S.load(*Call, Now), Now);
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
  return S.takeActions(Now);
}

RequestCore::Actions RequestCore::callerGone(RequestId Id, TimePoint Now) {
  if (RequestRecord *R = State_->find(Id)) {
    R->CallerGone_ = true;
    State_->fire(*R, RequestEvent::CallerGone, Now);
  }
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::claimDecided(const ClaimVerdict &Word,
                                               TimePoint Now) {
  RequestId Id = std::visit([](const auto &W) { return W.Request_; }, Word);
  RequestRecord *R = State_->find(Id);
  if (R == nullptr)
    return {};
  if (std::holds_alternative<ClaimWon>(Word)) {
    R->Problem_ = State_->problem(status::GatewayTimeout, Step::Claim, *R,
                                  "deadline", "the deadline has passed");
    State_->fire(*R, RequestEvent::ClaimWon, Now);
    return State_->takeActions(Now);
  }
  if (const auto *Replay = std::get_if<ClaimReplay>(&Word)) {
    R->Kept_ = Replay->Answer_;
    R->Version_ = Replay->Answer_.Version_;
    R->IsWhole_ = true;
  } else {
    R->Problem_ = std::get<ClaimDenied>(Word).Problem_;
    R->ClaimOutcome_ = R->Problem_.Outcome_;
  }
  State_->fire(*R, RequestEvent::ClaimEnded, Now);
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::attemptUpdated(const AttemptUpdate &Word,
                                                 TimePoint Now) {
  AttemptId Id =
      std::visit([](const auto &W) { return W.From_.Attempt_; }, Word);
  bool IsLate = State_->ByAttempt_.count(Id) == 0;
  bool IsRunning = std::holds_alternative<AttemptAccepted>(Word) ||
                   std::holds_alternative<AttemptHead>(Word) ||
                   std::holds_alternative<AttemptData>(Word);
  if (IsLate && IsRunning)
    return {CancelAttempt{Id, {}}};
  std::visit([&](const auto &W) { State_->onUpdate(W, Now); }, Word);
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::connectionLost(const ConnectionLost &Lost,
                                                 TimePoint Now) {
  State_->forEachAttempt([&](RequestRecord &R) {
    if (R.Attempt_->Address_ == Lost.Address_ &&
        R.Attempt_->Number_ <= Lost.BegunUpTo_)
      State_->onLost(R, Lost, Now);
  });
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::notSent(AttemptId Id, TimePoint Now) {
  auto Found = State_->ByAttempt_.find(Id);
  if (Found == State_->ByAttempt_.end())
    return {};
  RequestRecord &R = State_->Requests_.at(Found->second);
  State_->fail(R,
               State_->problem(status::Unavailable, Step::Dispatch, R,
                               "process_busy", "this entry is overloaded"),
               false, Now);
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::endpointGone(const Vm &V, Incarnation I,
                                               TimePoint Now) {
  State_->forEachAttempt([&](RequestRecord &R) {
    if (R.Attempt_->Vm_ != V || R.Attempt_->Incarnation_ > I)
      return;
    State_->fail(R,
                 State_->problem(status::BadGateway, Step::Run, R,
                                 "endpoint_gone", "the endpoint's VM is gone"),
                 true, Now);
  });
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::endpointChanged(const ServiceName &Service,
                                                  TimePoint Now) {
  State_->dispatchQueue(Service, Now);
  return State_->takeActions(Now);
}

RequestCore::Actions RequestCore::callerBacklog(RequestId Id, std::size_t Bytes,
                                                TimePoint Now) {
  RequestRecord *R = State_->find(Id);
  if (R == nullptr)
    return {};
  R->CallerBacklog_ = Bytes;
  if (R->Attempt_)
    State_->ack(*R, false);
  return State_->takeActions(Now);
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
  return State_->takeActions(Now);
}

std::size_t RequestCore::inProgress() const {
  return static_cast<std::size_t>(
      std::count_if(State_->Requests_.begin(), State_->Requests_.end(),
                    [](const auto &Each) { return !Each.second.Answered_; }));
}

std::size_t RequestCore::open() const { return State_->Requests_.size(); }

} // namespace hawthornroad
