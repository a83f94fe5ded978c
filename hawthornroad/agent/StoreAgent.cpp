#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/entry/ZoneEntries.h"
#include "hawthornroad/peers/PartCodec.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/Seed.h"
#include "platform/Names.h"

namespace hawthornroad {

namespace {
constexpr std::size_t WorkRing = 2048;
// Tick intervals while a version is being transferred or loaded, and otherwise.
constexpr Duration BusyTick = Milliseconds(30);
constexpr Duration IdleTick = Milliseconds(150);
constexpr std::size_t EngineCallsAtOnce = 3;

HttpCalls::Options engineOptions() {
  HttpCalls::Options O;
  O.MaxConcurrent_ = EngineCallsAtOnce;
  O.MaxIdle_ = EngineCallsAtOnce;
  return O;
}

PlaceGrants::Options placeOptions(const AgentPolicy &P) {
  PlaceGrants::Options O;
  O.MostReading_ = P.MostReading_;
  O.PlacesKept_ = P.PlacesKept_;
  O.KeptFromLate_ = P.KeptFromLate_;
  return O;
}

PeerNet::Limits peerLimits() {
  PeerNet::Limits L;
  L.PingAfter_ = PeerPingAfter;
  L.DeadAfter_ = PeerDeadAfter;
  return L;
}
} // namespace

StoreAgent::State::State(StoreAgentSettings Settings)
    : Settings_(std::move(Settings)),
      Random_(seedOr(Settings_.Common_.RandomSeed_)),
      Log_({.Process_ = Settings_.Common_.Process_.str()}),
      Io_("agent", WorkRing),
      Store_(Io_.context(), Settings_.Common_.Store_, Codec_),
      Engine_(Io_.context(), Settings_.EngineAddress_, engineOptions()),
      Origin_(Io_.context(), [this] { lookUpOrigin(); }),
      Reader_(readerTransport(), Random_.next(),
              Settings_.IsFirstStart_ ? RowReader::FirstEntryWait
                                      : RowReader::EntryWait),
      MetricsServer_(std::make_shared<HttpListener>(Io_.context(),
                                                    SessionLimits{}, *this)),
      Self_(ipOf(Settings_.EngineAddress_)),
      Places_(placeOptions(Settings_.Policy_)),
      PartTable_(partTransport(Store_, bootNow), partOwner(),
                 Random(Random_.next())) {
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
    std::erase_if(Watchers_, [&](const auto &Each) {
      return Each.second.Connection_ == From.Connection_;
    });
    for (const auto &T : transfers())
      T->onPeerLost(From.Address_, bootNow());
  };
  Net_ = std::make_unique<PeerNet>(Io_, Self, peerLimits(), std::move(C));
  Net_->listen(ipOf(Settings_.PeerListen_), portOf(Settings_.PeerListen_));
  if (!Settings_.Common_.MetricsListen_.empty())
    MetricsAddress_ = MetricsServer_->open(Settings_.Common_.MetricsListen_);
  Io_.submit([this] { start(); });
}

RowReader::Transport StoreAgent::State::readerTransport() {
  RowReader::Transport W;
  W.Reply_ = [this](ConnectionId To, FrameBuffer F) {
    return Net_->reply(To, std::move(F));
  };
  W.Dial_ = [this](const PeerAddress &To, FrameBuffer F) {
    Net_->send(To, Lane::Control, std::move(F));
  };
  W.ReadStore_ = [this](const std::string &Table, RowReader::Done D) {
    Store_.list(Table, "", "", std::move(D));
  };
  W.FindEntries_ = [this](RowReader::Transport::Found Then) {
    listPresences(Store_, Log_, Settings_.Common_.Zone_,
                  [Then = std::move(Then)](const auto &Entries) {
                    std::vector<PeerAddress> Out;
                    if (Entries)
                      for (const ZoneEntry &Each : *Entries)
                        Out.push_back(Each.Address_);
                    Then(std::move(Out));
                  });
  };
  return W;
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
  Reader_.tick(Now);
  refreshOperatorTable(Now);
  supersedeStalled(Now);
  step(Now);
  fetchDigestsForPeers(Now);
  relayParts(Now);
  reportGate(Now);
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
  auto IsPartial = [](const std::shared_ptr<VersionUpdate> &P) {
    return P && (!P->Transfer_ || !P->Transfer_->isComplete());
  };
  return (isBusy() && IsPartial(Current_)) || IsPartial(Next_);
}

// ---- Peers ------------------------------------------------------------------

void StoreAgent::State::listPeers(TimePoint Now) {
  if (PeersPending_)
    return;
  PeersPending_ = true;
  PeersAt_ = Now;
  Reader_.list(std::string(platform::EndpointTable), Now,
               [this](const StoreReply &R) {
                 PeersPending_ = false;
                 if (const auto *Rows = std::get_if<StoreRows>(&R))
                   onPeers(*Rows);
               });
}

void StoreAgent::State::onPeers(const StoreRows &Rows) {
  Peers_.clear();
  ZoneMembers_.clear();
  std::string Port = std::to_string(portOf(Settings_.PeerListen_));
  for (const StoreRow &Row : Rows.Rows_) {
    try {
      Endpoint E = platform::decodeEndpoint(Row.Key_, Row.Value_);
      if (!E.HasModel_)
        continue;
      std::string Ip = ipOf(E.Address_, Step::Table);
      if (E.Zone_ == Settings_.Common_.Zone_ && !E.IsDraining_)
        ZoneMembers_.push_back(Ip);
      if (Ip != Self_)
        Peers_.push_back({{Vm(Ip), E.Zone_}, PeerAddress(Ip + ":" + Port)});
    } catch (const Error &E) {
      Metrics_.count("hawthornroad_endpoint_rows_unreadable_total");
      if (RowFaults_.note(Row.Key_, E.message()))
        Log_.write(LogLine("endpoint_unreadable")
                       .text("endpoint", RowFaults::shortened(Row.Key_))
                       .text("detail", RowFaults::shortened(E.message())),
                   true);
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
    // Only entries of the same zone subscribe to load notices.
    if (Watch->loads)
      Reader_.onEntryConnected(From.Process_, From.Connection_, bootNow());
    if (auto Parts = Parts_.all(); !Parts.empty())
      Net_->reply(From.Connection_, makeFrame(encodeParts(Parts, bootNow())));
    if (LastNotice_)
      Net_->reply(From.Connection_, makeFrame(withDetails(*LastNotice_)));
    for (const auto &Each : Watch->versions)
      onVersionHeard({Each->model, Each->version});
    return;
  }
  if (const auto *Ask = Unpacked.body.AsPlaceAsk())
    return onPlaceAsk(From, *Ask);
  if (const auto *Notice = Unpacked.body.AsLimitNotice())
    return noteLimit({EndpointId(Notice->endpoint), Notice->born},
                     *Notice->limit, From.Process_);
  if (const auto *Parts = Unpacked.body.AsPartReport()) {
    TimePoint Now = bootNow();
    // Only agents that relay parts need what the store has of them.
    PartTable_.read(Now);
    for (const PartEvidence &Each : decodeParts(*Parts, Now))
      Parts_.merge(Each, Now);
    return;
  }
  if (const auto *Rows = Unpacked.body.AsRowsAnswer())
    return Reader_.onAnswer(*Rows);
  if (onManifestFrame(From, Unpacked))
    return;
  for (const auto &T : transfers())
    if (T->onFrame(From, Unpacked, bootNow()))
      return;
}

PartTable::Owner StoreAgent::State::partOwner() {
  PartTable::Owner O;
  O.Merge_ = [this](const std::vector<PartEvidence> &Parts) {
    for (const PartEvidence &Each : Parts)
      Parts_.merge(Each, bootNow());
  };
  O.Find_ = [this](PromptPart Part) { return Parts_.find(Part); };
  O.OnUnreadable_ = logUnreadableParts(Log_, RowFaults_);
  return O;
}

void StoreAgent::State::relayParts(TimePoint Now) {
  Parts_.tick(Now);
  // The entries log them.
  Parts_.takeEvents();
  std::vector<PartEvidence> Changed = Parts_.takeChanged();
  PartTable_.changed(Changed, Now);
  PartTable_.tick(Now);
  std::vector<EndpointStart> Ended = Parts_.takeEnded();
  if (Changed.empty() && Ended.empty())
    return;
  wire::PartReportT Report = encodeParts(Changed, Now);
  encodeEnded(Ended, Report);
  FrameBuffer Frame = makeFrame(std::move(Report));
  for (const auto &[Process, W] : Watchers_)
    Net_->reply(W.Connection_, Frame);
}

// Entries and other agents have the version from the store, so the store is not
// read again: when every agent read it, a version cost one call per VM, all
// within milliseconds. Without the configuration it is not known whether the
// model belongs to this engine; the read that is then in progress brings both.
void StoreAgent::State::onVersionHeard(const ModelVersion &V) {
  if (pace() != nullptr) {
    if (V.Version_ > newestKnown())
      takeVersion(V, bootNow());
    return;
  }
  HeardVersion_ = std::max(HeardVersion_, V.Version_);
}

// ---- Metrics ----------------------------------------------------------------

void StoreAgent::State::onRequest(const std::shared_ptr<ServerSession> &S,
                                  InboundRequest R) {
  if (R.Target_ != "/metrics")
    return S->respond(404, {}, "");
  Metrics_.set("hawthornroad_store_calls_total",
               static_cast<double>(Store_.counters().Calls_));
  Metrics_.set("hawthornroad_weights_origin_bytes_total",
               static_cast<double>(PieceCounters_.OriginBytes_));
  Metrics_.set("hawthornroad_weights_peer_bytes_total",
               static_cast<double>(PieceCounters_.PeerBytes_));
  Metrics_.set("hawthornroad_weights_uploaded_bytes_total",
               static_cast<double>(PieceCounters_.SentBytes_));
  Metrics_.set("hawthornroad_weights_chunks_refused_total",
               static_cast<double>(PieceCounters_.Mismatches_));
  Metrics_.set("hawthornroad_cold_grants_denied_total",
               static_cast<double>(Cold_.denied()));
  if (Updater_.state())
    Metrics_.set("hawthornroad_loaded_version",
                 static_cast<double>(Updater_.state()->Loaded_.Version_));
  if (Places_.speed().wasStated())
    Metrics_.set("hawthornroad_endpoint_slowdown",
                 Places_.speed().factor(bootNow()));
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
    bool IsUnchanged = StoreAgentSettings::load(File) == State_->Settings_;
    State_->Log_.write(LogLine("reload").flag("changed", !IsUnchanged), true);
  } catch (const Error &E) {
    State_->Log_.write(LogLine("reload_refused").text("detail", E.what()),
                       true);
  }
}

void StoreAgent::noteRepeatedStop() {
  State_->Log_.write(LogLine("stop_repeated"), true);
}

} // namespace hawthornroad
