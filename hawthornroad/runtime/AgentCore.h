// What an agent decides and knows, inside its DecisionLoop: its parts and the
// way events pass between them.
//
//   AgentCore Core(Setup, Wiring);
//   Loop.post([&](TimePoint Now) { Core.start(Now); });
//   Core.onPeerFrame(From, Frame, Now);     // "peers": requests and control
//   Core.onWeightsFrame(From, Frame, Now);  // "weights": chunks
//   Core.tick(Now);
//   Core.stop(Now);                         // planned stop; then hasLeft()
//
// A declaration sets the engine's and the transfer's wish and the limits; a
// staged version goes to the engine's control; the fleet view feeds turns and
// chunk sources; each change of the endpoint is published at once, and its
// load each report period.

#ifndef HAWTHORNROAD_RUNTIME_AGENTCORE_H
#define HAWTHORNROAD_RUNTIME_AGENTCORE_H

#include "hawthornroad/routing/DrainState.h"
#include "hawthornroad/runtime/AgentAttempts.h"
#include "hawthornroad/runtime/ControlPlane.h"
#include "hawthornroad/runtime/EndpointView.h"
#include "hawthornroad/transfer/WeightTransfer.h"

#include <map>
#include <optional>

namespace hawthornroad {

class AgentCore {
public:
  struct Setup {
    AgentSettings Settings_;
    Incarnation Incarnation_ = 0;
    // The listeners as peers reach them.
    PeerAddress Peers_;
    PeerAddress Weights_;
  };
  // The threads' ends; all outlive the core.
  struct Wiring {
    ActorSystem &System_;
    DecisionLoop &Loop_;
    PeerNet &Peers_;
    PeerNet &WeightsNet_;
    IoThread &WeightsIo_;
    IoThread &EngineIo_;
    HttpClient &EngineHttp_;
    HttpClient &PlatformHttp_;
    HttpClient &OriginHttp_;
    Metrics &Metrics_;
  };

  // Throws Error(Step::Chart).
  AgentCore(Setup S, Wiring W);
  AgentCore(const AgentCore &) = delete;
  AgentCore &operator=(const AgentCore &) = delete;

  void start(TimePoint Now);
  void onPeerFrame(const PeerContext &From, wire::FrameT &F, TimePoint Now);
  void onWeightsFrame(const PeerContext &From, wire::FrameT &F, TimePoint Now);
  void onBeginDropped(const BeginDropped &E, TimePoint Now);
  void onPeerLost(const PeerContext &Peer, TimePoint Now);
  void onWeightsLost(const PeerContext &Peer, TimePoint Now);
  void tick(TimePoint Now);

  // Begins the planned stop; a second call changes nothing.
  void stop(TimePoint Now);
  // The planned stop is through and the good-byes have had time to go out.
  bool hasLeft(TimePoint Now) const;
  bool isReady() const { return Status_.Phase_ == EndpointPhase::Ready; }
  boost::json::object status(TimePoint Now) const;

private:
  ControlPlane::Callbacks controlCallbacks();
  void onDeclaration(std::shared_ptr<const Declaration> D, Revision R,
                     TimePoint Now);
  void onEndpoint(const EndpointStatus &S);
  void onEndpointGone(const Vm &V, Incarnation I);
  void onEngineChange(TimePoint Now);
  void noteStaged(TimePoint Now);
  void updateFleet(TimePoint Now);
  EndpointSources sources() const;
  void refresh(TimePoint Now);
  void publish(TimePoint Now);
  void drain(const DrainActions &Actions, TimePoint Now);
  const Service *service() const;

  Setup Setup_;
  Wiring Wiring_;
  AgentAttempts Attempts_;
  ControlPlane Control_;
  WeightTransfer Weights_;
  EngineControl Engine_;
  DrainState Drain_;
  std::shared_ptr<const Declaration> Declaration_;
  // As last told to the peers, but for the load.
  EndpointStatus Status_;
  TimePoint PublishedAt_;
  VersionDigest Loaded_;
  VersionDigest LoadedBefore_;
  // Staged versions that the engine control was told of.
  std::set<VersionDigest> NotedStaged_;
  std::map<Vm, EndpointStatus> Fleet_;
  bool FleetChanged_ = false;
  TimePoint FleetAt_;
  std::optional<TimePoint> LeftAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTCORE_H
