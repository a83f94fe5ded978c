#include "hawthornroad/entry/DirectEntryState.h"
#include "hawthornroad/runtime/Seed.h"
#include "platform/Names.h"

#include <algorithm>
#include <cmath>
#include <future>
#include <thread>

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
// operators' table also renews the proof of the configuration: this part of the
// bound on configurations, so that an answer that is late by as much again
// still finds the proof good (ConfigFence).
constexpr Duration EndpointWait = Milliseconds(3000);
constexpr double OperatorWaitShare = 0.4;
// While other entries rest on this one's proofs, as parts of the bounds on
// configurations and on leaving endpoints. The operators' table is held, for
// word of new weights should not wait; the endpoints' is asked at a pace.
constexpr double ConfigWaitAskedShare = 0.15;
constexpr double ConfigPaceAskedShare = 0.1;
constexpr double EndpointPaceAskedShare = 0.3;
// Knowledge from another entry may be this old: part of the bound on
// configurations, and so much beyond the pace at which endpoints are read.
constexpr double ConfigAgeShare = 0.5;
constexpr Duration EndpointAgeRoom = Milliseconds(350);
// The entry says it is not ready when its last proof is older than this part of
// the operators' bound: callers' keys will soon not be accepted here.
constexpr double ReadyShare = 0.6;
// A planned stop: the balancer asks each second and acts on the second miss.
constexpr Duration BalancerNotice = Milliseconds(2600);
constexpr Duration StopPoll = Milliseconds(20);
// Left over at the end of a planned stop, for the last answers to be written.
constexpr Duration StopMargin = Milliseconds(600);
// One entry's part of the operators' slack for repeats: entries do not know
// their number, so this must hold with as many as are foreseen.
constexpr double SlackPart = 1.0 / 20;
constexpr double MostSlack = 5;

Duration part(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

TrafficCore::Options coreOptions(const StoreEntrySettings &S) {
  TrafficCore::Options O;
  O.Placement_.Zone_ = S.Common_.Zone_;
  O.Budget_.Ratio_ = S.RepeatRatio_;
  O.Budget_.Window_ = S.RepeatWindow_;
  double Slack = S.RepeatSlack_ * SlackPart;
  O.Budget_.AlwaysAllowed_ = static_cast<unsigned>(std::min(MostSlack, Slack));
  O.RevokeBound_ = S.Common_.RevokeBound_;
  O.Fence_ = ConfigFence::optionsFor(S.Common_.ApplyBound_);
  const EntryPolicy &P = S.Policy_;
  O.FairByCustomer_ = P.FairByCustomer_;
  O.LateGoBehind_ = P.LateGoBehind_;
  O.AsksForPlaces_ = P.AsksForPlaces_;
  O.LineShare_ = P.LineShare_;
  O.LineLeast_ = P.LineLeast_;
  O.Placement_.MostReading_ =
      std::chrono::duration<double, std::milli>(P.MostReading_).count();
  O.Placement_.CrossZoneCost_ =
      std::chrono::duration<double, std::milli>(P.CrossZoneCost_).count();
  O.Placement_.KeptFromLate_ = P.KeptFromLate_;
  return O;
}
} // namespace

DirectEntry::State::State(StoreEntrySettings Settings)
    : Settings_(std::move(Settings)),
      Log_({.Process_ = Settings_.Common_.Process_.str()}),
      Io_("requests", WorkRing),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      Questions_(*this), Links_(Io_.context(), {}),
      Core_(coreOptions(Settings_), *this,
            Random(seedOr(Settings_.Common_.RandomSeed_))),
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
  if (Settings_.AgentPort_ != 0)
    Notices_ = std::make_unique<EngineNotices>(
        Io_, peerSelf(), std::to_string(Settings_.AgentPort_),
        [this](const EngineUpdate &T) { onEngineUpdate(T); },
        [this](wire::RowsAskT Question, TableRelay::Reply R) {
          Source_->ask(std::move(Question), std::move(R), bootNow());
        },
        [this](AttemptNumber A, const PlaceReply &W) {
          Core_.onPlaceReply(A, W, bootNow());
        });
  Io_.submit([this] { start(); });
}

DirectEntry::State::~State() {
  Io_.stop();
  Log_.write(LogLine("stop").count("open_requests", Core_.open()), true);
}

PeerNet::Self DirectEntry::State::peerSelf() const {
  PeerNet::Self Self;
  Self.Process_ = Settings_.Common_.Process_;
  Self.Incarnation_ =
      static_cast<Incarnation>(bootNow().time_since_epoch().count());
  Self.Zone_ = Settings_.Common_.Zone_;
  Self.Role_ = "entry";
  return Self;
}

TableSource::Setup DirectEntry::State::sourceSetup() const {
  const StoreProcessSettings &Common = Settings_.Common_;
  TableSource::TableSetup Operators;
  Operators.Name_ = platform::OperatorTable;
  Operators.Wait_ = part(Common.ApplyBound_, OperatorWaitShare);
  Operators.WaitAsked_ = part(Common.ApplyBound_, ConfigWaitAskedShare);
  Operators.PaceAsked_ = part(Common.ApplyBound_, ConfigPaceAskedShare);
  Operators.ListsWhenBehind_ = true;
  Operators.MaxAge_ = part(Common.ApplyBound_, ConfigAgeShare);
  TableSource::TableSetup Endpoints;
  Endpoints.Name_ = platform::EndpointTable;
  Endpoints.Wait_ = EndpointWait;
  Endpoints.Pace_ = part(Common.DrainBound_, EndpointPaceShare);
  Endpoints.WaitAsked_ = Duration::zero();
  Endpoints.PaceAsked_ = part(Common.DrainBound_, EndpointPaceAskedShare);
  Endpoints.MaxAge_ = Endpoints.Pace_ + EndpointAgeRoom;
  TableSource::Setup S;
  S.Self_ = peerSelf();
  S.PeerListen_ = Settings_.PeerListen_;
  S.LinkMbps_ = Settings_.LinkMbps_;
  S.Seed_ = seedOr(Common.RandomSeed_);
  S.Tables_ = {std::move(Operators), std::move(Endpoints)};
  return S;
}

TableSource::Callbacks DirectEntry::State::sourceCallbacks() {
  TableSource::Callbacks C;
  C.OnRows_ = [this](const std::string &Table, const TableWatch::Update &U) {
    Table == platform::OperatorTable ? onOperatorRows(U) : onEndpointRows(U);
  };
  C.OnProof_ = [this](const std::string &Table, TimePoint AsOf) {
    if (Table == platform::OperatorTable)
      Core_.prove(AsOf, bootNow());
  };
  C.OnReached_ = [this](TimePoint At) { Core_.reached(At); };
  C.OnCall_ = [this](const std::string &Table, bool Ok) {
    Table == platform::OperatorTable ? onOperatorCall(Ok) : onEndpointCall(Ok);
  };
  return C;
}

void DirectEntry::State::start() {
  Source_ = std::make_unique<TableSource>(Io_, sourceSetup(), Store_, Log_,
                                          sourceCallbacks());
  Source_->start();
  tick();
}

void DirectEntry::State::tick() {
  TimePoint Now = bootNow();
  Core_.tick(Now);
  Source_->tick(Now);
  if (Now - SweptAt_ >= SweepPeriod) {
    SweptAt_ = Now;
    Links_.sweep(Now);
    if (Notices_)
      Notices_->tick(Now);
  }
  bool Ready = isReady(Now);
  if (Ready != WasReady_) {
    WasReady_ = Ready;
    auto Age = Core_.fence().age(Now);
    Log_.write(LogLine(Ready ? "ready" : "not_ready")
                   .flag("config", Core_.config() != nullptr)
                   .flag("endpoints", EndpointsListed_)
                   .flag("stopping", Stopping_.load())
                   .text("fence", toString(Core_.fence().state(Now)))
                   .millis("lease_age_ms", Age.value_or(Duration::zero())),
               true);
  }
  Io_.after(TickPeriod, [this] { tick(); });
}

// ---- Readiness and metrics --------------------------------------------------

bool DirectEntry::State::isReady(TimePoint Now) const {
  if (Stopping_.load() || !Core_.config() || !EndpointsListed_)
    return false;
  auto Age = Core_.fence().age(Now);
  return Age && Core_.fence().permits(Now) &&
         *Age < std::chrono::duration_cast<Duration>(
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
  Metrics_.set("hawthornroad_reads_store", Source_->readsStore() ? 1 : 0);
  Metrics_.set("hawthornroad_table_questions_answered_total",
               static_cast<double>(Source_->answered()));
  Metrics_.set("hawthornroad_endpoint_connections_opened_total",
               static_cast<double>(Links_.opened()));
  Metrics_.set("hawthornroad_log_dropped_lines_total",
               static_cast<double>(Log_.dropped()));
  Metrics_.set("hawthornroad_requests_open", static_cast<double>(Core_.open()));
  S.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
            Metrics_.render());
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
