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
// A call whose end was never reported, since the loop's ring was full.
constexpr Duration LostCall = Seconds(5);
// Reports and probes within which word reaches a zone (TurnOrder.h): a few
// lost reports, and as many rounds of gossip as a zone of 250 VMs needs.
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

bool isGood(const HttpResult &R) {
  return R.Response_ && R.Response_->Status_ == 200;
}

// Nothing listens: the engine or service is not running.
bool isUnreachable(const HttpResult &R) {
  return R.Error_ && R.Error_->step() == Step::Connect;
}

OrderReply replyOf(const HttpResult &R) {
  if (!R.Response_)
    return OrderReply::Unknown;
  return R.Response_->Status_ / 100 == 2 ? OrderReply::Accepted
                                         : OrderReply::Refused;
}

// One kind of call with at most one outstanding. An answer to a call that was
// given up on is told by its number and dropped.
class CallSlot {
public:
  bool mayStart(TimePoint Now) const {
    return !OpenSince_ || Now - *OpenSince_ >= LostCall;
  }
  std::uint64_t start(TimePoint Now) {
    OpenSince_ = Now;
    return ++Number_;
  }
  // True when Number is the outstanding call.
  bool end(std::uint64_t Number) {
    if (!OpenSince_ || Number != Number_)
      return false;
    OpenSince_.reset();
    return true;
  }
  void abandon() { OpenSince_.reset(); }

private:
  std::optional<TimePoint> OpenSince_;
  std::uint64_t Number_ = 0;
};

// What the fleet is told; a change of it is worth a report.
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
        Plain_(RolloutTurn::Limits().Silence_) {}

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
  void call(HttpRequest R, Answer Then);
  void readHealth(TimePoint Now);
  void readModel(TimePoint Now);
  void readLoad(TimePoint Now);
  void send(const EngineOrder &Order, TimePoint Now);
  void onModel(const HttpResult &R, TimePoint Now);
  // Tells what has changed since the last telling.
  void publish(TimePoint Now);
  void logChange(const Report &Before, const Report &After);

  Setup Setup_;
  DecisionLoop &Loop_;
  HttpClient &Client_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  Random Random_;
  RolloutTurn Turn_;
  PlainHealth Plain_;
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
  return Plain_.isReady(Now_) ? EndpointPhase::Ready : EndpointPhase::Starting;
}

std::string EngineControl::State::detail() const {
  if (!Kind_)
    return "no service declared for this VM";
  if (!isPlain())
    return Turn_.detail();
  return phase() == EndpointPhase::Ready ? "" : "service does not answer";
}

Report EngineControl::State::report() const {
  Report Made;
  Made.Phase_ = phase();
  Made.Load_ = Load_;
  if (Made.Load_.Capacity_ == 0)
    Made.Load_.Capacity_ =
        static_cast<std::uint32_t>(Setup_.Settings_.Capacity_);
  if (isPlain()) {
    Made.Load_.Running_ = static_cast<std::uint32_t>(running());
    return Made;
  }
  Made.Version_ = Turn_.version();
  Made.Rollout_ = Turn_.stateName();
  Made.Failed_ = Turn_.failedVersion();
  return Made;
}

void EngineControl::State::tick(TimePoint Now) {
  Now_ = Now;
  if (Now >= NextPoll_) {
    NextPoll_ = Now + Random_.jitter(PollPeriod, 0.2);
    poll(Now);
  }
  // Also without a service, so that a pause is noticed.
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

void EngineControl::State::call(HttpRequest R, Answer Then) {
  HttpClient::Callbacks Callbacks;
  Callbacks.OnDone_ = [Weak = weak_from_this(),
                       Then = std::move(Then)](HttpResult Result) {
    std::shared_ptr<State> Self = Weak.lock();
    if (!Self)
      return;
    // A full ring drops the answer; the slot's time limit makes up for it.
    Self->Loop_.post([Weak, Then, Result = std::move(Result)](TimePoint Now) {
      if (std::shared_ptr<State> Self = Weak.lock()) {
        Then(Result, Now);
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
      Plain_.onAnswer(isGood(R), Now);
    else if (isUnreachable(R))
      Plain_.onUnreachable();
  });
}

void EngineControl::State::readModel(TimePoint Now) {
  // A reading that overlaps an order says nothing about it.
  if (!ModelCall_.mayStart(Now) || !OrderCall_.mayStart(Now))
    return;
  std::uint64_t Number = ModelCall_.start(Now);
  call({.Target_ = "/admin/model"},
       [this, Number](HttpResult R, TimePoint Now) {
         if (ModelCall_.end(Number))
           onModel(R, Now);
       });
}

void EngineControl::State::onModel(const HttpResult &R, TimePoint Now) {
  if (isUnreachable(R)) {
    Turn_.onUnreachable(Now);
    return;
  }
  if (!isGood(R))
    return;
  if (auto Reading = parseEngineReading(R.Response_->Body_))
    Turn_.onReading(*Reading, Now);
}

void EngineControl::State::readLoad(TimePoint Now) {
  if (!LoadCall_.mayStart(Now))
    return;
  std::uint64_t Number = LoadCall_.start(Now);
  call({.Target_ = "/load"}, [this, Number](HttpResult R, TimePoint Now) {
    if (!LoadCall_.end(Number) || !isGood(R))
      return;
    if (auto Read = parseEngineLoad(R.Response_->Body_))
      Load_ = *Read;
  });
}

void EngineControl::State::send(const EngineOrder &Order, TimePoint Now) {
  // What was asked before the order may be answered after it.
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

void EngineControl::setWish(const Service *S, Revision R, TimePoint Now) {
  if (S)
    State_->Kind_ = S->Kind_;
  else
    State_->Kind_.reset();
  State_->Turn_.declare(S, R, Now);
  State_->publish(Now);
}

void EngineControl::noteStaged(const VersionDigest &Version,
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
  json::object Made{{"phase", toString(Current.Phase_)},
                    {"detail", detail()},
                    {"capacity", Current.Load_.Capacity_},
                    {"running", Current.Load_.Running_},
                    {"waiting", Current.Load_.Waiting_}};
  if (!State_->Kind_ || State_->isPlain())
    return Made;
  const RolloutTurn &Turn = State_->Turn_;
  json::object Failed;
  for (const auto &[V, Why] : Turn.failures().failed())
    Failed[V.str()] = Why;
  Made["version"] = Current.Version_.str();
  Made["wanted"] = Turn.choice().wantedVersion().str();
  Made["rollout"] = Current.Rollout_;
  Made["failed_version"] = Current.Failed_.str();
  Made["load_failures"] = std::move(Failed);
  Made["order"] = toString(Turn.orders().orderStatus());
  Made["fencing"] = Turn.orders().number().value();
  Made["out_of_service"] = Turn.turns().outOfService(Now);
  Made["turns_ahead"] = Turn.turns().waitingAhead();
  Made["pauses"] = Turn.pause().pauses();
  Made["may_order"] = Turn.pause().mayOrder(Now);
  return Made;
}

} // namespace hawthornroad
