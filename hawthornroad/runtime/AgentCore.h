// The state and decisions of an agent on its DecisionLoop: owns the agent's
// modules and routes events between them.
//
//   AgentCore Core(Setup, Wiring);
//   Loop.post([&](TimePoint Now) { Core.start(Now); });
//   Core.onPeerFrame(From, Frame, Now);     // "peers": requests and control
//   Core.onWeightsFrame(From, Frame, Now);  // "weights": chunks
//   Core.tick(Now);
//   Core.stop(Now);                         // planned stop; then hasLeft()
//
// A declaration sets the limits and the desired version of EngineControl and
// WeightTransfer. EngineControl is told of each staged version. The known
// endpoints of the fleet determine rollout turns and chunk sources. A change of
// this endpoint is published at once, its load once per report period.

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
    // Addresses at which peers reach the listeners.
    PeerAddress Peers_;
    PeerAddress Weights_;
  };
  // Threads, clients and connections to use; all must outlive the core.
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
  // True when the planned stop is complete and the leave messages have had time
  // to be sent.
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
  void syncStagedVersions(TimePoint Now);
  void updateFleet(TimePoint Now);
  EndpointSources sources() const;
  void refresh(TimePoint Now);
  void publish(TimePoint Now);
  void applyDrainActions(const DrainActions &Actions, TimePoint Now);
  const Service *service() const;

  Setup Setup_;
  Wiring Wiring_;
  AgentAttempts Attempts_;
  ControlPlane Control_;
  WeightTransfer Weights_;
  EngineControl Engine_;
  DrainState Drain_;
  std::shared_ptr<const Declaration> Declaration_;
  // As last published to the peers, except for the load.
  EndpointStatus Status_;
  TimePoint PublishedAt_;
  VersionDigest Loaded_;
  VersionDigest LoadedBefore_;
  // Staged versions last passed to EngineControl.
  std::set<VersionDigest> ReportedStaged_;
  std::map<Vm, EndpointStatus> Fleet_;
  bool FleetChanged_ = false;
  TimePoint FleetUpdatedAt_;
  std::optional<TimePoint> LeftAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTCORE_H
