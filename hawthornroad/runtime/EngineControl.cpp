#include "hawthornroad/runtime/EngineControl.h"

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/rollout/PlainHealth.h"
#include "hawthornroad/rollout/RolloutTurn.h"
#include "hawthornroad/runtime/EngineAnswers.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/runtime/Seed.h"

#include <boost/json/array.hpp>
#include <optional>
#include <utility>

namespace hawthornroad {

namespace json = boost::json;

namespace {

constexpr Duration PollPeriod = Milliseconds(300);
constexpr Duration CallConnectTimeout = Milliseconds(500);
constexpr Duration CallTimeout = Milliseconds(1500);
// After this time a call counts as ended: its answer may have been dropped
// because the loop's ring was full.
constexpr Duration LostCallTimeout = Seconds(5);
// Report and probe periods within which a change reaches the whole zone
// (TurnOrder.h): allows for a few lost reports, and for the gossip rounds that
// a zone of 250 VMs needs.
constexpr int SettleReports = 4;
constexpr int SettleProbes = 8;

RolloutTurn::Limits limitsFor(const AgentSettings &S) {
  RolloutTurn::Limits L;
  L.Turns_.Settle_ =
      SettleReports * S.ReportPeriod_ + SettleProbes * S.Common_.ProbePeriod_;
  L.Turns_.JoinSettle_ = 2 * L.Turns_.Settle_;
  return L;
}

HttpClient::Options callOptions() {
  return {.ConnectTimeout_ = CallConnectTimeout,
          .IdleTimeout_ = CallTimeout,
          .Timeout_ = CallTimeout};
}

bool isOk(const HttpResult &R) {
  return R.Response_ && R.Response_->Status_ == 200;
}

// The connection failed: the engine or service is not running.
bool isUnreachable(const HttpResult &R) {
  return R.Error_ && R.Error_->step() == Step::Connect;
}

OrderReply replyOf(const HttpResult &R) {
  if (!R.Response_)
    return OrderReply::Unknown;
  return R.Response_->Status_ / 100 == 2 ? OrderReply::Accepted
                                         : OrderReply::Refused;
}

// Allows at most one outstanding call of a kind. The answer to an abandoned
// call is recognized by its number and dropped.
class CallSlot {
public:
  bool mayStart(TimePoint Now) const {
    return !StartedAt_ || Now - *StartedAt_ >= LostCallTimeout;
  }
  std::uint64_t start(TimePoint Now) {
    StartedAt_ = Now;
    return ++Number_;
  }
  // True when Number is the outstanding call.
  bool end(std::uint64_t Number) {
    if (!StartedAt_ || Number != Number_)
      return false;
    StartedAt_.reset();
    return true;
  }
  void abandon() { StartedAt_.reset(); }

private:
  std::optional<TimePoint> StartedAt_;
  std::uint64_t Number_ = 0;
};

// The state that is published to the fleet; a change of it triggers a report.
struct Report {
  EndpointPhase Phase_ = EndpointPhase::Starting;
  VersionDigest Version_;
  EngineLoad Load_;
  std::string Rollout_;
  VersionDigest Failed_;
  bool operator==(const Report &) const = default;
};

} // namespace

struct EngineControl::State : std::enable_shared_from_this<State> {
  using Answer = std::function<void(HttpResult, TimePoint)>;

  State(Setup S, DecisionLoop &Loop, HttpClient &Client, Metrics &M,
        Callbacks C)
      : Setup_(std::move(S)), Loop_(Loop), Client_(Client), Metrics_(M),
        Callbacks_(std::move(C)),
        Random_(seedOr(Setup_.Settings_.Common_.RandomSeed_)),
        Turn_({.Vm_ = Setup_.Settings_.Vm_,
               .Zone_ = Setup_.Settings_.Common_.Zone_,
               .Incarnation_ = Setup_.Incarnation_,
               .Limits_ = limitsFor(Setup_.Settings_)},
              Chart::load(Setup_.Settings_.Common_.Charts_, "rollout",
                          RolloutTurn::chartNames()),
              Random_),
        PlainHealth_(RolloutTurn::Limits().Silence_) {}

  bool isPlain() const { return Kind_ == ServiceKind::Plain; }
  EndpointPhase phase() const;
  std::string detail() const;
  Report report() const;
  std::size_t running() const {
    return Callbacks_.RunningAttempts_ ? Callbacks_.RunningAttempts_() : 0;
  }
  std::optional<TimePoint> configurationAskedAt() const {
    return Callbacks_.ConfigurationAskedAt_ ? Callbacks_.ConfigurationAskedAt_()
                                            : std::nullopt;
  }

  void tick(TimePoint Now);
  void poll(TimePoint Now);
  void call(HttpRequest R, Answer OnAnswer);
  void readHealth(TimePoint Now);
  void readModel(TimePoint Now);
  void readLoad(TimePoint Now);
  void send(const EngineOrder &Order, TimePoint Now);
  void onModelAnswer(const HttpResult &R, TimePoint Now);
  // Reports the changes since the last call through OnChange_.
  void publish(TimePoint Now);
  void logChange(const Report &Before, const Report &After);

  Setup Setup_;
  DecisionLoop &Loop_;
  HttpClient &Client_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  Random Random_;
  RolloutTurn Turn_;
  PlainHealth PlainHealth_;
  std::optional<ServiceKind> Kind_;
  EngineLoad Load_;
  CallSlot HealthCall_;
  CallSlot ModelCall_;
  CallSlot LoadCall_;
  CallSlot OrderCall_;
  TimePoint NextPoll_;
  TimePoint Now_;
  Report Published_;
};

EndpointPhase EngineControl::State::phase() const {
  if (!Kind_)
    return EndpointPhase::Starting;
  if (!isPlain())
    return Turn_.phase();
  return PlainHealth_.isReady(Now_) ? EndpointPhase::Ready
                                    : EndpointPhase::Starting;
}

std::string EngineControl::State::detail() const {
  if (!Kind_)
    return "no service declared for this VM";
  if (!isPlain())
    return Turn_.detail();
  return phase() == EndpointPhase::Ready ? "" : "service does not answer";
}

Report EngineControl::State::report() const {
  Report Result;
  Result.Phase_ = phase();
  Result.Load_ = Load_;
  if (Result.Load_.Capacity_ == 0)
    Result.Load_.Capacity_ =
        static_cast<std::uint32_t>(Setup_.Settings_.Capacity_);
  if (isPlain()) {
    Result.Load_.Running_ = static_cast<std::uint32_t>(running());
    return Result;
  }
  Result.Version_ = Turn_.version();
  Result.Rollout_ = Turn_.stateName();
  Result.Failed_ = Turn_.failedVersion();
  return Result;
}

void EngineControl::State::tick(TimePoint Now) {
  Now_ = Now;
  if (Now >= NextPoll_) {
    NextPoll_ = Now + Random_.jitter(PollPeriod, 0.2);
    poll(Now);
  }
  // Called also without a service, so that a pause is detected.
  std::optional<EngineOrder> Order =
      Turn_.tick(Now, running(), configurationAskedAt());
  if (Order && !isPlain())
    send(*Order, Now);
  publish(Now);
}

void EngineControl::State::poll(TimePoint Now) {
  if (!Kind_)
    return;
  if (isPlain()) {
    readHealth(Now);
    return;
  }
  readModel(Now);
  readLoad(Now);
}

void EngineControl::State::call(HttpRequest R, Answer OnAnswer) {
  HttpClient::Callbacks Callbacks;
  Callbacks.OnDone_ = [Weak = weak_from_this(),
                       OnAnswer = std::move(OnAnswer)](HttpResult Result) {
    std::shared_ptr<State> Self = Weak.lock();
    if (!Self)
      return;
    // When the ring is full the answer is dropped, and the call slot times out.
    Self->Loop_.post(
        [Weak, OnAnswer, Result = std::move(Result)](TimePoint Now) {
          if (std::shared_ptr<State> Self = Weak.lock()) {
            OnAnswer(Result, Now);
            Self->publish(Now);
          }
        });
  };
  Client_.call(Setup_.Settings_.EndpointAddress_, std::move(R), callOptions(),
               std::move(Callbacks));
}

void EngineControl::State::readHealth(TimePoint Now) {
  if (!HealthCall_.mayStart(Now))
    return;
  std::uint64_t Number = HealthCall_.start(Now);
  call({.Target_ = "/healthz"}, [this, Number](HttpResult R, TimePoint Now) {
    if (!HealthCall_.end(Number))
      return;
    if (R.Response_)
      PlainHealth_.onAnswer(isOk(R), Now);
    else if (isUnreachable(R))
      PlainHealth_.onUnreachable();
  });
}

void EngineControl::State::readModel(TimePoint Now) {
  // A reading that overlaps an order does not show whether the order took
  // effect.
  if (!ModelCall_.mayStart(Now) || !OrderCall_.mayStart(Now))
    return;
  std::uint64_t Number = ModelCall_.start(Now);
  call({.Target_ = "/admin/model"},
       [this, Number](HttpResult R, TimePoint Now) {
         if (ModelCall_.end(Number))
           onModelAnswer(R, Now);
       });
}

void EngineControl::State::onModelAnswer(const HttpResult &R, TimePoint Now) {
  if (isUnreachable(R)) {
    Turn_.onUnreachable(Now);
    return;
  }
  if (!isOk(R))
    return;
  if (auto Reading = parseEngineReading(R.Response_->Body_))
    Turn_.onReading(*Reading, Now);
}

void EngineControl::State::readLoad(TimePoint Now) {
  if (!LoadCall_.mayStart(Now))
    return;
  std::uint64_t Number = LoadCall_.start(Now);
  call({.Target_ = "/load"}, [this, Number](HttpResult R, TimePoint Now) {
    if (!LoadCall_.end(Number) || !isOk(R))
      return;
    if (auto Read = parseEngineLoad(R.Response_->Body_))
      Load_ = *Read;
  });
}

void EngineControl::State::send(const EngineOrder &Order, TimePoint Now) {
  // The answer to a reading started before the order may arrive after it.
  ModelCall_.abandon();
  std::uint64_t Number = OrderCall_.start(Now);
  Metrics_.count("hawthornroad_engine_orders_total");
  log(LogLevel::Info, Step::Order, "load ordered",
      {{"peer", Setup_.Settings_.EndpointAddress_},
       {"version", Order.EngineTarget_.Version_.str()},
       {"detail", "fencing " + std::to_string(Order.Fencing_.value())}});
  HttpRequest R{.Method_ = "POST",
                .Target_ = "/admin/load",
                .Headers_ = {{"Content-Type", "application/json"}},
                .Body_ = formatOrder(Order)};
  call(std::move(R), [this, Number, Fencing = Order.Fencing_](HttpResult Result,
                                                              TimePoint Now) {
    OrderCall_.end(Number);
    Turn_.onReply(Fencing, replyOf(Result), Now);
    if (replyOf(Result) == OrderReply::Refused)
      log(LogLevel::Warning, Step::Order, "order refused",
          {{"peer", Setup_.Settings_.EndpointAddress_},
           {"detail", Result.Response_->Body_}});
  });
}

void EngineControl::State::publish(TimePoint Now) {
  Now_ = Now;
  Report Next = report();
  if (Next == Published_)
    return;
  logChange(Published_, Next);
  Published_ = std::move(Next);
  Metrics_.set("hawthornroad_endpoint_ready",
               Published_.Phase_ == EndpointPhase::Ready ? 1 : 0);
  if (Callbacks_.OnChange_)
    Callbacks_.OnChange_(Now);
}

void EngineControl::State::logChange(const Report &Before,
                                     const Report &After) {
  if (Before.Phase_ == After.Phase_ && Before.Rollout_ == After.Rollout_ &&
      Before.Version_ == After.Version_)
    return;
  log(LogLevel::Info, Step::Order, "endpoint changed",
      {{"vm", Setup_.Settings_.Vm_.str()},
       {"version", After.Version_.str()},
       {"detail", std::string(toString(After.Phase_)) + " " + After.Rollout_ +
                      " " + detail()}});
}

EngineControl::EngineControl(Setup S, DecisionLoop &Loop, HttpClient &Client,
                             Metrics &M, Callbacks C)
    : State_(std::make_shared<State>(std::move(S), Loop, Client, M,
                                     std::move(C))) {}

EngineControl::~EngineControl() = default;

void EngineControl::start(TimePoint Now) {
  State_->Now_ = Now;
  State_->Loop_.onTick([Weak = std::weak_ptr<State>(State_)](TimePoint Now) {
    if (std::shared_ptr<State> Self = Weak.lock())
      Self->tick(Now);
  });
}

void EngineControl::setDesiredService(const Service *S, Revision R,
                                      TimePoint Now) {
  if (S)
    State_->Kind_ = S->Kind_;
  else
    State_->Kind_.reset();
  State_->Turn_.declare(S, R, Now);
  State_->publish(Now);
}

void EngineControl::setStagedPath(const VersionDigest &Version,
                                  const std::string &Path, TimePoint Now) {
  State_->Turn_.stage(Version, Path);
}

void EngineControl::setFleet(const std::vector<EndpointStatus> &Fleet,
                             TimePoint Now) {
  State_->Turn_.setFleet(Fleet, Now);
}

EndpointPhase EngineControl::phase() const { return State_->phase(); }
VersionDigest EngineControl::version() const {
  return State_->report().Version_;
}
EngineLoad EngineControl::load() const { return State_->report().Load_; }
std::string EngineControl::rollout() const { return State_->report().Rollout_; }
VersionDigest EngineControl::failedVersion() const {
  return State_->report().Failed_;
}

std::string EngineControl::detail() const { return State_->detail(); }

json::object EngineControl::status(TimePoint Now) const {
  Report Current = State_->report();
  json::object Result{{"phase", toString(Current.Phase_)},
                      {"detail", detail()},
                      {"capacity", Current.Load_.Capacity_},
                      {"running", Current.Load_.Running_},
                      {"waiting", Current.Load_.Waiting_}};
  if (!State_->Kind_ || State_->isPlain())
    return Result;
  const RolloutTurn &Turn = State_->Turn_;
  json::object Failed;
  for (const auto &[V, Why] : Turn.failures().failed())
    Failed[V.str()] = Why;
  Result["version"] = Current.Version_.str();
  Result["wanted"] = Turn.choice().wantedVersion().str();
  Result["rollout"] = Current.Rollout_;
  Result["failed_version"] = Current.Failed_.str();
  Result["load_failures"] = std::move(Failed);
  Result["order"] = toString(Turn.orders().orderStatus());
  Result["fencing"] = Turn.orders().number().value();
  Result["out_of_service"] = Turn.turns().outOfService(Now);
  Result["turns_ahead"] = Turn.turns().waitingAhead();
  Result["pauses"] = Turn.pause().pauses();
  Result["may_order"] = Turn.pause().mayOrder(Now);
  return Result;
}

} // namespace hawthornroad
