#include "hawthornroad/runtime/AgentProcess.h"

#include "hawthornroad/membership/MemberTable.h"
#include "hawthornroad/peers/FrameFeed.h"
#include "hawthornroad/rollout/RolloutTurn.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/Admin.h"
#include "hawthornroad/runtime/AgentCore.h"

#include <atomic>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <future>
#include <thread>

namespace hawthornroad {

namespace {

constexpr std::size_t IoRing = 16384;
constexpr std::size_t LoopRing = 16384;
constexpr Duration LoopTick = Milliseconds(20);

Incarnation newIncarnation() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(Since).count());
}

// Returns the "IP:port" that Listener is bound to.
template <class ListenerT>
std::string listenAt(ListenerT &Listener, const std::string &Address) {
  auto Endpoint = parseAddress(Address, Step::Listen);
  std::uint16_t Port =
      Listener.listen(Endpoint.address().to_string(), Endpoint.port());
  return formatAddress({Endpoint.address(), Port});
}

PeerNet::Self selfOf(const AgentSettings &S, Incarnation I,
                     const std::string &Advertise) {
  return {S.Common_.Process_, I, S.Common_.Zone_, "agent", Advertise};
}

// The address at which peers reach a listener.
PeerAddress advertisedAddress(const std::string &Listener,
                              const std::string &Advertise) {
  return PeerAddress(Advertise.empty() ? Listener : Advertise);
}

} // namespace

struct AgentProcess::State {
  explicit State(const AgentSettings &S);
  ~State();

  FrameFeed::Callbacks peerFeedCallbacks();
  FrameFeed::Callbacks weightsFeedCallbacks();
  PeerNet::Callbacks feedTo(FrameFeed &Feed);
  AdminServer::Hooks adminHooks();
  void start(TimePoint Now);
  void tick(TimePoint Now);
  bool postStop();

  AgentSettings Settings_;
  Incarnation Incarnation_ = newIncarnation();
  Metrics Metrics_;
  IoThread PeersIo_{"peers", IoRing};
  IoThread WeightsIo_{"weights", IoRing};
  IoThread EngineIo_{"engine", IoRing};
  IoThread PlatformIo_{"platform", IoRing};
  IoThread AdminIo_{"admin", IoRing};
  ActorSystem System_;
  std::unique_ptr<DecisionLoop> Loop_;
  HttpClient EngineHttp_{EngineIo_};
  HttpClient PlatformHttp_{PlatformIo_};
  HttpClient OriginHttp_{WeightsIo_};
  FrameFeed PeersFeed_;
  FrameFeed WeightsFeed_;
  PeerNet Peers_;
  PeerNet WeightsNet_;
  AdminServer Admin_;
  std::string PeersAddress_;
  std::string WeightsAddress_;
  std::string AdminAddress_;
  // Constructed after the listeners, since it publishes their addresses. Used
  // only on the loop's thread and only after IsStarted_ is set.
  std::unique_ptr<AgentCore> Core_;
  bool IsStarted_ = false;
  bool IsStopRequested_ = false;
  bool IsLeftSignalled_ = false;
  std::atomic<bool> IsReady_{false};
  std::promise<void> Left_;
};

AgentProcess::State::State(const AgentSettings &S)
    : Settings_(S), Loop_(std::make_unique<DecisionLoop>(System_, "decisions",
                                                         LoopTick, LoopRing)),
      PeersFeed_(PeersIo_, *Loop_, Metrics_, peerFeedCallbacks()),
      WeightsFeed_(WeightsIo_, *Loop_, Metrics_, weightsFeedCallbacks()),
      Peers_(PeersIo_, selfOf(S, Incarnation_, S.Common_.PeerAdvertise_), {},
             feedTo(PeersFeed_)),
      WeightsNet_(WeightsIo_, selfOf(S, Incarnation_, S.WeightsAdvertise_), {},
                  feedTo(WeightsFeed_)),
      Admin_(AdminIo_, Metrics_, adminHooks()),
      PeersAddress_(listenAt(Peers_, S.Common_.PeerListen_)),
      WeightsAddress_(listenAt(WeightsNet_, S.WeightsListen_)),
      AdminAddress_(listenAt(Admin_, S.Common_.AdminListen_)) {
  Core_ = std::make_unique<AgentCore>(
      AgentCore::Setup{
          S, Incarnation_,
          advertisedAddress(PeersAddress_, S.Common_.PeerAdvertise_),
          advertisedAddress(WeightsAddress_, S.WeightsAdvertise_)},
      AgentCore::Wiring{System_, *Loop_, Peers_, WeightsNet_, WeightsIo_,
                        EngineIo_, EngineHttp_, PlatformHttp_, OriginHttp_,
                        Metrics_});
  Loop_->post([this](TimePoint Now) { start(Now); });
}

// Stops the threads that post to the loop first, then the loop. The objects
// that the loop's closures use are destroyed after it.
AgentProcess::State::~State() {
  for (IoThread *Each :
       {&AdminIo_, &PeersIo_, &WeightsIo_, &EngineIo_, &PlatformIo_})
    Each->stop();
  Loop_.reset();
}

void AgentProcess::State::start(TimePoint Now) {
  IsStarted_ = true;
  Core_->start(Now);
  if (IsStopRequested_)
    Core_->stop(Now);
  Loop_->onTick([this](TimePoint At) { tick(At); });
}

void AgentProcess::State::tick(TimePoint Now) {
  Core_->tick(Now);
  IsReady_.store(Core_->isReady());
  if (IsLeftSignalled_ || !Core_->hasLeft(Now))
    return;
  IsLeftSignalled_ = true;
  Left_.set_value();
}

FrameFeed::Callbacks AgentProcess::State::peerFeedCallbacks() {
  FrameFeed::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, wire::FrameT &F, TimePoint Now) {
    if (IsStarted_)
      Core_->onPeerFrame(From, F, Now);
  };
  C.OnBeginDropped_ = [this](const BeginDropped &E, TimePoint Now) {
    if (IsStarted_)
      Core_->onBeginDropped(E, Now);
  };
  C.OnLost_ = [this](const PeerContext &Peer, TimePoint Now) {
    if (IsStarted_)
      Core_->onPeerLost(Peer, Now);
  };
  return C;
}

FrameFeed::Callbacks AgentProcess::State::weightsFeedCallbacks() {
  FrameFeed::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, wire::FrameT &F, TimePoint Now) {
    if (IsStarted_)
      Core_->onWeightsFrame(From, F, Now);
  };
  // Requests are not accepted on this listener: they are neither run nor
  // answered.
  C.OnBeginDropped_ = [](const BeginDropped &, TimePoint) {};
  C.OnLost_ = [this](const PeerContext &Peer, TimePoint Now) {
    if (IsStarted_)
      Core_->onWeightsLost(Peer, Now);
  };
  return C;
}

PeerNet::Callbacks AgentProcess::State::feedTo(FrameFeed &Feed) {
  PeerNet::Callbacks C;
  C.OnFrame_ = [&Feed](const PeerContext &From, const wire::Frame &Frame) {
    Feed.frame(From, Frame);
  };
  C.OnLost_ = [&Feed](const PeerContext &Peer, const Error &) {
    Feed.lost(Peer);
  };
  return C;
}

AdminServer::Hooks AgentProcess::State::adminHooks() {
  AdminServer::Hooks Hooks;
  Hooks.Ready_ = [this] { return IsReady_.load(); };
  Hooks.StatusJson_ = [this](AdminServer::Reply Done) {
    bool Asked = Loop_->post([this, Done](TimePoint Now) {
      Done(IsStarted_ ? boost::json::serialize(Core_->status(Now))
                      : R"({"phase":"starting"})");
    });
    if (!Asked)
      Done(R"({"error":"busy"})");
  };
  Hooks.BeforeMetrics_ = [this] {
    Peers_.updateByteMetrics(Metrics_, Lane::Control);
    Peers_.updateByteMetrics(Metrics_, Lane::Requests);
    WeightsNet_.updateByteMetrics(Metrics_, Lane::Weights);
  };
  Hooks.Routes_.push_back(
      {"POST", "/drain", [this](HttpRequest, auto Exchange) {
         Exchange->respond(postStop()
                               ? jsonResponse(202, R"({"drain":"begun"})")
                               : jsonResponse(503, R"({"error":"busy"})"));
       }});
  return Hooks;
}

bool AgentProcess::State::postStop() {
  return Loop_->post([this](TimePoint Now) {
    IsStopRequested_ = true;
    IsReady_.store(false);
    if (IsStarted_)
      Core_->stop(Now);
  });
}

AgentProcess::AgentProcess(const AgentSettings &S)
    : State_(std::make_unique<State>(S)) {}

AgentProcess::~AgentProcess() = default;

boost::json::object AgentProcess::readyLine() const {
  return {{"ready", "agent"},
          {"process", State_->Settings_.Common_.Process_.str()},
          {"vm", State_->Settings_.Vm_.str()},
          {"peers", State_->PeersAddress_},
          {"weights", State_->WeightsAddress_},
          {"admin", State_->AdminAddress_}};
}

void AgentProcess::stop() {
  // Retries while the ring is full, which lasts milliseconds: a stop must not
  // be lost.
  while (!State_->postStop())
    std::this_thread::sleep_for(LoopTick);
}

void AgentProcess::waitUntilLeft() { State_->Left_.get_future().wait(); }

void checkAgentSettings(const std::string &File) {
  AgentSettings S = AgentSettings::load(File);
  const std::string &Folder = S.Common_.Charts_;
  attemptChart(Folder);
  drainChart(Folder);
  transferChart(Folder);
  Chart::load(Folder, "rollout", RolloutTurn::chartNames());
  Chart::load(Folder, "member", memberChartNames());
}

} // namespace hawthornroad
