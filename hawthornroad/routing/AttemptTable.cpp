#include "hawthornroad/routing/AttemptTable.h"

#include <algorithm>

namespace hawthornroad {

// Positions match the names in attemptChart().
enum class AttemptTable::Event : std::size_t {
  Query,
  Cancel,
  Head,
  Data,
  Acknowledged,
  Whole,
  Broken,
  GiveUp,
  Expired
};

namespace {

enum class State : std::size_t { Running, Paused, Whole, Failed, Forgotten };
enum class Guard : std::size_t {
  Acceptable,
  BufferFull,
  BufferRoomy,
  AnswerHeld
};
enum class Action : std::size_t {
  SendState,
  SendHead,
  SendData,
  SendHeld,
  SendEnd,
  SendFailed,
  PauseRun,
  ResumeRun,
  StopRun
};

constexpr int MeanRunWeight = 8;

AttemptFailure answerDropped() {
  return {false, Step::Answer, "", "the answer is no longer held"};
}

bool isRunning(State S) { return S == State::Running || S == State::Paused; }

} // namespace

Chart attemptChart(const std::string &Directory) {
  return Chart::load(
      Directory, "attempt",
      {.States_ = {"running", "paused", "whole", "failed", "forgotten"},
       .Events_ = {"query", "cancel", "head", "data", "acknowledged", "whole",
                   "broken", "give_up", "expired"},
       .Guards_ = {"acceptable", "buffer_full", "buffer_roomy", "answer_held"},
       .Actions_ = {"send_state", "send_head", "send_data", "send_held",
                    "send_end", "send_failed", "pause_run", "resume_run",
                    "stop_run"}});
}

struct AttemptTable::Attempt {
  Attempt(AttemptSpec Spec, RequesterId From, TimePoint Now)
      : Spec_(std::move(Spec)), Requester_(From), StartedAt_(Now) {}

  AttemptSpec Spec_;
  State State_ = State::Running;
  RequesterId Requester_;
  AnswerBuffer Buffer_;
  std::optional<AnswerHead> Head_;
  std::optional<AttemptFailure> Failure_;
  TimePoint StartedAt_;
  std::optional<TimePoint> FirstByte_;
  // When the requester was lost.
  std::optional<TimePoint> OrphanedSince_;
  // Parameters of the event being handled.
  std::uint64_t QueryOffset_ = 0;
  std::uint64_t DataOffset_ = 0;
};

AttemptTable::AttemptTable(Chart C, AttemptLimits L)
    : Chart_(std::move(C)), Limits_(L), Past_(L.IdRetention_, L.MaxPast_) {}

AttemptTable::~AttemptTable() = default;

AttemptActions AttemptTable::refuse(const AttemptId &Attempt,
                                    AttemptRefusal Reason, RequesterId From,
                                    TimePoint Now) {
  Past_.addRefused(Attempt, Reason, Now);
  return {
      SendRefused{From, Attempt, Reason, retryAfter(Reason, Facts_, MeanRun_)}};
}

AttemptActions
AttemptTable::repeatOutcome(const AttemptId &Attempt,
                            const PastAttempts::FinalState &FinalState,
                            RequesterId From, TimePoint Now) {
  if (FinalState.Refusal_)
    return refuse(Attempt, *FinalState.Refusal_, From, Now);
  return {SendFailed{From, Attempt, answerDropped()}};
}

AttemptActions AttemptTable::handle(const BeginReceived &E, TimePoint Now) {
  const AttemptId &Id = E.Spec_.Attempt_;
  // A duplicate Begin: the first one runs and keeps its requester.
  if (Attempts_.contains(Id))
    return {};
  if (auto FinalState = Past_.find(Id))
    return repeatOutcome(Id, *FinalState, E.From_, Now);
  if (auto Reason =
          refusalOf(E.Spec_, Facts_, Limits_, {Running_.size(), BodyBytes_}))
    return refuse(Id, *Reason, E.From_, Now);
  auto [At, New] = Attempts_.emplace(Id, Attempt(E.Spec_, E.From_, Now));
  Attempt &A = At->second;
  if (A.Spec_.Version_.empty())
    A.Spec_.Version_ = Facts_.Version_;
  Running_.insert(Id);
  BodyBytes_ += A.Spec_.BodyBytes_;
  return {SendAccepted{E.From_, Id}, StartRun{Id}};
}

AttemptActions AttemptTable::handle(const BeginDropped &E, TimePoint Now) {
  if (Attempts_.contains(E.Attempt_))
    return {};
  if (auto FinalState = Past_.find(E.Attempt_))
    return repeatOutcome(E.Attempt_, *FinalState, E.From_, Now);
  return refuse(E.Attempt_, AttemptRefusal::Overloaded, E.From_, Now);
}

AttemptActions AttemptTable::handle(const QueryReceived &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end())
    return deny(E, Now);
  Attempt &A = Found->second;
  A.Requester_ = E.From_;
  A.OrphanedSince_.reset();
  A.QueryOffset_ = E.Offset_;
  return fire(A, Event::Query, Now);
}

AttemptActions AttemptTable::deny(const QueryReceived &E, TimePoint Now) {
  auto FinalState = Past_.find(E.Attempt_);
  if (FinalState && !FinalState->Refusal_)
    return {SendState{E.From_, E.Attempt_, AttemptPhase::Finished, 0},
            SendFailed{E.From_, E.Attempt_, answerDropped()}};
  Past_.addRefused(E.Attempt_, AttemptRefusal::Overloaded, Now);
  return {SendState{E.From_, E.Attempt_, AttemptPhase::NeverSeen, 0}};
}

AttemptActions AttemptTable::handle(const AckReceived &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end())
    return {};
  Attempt &A = Found->second;
  std::uint64_t Freed = acknowledge(A, E.Offset_);
  AttemptActions Out;
  if (Freed > 0 && isRunning(A.State_))
    Out.push_back(
        ReleaseRun{E.Attempt_, A.Buffer_.length() - A.Buffer_.held()});
  AttemptActions More = fire(A, Event::Acknowledged, Now);
  std::move(More.begin(), More.end(), std::back_inserter(Out));
  return Out;
}

AttemptActions AttemptTable::handle(const CancelReceived &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end()) {
    Past_.addRefused(E.Attempt_, AttemptRefusal::Overloaded, Now);
    return {};
  }
  Attempt &A = Found->second;
  if (isRunning(A.State_))
    A.Failure_ = AttemptFailure{false, Step::Run, "", "cancelled by the entry"};
  return fire(A, Event::Cancel, Now);
}

AttemptActions AttemptTable::handle(const RequesterLost &E, TimePoint Now) {
  for (const AttemptId &Id : Running_) {
    Attempt &A = Attempts_.at(Id);
    if (A.Requester_ != E.From_)
      continue;
    A.Requester_ = NoRequester;
    A.OrphanedSince_ = Now;
  }
  return {};
}

AttemptActions AttemptTable::handle(const HeadReceived &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end() || !isRunning(Found->second.State_))
    return {};
  Attempt &A = Found->second;
  A.Head_ = E.Head_;
  A.Failure_ = faultOf(E.Head_, A.Spec_.Version_, Facts_.IsModel_);
  return fire(A, Event::Head, Now);
}

AttemptActions AttemptTable::handle(const DataReceived &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end() || !isRunning(Found->second.State_))
    return {};
  Attempt &A = Found->second;
  if (!A.FirstByte_)
    A.FirstByte_ = Now;
  A.DataOffset_ = A.Buffer_.append(E.Bytes_);
  return fire(A, Event::Data, Now);
}

AttemptActions AttemptTable::handle(const RunEnded &E, TimePoint Now) {
  auto Found = Attempts_.find(E.Attempt_);
  if (Found == Attempts_.end() || !isRunning(Found->second.State_))
    return {};
  Attempt &A = Found->second;
  if (!E.Error_)
    return fire(A, Event::Whole, Now);
  A.Failure_ = AttemptFailure{!E.Sent_, E.Error_->step(), E.Error_->peer(),
                              E.Error_->message()};
  return fire(A, Event::Broken, Now);
}

AttemptActions AttemptTable::fire(Attempt &A, Event E, TimePoint Now) {
  auto Holds = [&](std::size_t G) {
    switch (static_cast<Guard>(G)) {
    case Guard::Acceptable:
      return !A.Failure_;
    case Guard::BufferFull:
      return A.Buffer_.held() >= Limits_.Buffer_;
    case Guard::BufferRoomy:
      return A.Buffer_.held() <= Limits_.Buffer_ / 2;
    case Guard::AnswerHeld:
      return A.Buffer_.holds(A.QueryOffset_);
    }
    return false;
  };
  bool WasRunning = isRunning(A.State_);
  Chart::Step Taken = Chart_.fire(static_cast<std::size_t>(A.State_),
                                  static_cast<std::size_t>(E), Holds);
  A.State_ = static_cast<State>(Taken.Next_);
  AttemptActions Out;
  for (std::size_t Each : Taken.Actions_)
    perform(A, Each, Out);
  if (WasRunning && !isRunning(A.State_))
    finishRun(A, Now, Out);
  return Out;
}

void AttemptTable::perform(const Attempt &A, std::size_t Which,
                           AttemptActions &Out) const {
  const AttemptId &Id = A.Spec_.Attempt_;
  switch (static_cast<Action>(Which)) {
  case Action::PauseRun:
    Out.push_back(PauseRun{Id});
    return;
  case Action::ResumeRun:
    Out.push_back(ResumeRun{Id});
    return;
  case Action::StopRun:
    Out.push_back(StopRun{Id});
    return;
  default:
    // Without a requester nothing is sent; a later query fetches it.
    if (A.Requester_ != NoRequester)
      sendAnswer(A, Which, Out);
  }
}

void AttemptTable::sendAnswer(const Attempt &A, std::size_t Which,
                              AttemptActions &Out) const {
  const AttemptId &Id = A.Spec_.Attempt_;
  RequesterId To = A.Requester_;
  switch (static_cast<Action>(Which)) {
  case Action::SendState:
    Out.push_back(SendState{To, Id,
                            isRunning(A.State_) ? AttemptPhase::Running
                                                : AttemptPhase::Finished,
                            A.Buffer_.length()});
    return;
  case Action::SendHead:
    if (A.Head_)
      Out.push_back(SendHead{To, Id, *A.Head_});
    return;
  case Action::SendData:
    for (AnswerPiece &Each : A.Buffer_.from(A.DataOffset_))
      Out.push_back(SendData{To, Id, Each.Offset_, std::move(Each.Bytes_)});
    return;
  case Action::SendHeld:
    for (AnswerPiece &Each : A.Buffer_.from(A.QueryOffset_))
      Out.push_back(SendData{To, Id, Each.Offset_, std::move(Each.Bytes_)});
    return;
  case Action::SendEnd:
    Out.push_back(SendEnd{To, Id, A.Buffer_.length(), A.Buffer_.hash()});
    return;
  case Action::SendFailed:
    Out.push_back(SendFailed{To, Id, A.Failure_.value_or(answerDropped())});
    return;
  default:
    return;
  }
}

// Frees the capacity of a run that has ended and keeps its answer for a while.
void AttemptTable::finishRun(Attempt &A, TimePoint Now, AttemptActions &Out) {
  const AttemptId &Id = A.Spec_.Attempt_;
  Running_.erase(Id);
  BodyBytes_ -= A.Spec_.BodyBytes_;
  Duration RunTime = Now - A.StartedAt_;
  MeanRun_ += (RunTime - MeanRun_) / MeanRunWeight;
  AttemptEnded Ended{
      A.Spec_, A.Failure_,  A.Head_ ? A.Head_->Status_ : 0, A.Buffer_.length(),
      RunTime, std::nullopt};
  if (A.FirstByte_)
    Ended.FirstByte_ = *A.FirstByte_ - A.StartedAt_;
  Out.push_back(std::move(Ended));
  if (A.State_ == State::Failed)
    A.Buffer_.drop();
  FinishedOrder_.push_back({Id, Now + Limits_.Keep_});
  FinishedBytes_ += A.Buffer_.held();
  if (A.Buffer_.held() > 0)
    ++Unacknowledged_;
  boundFinished(Now);
}

std::uint64_t AttemptTable::acknowledge(Attempt &A, std::uint64_t Offset) {
  std::uint64_t Before = A.Buffer_.held();
  A.Buffer_.acknowledge(Offset);
  std::uint64_t Freed = Before - A.Buffer_.held();
  if (isRunning(A.State_) || Freed == 0)
    return Freed;
  FinishedBytes_ -= Freed;
  if (A.Buffer_.held() == 0)
    --Unacknowledged_;
  return Freed;
}

// Entries that failed never acknowledge, so the oldest answers are dropped
// first; a later query is told that the answer is no longer held.
void AttemptTable::boundFinished(TimePoint Now) {
  while (FinishedOrder_.size() > Limits_.MaxFinished_)
    forgetOldest(Now);
  while (FinishedBytes_ > Limits_.MaxFinishedBytes_) {
    Attempt &A = Attempts_.at(FinishedOrder_[Dropped_].Attempt_);
    acknowledge(A, A.Buffer_.length());
    ++Dropped_;
  }
}

void AttemptTable::forgetOldest(TimePoint Now) {
  auto Found = Attempts_.find(FinishedOrder_.front().Attempt_);
  Attempt &A = Found->second;
  acknowledge(A, A.Buffer_.length());
  fire(A, Event::Expired, Now);
  if (Chart_.isFinal(static_cast<std::size_t>(A.State_)))
    Attempts_.erase(Found);
  Past_.addRan(FinishedOrder_.front().Attempt_, Now);
  FinishedOrder_.pop_front();
  if (Dropped_ > 0)
    --Dropped_;
}

AttemptActions AttemptTable::giveUp(Attempt &A, const std::string &Why,
                                    TimePoint Now) {
  A.Failure_ = AttemptFailure{false, Step::Run, "", Why};
  return fire(A, Event::GiveUp, Now);
}

// Why a running attempt should be aborted; nullopt when it should continue. A
// non-repeatable attempt continues because it cannot be retried elsewhere and
// its outcome can still be queried. It is aborted only when its answer fills
// the buffer and its deadline has passed; otherwise it would occupy its place
// forever.
std::optional<std::string> AttemptTable::abandonReason(const Attempt &A,
                                                       TimePoint Now) const {
  bool Late = Now >= A.StartedAt_ + A.Spec_.Deadline_ + Limits_.DeadlineGrace_;
  if (!A.Spec_.Repeatable_) {
    if (Late && A.State_ == State::Paused)
      return "deadline passed with the answer not fetched";
    return std::nullopt;
  }
  if (Late)
    return "deadline passed";
  if (A.OrphanedSince_ && Now >= *A.OrphanedSince_ + Limits_.OrphanGrace_)
    return "entry lost";
  return std::nullopt;
}

AttemptActions AttemptTable::tick(TimePoint Now) {
  AttemptActions Out;
  for (const AttemptId &Id : runningIds()) {
    Attempt &A = Attempts_.at(Id);
    std::optional<std::string> Why = abandonReason(A, Now);
    if (!Why)
      continue;
    AttemptActions More = giveUp(A, *Why, Now);
    std::move(More.begin(), More.end(), std::back_inserter(Out));
  }
  while (!FinishedOrder_.empty() && FinishedOrder_.front().Until_ <= Now)
    forgetOldest(Now);
  Past_.expire(Now);
  return Out;
}

AttemptActions AttemptTable::giveUpAll(const std::string &Why, TimePoint Now) {
  AttemptActions Out;
  for (const AttemptId &Id : runningIds()) {
    AttemptActions More = giveUp(Attempts_.at(Id), Why, Now);
    std::move(More.begin(), More.end(), std::back_inserter(Out));
  }
  return Out;
}

std::vector<AttemptId> AttemptTable::runningIds() const {
  return {Running_.begin(), Running_.end()};
}

} // namespace hawthornroad
