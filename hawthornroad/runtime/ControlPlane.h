// Membership and configuration of one process, entry or agent.
//
//   ControlPlane Control(Setup, Loop, Net, Platform, Metrics, {
//       .OnDeclaration_ = [&](std::shared_ptr<const Declaration> D, Revision R)
//           {...},
//       .OnEndpoint_ = [&](const EndpointStatus &S, TimePoint Now) {...},
//       .OnEndpointGone_ = [&](const Vm &V, Incarnation I, TimePoint Now)
//           {...}});
//   Control.start(Now);
//
// start(), onFrame(), publish() and the callbacks all run on the DecisionLoop's
// thread. The control plane connects and gossips through Net and reads the
// platform through Platform; the decisions are made in membership/ and config/.
//
// Guarantees: OnDeclaration_ is called with increasing revisions only. ready()
// is true once the process holds the highest revision it can reach: it has
// asked the platform and several peers, and those that did not answer have
// timed out.

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
    // The address at which peers reach this process.
    PeerAddress Address_;
  };
  struct Callbacks {
    std::function<void(std::shared_ptr<const Declaration>, Revision)>
        OnDeclaration_;
    // A newer status of an endpoint, from its agent or through gossip.
    std::function<void(const EndpointStatus &, TimePoint)> OnEndpoint_;
    // The agent of V with this incarnation is dead or has left.
    std::function<void(const Vm &, Incarnation, TimePoint)> OnEndpointGone_;
  };

  ControlPlane(Setup S, DecisionLoop &Loop, PeerNet &Net, HttpClient &Platform,
               Metrics &M, Callbacks C);
  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  // Starts joining: contacts seeds and reads the membership list and the table.
  void start(TimePoint Now);
  // Handles the control frames other than Hello: Probe, ProbeAck, Gossip,
  // ConfigPull, ConfigPush, EndpointReport. Returns true when Frame was one.
  bool onFrame(const PeerContext &From, const wire::FrameT &Frame,
               TimePoint Now);
  // For agents: sends Status to the entries of the zone at once, and to others
  // through gossip.
  void publish(const EndpointStatus &Status, TimePoint Now);
  // Tells peers that this process is leaving as planned.
  void leave(TimePoint Now);

  bool ready() const;
  Revision revision() const;
  // Number of entries considered alive, including this process when it is one.
  // The customers' limits are divided among them.
  std::size_t liveEntries() const;
  // Members, the revision applied by each, and platform state, for /status.
  boost::json::object status(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CONTROLPLANE_H
