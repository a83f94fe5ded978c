// Membership and configuration of one process, entry or agent alike.
//
//   ControlPlane Control(Setup, Loop, Net, Platform, Metrics, {
//       .OnDeclaration_ = [&](std::shared_ptr<const Declaration> D, Revision R)
//           {...},
//       .OnEndpoint_ = [&](const EndpointStatus &S, TimePoint Now) {...},
//       .OnEndpointGone_ = [&](const Vm &V, Incarnation I, TimePoint Now)
//           {...}});
//   Control.start();
//
// Everything runs inside the DecisionLoop: start(), onFrame(), publish() and
// the callbacks. The control plane dials and gossips through Net and reads the
// platform through Platform; what it decides stands in membership/ and config/.
//
// Guarantees: OnDeclaration_ is called with rising revisions only. ready() is
// true once the process holds the highest revision it could reach: it has asked
// the platform and several peers, or given up on those that do not answer.

#ifndef HAWTHORNROAD_RUNTIME_CONTROLPLANE_H
#define HAWTHORNROAD_RUNTIME_CONTROLPLANE_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/Settings.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Metrics.h"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>

namespace hawthornroad {

class ControlPlane {
public:
  struct Setup {
    ProcessSettings Settings_;
    Incarnation Incarnation_ = 0;
    std::string Role_; // "entry" or "agent"
    // The address peers reach this process at.
    PeerAddress Address_;
  };
  struct Callbacks {
    std::function<void(std::shared_ptr<const Declaration>, Revision)>
        OnDeclaration_;
    // Later word of an endpoint, from its agent or through gossip.
    std::function<void(const EndpointStatus &, TimePoint)> OnEndpoint_;
    // The agent of V with this incarnation is dead or has left.
    std::function<void(const Vm &, Incarnation, TimePoint)> OnEndpointGone_;
  };

  ControlPlane(Setup S, DecisionLoop &Loop, PeerNet &Net, HttpClient &Platform,
               Metrics &M, Callbacks C);
  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  // Joins: asks seeds, the membership list and the table.
  void start(TimePoint Now);
  // Takes Hello-independent control frames: Probe, ProbeAck, Gossip,
  // ConfigPull, ConfigPush, EndpointReport. True when the frame was one.
  bool onFrame(const PeerContext &From, const wire::FrameT &Frame,
               TimePoint Now);
  // Agents: tells the entries of the zone at once, and gossip later.
  void publish(const EndpointStatus &Status, TimePoint Now);
  // Tells peers that this process leaves of its own will.
  void leave(TimePoint Now);

  bool ready() const;
  Revision revision() const;
  // Entries believed alive, this process included when it is one: they share
  // the customers' limits.
  std::size_t liveEntries() const;
  // Members, revisions applied by each, platform state: for /status.
  boost::json::object status(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CONTROLPLANE_H
