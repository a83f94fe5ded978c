#include "hawthornroad/entry/DirectEntryState.h"
#include "hawthornroad/runtime/Seed.h"
#include "platform/Names.h"

#include <algorithm>
#include <cmath>
#include <future>
#include <thread>

namespace hawthornroad {

namespace {
constexpr std::size_t WorkRingCapacity = 1024;
// How often time limits are checked; the shortest one is 80 ms.
constexpr Duration TickPeriod = Milliseconds(20);
// A longer time without a tick is logged: this thread had no processor, or a
// task on it took as long.
constexpr Duration MinLoggedPause = Milliseconds(250);
// For how long a pause is named beside the answers that are cut after it.
constexpr Duration PauseMemory = Seconds(5);
// How often idle connections are checked.
constexpr Duration SweepPeriod = Milliseconds(200);
// Read interval of the endpoint table, as a share of the bound on draining
// endpoints. The table changes often and every read costs a call, so it is read
// as rarely as the bound allows, with as much time again for the answer and for
// requests in transit.
constexpr double EndpointPaceShare = 0.45;
// How long the store may hold a call while nothing changes. A call for the
// operators' table also renews the proof that the configuration is current: it
// is held for this share of the bound on configurations, so that the proof is
// still valid when an answer is late by as much again (ConfigFence).
constexpr Duration EndpointWait = Milliseconds(3000);
constexpr double OperatorWaitShare = 0.4;
// The same while other entries depend on this one's proofs, as shares of the
// bounds on configurations and on draining endpoints. Calls for the operators'
// table are held by the store, since news of new weights should not be delayed;
// the endpoint table is read at an interval.
constexpr double ServingConfigWaitShare = 0.15;
constexpr double ServingConfigPaceShare = 0.1;
constexpr double ServingEndpointPaceShare = 0.3;
// Maximum age of data from another entry: a share of the bound on
// configurations, and for endpoints their read interval plus this margin.
constexpr double ConfigAgeShare = 0.5;
constexpr Duration EndpointAgeMargin = Milliseconds(350);
// The entry reports not ready when its last proof is older than this share of
// the operators' bound on revoked keys: it will soon stop accepting callers'
// keys.
constexpr double ReadyShare = 0.6;
// Planned stop: the balancer checks readiness every second and acts on the
// second failed check.
constexpr Duration BalancerDetectionTime = Milliseconds(2600);
constexpr Duration DrainPollPeriod = Milliseconds(20);
// Reserved at the end of a planned stop for the last answers, and how much of
// it callers have to take them.
constexpr Duration DrainMargin = Milliseconds(600);
constexpr Duration LastAnswersTime = Milliseconds(400);
Duration fractionOf(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

TrafficCore::Options coreOptions(const StoreEntrySettings &S) {
  TrafficCore::Options O;
  O.Placement_.Zone_ = S.Common_.Zone_;
  O.Placement_.Regions_ = S.Common_.Regions_;
  O.Budget_.Ratio_ = S.RepeatRatio_;
  O.Budget_.Window_ = S.RepeatWindow_;
  O.Budget_.Slack_ = S.RepeatSlack_;
  O.Budget_.StartedAt_ = bootNow();
  O.RevokeBound_ = S.Common_.RevokeBound_;
  O.Fence_ = ConfigFence::optionsFor(S.Common_.operatorBound());
  const EntryPolicy &P = S.Policy_;
  O.FairByCustomer_ = P.FairByCustomer_;
  O.LateGoBehind_ = P.LateGoBehind_;
  O.AsksForPlaces_ = P.AsksForPlaces_;
  O.MaxRest_ = P.MaxRest_;
  O.Cold_.Factor_ = S.Common_.ColdFactor_;
  O.Cold_.Slack_ = S.Common_.ColdSlack_;
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
      Io_("requests", WorkRingCapacity),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      StatusHandler_(*this), Links_(Io_.context(), {}),
      Core_(coreOptions(Settings_), *this,
            Random(seedOr(Settings_.Common_.RandomSeed_))),
      PartTable_(partTransport(Store_, bootNow), partOwner(),
                 Random(seedOr(Settings_.Common_.RandomSeed_))),
      Callers_(std::make_shared<HttpListener>(Io_.context(), SessionLimits{},
                                              *this)),
      Ready_(std::make_shared<HttpListener>(Io_.context(), SessionLimits{},
                                            StatusHandler_)),
      MetricsServer_(std::make_shared<HttpListener>(
          Io_.context(), SessionLimits{}, StatusHandler_)),
      Buffers_(BufferBudget::limitFor(Settings_.Common_.MemoryMb_)) {
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
        [this](wire::RowsAskT Query, TableRelay::Reply R) {
          Source_->ask(std::move(Query), std::move(R), bootNow());
        },
        [this](AttemptNumber A, const PlaceReply &W) {
          Core_.onPlaceReply(A, W, bootNow());
        });
  if (Notices_)
    Notices_->setPartsHandler(
        [this](const std::vector<PartEvidence> &Parts,
               const std::vector<EndpointStart> &Ended) {
          Core_.mergeParts(Parts, bootNow());
          Core_.noteEnded(Ended, bootNow());
        },
        [this] { return Core_.parts().all(); });
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
  Duration Bound = Common.operatorBound();
  TableSource::TableSetup Operators;
  Operators.Name_ = platform::OperatorTable;
  Operators.Wait_ = fractionOf(Bound, OperatorWaitShare);
  Operators.WaitWhenServing_ = fractionOf(Bound, ServingConfigWaitShare);
  Operators.PaceWhenServing_ = fractionOf(Bound, ServingConfigPaceShare);
  Operators.ListsWhenBehind_ = true;
  Operators.MaxAge_ = fractionOf(Bound, ConfigAgeShare);
  TableSource::TableSetup Endpoints;
  Endpoints.Name_ = platform::EndpointTable;
  Endpoints.Wait_ = EndpointWait;
  Endpoints.Pace_ = fractionOf(Common.DrainBound_, EndpointPaceShare);
  Endpoints.WaitWhenServing_ = Duration::zero();
  Endpoints.PaceWhenServing_ =
      fractionOf(Common.DrainBound_, ServingEndpointPaceShare);
  Endpoints.MaxAge_ = Endpoints.Pace_ + EndpointAgeMargin;
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

PartTable::Owner DirectEntry::State::partOwner() {
  PartTable::Owner O;
  O.Merge_ = [this](const std::vector<PartEvidence> &Parts) {
    Core_.mergeParts(Parts, bootNow());
  };
  O.Find_ = [this](PromptPart Part) { return Core_.parts().find(Part); };
  O.OnUnreadable_ = logUnreadableParts(Log_, RowFaults_);
  return O;
}

void DirectEntry::State::updatePartTable(TimePoint Now) {
  PartTable_.tick(Now);
  if (ArePartsRead_ || !PartTable_.isRead())
    return;
  ArePartsRead_ = true;
  Core_.partsRead();
  Log_.write(LogLine("prompt_parts_read")
                 .count("blocked", Core_.parts().blocked())
                 .count("known", Core_.parts().all().size()));
}

void DirectEntry::State::start() {
  Source_ = std::make_unique<TableSource>(Io_, sourceSetup(), Store_, Log_,
                                          sourceCallbacks());
  Source_->start();
  Core_.awaitParts();
  PartTable_.read(bootNow());
  tick();
}

void DirectEntry::State::notePause(TimePoint Now) {
  Duration Gap = TickedAt_ ? Now - *TickedAt_ : Duration::zero();
  TickedAt_ = Now;
  if (Now - PausedAt_ > PauseMemory)
    LongestPause_ = Duration::zero();
  if (Gap < MinLoggedPause)
    return;
  LongestPause_ = std::max(LongestPause_, Gap);
  PausedAt_ = Now;
  Log_.write(LogLine("paused")
                 .millis("gap_ms", Gap)
                 .count("open_requests", Core_.open()),
             true);
  Metrics_.observe("hawthornroad_pause_seconds",
                   std::chrono::duration<double>(Gap).count());
}

void DirectEntry::State::tick() {
  TimePoint Now = bootNow();
  notePause(Now);
  updatePartTable(Now);
  Core_.tick(Now);
  checkBuffers(Now);
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
  if (Stopping_.load() || !Core_.config() || !EndpointsListed_ ||
      Core_.awaitsParts(Now))
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
  TrafficCore::LostAnswers Lost = Core_.lostAnswers();
  Metrics_.set("hawthornroad_answers_lost_total",
               static_cast<double>(Lost.BeforeHead_), {{"head", "unsent"}});
  Metrics_.set("hawthornroad_answers_lost_total",
               static_cast<double>(Lost.AfterHead_), {{"head", "sent"}});
  setRepeatMetrics();
  S.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
            Metrics_.render());
}

void DirectEntry::State::setRepeatMetrics() {
  auto Set = [this](const ServiceName &Service, const char *What,
                    std::uint64_t Value) {
    Metrics_.set("hawthornroad_repeats_total", static_cast<double>(Value),
                 {{"service", Service.str()}, {"what", What}});
  };
  for (const auto &[Service, U] : Core_.repeats().usage()) {
    Set(Service, "share", U.Taken_ - U.TakenFromFixed_);
    Set(Service, "fixed", U.TakenFromFixed_);
    Set(Service, "denied", U.Denied_);
    Set(Service, "given_back", U.GivenBack_);
    Metrics_.set("hawthornroad_requests_late_total",
                 static_cast<double>(U.LateRequests_),
                 {{"service", Service.str()}});
    Metrics_.set("hawthornroad_requests_starting_total",
                 static_cast<double>(U.StartingRequests_),
                 {{"service", Service.str()}});
  }
  auto SetWindow = [this](const ServiceName &Service, const char *What,
                          double Count) {
    Metrics_.set("hawthornroad_repeat_window", Count,
                 {{"service", Service.str()}, {"what", What}});
  };
  for (const auto &[Service, W] : Core_.repeats().windows(bootNow())) {
    SetWindow(Service, "requests", W.Requests_);
    SetWindow(Service, "repeats", W.Repeats_);
    SetWindow(Service, "outstanding", W.Outstanding_);
    SetWindow(Service, "tokens", W.Tokens_);
    SetWindow(Service, "missing", W.Missing_);
  }
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

void DirectEntry::noteRepeatedStop() {
  State_->Log_.write(LogLine("stop_repeated"), true);
}

void DirectEntry::drain() {
  State &S = *State_;
  TimePoint Begun = bootNow();
  TimePoint Last = Begun + S.Settings_.Common_.StopBound_ - DrainMargin;
  S.Stopping_.store(true);
  S.Log_.write(LogLine("stopping"), true);
  S.Io_.submit([&S, Begun, Last] {
    S.Core_.stop({Begun + BalancerDetectionTime, Last});
  });
  std::this_thread::sleep_for(BalancerDetectionTime);
  // New connections meet a closed port, which their callers see at once. A
  // request on a keep-alive connection is refused by now, since it might not
  // end in time.
  S.Io_.submit([&S] { S.Callers_->stopAccepting(); });
  S.drainUntil(Last);
  S.Io_.submit([&S] { S.Core_.endAll(bootNow()); });
  S.drainUntil(Last + LastAnswersTime);
  S.closeConnections();
}

void DirectEntry::State::closeConnections() {
  std::promise<void> Done;
  Io_.submit([&] {
    Callers_->closeAll();
    Done.set_value();
  });
  Done.get_future().wait();
}

void DirectEntry::State::drainUntil(TimePoint Last) {
  for (;;) {
    std::promise<bool> Done;
    auto Answer = Done.get_future();
    Io_.submit([&] {
      Callers_->drainAll();
      Done.set_value(Callers_->sessions() == 0);
    });
    if (Answer.get() || bootNow() >= Last)
      break;
    std::this_thread::sleep_for(DrainPollPeriod);
  }
}

} // namespace hawthornroad
