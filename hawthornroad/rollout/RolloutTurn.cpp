#include "hawthornroad/rollout/RolloutTurn.h"

#include <utility>

namespace hawthornroad {

enum class RolloutTurn::Guard : std::size_t {
  Serves,     // the engine serves one complete version
  HasTarget,  // there is a version to load, and it may be ordered
  Blocked,    // a newer version is staged, but its rollout is halted
  WantsTurn,  // a newer version is staged
  HasTurn,    // this endpoint may leave service now
  Drained,    // no attempt is in progress
  OnTarget,   // the engine serves the ordered version
  Displaced,  // the engine serves the order of a newer agent
  LoadFailed, // the ordered version could not be loaded
  Retarget,   // a version other than the ordered one is to be loaded now
  Verified    // enough readings showed the ordered version
};

enum class RolloutTurn::Action : std::size_t {
  NoteServed,
  Order,
  StartWaiting,
  StopWaiting,
  BeginTurn,
  NoteFailure
};

ChartNames RolloutTurn::chartNames() {
  return {.States_ = {"reading", "idle", "serving", "waiting_turn", "draining",
                      "loading", "verifying", "failed", "halted"},
          .Events_ = {"read", "silent", "paused", "tick"},
          .Guards_ = {"serves", "has_target", "blocked", "wants_turn",
                      "has_turn", "drained", "on_target", "displaced",
                      "load_failed", "retarget", "verified"},
          .Actions_ = {"note_served", "order", "start_waiting", "stop_waiting",
                       "begin_turn", "note_failure"}};
}

RolloutTurn::RolloutTurn(Setup S, Chart C, Random &R)
    : Setup_(std::move(S)), Chart_(std::move(C)),
      Orders_(Setup_.Incarnation_, Setup_.Limits_.Orders_, R),
      Turns_(Setup_.Vm_, Setup_.Zone_, Setup_.Limits_.Turns_),
      Pause_(Setup_.Limits_.Pause_), Choice_(Setup_.Limits_.Choice_, R),
      State_(static_cast<State>(Chart_.initial())) {}

const std::string &RolloutTurn::stateName() const {
  return Chart_.names().States_[static_cast<std::size_t>(State_)];
}

void RolloutTurn::declare(const Service *S, Revision R, TimePoint Now) {
  if (R < Revision_)
    return;
  if (Revision_ == 0) {
    // A process without a configuration has requested it since its start.
    Pause_.tick(Now);
    Pause_.confirmed(Now);
  }
  Revision_ = R;
  if (!S || !S->Model_) {
    Choice_.setWanted({});
    return;
  }
  FromOtherService_ =
      FromOtherService_ || (!Service_.empty() && Service_ != S->Name_);
  Service_ = S->Name_;
  Rollout_ = S->Rollout_;
  Choice_.setWanted(S->Model_->Version_);
  Failures_.setWanted(S->Model_->Version_);
  Turns_.setService(S->Name_);
  if (FromOtherService_ && Reading_)
    fire(Event::Read, Now);
}

void RolloutTurn::stage(const VersionDigest &V, const std::string &Path) {
  Choice_.stage(V, Path);
}

void RolloutTurn::setFleet(const std::vector<EndpointStatus> &Fleet,
                           TimePoint Now) {
  Turns_.setFleet(Fleet, Now);
  Failures_.noteFleet(Fleet);
}

void RolloutTurn::onReading(const EngineReading &Reading, TimePoint Now) {
  Reading_ = Reading;
  ReadAt_ = Now;
  if (Reading.State_ != EngineState::Loading)
    LoadingSince_.reset();
  else if (!LoadingSince_)
    LoadingSince_ = Now;
  Orders_.onReading(Reading, Now);
  TargetReadings_ = onTarget() ? TargetReadings_ + 1 : 0;
  fire(Event::Read, Now);
}

void RolloutTurn::onUnreachable(TimePoint Now) {
  Reading_.reset();
  LoadingSince_.reset();
  TargetReadings_ = 0;
  fire(Event::Silent, Now);
}

void RolloutTurn::onReply(FencingNumber Fencing, OrderReply Reply,
                          TimePoint Now) {
  Orders_.onReply(Fencing, Reply, Now);
}

std::optional<EngineOrder>
RolloutTurn::tick(TimePoint Now, std::size_t RunningAttempts,
                  std::optional<TimePoint> ConfigurationAskedAt) {
  Turns_.start(Now);
  Pause_.tick(Now);
  if (ConfigurationAskedAt)
    Pause_.confirmed(*ConfigurationAskedAt);
  RunningAttempts_ = RunningAttempts;
  if (Pause_.pauses() != PausesSeen_) {
    PausesSeen_ = Pause_.pauses();
    fire(Event::Paused, Now);
  }
  if (Reading_ && Now - ReadAt_ > Setup_.Limits_.Silence_)
    onUnreachable(Now);
  fire(Event::Tick, Now);
  bool Orders = State_ == State::Loading && Reading_ && Pause_.mayOrder(Now);
  return Orders ? Orders_.next(Now) : std::nullopt;
}

void RolloutTurn::fire(Event E, TimePoint Now) {
  Chart::Step Step = Chart_.fire(
      static_cast<std::size_t>(State_), static_cast<std::size_t>(E),
      [&](std::size_t G) { return holds(static_cast<Guard>(G), Now); });
  State_ = static_cast<State>(Step.Next_);
  for (std::size_t A : Step.Actions_)
    perform(static_cast<Action>(A), Now);
}

bool RolloutTurn::holds(Guard G, TimePoint Now) const {
  switch (G) {
  case Guard::Serves:
    return serves();
  case Guard::HasTarget:
    return Reading_ && !adoptsLoading(Now) && target(Now).has_value();
  case Guard::Blocked:
    return hasPendingVersion(Now) && halted();
  case Guard::WantsTurn:
    return hasPendingVersion(Now) && !halted();
  case Guard::HasTurn:
    return Pause_.mayOrder(Now) &&
           Turns_.hasTurn(Rollout_.MaxUnavailable_, Now);
  case Guard::Drained:
    return RunningAttempts_ == 0;
  case Guard::OnTarget:
    return onTarget();
  case Guard::Displaced:
    return serves() && Orders_.orderStatus() == OrderStatus::Superseded;
  case Guard::LoadFailed:
    return Orders_.orderStatus() == OrderStatus::Failed;
  case Guard::Retarget: {
    // A load in progress is left to finish unless a better target exists.
    std::optional<EngineTarget> Target = target(Now);
    bool Better =
        Target && (halted() || Target->Version_ == Choice_.wantedVersion());
    return Better && Target != Orders_.currentTarget();
  }
  case Guard::Verified:
    return TargetReadings_ >= Setup_.Limits_.VerifyReadings_;
  }
  return false;
}

void RolloutTurn::perform(Action A, TimePoint Now) {
  switch (A) {
  case Action::NoteServed:
    InTurn_ = false;
    FromOtherService_ = false;
    Choice_.noteServed(Reading_->Version_);
    Failures_.noteServed(Setup_.Vm_, Reading_->Version_);
    return;
  case Action::Order:
    Orders_.setTarget(*target(Now), Revision_);
    Orders_.retry();
    TargetReadings_ = 0;
    return;
  case Action::StartWaiting:
    Turns_.startWaiting(Now);
    return;
  case Action::StopWaiting:
    Turns_.stopWaiting();
    return;
  case Action::BeginTurn:
    InTurn_ = true;
    return;
  case Action::NoteFailure:
    FailureReason_ = Orders_.detail();
    Choice_.noteFailed(Orders_.currentTarget()->Version_, Now);
    Failures_.note(Setup_.Vm_, Orders_.currentTarget()->Version_,
                   FailureReason_);
    return;
  }
}

bool RolloutTurn::serves() const {
  if (!Reading_ || !Reading_->serves())
    return false;
  return !FromOtherService_ || Reading_->serves(Choice_.wantedVersion());
}

bool RolloutTurn::onTarget() const {
  return Reading_ && Orders_.currentTarget() &&
         Reading_->serves(Orders_.currentTarget()->Version_);
}

bool RolloutTurn::outranked() const {
  return Reading_ && Orders_.outranked(Reading_->Fencing_, Revision_);
}

bool RolloutTurn::halted() const {
  return Failures_.halted(Rollout_.HaltAfterFailures_);
}

bool RolloutTurn::hasPendingVersion(TimePoint Now) const {
  std::optional<EngineTarget> Wanted = Choice_.wantedByTurn(Now);
  return Wanted && Reading_ && !Reading_->serves(Wanted->Version_) &&
         !outranked();
}

bool RolloutTurn::adoptsLoading(TimePoint Now) const {
  std::optional<EngineTarget> Target = target(Now);
  return LoadingSince_ && Target && Reading_->Version_ == Target->Version_ &&
         Now - *LoadingSince_ < Setup_.Limits_.Orders_.LoadTimeout_;
}

std::optional<EngineTarget> RolloutTurn::target(TimePoint Now) const {
  if (outranked())
    return std::nullopt;
  std::optional<EngineTarget> Wanted = Choice_.wanted(Now);
  std::optional<EngineTarget> Fallback =
      FromOtherService_ ? std::nullopt : Choice_.fallback(Now);
  if (halted() && Fallback)
    return Fallback;
  return Wanted ? Wanted : Fallback;
}

EndpointPhase RolloutTurn::phase() const {
  switch (State_) {
  case State::Serving:
  case State::WaitingTurn:
  case State::Halted:
    return EndpointPhase::Ready;
  case State::Draining:
    return EndpointPhase::Draining;
  case State::Loading:
  case State::Verifying:
    return InTurn_ ? EndpointPhase::Draining : EndpointPhase::Starting;
  case State::Reading:
  case State::Idle:
  case State::Failed:
    break;
  }
  return EndpointPhase::Starting;
}

VersionDigest RolloutTurn::version() const {
  return serves() ? Reading_->Version_ : VersionDigest();
}

std::string RolloutTurn::haltDetail() const {
  std::string Text = "rollout of " + Choice_.wantedVersion().str() + " halted";
  for (const auto &[V, Why] : Failures_.failed())
    Text += "; " + V.str() + ": " + Why;
  return Text;
}

std::string RolloutTurn::detail() const {
  if (!failedVersion().empty())
    return "could not load " + failedVersion().str() + ": " + FailureReason_;
  if (halted())
    return haltDetail();
  if (outranked() || Orders_.orderStatus() == OrderStatus::Superseded)
    return Orders_.detail().empty() ? "engine obeys a newer revision or agent"
                                    : Orders_.detail();
  if (State_ == State::Reading)
    return "engine not read yet or silent";
  if (State_ == State::Idle && !Choice_.isStaged(Choice_.wantedVersion()))
    return "engine serves nothing; wanted version not staged yet";
  return "";
}

} // namespace hawthornroad
