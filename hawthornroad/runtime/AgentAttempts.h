// Connects AttemptTable to the peer connections and to the endpoint: passes
// frames and endpoint events to the table, performs the actions that the table
// returns, and records logs and metrics.
//
//   AgentAttempts Attempts(Settings, Loop, Net, EngineIo, Client, Metrics);
//   if (Attempts.onFrame(From, Frame, Now)) return;   // it was an attempt
//   frame Attempts.setEndpoint(Facts); Attempts.tick(Now);
//
// All methods run on the DecisionLoop's thread.

#ifndef HAWTHORNROAD_RUNTIME_AGENTATTEMPTS_H
#define HAWTHORNROAD_RUNTIME_AGENTATTEMPTS_H

#include "hawthornroad/config/Settings.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/routing/AttemptTable.h"
#include "hawthornroad/runtime/EndpointClient.h"

#include <boost/json/object.hpp>

namespace hawthornroad {

class AgentAttempts {
public:
  // Throws Error(Step::Chart).
  AgentAttempts(const AgentSettings &S, DecisionLoop &Loop, PeerNet &Net,
                IoThread &EngineIo, HttpClient &Client, Metrics &M);

  // Returns true when Frame was a message from an entry about an attempt.
  bool onFrame(const PeerContext &From, wire::FrameT &Frame, TimePoint Now);
  void onBeginDropped(const BeginDropped &E, TimePoint Now);
  void onLost(const PeerContext &Peer, TimePoint Now);
  void tick(TimePoint Now);
  void giveUpAll(const std::string &Why, TimePoint Now);

  void setEndpoint(const EndpointFacts &Facts);
  std::size_t running() const { return Table_.running(); }
  std::size_t unacknowledged() const { return Table_.unacknowledged(); }
  boost::json::object status() const;

private:
  void begin(const PeerContext &From, wire::AttemptBeginT &Begin,
             TimePoint Now);
  // Request and Call come from the AttemptBegin that caused the actions, if
  // there is one.
  void perform(const AttemptActions &Actions, const RequestId &Request = {},
               EndpointCall *Call = nullptr);
  void recordEnd(const AttemptEnded &E);
  void recordRefusal(const SendRefused &A, const RequestId &Request);

  AttemptTable Table_;
  EndpointFacts Facts_;
  PeerNet &Net_;
  Metrics &Metrics_;
  EndpointClient Endpoint_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTATTEMPTS_H
