#include "hawthornroad/agent/StoreAgent.h"

#include "hawthornroad/agent/PieceTransfer.h"
#include "hawthornroad/agent/ReadBack.h"
#include "hawthornroad/base/Hash.h"
#include "hawthornroad/http/ServerSession.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/runtime/PeerPace.h"
#include "hawthornroad/staging/LoadTurn.h"
#include "hawthornroad/store/StoreClient.h"
#include "platform/EngineWire.h"
#include "platform/Names.h"
#include "platform/StoreWire.h"

#include <algorithm>
#include <random>

namespace hawthornroad {

namespace {
constexpr std::size_t WorkRing = 2048;
// Versions count up from here.
constexpr WeightVersion FirstVersion = 1;
// While a version is on its way, and otherwise.
constexpr Duration BusyTick = Milliseconds(30);
constexpr Duration IdleTick = Milliseconds(150);
// An entry believes for 3.5 s that an engine is away; it is told again before.
constexpr Duration AwayAgain = Milliseconds(1500);
// Versions are read this often when no entry has named a new one: only an agent
// that no entry reaches needs it. And after a failure, or while something is
// known to be missing.
constexpr Duration VersionPoll = Seconds(15);
constexpr Duration OperatorAgain = Milliseconds(400);
constexpr double OperatorSpread = 0.4;
// Failures of the origin in a row after which its address may have changed.
constexpr unsigned OriginFailuresBeforeLook = 4;
// Engines come and go while a version is on its way.
constexpr Duration PeersAgain = Milliseconds(2500);
constexpr Duration ManifestLimit = Milliseconds(2500);
constexpr Duration ManifestAgain = Milliseconds(300);
// A peer that was asked for the digests has them within two round trips to the
// origin and its own hearing of the version.
constexpr Duration ManifestPatience = Milliseconds(400);
// Later ones in the order wait no longer than this many patiences.
constexpr std::size_t MostManifestRank = 8;
constexpr double ManifestSpread = 0.9;
// In frames, the index that means the digests themselves.
constexpr std::uint32_t ManifestIndex = 0xffffffff;
constexpr Duration EngineLimit = Seconds(1);
// An order is answered at once or not at all.
constexpr Duration OrderLimit = Seconds(1);
// How long pieces are kept in memory after a version is whole, for peers that
// are still without.
constexpr Duration PiecesKept = Seconds(5);
constexpr std::size_t EngineCallsAtOnce = 3;
// Part of the VM's link that pieces may take: the engine's answers need a
// tenth of it, in bursts.
constexpr double UploadShare = 0.85;
// What a transfer takes at least, against the bare time of its bytes over the
// narrowest link.
constexpr double TransferStretch = 1.6;
// A version named this much later than the one under way waits for it.
constexpr Duration SwitchBefore = Milliseconds(1200);
// Loads are through this long before the bound: by then entries no longer use
// engines with older versions.
constexpr Duration BoundMargin = Milliseconds(600);

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

// The origin takes few connections from all VMs together, and those of a VM
// that lost its power count for long: none is kept while it is of no use.
HttpCalls::Options originOptions() {
  HttpCalls::Options O;
  O.SpareFor_ = Milliseconds(400);
  return O;
}

PeerNet::Limits peerLimits() {
  PeerNet::Limits L;
  L.PingAfter_ = PeerPing;
  L.DeadAfter_ = PeerDead;
  return L;
}

} // namespace

struct StoreAgent::State final : SessionHandler {
  // A version on its way to this VM.
  struct Pursuit {
    ModelVersion Version_;
    TimePoint HeardAt_{};
    bool ManifestUnderWay_ = false;
    TimePoint ManifestNotBefore_{};
    // The origin's text, to be passed on, and who waits for it.
    std::string Manifest_;
    std::vector<ConnectionId> ManifestWaits_;
    // When it was first looked for, when a peer was last asked, and how often.
    std::optional<TimePoint> ManifestSince_;
    TimePoint ManifestAskedAt_{};
    std::size_t ManifestAsks_ = 0;
    // A peer said that it will not have it.
    bool IsUnknownToPeers_ = false;
    unsigned ManifestFailures_ = 0;
    // Set once its digests are known.
    std::shared_ptr<PieceTransfer> Transfer_;
  };

  explicit State(StoreAgentSettings Settings);
  ~State() override;

  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerGone(ServerSession &) override {}

  void start();
  void tick();
  void step(TimePoint Now);
  // The operators' table whole: configuration and versions.
  void listOperators();
  // Only the versions.
  void listVersions();
  void onOperatorReply(bool IsWhole, const StoreReply &R);
  void onOperatorRows(const StoreRows &Rows);
  void askOperators(TimePoint Now);
  void takeVersion(const ModelVersion &V, TimePoint Now);
  void takeFirstVersion(TimePoint Now);
  // What is declared of this VM's engine; null until known.
  const EnginePace *pace() const;
  // V is the version to bring about from now on.
  void pursue(std::shared_ptr<Pursuit> P);
  void pursueNext();
  void overtake(TimePoint Now);
  void report();
  void onReport(const HttpCalls::Result &R);
  // The pieces of a version, from nothing to whole.
  void fetch(const std::shared_ptr<Pursuit> &P, TimePoint Now);
  // All VMs and this one, in the order in which they read the digests.
  std::vector<PiecePeer> manifestOrder(const Pursuit &P) const;
  void readManifest(const std::shared_ptr<Pursuit> &P);
  void askForManifest(const std::shared_ptr<Pursuit> &P,
                      std::vector<PiecePeer> Order);
  void onManifest(const std::shared_ptr<Pursuit> &P,
                  const HttpCalls::Result &R);
  void takeManifest(const std::shared_ptr<Pursuit> &P, const std::string &Text);
  bool onManifestFrame(const PeerContext &From, const wire::FrameT &Frame);
  std::shared_ptr<Pursuit> pursuitOf(const std::string &FrameName) const;
  void lookAtStaged(const std::shared_ptr<Pursuit> &P,
                    const platform::PieceDigests &D);
  void beginTransfer(const std::shared_ptr<Pursuit> &P,
                     const platform::PieceDigests &D,
                     std::map<ChunkIndex, std::string> Held);
  void onWhole(const Pursuit &P);
  PieceTransfer::Setup transferSetup(const ModelVersion &V) const;
  // Passes on the pieces of the loaded version, if all lie at the engine.
  void offerLoaded();
  void readStaged(const std::string &Model, ChunkIndex Index,
                  std::function<void(std::string)> Then);
  // Puts the pieces beside the engine and reads them back.
  void stageAndVerify();
  void onVerified(const std::shared_ptr<Pursuit> &P,
                  const ReadBack::Result &Right);
  void order();
  void listPeers(TimePoint Now);
  void onPeers(const StoreRows &Rows);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  void onNewest(WeightVersion Version);
  WeightVersion newestKnown() const;
  std::vector<std::shared_ptr<PieceTransfer>> transfers() const;
  TimePoint mayLoadAt() const;
  LoadTurn turn() const;
  // When all pieces of the wanted version are likely to be here.
  TimePoint wholeBy(TimePoint Now) const;
  unsigned waveOf(const std::string &Ip, const ModelVersion &V) const;
  void tellEntries();
  // Bytes a second.
  std::int64_t uploadRate() const {
    constexpr double BytesPerMegabit = 1e6 / 8;
    return static_cast<std::int64_t>(Settings_.LinkMbps_ * BytesPerMegabit *
                                     UploadShare);
  }
  bool isBusy() const { return Duty_.wanted() && !Duty_.isDone(); }
  bool isFetching() const;

  StoreAgentSettings Settings_;
  Random Random_;
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
  std::string MetricsAddress_;
  bool OperatorUnderWay_ = false;
  TimePoint OperatorNotBefore_{};
  // Something is known to be missing: the whole table, or a version.
  bool MustListOperators_ = true;
  unsigned OriginFailures_ = 0;
  SharedConfig Config_;
  EngineDuty Duty_;
  std::string Self_;
  AvailabilityZone OriginZone_;
  // What Duty_ wants, and what was named while that was nearly there.
  std::shared_ptr<Pursuit> Current_;
  std::shared_ptr<Pursuit> Next_;
  // Of the loaded version, for VMs that are still without.
  std::shared_ptr<PieceTransfer> Offer_;
  bool OfferLooked_ = false;
  // The engine has taken the order to load the wanted version.
  bool OrderBegun_ = false;
  std::vector<PiecePeer> Peers_;
  std::vector<std::string> ZoneMembers_;
  bool PeersUnderWay_ = false;
  TimePoint PeersAt_{};
  std::optional<TimePoint> LoadedAt_;
  std::optional<EngineReport> LastTold_;
  // The version for which the store was asked out of turn.
  WeightVersion LookedFor_ = 0;
  // Entries that asked to be told of the engine, by process.
  struct Watcher {
    ConnectionId Connection_ = 0;
    bool WantsLoads_ = false;
  };
  std::map<ProcessName, Watcher> Watchers_;
  std::optional<wire::EngineNoticeT> ToldEntries_;
  TimePoint ToldAt_{};
};

StoreAgent::State::State(StoreAgentSettings Settings)
    : Settings_(std::move(Settings)), Random_(seedOf(Settings_.Common_)),
      Log_({.Process_ = Settings_.Common_.Process_.str()}),
      Io_("agent", WorkRing),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      Engine_(Io_.context(), Settings_.EngineAddress_, engineOptions()),
      MetricsServer_(std::make_shared<HttpListener>(Io_.context(),
                                                    SessionLimits{}, *this)),
      Self_(ipOf(Settings_.EngineAddress_)) {
  Log_.write(LogLine("start")
                 .text("role", "agent")
                 .text("zone", Settings_.Common_.Zone_.str())
                 .text("engine", Settings_.EngineAddress_)
                 .text("version", HAWTHORNROAD_VERSION)
                 .count("wall_ms", EventLog::wallMilliseconds()),
             true);
  PeerNet::Self Self;
  Self.Process_ = Settings_.Common_.Process_;
  Self.Incarnation_ =
      static_cast<Incarnation>(bootNow().time_since_epoch().count());
  Self.Zone_ = Settings_.Common_.Zone_;
  Self.Role_ = "agent";
  Self.Advertise_ = Settings_.PeerListen_;
  PeerNet::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, const wire::Frame &Frame) {
    onFrame(From, Frame);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &) {
    for (const auto &T : transfers())
      T->onPeerLost(From.Address_, bootNow());
  };
  Net_ = std::make_unique<PeerNet>(Io_, Self, peerLimits(), std::move(C));
  Net_->listen(
      ipOf(Settings_.PeerListen_),
      static_cast<std::uint16_t>(std::stoul(portOf(Settings_.PeerListen_))));
  if (!Settings_.Common_.MetricsListen_.empty())
    MetricsAddress_ = MetricsServer_->open(Settings_.Common_.MetricsListen_);
  Io_.submit([this] { start(); });
}

StoreAgent::State::~State() {
  Io_.stop();
  Log_.write(LogLine("stop"), true);
}

void StoreAgent::State::start() { tick(); }

void StoreAgent::State::tick() {
  TimePoint Now = bootNow();
  for (const auto &T : transfers())
    T->tick(Now);
  askOperators(Now);
  overtake(Now);
  step(Now);
  Io_.after(isBusy() || isFetching() ? BusyTick : IdleTick, [this] { tick(); });
}

std::vector<std::shared_ptr<PieceTransfer>>
StoreAgent::State::transfers() const {
  std::vector<std::shared_ptr<PieceTransfer>> Out;
  if (Offer_)
    Out.push_back(Offer_);
  if (Current_ && Current_->Transfer_ && Current_->Transfer_ != Offer_)
    Out.push_back(Current_->Transfer_);
  if (Next_ && Next_->Transfer_)
    Out.push_back(Next_->Transfer_);
  return Out;
}

bool StoreAgent::State::isFetching() const {
  auto IsPartial = [](const std::shared_ptr<Pursuit> &P) {
    return P && (!P->Transfer_ || !P->Transfer_->isWhole());
  };
  return (isBusy() && IsPartial(Current_)) || IsPartial(Next_);
}

// ---- What is wanted ---------------------------------------------------------

// The text of the configuration is large and changes often, and a VM's agent
// needs little of it: with every agent reading every change, the links between
// zones were full and entries got theirs late. So it is read at the start, and
// again when the origin cannot be reached. Versions are read when an entry says
// that there is one, and now and then for the case that none does.
void StoreAgent::State::askOperators(TimePoint Now) {
  if (OperatorUnderWay_ || Now < OperatorNotBefore_)
    return;
  if (MustListOperators_ || pace() == nullptr)
    listOperators();
  else
    listVersions();
}

void StoreAgent::State::listOperators() {
  OperatorUnderWay_ = true;
  Store_.list(std::string(platform::OperatorTable), "", "",
              [this](const StoreReply &R) { onOperatorReply(true, R); });
}

void StoreAgent::State::listVersions() {
  OperatorUnderWay_ = true;
  platform::KeyRange Keys = platform::versionKeys();
  Store_.list(std::string(platform::OperatorTable), Keys.From_, Keys.To_,
              [this](const StoreReply &R) { onOperatorReply(false, R); });
}

void StoreAgent::State::onOperatorReply(bool IsWhole, const StoreReply &R) {
  TimePoint Now = bootNow();
  OperatorUnderWay_ = false;
  const auto *Rows = std::get_if<StoreRows>(&R);
  OperatorNotBefore_ = Now + Random_.jitter(OperatorAgain, OperatorSpread);
  if (Rows == nullptr)
    return;
  if (IsWhole)
    MustListOperators_ = false;
  onOperatorRows(*Rows);
  bool IsBehind = newestKnown() < LookedFor_;
  if (!IsBehind && pace() != nullptr)
    OperatorNotBefore_ = Now + Random_.jitter(VersionPoll, OperatorSpread);
}

WeightVersion StoreAgent::State::newestKnown() const {
  WeightVersion Known = Duty_.wanted() ? Duty_.wanted()->Version_ : 0;
  return Next_ ? std::max(Known, Next_->Version_.Version_) : Known;
}

void StoreAgent::State::onOperatorRows(const StoreRows &Rows) {
  TimePoint Now = bootNow();
  for (const StoreRow &Row : Rows.Rows_) {
    if (Row.IsRemoved_)
      continue;
    try {
      if (Row.Key_ == platform::ConfigKey) {
        Config_ = RoutingConfig::build(platform::decodeConfig(Row.Value_));
        const ServiceEntry *Origin = Config_->origin();
        if (Origin != nullptr &&
            (!Origin_ || Origin_->address() != Origin->OriginAddress_)) {
          Origin_ = std::make_unique<HttpCalls>(
              Io_.context(), Origin->OriginAddress_, originOptions());
          OriginZone_ = Origin->OriginZone_;
          Log_.write(LogLine("origin").text("address", Origin->OriginAddress_));
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
  if (pace() != nullptr && !pace()->Model_.empty() &&
      pace()->Model_ != V.Model_)
    return;
  if (Duty_.wanted() && V.Version_ <= Duty_.wanted()->Version_)
    return;
  auto P = std::make_shared<Pursuit>();
  P->Version_ = V;
  P->HeardAt_ = Now;
  Log_.write(LogLine("version_wanted")
                 .text("model", V.Model_)
                 .count("version", V.Version_),
             true);
  // Each version has its own bound: one that is nearly there is finished first,
  // or requests would have no engine that may serve them.
  bool IsFar = isBusy() && !OrderBegun_ && Current_ &&
               Now - Current_->HeardAt_ >= SwitchBefore;
  if (!IsFar)
    return pursue(std::move(P));
  if (!Next_ || Next_->Version_.Version_ < V.Version_)
    Next_ = std::move(P);
  step(Now);
}

void StoreAgent::State::pursue(std::shared_ptr<Pursuit> P) {
  if (!Duty_.want(P->Version_))
    return;
  Current_ = std::move(P);
  OrderBegun_ = false;
  LoadedAt_.reset();
  if (Current_->Transfer_) {
    Current_->Transfer_->setReadsOrigin(true);
    if (Current_->Transfer_->isWhole())
      Duty_.setStaged(true);
  }
  step(bootNow());
}

void StoreAgent::State::pursueNext() {
  if (Next_)
    pursue(std::exchange(Next_, nullptr));
}

// ---- The engine -------------------------------------------------------------

TimePoint StoreAgent::State::mayLoadAt() const {
  return turn().at(waveOf(Self_, Current_->Version_), Current_->HeardAt_);
}

// By the pace so far; never before pieces have begun to come.
TimePoint StoreAgent::State::wholeBy(TimePoint Now) const {
  if (!Current_ || !Current_->Transfer_)
    return TimePoint::max();
  const PieceTransfer &T = *Current_->Transfer_;
  std::size_t All = T.digests().size();
  if (T.isWhole() || T.held() * 3 < All)
    return T.isWhole() ? Now : TimePoint::max();
  double Missing =
      static_cast<double>(All - T.held()) / static_cast<double>(T.held());
  return Now +
         std::chrono::duration_cast<Duration>((Now - T.startedAt()) * Missing);
}

unsigned StoreAgent::State::waveOf(const std::string &Ip,
                                   const ModelVersion &V) const {
  return turn().wave(Ip, ZoneMembers_, PieceTransfer::frameName(V));
}

LoadTurn StoreAgent::State::turn() const {
  LoadTurn::Options O;
  O.Bound_ = Settings_.Common_.VersionBound_ - BoundMargin;
  const EnginePace *Pace = pace();
  double Bits = Pace != nullptr
                    ? static_cast<double>(Pace->Pieces_ * Pace->PieceBytes_) * 8
                    : 0;
  const ServiceEntry *Origin = Config_ ? Config_->origin() : nullptr;
  double Mbps = Settings_.LinkMbps_;
  if (Origin != nullptr && Origin->LinkMbps_ > 0)
    Mbps = std::min(Mbps, Origin->LinkMbps_);
  constexpr double BitsPerMegabit = 1e6;
  O.Transfer_ =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          Bits / (Mbps * BitsPerMegabit) * TransferStretch));
  return LoadTurn(O);
}

// Entries that asked are told when the engine's state changes for them.
void StoreAgent::State::tellEntries() {
  if (!Duty_.state())
    return;
  wire::EngineNoticeT Notice;
  Notice.address = Settings_.EngineAddress_;
  Notice.version = Duty_.state()->Loaded_.Version_;
  // An engine that has started anew holds nothing, whatever the store's list
  // still says of it.
  if (Duty_.isAway() || Duty_.isEmpty())
    Notice.phase = static_cast<std::uint8_t>(EnginePhase::Away);
  Notice.running = Duty_.state()->Running_;
  Notice.waiting = Duty_.state()->Waiting_;
  TimePoint Now = bootNow();
  bool IsAway = Notice.phase != 0;
  if (ToldEntries_ == Notice && !(IsAway && Now - ToldAt_ >= AwayAgain))
    return;
  ToldAt_ = Now;
  bool IsLoadOnly = !IsAway && ToldEntries_ &&
                    ToldEntries_->phase == Notice.phase &&
                    ToldEntries_->version == Notice.version;
  ToldEntries_ = Notice;
  FrameBuffer Frame = makeFrame(Notice);
  for (const auto &[Process, W] : Watchers_)
    if (!IsLoadOnly || W.WantsLoads_)
      Net_->reply(W.Connection_, Frame);
}

void StoreAgent::State::step(TimePoint Now) {
  TimePoint LoadAt = Current_ ? mayLoadAt() : Now;
  if (Duty_.reopen(Now)) {
    Log_.write(LogLine("engine_reopened")
                   .count("version", Current_->Version_.Version_)
                   .count("held", Current_->Transfer_
                                      ? Current_->Transfer_->held()
                                      : 0));
    tellEntries();
  }
  switch (Duty_.next(LoadAt, wholeBy(Now), Now)) {
  case EngineStep::Nothing:
    break;
  case EngineStep::Report:
    report();
    break;
  case EngineStep::Fetch:
    fetch(Current_, Now);
    break;
  case EngineStep::Close:
    Log_.write(LogLine("engine_closing")
                   .count("version", Current_->Version_.Version_)
                   .count("running", Duty_.state()->Running_)
                   .millis("since_wanted_ms", Now - Current_->HeardAt_));
    Duty_.closed(Now);
    tellEntries();
    break;
  case EngineStep::Verify:
    stageAndVerify();
    break;
  case EngineStep::Order:
    order();
    break;
  }
  if (Next_)
    fetch(Next_, Now);
  if (isFetching() && Now - PeersAt_ >= PeersAgain)
    listPeers(Now);
  // One version at a time uses the origin's narrow link: the earlier one first.
  if (Next_ && Next_->Transfer_)
    Next_->Transfer_->setReadsOrigin(!Current_ || OrderBegun_ ||
                                     !Current_->Transfer_ ||
                                     Current_->Transfer_->isWhole());
  if (!Duty_.isDone())
    return;
  if (!LoadedAt_) {
    LoadedAt_ = Now;
    // What lies at the engine now is what it has loaded.
    if (Current_ && Current_->Transfer_)
      Offer_ = Current_->Transfer_;
  }
  if (Offer_ && Now - *LoadedAt_ > PiecesKept)
    Offer_->forgetPieces();
  if (!Offer_)
    offerLoaded();
  // The order may have been taken without an answer.
  pursueNext();
}

// The next version overtakes one whose pieces do not come: when it is whole
// itself, or when the earlier one is too late to be of use.
void StoreAgent::State::overtake(TimePoint Now) {
  if (!Next_ || OrderBegun_ || !Current_)
    return;
  if (Current_->Transfer_ && Current_->Transfer_->isWhole())
    return;
  bool IsNextWhole = Next_->Transfer_ && Next_->Transfer_->isWhole();
  bool IsTooLate =
      Now >= Current_->HeardAt_ + Settings_.Common_.VersionBound_ - BoundMargin;
  if (!IsNextWhole && !IsTooLate)
    return;
  Log_.write(LogLine("version_overtaken")
                 .count("version", Current_->Version_.Version_)
                 .count("by", Next_->Version_.Version_)
                 .flag("too_late", IsTooLate));
  pursueNext();
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
    EngineReport S = platform::decodeReport(Answer->Body_);
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
    tellEntries();
  } catch (const Error &E) {
    Log_.write(LogLine("engine_unreadable").text("detail", E.what()));
    return Duty_.reportFailed(Now);
  }
  step(Now);
}

void StoreAgent::State::stageAndVerify() {
  auto P = Current_;
  if (!P->Transfer_ || !P->Transfer_->isWhole())
    return;
  Duty_.verifying();
  std::vector<ChunkIndex> All;
  for (ChunkIndex I = 0; I < P->Transfer_->digests().size(); ++I)
    All.push_back(I);
  StagePut::run(Engine_, P->Version_.Model_, P->Transfer_->pieces(),
                [this, P, All](bool) {
                  ReadBack::run(Engine_, P->Version_.Model_, All,
                                P->Transfer_->digests(),
                                [this, P](const ReadBack::Result &Right) {
                                  onVerified(P, Right);
                                });
                });
}

void StoreAgent::State::onVerified(const std::shared_ptr<Pursuit> &P,
                                   const ReadBack::Result &Right) {
  std::size_t Pieces = P->Transfer_->digests().size();
  bool Whole = Right.size() == Pieces && Current_ == P;
  Log_.write(LogLine("pieces_verified")
                 .count("version", P->Version_.Version_)
                 .count("right", Right.size())
                 .count("pieces", Pieces));
  Duty_.verified(Whole, bootNow());
  // The copy in memory is right: the next try puts all of it there again.
  if (!Whole && Current_ == P)
    Duty_.setStaged(true);
  step(bootNow());
}

void StoreAgent::State::order() {
  auto P = Current_;
  std::uint64_t Orders = Duty_.state()->Orders_;
  Duty_.ordering();
  Engine_.call(platform::loadCall(P->Version_, Orders), OrderLimit,
               [this, P](const HttpCalls::Result &R) {
                 auto End = EngineDuty::OrderEnd::Unknown;
                 unsigned Status = 0;
                 if (const auto *Answer = std::get_if<HttpAnswer>(&R)) {
                   Status = Answer->Status_;
                   End = platform::decodeOrder(Status);
                 }
                 Log_.write(
                     LogLine("order")
                         .count("version", P->Version_.Version_)
                         .count("status", Status)
                         .millis("since_wanted_ms", bootNow() - P->HeardAt_));
                 Duty_.ordered(End, bootNow());
                 if (End == EngineDuty::OrderEnd::Begun && Current_ == P) {
                   OrderBegun_ = true;
                   tellEntries();
                   pursueNext();
                 }
                 step(bootNow());
               });
}

// ---- Pieces -----------------------------------------------------------------

// The digests of a version are some kilobytes; read by every VM from a narrow
// origin they would take as long as half of the pieces, and more connections
// than it takes. So VMs have an order, those of the origin's zone first: the
// first reads the origin, each next one only when all before it have been
// silent for a patience. The others ask the first of their zone, then the next
// in the order, and so on.
std::vector<PiecePeer>
StoreAgent::State::manifestOrder(const Pursuit &P) const {
  std::string Name = PieceTransfer::frameName(P.Version_);
  std::vector<PiecePeer> Order = Peers_;
  Order.push_back({{Vm(Self_), Settings_.Common_.Zone_}, {}});
  auto Key = [&](const PiecePeer &Each) {
    bool IsElsewhere = Each.Peer_.Zone_ != OriginZone_;
    return std::make_pair(IsElsewhere,
                          ~rendezvousScore(Name, Each.Peer_.Vm_.str()));
  };
  std::sort(
      Order.begin(), Order.end(),
      [&](const PiecePeer &A, const PiecePeer &B) { return Key(A) < Key(B); });
  return Order;
}

void StoreAgent::State::fetch(const std::shared_ptr<Pursuit> &P,
                              TimePoint Now) {
  if (P->Transfer_ || P->ManifestUnderWay_ || !Origin_ ||
      Now < P->ManifestNotBefore_ || PeersAt_ == TimePoint() || PeersUnderWay_)
    return;
  if (!P->ManifestSince_)
    P->ManifestSince_ = Now;
  std::vector<PiecePeer> Order = manifestOrder(*P);
  std::size_t Rank = 0;
  while (Order[Rank].Peer_.Vm_.str() != Self_)
    ++Rank;
  auto Patiences = static_cast<Duration::rep>(std::min(Rank, MostManifestRank));
  if (P->IsUnknownToPeers_ ||
      Now - *P->ManifestSince_ >= ManifestPatience * Patiences)
    return readManifest(P);
  if (P->ManifestAsks_ > 0 && Now - P->ManifestAskedAt_ < ManifestPatience)
    return;
  P->ManifestAskedAt_ = Now;
  askForManifest(P, Order);
}

void StoreAgent::State::readManifest(const std::shared_ptr<Pursuit> &P) {
  P->ManifestUnderWay_ = true;
  Origin_->call(platform::manifestCall(P->Version_), ManifestLimit,
                [this, P](const HttpCalls::Result &R) { onManifest(P, R); });
}

void StoreAgent::State::askForManifest(const std::shared_ptr<Pursuit> &P,
                                       std::vector<PiecePeer> Order) {
  std::erase_if(Order, [&](const PiecePeer &Each) {
    return Each.Peer_.Vm_.str() == Self_;
  });
  // The first of the own zone goes first: its link is near.
  auto Near =
      std::find_if(Order.begin(), Order.end(), [&](const PiecePeer &Each) {
        return Each.Peer_.Zone_ == Settings_.Common_.Zone_;
      });
  if (Near != Order.end())
    std::rotate(Order.begin(), Near, Near + 1);
  if (Order.empty())
    return;
  const PiecePeer &To = Order[P->ManifestAsks_++ % Order.size()];
  wire::ChunkRequestT Request;
  Request.manifest = PieceTransfer::frameName(P->Version_);
  Request.index = ManifestIndex;
  Request.vm = Self_;
  Net_->send(To.Address_, Lane::Weights, makeFrame(Request));
}

void StoreAgent::State::onManifest(const std::shared_ptr<Pursuit> &P,
                                   const HttpCalls::Result &R) {
  P->ManifestUnderWay_ = false;
  Duration Pause = ManifestAgain * (1 << std::min(P->ManifestFailures_, 3U));
  P->ManifestNotBefore_ = bootNow() + Random_.jitter(Pause, ManifestSpread);
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok) {
    LogLine L("manifest_failed");
    L.count("version", P->Version_.Version_).text("origin", Origin_->address());
    if (Answer != nullptr)
      L.count("status", Answer->Status_);
    else
      L.text("why", std::get<LinkFailure>(R).Message_);
    Log_.write(L);
    ++P->ManifestFailures_;
    if (++OriginFailures_ % OriginFailuresBeforeLook == 0) {
      MustListOperators_ = true;
      OperatorNotBefore_ = TimePoint();
    }
    return;
  }
  Pieces_.OriginBytes_ += Answer->Body_.size();
  takeManifest(P, Answer->Body_);
}

void StoreAgent::State::takeManifest(const std::shared_ptr<Pursuit> &P,
                                     const std::string &Text) {
  if (P != Current_ && P != Next_)
    return;
  auto Digests = platform::decodeManifest(Text, P->Version_);
  if (!Digests) {
    Log_.write(
        LogLine("manifest_spoilt").count("version", P->Version_.Version_));
    return;
  }
  P->Manifest_ = Text;
  wire::ChunkReplyT Reply;
  Reply.manifest = PieceTransfer::frameName(P->Version_);
  Reply.index = ManifestIndex;
  Reply.bytes.assign(Text.begin(), Text.end());
  FrameBuffer Frame = makeFrame(std::move(Reply));
  for (ConnectionId To : std::exchange(P->ManifestWaits_, {}))
    Net_->reply(To, Frame);
  if (P->Transfer_)
    return P->Transfer_->setDigests(Digests->Digests_);
  if (P->ManifestUnderWay_)
    return;
  P->ManifestUnderWay_ = true;
  lookAtStaged(P, *Digests);
}

std::shared_ptr<StoreAgent::State::Pursuit>
StoreAgent::State::pursuitOf(const std::string &FrameName) const {
  for (const auto &P : {Current_, Next_})
    if (P && PieceTransfer::frameName(P->Version_) == FrameName)
      return P;
  return nullptr;
}

// Whether the frame was about a version's digests.
bool StoreAgent::State::onManifestFrame(const PeerContext &From,
                                        const wire::FrameT &Frame) {
  const auto *Request = Frame.body.AsChunkRequest();
  const auto *Reply = Frame.body.AsChunkReply();
  if (Request != nullptr && Request->index == ManifestIndex) {
    auto P = pursuitOf(Request->manifest);
    // A loaded version's digests are not fetched again.
    bool IsWanted = P && (P == Next_ || !Duty_.isDone());
    bool WillHave = IsWanted && !P->Transfer_ && P->Manifest_.empty();
    if (WillHave) {
      P->ManifestWaits_.push_back(From.Connection_);
      return true;
    }
    // Of a version that was loaded before this agent's start, or has not been
    // heard of here, the origin must be asked.
    wire::ChunkReplyT Out;
    Out.manifest = Request->manifest;
    Out.index = ManifestIndex;
    if (P)
      Out.bytes.assign(P->Manifest_.begin(), P->Manifest_.end());
    if (Out.bytes.empty())
      Out.error = "missing";
    Net_->reply(From.Connection_, makeFrame(std::move(Out)));
    return true;
  }
  if (Reply == nullptr || Reply->index != ManifestIndex)
    return false;
  auto P = pursuitOf(Reply->manifest);
  if (P && !Reply->error.empty()) {
    P->IsUnknownToPeers_ = true;
    P->ManifestNotBefore_ =
        bootNow() + Random_.jitter(ManifestAgain / 2, ManifestSpread);
  } else if (P && P->Manifest_.empty())
    takeManifest(P, {Reply->bytes.begin(), Reply->bytes.end()});
  return true;
}

// After a restart of this agent the pieces may lie at the engine already. What
// lies there is most likely another version; a look at one piece spares reading
// the rest.
void StoreAgent::State::lookAtStaged(const std::shared_ptr<Pursuit> &P,
                                     const platform::PieceDigests &D) {
  const std::string &Model = P->Version_.Model_;
  Engine_.call(platform::stagedListCall(Model), EngineLimit,
               [this, P, D](const HttpCalls::Result &R) {
                 const auto *Answer = std::get_if<HttpAnswer>(&R);
                 std::vector<std::uint32_t> Held;
                 if (Answer != nullptr)
                   Held = platform::decodeStagedList(Answer->Body_);
                 std::vector<ChunkIndex> First;
                 if (!Held.empty())
                   First.push_back(Held.front());
                 ReadBack::run(Engine_, P->Version_.Model_, First, D.Digests_,
                               [this, P, D, Held](const ReadBack::Result &One) {
                                 if (One.empty())
                                   return beginTransfer(P, D, {});
                                 ReadBack::run(
                                     Engine_, P->Version_.Model_, Held,
                                     D.Digests_,
                                     [this, P, D](ReadBack::Result Right) {
                                       beginTransfer(P, D, std::move(Right));
                                     });
                               });
               });
}

PieceTransfer::Setup
StoreAgent::State::transferSetup(const ModelVersion &V) const {
  PieceTransfer::Setup S;
  S.Version_ = V;
  S.Self_ = {Vm(Self_), Settings_.Common_.Zone_};
  S.OriginZone_ = OriginZone_;
  S.Seed_ = seedOf(Settings_.Common_);
  S.UploadRate_ = uploadRate();
  return S;
}

void StoreAgent::State::readStaged(const std::string &Model, ChunkIndex Index,
                                   std::function<void(std::string)> Then) {
  Engine_.call(platform::stagedReadCall(Model, Index), EngineLimit,
               [Then = std::move(Then)](HttpCalls::Result R) {
                 auto *Answer = std::get_if<HttpAnswer>(&R);
                 constexpr unsigned Ok = 200;
                 bool Has = Answer != nullptr && Answer->Status_ == Ok;
                 Then(Has ? std::move(Answer->Body_) : std::string());
               });
}

void StoreAgent::State::beginTransfer(const std::shared_ptr<Pursuit> &P,
                                      const platform::PieceDigests &D,
                                      std::map<ChunkIndex, std::string> Held) {
  P->ManifestUnderWay_ = false;
  if (P != Current_ && P != Next_)
    return;
  TimePoint Now = bootNow();
  Log_.write(LogLine("transfer")
                 .count("version", P->Version_.Version_)
                 .count("held", Held.size())
                 .count("peers", Peers_.size()));
  PieceTransfer::Setup S = transferSetup(P->Version_);
  S.Pieces_ = D.Digests_.size();
  S.PieceBytes_ = D.PieceBytes_;
  PieceTransfer::Callbacks C;
  std::weak_ptr<Pursuit> Weak = P;
  C.OnWhole_ = [this, Weak] {
    if (auto Held = Weak.lock())
      onWhole(*Held);
  };
  C.OnDoubt_ = [this, Weak] {
    auto Held = Weak.lock();
    if (!Held || Held->ManifestUnderWay_ || !Origin_)
      return;
    Held->ManifestUnderWay_ = true;
    Origin_->call(
        platform::manifestCall(Held->Version_), ManifestLimit,
        [this, Held](const HttpCalls::Result &R) { onManifest(Held, R); });
  };
  C.Urgency_ = [this, V = P->Version_](const Vm &Peer) {
    return waveOf(Peer.str(), V);
  };
  C.ReadStaged_ = [this, Model = P->Version_.Model_](ChunkIndex Index,
                                                     auto Then) {
    readStaged(Model, Index, std::move(Then));
  };
  P->Transfer_ = std::make_shared<PieceTransfer>(
      std::move(S), Io_, Origin_.get(), *Net_, Log_, Pieces_, std::move(C));
  P->Transfer_->start(D.Digests_, std::move(Held), Now);
  P->Transfer_->setPeers(Peers_, Now);
  if (Peers_.empty())
    listPeers(Now);
}

void StoreAgent::State::onWhole(const Pursuit &P) {
  Log_.write(LogLine("pieces_whole")
                 .count("version", P.Version_.Version_)
                 .millis("since_wanted_ms", bootNow() - P.HeardAt_)
                 .count("origin_bytes", Pieces_.OriginBytes_)
                 .count("peer_bytes", Pieces_.PeerBytes_));
  if (Current_.get() == &P)
    Duty_.setStaged(true);
}

void StoreAgent::State::offerLoaded() {
  const EnginePace *Pace = pace();
  if (OfferLooked_ || Pace == nullptr || Pace->Pieces_ == 0)
    return;
  OfferLooked_ = true;
  ModelVersion V = *Duty_.wanted();
  Engine_.call(
      platform::stagedListCall(V.Model_), EngineLimit,
      [this, V, Count = Pace->Pieces_,
       Bytes = Pace->PieceBytes_](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        if (Answer == nullptr || Duty_.wanted() != V || Offer_)
          return;
        if (platform::decodeStagedList(Answer->Body_).size() < Count)
          return;
        PieceTransfer::Setup S = transferSetup(V);
        S.Pieces_ = Count;
        S.PieceBytes_ = Bytes;
        PieceTransfer::Callbacks C;
        C.ReadStaged_ = [this, Model = V.Model_](ChunkIndex Index, auto Then) {
          readStaged(Model, Index, std::move(Then));
        };
        Offer_ = std::make_shared<PieceTransfer>(
            std::move(S), Io_, nullptr, *Net_, Log_, Pieces_, std::move(C));
        Offer_->startOffer(bootNow());
      });
}

// ---- Peers ------------------------------------------------------------------

void StoreAgent::State::listPeers(TimePoint Now) {
  if (PeersUnderWay_)
    return;
  PeersUnderWay_ = true;
  PeersAt_ = Now;
  Store_.list(std::string(platform::EndpointTable), "", "",
              [this](StoreReply R) {
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
  for (const auto &T : transfers())
    if (T != Offer_)
      T->setPeers(Peers_, bootNow());
}

void StoreAgent::State::onFrame(const PeerContext &From,
                                const wire::Frame &Frame) {
  wire::FrameT Unpacked;
  Frame.UnPackTo(&Unpacked);
  if (const auto *Watch = Unpacked.body.AsEngineWatch()) {
    Watchers_[From.Process_] = {From.Connection_, Watch->loads};
    if (ToldEntries_)
      Net_->reply(From.Connection_, makeFrame(*ToldEntries_));
    onNewest(Watch->newest);
    return;
  }
  if (onManifestFrame(From, Unpacked))
    return;
  for (const auto &T : transfers())
    if (T->onFrame(From, Unpacked, bootNow()))
      return;
}

// An entry has heard of a version that this agent has not.
void StoreAgent::State::onNewest(WeightVersion Version) {
  if (Version <= std::max(newestKnown(), LookedFor_))
    return;
  LookedFor_ = Version;
  Log_.write(LogLine("store_refresh").count("version", Version));
  OperatorNotBefore_ = TimePoint();
  askOperators(bootNow());
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
  Line["ready"] = "agent";
  Line["process"] = State_->Settings_.Common_.Process_.str();
  Line["peers"] = State_->Settings_.PeerListen_;
  Line["metrics"] = State_->MetricsAddress_;
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
