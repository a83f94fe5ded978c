#include "hawthornroad/agent/StoreAgent.h"

#include "hawthornroad/agent/PieceTransfer.h"
#include "hawthornroad/agent/ReadBack.h"
#include "hawthornroad/http/ServerSession.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/staging/LoadTurn.h"
#include "hawthornroad/store/StoreClient.h"
#include "platform/EngineWire.h"
#include "platform/Names.h"
#include "platform/StoreWire.h"

#include <random>

namespace hawthornroad {

namespace {
constexpr std::size_t WorkRing = 256;
// Versions count up from here.
constexpr WeightVersion FirstVersion = 1;
// While a version is on its way, and otherwise.
constexpr Duration BusyTick = Milliseconds(30);
constexpr Duration IdleTick = Milliseconds(150);
// The operators' table changes seldom, and calls are dear.
constexpr Duration OperatorWait = Seconds(28);
// Engines come and go while a version is on its way.
constexpr Duration PeersAgain = Milliseconds(1800);
constexpr Duration ManifestLimit = Milliseconds(2500);
constexpr Duration ManifestAgain = Milliseconds(300);
constexpr Duration EngineLimit = Seconds(1);
// An order is answered at once or not at all.
constexpr Duration OrderLimit = Seconds(1);
// How long pieces are kept in memory after a version is whole, for peers that
// are still without.
constexpr Duration PiecesKept = Seconds(5);
constexpr std::size_t EngineCallsAtOnce = 3;
// Connections between agents are closed soon after a transfer: keeping them
// alive costs both sides a wake-up for nothing.
constexpr Duration PeerIdle = Seconds(4);
// Part of the VM's link that pieces may take: the engine's answers need a
// tenth of it, in bursts.
constexpr double UploadShare = 0.85;
// A version named this much later than the one under way waits for it.
constexpr Duration SwitchBefore = Milliseconds(1200);
// Before the bound, for the load itself to be through.
constexpr Duration BoundMargin = Milliseconds(700);

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}
std::string portOf(const std::string &Address) {
  return Address.substr(Address.rfind(':') + 1);
}

std::uint64_t seedOf(const StoreProcessSettings &S) {
  if (S.RandomSeed_ != 0)
    return S.RandomSeed_;
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) ^ Device();
}

HttpCalls::Options engineOptions() {
  HttpCalls::Options O;
  O.AtOnce_ = EngineCallsAtOnce;
  O.MaxSpare_ = EngineCallsAtOnce;
  return O;
}

PeerNet::Limits peerLimits() {
  PeerNet::Limits L;
  L.IdleAfter_ = PeerIdle;
  return L;
}

LoadTurn::Options turnOptions(const StoreProcessSettings &S) {
  LoadTurn::Options O;
  O.Bound_ = S.VersionBound_ - BoundMargin;
  return O;
}
} // namespace

struct StoreAgent::State final : SessionHandler {
  explicit State(StoreAgentSettings Settings);
  ~State() override;

  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerGone(ServerSession &) override {}

  void start();
  void tick();
  void step(TimePoint Now);
  void onOperatorRows(const TableWatch::Update &U);
  void takeVersion(const ModelVersion &V, TimePoint Now);
  void takeFirstVersion(TimePoint Now);
  // V is the version to bring about from now on.
  void pursue(const ModelVersion &V, TimePoint HeardAt, TimePoint Now);
  // What is declared of this VM's engine; null until known.
  const EnginePace *pace() const;
  void report();
  void onReport(const HttpCalls::Result &R);
  // The pieces of the wanted version, from nothing to whole.
  void fetchManifest(TimePoint Now);
  void onManifest(const ModelVersion &V, const HttpCalls::Result &R);
  void lookAtStaged(const ModelVersion &V);
  void beginTransfer(const ModelVersion &V, const std::set<ChunkIndex> &Held);
  // Passes on the pieces of the loaded version, if all lie at the engine.
  void offerLoaded();
  void verify();
  void order();
  void listPeers(TimePoint Now);
  void onPeers(const StoreRows &Rows);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  std::shared_ptr<PieceTransfer> makeTransfer(const ModelVersion &V,
                                              bool ReadsOrigin);
  TimePoint mayLoadAt() const;
  // Bytes a second.
  std::int64_t uploadRate() const {
    constexpr double BytesPerMegabit = 1e6 / 8;
    return static_cast<std::int64_t>(Settings_.LinkMbps_ * BytesPerMegabit *
                                     UploadShare);
  }
  bool isBusy() const { return Duty_.wanted() && !Duty_.isDone(); }

  StoreAgentSettings Settings_;
  EventLog Log_;
  Metrics Metrics_;
  PieceCounters Pieces_;
  IoThread Io_;
  platform::StoreWire Codec_;
  StoreClient Store_;
  HttpCalls Engine_;
  std::unique_ptr<HttpCalls> Origin_;
  std::unique_ptr<PeerNet> Net_;
  std::shared_ptr<HttpListener> MetricsServer_;
  std::optional<StoreWatch> OperatorWatch_;
  SharedConfig Config_;
  EngineDuty Duty_;
  LoadTurn Turn_;
  std::string Self_;
  AvailabilityZone OriginZone_;
  std::map<std::string, ModelVersion> Named_;
  TimePoint HeardAt_{};
  // Named while another one was nearly there; follows it.
  std::optional<ModelVersion> Next_;
  TimePoint NextHeardAt_{};
  // The engine has taken the order to load the wanted version.
  bool OrderBegun_ = false;
  std::optional<ModelVersion> DigestsOf_;
  std::vector<std::string> Digests_;
  std::size_t PieceBytes_ = 0;
  bool ManifestUnderWay_ = false;
  TimePoint ManifestNotBefore_{};
  std::shared_ptr<PieceTransfer> Transfer_;
  // The transfer of the wanted version has been set up, or is being.
  bool TransferBegun_ = false;
  bool OfferLooked_ = false;
  std::vector<PiecePeer> Peers_;
  std::vector<std::string> ZoneMembers_;
  bool PeersUnderWay_ = false;
  TimePoint PeersAt_{};
  std::optional<TimePoint> WholeAt_;
  std::optional<EngineState> LastTold_;
};

StoreAgent::State::State(StoreAgentSettings Settings)
    : Settings_(std::move(Settings)),
      Log_({.Process_ = Settings_.Common_.Process_.str()}),
      Io_("agent", WorkRing),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      Engine_(Io_.context(), Settings_.EngineAddress_, engineOptions()),
      MetricsServer_(std::make_shared<HttpListener>(Io_.context(),
                                                    SessionLimits{}, *this)),
      Turn_(turnOptions(Settings_.Common_)),
      Self_(ipOf(Settings_.EngineAddress_)) {
  Log_.write(LogLine("start")
                 .text("role", "agent")
                 .text("zone", Settings_.Common_.Zone_.str())
                 .text("engine", Settings_.EngineAddress_)
                 .text("version", HAWTHORNROAD_VERSION)
                 .count("wall", static_cast<std::uint64_t>(::time(nullptr))),
             true);
  PeerNet::Self Self;
  Self.Process_ = Settings_.Common_.Process_;
  Self.Incarnation_ = static_cast<Incarnation>(
      bootNow().time_since_epoch().count());
  Self.Zone_ = Settings_.Common_.Zone_;
  Self.Role_ = "agent";
  Self.Advertise_ = Settings_.PeerListen_;
  PeerNet::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, const wire::Frame &Frame) {
    onFrame(From, Frame);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &) {
    if (Transfer_)
      Transfer_->onPeerLost(From.Address_, bootNow());
  };
  Net_ = std::make_unique<PeerNet>(Io_, Self, peerLimits(), std::move(C));
  Net_->listen(ipOf(Settings_.PeerListen_),
               static_cast<std::uint16_t>(
                   std::stoul(portOf(Settings_.PeerListen_))));
  if (!Settings_.Common_.MetricsListen_.empty())
    MetricsServer_->open(Settings_.Common_.MetricsListen_);
  Io_.submit([this] { start(); });
}

StoreAgent::State::~State() {
  Io_.stop();
  Log_.write(LogLine("stop"), true);
}

void StoreAgent::State::start() {
  TableWatch::Options O;
  O.Table_ = std::string(platform::OperatorTable);
  O.Wait_ = OperatorWait;
  O.Seed_ = seedOf(Settings_.Common_);
  OperatorWatch_.emplace(
      Io_.context(), Store_, std::move(O), bootNow,
      StoreWatch::Callbacks{
          [this](const TableWatch::Update &U) { onOperatorRows(U); }, {}});
  OperatorWatch_->start();
  tick();
}

void StoreAgent::State::tick() {
  TimePoint Now = bootNow();
  if (Transfer_)
    Transfer_->tick(Now);
  if (WholeAt_ && !isBusy() && Now - *WholeAt_ > PiecesKept && Transfer_) {
    Transfer_->forgetPieces();
    WholeAt_.reset();
  }
  step(Now);
  Io_.after(isBusy() || Duty_.isLoading() ? BusyTick : IdleTick,
            [this] { tick(); });
}

// ---- What is wanted ---------------------------------------------------------

void StoreAgent::State::onOperatorRows(const TableWatch::Update &U) {
  TimePoint Now = bootNow();
  for (const StoreRow &Row : U.Rows_) {
    if (Row.IsRemoved_)
      continue;
    try {
      if (Row.Key_ == platform::ConfigKey) {
        Config_ = RoutingConfig::build(platform::decodeConfig(Row.Value_));
        const ServiceEntry *Origin = Config_->origin();
        if (Origin != nullptr &&
            (!Origin_ || Origin_->address() != Origin->OriginAddress_)) {
          Origin_ = std::make_unique<HttpCalls>(
              Io_.context(), Origin->OriginAddress_, HttpCalls::Options{});
          OriginZone_ = Origin->OriginZone_;
        }
      } else if (auto V = platform::decodeVersion(Row.Key_, Row.Value_)) {
        takeVersion({V->Model_, V->Version_}, Now);
      }
    } catch (const Error &E) {
      Log_.write(LogLine("config_unreadable")
                     .text("key", Row.Key_)
                     .text("detail", E.what()),
                 true);
    }
  }
  takeFirstVersion(Now);
}

// Until operators name a version, the first one counts as wanted: an engine
// that was added would otherwise stay empty.
void StoreAgent::State::takeFirstVersion(TimePoint Now) {
  const EnginePace *Pace = pace();
  if (!Duty_.wanted() && Pace != nullptr && !Pace->Model_.empty())
    takeVersion({Pace->Model_, FirstVersion}, Now);
}

const EnginePace *StoreAgent::State::pace() const {
  const ServiceEntry *S =
      Config_ ? Config_->findService(Settings_.Service_) : nullptr;
  return S != nullptr && S->Engine_ ? &*S->Engine_ : nullptr;
}

void StoreAgent::State::takeVersion(const ModelVersion &V, TimePoint Now) {
  // A VM has one engine with one model; others' versions are not its own.
  if (Duty_.state() && !Duty_.state()->Loaded_.Model_.empty() &&
      Duty_.state()->Loaded_.Model_ != V.Model_)
    return;
  if (Duty_.wanted() && V.Version_ <= Duty_.wanted()->Version_)
    return;
  // Each version has its own bound: one that is nearly there is finished first,
  // or requests would have no engine that may serve them.
  bool IsFar = isBusy() && !OrderBegun_ && Now - HeardAt_ >= SwitchBefore;
  if (IsFar) {
    if (!Next_ || Next_->Version_ < V.Version_) {
      Next_ = V;
      NextHeardAt_ = Now;
    }
    return;
  }
  pursue(V, Now, Now);
}

void StoreAgent::State::pursue(const ModelVersion &V, TimePoint HeardAt,
                               TimePoint Now) {
  if (!Duty_.want(V))
    return;
  HeardAt_ = HeardAt;
  OrderBegun_ = false;
  TransferBegun_ = false;
  Transfer_.reset();
  WholeAt_.reset();
  Log_.write(LogLine("version_wanted")
                 .text("model", V.Model_)
                 .count("version", V.Version_),
             true);
  step(Now);
}

// ---- The engine -------------------------------------------------------------

TimePoint StoreAgent::State::mayLoadAt() const {
  return Turn_.at(Self_, ZoneMembers_,
                  PieceTransfer::frameName(*Duty_.wanted()), HeardAt_);
}

void StoreAgent::State::step(TimePoint Now) {
  // The order may have been taken without an answer.
  if (Next_ && Duty_.isDone())
    pursue(*std::exchange(Next_, std::nullopt), NextHeardAt_, Now);
  TimePoint LoadAt = Duty_.wanted() ? mayLoadAt() : Now;
  switch (Duty_.next(LoadAt, Now)) {
  case EngineStep::Nothing:
    break;
  case EngineStep::Report:
    report();
    break;
  case EngineStep::Fetch:
    fetchManifest(Now);
    break;
  case EngineStep::Verify:
    verify();
    break;
  case EngineStep::Order:
    order();
    break;
  }
  if (isBusy() && (!Transfer_ || !Transfer_->isWhole()) &&
      Now - PeersAt_ >= PeersAgain)
    listPeers(Now);
  if (!isBusy())
    offerLoaded();
}

void StoreAgent::State::report() {
  Duty_.reportFailed(bootNow());
  Engine_.call(platform::reportCall(), EngineLimit,
               [this](const HttpCalls::Result &R) { onReport(R); });
}

void StoreAgent::State::onReport(const HttpCalls::Result &R) {
  TimePoint Now = bootNow();
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok)
    return Duty_.reportFailed(Now);
  try {
    EngineState S = platform::decodeReport(Answer->Body_);
    bool News = !LastTold_ || LastTold_->Loaded_ != S.Loaded_ ||
                LastTold_->IsBusy_ != S.IsBusy_ ||
                LastTold_->Orders_ != S.Orders_;
    if (News)
      Log_.write(LogLine("engine")
                     .count("version", S.Loaded_.Version_)
                     .flag("busy", S.IsBusy_)
                     .count("orders", S.Orders_)
                     .count("running", S.Running_)
                     .count("waiting", S.Waiting_));
    LastTold_ = S;
    Duty_.reported(std::move(S), Now);
  } catch (const Error &E) {
    Log_.write(LogLine("engine_unreadable").text("detail", E.what()));
    return Duty_.reportFailed(Now);
  }
  step(Now);
}

void StoreAgent::State::verify() {
  ModelVersion V = *Duty_.wanted();
  if (!DigestsOf_ || *DigestsOf_ != V)
    return;
  Duty_.verifying();
  std::vector<ChunkIndex> All;
  for (ChunkIndex I = 0; I < Digests_.size(); ++I)
    All.push_back(I);
  ReadBack::run(Engine_, V.Model_, All, Digests_,
                [this, V](const ReadBack::Result &Right) {
                  bool Whole = Right.size() == Digests_.size();
                  bool Current = Duty_.wanted() == V;
                  Duty_.verified(Whole && Current, bootNow());
                  Log_.write(LogLine("pieces_verified")
                                 .count("version", V.Version_)
                                 .count("right", Right.size())
                                 .count("pieces", Digests_.size()));
                  if (!Whole && Current)
                    beginTransfer(V, Right);
                  step(bootNow());
                });
}

void StoreAgent::State::order() {
  ModelVersion V = *Duty_.wanted();
  std::uint64_t Orders = Duty_.state()->Orders_;
  Duty_.ordering();
  Engine_.call(platform::loadCall(V, Orders), OrderLimit,
               [this, V](const HttpCalls::Result &R) {
                 auto End = EngineDuty::OrderEnd::Unknown;
                 unsigned Status = 0;
                 if (const auto *Answer = std::get_if<HttpAnswer>(&R)) {
                   Status = Answer->Status_;
                   End = platform::decodeOrder(Status);
                 }
                 Log_.write(LogLine("order")
                                .count("version", V.Version_)
                                .count("status", Status)
                                .millis("since_wanted_ms",
                                        bootNow() - HeardAt_));
                 Duty_.ordered(End, bootNow());
                 if (End == EngineDuty::OrderEnd::Begun &&
                     Duty_.wanted() == V) {
                   OrderBegun_ = true;
                   if (Next_)
                     pursue(*std::exchange(Next_, std::nullopt), NextHeardAt_,
                            bootNow());
                 }
                 step(bootNow());
               });
}

// ---- Pieces -----------------------------------------------------------------

void StoreAgent::State::fetchManifest(TimePoint Now) {
  if (TransferBegun_ || ManifestUnderWay_ || !Origin_ ||
      Now < ManifestNotBefore_)
    return;
  ModelVersion V = *Duty_.wanted();
  if (DigestsOf_ == V)
    return lookAtStaged(V);
  ManifestUnderWay_ = true;
  Origin_->call(platform::manifestCall(V), ManifestLimit,
                [this, V](const HttpCalls::Result &R) { onManifest(V, R); });
}

void StoreAgent::State::onManifest(const ModelVersion &V,
                                   const HttpCalls::Result &R) {
  ManifestUnderWay_ = false;
  ManifestNotBefore_ = bootNow() + ManifestAgain;
  if (Duty_.wanted() != V)
    return;
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  std::optional<platform::PieceDigests> Digests;
  if (Answer != nullptr && Answer->Status_ == Ok)
    Digests = platform::decodeManifest(Answer->Body_, V);
  if (!Digests) {
    Log_.write(LogLine("manifest_failed")
                   .count("version", V.Version_)
                   .count("status", Answer != nullptr ? Answer->Status_ : 0));
    return;
  }
  Pieces_.OriginBytes_ += Answer->Body_.size();
  DigestsOf_ = V;
  Digests_ = Digests->Digests_;
  PieceBytes_ = Digests->PieceBytes_;
  if (TransferBegun_ && Transfer_)
    return Transfer_->setDigests(Digests_);
  lookAtStaged(V);
}

void StoreAgent::State::lookAtStaged(const ModelVersion &V) {
  TransferBegun_ = true;
  Engine_.call(platform::stagedListCall(V.Model_), EngineLimit,
               [this, V](const HttpCalls::Result &R) {
                 if (Duty_.wanted() != V)
                   return;
                 const auto *Answer = std::get_if<HttpAnswer>(&R);
                 std::vector<std::uint32_t> Held;
                 if (Answer != nullptr)
                   Held = platform::decodeStagedList(Answer->Body_);
                 // What lies there is most likely the loaded version; a look at
                 // one piece spares reading the rest.
                 std::vector<ChunkIndex> Probe;
                 if (!Held.empty())
                   Probe.push_back(Held.front());
                 ReadBack::run(
                     Engine_, V.Model_, Probe, Digests_,
                     [this, V, Held](const ReadBack::Result &One) {
                       if (Duty_.wanted() != V)
                         return;
                       if (One.empty())
                         return beginTransfer(V, {});
                       ReadBack::run(Engine_, V.Model_, Held, Digests_,
                                     [this, V](const ReadBack::Result &Right) {
                                       if (Duty_.wanted() == V)
                                         beginTransfer(V, Right);
                                     });
                     });
               });
}

std::shared_ptr<PieceTransfer>
StoreAgent::State::makeTransfer(const ModelVersion &V, bool ReadsOrigin) {
  PieceTransfer::Setup S;
  S.Version_ = V;
  S.Self_ = {Vm(Self_), Settings_.Common_.Zone_};
  S.OriginZone_ = OriginZone_;
  S.Pieces_ = Digests_.size();
  S.PieceBytes_ = PieceBytes_;
  S.Seed_ = seedOf(Settings_.Common_);
  S.UploadRate_ = uploadRate();
  PieceTransfer::Callbacks C;
  C.OnWhole_ = [this, V] {
    if (Duty_.wanted() != V)
      return;
    WholeAt_ = bootNow();
    Duty_.setStaged(true);
    Log_.write(LogLine("pieces_whole")
                   .count("version", V.Version_)
                   .millis("since_wanted_ms", bootNow() - HeardAt_)
                   .count("origin_bytes", Pieces_.OriginBytes_)
                   .count("peer_bytes", Pieces_.PeerBytes_));
  };
  C.OnDoubt_ = [this, V] {
    if (Duty_.wanted() != V || ManifestUnderWay_ || !Origin_)
      return;
    ManifestUnderWay_ = true;
    Origin_->call(platform::manifestCall(V), ManifestLimit,
                  [this, V](const HttpCalls::Result &R) { onManifest(V, R); });
  };
  return std::make_shared<PieceTransfer>(
      std::move(S), Io_, Engine_, ReadsOrigin ? Origin_.get() : nullptr, *Net_, Log_,
      Pieces_, std::move(C));
}

void StoreAgent::State::beginTransfer(const ModelVersion &V,
                                      const std::set<ChunkIndex> &Held) {
  TimePoint Now = bootNow();
  Log_.write(LogLine("transfer")
                 .count("version", V.Version_)
                 .count("held", Held.size())
                 .count("peers", Peers_.size()));
  Transfer_ = makeTransfer(V, true);
  Transfer_->start(Digests_, Held, Now);
  Transfer_->setPeers(Peers_, Now);
  if (Peers_.empty())
    listPeers(Now);
}

void StoreAgent::State::offerLoaded() {
  if (OfferLooked_ || Transfer_ || !Duty_.isDone() || !Config_)
    return;
  const EnginePace *Pace = pace();
  if (Pace == nullptr || Pace->Pieces_ == 0)
    return;
  OfferLooked_ = true;
  ModelVersion V = *Duty_.wanted();
  Engine_.call(platform::stagedListCall(V.Model_), EngineLimit,
               [this, V, Count = Pace->Pieces_,
                Bytes = Pace->PieceBytes_](const HttpCalls::Result &R) {
                 const auto *Answer = std::get_if<HttpAnswer>(&R);
                 if (Answer == nullptr || Duty_.wanted() != V || Transfer_)
                   return;
                 auto Held = platform::decodeStagedList(Answer->Body_);
                 if (Held.size() < Count)
                   return;
                 PieceTransfer::Setup S;
                 S.Version_ = V;
                 S.Self_ = {Vm(Self_), Settings_.Common_.Zone_};
                 S.Pieces_ = Count;
                 S.PieceBytes_ = Bytes;
                 S.UploadRate_ = uploadRate();
                 Transfer_ = std::make_shared<PieceTransfer>(
                     std::move(S), Io_, Engine_, nullptr, *Net_, Log_, Pieces_,
                     PieceTransfer::Callbacks{});
                 Transfer_->start({}, {Held.begin(), Held.end()}, bootNow());
               });
}

// ---- Peers ------------------------------------------------------------------

void StoreAgent::State::listPeers(TimePoint Now) {
  if (PeersUnderWay_)
    return;
  PeersUnderWay_ = true;
  PeersAt_ = Now;
  Store_.list(std::string(platform::EndpointTable), "", [this](StoreReply R) {
    PeersUnderWay_ = false;
    if (const auto *Rows = std::get_if<StoreRows>(&R))
      onPeers(*Rows);
  });
}

void StoreAgent::State::onPeers(const StoreRows &Rows) {
  Peers_.clear();
  ZoneMembers_.clear();
  std::string Port = portOf(Settings_.PeerListen_);
  for (const StoreRow &Row : Rows.Rows_) {
    try {
      Endpoint E = platform::decodeEndpoint(Row.Key_, Row.Value_);
      if (!E.HasModel_)
        continue;
      std::string Ip = ipOf(E.Address_);
      if (E.Zone_ == Settings_.Common_.Zone_ && !E.IsDraining_)
        ZoneMembers_.push_back(Ip);
      if (Ip != Self_)
        Peers_.push_back({{Vm(Ip), E.Zone_}, PeerAddress(Ip + ":" + Port)});
    } catch (const Error &E) {
      Log_.write(LogLine("endpoint_unreadable")
                     .text("endpoint", Row.Key_)
                     .text("detail", E.what()));
    }
  }
  if (Transfer_)
    Transfer_->setPeers(Peers_, bootNow());
}

void StoreAgent::State::onFrame(const PeerContext &From,
                                const wire::Frame &Frame) {
  if (!Transfer_)
    return;
  wire::FrameT Unpacked;
  Frame.UnPackTo(&Unpacked);
  Transfer_->onFrame(From, Unpacked, bootNow());
}

// ---- Metrics ----------------------------------------------------------------

void StoreAgent::State::onRequest(const std::shared_ptr<ServerSession> &S,
                                  InboundRequest R) {
  if (R.Target_ != "/metrics")
    return S->respond(404, {}, "");
  Metrics_.set("hawthornroad_store_calls_total",
               static_cast<double>(Store_.counters().Calls_));
  Metrics_.set("hawthornroad_weights_origin_bytes_total",
               static_cast<double>(Pieces_.OriginBytes_));
  Metrics_.set("hawthornroad_weights_peer_bytes_total",
               static_cast<double>(Pieces_.PeerBytes_));
  Metrics_.set("hawthornroad_weights_uploaded_bytes_total",
               static_cast<double>(Pieces_.SentBytes_));
  Metrics_.set("hawthornroad_weights_chunks_refused_total",
               static_cast<double>(Pieces_.Wrong_));
  if (Duty_.state())
    Metrics_.set("hawthornroad_loaded_version",
                 static_cast<double>(Duty_.state()->Loaded_.Version_));
  S->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
             Metrics_.render());
}

// ---- Public -----------------------------------------------------------------

StoreAgent::StoreAgent(StoreAgentSettings Settings)
    : State_(std::make_unique<State>(std::move(Settings))) {}

StoreAgent::~StoreAgent() = default;

boost::json::object StoreAgent::readyLine() const {
  boost::json::object Line;
  Line["event"] = "listening";
  Line["process"] = State_->Settings_.Common_.Process_.str();
  Line["peers"] = State_->Settings_.PeerListen_;
  return Line;
}

void StoreAgent::reload(const std::string &File) {
  try {
    bool Same = StoreAgentSettings::load(File) == State_->Settings_;
    State_->Log_.write(LogLine("reload").flag("changed", !Same), true);
  } catch (const Error &E) {
    State_->Log_.write(LogLine("reload_refused").text("detail", E.what()),
                       true);
  }
}

} // namespace hawthornroad
