#include "hawthornroad/entry/DirectEntry.h"

#include "hawthornroad/entry/EngineNews.h"
#include "hawthornroad/http/LinkPool.h"
#include "hawthornroad/http/ServerSession.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/store/StoreClient.h"
#include "hawthornroad/traffic/TrafficCore.h"
#include "platform/Names.h"
#include "platform/RequestWire.h"
#include "platform/StoreWire.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <future>
#include <random>
#include <thread>
#include <unordered_map>

namespace hawthornroad {

namespace {
constexpr std::size_t WorkRing = 1024;
// Time limits are seen to this often; the shortest one is 80 ms.
constexpr Duration TickPeriod = Milliseconds(20);
// Unused connections are looked over this often.
constexpr Duration SweepPeriod = Milliseconds(200);
// The endpoints' list changes often, and every read costs a call: it is read as
// seldom as the bound on leaving endpoints allows, with as much time again for
// the answer and for requests on their way.
constexpr double EndpointPaceShare = 0.45;
// How long the store may hold a question with nothing to tell. The one for the
// operators' table also renews the lease of customers' keys: this part of their
// bound, so that a lost answer leaves time for another question.
constexpr Duration EndpointWait = Milliseconds(3000);
constexpr double OperatorWaitShare = 0.5;
// The entry says it is not ready when its last proof is older than this part of
// the operators' bound: callers' keys will soon not be accepted here.
constexpr double ReadyShare = 0.6;
// Before the bound of a version, so that requests already sent have begun.
constexpr Duration VersionMargin = Milliseconds(600);
// What word of the version and of the taking back may take on their ways.
constexpr Duration VersionHardMargin = Milliseconds(200);
// A planned stop: the balancer asks each second and acts on the second miss.
constexpr Duration BalancerNotice = Milliseconds(2600);
constexpr Duration StopPoll = Milliseconds(20);
// Left over at the end of a planned stop, for the last answers to be written.
constexpr Duration StopMargin = Milliseconds(600);
// One entry's part of the operators' slack for repeats: entries do not know
// their number, so this must hold with as many as are foreseen.
constexpr double SlackPart = 1.0 / 20;
constexpr unsigned MostSlack = 5;

std::uint64_t seedOf(const StoreProcessSettings &S) {
  if (S.RandomSeed_ != 0)
    return S.RandomSeed_;
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) ^ Device();
}

TrafficCore::Options coreOptions(const StoreEntrySettings &S) {
  TrafficCore::Options O;
  O.Placement_.Zone_ = S.Common_.Zone_;
  O.Budget_.Ratio_ = S.RepeatRatio_;
  O.Budget_.Window_ = S.RepeatWindow_;
  double Slack = static_cast<double>(S.RepeatSlack_) * SlackPart;
  O.Budget_.AlwaysAllowed_ =
      std::min(MostSlack, static_cast<unsigned>(std::max(0.0, Slack)));
  O.RevokeBound_ = S.Common_.RevokeBound_;
  return O;
}

TableWatch::Options watchOptions(std::string_view Table, Duration Wait,
                                 Duration Pace, std::uint64_t Seed) {
  TableWatch::Options O;
  O.Table_ = std::string(Table);
  O.Wait_ = Wait;
  O.Pace_ = Pace;
  O.Seed_ = Seed;
  return O;
}

std::string secondsText(Duration D) {
  std::array<char, 32> Text;
  double Value = std::chrono::duration<double>(D).count();
  int Length = std::snprintf(Text.data(), Text.size(), "%.2f", Value);
  return {Text.data(), static_cast<std::size_t>(Length)};
}
} // namespace

struct DirectEntry::State final : TrafficPort, SessionHandler {
  explicit State(StoreEntrySettings Settings);
  ~State() override;

  // ---- SessionHandler
  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerGone(ServerSession &S) override;

  // ---- TrafficPort
  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptOrder &O) override;
  void cancelAttempt(AttemptNumber A) override;
  void respond(CallNumber N, unsigned Status, const HeaderFields &Fields,
               std::string Body) override;
  void refuse(CallNumber N, const Call &C, unsigned Status, Cause Why,
              Duration RetryAfter) override;
  void beginStream(CallNumber N, unsigned Status,
                   const HeaderFields &Fields) override;
  void writeStream(CallNumber N, std::string_view Bytes) override;
  void finishStream(CallNumber N) override;
  void abortStream(CallNumber N) override;
  void tell(const CallReport &R) override;
  void tell(const AttemptReport &R) override;

  void start();
  void tick();
  void onOperatorRows(const TableWatch::Update &U);
  void onEndpointRows(const TableWatch::Update &U);
  void onOperatorCall(bool Ok, const TableWatch &W);
  void onEndpointCall(bool Ok, const TableWatch &W);
  void takeConfig(const std::string &Text);
  void onEngineTold(const EngineTold &T);
  void followEngines(TimePoint Now);
  bool isReady(TimePoint Now) const;
  void answerReady(ServerSession &S);
  void answerMetrics(ServerSession &S);
  ServerSession *session(CallNumber N) const;
  std::shared_ptr<ServerSession> release(CallNumber N);

  struct Attempt {
    std::shared_ptr<ClientLink> Link_;
    std::string Endpoint_;
  };
  // Answers questions on the ready and metrics addresses.
  struct Questions final : SessionHandler {
    State &Owner_;
    explicit Questions(State &Owner) : Owner_(Owner) {}
    void onRequest(const std::shared_ptr<ServerSession> &S,
                   InboundRequest R) override {
      if (platform::isReadyQuestion(R))
        Owner_.answerReady(*S);
      else if (R.Target_ == "/metrics")
        Owner_.answerMetrics(*S);
      else
        S->respond(404, {}, "");
    }
    void onCallerGone(ServerSession &) override {}
  };

  StoreEntrySettings Settings_;
  EventLog Log_;
  Metrics Metrics_;
  IoThread Io_;
  platform::StoreWire Codec_;
  StoreClient Store_;
  Questions Questions_;
  LinkPool Links_;
  TrafficCore Core_;
  std::shared_ptr<HttpListener> Callers_;
  std::shared_ptr<HttpListener> Ready_;
  std::shared_ptr<HttpListener> MetricsServer_;
  std::optional<StoreWatch> OperatorWatch_;
  std::optional<StoreWatch> EndpointWatch_;
  std::unique_ptr<EngineNews> News_;
  std::map<std::string, EngineTold> LastTold_;
  std::unordered_map<CallNumber, std::shared_ptr<ServerSession>> Sessions_;
  std::unordered_map<AttemptNumber, Attempt> Attempts_;
  CallNumber NextCall_ = 1;
  TimePoint SweptAt_{};
  bool EndpointsListed_ = false;
  bool OperatorAway_ = false;
  bool EndpointAway_ = false;
  bool WasReady_ = false;
  std::atomic<bool> Stopping_{false};
  std::string CallersAddress_;
  std::string ReadyAddress_;
  std::string MetricsAddress_;
};

DirectEntry::State::State(StoreEntrySettings Settings)
    : Settings_(std::move(Settings)),
      Log_({.Process_ = Settings_.Common_.Process_.str()}),
      Io_("requests", WorkRing),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      Questions_(*this), Links_(Io_.context(), {}),
      Core_(coreOptions(Settings_), *this, Random(seedOf(Settings_.Common_))),
      Callers_(std::make_shared<HttpListener>(Io_.context(), SessionLimits{},
                                              *this)),
      Ready_(std::make_shared<HttpListener>(Io_.context(), SessionLimits{},
                                            Questions_)),
      MetricsServer_(std::make_shared<HttpListener>(
          Io_.context(), SessionLimits{}, Questions_)) {
  Log_.write(LogLine("start")
                 .text("role", "entry")
                 .text("zone", Settings_.Common_.Zone_.str())
                 .text("store", Settings_.Common_.Store_)
                 .text("version", HAWTHORNROAD_VERSION)
                 .count("wall_ms", EventLog::wallMilliseconds()),
             true);
  CallersAddress_ = Callers_->open(Settings_.CallerListen_);
  ReadyAddress_ = Ready_->open(Settings_.ReadyListen_);
  if (!Settings_.Common_.MetricsListen_.empty())
    MetricsAddress_ = MetricsServer_->open(Settings_.Common_.MetricsListen_);
  if (Settings_.AgentPort_ != 0) {
    PeerNet::Self Self;
    Self.Process_ = Settings_.Common_.Process_;
    Self.Incarnation_ =
        static_cast<Incarnation>(bootNow().time_since_epoch().count());
    Self.Zone_ = Settings_.Common_.Zone_;
    Self.Role_ = "entry";
    News_ = std::make_unique<EngineNews>(
        Io_, Self, std::to_string(Settings_.AgentPort_),
        [this](const EngineTold &T) { onEngineTold(T); });
  }
  Io_.submit([this] { start(); });
}

DirectEntry::State::~State() {
  Io_.stop();
  Log_.write(LogLine("stop").count("open_requests", Core_.open()), true);
}

void DirectEntry::State::start() {
  std::uint64_t Seed = seedOf(Settings_.Common_);
  OperatorWatch_.emplace(
      Io_.context(), Store_,
      watchOptions(platform::OperatorTable,
                   std::chrono::duration_cast<Duration>(
                       Settings_.Common_.RevokeBound_ * OperatorWaitShare),
                   Duration::zero(), Seed),
      bootNow,
      StoreWatch::Callbacks{
          [this](const TableWatch::Update &U) { onOperatorRows(U); },
          [this](bool Ok, const TableWatch &W) { onOperatorCall(Ok, W); }});
  EndpointWatch_.emplace(
      Io_.context(), Store_,
      watchOptions(platform::EndpointTable, EndpointWait,
                   std::chrono::duration_cast<Duration>(
                       Settings_.Common_.DrainBound_ * EndpointPaceShare),
                   Seed + 1),
      bootNow,
      StoreWatch::Callbacks{
          [this](const TableWatch::Update &U) { onEndpointRows(U); },
          [this](bool Ok, const TableWatch &W) { onEndpointCall(Ok, W); }});
  OperatorWatch_->start();
  EndpointWatch_->start();
  tick();
}

void DirectEntry::State::tick() {
  TimePoint Now = bootNow();
  Core_.tick(Now);
  if (Now - SweptAt_ >= SweepPeriod) {
    SweptAt_ = Now;
    Links_.sweep(Now);
    if (News_)
      News_->tick(Now);
  }
  bool Ready = isReady(Now);
  if (Ready != WasReady_) {
    WasReady_ = Ready;
    auto Age = Core_.lease().age(Now);
    Log_.write(LogLine(Ready ? "ready" : "not_ready")
                   .flag("config", Core_.config() != nullptr)
                   .flag("endpoints", EndpointsListed_)
                   .flag("stopping", Stopping_.load())
                   .millis("lease_age_ms", Age.value_or(Duration::zero())),
               true);
  }
  Io_.after(TickPeriod, [this] { tick(); });
}

// ---- What the store tells ---------------------------------------------------

void DirectEntry::State::onOperatorRows(const TableWatch::Update &U) {
  TimePoint Now = bootNow();
  for (const StoreRow &Row : U.Rows_) {
    if (Row.IsRemoved_)
      continue;
    try {
      if (Row.Key_ == platform::ConfigKey) {
        takeConfig(Row.Value_);
      } else if (auto V = platform::decodeVersion(Row.Key_, Row.Value_)) {
        TimePoint Bound = Now + Settings_.Common_.VersionBound_;
        Core_.requireVersion(V->Model_, V->Version_, Bound - VersionMargin,
                             Bound - VersionHardMargin);
        Log_.write(LogLine("version_wanted")
                       .text("model", V->Model_)
                       .count("version", V->Version_),
                   true);
        if (News_)
          News_->setNewest(V->Version_);
      }
    } catch (const Error &E) {
      // The store takes only valid texts: one that is not is of a later kind.
      // What was in force stays.
      Log_.write(LogLine("config_unreadable")
                     .text("key", Row.Key_)
                     .text("detail", E.what()),
                 true);
    }
  }
}

void DirectEntry::State::takeConfig(const std::string &Text) {
  SharedConfig Config = RoutingConfig::build(platform::decodeConfig(Text));
  bool Taken = Core_.configure(Config, bootNow());
  Log_.write(LogLine("config")
                 .count("version", Config->version())
                 .flag("in_force", Taken)
                 .count("routes", Config->parts().Routes_.size())
                 .count("customers", Config->parts().Customers_.size()),
             true);
  if (!Taken)
    return;
  const RequestBounds &L = Config->limits();
  SessionLimits Limits;
  Limits.HeaderBytes_ = L.HeaderBytes_;
  Limits.BodyBytes_ = L.BodyBytes_;
  Limits.HeaderTimeout_ = L.HeaderTimeout_;
  Limits.IdleTimeout_ = L.IdleTimeout_;
  Callers_->setLimits(Limits);
  Metrics_.set("hawthornroad_config_version",
               static_cast<double>(Config->version()));
}

void DirectEntry::State::onEndpointRows(const TableWatch::Update &U) {
  TimePoint Now = bootNow();
  EndpointsListed_ = true;
  std::vector<Endpoint> All;
  std::vector<EndpointId> Gone;
  for (const StoreRow &Row : U.Rows_) {
    EndpointId Id(Row.Key_);
    if (Row.IsRemoved_) {
      Log_.write(LogLine("endpoint_gone").text("endpoint", Row.Key_));
      Gone.push_back(Id);
      continue;
    }
    try {
      Endpoint E = platform::decodeEndpoint(Row.Key_, Row.Value_);
      const Endpoint *Known = Core_.endpoints().find(Id);
      if (Known == nullptr || *Known != E)
        Log_.write(LogLine(Known == nullptr ? "endpoint" : "endpoint_changed")
                       .text("endpoint", Row.Key_)
                       .text("service", E.Service_.str())
                       .text("address", E.Address_)
                       .text("zone", E.Zone_.str())
                       .flag("draining", E.IsDraining_)
                       .count("version", E.Version_));
      if (!U.IsWhole_)
        Core_.endpoints().changed(E, Now);
      All.push_back(std::move(E));
    } catch (const Error &E) {
      Log_.write(LogLine("endpoint_unreadable")
                     .text("endpoint", Row.Key_)
                     .text("detail", E.what()));
    }
  }
  if (U.IsWhole_)
    Core_.endpoints().listed(All, Now);
  else
    Core_.endpoints().removed(Gone, Now);
  std::set<std::string> Present;
  for (const auto &[Id, Each] : Core_.endpoints().all())
    Present.insert(Id.str());
  Links_.keepOnly(Present);
  Core_.endpointsChanged(Now);
  followEngines(Now);
}

void DirectEntry::State::followEngines(TimePoint Now) {
  if (!News_)
    return;
  std::map<std::string, bool> Engines;
  for (const auto &[Id, Each] : Core_.endpoints().all())
    if (Each.Endpoint_.HasModel_)
      Engines[Each.Endpoint_.Address_] =
          Each.Endpoint_.Zone_ == Settings_.Common_.Zone_;
  News_->follow(Engines, Now);
}

void DirectEntry::State::onEngineTold(const EngineTold &T) {
  EngineTold &Last = LastTold_[T.Address_];
  bool IsAway = T.Phase_ != EnginePhase::Serving;
  if (Last.Phase_ != T.Phase_ || Last.Version_ != T.Version_)
    Log_.write(LogLine("engine_told")
                   .text("address", T.Address_)
                   .flag("away", IsAway)
                   .count("version", T.Version_));
  Last = T;
  Core_.engineTold(T.Address_, IsAway, T.Version_, T.Load_, bootNow());
}

void DirectEntry::State::onOperatorCall(bool Ok, const TableWatch &W) {
  if (auto Proof = W.provenAt())
    Core_.lease().prove(*Proof);
  if (Ok == !OperatorAway_)
    return;
  OperatorAway_ = !Ok;
  Log_.write(LogLine(Ok ? "store_back" : "store_lost")
                 .text("table", platform::OperatorTable),
             true);
}

void DirectEntry::State::onEndpointCall(bool Ok, const TableWatch &W) {
  if (Ok == !EndpointAway_)
    return;
  EndpointAway_ = !Ok;
  TimePoint Now = bootNow();
  if (Ok)
    Core_.endpoints().storeBack(Now);
  else
    Core_.endpoints().storeLost(Now);
  Log_.write(LogLine(Ok ? "store_back" : "store_lost")
                 .text("table", platform::EndpointTable),
             true);
}

// ---- Readiness and metrics --------------------------------------------------

bool DirectEntry::State::isReady(TimePoint Now) const {
  if (Stopping_.load() || !Core_.config() || !EndpointsListed_)
    return false;
  auto Age = const_cast<TrafficCore &>(Core_).lease().age(Now);
  return Age && *Age < std::chrono::duration_cast<Duration>(
                           Settings_.Common_.RevokeBound_ * ReadyShare);
}

void DirectEntry::State::answerReady(ServerSession &S) {
  S.respond(isReady(bootNow()) ? 200 : 503, {}, "");
}

void DirectEntry::State::answerMetrics(ServerSession &S) {
  StoreCounters C = Store_.counters();
  Metrics_.set("hawthornroad_store_calls_total", static_cast<double>(C.Calls_));
  Metrics_.set("hawthornroad_store_failures_total",
               static_cast<double>(C.Failures_));
  Metrics_.set("hawthornroad_store_sent_bytes_total",
               static_cast<double>(C.BytesSent_));
  Metrics_.set("hawthornroad_store_received_bytes_total",
               static_cast<double>(C.BytesReceived_));
  Metrics_.set("hawthornroad_endpoint_connections_opened_total",
               static_cast<double>(Links_.opened()));
  Metrics_.set("hawthornroad_log_dropped_lines_total",
               static_cast<double>(Log_.dropped()));
  Metrics_.set("hawthornroad_requests_open", static_cast<double>(Core_.open()));
  S.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
            Metrics_.render());
}

// ---- Callers ----------------------------------------------------------------

void DirectEntry::State::onRequest(const std::shared_ptr<ServerSession> &S,
                                   InboundRequest R) {
  if (platform::isReadyQuestion(R))
    return answerReady(*S);
  CallNumber N = NextCall_++;
  S->setTag(N);
  Sessions_[N] = S;
  Core_.arrive(N, platform::decodeCall(std::move(R)), bootNow());
}

void DirectEntry::State::onCallerGone(ServerSession &S) {
  CallNumber N = S.tag();
  Sessions_.erase(N);
  Core_.callerGone(N, bootNow());
}

ServerSession *DirectEntry::State::session(CallNumber N) const {
  auto Found = Sessions_.find(N);
  return Found == Sessions_.end() ? nullptr : Found->second.get();
}

std::shared_ptr<ServerSession> DirectEntry::State::release(CallNumber N) {
  auto Found = Sessions_.find(N);
  if (Found == Sessions_.end())
    return nullptr;
  auto S = std::move(Found->second);
  Sessions_.erase(Found);
  return S;
}

void DirectEntry::State::respond(CallNumber N, unsigned Status,
                                 const HeaderFields &Fields, std::string Body) {
  if (auto S = release(N))
    S->respond(Status, Fields, std::move(Body));
}

void DirectEntry::State::refuse(CallNumber N, const Call &C, unsigned Status,
                                Cause Why, Duration RetryAfter) {
  auto S = release(N);
  if (!S)
    return;
  HeaderFields Fields = platform::refusalHeaders(C);
  Fields.push_back({"Content-Type", "application/problem+json"});
  if (RetryAfter > Duration::zero())
    Fields.push_back({"Retry-After", secondsText(RetryAfter)});
  S->respond(Status, Fields,
             "{\"cause\":\"" + std::string(toString(Why)) + "\"}");
}

void DirectEntry::State::beginStream(CallNumber N, unsigned Status,
                                     const HeaderFields &Fields) {
  if (ServerSession *S = session(N))
    S->begin(Status, Fields);
}

void DirectEntry::State::writeStream(CallNumber N, std::string_view Bytes) {
  if (ServerSession *S = session(N))
    S->write(Bytes);
}

void DirectEntry::State::finishStream(CallNumber N) {
  if (auto S = release(N))
    S->finish();
}

void DirectEntry::State::abortStream(CallNumber N) {
  if (auto S = release(N))
    S->abort();
}

// ---- Endpoints --------------------------------------------------------------

void DirectEntry::State::beginAttempt(AttemptNumber A, const Call &C,
                                      const AttemptOrder &O) {
  auto Link = Links_.take(O.Endpoint_.str(), O.Address_);
  Attempts_[A] = {Link, O.Endpoint_.str()};
  ClientLink::Events E;
  E.OnHead_ = [this, A](unsigned Status, HeaderFields Fields) {
    Core_.onHead(A, platform::decodeAnswer(Status, std::move(Fields)),
                 bootNow());
  };
  E.OnBody_ = [this, A](std::string Bytes) {
    Core_.onBody(A, std::move(Bytes), bootNow());
  };
  E.OnEnd_ = [this, A](bool) {
    auto Found = Attempts_.find(A);
    if (Found != Attempts_.end()) {
      Links_.giveBack(Found->second.Endpoint_, Found->second.Link_);
      Attempts_.erase(Found);
    }
    Core_.onEnd(A, bootNow());
  };
  E.OnFail_ = [this, A](const LinkFailure &F) {
    Attempts_.erase(A);
    Core_.onFail(A, F.NeverSent_,
                 std::string(toString(F.Step_)) + ": " + F.Message_, bootNow());
  };
  Link->send(requestText(platform::encodeAttempt(C, O), O.Address_),
             std::move(E));
}

void DirectEntry::State::cancelAttempt(AttemptNumber A) {
  auto Found = Attempts_.find(A);
  if (Found == Attempts_.end())
    return;
  auto Link = std::move(Found->second.Link_);
  Attempts_.erase(Found);
  Link->abandon();
}

// ---- Log --------------------------------------------------------------------

void DirectEntry::State::tell(const AttemptReport &R) {
  LogLine L("attempt");
  L.text("request", R.Id_)
      .text("what", R.What_)
      .text("endpoint", R.Endpoint_.str())
      .text("address", R.Address_)
      .count("ordinal", R.Ordinal_);
  if (R.What_ == "begun") {
    L.number("load", R.Belief_.Load_)
        .number("unread", R.Belief_.Unread_)
        .count("own", R.Belief_.Own_)
        .count("places", R.Belief_.Places_)
        .count("version", R.Belief_.Version_);
    if (R.Belief_.ReportAge_)
      L.millis("load_age_ms", *R.Belief_.ReportAge_);
  } else {
    L.text("why", R.Why_).flag("may_have_run", R.MayHaveRun_);
    L.millis("took_ms", R.Took_);
    Metrics_.count("hawthornroad_attempts_total",
                   {{"end", std::string(R.What_)}});
  }
  Log_.write(L);
}

void DirectEntry::State::tell(const CallReport &R) {
  LogLine L("request");
  L.text("request", R.Id_)
      .text("route", R.Route_)
      .text("customer", R.Customer_.str())
      .count("status", R.Status_)
      .text("cause", toString(R.Cause_))
      .flag("may_have_run", R.MayHaveRun_)
      .flag("caller_gone", R.CallerGone_)
      .count("attempts", R.Attempts_)
      .text("endpoint", R.LastEndpoint_.str())
      .count("config", R.ConfigVersion_)
      .count("events", R.Events_)
      .millis("waited_ms", R.Waited_)
      .millis("whole_ms", R.Whole_);
  if (R.FirstByte_)
    L.millis("first_ms", *R.FirstByte_).millis("gap_ms", R.LongestGap_);
  Log_.write(L);
  Metrics_.count("hawthornroad_requests_total",
                 {{"status", std::to_string(R.Status_)},
                  {"cause", std::string(toString(R.Cause_))}});
  if (R.FirstByte_)
    Metrics_.observe("hawthornroad_first_byte_seconds",
                     std::chrono::duration<double>(*R.FirstByte_).count(),
                     {{"route", R.Route_}, {"customer", R.Customer_.str()}});
}

// ---- Public -----------------------------------------------------------------

DirectEntry::DirectEntry(StoreEntrySettings Settings)
    : State_(std::make_unique<State>(std::move(Settings))) {}

DirectEntry::~DirectEntry() = default;

boost::json::object DirectEntry::readyLine() const {
  boost::json::object Line;
  Line["ready"] = "entry";
  Line["process"] = State_->Settings_.Common_.Process_.str();
  Line["callers"] = State_->CallersAddress_;
  Line["balancer"] = State_->ReadyAddress_;
  Line["metrics"] = State_->MetricsAddress_;
  return Line;
}

void DirectEntry::reload(const std::string &File) {
  try {
    StoreEntrySettings Read = StoreEntrySettings::load(File);
    bool Same = Read == State_->Settings_;
    State_->Log_.write(LogLine("reload").flag("changed", !Same), true);
  } catch (const Error &E) {
    State_->Log_.write(LogLine("reload_refused").text("detail", E.what()),
                       true);
  }
}

void DirectEntry::drain() {
  State &S = *State_;
  TimePoint Begun = bootNow();
  TimePoint Last = Begun + S.Settings_.Common_.StopBound_ - StopMargin;
  S.Stopping_.store(true);
  S.Log_.write(LogLine("stopping"), true);
  std::this_thread::sleep_for(BalancerNotice);
  // What is sent from now on meets a closed port, which its caller sees at
  // once. A request on a kept connection is refused: it might not end in time.
  S.Io_.submit([&S] {
    S.Callers_->stopAccepting();
    S.Core_.stop();
  });
  for (;;) {
    std::promise<bool> Done;
    auto Answer = Done.get_future();
    S.Io_.submit([&] {
      S.Callers_->leaveAll();
      Done.set_value(S.Callers_->sessions() == 0);
    });
    if (Answer.get() || bootNow() >= Last)
      break;
    std::this_thread::sleep_for(StopPoll);
  }
  std::this_thread::sleep_for(StopPoll);
}

} // namespace hawthornroad
