// Joins AttemptTable to the wire and to the endpoint: frames and the
// endpoint's events in, the table's actions out, with logs and metrics.
//
//   AgentAttempts Attempts(Setup, Loop, Net, EngineIo, Client, Metrics);
//   if (Attempts.onFrame(From, Frame, Now)) return;   // an attempt's frame
//   Attempts.setEndpoint(Facts);
//   Attempts.tick(Now);
//
// Runs inside the DecisionLoop.

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

  // True when Frame was an entry's word about an attempt.
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
  // Request and Call belong to the Begin that the actions answer, if one.
  void perform(const AttemptActions &Actions, const RequestId &Request = {},
               EndpointCall *Call = nullptr);
  void note(const AttemptEnded &E);
  void noteRefusal(const SendRefused &A, const RequestId &Request);

  AttemptTable Table_;
  EndpointFacts Facts_;
  PeerNet &Net_;
  Metrics &Metrics_;
  EndpointClient Endpoint_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTATTEMPTS_H
