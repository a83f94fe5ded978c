// What agents tell an entry of their engines, as it happens.
//
//   EngineNotices Notices(Io, Self, AgentPort, [](const EngineUpdate &T) {...},
//                   [](wire::RowsAskT Question, auto Reply) {...});
//   Notices.follow({{"10.0.0.7:8601", true}, ...}, Now);  // engines' addresses
//   Notices.tick(Now);
//
// The store's list is a second old and says nothing of a load that is about to
// begin. An entry that knows sends the engine nothing new in time; one that
// does not has its requests turned away, and each of those costs a repeat.
//
// An agent answers on the entry's own connection, so agents need not know the
// entries, and asks on it for what the store said. A lost connection is asked
// for anew after AskAgain.

#ifndef HAWTHORNROAD_ENTRY_ENGINENOTICES_H
#define HAWTHORNROAD_ENTRY_ENGINENOTICES_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/peers/PeerPace.h"
#include "hawthornroad/traffic/TrafficCore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hawthornroad {

struct EngineUpdate {
  std::string Address_;
  EnginePhase Phase_ = EnginePhase::Serving;
  std::uint64_t Version_ = 0;
  // Unset when it was not asked for.
  std::optional<EndpointLoad> Load_;
};

class EngineNotices {
public:
  using Handler = std::function<void(const EngineUpdate &)>;
  using AskHandler = std::function<void(
      wire::RowsAskT, std::function<void(FrameBuffer)> Reply)>;

  using PlaceHandler = std::function<void(AttemptNumber, const PlaceReply &)>;

  EngineNotices(IoThread &Io, PeerNet::Self Self, std::string AgentPort,
                Handler H, AskHandler A, PlaceHandler P);

  // Asks the agent of an engine for a place; false when no agent is connected.
  bool askPlace(AttemptNumber A, const std::string &Engine, PlaceKind Kind);

  // The engines to hear of from now on; true: of their load too, which costs a
  // frame several times a second.
  void follow(const std::map<std::string, bool> &Engines, TimePoint Now);
  void tick(TimePoint Now);
  // A version of a model's weights has been named: agents are told, which do
  // not follow the store's table themselves.
  void setNewest(const std::string &Model, std::uint64_t Version);

private:
  struct Agent {
    bool WantsLoads_ = false;
    // When to ask again; unset: the connection stands, or is being made.
    std::optional<TimePoint> AskAt_;
    // It has told something over the connection.
    bool IsHeard_ = false;
  };
  void ask(const std::string &Address, Agent &A);
  std::string agentOf(const std::string &Engine) const {
    return Engine.substr(0, Engine.rfind(':')) + ":" + Port_;
  }
  void onNotice(const PeerContext &From, const wire::EngineNotice &N);
  void onAsk(const PeerContext &From, const wire::Frame &Frame);

  std::string Port_;
  Handler Handler_;
  AskHandler AskHandler_;
  PlaceHandler PlaceHandler_;
  // By model.
  std::map<std::string, std::uint64_t> Newest_;
  std::map<std::string, Agent> Agents_;
  std::unique_ptr<PeerNet> Net_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ENGINENOTICES_H
